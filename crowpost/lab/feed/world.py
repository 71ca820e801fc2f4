"""Publishers, relays and nodes of the configuration feed in simulated time.

The protocol cores are real, the connections are simulated.  Equal arguments give an equal run.

The publication of documents is in `publishing`.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from functools import partial

from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.engine import Engine
from crowpost.lab.feed.convergence import have_converged
from crowpost.lab.feed.network import Connection, ConnectionEnd, Network, NetworkConditions
from crowpost.lab.feed.process import Change, Process, ProcessSpec, Side, new_instance

CLUSTER = "world"
MAX_IMMEDIATE_TICKS = 1_000  # more consecutive ticks count as an endless loop
TRUNCATE_ABOVE_BYTES = 600  # larger frames contain a body
TIMER_DELAY_MS = 0.001  # delay of a timer; also covers the rounding of clocks
APPLY_MS = (0.5, 3.0)  # range of the time that a node takes to apply a document


class World:
    """Processes on one simulated network, and the documents that they have applied."""

    def __init__(
        self, seed: int, conditions: NetworkConditions | None = None, tuning: Tuning | None = None
    ) -> None:
        self.engine = Engine()
        self.rng = random.Random(seed)
        self.conditions = conditions or NetworkConditions()
        self.tuning = tuning or Tuning()
        self.network = Network(self.engine, random.Random(self.rng.getrandbits(64)), self.conditions)
        self.specs: dict[str, ProcessSpec] = {}
        self.processes: dict[str, Process] = {}
        self.by_address: dict[str, Process] = {}
        self.changes: list[Change] = []
        self._open: dict[str, dict[Change, None]] = {}  # changes that not all nodes have applied, by scope
        self.faults: list[str] = []  # violated invariants
        self.rejection_of: Callable[[str, Document], str] | None = None  # arguments: process name, document
        self._trace = hashlib.sha256()
        self.history: dict[str, list[Document]] = {}  # documents that each node applied, in order
        self.on_killed: Callable[[str], None] | None = None

    def note(self, *values: object) -> None:
        """Add values to the trace that identifies equal runs."""
        self._trace.update(f"{self.engine.now!r} {values!r}\n".encode())

    def trace(self) -> str:
        """Return a digest of all events so far."""
        return self._trace.hexdigest()

    # ------------------------------------------------------------ processes

    def add(
        self,
        name: str,
        role: str,
        region: str,
        zone: str,
        servers: tuple[UpstreamServer, ...],
        service: str = "",
    ) -> Process:
        """Add and start a process."""
        address = f"10.{len(self.specs) >> 8}.{len(self.specs) & 255}.1:7000"
        spec = self.specs[name] = ProcessSpec(name, role, region, zone, service, address, servers)
        return self._start_instance(spec)

    def _start_instance(self, spec: ProcessSpec) -> Process:
        rng = random.Random(self.rng.getrandbits(64))
        process = new_instance(CLUSTER, spec, rng, self.engine.now, self.tuning)
        self.processes[spec.name] = process
        self.by_address[spec.address] = process
        self.network.unreachable.pop(spec.name, None)
        self.note("live", spec.name)
        self.perform_output(process)
        return process

    def kill(self, name: str, unreachable: bool = False) -> None:
        """Kill a process.

        unreachable: its machine fails too, so that no peer notices a closed connection.
        """
        process = self.processes[name]
        if not process.up:
            return
        process.up = False
        self.note("kill", name)
        if self.on_killed is not None:
            self.on_killed(name)
        if unreachable:
            self.network.unreachable[name] = True
        for end in process.ends.values():
            self.network.close(end)
        for change in self.changes:
            change.pending.pop(name, None)

    def restart(self, name: str) -> Process:
        """Start a new instance on the same disk; it has to apply every current document that it lacks."""
        self.kill(name)
        spec = self.specs[name]
        now = self.engine.now
        process = self._start_instance(spec)
        latest = {change.header.scope: change for change in self.changes}
        for scope, change in latest.items():
            stored = spec.disk.get(scope)
            if self.applies_to(spec, scope) and (stored is None or stored.header.rank < change.header.rank):
                change.pending[name] = now
                self._open[scope][change] = None
        return process

    def restart_process(self, name: str) -> None:
        """Restart a process; a callback for timers, without a result."""
        self.restart(name)

    def suspend(self, name: str, for_ms: float) -> None:
        """Suspend a process for a time."""
        process = self.processes[name]
        process.suspended = True
        self.engine.after(for_ms, self._resume, process)

    def _resume(self, process: Process) -> None:
        process.suspended = False
        calls = process.inbox
        process.inbox = []
        # The operating system decides whether the timer or the socket comes first.
        if self.rng.random() < 0.5:
            self._tick(process)
        for i, call in enumerate(calls):
            if process.suspended:
                process.inbox = calls[i:] + process.inbox
                return
            if process.up:
                call()
        self._tick(process)

    def start_starvation(self) -> None:
        """Suspend a fraction of the processes repeatedly."""
        names = list(self.processes)
        for name in self.rng.sample(names, round(self.conditions.starved_fraction * len(names))):
            self.engine.after(self.rng.uniform(0.0, self.conditions.running_ms[1]), self._starve, name)

    def _starve(self, name: str) -> None:
        suspension_ms = self.rng.uniform(*self.conditions.suspension_ms)
        self.suspend(name, suspension_ms)
        self.engine.after(suspension_ms + self.rng.uniform(*self.conditions.running_ms), self._starve, name)

    def jump_clock(self, name: str, by_ms: float) -> None:
        """Shift the clock of a process; a real monotonic clock never jumps."""
        process = self.processes[name]
        process.offset += by_ms
        self._tick(process)

    # ------------------------------------------------------------ time and calls

    def run(self, for_ms: float) -> None:
        """Run the simulation for a time."""
        self.engine.run(self.engine.now + for_ms)

    def call(self, process: Process, call: Callable[[], None]) -> None:
        """Call a core of a process now, or when the process is resumed."""
        if not process.up:
            return
        if process.suspended:
            process.inbox.append(call)
            return
        call()
        self.perform_output(process)

    def _tick(self, process: Process) -> None:
        process.timer = None
        process.timer_at = float("inf")
        if not process.up or process.suspended:
            return
        now = self.engine.now + process.offset
        if process.follower is not None and process.follower.next_at() <= now:
            process.follower.tick(now)
        if process.distribution_server is not None and process.distribution_server.next_at() <= now:
            process.distribution_server.tick(now)
        self.perform_output(process)

    def perform_output(self, process: Process) -> None:
        """Perform the output of the cores of a process, and set its timer."""
        due = float("inf")
        if process.follower is not None:
            self._perform_follower_output(process, process.follower)
            due = process.follower.next_at()
        if process.distribution_server is not None:
            self._perform_server_output(process, process.distribution_server)
            due = min(due, process.distribution_server.next_at())
        due += TIMER_DELAY_MS - process.offset
        process.immediate_ticks = process.immediate_ticks + 1 if due <= self.engine.now else 0
        if process.immediate_ticks > MAX_IMMEDIATE_TICKS:
            raise RuntimeError(f"{process.name} is due repeatedly at {self.engine.now}")
        if due < process.timer_at:
            if process.timer is not None:
                self.engine.cancel(process.timer)
            process.timer_at = due
            process.timer = self.engine.at(due, self._tick, process)

    def _perform_follower_output(self, process: Process, follower: Follower) -> None:
        out = follower.take()
        for request in out.connects:
            self._connect(process, request.connection_id, request.address)
        for connection_id, data in out.sends:
            self._write(process, Side.FOLLOWER, connection_id, data)
        for connection_id in out.disconnects:
            self._disconnect(process, Side.FOLLOWER, connection_id)
        for document in out.apply:
            if process.distribution_server is not None:
                process.distribution_server.announce(document, self.engine.now + process.offset)
            else:
                self.engine.after(
                    self.rng.uniform(*APPLY_MS), self.call, process, partial(self._apply, process, document)
                )

    def _perform_server_output(self, process: Process, distribution_server: DistributionServer) -> None:
        out = distribution_server.take()
        for connection_id, data in out.sends:
            self._write(process, Side.SERVER, connection_id, data)
        for connection_id in out.disconnects:
            self._disconnect(process, Side.SERVER, connection_id)

    # ------------------------------------------------------------ connections

    def _end(self, process: Process, side: Side, connection_id: int) -> ConnectionEnd:
        spec = process.spec

        def receive(data: bytes) -> None:
            self.call(process, partial(self._received, process, side, connection_id, data))

        def close() -> None:
            self.call(process, partial(self._lost, process, side, connection_id))

        def set_blocked(blocked: bool) -> None:
            if side == Side.SERVER:
                self.call(process, partial(self._blocked, process, connection_id, blocked))

        end = process.ends[side, connection_id] = ConnectionEnd(
            spec.name, spec.region, spec.zone, receive, close, set_blocked
        )
        return end

    def _connect(self, process: Process, connection_id: int, address: str) -> None:
        end = self._end(process, Side.FOLLOWER, connection_id)

        def find_target() -> ConnectionEnd | None:
            target = self.by_address.get(address)
            if target is None or target.distribution_server is None:
                return None
            if not target.up and not self.network.unreachable.get(target.name):
                return None
            spec = target.spec
            return ConnectionEnd(spec.name, spec.region, spec.zone, _do_nothing, _do_nothing, _do_nothing)

        def on_open(connection: Connection) -> None:
            target = self.by_address[address]
            target.accepted_connections += 1
            accepted_end = self._end(target, Side.SERVER, target.accepted_connections)
            accepted_end.connection = connection
            connection.ends = (end, accepted_end)
            self.call(target, partial(self._accepted, target, target.accepted_connections))
            self.call(process, partial(self._connected, process, connection_id))

        self.network.dial(end, find_target, on_open)

    def _write(self, process: Process, side: Side, connection_id: int, data: bytes) -> None:
        end = process.ends.get((side, connection_id))
        if end is None:
            return
        if process.truncates_bodies and side == Side.SERVER and len(data) > TRUNCATE_ABOVE_BYTES:
            data = data[: len(data) // 2]  # half a body, then nothing more
            process.ends.pop((side, connection_id))
        self.network.send(end, data)

    def _disconnect(self, process: Process, side: Side, connection_id: int) -> None:
        end = process.ends.pop((side, connection_id), None)
        if end is not None:
            self.network.close(end)

    def _connected(self, process: Process, connection_id: int) -> None:
        assert process.follower is not None
        process.follower.connected(connection_id, self.engine.now + process.offset)

    def _accepted(self, process: Process, connection_id: int) -> None:
        assert process.distribution_server is not None
        process.distribution_server.accepted(connection_id, self.engine.now + process.offset)

    def _blocked(self, process: Process, connection_id: int, blocked: bool) -> None:
        assert process.distribution_server is not None
        process.distribution_server.blocked(connection_id, blocked, self.engine.now + process.offset)

    def _received(self, process: Process, side: Side, connection_id: int, data: bytes) -> None:
        end = process.ends.get((side, connection_id))
        if end is not None:
            self.network.read(end, len(data))
        core = process.follower if side == Side.FOLLOWER else process.distribution_server
        assert core is not None
        core.received(connection_id, data, self.engine.now + process.offset)

    def _lost(self, process: Process, side: Side, connection_id: int) -> None:
        process.ends.pop((side, connection_id), None)
        core = process.follower if side == Side.FOLLOWER else process.distribution_server
        assert core is not None
        core.lost(connection_id, self.engine.now + process.offset)

    # ------------------------------------------------------------ documents

    def _apply(self, process: Process, document: Document) -> None:
        follower = process.follower
        header = document.header
        assert follower is not None
        applied = self.history.setdefault(process.name, [])
        before = process.spec.disk.get(header.scope)
        if not document.is_intact:
            self.faults.append(f"{process.name} was given a body that does not match its header: {header}")
        if before is not None and before.header.rank >= header.rank:
            self.faults.append(f"{process.name} went back from {before.header} to {header}")
        rejection = "" if self.rejection_of is None else self.rejection_of(process.name, document)
        if not rejection:
            process.spec.disk[header.scope] = document
            applied.append(document)
            self.note("in force", process.name, header.scope, header.epoch, header.version)
            for change in list(self._open.get(header.scope, ())):
                if change.header.rank <= header.rank and process.name in change.pending:
                    change.latency_ms[process.name] = self.engine.now - change.pending.pop(process.name)
                    if not change.pending:
                        del self._open[header.scope][change]
        follower.apply_finished(header, rejection, self.engine.now + process.offset)

    @staticmethod
    def applies_to(spec: ProcessSpec, scope: str) -> bool:
        """Return whether documents of a scope apply to a process."""
        return spec.role == "node" and Subscription(spec.region, spec.service, spec.name).includes(scope)

    # ------------------------------------------------------------ results

    def acknowledged(self, header: DocumentHeader) -> None:
        """Record that a document was acknowledged; all running nodes in its scope have to apply it."""
        now = self.engine.now
        self.note("acknowledged", header.scope, header.epoch, header.version)
        pending = {
            name: now
            for name, spec in self.specs.items()
            if self.applies_to(spec, header.scope) and self.processes[name].up
        }
        change = Change(header, now, pending)
        self.changes.append(change)
        self._open.setdefault(header.scope, {})[change] = None

    def unreached(self) -> dict[str, list[str]]:
        """Return by scope and version the nodes that have yet to apply a document."""
        return {
            f"{change.header.scope} {change.header.version}": list(change.pending)
            for change in self.changes
            if change.pending
        }

    def traffic(self, name: str) -> int:
        """Return the bytes sent and received by a process, with packet headers."""
        return self.network.sent_bytes.get(name, 0) + self.network.received_bytes.get(name, 0)

    def converged(self) -> bool:
        """Return whether every running process has the highest document of each scope that it watches."""
        running = [process for process in self.processes.values() if process.up]
        return have_converged([process.follower for process in running if process.follower is not None])


def _do_nothing(*_: object) -> None:
    """Do nothing; this end only gives the region and zone of the listening process."""
