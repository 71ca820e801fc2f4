"""Endpoint lists as discovery sends them, translated into the terms of the balancer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from crowpost.decision_api import EndpointEntry, EndpointId, EndpointList, ListKind, Readiness

_LIFECYCLES = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}


class ListError(Exception):
    """An endpoint list that cannot be read; its text names the field."""


@dataclass(frozen=True, slots=True)
class Listing:
    """An endpoint list or a change of it, in the balancer's terms, with the endpoints' addresses."""

    version: int
    complete: bool  # else only changes
    entries: tuple[EndpointEntry, ...]
    addresses: dict[EndpointId, tuple[str, int]]
    raw: list[dict[str, Any]] = field(default_factory=list)  # as discovery sent it; not of a cached list

    def event(self, *, cached: bool = False) -> EndpointList:
        """Return the event for the decision module."""
        kind = ListKind.FULL if self.complete else ListKind.CHANGES
        return EndpointList(ListKind.CACHED if cached else kind, self.entries, self.version)


@dataclass(slots=True)
class Naming:
    """Translates discovery's names of zones, machine types and cells into the balancer's numbers."""

    zones: tuple[str, ...]
    models: tuple[str, ...]
    _others: dict[tuple[str, str], int] = field(default_factory=dict)

    def read(self, raw: Any) -> Listing:
        """Return the list that a JSON object of discovery holds; raise ListError if it holds none."""
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
            raise ListError(f"{error} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError) as error:
            raise ListError(f"not a list of servers: {error}") from None

    def _entry(self, item: dict[str, Any]) -> EndpointEntry:
        return EndpointEntry(
            server=item["instanceId"].encode(),
            readiness=_LIFECYCLES[item["lifecycle"]],
            capacity_hint=float(item.get("weight", 1.0)),
            kind=self._number("kind", self.models, item.get("machineType", "")),
            zone=self._number("zone", self.zones, item.get("zone", "")),
            cell=self._number("cell", (), item.get("cell", 0)),
            started_ms=float(item.get("startedAtMs", 0)),
        )

    def _number(self, category: str, names: tuple[str, ...], name: Any) -> int:
        if isinstance(name, int):
            return name
        if name in names:
            return names.index(name)
        # A name that the settings do not list still tells its endpoints from the others.
        return self._others.setdefault((category, str(name)), len(names) + len(self._others))
