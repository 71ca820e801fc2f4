"""Membership in simulated time: real protocol cores on a simulated network.

The network loses, delays and duplicates datagrams and can be partitioned; processes can be killed, paused, or
starved of CPU time repeatedly.  Equal arguments give an equal run.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from crowpost.lab.engine import Engine, Planned
from crowpost.membership import counters, sync
from crowpost.membership.core import MembershipCore, Output
from crowpost.membership.errors import MembershipError
from crowpost.membership.model import Phase, Profile, StateChange
from crowpost.membership.settings import ProtocolSettings

CLUSTER = "swarm"
MAX_WAITING_DATAGRAMS = 400  # limit of a paused process; further datagrams are lost
MAX_STRAGGLER_DELAY_MS = 500.0
SYNC_LEGS = 3  # number of one-way delays before the frames of a sync are handled
SYNC_OVERHEAD_BYTES = 12  # length prefixes that each side sends


@dataclass(frozen=True)
class NetworkConditions:
    """Conditions of the network and the machines; rates and fractions are from 0 to 1.

    straggler_rate: share of datagrams that take up to half a second longer.
    starved_fraction: share of members that are paused repeatedly.
    run_ms: range of the time between two pauses.
    """

    loss_rate: float = 0.0
    delay_ms: tuple[float, float] = (0.1, 1.0)
    duplicate_rate: float = 0.0
    straggler_rate: float = 0.0
    starved_fraction: float = 0.0
    pause_ms: tuple[float, float] = (100.0, 1_500.0)
    run_ms: tuple[float, float] = (300.0, 3_000.0)


class SimulatedProcess:
    """A simulated process: its protocol core, and whether it is up or paused."""

    def __init__(self, name: str, core: MembershipCore) -> None:
        self.name = name
        self.core = core
        self.address = core.local_member.profile.address
        self.up = True
        self.paused = False
        self.waiting_datagrams: list[bytes] = []
        self.tick_event: Planned | None = None
        self.tick_at_ms = float("inf")


class SimulatedCluster:
    """Processes on one simulated network.

    may_pass: whether datagrams get from one named process to another.
    on_change: called with each change of a process's view.
    """

    def __init__(
        self,
        seed: int,
        conditions: NetworkConditions | None = None,
        settings: ProtocolSettings | None = None,
        engine: Engine | None = None,
    ) -> None:
        self.engine = engine or Engine()
        self.rng = random.Random(seed)
        self.conditions = conditions or NetworkConditions()
        self.settings = settings or ProtocolSettings()
        self.processes: dict[str, SimulatedProcess] = {}
        self.by_address: dict[str, SimulatedProcess] = {}
        self.may_pass: Callable[[str, str], bool] = _always_passes
        self.history: list[tuple[str, StateChange]] = []  # observers and their changes
        self.keep_history = True
        self.on_change: Callable[[SimulatedProcess, StateChange], None] = _ignore_change

    # ------------------------------------------------------------ processes

    def start(
        self, name: str, contacts: Iterable[str] = (), address: str = "", **profile_fields: object
    ) -> SimulatedProcess:
        """Start a process, or restart one under its name; contacts are addresses."""
        address = address or f"10.0.{len(self.by_address) >> 8}.{len(self.by_address) & 255}:7000"
        profile = Profile(name, address, **profile_fields)  # type: ignore[arg-type]
        core = MembershipCore(
            CLUSTER,
            profile,
            tuple(contacts),
            seed=self.rng.getrandbits(48),
            instance_id=self.rng.getrandbits(32),
            now=self.engine.now,
            settings=self.settings,
        )
        process = SimulatedProcess(name, core)
        core.announce_phase(Phase.PRESENT, self.engine.now)
        self.processes[name] = process
        self.by_address[address] = process
        self.process_output(process)
        return process

    def start_joined(self, count: int) -> None:
        """Start a number of members that already know each other, as in a long-running cluster."""
        for index in range(count):
            self.start(f"n{index}")
        self.preload_views()

    def preload_views(self) -> None:
        """Make all processes know each other, as in a long-running cluster."""
        updates = [process.core.own_update for process in self.processes.values()]
        for process in self.processes.values():
            process.core.preload_members(updates, 0.0)

    def kill(self, name: str) -> None:
        """Kill a process, as SIGKILL does: it does not leave the cluster first."""
        self.processes[name].up = False

    def pause(self, name: str, duration_ms: float) -> None:
        """Pause a process, as SIGSTOP does, and resume it after the given time."""
        process = self.processes[name]
        process.paused = True
        self.engine.after(duration_ms, self._resume, process)

    def starve(self) -> set[str]:
        """Pause a fraction of the members repeatedly; return their names."""
        count = round(self.conditions.starved_fraction * len(self.processes))
        names = self.rng.sample(list(self.processes), count)
        for name in names:
            self.engine.after(self.rng.uniform(0, self.conditions.run_ms[1]), self._starve_once, name)
        return set(names)

    def _starve_once(self, name: str) -> None:
        duration_ms = self.rng.uniform(*self.conditions.pause_ms)
        self.pause(name, duration_ms)
        self.engine.after(duration_ms + self.rng.uniform(*self.conditions.run_ms), self._starve_once, name)

    def _resume(self, process: SimulatedProcess) -> None:
        process.paused = False
        if not process.up:
            return
        datagrams = process.waiting_datagrams
        process.waiting_datagrams = []
        # The operating system decides whether the timer or the datagrams come first.
        if self.rng.random() < 0.5:
            self._tick(process)
        for data in datagrams:
            process.core.handle_datagram(data, self.engine.now)
        self._tick(process)

    # ------------------------------------------------------------ time and the network

    def run(self, duration_ms: float) -> None:
        """Run the simulation for the given time."""
        self.engine.run(self.engine.now + duration_ms)

    def _tick(self, process: SimulatedProcess) -> None:
        process.tick_event = None
        process.tick_at_ms = float("inf")
        if process.up and not process.paused:
            process.core.tick(self.engine.now)
            self.process_output(process)

    def process_output(self, process: SimulatedProcess) -> None:
        """Perform the output of a core, and schedule its next tick."""
        output = process.core.take_output()
        for address, data in output.datagrams:
            self.send(process, address, data)
        for address in output.sync_addresses:
            self._start_sync(process, address)
        self._report_changes(process, output)
        due_ms = process.core.next_due_ms()
        if due_ms < process.tick_at_ms:
            if process.tick_event is not None:
                self.engine.cancel(process.tick_event)
            process.tick_at_ms = due_ms
            process.tick_event = self.engine.at(due_ms, self._tick, process)

    def _report_changes(self, process: SimulatedProcess, output: Output) -> None:
        for change in output.changes:
            if self.keep_history:
                self.history.append((process.name, change))
            self.on_change(process, change)

    def _draw_delay_ms(self) -> float:
        low, high = self.conditions.delay_ms
        delay_ms = low + (high - low) * self.rng.random()
        rate = self.conditions.straggler_rate
        if rate and self.rng.random() < rate:
            delay_ms += MAX_STRAGGLER_DELAY_MS * self.rng.random()
        return delay_ms

    def send(self, process: SimulatedProcess, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost, duplicated or delayed."""
        target = self.by_address.get(address)
        if target is None or not self.may_pass(process.name, target.name):
            return
        conditions = self.conditions
        duplicated = conditions.duplicate_rate and self.rng.random() < conditions.duplicate_rate
        for _ in range(2 if duplicated else 1):
            if not conditions.loss_rate or self.rng.random() >= conditions.loss_rate:
                self.engine.after(self._draw_delay_ms(), self.deliver, address, data)

    def deliver(self, address: str, data: bytes) -> None:
        """Deliver a datagram to the process at an address; it waits if the process is paused."""
        process = self.by_address.get(address)
        if process is None or not process.up:
            return
        if process.paused:
            if len(process.waiting_datagrams) < MAX_WAITING_DATAGRAMS:
                process.waiting_datagrams.append(data)
            return
        process.core.handle_datagram(data, self.engine.now)
        self.process_output(process)

    def _start_sync(self, process: SimulatedProcess, address: str) -> None:
        """Sync over TCP, which needs a path in both directions."""
        target = self.by_address.get(address)
        if target is None or not self.may_pass(process.name, target.name):
            return
        if not self.may_pass(target.name, process.name):
            return
        request = sync.make_request(process.core)
        self.engine.after(SYNC_LEGS * self._draw_delay_ms(), self._sync, process, target, request)

    def _sync(self, initiator: SimulatedProcess, responder: SimulatedProcess, request: bytes) -> None:
        if not all(process.up and not process.paused for process in (initiator, responder)):
            return
        now = self.engine.now
        response = b""
        completion = b""
        try:
            response = sync.handle_request(responder.core, request, now)
            completion = sync.handle_response(initiator.core, response, now)
            sync.handle_completion(responder.core, completion, now)
        except MembershipError:
            initiator.core.counts[counters.SYNCS_REJECTED] += 1
        sent_bytes = ((initiator, len(request) + len(completion)), (responder, len(response)))
        for process, size in sent_bytes:
            process.core.counts[counters.BYTES_OUT] += size + SYNC_OVERHEAD_BYTES
            self.process_output(process)

    # ------------------------------------------------------------ state

    def running(self) -> list[SimulatedProcess]:
        """Return the processes that were not killed."""
        return [process for process in self.processes.values() if process.up]

    def views_agree(self) -> bool:
        """Return whether the view of each running process has exactly the running ones as present."""
        observers = [process for process in self.running() if not process.core.left]
        names = {process.name for process in observers}
        return all(_present_names(process) == names for process in observers)


def _always_passes(_source: str, _target: str) -> bool:
    return True


def _ignore_change(_process: SimulatedProcess, _change: StateChange) -> None:
    return None


def _present_names(process: SimulatedProcess) -> set[str]:
    members = process.core.view.members.values()
    return {member.name for member in members if member.state == Phase.PRESENT.label}
