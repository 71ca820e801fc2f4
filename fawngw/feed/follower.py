"""The watching side: a node, a relay upstream, a publisher that follows the other's scopes.  Without I/O.

Feed it bytes and times that never go back; `take` what follows.  Links are numbers that it gives out itself
with each Dial; the carrier connects, says `connected` or `lost`, and passes on what comes as it comes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from fawngw.feed.model import Conflict, Document, Head, Interest, Server, Standing, Tuning
from fawngw.feed.table import Table
from fawngw.feed.wire import Foreign, Message


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to an address; the link is this number from now on."""

    link: int
    address: str


@dataclass(frozen=True, slots=True)
class Event:
    """Something that a log line should tell; values are plain."""

    kind: str  # linked, lost, whole, taken-over, conflict, dropped, slept, standing
    at: float  # ms
    values: dict[str, object]


@dataclass
class Output:
    """What a call left to be done, in the order of the fields."""

    dials: list[Dial] = field(default_factory=list)
    sends: list[tuple[int, bytes]] = field(default_factory=list)  # link and frame
    hangups: list[int] = field(default_factory=list)  # links to close once what was sent is out
    apply: list[Document] = field(default_factory=list)  # whole; to be answered by `applied`
    events: list[Event] = field(default_factory=list)


class Follower:
    """Watches a few servers at once and brings each wanted document in whole, once, from the nearest.

    interest: which documents.  judged: whether each document handed out in `Output.apply` is answered with
    `applied` (a node); a relay or publisher says False: what is whole is held, and its hub announces it.
    kept: last good documents from disk, in force from the start.  birth: random, new for each process.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        servers: Iterable[Server],
        interest: Interest,
        *,
        role: str = "node",
        region: str = "",
        zone: str = "",
        judged: bool = True,
        rng: Random,
        birth: int,
        now: float,
        tuning: Tuning | None = None,
        table: Table | None = None,
        kept: Iterable[Document] = (),
    ) -> None:
        raise NotImplementedError

    # figures: counts["bytes_in"], ["bytes_out"], ["dropped_KIND"], ["bodies"], ["taken_over"], ["dials"] ...
    counts: Counter[str]
    table: Table

    def connected(self, link: int, now: float) -> None:
        """A dialled link is up."""

    def lost(self, link: int, now: float) -> None:
        """A link failed to come up, or is gone; also after a hang-up of one's own (then it says nothing)."""

    def received(self, link: int, data: bytes, now: float) -> None:
        """Bytes came in on a link, in any portions."""

    def handle(self, link: int, message: Message | Foreign, now: float, size: int = 0) -> None:
        """One message, or why there is none; `received` calls it.  size: bytes of its frame."""

    def tick(self, now: float) -> None:
        """Do what is due."""

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        raise NotImplementedError

    def applied(self, scope: str, head: Head, refused: str, now: float) -> None:
        """The answer to a document handed out: in force where `refused` is "", else why not, in one line."""

    def in_force(self, scope: str) -> Document | None:
        """The last good document of a scope."""
        raise NotImplementedError

    def standings(self) -> list[Standing]:
        """How this process stands to each document, from the widest scope."""
        raise NotImplementedError

    def conflicts(self) -> list[Conflict]:
        """Two answers to one version that it has seen, and the rule that chose."""
        raise NotImplementedError

    def close(self, now: float, why: str = "in order") -> None:
        """Say good-bye on all links and dial no more."""

    def take(self) -> Output:
        """All that is to be done since the last call."""
        raise NotImplementedError
