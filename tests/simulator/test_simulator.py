"""Tests of the simulator adapter: frames byte by byte, settings, and invalid input."""

from __future__ import annotations

import struct
import subprocess
import sys
from io import BytesIO

import pytest

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Effect,
    EndpointList,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    IdempotencyScope,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Readiness,
    Reject,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from crowpost.simulator import (
    Decoder,
    Record,
    Start,
    Stop,
    WireError,
    encode,
    encode_fault,
    parse_settings,
    reply,
)
from crowpost.simulator.host import serve

MINIMAL = {
    "profiles.count": "1",
    "profiles.0.aimMs": "1000.0",
    "profiles.0.deadlineMs": "3000.0",
    "profiles.0.effect": "safe",
}
SERVER_A = bytes.fromhex("0a124a078b13")
SERVER_B = bytes.fromhex("0a9011f2b413")


def settings_text(**changes: str | None) -> str:
    values: dict[str, str | None] = {
        **MINIMAL,
        **{key.replace("__", "."): value for key, value in changes.items()},
    }
    return "\n".join(f"{key}={value}" for key, value in values.items() if value is not None)


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<BI", code, len(fields)) + fields


def batch(*records: bytes, now: float = 241.004) -> bytes:
    body = b"".join(records)
    return struct.pack("<IdI", len(body), now, len(records)) + body


def decode(*records: bytes) -> list[Record]:
    return list(Decoder().records(b"".join(records), len(records)))


def start_instance(node: int, text: str) -> bytes:
    raw = text.encode()
    return record(1, struct.pack("<IQI", node, 5, len(raw)) + raw)


def table(number: int, *rows: bytes) -> bytes:
    return record(11, struct.pack("<II", number, len(rows)) + b"".join(rows))


def row(server: bytes, readiness: int = 1, hint: float = 1.5, started: float = 0.0) -> bytes:
    return struct.pack("<fH6sBHBd", hint, 2, server, 1, 7, readiness, started)


def endpoint_list(node: int, table_number: int, kind: int) -> bytes:
    return record(2, struct.pack("<IIIB", node, 41, table_number, kind))


def request_arrived(node: int, request: int, flags: int = 1) -> bytes:
    return record(3, struct.pack("<IIHHQddH", node, request, 0, 1, 9, 240.0, 12.0, flags))


def serve_batches(*batches: bytes) -> bytes:
    sink = BytesIO()
    serve(BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def replies(raw: bytes) -> list[list[tuple[int, bytes]]]:
    decoded, offset = [], 0
    while offset < len(raw):
        count, size = struct.unpack_from("<II", raw, offset)
        offset += 8
        end, records = offset + size, []
        while offset < end:
            code, length = struct.unpack_from("<BI", raw, offset)
            records.append((code, raw[offset + 5 : offset + 5 + length]))
            offset += 5 + length
        assert offset == end and len(records) == count
        decoded.append(records)
    return decoded


def test_each_field_of_an_event_is_decoded() -> None:
    assert decode(
        request_arrived(3, 99),
        request_arrived(3, 100, 6),
        record(5, struct.pack("<IIH6sHdBB2f", 3, 99, 1, SERVER_A, 200, 18.5, 1, 2, 0.5, 3.0)),
        record(4, struct.pack("<IIHd6s", 3, 99, 1, 18.5, SERVER_A)),
        record(6, struct.pack("<II", 3, 99)),
        record(7, struct.pack("<IQ", 3, 77)),
        record(8, struct.pack("<I6sHdB", 3, SERVER_B, 521, 1.5, 0)),
        record(9, struct.pack("<IHH", 3, 2, 4) + b"hi 7"),
        record(10, struct.pack("<I", 3)),
    ) == [
        (3, RequestArrived(99, 0, 240.0, 1, 9, 12.0, False, False)),
        (3, RequestArrived(100, 0, 240.0, 1, 9, None, True, True)),
        (3, AttemptEnded(99, 1, SERVER_A, Outcome.OK, 18.5, True, (0.5, 3.0))),
        (3, ResponseStarted(99, 1, SERVER_A, 18.5)),
        (3, RequestAbandoned(99)),
        (3, TimerFired(77)),
        (3, HealthCheckEnded(SERVER_B, Outcome.CONNECT_FAILED, 1.5)),
        (3, PeerMessage(2, b"hi 7")),
        (3, Stop()),
    ]


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        (200, Outcome.OK),
        (502, Outcome.ERROR),
        (429, Outcome.FULL),
        (408, Outcome.TIMEOUT),
        (521, Outcome.CONNECT_FAILED),
        (520, Outcome.RESET),
        (444, Outcome.CANCELLED),
        (409, Outcome.NOT_SENT),
    ],
)
def test_each_outcome_code_is_decoded(code: int, outcome: Outcome) -> None:
    ((_, event),) = decode(record(5, struct.pack("<IIH6sHdBB", 3, 9, 0, SERVER_A, code, 1.0, 0, 0)))
    assert isinstance(event, AttemptEnded) and event.outcome is outcome


def test_a_reused_table_number_is_read_in_order() -> None:
    events = [
        event
        for _, event in decode(
            table(0, row(SERVER_A)),
            endpoint_list(1, 0, 2),
            table(0, row(SERVER_B, 2, started=8.0)),
            endpoint_list(2, 0, 3),
            endpoint_list(1, 0, 1),
            endpoint_list(1, 9, 0),
        )
    ]
    assert all(isinstance(event, EndpointList) for event in events)
    lists = [event for event in events if isinstance(event, EndpointList)]
    assert [item.kind for item in lists] == [
        ListKind.CACHED,
        ListKind.FULL,
        ListKind.CHANGES,
        ListKind.FAILED,
    ]
    assert [tuple(entry.server for entry in item.entries) for item in lists] == [
        (SERVER_A,),
        (SERVER_B,),
        (SERVER_B,),
        (),
    ]
    entry = lists[1].entries[0]
    assert (entry.readiness, entry.capacity_hint, entry.kind, entry.zone, entry.cell, entry.started_ms) == (
        Readiness.DRAINING,
        1.5,
        2,
        1,
        7,
        8.0,
    )


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (Send(0x5D3A91C4, SERVER_A, 80.0), "41 16000000 03000000 c4913a5d 0a124a07 8b13 0000000000005440"),
        (Cancel(0x5D3A91C4, 0), "44 0a000000 03000000 c4913a5d 0000"),
        (CloseIdle(SERVER_B), "47 0a000000 03000000 0a9011f2 b413"),
        (Log("two servers known"), "49 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"),
        (Fail(0x0E6F2B19), "43 08000000 03000000 192b6f0e"),
        (Reject(0x0E6F2B19, 250.0), "42 10000000 03000000 192b6f0e 0000000000406f40"),
        (HealthCheck(SERVER_B), "46 0a000000 03000000 0a9011f2 b413"),
        (Subscribe(), "4b 05000000 03000000 01"),
        (SetTimer(0x4D, 8413.25), "45 14000000 03000000 4d00000000000000 00000000a06ec040"),
    ],
)
def test_each_action_is_encoded_byte_by_byte(action: Action, expected: str) -> None:
    assert encode(3, action) == bytes.fromhex(expected)


def test_fault_records_and_reply_frames() -> None:
    fault = encode_fault(3, "index out of range")
    assert fault == bytes.fromhex("4a 18000000 03000000 1200") + b"index out of range"
    assert reply([]) == bytes(8)
    assert reply([fault]) == struct.pack("<II", 1, len(fault)) + fault
    assert len(encode(3, Log("x" * 100_000))) < 2000


def test_unknown_keys_are_ignored_and_missing_keys_get_defaults() -> None:
    settings = parse_settings(
        settings_text(new__key="7", familyInfo__passesDeadline="", layers="a,b,c", stage="1")
    )
    assert (
        settings.classes[0].effect is Effect.SAFE
        and settings.classes[0].idempotency_scope is IdempotencyScope.ALL
    )
    assert settings.tiers == 3 and settings.tier == 1 and settings.tenants == ()
    assert settings.max_attempts == 1 and not settings.may_hedge and not settings.may_check_health


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("profiles.count", None),
        ("profiles.count", "0"),
        ("profiles.count", "1.5"),
        ("profiles.0.aimMs", None),
        ("profiles.0.aimMs", "soon"),
        ("profiles.0.deadlineMs", "-1"),
        ("profiles.0.effect", "maybe"),
        ("profiles.0.group", "rack"),
        ("policyLimits.tryLimit", "-2"),
        ("policyLimits.probes", "yes"),
        ("balancers", "0"),
        ("guarantees.coldMs", "nan"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_key(key: str, value: str | None) -> None:
    with pytest.raises(WireError, match=key.replace(".", r"\.")):
        parse_settings(settings_text(**{key.replace(".", "__"): value}))


def test_a_keyed_class_requires_an_idempotency_window() -> None:
    with pytest.raises(WireError, match="windowMs"):
        parse_settings(settings_text(profiles__0__effect="keyed"))


def test_an_instance_starts_is_killed_and_starts_again_in_one_batch() -> None:
    instance_replies = replies(
        serve_batches(
            batch(),
            batch(
                start_instance(4, settings_text()),
                table(0, row(SERVER_A)),
                endpoint_list(4, 0, 2),
                request_arrived(4, 1),
            ),
            batch(
                record(10, struct.pack("<I", 4)),
                start_instance(4, settings_text()),
                table(1, row(SERVER_B)),
                endpoint_list(4, 1, 2),
                request_arrived(4, 2),
            ),
        )
    )
    assert instance_replies[0] == []
    sends = [[fields for code, fields in records if code == 65] for records in instance_replies]
    assert [sent[0][8:14] for sent in sends[1:]] == [SERVER_A, SERVER_B]


def test_a_fault_of_one_instance_is_reported_and_does_not_affect_the_others() -> None:
    unexpected_end = record(5, struct.pack("<IIH6sHdBB", 4, 55, 0, SERVER_A, 200, 1.0, 1, 0))
    start = (
        start_instance(4, settings_text()),
        start_instance(5, settings_text()),
        table(0, row(SERVER_A)),
        endpoint_list(4, 0, 2),
        endpoint_list(5, 0, 2),
    )
    (records,) = replies(serve_batches(batch(*start, unexpected_end, request_arrived(5, 7))))
    assert [code for code, _ in records if code in (74, 65)] == [74, 65]
    assert b"attempt 0 of request 55 was not out" in next(fields for code, fields in records if code == 74)


def test_a_batch_of_3000_requests_is_served() -> None:
    start = batch(
        start_instance(4, settings_text()), table(0, row(SERVER_A), row(SERVER_B)), endpoint_list(4, 0, 2)
    )
    _, records = replies(serve_batches(start, batch(*(request_arrived(4, i) for i in range(1, 3001)))))
    assert any(code == 65 for code, _ in records)


def run_command(raw: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "crowpost.drill"], input=raw, capture_output=True, check=False
    )


def test_the_command_exits_without_errors_at_the_end_of_input() -> None:
    result = run_command(batch())
    assert (result.returncode, result.stdout, result.stderr) == (0, bytes(8), b"")


@pytest.mark.parametrize(
    "raw",
    [
        b"\x01\x02\x03",
        batch(request_arrived(4, 1))[:-3],
        struct.pack("<IdI", 0, 1.0, 1),
        batch(record(99, b"")),
        batch(record(6, b"\x01")),
        batch(record(5, struct.pack("<IIH6sHdBB", 4, 5, 0, SERVER_A, 777, 1.0, 1, 0))),
        batch(endpoint_list(4, 3, 2)),
        batch(request_arrived(4, 1)),
        batch(start_instance(4, settings_text(profiles__count="0"))),
        batch(start_instance(4, settings_text())) + b"\x00",
    ],
)
def test_malformed_input_ends_the_command_with_a_one_line_error(raw: bytes) -> None:
    result = run_command(raw)
    text = result.stderr.decode()
    assert result.returncode == 2
    assert text.startswith("crowpost.drill: ") and text.count("\n") == 1 and "Traceback" not in text


def test_a_start_record_is_decoded_to_seed_and_settings() -> None:
    ((node, start),) = decode(start_instance(6, settings_text()))
    assert node == 6 and isinstance(start, Start) and start.seed == 5
