"""Decode batches, records and settings of the simulator's wire protocol to types of the decision module.

The layouts follow the operators' description of the wire protocol.  No decision is taken here.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum, IntFlag

from crowpost.decision_api import (
    AttemptEnded,
    EndpointEntry,
    EndpointList,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    PeerMessage,
    Readiness,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    Settings,
    SettingsError,
    TimerFired,
    read_settings,
)
from crowpost.simulator.framing import RECORD_HEADER, WireError

_NODE = struct.Struct("<I")
_START = struct.Struct("<IQI")
_TABLE = struct.Struct("<II")
_TABLE_ROW = struct.Struct("<fH6sBHBd")
_ENDPOINT_LIST = struct.Struct("<IIIB")
_REQUEST_ARRIVED = struct.Struct("<IIHHQddH")
_RESPONSE_STARTED = struct.Struct("<IIHd6s")
_ATTEMPT_ENDED = struct.Struct("<IIH6sHdBB")
_REQUEST_ABANDONED = struct.Struct("<II")
_TIMER_FIRED = struct.Struct("<IQ")
_HEALTH_CHECK_ENDED = struct.Struct("<I6sHdB")
_PEER_MESSAGE = struct.Struct("<IHH")

_MAX_TABLES = 16

_OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.FULL,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}


class RecordCode(IntEnum):
    """The kinds of records in a batch."""

    START = 1
    ENDPOINT_LIST = 2
    REQUEST_ARRIVED = 3
    RESPONSE_STARTED = 4
    ATTEMPT_ENDED = 5
    REQUEST_ABANDONED = 6
    TIMER_FIRED = 7
    HEALTH_CHECK_ENDED = 8
    PEER_MESSAGE = 9
    STOP = 10
    TABLE = 11


class RequestFlag(IntFlag):
    """Flags of a request that arrives."""

    HAS_COST_HINT = 1
    IS_REPEAT = 2
    IS_WRITE = 4


@dataclass(frozen=True, slots=True)
class Start:
    """An instance starts with these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance was killed."""


Record = tuple[int, Event | Start | Stop]  # Instance number and event


def parse_settings(text: str) -> Settings:
    """Return the settings from path=value lines; raise WireError if they are invalid."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator:
            values[path.strip()] = value.strip()
    try:
        return read_settings(values)
    except SettingsError as error:
        raise WireError(str(error)) from error


class Decoder:
    """Decodes batches; keeps the numbered endpoint tables, which all instances of the process share."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[EndpointEntry, ...]] = {}
        self._readers: dict[int, Callable[[bytes], Record]] = {
            RecordCode.ATTEMPT_ENDED: _read_attempt_ended,
            RecordCode.REQUEST_ARRIVED: _read_request_arrived,
            RecordCode.TIMER_FIRED: _read_timer_fired,
            RecordCode.ENDPOINT_LIST: self._read_endpoint_list,
            RecordCode.REQUEST_ABANDONED: _read_request_abandoned,
            RecordCode.HEALTH_CHECK_ENDED: _read_health_check_ended,
            RecordCode.RESPONSE_STARTED: _read_response_started,
            RecordCode.PEER_MESSAGE: _read_peer_message,
            RecordCode.STOP: _read_stop,
            RecordCode.START: _read_start,
        }

    def records(self, body: bytes, count: int) -> Iterator[Record]:
        """Yield the records of one batch in order: a later table may reuse the number of an earlier one."""
        offset = 0
        for _ in range(count):
            if offset + RECORD_HEADER.size > len(body):
                raise WireError("a batch ends before its last record")
            code, length = RECORD_HEADER.unpack_from(body, offset)
            offset += RECORD_HEADER.size
            if offset + length > len(body):
                raise WireError(f"record {code} is truncated")
            fields = body[offset : offset + length]
            offset += length
            try:
                record = self._read(code, fields)
            except (struct.error, ValueError, KeyError) as error:
                raise WireError(f"record {code} cannot be decoded: {error}") from error
            if record is not None:
                yield record
        if offset != len(body):
            raise WireError("a batch has extra bytes after its last record")

    def _read(self, code: int, body: bytes) -> Record | None:
        """Return a decoded record; None for a table, which is stored."""
        if code == RecordCode.TABLE:
            self._read_table(body)
            return None
        reader = self._readers.get(code)
        if reader is None:
            raise WireError(f"record code {code} is unknown")
        return reader(body)

    def _read_table(self, body: bytes) -> None:
        number = _TABLE.unpack_from(body)[0]
        if number >= _MAX_TABLES:
            raise WireError(f"table number {number} is out of range")
        self._tables[number] = _read_entries(body)

    def _read_endpoint_list(self, body: bytes) -> Record:
        node, version, table, kind_code = _ENDPOINT_LIST.unpack_from(body)
        kind = ListKind(kind_code)
        entries = () if kind is ListKind.FAILED else self._tables[table]
        return node, EndpointList(kind, entries, version)


# ---------------------------------------------------------------- record bodies


def _read_floats(body: bytes, offset: int, count: int) -> tuple[float, ...]:
    if not count:
        return ()
    values: tuple[float, ...] = struct.unpack_from(f"<{count}f", body, offset)
    return values


def _read_entries(body: bytes) -> tuple[EndpointEntry, ...]:
    count = _TABLE.unpack_from(body)[1]
    if len(body) < _TABLE.size + count * _TABLE_ROW.size:
        raise WireError("a table is shorter than its number of entries")
    entries = []
    for row in range(count):
        offset = _TABLE.size + row * _TABLE_ROW.size
        capacity_hint, kind, endpoint, zone, cell, readiness, started_ms = _TABLE_ROW.unpack_from(
            body, offset
        )
        entries.append(
            EndpointEntry(endpoint, Readiness(readiness), capacity_hint, kind, zone, cell, started_ms)
        )
    return tuple(entries)


def _read_attempt_ended(body: bytes) -> Record:
    node, request, attempt, endpoint, outcome, elapsed_ms, finished, columns = _ATTEMPT_ENDED.unpack_from(
        body
    )
    load = _read_floats(body, _ATTEMPT_ENDED.size, columns)
    ended = AttemptEnded(request, attempt, endpoint, _OUTCOMES[outcome], elapsed_ms, bool(finished), load)
    return node, ended


def _read_request_arrived(body: bytes) -> Record:
    node, request, class_index, tenant, key, budget_ms, cost_hint_ms, flags = _REQUEST_ARRIVED.unpack_from(
        body
    )
    arrived = RequestArrived(
        request,
        class_index,
        budget_ms,
        tenant,
        key,
        cost_hint_ms=cost_hint_ms if flags & RequestFlag.HAS_COST_HINT else None,
        is_repeat=bool(flags & RequestFlag.IS_REPEAT),
        is_write=bool(flags & RequestFlag.IS_WRITE),
    )
    return node, arrived


def _read_timer_fired(body: bytes) -> Record:
    node, token = _TIMER_FIRED.unpack_from(body)
    return node, TimerFired(token)


def _read_request_abandoned(body: bytes) -> Record:
    node, request = _REQUEST_ABANDONED.unpack_from(body)
    return node, RequestAbandoned(request)


def _read_health_check_ended(body: bytes) -> Record:
    node, endpoint, outcome, elapsed_ms, columns = _HEALTH_CHECK_ENDED.unpack_from(body)
    load = _read_floats(body, _HEALTH_CHECK_ENDED.size, columns)
    return node, HealthCheckEnded(endpoint, _OUTCOMES[outcome], elapsed_ms, load)


def _read_response_started(body: bytes) -> Record:
    node, request, attempt, elapsed_ms, endpoint = _RESPONSE_STARTED.unpack_from(body)
    return node, ResponseStarted(request, attempt, endpoint, elapsed_ms)


def _read_peer_message(body: bytes) -> Record:
    node, sender, length = _PEER_MESSAGE.unpack_from(body)
    if len(body) < _PEER_MESSAGE.size + length:
        raise WireError("a peer message is truncated")
    return node, PeerMessage(sender, body[_PEER_MESSAGE.size : _PEER_MESSAGE.size + length])


def _read_stop(body: bytes) -> Record:
    return _NODE.unpack_from(body)[0], Stop()


def _read_start(body: bytes) -> Record:
    node, seed, length = _START.unpack_from(body)
    text = body[_START.size : _START.size + length]
    if len(text) < length:
        raise WireError("settings are truncated")
    return node, Start(seed, parse_settings(text.decode()))
