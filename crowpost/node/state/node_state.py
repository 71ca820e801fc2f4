"""The state that the next process of a node starts from: the result of applying the records in order.

A record with a future time, as after the clock was set back, has an unknown age and is not used; the endpoint
list and the evacuation are used regardless of their age.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from crowpost.decision_api import EndpointId, RememberedEndpoint, StateRestored
from crowpost.node.state.records import (
    DELETED,
    ENDPOINTS_PER_RECORD,
    EndpointListPart,
    Evacuation,
    Incarnation,
    Instance,
    LearnedEndpoints,
    LearnedLimit,
    NodeRecord,
    NodeRecordError,
    decode_record,
)
from crowpost.storage.model import RecoveredState

CLOCK_TOLERANCE_MS = 1_000.0  # a record may lie this far in the future and still be used
UNLISTED_TOLERANCE = 100  # learned endpoints beyond twice the length of the list, before they are pruned
NO_LIMIT = LearnedLimit(at_ms=0.0, per_unit=0.0)


@dataclass(frozen=True, slots=True)
class DatedEndpoint:
    """Learned values of an endpoint, and the time of the record."""

    at_ms: float
    endpoint: RememberedEndpoint


@dataclass(slots=True)
class NodeState:
    """The state after a sequence of records."""

    generation: int = 0  # version of the endpoint list; 0 if there is none
    # Each is kept encoded: ten thousand dictionaries would add milliseconds to every full garbage
    # collection.
    instances: dict[str, bytes] = field(default_factory=dict)
    learned: dict[EndpointId, DatedEndpoint] = field(default_factory=dict)
    limit: LearnedLimit = NO_LIMIT
    evacuated: bool = False
    incarnation: int = 0
    staged: dict[str, bytes] | None = None  # incomplete list, in force once its last part is applied

    def apply(self, record: NodeRecord) -> None:
        """Apply the next record."""
        match record:
            case EndpointListPart():
                self._apply_list(record)
            case LearnedEndpoints(at_ms, endpoints):
                self.learned.update(
                    (endpoint.server, DatedEndpoint(at_ms, endpoint)) for endpoint in endpoints
                )
            case LearnedLimit():
                self.limit = record
            case Evacuation(active):
                self.evacuated = active
            case Incarnation(number):
                self.incarnation = number

    def _apply_list(self, part: EndpointListPart) -> None:
        """Apply a part of a list or of a change of it; a change of a list that is not held is no list."""
        if not part.reset and self.staged is None and not self.generation:
            return
        if part.reset:
            self.staged = {}
        elif self.staged is None:
            self.staged = dict(self.instances) if part.has_more else self.instances
        for instance in part.instances:
            name = instance["instanceId"]
            if instance["lifecycle"] == DELETED:
                self.staged.pop(name, None)
            else:
                self.staged[name] = msgpack.packb(instance)
        if part.has_more:
            return
        self.instances = self.staged
        self.staged = None
        self.generation = part.generation
        self._prune_learned()

    def _prune_learned(self) -> None:
        """Remove learned values of endpoints that are not listed, once there are many of them."""
        if len(self.learned) <= 2 * len(self.instances) + UNLISTED_TOLERANCE:
            return
        listed = {name.encode() for name in self.instances}
        self.learned = {name: dated for name, dated in self.learned.items() if name in listed}

    # ------------------------------------------------------------ for the next process

    def endpoint_list(self) -> dict[str, Any] | None:
        """Return the complete list in the format of discovery; None if there is none."""
        if not self.generation:
            return None
        return {"generation": self.generation, "reset": True, "instances": self.decoded_instances()}

    def decoded_instances(self) -> list[Instance]:
        """Return the endpoints of the list in the format of discovery."""
        return [msgpack.unpackb(packed) for packed in self.instances.values()]

    def restored_event(self, now: float) -> StateRestored:
        """Return the event for the balancer: the learned values with their age.

        now: Unix time in ms.
        """
        latest = now + CLOCK_TOLERANCE_MS
        endpoints = tuple(
            replace(dated.endpoint, age_ms=max(0.0, now - dated.at_ms))
            for dated in self.learned.values()
            if dated.at_ms <= latest
        )
        per_unit = self.limit.per_unit if self.limit.at_ms <= latest else 0.0
        return StateRestored(endpoints, per_unit, max(0.0, now - self.limit.at_ms))

    def snapshot_pieces(self) -> Iterator[bytes]:
        """Return the state as the records of a snapshot.

        This call copies the state; the iterator may be used on any thread.
        """
        head: list[NodeRecord] = [Evacuation(self.evacuated), self.limit, Incarnation(self.incarnation)]
        instances = list(self.instances.values())
        return _encode_pieces(head, self.generation, instances, list(self.learned.values()))


def _encode_pieces(
    head: list[NodeRecord], generation: int, instances: list[bytes], learned: list[DatedEndpoint]
) -> Iterator[bytes]:
    for record in head:
        yield record.encode()
    if generation:
        yield from _encode_list(generation, instances)
    by_time: dict[float, list[RememberedEndpoint]] = {}
    for dated in learned:
        by_time.setdefault(dated.at_ms, []).append(dated.endpoint)
    for at_ms, endpoints in by_time.items():
        for start in range(0, len(endpoints), ENDPOINTS_PER_RECORD):
            yield LearnedEndpoints(at_ms, endpoints[start : start + ENDPOINTS_PER_RECORD]).encode()


def _encode_list(generation: int, instances: list[bytes]) -> Iterator[bytes]:
    """Yield the list in parts; each is decoded only when it is consumed."""
    for start in range(0, max(len(instances), 1), ENDPOINTS_PER_RECORD):
        end = start + ENDPOINTS_PER_RECORD
        decoded = [msgpack.unpackb(packed) for packed in instances[start:end]]
        yield EndpointListPart(start == 0, generation, decoded, end < len(instances)).encode()


def read_node_state(recovered: RecoveredState) -> NodeState:
    """Return the state in a store.

    Raise NodeRecordError, a StoreError, with the sequence number of a record that no node has written.
    """
    state = NodeState()
    for number, payload in enumerate(recovered.snapshot):
        _apply_payload(state, payload, f"snapshot {recovered.snapshot_sequence}, piece {number}")
    for record in recovered.records:
        _apply_payload(state, record.payload, f"record {record.sequence}")
    state.staged = None  # parts of a list whose last part was never written
    return state


def _apply_payload(state: NodeState, payload: bytes, position: str) -> None:
    try:
        state.apply(decode_record(payload))
    except NodeRecordError as error:
        raise error.at(position) from error
