"""The node's state directory: what it found there, and what it keeps for its next process.

Only imported where it is on.  One process writes at a time.  A second one of the same node, as in an upgrade,
reads what the first has written so far, and takes over once the first has let go of the directory.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, Protocol

from crowpost.decision_api import RememberedEndpoint
from crowpost.node.state.records import (
    PIECE,
    Evacuated,
    Fact,
    Incarnation,
    Kept,
    Learned,
    Limit,
    ListPart,
    parts,
    read,
)
from crowpost.storage.config import StateConfig
from crowpost.storage.core import Pace
from crowpost.storage.disk import LockedError
from crowpost.storage.model import Durability, ForeignError, StoreError
from crowpost.storage.runner import Keeper, Opened, look, open_locked, tell

log = logging.getLogger(__name__)

LISTS_MOST = 400  # parts of lists that wait to be written
BURST_BYTES = 1 << 20
LOOK_S = 0.1  # between looks at what is to be written, and at a directory that another process has
ACKNOWLEDGE_S = 1.0  # that staff wait for a drain to be kept


class Learner(Protocol):
    """The module, as far as what it has learned is asked for."""

    @property
    def pool_size(self) -> int: ...

    @property
    def limit_each(self) -> float: ...

    def remember(self, first: int, most: int) -> list[RememberedEndpoint]: ...


class Keeping:
    """What the node's last process left, and the writing of what the next will find.

    clock: Unix time in ms.  StoreError from `open` only where the configuration asks
    for that, or names a directory that is another's.
    """

    def __init__(
        self,
        config: StateConfig,
        learner: Learner,
        clock: Callable[[], float],
        on_drain: Callable[[bool], object],
    ) -> None:
        self._config, self._learner, self._clock = config, learner, clock
        self._on_drain = on_drain  # staff told the process before, while this one started
        self._loop = asyncio.get_running_loop()
        self._keeper: Keeper | None = None
        self._lists: deque[ListPart] = deque()  # that are still to be written
        self._timer: asyncio.TimerHandle | None = None
        self._learn_at = 0.0
        self._place = 0  # in the list, of what is written next
        self._last = 0  # sequence of what was written last
        self._said_drain = False  # staff have told this process
        self._closing: asyncio.Task[None] | None = None
        self._taking: asyncio.Task[None] | None = None  # of the directory, from the process before
        self._logged = 0  # bytes of the log as of the last snapshot
        self.damaged = ""  # why the directory is not used
        self.kept = Kept()

    # ------------------------------------------------------------ what was found

    def open(self) -> None:
        """Read the directory, which blocks; take it, or wait until its process lets go of it."""
        config = self._config
        try:
            try:
                self._take(*self._open())
            except LockedError:
                self.kept = read(look(config.directory, config.owner))
                tell("waiting", path=str(config.directory), text="another process of this node writes")
        except StoreError as error:
            if config.on_damage == "refuse" or isinstance(error, ForeignError):
                raise
            self._give_up(error)
            return
        self._look()

    def _open(self) -> tuple[Opened, Kept]:
        """Lock and read the directory, which blocks."""
        opened = open_locked(self._config.directory, self._config.owner)
        try:
            return opened, read(opened.found)
        except StoreError:
            opened.disk.close()
            raise

    def _take(self, opened: Opened, kept: Kept) -> None:
        rate = self._config.bytes_per_s
        self._keeper = Keeper(opened, Pace(bytes_per_s=rate, burst_bytes=max(rate, BURST_BYTES)))
        self.kept = kept

    async def _take_over(self) -> None:
        """The process before has let go: go on from what it wrote last, with what this one knows itself."""
        try:
            opened, kept = await self._loop.run_in_executor(None, self._open)
        except LockedError:
            return
        except StoreError as error:
            self._give_up(error)
            return
        own = self.kept
        self._take(opened, kept)
        tell("taken_over", path=str(self._config.directory))
        if self._said_drain:
            self._write(Evacuated(own.evacuated), Durability.ACKNOWLEDGED)
        elif kept.evacuated != own.evacuated:
            self._on_drain(kept.evacuated)
        if own.incarnation > kept.incarnation:
            self._write(Incarnation(own.incarnation))
        if own.generation > kept.generation:
            self.note_list(True, own.generation, own.listed())

    def _give_up(self, error: StoreError) -> None:
        self.damaged = str(error)
        tell("unusable", path=str(self._config.directory), why=str(error), text="going on without the state")

    # ------------------------------------------------------------ what is to be kept

    def note_list(self, reset: bool, generation: int, instances: Sequence[dict[str, Any]]) -> None:
        """A list or a change of it, as discovery told it; written in parts, one at a look."""
        if self.damaged or self._closing is not None:
            return
        if self._keeper is not None and self._keeper.core.failed:
            return
        for part in parts(reset, generation, instances):
            if self._keeper is None:
                self.kept.apply(part)
            else:
                self._lists.append(part)

    def note_incarnation(self, number: int) -> None:
        """This node's number among the members."""
        if number > self.kept.incarnation:
            self._write(Incarnation(number))

    async def keep_drain(self, evacuated: bool) -> str:
        """Keep what staff have asked for; empty once that is on the disk, else why it is not."""
        self._said_drain = True
        if self._closing is not None:
            return "the node is ending"
        self._write(Evacuated(evacuated), Durability.ACKNOWLEDGED)
        if self._keeper is None:
            return self.damaged or "another process of this node has the state directory"
        try:
            await asyncio.wait_for(self._keeper.kept(self._last), ACKNOWLEDGE_S)
        except StoreError as error:
            return str(error)
        except TimeoutError:
            return f"the disk has not answered within {ACKNOWLEDGE_S:g} s"
        return ""

    def _write(self, fact: Fact, durability: Durability = Durability.SOON) -> None:
        self.kept.apply(fact)
        if self._keeper is not None and self._closing is None and not self._keeper.core.failed:
            self._last = self._keeper.append(fact.pack(), durability)

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._look)
        keeper = self._keeper
        if keeper is None:
            if self._taking is None or self._taking.done():
                self._taking = None if self.damaged else self._loop.create_task(self._take_over())
            return
        core = keeper.core
        if len(self._lists) > LISTS_MOST:
            # News comes faster than it may be written: a snapshot says it all at once.
            while self._lists:
                self.kept.apply(self._lists.popleft())
            self._logged = -self._config.snapshot_bytes
        if core.failed or core.kept < self._last:
            return  # the budget is used up, or the disk is slow: later
        if self._lists:
            self._write(self._lists.popleft())
        else:
            self._learn()
        if self.kept.staged is None and core.written.logged - self._logged >= self._config.snapshot_bytes:
            keeper.snapshot(self.kept.pieces())
            self._logged = core.written.logged

    def _learn(self) -> None:
        """Write what is known of some servers, all of them in turn; and of the limit, once in each turn."""
        now = self._clock()
        if now < self._learn_at:
            return
        rows = self._learner.remember(self._place, PIECE)
        if rows:
            self._write(Learned(now, rows))
        self._place += PIECE
        if self._place >= self._learner.pool_size:
            self._place = 0
            self._learn_at = now + self._config.every_ms
            self._write(Limit(now, self._learner.limit_each))

    # ------------------------------------------------------------ the end

    def close(self) -> asyncio.Task[None]:
        """Write what was learned last, seal the log and let go of the directory."""
        if self._closing is None:
            if self._timer is not None:
                self._timer.cancel()
            self._closing = self._loop.create_task(self._close())
        return self._closing

    async def _close(self) -> None:
        if self._taking is not None:
            await self._taking
        keeper = self._keeper
        if keeper is None:
            return
        with suppress(StoreError):  # that writing has stopped was told when it did
            while self._lists:
                keeper.append(self._lists.popleft().pack(), Durability.SOON)
                await asyncio.sleep(0)
            now = self._clock()
            keeper.append(Learned(now, self._learner.remember(0, PIECE)).pack(), Durability.SOON)
            keeper.append(Limit(now, self._learner.limit_each).pack(), Durability.SOON)
        await keeper.close()

    def figures(self) -> dict[str, float]:
        """Figures by name and label, for the second address."""
        core = self._keeper.core if self._keeper is not None else None
        written = core.written if core is not None else None
        return {
            "state_writing": int(core is not None and not core.failed and not self.damaged),
            "state_damaged": int(bool(self.damaged)),
            "state_records": written.records if written is not None else 0,
            "state_bytes": written.bytes if written is not None else 0,
            "state_snapshots": written.snapshots if written is not None else 0,
            "state_log_bytes": core.log_bytes if core is not None else 0,
            "state_unkept": core.next_sequence - 1 - core.kept if core is not None else 0,
            "state_generation": self.kept.generation,
        }
