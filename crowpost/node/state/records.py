"""The records that a node writes to its state directory, and their encoding.

Times are Unix time in ms, since they are compared across a restart.  A record is stored as a msgpack array:
the tags and the order of the values are the format on disk and must not change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, overload

import msgpack

from crowpost.decision_api import RememberedEndpoint
from crowpost.storage.errors import StoreError

ENDPOINTS_PER_RECORD = 250  # encoding this many takes less than a millisecond
DELETED = "DELETED"  # lifecycle of an endpoint that a list change removes

_LIST_TAG = "list"
_ENDPOINTS_TAG = "servers"
_LIMIT_TAG = "limit"
_EVACUATION_TAG = "drain"
_INCARNATION_TAG = "incarnation"

Instance = dict[str, Any]  # an endpoint in the format of discovery


class NodeRecordError(StoreError):
    """A record was not written by a node.

    reason: what is invalid.  position: identifies the record in its store; empty if it was decoded alone.
    """

    def __init__(self, reason: str, position: str = "") -> None:
        place = f"{position}: " if position else ""
        super().__init__(f"{place}a record that no node has written: {reason}")
        self.reason = reason
        self.position = position

    def at(self, position: str) -> NodeRecordError:
        """Return the same error with a position."""
        return NodeRecordError(self.reason, position)


# ---------------------------------------------------------------- records


@dataclass(frozen=True, slots=True)
class EndpointListPart:
    """Part of an endpoint list or of a change of it; the list is in force once its last part is applied."""

    reset: bool  # whether it replaces the previous list
    generation: int
    instances: list[Instance]
    has_more: bool = False

    def encode(self) -> bytes:
        """Return the record."""
        return _pack(_LIST_TAG, self.reset, self.generation, self.instances, self.has_more)


@dataclass(frozen=True, slots=True)
class LearnedEndpoints:
    """Learned values of some endpoints at a time."""

    at_ms: float
    endpoints: Sequence[RememberedEndpoint]

    def encode(self) -> bytes:
        """Return the record; the age of the learned values is not stored, since it follows from the time."""
        rows = [
            (
                endpoint.server,
                endpoint.started_ms,
                endpoint.share_ratio,
                endpoint.average_ms,
                endpoint.ejected,
            )
            for endpoint in self.endpoints
        ]
        return _pack(_ENDPOINTS_TAG, self.at_ms, rows)


@dataclass(frozen=True, slots=True)
class LearnedLimit:
    """The concurrency limit for each unit of capacity at a time."""

    at_ms: float
    per_unit: float

    def encode(self) -> bytes:
        """Return the record."""
        return _pack(_LIMIT_TAG, self.at_ms, self.per_unit)


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Whether an operator has evacuated the node."""

    active: bool

    def encode(self) -> bytes:
        """Return the record."""
        return _pack(_EVACUATION_TAG, self.active)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """The last incarnation number of this node in the membership."""

    number: int

    def encode(self) -> bytes:
        """Return the record."""
        return _pack(_INCARNATION_TAG, self.number)


NodeRecord = EndpointListPart | LearnedEndpoints | LearnedLimit | Evacuation | Incarnation


def split_list(reset: bool, generation: int, instances: Sequence[Instance]) -> Iterator[EndpointListPart]:
    """Yield a list, or a change of it, in parts of bounded size."""
    for start in range(0, max(len(instances), 1), ENDPOINTS_PER_RECORD):
        end = start + ENDPOINTS_PER_RECORD
        is_first = start == 0
        yield EndpointListPart(
            reset and is_first, generation, list(instances[start:end]), end < len(instances)
        )


class PackedInstances(Sequence[Instance]):
    """Endpoints that are unpacked only as they are read: packed they take a quarter of the memory."""

    def __init__(self, packed: Sequence[bytes]) -> None:
        self._packed = packed

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return len(self._packed)

    @overload
    def __getitem__(self, index: int) -> Instance: ...

    @overload
    def __getitem__(self, index: slice) -> list[Instance]: ...

    def __getitem__(self, index: int | slice) -> Instance | list[Instance]:
        """Return an endpoint, or a list of some."""
        if isinstance(index, slice):
            return [msgpack.unpackb(packed) for packed in self._packed[index]]
        instance: Instance = msgpack.unpackb(self._packed[index])
        return instance


# ---------------------------------------------------------------- encoding


def pack_instance(instance: Instance) -> bytes:
    """Return an endpoint in the form that `PackedInstances` reads."""
    packed: bytes = msgpack.packb(instance)
    return packed


def _pack(*values: Any) -> bytes:
    packed: bytes = msgpack.packb(values)
    return packed


def decode_record(payload: bytes) -> NodeRecord:
    """Decode a record.  Raise NodeRecordError if no node has written it."""
    try:
        tag, *values = msgpack.unpackb(payload, raw=False)
        decode = _DECODERS.get(tag)
        if decode is None:
            raise NodeRecordError(f"the tag {tag!r} is not known")
        return decode(*values)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise NodeRecordError(" ".join(str(error).split())) from error


def _decode_list(reset: Any, generation: Any, instances: Any, has_more: Any = False) -> EndpointListPart:
    _require(generation, int, "the generation of a list")
    _require(instances, list, "the endpoints of a list")
    for instance in instances:
        _require(instance, dict, "an endpoint of a list")
        for key in ("instanceId", "lifecycle"):
            if key not in instance:
                raise NodeRecordError(f"an endpoint of a list lacks {key!r}")
            _require(instance[key], str, f"{key!r} of an endpoint")
    return EndpointListPart(bool(reset), generation, instances, bool(has_more))


def _decode_endpoints(at_ms: Any, rows: Any) -> LearnedEndpoints:
    _require(rows, list, "what was learned of endpoints")
    return LearnedEndpoints(float(at_ms), [_decode_endpoint(*row) for row in rows])


def _decode_endpoint(
    server: Any, started_ms: Any, ratio: Any, average_ms: Any = None, ejected: Any = False
) -> RememberedEndpoint:
    _require(server, bytes, "the name of an endpoint")
    _require(started_ms, (int, float), "the start time of an endpoint")
    _require(ratio, (int, float), "the share of an endpoint")
    if average_ms is not None:
        _require(average_ms, (int, float), "the average latency of an endpoint")
    return RememberedEndpoint(server, started_ms, ratio, average_ms, bool(ejected))


def _decode_limit(at_ms: Any, per_unit: Any) -> LearnedLimit:
    _require(at_ms, (int, float), "the time of a limit")
    _require(per_unit, (int, float), "a limit")
    return LearnedLimit(at_ms, per_unit)


def _decode_evacuation(active: Any) -> Evacuation:
    return Evacuation(bool(active))


def _decode_incarnation(number: Any) -> Incarnation:
    _require(number, int, "an incarnation")
    return Incarnation(number)


def _require(value: object, kind: type | tuple[type, ...], what: str) -> None:
    if not isinstance(value, kind):
        raise NodeRecordError(f"{what} is {type(value).__name__}")


_DECODERS: dict[Any, Callable[..., NodeRecord]] = {
    _LIST_TAG: _decode_list,
    _ENDPOINTS_TAG: _decode_endpoints,
    _LIMIT_TAG: _decode_limit,
    _EVACUATION_TAG: _decode_evacuation,
    _INCARNATION_TAG: _decode_incarnation,
}
