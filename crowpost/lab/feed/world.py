"""Publishers, relays and nodes of `crowpost.feed` in simulated time: the real cores on simulated connections.

Equal arguments give an equal run.  How publishers publish is in `publishing`.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from functools import partial

from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.identity import PUBLISHER_ROLE, ProcessIdentity
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.engine import Engine
from crowpost.lab.feed.network import Connection, ConnectionEnd, Network, NetworkConditions
from crowpost.lab.feed.process import Change, Process, ProcessSpec

CLUSTER = "world"
LATE_MS = 0.001  # that a timer goes off after its time, as timers do; also covers the rounding of clocks
APPLY_MS = (0.5, 3.0)  # until a node has a document in force


class World:
    """Many processes on one simulated network."""

    def __init__(
        self, seed: int, weather: NetworkConditions | None = None, tuning: Tuning | None = None
    ) -> None:
        self.engine, self.rng = Engine(), random.Random(seed)
        self.weather, self.tuning = weather or NetworkConditions(), tuning or Tuning()
        self.net = Network(self.engine, random.Random(self.rng.getrandbits(64)), self.weather)
        self.specs: dict[str, ProcessSpec] = {}
        self.processes: dict[str, Process] = {}
        self.by_address: dict[str, Process] = {}
        self.changes: list[Change] = []
        self._open: dict[str, dict[Change, None]] = {}
        self.faults: list[str] = []  # invariants that were broken
        self.refuses: Callable[[str, Document], str] = lambda name, document: ""
        self._trace = hashlib.sha256()
        self.history: dict[str, list[Document]] = {}  # what each node took, in order
        self.killed: Callable[[str], None] = lambda name: None  # a process was

    def note(self, *values: object) -> None:
        """Part of the trace by which two runs are compared."""
        self._trace.update(f"{self.engine.now!r} {values!r}\n".encode())

    def trace(self) -> str:
        """A digest of all that happened."""
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
        """A new process."""
        address = f"10.{len(self.specs) >> 8}.{len(self.specs) & 255}.1:7000"
        spec = self.specs[name] = ProcessSpec(name, role, region, zone, service, address, servers)
        return self._live(spec)

    def _live(self, spec: ProcessSpec) -> Process:
        rng = random.Random(self.rng.getrandbits(64))
        offset = rng.uniform(0.0, 1e6)
        now, instance_id = self.engine.now + offset, rng.getrandbits(32)
        all_scopes = spec.role != "node"
        table, distribution_server = DocumentTable(self.tuning), None
        subscription = Subscription(spec.region, spec.service, "" if all_scopes else spec.name, all_scopes)
        identity = ProcessIdentity(CLUSTER, spec.name, spec.role, spec.region, spec.zone, instance_id)
        follower = Follower(
            identity,
            spec.servers,
            subscription,
            rng=rng,
            now=now,
            tuning=self.tuning,
            table=table,
            cached_documents=list(spec.disk.values()),
        )
        if all_scopes:
            distribution_server = DistributionServer(
                identity,
                table,
                accepts_publishes=spec.role == PUBLISHER_ROLE,
                now=now,
                tuning=self.tuning,
            )
        process = Process(spec, follower, distribution_server, offset)
        self.processes[spec.name] = self.by_address[spec.address] = process
        self.net.dark.pop(spec.name, None)
        self.note("live", spec.name)
        self.after(process)
        return process

    def kill(self, name: str, dark: bool = False) -> None:
        """SIGKILL; dark: the machine goes with it, so that nobody is told."""
        process = self.processes[name]
        if not process.up:
            return
        process.up = False
        self.note("kill", name)
        self.killed(name)
        if dark:
            self.net.dark[name] = True
        for end in process.ends.values():
            self.net.close(end)
        for change in self.changes:
            change.owed.pop(name, None)

    def restart(self, name: str) -> Process:
        """A new process with what the old one left on its disk; it owes all that is not superseded."""
        self.kill(name)
        spec, now = self.specs[name], self.engine.now
        process = self._live(spec)
        latest = {change.header.scope: change for change in self.changes}
        for scope, change in latest.items():
            held = spec.disk.get(scope)
            if self.meant(spec, scope) and (held is None or held.header.rank < change.header.rank):
                change.owed[name] = now
                self._open[scope][change] = None
        return process

    def back(self, name: str) -> None:
        """The same, for a timetable."""
        self.restart(name)

    def freeze(self, name: str, for_ms: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        process = self.processes[name]
        process.frozen = True
        self.engine.after(for_ms, self._thaw, process)

    def _thaw(self, process: Process) -> None:
        process.frozen = False
        box, process.mailbox = process.mailbox, []
        # Which comes first, the timer or the socket, is the operating system's choice.
        if self.rng.random() < 0.5:
            self._tick(process)
        for i, call in enumerate(box):
            if process.frozen:
                process.mailbox = box[i:] + process.mailbox
                return
            if process.up:
                call()
        self._tick(process)

    def starve(self) -> None:
        """Let a part of the processes stand still again and again."""
        names = list(self.processes)
        for name in self.rng.sample(names, round(self.weather.starved * len(names))):
            self.engine.after(self.rng.uniform(0.0, self.weather.running[1]), self._starve_once, name)

    def _starve_once(self, name: str) -> None:
        still = self.rng.uniform(*self.weather.still)
        self.freeze(name, still)
        self.engine.after(still + self.rng.uniform(*self.weather.running), self._starve_once, name)

    def jump(self, name: str, by_ms: float) -> None:
        """The clock of a process jumps, though a monotonic one never should."""
        process = self.processes[name]
        process.offset += by_ms
        self._tick(process)

    # ------------------------------------------------------------ time and calls

    def run(self, for_ms: float) -> None:
        """Go on for so long."""
        self.engine.run(self.engine.now + for_ms)

    def call(self, process: Process, call: Callable[[], None]) -> None:
        if not process.up:
            return
        if process.frozen:
            process.mailbox.append(call)
            return
        call()
        self.after(process)

    def _tick(self, process: Process) -> None:
        process.wake, process.wake_at = None, float("inf")
        if not process.up or process.frozen:
            return
        now = self.engine.now + process.offset
        if process.follower is not None and process.follower.next_at() <= now:
            process.follower.tick(now)
        if process.distribution_server is not None and process.distribution_server.next_at() <= now:
            process.distribution_server.tick(now)
        self.after(process)

    def after(self, process: Process) -> None:
        due = float("inf")
        if process.follower is not None:
            self._carry_follower(process, process.follower)
            due = process.follower.next_at()
        if process.distribution_server is not None:
            self._carry_hub(process, process.distribution_server)
            due = min(due, process.distribution_server.next_at())
        due += LATE_MS - process.offset
        process.spins = process.spins + 1 if due <= self.engine.now else 0
        if process.spins > 1_000:
            raise RuntimeError(f"{process.name} is due again and again at {self.engine.now}")
        if due < process.wake_at:
            if process.wake is not None:
                self.engine.cancel(process.wake)
            process.wake_at = due
            process.wake = self.engine.at(due, self._tick, process)

    def _carry_follower(self, process: Process, follower: Follower) -> None:
        out = follower.take()
        for dial in out.connects:
            self._dial(process, dial.connection_id, dial.address)
        for connection_id, data in out.sends:
            self._write(process, "f", connection_id, data)
        for connection_id in out.disconnects:
            self._hang_up(process, "f", connection_id)
        for document in out.apply:
            if process.distribution_server is not None:
                process.distribution_server.announce(document, self.engine.now + process.offset)
            else:
                self.engine.after(
                    self.rng.uniform(*APPLY_MS), self.call, process, partial(self._apply, process, document)
                )

    def _carry_hub(self, process: Process, distribution_server: DistributionServer) -> None:
        out = distribution_server.take()
        for connection_id, data in out.sends:
            self._write(process, "h", connection_id, data)
        for connection_id in out.disconnects:
            self._hang_up(process, "h", connection_id)

    # ------------------------------------------------------------ connections

    def _end(self, process: Process, side: str, connection_id: int) -> ConnectionEnd:
        spec = process.spec

        def hear(data: bytes) -> None:
            self.call(process, partial(self._hear, process, side, connection_id, data))

        def close() -> None:
            self.call(process, partial(self._lost, process, side, connection_id))

        def full(blocked: bool) -> None:
            if side == "h":
                self.call(process, partial(self._blocked, process, connection_id, blocked))

        end = process.ends[side, connection_id] = ConnectionEnd(
            spec.name, spec.region, spec.zone, hear, close, full
        )
        return end

    def _dial(self, process: Process, connection_id: int, address: str) -> None:
        end = self._end(process, "f", connection_id)

        def find() -> ConnectionEnd | None:
            target = self.by_address.get(address)
            if target is None or target.distribution_server is None:
                return None
            if not target.up and not self.net.dark.get(target.name):
                return None
            spec = target.spec
            return ConnectionEnd(spec.name, spec.region, spec.zone, _nothing, _nothing, _nothing)

        def up(conn: Connection) -> None:
            target = self.by_address[address]
            target.links += 1
            taken = self._end(target, "h", target.links)
            taken.conn = conn
            conn.ends = (end, taken)
            self.call(target, partial(self._accepted, target, target.links))
            self.call(process, partial(self._connected, process, connection_id))

        self.net.dial(end, find, up)

    def _write(self, process: Process, side: str, connection_id: int, data: bytes) -> None:
        end = process.ends.get((side, connection_id))
        if end is None:
            return
        if process.mute and side == "h" and len(data) > 600:
            data = data[: len(data) // 2]  # half a body, then nothing any more
            process.ends.pop((side, connection_id))
        self.net.send(end, data)

    def _hang_up(self, process: Process, side: str, connection_id: int) -> None:
        end = process.ends.pop((side, connection_id), None)
        if end is not None:
            self.net.close(end)

    def _connected(self, process: Process, connection_id: int) -> None:
        assert process.follower is not None
        process.follower.connected(connection_id, self.engine.now + process.offset)

    def _accepted(self, process: Process, connection_id: int) -> None:
        assert process.distribution_server is not None
        process.distribution_server.accepted(connection_id, self.engine.now + process.offset)

    def _blocked(self, process: Process, connection_id: int, blocked: bool) -> None:
        assert process.distribution_server is not None
        process.distribution_server.blocked(connection_id, blocked, self.engine.now + process.offset)

    def _hear(self, process: Process, side: str, connection_id: int, data: bytes) -> None:
        end = process.ends.get((side, connection_id))
        if end is not None:
            self.net.read(end, len(data))
        core = process.follower if side == "f" else process.distribution_server
        assert core is not None
        core.received(connection_id, data, self.engine.now + process.offset)

    def _lost(self, process: Process, side: str, connection_id: int) -> None:
        process.ends.pop((side, connection_id), None)
        core = process.follower if side == "f" else process.distribution_server
        assert core is not None
        core.lost(connection_id, self.engine.now + process.offset)

    # ------------------------------------------------------------ documents

    def _apply(self, process: Process, document: Document) -> None:
        follower, header = process.follower, document.header
        assert follower is not None
        taken = self.history.setdefault(process.name, [])
        before = process.spec.disk.get(header.scope)
        if not document.is_intact:
            self.faults.append(f"{process.name} was given a body that is not the head's: {header}")
        if before is not None and before.header.rank >= header.rank:
            self.faults.append(f"{process.name} went back from {before.header} to {header}")
        why = self.refuses(process.name, document)
        if not why:
            process.spec.disk[header.scope] = document
            taken.append(document)
            self.note("in force", process.name, header.scope, header.epoch, header.version)
            for change in list(self._open.get(header.scope, ())):
                if change.header.rank <= header.rank and process.name in change.owed:
                    change.took[process.name] = self.engine.now - change.owed.pop(process.name)
                    if not change.owed:
                        del self._open[header.scope][change]
        follower.apply_finished(header, why, self.engine.now + process.offset)

    @staticmethod
    def meant(spec: ProcessSpec, scope: str) -> bool:
        return spec.role == "node" and Subscription(spec.region, spec.service, spec.name).includes(scope)

    # ------------------------------------------------------------ looks

    def acknowledged(self, header: DocumentHeader) -> None:
        """A document was: it is owed to all that it is meant for and that run."""
        now = self.engine.now
        self.note("acknowledged", header.scope, header.epoch, header.version)
        owed = {
            name: now
            for name, spec in self.specs.items()
            if self.meant(spec, header.scope) and self.processes[name].up
        }
        change = Change(header, now, owed)
        self.changes.append(change)
        self._open.setdefault(header.scope, {})[change] = None

    def unreached(self) -> dict[str, list[str]]:
        """Scope and version, and the names that should have it in force and have not."""
        return {
            f"{change.header.scope} {change.header.version}": list(change.owed)
            for change in self.changes
            if change.owed
        }

    def traffic(self, name: str) -> int:
        """Bytes with headers, both ways."""
        return self.net.sent.get(name, 0) + self.net.heard.get(name, 0)

    def converged(self) -> bool:
        """Whether every process that runs holds the highest head of each scope that is meant for it."""
        best: dict[str, DocumentHeader] = {}
        for process in self.processes.values():
            if process.up and process.follower is not None:
                for scope, document in process.follower.table.documents.items():
                    if scope not in best or document.header.rank > best[scope].rank:
                        best[scope] = document.header
        for process in self.processes.values():
            if not process.up or process.follower is None:
                continue
            for scope, header in best.items():
                if process.follower.subscription.includes(scope):
                    held = process.follower.table.get(scope)
                    if held is None or held.header != header:
                        return False
        return True


def _nothing(*_: object) -> None:
    """An end that only says where it stands."""
