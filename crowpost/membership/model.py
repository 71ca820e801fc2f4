"""What is known of a member, how its states are ordered, and the bounds on what it may carry.

A member's process declares its own phase; what others hold of it is a verdict.  Each declaration of its own
raises its incarnation, and of two claims the higher (incarnation, verdict) holds: so a suspicion or a death
is refuted by the next incarnation and by nothing else.  No wall clock takes part: `started_s` is only
shown.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

WIRE = 1  # version of the messages; a neighbouring one is understood
NAME_BYTES = 64
ADDRESS_BYTES = 21
ZONE_BYTES = 32
ROLE_BYTES = 16
WHY_BYTES = 64
FACTS = 6
FACT_KEY_BYTES = 24
FACT_VALUE_BYTES = 64


class MemberError(ValueError):
    """A member, message or setting that cannot be meant; its text is one line."""


class Phase(IntEnum):
    """What a process says of itself."""

    JOINING = 0
    PRESENT = 1
    LEAVING = 2


class Verdict(IntEnum):
    """What is held of it, in the order of strength at one incarnation."""

    NONE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Profile:
    """What a process carries besides its state; bounded, so that one always fits into a datagram."""

    name: str
    address: str  # host:port that others reach it at, by UDP and TCP
    zone: str = ""
    role: str = "node"
    wire: int = WIRE
    started_s: float = 0.0  # Unix time, only shown
    facts: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for label, text, most in (
            ("name", self.name, NAME_BYTES),
            ("address", self.address, ADDRESS_BYTES),
            ("zone", self.zone, ZONE_BYTES),
            ("role", self.role, ROLE_BYTES),
        ):
            if len(text.encode()) > most:
                raise MemberError(f"{label} is longer than {most} bytes: {text[:80]!r}")
        if not self.name:
            raise MemberError("name is empty")
        split_address(self.address)
        if len(self.facts) > FACTS:
            raise MemberError(f"{len(self.facts)} facts, {FACTS} at the most")
        for key, value in self.facts.items():
            if len(key.encode()) > FACT_KEY_BYTES or len(value.encode()) > FACT_VALUE_BYTES:
                raise MemberError(
                    f"fact {key[:40]!r} is longer than {FACT_KEY_BYTES} and {FACT_VALUE_BYTES} bytes"
                )


def split_address(address: str) -> tuple[str, int]:
    """Host and port of 'host:port', the host an IPv4 address; MemberError for anything else.

    No name: what a peer claims is sent to as it stands, and nothing may wait for a look-up.
    """
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    numbers = [int(p) for p in (*parts, port) if p.isascii() and p.isdigit() and len(p) < 6]
    if len(numbers) != 5 or len(parts) != 4 or max(numbers[:4]) > 255 or numbers[4] > 65535:
        raise MemberError(f"not an IPv4 address and a port: {address!r}")
    return host, numbers[4]


@dataclass(frozen=True, slots=True)
class Claim:
    """One statement on a member, as it travels; `profile` goes with it where it may be new to others."""

    name: str
    birth: int  # 32 random bits that tell two processes of one name apart
    incarnation: int
    phase: Phase
    verdict: Verdict
    by: str  # who said so first
    why: str = ""
    profile: Profile | None = None

    @property
    def rank(self) -> tuple[int, int]:
        return self.incarnation, int(self.verdict)


@dataclass(slots=True, eq=False)
class Member:
    """What this process holds of one member; times are ms on its own monotonic clock."""

    profile: Profile
    birth: int
    incarnation: int
    phase: Phase
    verdict: Verdict
    by: str
    why: str
    since: float  # when it came into this state here
    heard: float = -math.inf  # when it last said anything to this process itself
    counter: int = -1  # of its datagrams, the highest that came
    doubts: int = 0  # probes in a row that it did not answer
    accusers: frozenset[str] = frozenset()
    timer: int = 0  # generation of the timer of its suspicion
    condemned: float = math.inf  # when a death that another declared holds here, unless it is refuted first
    told_at: float = -math.inf  # when it was last told what is held of it
    deaths: int = 0  # how often it was held dead here

    @property
    def name(self) -> str:
        return self.profile.name

    @property
    def alive(self) -> bool:
        """Neither dead nor left."""
        return self.verdict < Verdict.DEAD

    @property
    def state(self) -> str:
        """One word: joining, present, leaving, suspected, dead or left."""
        return (self.verdict.name if self.verdict else self.phase.name).lower()

    def claim(self, full: bool = True) -> Claim:
        profile = self.profile if full else None
        return Claim(
            self.name, self.birth, self.incarnation, self.phase, self.verdict, self.by, self.why, profile
        )


@dataclass(frozen=True, slots=True)
class Change:
    """A member came into another state, here."""

    at: float  # ms
    name: str
    before: str  # "" for a member that was not known
    after: str
    by: str
    why: str
    role: str
    incarnation: int
    birth: int


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times of the protocol, in ms, and its bounds.  Source: SWIM (Das et al., 2002), Lifeguard (Dadgar et
    al., 2018); the figures are measured in docs/membership.md.
    """

    probe_ms: float = 500.0  # one member is probed in each such period
    helpers: int = 4  # asked for an indirect probe, at each of two steps
    suspicion: float = 1.2  # least time of a suspicion, in periods, for each power of ten of members
    suspicion_most: float = 5.0  # and the most, in times of the least: before any other has confirmed it
    confirmations: int = 3  # that bring it down to the least
    gossip_ms: float = 150.0  # between rounds of gossip while there is any
    fanout: int = 3
    repeats: float = 5.0  # how often a claim is passed on, for each power of ten of members
    sync_ms: float = 30_000.0  # between exchanges of tables with anybody
    mismatch_ms: float = 10_000.0  # and with one whose view has differed for so long
    rejoin_ms: float = 5_000.0  # between calls at members held dead
    forget_ms: float = 7_200_000.0  # dead and left members are remembered for so long
    most_members: int = 5_000
    most_gone: int = 4_096  # dead and left members kept at the most
    datagram_bytes: int = 1_200
    bytes_per_s: float = 1_800.0  # that gossip may take in the mean, probes included; those always go
    bytes_saved: float = 54_000.0  # of that, saved up in quiet: many deaths at once must not wait for it
