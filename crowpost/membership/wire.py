"""Messages as bytes: a head with magic, version, kind, cluster and checksum, and a MessagePack body.

Datagrams and the frames of a table exchange share the head.  Reading is strict about types and bounds, and
lenient about items that a neighbouring version appends to a body.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from crowpost.membership.model import (
    NAME_BYTES,
    WHY_BYTES,
    WIRE,
    Claim,
    MemberError,
    Phase,
    Profile,
    Verdict,
    split_address,
)

MAGIC = b"CM"
HEAD = struct.Struct(">2sBBII")  # magic, wire version, kind, cluster, CRC-32 of the body
LENGTH = struct.Struct(">I")  # in front of a frame on TCP
FRAME_BYTES = 4_000_000
_WORD = 2**32


class Kind(IntEnum):
    """What a message is: the first five are datagrams, the others frames on TCP."""

    PING = 1
    ACK = 2
    ASK = 3  # for an indirect probe
    NACK = 4
    GOSSIP = 5
    HELLO = 16
    TABLE = 17
    REST = 18
    REFUSED = 19
    VIEW = 20
    LEAVE = 21
    DONE = 22


class Foreign(MemberError):  # noqa: N818 - named for what it says
    """Bytes that are no message of this cluster; `kind` says in a word why, for the counts."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a datagram, and how it stands: a claim of its own on every one."""

    name: str
    birth: int
    incarnation: int
    phase: Phase
    counter: int  # rises with every datagram of the process, so that one replayed is known
    digest: int  # of its view


@dataclass(frozen=True, slots=True)
class Message:
    """A datagram.  subject: whom a probe is about; reply_to: where its sender is reached."""

    kind: Kind
    sender: Sender
    number: int = 0
    subject: str = ""
    reply_to: str = ""
    claims: tuple[Claim, ...] = ()


def tag(cluster: str) -> int:
    """The cluster's name in a head."""
    return zlib.crc32(cluster.encode())


def seal(kind: Kind, cluster: int, body: bytes) -> bytes:
    """Head and body."""
    return HEAD.pack(MAGIC, WIRE, kind, cluster, zlib.crc32(body)) + body


def unseal(data: bytes, cluster: int | None) -> tuple[Kind, bytes]:
    """Kind and body of a message; Foreign for anything else.  cluster None: of any."""
    if len(data) < HEAD.size:
        raise Foreign("short", f"{len(data)} bytes are no message")
    magic, wire, kind, named, checksum = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise Foreign("magic", "bytes of another protocol")
    if abs(wire - WIRE) > 1:
        raise Foreign("wire", f"wire version {wire}, this process speaks {WIRE}")
    if cluster is not None and named != cluster:
        raise Foreign("cluster", "a message of another cluster")
    body = data[HEAD.size :]
    if zlib.crc32(body) != checksum:
        raise Foreign("checksum", "a message whose checksum is wrong")
    try:
        return Kind(kind), body
    except ValueError:
        raise Foreign("kind", f"a message of unknown kind {kind}") from None


def pack(value: Any) -> bytes:
    """MessagePack."""
    data: bytes = msgpack.packb(value)
    return data


def unpack(body: bytes) -> Any:
    """The value of a body; Foreign where it is damaged or nested beyond reason."""
    try:
        return msgpack.unpackb(body, max_map_len=1_000, max_array_len=100_000, max_bin_len=FRAME_BYTES)
    except (ValueError, RecursionError, msgpack.exceptions.UnpackException) as error:
        raise Foreign("malformed", f"a body that cannot be read: {error}") from None


# ---------------------------------------------------------------- claims


def claim_row(claim: Claim) -> list[Any]:
    """A claim as a MessagePack value."""
    row = [
        claim.name,
        claim.birth,
        claim.incarnation,
        int(claim.phase),
        int(claim.verdict),
        claim.by,
        claim.why,
    ]
    p = claim.profile
    if p is not None:
        row.append([p.address, p.zone, p.role, p.wire, p.started_s, p.facts])
    return row


def read_claim(row: Any) -> Claim:
    """A claim from a MessagePack value; Foreign where it is none."""
    try:
        name, birth, incarnation, phase, verdict, by, why, *more = row
        if not (isinstance(name, str) and isinstance(by, str) and isinstance(why, str)):
            raise Foreign("malformed", "a claim whose names are no text")
        if not (_whole(birth) and _whole(incarnation)) or len(why.encode()) > WHY_BYTES:
            raise Foreign("malformed", "a claim out of its bounds")
        if len(by.encode()) > NAME_BYTES or not 0 < len(name.encode()) <= NAME_BYTES:
            raise Foreign("malformed", "a claim with a name out of its bounds")
        profile = None
        if more:
            address, zone, role, wire, started_s, facts, *_ = more[0]
            texts = (address, zone, role, *facts.keys(), *facts.values())
            if not all(isinstance(text, str) for text in texts) or not _whole(wire):
                raise Foreign("malformed", "a profile of other types")
            profile = Profile(name, address, zone, role, wire, float(started_s), facts)
        return Claim(name, birth, incarnation, Phase(phase), Verdict(verdict), by, why, profile)
    except Foreign:
        raise
    except (TypeError, ValueError, AttributeError, UnicodeError) as error:
        raise Foreign("malformed", f"a claim that cannot be read: {error}") from None


def _whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < _WORD


# ---------------------------------------------------------------- datagrams


def datagram(message: Message, cluster: int, rows: list[bytes]) -> bytes:
    """A datagram; its claims are given packed, as they are sent many times."""
    s = message.sender
    head = pack(
        [
            [s.name, s.birth, s.incarnation, int(s.phase), s.counter, s.digest],
            message.number,
            message.subject,
            message.reply_to,
        ]
    )
    # The list of claims is written by hand after the four fixed items: an array of five in all.
    body = b"\x95" + head[1:] + b"\xdc" + struct.pack(">H", len(rows)) + b"".join(rows)
    return seal(message.kind, cluster, body)


def read_datagram(data: bytes, cluster: int, most: int) -> Message:
    """A datagram's message; Foreign for anything that is none of this cluster's."""
    if len(data) > most:
        raise Foreign("oversized", f"{len(data)} bytes, {most} at the most")
    kind, body = unseal(data, cluster)
    if kind > Kind.GOSSIP:
        raise Foreign("kind", f"a datagram of kind {kind.name}")
    value = unpack(body)
    try:
        sender, number, subject, reply_to, rows, *_ = value
        name, birth, incarnation, phase, counter, digest, *_ = sender
        texts = (name, subject, reply_to)
        wholes = (birth, incarnation, counter, digest, number)
        if not all(isinstance(t, str) and len(t) <= 64 for t in texts) or not all(map(_whole, wholes)):
            raise Foreign("malformed", "a datagram of other types")
        if reply_to:
            split_address(reply_to)  # it is answered, and exchanged with, as it stands
        return Message(
            kind,
            Sender(name, birth, incarnation, Phase(phase), counter, digest),
            number,
            subject,
            reply_to,
            tuple(read_claim(row) for row in rows),
        )
    except Foreign:
        raise
    except (TypeError, ValueError) as error:
        raise Foreign("malformed", f"a datagram that cannot be read: {error}") from None
