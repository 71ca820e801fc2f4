"""Members, their states, and the updates that change them.

A process announces its own phase; what others hold of it is its liveness.  Every announcement raises the
incarnation of the process.  Of two updates the one with the higher (incarnation, liveness) wins, so a
suspicion or a death is refuted by a higher incarnation only (SWIM, section 4.2).  No wall clock is used:
`started_s` is only shown.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from crowpost.membership.errors import MembershipError

WIRE_VERSION = 1  # of the messages; a neighbouring version is understood

# Bounds on what a member carries, so that one update always fits into a datagram.
MAX_NAME_BYTES = 64
MAX_ADDRESS_BYTES = 21
MAX_ZONE_BYTES = 32
MAX_ROLE_BYTES = 16
MAX_REASON_BYTES = 64
MAX_FACTS = 6
MAX_FACT_KEY_BYTES = 24
MAX_FACT_VALUE_BYTES = 64

_IPV4_PARTS = 4
_MAX_OCTET = 255
_MAX_PORT = 65_535


class Phase(IntEnum):
    """The life cycle phase that a process announces of itself."""

    JOINING = 0
    PRESENT = 1
    LEAVING = 2

    @property
    def label(self) -> str:
        """The word for this phase in views, metrics and logs."""
        return _PHASE_LABELS[self]


class Liveness(IntEnum):
    """What the others hold of a process, in the order of precedence at one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The word for this liveness in views, metrics and logs."""
        return _LIVENESS_LABELS[self]


_PHASE_LABELS = {Phase.JOINING: "joining", Phase.PRESENT: "present", Phase.LEAVING: "leaving"}
_LIVENESS_LABELS = {
    Liveness.ALIVE: "alive",
    Liveness.SUSPECT: "suspected",
    Liveness.DEAD: "dead",
    Liveness.LEFT: "left",
}


@dataclass(frozen=True, slots=True)
class Profile:
    """The description of a process that travels with its updates; raises MembershipError beyond a bound."""

    name: str
    address: str  # host:port at which others reach it, by UDP and TCP
    zone: str = ""
    role: str = "node"
    wire_version: int = WIRE_VERSION
    started_s: float = 0.0  # Unix time, only shown
    facts: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for label, text, limit in (
            ("name", self.name, MAX_NAME_BYTES),
            ("address", self.address, MAX_ADDRESS_BYTES),
            ("zone", self.zone, MAX_ZONE_BYTES),
            ("role", self.role, MAX_ROLE_BYTES),
        ):
            if len(text.encode()) > limit:
                raise MembershipError(f"{label} is longer than {limit} bytes: {text[:80]!r}")
        if not self.name:
            raise MembershipError("name is empty")
        split_address(self.address)
        self._check_facts()

    def _check_facts(self) -> None:
        if len(self.facts) > MAX_FACTS:
            raise MembershipError(f"{len(self.facts)} facts, {MAX_FACTS} at the most")
        for key, value in self.facts.items():
            if len(key.encode()) > MAX_FACT_KEY_BYTES or len(value.encode()) > MAX_FACT_VALUE_BYTES:
                bounds = f"{MAX_FACT_KEY_BYTES} and {MAX_FACT_VALUE_BYTES} bytes"
                raise MembershipError(f"fact {key[:40]!r} is longer than {bounds}")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of 'host:port'; raise MembershipError if the host is no IPv4 address.

    Names are not accepted: addresses come from other members, and sending must not wait for a look-up.
    """
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    numbers = [int(p) for p in (*parts, port) if p.isascii() and p.isdigit() and len(p) < 6]
    complete = len(parts) == _IPV4_PARTS and len(numbers) == _IPV4_PARTS + 1
    if not complete or max(numbers[:_IPV4_PARTS]) > _MAX_OCTET or numbers[-1] > _MAX_PORT:
        raise MembershipError(f"not an IPv4 address and a port: {address!r}")
    return host, numbers[-1]


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """One statement about a member, as it travels; `profile` is added where others may not know it."""

    name: str
    instance_id: int  # 32 random bits that tell two processes of one name apart
    incarnation: int
    phase: Phase
    liveness: Liveness
    origin: str  # the member that said so first
    reason: str = ""
    profile: Profile | None = None

    @property
    def precedence(self) -> tuple[int, int]:
        """The key by which one of two updates on the same process wins."""
        return self.incarnation, int(self.liveness)


@dataclass(slots=True, eq=False)
class Member:
    """The state of one member as this process holds it; times are ms on its own monotonic clock."""

    profile: Profile
    instance_id: int
    incarnation: int
    phase: Phase
    liveness: Liveness
    origin: str
    reason: str
    state_since_ms: float
    last_heard_ms: float = -math.inf  # of a datagram from the member itself
    datagram_counter: int = -1  # the highest that was received
    failed_probes: int = 0  # in a row
    suspected_by: frozenset[str] = frozenset()
    suspicion_generation: int = 0  # timers of an earlier generation are void
    death_due_ms: float = math.inf  # when a death declared by another takes effect, unless refuted
    notified_at_ms: float = -math.inf  # when it was last sent what is held of it
    death_count: int = 0

    @property
    def name(self) -> str:
        """The member's name."""
        return self.profile.name

    @property
    def alive(self) -> bool:
        """Whether the member is neither dead nor left."""
        return self.liveness < Liveness.DEAD

    @property
    def state(self) -> str:
        """The member's state in one word: joining, present, leaving, suspected, dead or left."""
        return self.phase.label if self.liveness is Liveness.ALIVE else self.liveness.label

    def to_update(self, *, include_profile: bool = True) -> StateUpdate:
        """Return an update that says what is held of this member."""
        return StateUpdate(
            self.name,
            self.instance_id,
            self.incarnation,
            self.phase,
            self.liveness,
            self.origin,
            self.reason,
            self.profile if include_profile else None,
        )


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member came into another state in the view of this process."""

    at_ms: float
    name: str
    before: str  # "" for a member that was not known
    after: str
    origin: str
    reason: str
    role: str
    incarnation: int
    instance_id: int
