"""Translation of discovery's endpoint lists into the balancer's terms."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from crowpost.decision_api import EndpointEntry, EndpointId, EndpointList, ListKind, Readiness
from crowpost.node.errors import NodeError

_LIFECYCLES = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}


class ListError(NodeError):
    """An invalid endpoint list; the message names the field."""


@dataclass(frozen=True, slots=True)
class Listing:
    """An endpoint list, or changes to one, in the balancer's terms, with the endpoints' addresses."""

    version: int
    # Whether this is the full list; otherwise only changes.
    complete: bool
    entries: tuple[EndpointEntry, ...]
    addresses: dict[EndpointId, tuple[str, int]]
    # The entries as discovery sent them; empty for a cached list.
    raw: list[dict[str, Any]] = field(default_factory=list)

    def event(self, *, cached: bool = False) -> EndpointList:
        """Return the event for the decision module."""
        kind = ListKind.FULL if self.complete else ListKind.CHANGES
        return EndpointList(ListKind.CACHED if cached else kind, self.entries, self.version)


@dataclass(slots=True)
class Naming:
    """Maps discovery's names of zones, machine types and cells to the balancer's indices."""

    zones: tuple[str, ...]
    models: tuple[str, ...]
    _others: dict[tuple[str, str], int] = field(default_factory=dict)

    def read(self, raw: Any) -> Listing:
        """Return the list in a JSON object from discovery; raise ListError if it is invalid."""
        try:
            instances = raw["instances"]
            entries = []
            addresses = {}
            for item in instances:
                entry = self._entry(item)
                entries.append(entry)
                host, _, port = item["hostPort"].rpartition(":")
                addresses[entry.server] = (host, int(port))
            return Listing(int(raw["generation"]), bool(raw["reset"]), tuple(entries), addresses)
        except KeyError as error:
            raise ListError(f"{error} is missing or unknown") from error
        except (TypeError, ValueError, AttributeError) as error:
            raise ListError(f"not a list of servers: {error}") from error

    def _entry(self, item: dict[str, Any]) -> EndpointEntry:
        return EndpointEntry(
            server=item["instanceId"].encode(),
            readiness=_LIFECYCLES[item["lifecycle"]],
            capacity_hint=float(item.get("weight", 1.0)),
            kind=self._index_of("kind", self.models, item.get("machineType", "")),
            zone=self._index_of("zone", self.zones, item.get("zone", "")),
            cell=self._index_of("cell", (), item.get("cell", 0)),
            started_ms=float(item.get("startedAtMs", 0)),
        )

    def _index_of(self, category: str, names: tuple[str, ...], name: Any) -> int:
        if isinstance(name, int):
            return name
        if name in names:
            return names.index(name)
        # A name that the settings do not list gets an index of its own, so that its endpoints stay distinct.
        return self._others.setdefault((category, str(name)), len(names) + len(self._others))
