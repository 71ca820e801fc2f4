"""The followers known to a distribution server, and the status that it sends on request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from crowpost.config_feed.apply_status import ApplyStatus
from crowpost.config_feed.conflicts import Conflict
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import DIGEST_PREFIX_BYTES, DocumentHeader
from crowpost.config_feed.identity import ProcessIdentity
from crowpost.config_feed.messages import ApplyReport, Hello


@dataclass(frozen=True, slots=True)
class TimedStatus:
    """An apply status, and the time of its last change in ms of the server's clock."""

    status: ApplyStatus
    since: float


@dataclass(slots=True)
class FollowerRecord:
    """The last reports of a follower; times in ms of the server's clock."""

    hello: Hello
    last_received_at: float
    connection_id: int | None
    counter: int = 0
    # The apply status of each scope.
    statuses: dict[str, TimedStatus] = field(default_factory=dict)


class FollowerStatusTable:
    """The records of a limited number of followers; those disconnected for the longest are removed first."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # The record of each follower, by its name.
        self.records: dict[str, FollowerRecord] = {}

    def connected(self, hello: Hello, connection_id: int, now: float) -> None:
        """Record that a follower connected or reconnected."""
        record = self.records.pop(hello.name, None)
        if record is None or record.hello.instance_id != hello.instance_id:
            record = FollowerRecord(hello, now, connection_id)
        record.hello = hello
        record.connection_id = connection_id
        record.last_received_at = now
        self.records[hello.name] = record
        if len(self.records) > self._limit:
            self._forget_one()

    def _forget_one(self) -> None:
        disconnected = [name for name, record in self.records.items() if record.connection_id is None]
        candidates = disconnected or list(self.records)[:1]
        oldest = min(candidates, key=lambda name: self.records[name].last_received_at)
        del self.records[oldest]

    def disconnected(self, name: str, connection_id: int) -> None:
        """Record that a connection is closed; the last reports of its follower are kept."""
        record = self.records.get(name)
        if record is not None and record.connection_id == connection_id:
            record.connection_id = None

    def received(self, name: str, now: float) -> None:
        """Record that a message of a follower was received."""
        record = self.records.get(name)
        if record is not None:
            record.last_received_at = now

    def report(self, report: ApplyReport, now: float) -> None:
        """Record a report; ignore one that is older than the last one, or from another instance."""
        record = self.records.get(report.name)
        if record is None or record.hello.instance_id != report.instance_id:
            return
        if report.counter < record.counter:
            return
        record.counter = report.counter
        record.last_received_at = now
        for status in report.apply_statuses:
            old = record.statuses.get(status.key.scope)
            since = old.since if old is not None and old.status == status else now
            record.statuses[status.key.scope] = TimedStatus(status, since)


def server_status(
    server: ProcessIdentity,
    table: DocumentTable,
    followers: FollowerStatusTable,
    counts: Mapping[str, int],
    now: float,
) -> dict[str, Any]:
    """Return the status of a server as a dictionary of plain values; its keys are part of the wire format."""
    return {
        "name": server.name,
        "role": server.role,
        "region": server.region,
        "zone": server.zone,
        "heads": [_header_map(document.header) for document in table.documents.values()],
        "conflicts": [_conflict_map(conflict) for conflict in table.conflicts],
        "followers": [_follower_map(record, now) for record in followers.records.values()],
        "counts": dict(counts),
    }


def _header_map(header: DocumentHeader) -> dict[str, Any]:
    return {
        "scope": header.scope,
        "era": header.epoch,
        "version": header.version,
        "digest": header.digest[:DIGEST_PREFIX_BYTES].hex(),
        "size": header.size,
        "author": header.author,
        "reason": header.reason,
        "writer": header.writer,
    }


def _conflict_map(conflict: Conflict) -> dict[str, Any]:
    return {
        "kept": _header_map(conflict.winner),
        "dropped": _header_map(conflict.loser),
        "rule": str(conflict.rule),
    }


def _follower_map(record: FollowerRecord, now: float) -> dict[str, Any]:
    hello = record.hello
    return {
        "name": hello.name,
        "role": hello.role,
        "region": hello.region,
        "zone": hello.zone,
        "service": hello.service,
        "birth": hello.instance_id,
        "counter": record.counter,
        "age_ms": round(now - record.last_received_at, 1),
        "linked": record.connection_id is not None,
        "standings": [_status_map(timed, now) for timed in record.statuses.values()],
    }


def _status_map(timed: TimedStatus, now: float) -> dict[str, Any]:
    status = timed.status
    return {
        "scope": status.key.scope,
        "era": status.key.epoch,
        "version": status.key.version,
        "digest": status.key.digest.hex(),
        "state": str(status.state),
        "why": status.why,
        "since_ms": round(now - timed.since, 1),
    }
