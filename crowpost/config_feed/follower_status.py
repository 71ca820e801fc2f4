"""Who has what: what a hub knows of its followers, and how the answers of several hubs are put together."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import ApplyStatus, DocumentHeader
from crowpost.config_feed.messages import ApplyReport, Hello


@dataclass(slots=True)
class FollowerRecord:
    """What a follower said of itself; times in ms of the hub's clock."""

    hello: Hello
    heard: float
    connection_id: int | None
    counter: int = 0
    rows: dict[str, tuple[ApplyStatus, float]] = field(default_factory=dict)  # and since when


class FollowerStatusTable:
    """The standings of many followers, bounded: those gone longest are forgotten first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.told: dict[str, FollowerRecord] = {}

    def linked(self, hello: Hello, connection_id: int, now: float) -> None:
        """A follower is here, for the first time or again."""
        told = self.told.pop(hello.name, None)
        if told is None or told.hello.instance_id != hello.instance_id:
            told = FollowerRecord(hello, now, connection_id)
        told.hello, told.connection_id, told.heard = hello, connection_id, now
        self.told[hello.name] = told
        if len(self.told) > self._most:
            gone = [name for name, other in self.told.items() if other.connection_id is None]
            oldest = min(gone or list(self.told)[:1], key=lambda name: self.told[name].heard)
            del self.told[oldest]

    def unlinked(self, name: str, connection_id: int) -> None:
        """Its link is gone; what it said last is kept."""
        told = self.told.get(name)
        if told is not None and told.connection_id == connection_id:
            told.connection_id = None

    def heard(self, name: str, now: float) -> None:
        """It lives."""
        told = self.told.get(name)
        if told is not None:
            told.heard = now

    def report(self, report: ApplyReport, now: float) -> None:
        """How it stands; a report that is older than the last one, or another process's, is left out."""
        told = self.told.get(report.name)
        if told is None or told.hello.instance_id != report.instance_id or report.counter < told.counter:
            return
        told.counter, told.heard = report.counter, now
        for apply_status in report.apply_statuses:
            old = told.rows.get(apply_status.key.scope)
            since = old[1] if old is not None and old[0] == apply_status else now
            told.rows[apply_status.key.scope] = apply_status, since


def _header_map(header: DocumentHeader) -> dict[str, Any]:
    return {
        "scope": header.scope,
        "era": header.epoch,
        "version": header.version,
        "digest": header.digest[:8].hex(),
        "size": header.size,
        "author": header.author,
        "reason": header.reason,
        "writer": header.writer,
    }


def hub_status(
    who: tuple[str, str, str, str],
    table: DocumentTable,
    wall: FollowerStatusTable,
    counts: Mapping[str, int],
    now: float,
) -> dict[str, Any]:
    """A hub's answer, of plain values.  who: its name, role, region and zone."""
    name, role, region, zone = who
    return {
        "name": name,
        "role": role,
        "region": region,
        "zone": zone,
        "heads": [_header_map(document.header) for document in table.documents.values()],
        "conflicts": [
            {"kept": _header_map(c.kept), "dropped": _header_map(c.dropped), "rule": c.rule}
            for c in table.conflicts
        ],
        "followers": [
            {
                "name": told.hello.name,
                "role": told.hello.role,
                "region": told.hello.region,
                "zone": told.hello.zone,
                "service": told.hello.service,
                "birth": told.hello.instance_id,
                "counter": told.counter,
                "age_ms": round(now - told.heard, 1),
                "linked": told.connection_id is not None,
                "standings": [
                    {
                        "scope": s.key.scope,
                        "era": s.key.epoch,
                        "version": s.key.version,
                        "digest": s.key.digest.hex(),
                        "state": str(s.state),
                        "why": s.why,
                        "since_ms": round(now - since, 1),
                    }
                    for s, since in told.rows.values()
                ],
            }
            for told in wall.told.values()
        ],
        "counts": dict(counts),
    }


def merge(statuses: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """One picture from the answers of several hubs.

    Of a follower that several tell of, the report with the higher counter holds; of two processes of one name
    the one that was heard last.  Keys: `heads` by scope (the highest), `conflicts`, `followers` by name, each
    with `lags` (scopes in which it holds less than the highest head told) and `refused` (scope to reason).
    """
    statuses = list(statuses)
    headers: dict[str, dict[str, Any]] = {}
    conflicts: list[Any] = []
    followers: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for header in status["heads"]:
            held = headers.get(header["scope"])
            if held is None or _rank(header) > _rank(held):
                headers[header["scope"]] = dict(header)
        conflicts += [c for c in status["conflicts"] if c not in conflicts]
        for one in status["followers"]:
            held = followers.get(one["name"])
            if held is None or _later(one, held):
                linked = bool(held and held["linked"] and held["birth"] == one["birth"])
                followers[one["name"]] = {**one, "linked": one["linked"] or linked}
            elif held["birth"] == one["birth"]:
                held["linked"] = held["linked"] or one["linked"]
                held["age_ms"] = min(held["age_ms"], one["age_ms"])
    for one in followers.values():
        rows = {row["scope"]: row for row in one["standings"]}
        one["lags"] = [
            scope
            for scope, header in sorted(headers.items())
            if _meant(scope, one) and (scope not in rows or _behind(rows[scope], header))
        ]
        one["refused"] = {s: row["why"] for s, row in sorted(rows.items()) if row["state"] == "refused"}
    return {"heads": headers, "conflicts": conflicts, "followers": dict(sorted(followers.items()))}


def _rank(header: Mapping[str, Any]) -> tuple[int, int, str, str]:
    return header["era"], header["version"], header["writer"], header["digest"]


def _later(one: Mapping[str, Any], held: Mapping[str, Any]) -> bool:
    if one["birth"] == held["birth"]:
        return bool((one["counter"], -one["age_ms"]) > (held["counter"], -held["age_ms"]))
    return bool(one["age_ms"] < held["age_ms"])


def _behind(row: Mapping[str, Any], header: Mapping[str, Any]) -> bool:
    return bool(
        (row["era"], row["version"], row["digest"]) != (header["era"], header["version"], header["digest"])
    )


def _meant(scope: str, one: Mapping[str, Any]) -> bool:
    if one["role"] != "node":
        return True
    meant = ("all", f"region/{one['region']}", f"service/{one['service']}", f"node/{one['name']}")
    return scope in meant
