"""The writer of the state directory of a node, which also restores the state of the previous process.

This module is imported only if a state directory is configured.  One process writes at a time.  A second
process of the same node, as in an upgrade, reads what the first has written so far, and takes over once the
first has released the directory.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

from crowpost.decision_api import RememberedEndpoint
from crowpost.node.state.node_state import NodeState, read_node_state
from crowpost.node.state.records import (
    ENDPOINTS_PER_RECORD,
    EndpointListPart,
    Evacuation,
    Incarnation,
    Instance,
    LearnedEndpoints,
    LearnedLimit,
    NodeRecord,
    PackedInstances,
    split_list,
)
from crowpost.storage.config import REFUSE_ON_DAMAGE, StateConfig
from crowpost.storage.errors import DirectoryLockedError, OwnerMismatchError, StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import OpenedStore, StoreRunner, inspect_store, log_event, open_store
from crowpost.storage.write_policy import WritePolicy

log = logging.getLogger(__name__)

# A queue of more parts, or of parts with more endpoints, is replaced by a snapshot of the list.
MAX_WAITING_LIST_PARTS = 400
MAX_WAITING_ENDPOINTS = 1000
BURST_BYTES = 1 << 20
POLL_INTERVAL_S = 0.1  # interval between checks for data to write, and for a released directory
# The first pause before a directory is opened again after a write or sync has failed, and the longest: each
# further failure doubles it.
MIN_REOPEN_PAUSE_S = 0.5
MAX_REOPEN_PAUSE_S = 8.0
ACKNOWLEDGE_TIMEOUT_S = 1.0  # longest wait of an operator for an evacuation to be durable


class LearnedStateSource(Protocol):
    """The part of the balancer that returns learned values."""

    @property
    def pool_size(self) -> int:
        """Number of endpoints."""

    @property
    def limit_each(self) -> float:
        """The concurrency limit for each unit of capacity."""

    def remember(self, first: int, most: int) -> list[RememberedEndpoint]:
        """Return the learned values of at most `most` endpoints, starting at position `first` of the pool."""


class NodeStateWriter:
    """Restores the state of the previous process of the node, and writes the state of this one.

    clock: returns Unix time in ms.  on_evacuation: called if an operator has changed the evacuation at the
    previous process while this one was starting.
    """

    def __init__(
        self,
        config: StateConfig,
        source: LearnedStateSource,
        clock: Callable[[], float],
        on_evacuation: Callable[[bool], object],
    ) -> None:
        self._config = config
        self._source = source
        self._clock = clock
        self._on_evacuation = on_evacuation
        self._loop = asyncio.get_running_loop()
        self._runner: StoreRunner | None = None  # None until this process has locked the directory
        self._waiting_list_parts: deque[EndpointListPart] = deque()
        self._waiting_endpoints = 0
        self._timer: asyncio.TimerHandle | None = None
        self._next_learned_at = 0.0
        self._position = 0  # position in the pool of the endpoints to be written next
        self._last_sequence = 0  # sequence number of the last record appended
        self._evacuation_set = False  # whether an operator has set the evacuation in this process
        self._closing: asyncio.Task[None] | None = None
        self._take_over_task: asyncio.Task[None] | None = None
        self._log_bytes_at_snapshot = 0
        # Whether a snapshot is to be written as soon as possible, in place of list parts.
        self._snapshot_due = False
        # When the directory may be opened again after a failure, in the loop's time, and the pause before.
        self._reopen_at = 0.0
        self._reopen_pause_s = 0.0
        self.damage = ""  # why the directory is not used; empty if it is
        self.state = NodeState()

    # ------------------------------------------------------------ opening

    def open(self) -> None:
        """Lock and read the directory, which blocks, or poll until another process has released it.

        Raise StoreError if the directory belongs to another owner, or if it is damaged and the configuration
        forbids a start in that case.
        """
        config = self._config
        try:
            self._open_or_inspect()
        except StoreError as error:
            if config.on_damage == REFUSE_ON_DAMAGE or isinstance(error, OwnerMismatchError):
                raise
            self._continue_without_state(error)
            return
        self._poll()

    def _open_or_inspect(self) -> None:
        config = self._config
        try:
            opened, state = self._open_and_read()
        except DirectoryLockedError:
            self.state = read_node_state(inspect_store(config.directory, config.owner))
            log_event("waiting", path=str(config.directory), text="another process of this node writes")
            return
        self._use(opened, state)

    def _open_and_read(self) -> tuple[OpenedStore, NodeState]:
        """Lock and read the directory; this blocks."""
        opened = open_store(self._config.directory, self._config.owner)
        try:
            return opened, read_node_state(opened.recovered)
        except StoreError:
            opened.disk.close()
            raise

    def _use(self, opened: OpenedStore, state: NodeState) -> None:
        rate = self._config.bytes_per_s
        policy = WritePolicy(bytes_per_s=rate, burst_bytes=max(rate, BURST_BYTES))
        self._runner = StoreRunner(opened, policy)
        self.state = state

    async def _take_over(self) -> None:
        """Continue from the last state of the previous process, with the newer values of this one."""
        try:
            opened, state = await self._loop.run_in_executor(None, self._open_and_read)
        except DirectoryLockedError:
            return
        except StoreError as error:
            if self._reopen_pause_s:
                self._pause_before_reopening()
            else:
                self._continue_without_state(error)
            return
        if self._reopen_pause_s:
            self._resume(opened)
        else:
            self._continue_from(opened, state)

    def _continue_from(self, opened: OpenedStore, state: NodeState) -> None:
        own = self.state
        self._use(opened, state)
        log_event("taken_over", path=str(self._config.directory))
        if self._evacuation_set:
            self._append(Evacuation(own.evacuated), Durability.ACKNOWLEDGED)
        elif state.evacuated != own.evacuated:
            self._on_evacuation(state.evacuated)
        if own.incarnation > state.incarnation:
            self._append(Incarnation(own.incarnation))
        if own.generation > state.generation:
            self.record_list(True, own.generation, own.decoded_instances())

    def _abandon(self, runner: StoreRunner) -> None:
        """Give up a store that cannot be written, to open its directory again later.

        What was recorded meanwhile is in `state`.
        """
        if runner.store.busy:
            return
        self._runner = None
        runner.abandon()
        self._apply_waiting_list_parts()
        self._pause_before_reopening()

    def _pause_before_reopening(self) -> None:
        pause_s = 2.0 * self._reopen_pause_s or MIN_REOPEN_PAUSE_S
        self._reopen_pause_s = min(MAX_REOPEN_PAUSE_S, pause_s)
        self._reopen_at = self._loop.time() + self._reopen_pause_s

    def _resume(self, opened: OpenedStore) -> None:
        """Write on after a failure, beginning with all of the state: records may be missing on the disk."""
        self._use(opened, self.state)
        assert self._runner is not None
        self._reopen_pause_s = 0.0
        self._last_sequence = 0
        log_event("resumed", path=str(self._config.directory))
        self._append(Evacuation(self.state.evacuated), Durability.ACKNOWLEDGED)
        self._snapshot_due = False
        self._runner.write_snapshot(self.state.snapshot_pieces())
        self._log_bytes_at_snapshot = self._runner.store.counters.log_bytes

    def _continue_without_state(self, error: StoreError) -> None:
        self.damage = str(error)
        path = str(self._config.directory)
        log_event("unusable", path=path, why=str(error), text="continuing without the state")

    # ------------------------------------------------------------ recording

    def record_list(self, reset: bool, generation: int, instances: Sequence[Instance]) -> None:
        """Record a list from discovery or a change of it; one part of it is written in each poll."""
        if self.damage or self._closing is not None:
            return
        for part in split_list(reset, generation, instances):
            if self._snapshot_due or self._runner is None or self._runner.store.failure:
                self.state.apply(part)
            else:
                self._waiting_list_parts.append(part)
                self._waiting_endpoints += len(part.instances)
            if self._too_much_waits():
                self._replace_waiting_by_snapshot()

    def record_packed_list(self, reset: bool, generation: int, packed: Sequence[bytes]) -> None:
        """Record a list from discovery or a change of it, whose endpoints are packed."""
        self.record_list(reset, generation, PackedInstances(packed))

    def record_initial_list(self, generation: int, packed: Sequence[bytes]) -> None:
        """Record the complete list that the node starts with, unless it is stored already.

        Changes that follow can be stored only together with the list that they change.
        """
        if generation != self.state.generation or sorted(packed) != sorted(self.state.instances.values()):
            self.record_packed_list(True, generation, packed)

    def _too_much_waits(self) -> bool:
        return (
            len(self._waiting_list_parts) > MAX_WAITING_LIST_PARTS
            or self._waiting_endpoints > MAX_WAITING_ENDPOINTS
        )

    def _take_waiting_list_part(self) -> EndpointListPart:
        part = self._waiting_list_parts.popleft()
        self._waiting_endpoints -= len(part.instances)
        return part

    def _apply_waiting_list_parts(self) -> None:
        while self._waiting_list_parts:
            self.state.apply(self._take_waiting_list_part())

    def _replace_waiting_by_snapshot(self) -> None:
        """Apply all queued list parts and make a snapshot due: parts are queued faster than written."""
        self._apply_waiting_list_parts()
        self._snapshot_due = True

    def record_incarnation(self, number: int) -> None:
        """Record the incarnation number of this node in the membership."""
        if number > self.state.incarnation:
            self._append(Incarnation(number))

    async def record_evacuation(self, active: bool) -> str:
        """Record an evacuation or its end; return why it is not durable, or an empty text if it is."""
        self._evacuation_set = True
        if self._closing is not None:
            return "the node is ending"
        self._append(Evacuation(active), Durability.ACKNOWLEDGED)
        if self._runner is None:
            reason = "the disk has failed and is tried again" if self._reopen_pause_s else self.damage
            return reason or "another process of this node has the state directory"
        try:
            await asyncio.wait_for(self._runner.wait_durable(self._last_sequence), ACKNOWLEDGE_TIMEOUT_S)
        except StoreError as error:
            return str(error)
        except TimeoutError:
            return f"the disk has not answered within {ACKNOWLEDGE_TIMEOUT_S:g} s"
        return ""

    def _append(self, record: NodeRecord, durability: Durability = Durability.DELAYED) -> None:
        self.state.apply(record)
        if self._runner is not None and self._closing is None and not self._runner.store.failure:
            self._last_sequence = self._runner.append(record.encode(), durability)

    # ------------------------------------------------------------ polling

    def _poll(self) -> None:
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)
        if self._runner is None:
            self._try_to_take_over()
        elif self._runner.store.failure:
            self._abandon(self._runner)
        else:
            self._write_next(self._runner)

    def _try_to_take_over(self) -> None:
        if self._loop.time() < self._reopen_at:
            return
        if self._take_over_task is None or self._take_over_task.done():
            self._take_over_task = None if self.damage else self._loop.create_task(self._take_over())

    def _write_next(self, runner: StoreRunner) -> None:
        """Write the next part of a list, or else of the learned values, and a snapshot if one is due."""
        store = runner.store
        if store.failure or store.durable_sequence < self._last_sequence:
            return  # the write budget is used up, or the disk is slow
        if self._snapshot_due:
            # A snapshot has the number of the last record, and the last one may have that number already.
            self._append(LearnedLimit(self._clock(), self._source.limit_each))
        elif self._waiting_list_parts:
            self._append(self._take_waiting_list_part())
        else:
            self._write_learned()
        log_bytes = store.counters.log_bytes - self._log_bytes_at_snapshot
        is_due = self._snapshot_due or log_bytes >= self._config.snapshot_bytes
        if is_due and self.state.staged is None:
            self._snapshot_due = False
            runner.write_snapshot(self.state.snapshot_pieces())
            # Read the counter again, as the job of the snapshot may have sealed a segment.
            self._log_bytes_at_snapshot = store.counters.log_bytes

    def _write_learned(self) -> None:
        """Write the learned values of the next endpoints; also the limit, once per pass over the pool."""
        now = self._clock()
        if now < self._next_learned_at:
            return
        endpoints = self._source.remember(self._position, ENDPOINTS_PER_RECORD)
        if endpoints:
            self._append(LearnedEndpoints(now, endpoints))
        self._position += ENDPOINTS_PER_RECORD
        if self._position >= self._source.pool_size:
            self._position = 0
            self._next_learned_at = now + self._config.write_interval_ms
            self._append(LearnedLimit(now, self._source.limit_each))

    # ------------------------------------------------------------ closing

    def close(self) -> asyncio.Task[None]:
        """Write the latest learned values, seal the log and release the directory."""
        if self._closing is None:
            if self._timer is not None:
                self._timer.cancel()
            self._closing = self._loop.create_task(self._close())
        return self._closing

    async def _close(self) -> None:
        if self._take_over_task is not None:
            await self._take_over_task
        runner = self._runner
        if runner is None:
            return
        # An error that stopped writing was logged when it occurred.
        with suppress(StoreError):
            while self._waiting_list_parts:
                self._append_last(runner, self._take_waiting_list_part())
                await asyncio.sleep(0)
            now = self._clock()
            learned = self._source.remember(0, ENDPOINTS_PER_RECORD)
            self._append_last(runner, LearnedEndpoints(now, learned))
            self._append_last(runner, LearnedLimit(now, self._source.limit_each))
            if self._snapshot_due:
                runner.write_snapshot(self.state.snapshot_pieces())
        await runner.close()

    def _append_last(self, runner: StoreRunner, record: NodeRecord) -> None:
        self.state.apply(record)
        runner.append(record.encode(), Durability.DELAYED)

    def metrics(self) -> dict[str, float]:
        """Return the metrics of the state directory by name, for /api/telemetry."""
        store = self._runner.store if self._runner is not None else None
        counters = store.counters if store is not None else None
        return {
            "state_writing": int(store is not None and not store.failure and not self.damage),
            "state_damaged": int(bool(self.damage)),
            "state_records": counters.records if counters is not None else 0,
            "state_bytes": counters.bytes if counters is not None else 0,
            "state_snapshots": counters.snapshots if counters is not None else 0,
            "state_log_bytes": store.log_bytes if store is not None else 0,
            "state_unkept": store.pending_records if store is not None else 0,
            "state_generation": self.state.generation,
        }
