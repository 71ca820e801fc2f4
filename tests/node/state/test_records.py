"""The records of the stored state of a node, and the state built from them."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowpost.decision_api import (
    RememberedEndpoint,
)
from crowpost.node.state.node_state import NodeState, read_node_state
from crowpost.node.state.records import (
    EndpointListPart,
    Evacuation,
    Incarnation,
    LearnedEndpoints,
    LearnedLimit,
    NodeRecord,
    NodeRecordError,
    decode_record,
    split_list,
)
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Record, RecoveredState
from tests.node.state.helpers import remembered

names = st.sampled_from([f"s{i}" for i in range(6)])


instances = st.lists(
    st.builds(
        lambda name, lifecycle: {"instanceId": name, "lifecycle": lifecycle},
        names,
        st.sampled_from(["SERVING", "DRAINING", "DELETED"]),
    ),
    max_size=5,
)


endpoints = st.builds(
    RememberedEndpoint,
    names.map(str.encode),
    st.floats(0, 1e12),
    st.floats(0, 100),
    st.none() | st.floats(0, 1e5),
    st.booleans(),
)


records: st.SearchStrategy[NodeRecord] = st.one_of(
    st.builds(EndpointListPart, st.booleans(), st.integers(1, 10**9), instances),
    st.builds(LearnedEndpoints, st.floats(0, 1e13), st.lists(endpoints, max_size=4)),
    st.builds(LearnedLimit, st.floats(0, 1e13), st.floats(0, 1e6)),
    st.builds(Evacuation, st.booleans()),
    st.builds(Incarnation, st.integers(1, 2**32)),
)


@given(st.lists(records, max_size=12))
def test_a_snapshot_holds_the_state_of_its_records(applied: list[NodeRecord]) -> None:
    state = NodeState()
    restored = NodeState()
    for record in applied:
        assert decode_record(record.encode()) == record
        state.apply(record)
    for piece in state.snapshot_pieces():
        restored.apply(decode_record(piece))
    assert restored == state


def test_a_list_is_in_force_once_its_last_part_was_applied() -> None:
    rows = [{"instanceId": f"s{i}", "lifecycle": "SERVING"} for i in range(600)]
    parts = list(split_list(True, 7, rows))
    state = NodeState()
    for part in parts[:-1]:
        state.apply(part)
    assert len(parts) == 3 and state.endpoint_list() is None
    state.apply(parts[-1])
    assert len(state.instances) == 600 and state.generation == 7


def test_records_from_the_future_are_not_used_but_the_evacuation_is() -> None:
    state = NodeState()
    state.apply(LearnedEndpoints(50_000.0, [remembered(0, 2.0)]))
    state.apply(LearnedEndpoints(20_000.0, [remembered(1, 2.0)]))
    state.apply(LearnedLimit(50_000.0, 9.0))
    state.apply(Evacuation(True))
    event = state.restored_event(30_000.0)  # the clock was set back by 20 s
    assert [(m.server, m.age_ms) for m in event.endpoints] == [
        (b"\x01", 10_000.0)
    ] and event.limit_each == 0.0
    assert state.evacuated


def test_a_record_that_no_node_has_written_is_an_error() -> None:
    for payload in (b"", b"\xc1", b"\x93\xa4list", b"\x91\xa5other", b"\x92\xa7servers\x01"):
        with pytest.raises(StoreError, match="a record that no node has written"):
            decode_record(payload)


MALFORMED = {
    "an endpoint of a list lacks 'lifecycle'": ("list", True, 7, [{"instanceId": "a"}], False),
    "an endpoint of a list lacks 'instanceId'": ("list", True, 7, [{"lifecycle": "SERVING"}], False),
    "'instanceId' of an endpoint is int": ("list", True, 7, [{"instanceId": 1, "lifecycle": "UP"}], False),
    "an endpoint of a list is str": ("list", True, 7, ["a"], False),
    "the endpoints of a list is NoneType": ("list", True, 7, None, False),
    "the generation of a list is str": ("list", True, "7", [], False),
    "the name of an endpoint is str": ("servers", 5.0, [["a", 5.0, 1.0, None, False]]),
    "the share of an endpoint is NoneType": ("servers", 5.0, [[b"a", 5.0, None, None, False]]),
    "a limit is str": ("limit", 5.0, "12"),
    "an incarnation is str": ("incarnation", "9"),
    "the tag 'other' is not known": ("other", 1),
}


@pytest.mark.parametrize(("reason", "values"), MALFORMED.items())
def test_a_malformed_record_is_an_error_with_its_sequence_number(
    reason: str, values: tuple[object, ...]
) -> None:
    recovered = RecoveredState("n0", bytes(8))
    recovered.records = [Record(41, Evacuation(True).encode()), Record(42, msgpack.packb(values))]
    with pytest.raises(NodeRecordError) as error:
        read_node_state(recovered)
    assert str(error.value) == f"record 42: a record that no node has written: {reason}"
    assert (error.value.position, error.value.reason) == ("record 42", reason)


def test_a_malformed_piece_of_a_snapshot_is_an_error_with_its_position() -> None:
    recovered = RecoveredState("n0", bytes(8), snapshot_sequence=9)
    recovered.snapshot = [Evacuation(True).encode(), msgpack.packb(("list", True, 7, [{}], False))]
    with pytest.raises(
        NodeRecordError, match="^snapshot 9, piece 1: a record that no node has written: an end"
    ):
        read_node_state(recovered)
