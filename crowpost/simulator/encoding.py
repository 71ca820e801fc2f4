"""Encode actions as records of the simulator's wire protocol, and records as reply frames."""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from crowpost.decision_api import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from crowpost.simulator.framing import RECORD_HEADER, REPLY_HEADER

_MAX_TEXT_BYTES = 1000

# Each layout includes the record header.
_SEND = struct.Struct("<BIII6sd")
_REJECT = struct.Struct("<BIIId")
_FAIL = struct.Struct("<BIII")
_CANCEL = struct.Struct("<BIIIH")
_SET_TIMER = struct.Struct("<BIIQd")
_ENDPOINT = struct.Struct("<BII6s")
_SUBSCRIBE = struct.Struct("<BIIB")
_TEXT = struct.Struct("<BIIH")


class RecordCode(IntEnum):
    """The kinds of records in a reply."""

    SEND = 65
    REJECT = 66
    FAIL = 67
    CANCEL = 68
    SET_TIMER = 69
    HEALTH_CHECK = 70
    CLOSE_IDLE = 71
    LOG = 73
    FAULT = 74
    SUBSCRIBE = 75


def encode(node: int, action: Action) -> bytes:
    """Return one action of one instance as a record."""
    return _ENCODERS[type(action)](node, action)


def encode_fault(node: int, text: str) -> bytes:
    """Return the record that reports an exception in the decision code of an instance."""
    return _text(RecordCode.FAULT, node, text)


def reply(records: list[bytes]) -> bytes:
    """Return a reply frame that contains these records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body


def _length(layout: struct.Struct) -> int:
    return layout.size - RECORD_HEADER.size


def _text(code: RecordCode, node: int, text: str) -> bytes:
    body = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, _length(_TEXT) + len(body), node, len(body)) + body


def _send(node: int, action: Send) -> bytes:
    return _SEND.pack(RecordCode.SEND, _length(_SEND), node, action.request, action.server, action.timeout_ms)


def _reject(node: int, action: Reject) -> bytes:
    return _REJECT.pack(RecordCode.REJECT, _length(_REJECT), node, action.request, action.retry_after_ms)


def _fail(node: int, action: Fail) -> bytes:
    return _FAIL.pack(RecordCode.FAIL, _length(_FAIL), node, action.request)


def _cancel(node: int, action: Cancel) -> bytes:
    return _CANCEL.pack(RecordCode.CANCEL, _length(_CANCEL), node, action.request, action.attempt)


def _set_timer(node: int, action: SetTimer) -> bytes:
    return _SET_TIMER.pack(RecordCode.SET_TIMER, _length(_SET_TIMER), node, action.token, action.at_ms)


def _health_check(node: int, action: HealthCheck) -> bytes:
    return _ENDPOINT.pack(RecordCode.HEALTH_CHECK, _length(_ENDPOINT), node, action.server)


def _close_idle(node: int, action: CloseIdle) -> bytes:
    return _ENDPOINT.pack(RecordCode.CLOSE_IDLE, _length(_ENDPOINT), node, action.server)


def _subscribe(node: int, _action: Subscribe) -> bytes:
    return _SUBSCRIBE.pack(RecordCode.SUBSCRIBE, _length(_SUBSCRIBE), node, 1)


def _log(node: int, action: Log) -> bytes:
    return _text(RecordCode.LOG, node, action.text)


_ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    Send: _send,
    SetTimer: _set_timer,
    Reject: _reject,
    Fail: _fail,
    Cancel: _cancel,
    HealthCheck: _health_check,
    CloseIdle: _close_idle,
    Subscribe: _subscribe,
    Log: _log,
}
