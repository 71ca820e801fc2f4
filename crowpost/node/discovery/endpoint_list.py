"""Translation of discovery's endpoint lists into the balancer's terms."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from crowpost.decision_api import EndpointEntry, EndpointId, EndpointList, ListKind, Readiness
from crowpost.node.errors import NodeError

_LIFECYCLES = {
    "SERVING": Readiness.READY,
    "DRAINING": Readiness.DRAINING,
    "DELETED": Readiness.GONE,
}
# What conversions raise for values of another type or beyond the range.
INVALID_VALUE_ERRORS = (TypeError, ValueError, AttributeError, OverflowError)


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
    # The entries as discovery sent them, packed, where they are kept.
    packed: list[bytes] = field(default_factory=list)

    def has_ready(self) -> bool:
        """Return whether any endpoint accepts requests."""
        return any(entry.readiness is Readiness.READY for entry in self.entries)

    def supersedes(self, stored: Listing) -> bool:
        """Return whether this list of the configuration is used, and not the one of the state directory.

        It is if it is not older, or if it has endpoints that serve and the other has none.
        """
        return self.version >= stored.version or (self.has_ready() and not stored.has_ready())

    def event(self, *, cached: bool = False) -> EndpointList:
        """Return the event for the decision module."""
        kind = ListKind.FULL if self.complete else ListKind.CHANGES
        return EndpointList(ListKind.CACHED if cached else kind, self.entries, self.version)


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of a list, with its address, and as discovery sent it, packed, where that is kept."""

    entry: EndpointEntry
    address: tuple[str, int]
    packed: bytes | None


@dataclass(slots=True)
class Naming:
    """Maps discovery's names of zones, machine types and cells to the balancer's indices.

    pack: packs an entry as discovery sent it; None if these are not kept.
    """

    zones: tuple[str, ...]
    models: tuple[str, ...]
    pack: Callable[[dict[str, Any]], bytes] | None = None
    _others: dict[tuple[str, str], int] = field(default_factory=dict)

    def read(self, raw: Any) -> Listing:
        """Return the list in a JSON object from discovery; raise ListError if it is invalid."""
        try:
            listed = [
                item if isinstance(item, ListedEndpoint) else self._listed(item) for item in raw["instances"]
            ]
            return Listing(
                int(raw["generation"]),
                bool(raw["reset"]),
                tuple(each.entry for each in listed),
                {each.entry.server: each.address for each in listed},
                [each.packed for each in listed if each.packed is not None],
            )
        except KeyError as error:
            raise ListError(f"{error} is missing or unknown") from error
        except INVALID_VALUE_ERRORS as error:
            raise ListError(f"not a list of servers: {error}") from error

    def shorten(self, item: dict[str, Any]) -> dict[str, Any] | ListedEndpoint:
        """Return an entry of a list in place of its JSON object; other objects stay as they are.

        Used while a list is parsed, as thousands of dictionaries take megabytes.  Invalid entries are left to
        `read`, which reports them.
        """
        try:
            return self._listed(item)
        except (KeyError, *INVALID_VALUE_ERRORS):
            return item

    def _listed(self, item: dict[str, Any]) -> ListedEndpoint:
        host, _, port = item["hostPort"].rpartition(":")
        packed = None if self.pack is None else self.pack(item)
        return ListedEndpoint(self._entry(item), (host, int(port)), packed)

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
