"""Encoding of messages: a fixed header and a MessagePack body, the same in UDP datagrams and TCP frames.

Decoding checks types and limits strictly.  It ignores items that the next wire version appends to a body.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from crowpost.membership.errors import InvalidMessageError, InvalidMessageReason
from crowpost.membership.model import (
    MAX_NAME_BYTES,
    MAX_REASON_BYTES,
    WIRE_VERSION,
    Liveness,
    Phase,
    Profile,
    StateUpdate,
    split_address,
)

MAGIC = b"CM"
HEADER = struct.Struct(">2sBBII")  # Magic, wire version, kind, cluster tag, CRC-32 of the body
LENGTH_PREFIX = struct.Struct(">I")  # Precedes each frame on TCP
MAX_FRAME_BYTES = 4_000_000
MAX_TEXT_CHARS = 64  # Length of a name or address in a datagram
_UINT32_END = 2**32

# MessagePack type bytes of the arrays in a datagram's body.
_ARRAY_OF_FIVE = b"\x95"
_ARRAY_16 = b"\xdc"
_ARRAY_16_LENGTH = struct.Struct(">H")


class MessageKind(IntEnum):
    """The kind of a message: the first five are UDP datagrams, the others TCP frames."""

    PING = 1
    ACK = 2
    PING_REQ = 3
    NACK = 4
    GOSSIP = 5
    SYNC_REQUEST = 16
    SYNC_RESPONSE = 17
    SYNC_COMPLETION = 18
    SYNC_REJECTED = 19
    VIEW = 20
    LEAVE = 21
    DONE = 22

    @property
    def label(self) -> str:
        """The name in error texts.  These are sent to other versions, so the names must not change."""
        return _KIND_LABELS.get(self, self.name)


_KIND_LABELS = {
    MessageKind.PING_REQ: "ASK",
    MessageKind.SYNC_REQUEST: "HELLO",
    MessageKind.SYNC_RESPONSE: "TABLE",
    MessageKind.SYNC_COMPLETION: "REST",
    MessageKind.SYNC_REJECTED: "REFUSED",
}


@dataclass(frozen=True, slots=True)
class Sender:
    """The sender of a datagram and its own state, which is part of every datagram."""

    name: str
    instance_id: int
    incarnation: int
    phase: Phase
    datagram_counter: int  # Incremented with every datagram, to detect replays
    view_digest: int

    def to_update(self) -> StateUpdate:
        """Return the sender's own state as an update."""
        return StateUpdate(
            self.name, self.instance_id, self.incarnation, self.phase, Liveness.ALIVE, self.name
        )


@dataclass(frozen=True, slots=True)
class Message:
    """A datagram."""

    kind: MessageKind
    sender: Sender
    number: int = 0  # Number of the probe
    target: str = ""  # Name of the probed member
    reply_to: str = ""  # Address of the sender
    updates: tuple[StateUpdate, ...] = ()


def cluster_tag(cluster: str) -> int:
    """Return the checksum of the cluster name that is part of each header."""
    return zlib.crc32(cluster.encode())


def encode_frame(kind: MessageKind, tag: int, body: bytes) -> bytes:
    """Return a header followed by the body."""
    return HEADER.pack(MAGIC, WIRE_VERSION, kind, tag, zlib.crc32(body)) + body


def decode_frame(data: bytes, tag: int | None) -> tuple[MessageKind, bytes]:
    """Return kind and body of a message; raise InvalidMessageError if it is invalid.

    `tag` is the tag of the cluster that the message must belong to; None accepts any cluster.
    """
    if len(data) < HEADER.size:
        raise InvalidMessageError(InvalidMessageReason.SHORT, f"{len(data)} bytes are no message")
    magic, wire_version, kind, sender_tag, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise InvalidMessageError(InvalidMessageReason.MAGIC, "bytes of another protocol")
    if abs(wire_version - WIRE_VERSION) > 1:
        text = f"wire version {wire_version}, this process speaks {WIRE_VERSION}"
        raise InvalidMessageError(InvalidMessageReason.WIRE, text)
    if tag is not None and sender_tag != tag:
        raise InvalidMessageError(InvalidMessageReason.CLUSTER, "a message of another cluster")
    body = data[HEADER.size :]
    if zlib.crc32(body) != checksum:
        raise InvalidMessageError(InvalidMessageReason.CHECKSUM, "a message whose checksum is wrong")
    try:
        return MessageKind(kind), body
    except ValueError as error:
        text = f"a message of unknown kind {kind}"
        raise InvalidMessageError(InvalidMessageReason.KIND, text) from error


def pack(value: Any) -> bytes:
    """Return a value as MessagePack."""
    data: bytes = msgpack.packb(value)
    return data


def unpack(body: bytes) -> Any:
    """Return the value of a body; raise InvalidMessageError if it is damaged or nested too deeply."""
    try:
        return msgpack.unpackb(body, max_map_len=1_000, max_array_len=100_000, max_bin_len=MAX_FRAME_BYTES)
    except (ValueError, RecursionError, msgpack.exceptions.UnpackException) as error:
        raise malformed(f"a body that cannot be read: {error}") from error


def malformed(text: str) -> InvalidMessageError:
    """Return the error for a body with wrong types or values."""
    return InvalidMessageError(InvalidMessageReason.MALFORMED, text)


# ---------------------------------------------------------------- state updates


def encode_update(update: StateUpdate) -> list[Any]:
    """Return an update as a MessagePack value."""
    row: list[Any] = [
        update.name,
        update.instance_id,
        update.incarnation,
        int(update.phase),
        int(update.liveness),
        update.origin,
        update.reason,
    ]
    profile = update.profile
    if profile is not None:
        row.append(
            [
                profile.address,
                profile.zone,
                profile.role,
                profile.wire_version,
                profile.started_s,
                profile.facts,
            ]
        )
    return row


def decode_update(row: Any) -> StateUpdate:
    """Return an update from a MessagePack value; raise InvalidMessageError if it is invalid."""
    try:
        return _decode_update(row)
    except InvalidMessageError:
        raise
    except (TypeError, ValueError, AttributeError, UnicodeError) as error:
        raise malformed(f"a claim that cannot be read: {error}") from error


def _decode_update(row: Any) -> StateUpdate:
    name, instance_id, incarnation, phase, liveness, origin, reason, *optional_items = row
    if not (isinstance(name, str) and isinstance(origin, str) and isinstance(reason, str)):
        raise malformed("a claim whose names are no text")
    in_bounds = _is_uint32(instance_id) and _is_uint32(incarnation)
    if not in_bounds or len(reason.encode()) > MAX_REASON_BYTES:
        raise malformed("a claim out of its bounds")
    if len(origin.encode()) > MAX_NAME_BYTES or not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise malformed("a claim with a name out of its bounds")
    profile = _decode_profile(name, optional_items[0]) if optional_items else None
    return StateUpdate(
        name, instance_id, incarnation, Phase(phase), Liveness(liveness), origin, reason, profile
    )


def _decode_profile(name: str, row: Any) -> Profile:
    address, zone, role, wire_version, started_s, facts, *_ = row
    texts = (address, zone, role, *facts.keys(), *facts.values())
    if not all(isinstance(text, str) for text in texts) or not _is_uint32(wire_version):
        raise malformed("a profile of other types")
    return Profile(name, address, zone, role, wire_version, float(started_s), facts)


def _is_uint32(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < _UINT32_END


# ---------------------------------------------------------------- datagrams


def encode_datagram(message: Message, tag: int, encoded_updates: list[bytes]) -> bytes:
    """Return an encoded datagram.  Updates are passed encoded, since each of them is sent many times."""
    sender = message.sender
    sender_row = [
        sender.name,
        sender.instance_id,
        sender.incarnation,
        int(sender.phase),
        sender.datagram_counter,
        sender.view_digest,
    ]
    fixed_items = pack([sender_row, message.number, message.target, message.reply_to])
    # The four fixed items are packed as an array.  Its type byte is replaced by that of an array of five, and
    # the array of updates is appended as the fifth item.
    updates = _ARRAY_16 + _ARRAY_16_LENGTH.pack(len(encoded_updates)) + b"".join(encoded_updates)
    return encode_frame(message.kind, tag, _ARRAY_OF_FIVE + fixed_items[1:] + updates)


def decode_datagram(data: bytes, tag: int, max_bytes: int) -> Message:
    """Return a datagram's message; raise InvalidMessageError if it is not valid in this cluster."""
    if len(data) > max_bytes:
        text = f"{len(data)} bytes, {max_bytes} at most"
        raise InvalidMessageError(InvalidMessageReason.OVERSIZED, text)
    kind, body = decode_frame(data, tag)
    if kind > MessageKind.GOSSIP:
        raise InvalidMessageError(InvalidMessageReason.KIND, f"{kind.label} is not sent as a datagram")
    value = unpack(body)
    try:
        return _decode_message(kind, value)
    except InvalidMessageError:
        raise
    except (TypeError, ValueError) as error:
        raise malformed(f"the datagram cannot be decoded: {error}") from error


def _decode_message(kind: MessageKind, value: Any) -> Message:
    sender_row, number, target, reply_to, rows, *_ = value
    name, instance_id, incarnation, phase, counter, digest, *_ = sender_row
    texts = (name, target, reply_to)
    integers = (instance_id, incarnation, counter, digest, number)
    if not all(isinstance(text, str) and len(text) <= MAX_TEXT_CHARS for text in texts):
        raise malformed("a name or address in the datagram is not a string, or is too long")
    if not all(map(_is_uint32, integers)):
        raise malformed("a number in the datagram is not an unsigned 32-bit integer")
    if reply_to:
        split_address(reply_to)  # Replies and syncs are sent to this address without further checks
    sender = Sender(name, instance_id, incarnation, Phase(phase), counter, digest)
    updates = tuple(decode_update(row) for row in rows)
    return Message(kind, sender, number, target, reply_to, updates)
