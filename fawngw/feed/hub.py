"""The serving side, of relays and publishers: heads to all that watch, bodies on demand, standings collected.

Without I/O.  Links are numbers of the carrier's choice, one for each connection that it accepted; they have
nothing to do with those of a follower.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from fawngw.feed.follower import Event
from fawngw.feed.model import Document, Tuning
from fawngw.feed.table import Table
from fawngw.feed.wire import Foreign, Message, Publish


@dataclass
class Output:
    """What a call left to be done, in the order of the fields."""

    sends: list[tuple[int, bytes]] = field(default_factory=list)
    hangups: list[int] = field(default_factory=list)  # links to close once what was sent is out
    requests: list[tuple[int, Publish]] = field(default_factory=list)  # answer each with `answer`
    events: list[Event] = field(default_factory=list)


class Hub:
    """Serves a table of documents.  publishes: whether Publish is passed on, or refused with `instead`."""

    def __init__(
        self,
        cluster: str,
        name: str,
        *,
        role: str = "relay",
        region: str = "",
        zone: str = "",
        table: Table,
        publishes: bool = False,
        instead: str = "a relay takes no documents; publish to a publisher",
        birth: int = 0,
        now: float,
        tuning: Tuning | None = None,
    ) -> None:
        raise NotImplementedError

    counts: Counter[str]

    def accepted(self, link: int, now: float) -> None:
        """A connection came in."""

    def lost(self, link: int, now: float) -> None:
        """A connection is gone."""

    def blocked(self, link: int, blocked: bool, now: float) -> None:
        """The link's socket takes no more for now (the transport's buffer is over its limit), or does again."""

    def received(self, link: int, data: bytes, now: float) -> None:
        """Bytes came in on a link, in any portions."""

    def handle(self, link: int, message: Message | Foreign, now: float, size: int = 0) -> None:
        """One message, or why there is none; `received` calls it.  size: bytes of its frame."""

    def answer(self, link: int, message: Message, now: float) -> None:
        """Answer a request: Published or Refused.  A link that is gone by now is no error."""

    def announce(self, document: Document, now: float) -> bool:
        """Hold a document and tell all that watch its scope; False where it is no news to the table.

        A document that a Follower with the same table brought in is told all the same.
        FeedError where it cannot be held.
        """
        raise NotImplementedError

    def tick(self, now: float) -> None:
        """Do what is due."""

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        raise NotImplementedError

    def status(self, now: float) -> dict[str, object]:
        """What is held, who watches, how they stand and which conflicts were seen; see `status.merge`."""
        raise NotImplementedError

    def close(self, now: float, why: str = "in order") -> None:
        """Say good-bye on all links."""

    def take(self) -> Output:
        """All that is to be done since the last call."""
        raise NotImplementedError
