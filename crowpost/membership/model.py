"""Members, their states, and the updates that change them.

A process announces its own phase; its liveness is determined by the other members.  Every announcement raises
the incarnation of the process.  Of two updates the one with the higher (incarnation, liveness) wins, so only
a higher incarnation refutes a suspicion or a death (SWIM, section 4.2).  The protocol does not depend on the
wall clock: `started_s` is for display only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

from crowpost.membership.errors import MembershipError

WIRE_VERSION = 1  # Messages of the previous and the next version are accepted, too

# Limits on the contents of a member's profile, so that one update always fits into a datagram.
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
    """The life cycle phase that a process announces about itself."""

    JOINING = 0
    PRESENT = 1
    LEAVING = 2

    @property
    def label(self) -> str:
        """The name of this phase in views, metrics and logs."""
        return _PHASE_LABELS[self]


class Liveness(IntEnum):
    """The liveness of a process as seen by the others, in order of precedence within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name of this liveness in views, metrics and logs."""
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
    """The description of a process, sent with its updates; raises MembershipError if it exceeds a limit."""

    name: str
    address: str  # host:port at which others reach the process, by UDP and TCP
    zone: str = ""
    role: str = "node"
    wire_version: int = WIRE_VERSION
    started_s: float = 0.0  # Unix time, for display only
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
            raise MembershipError(f"{len(self.facts)} facts, {MAX_FACTS} at most")
        for key, value in self.facts.items():
            if len(key.encode()) > MAX_FACT_KEY_BYTES or len(value.encode()) > MAX_FACT_VALUE_BYTES:
                limits = f"{MAX_FACT_KEY_BYTES} and {MAX_FACT_VALUE_BYTES} bytes"
                raise MembershipError(f"fact {key[:40]!r} is longer than {limits}")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of 'host:port'; raise MembershipError unless the host is an IPv4 address.

    Host names are rejected: addresses come from other members, and sending must not wait for a DNS lookup.
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
    """An update of a member's state as it is sent; includes the profile if others may not know it yet."""

    name: str
    instance_id: int  # 32 random bits that distinguish processes of the same name
    incarnation: int
    phase: Phase
    liveness: Liveness
    origin: str  # The member that issued the update
    reason: str = ""
    profile: Profile | None = None

    @property
    def precedence(self) -> tuple[int, int]:
        """The sort key of updates on the same process: the higher one wins."""
        return self.incarnation, int(self.liveness)


@dataclass(slots=True, eq=False)
class Member:
    """The state of one member as recorded by this process; times are ms on its monotonic clock."""

    profile: Profile
    instance_id: int
    incarnation: int
    phase: Phase
    liveness: Liveness
    origin: str
    reason: str
    state_since_ms: float
    last_heard_ms: float = -math.inf  # When a datagram from the member itself arrived last
    datagram_counter: int = -1  # Highest counter received from the member
    failed_probes: int = 0  # Consecutive ones
    suspected_by: frozenset[str] = frozenset()
    suspicion_generation: int = 0  # Timers of an earlier generation are ignored
    death_due_ms: float = math.inf  # When a death declared by another takes effect, unless refuted
    notified_at_ms: float = -math.inf  # When the member was last sent its recorded state
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
        """The member's state as a single name: joining, present, leaving, suspected, dead or left."""
        return self.phase.label if self.liveness is Liveness.ALIVE else self.liveness.label

    def to_update(self, *, include_profile: bool = True) -> StateUpdate:
        """Return an update with the recorded state of this member."""
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
    """A change of a member's state in the view of this process."""

    at_ms: float
    name: str
    before: str  # Empty for a member that was not known
    after: str
    origin: str
    reason: str
    role: str
    incarnation: int
    instance_id: int
