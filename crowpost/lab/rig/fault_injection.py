"""Executes a fault-injection run of real processes.

The processes are started, the scheduled faults are injected, all processes are asked for their views, and the
history is checked.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from signal import Signals
from typing import Any

import uvloop

from crowpost.lab.rig import power_loss
from crowpost.lab.rig.history import CheckResult, History, check
from crowpost.lab.rig.plan import FaultSchedule, ScheduledFault, draw_faults
from crowpost.lab.rig.processes import RigProcess
from crowpost.lab.rig.relays import Relays
from crowpost.membership.query import query_views
from crowpost.node.state.node_state import read_node_state
from crowpost.storage.errors import StoreError
from crowpost.storage.runner import inspect_store

CONTACT_COUNT = 3
CONCURRENT_STARTS = 8  # processes that start at the same time; each start occupies a core
JOIN_TIMEOUT_S = 60.0  # limit for all processes to hold each other present, before the first fault
POLL_INTERVAL_S = 0.5
QUERY_TIMEOUT_S = 5.0
MAX_STAFF_ATTEMPTS = 60
READY_TIMEOUT_S = 5.0  # limit after a start for a node that is not evacuated to serve
LINK_FAULTS = ("loss", "delay", "duplicate", "reorder", "slow_link", "one_way", "partition")


class FaultInjectionRun:
    """One run of a fault schedule; times of the history are in ms of the machine's monotonic clock."""

    def __init__(
        self, schedule: FaultSchedule, seed: int, folder: Path, report: Callable[[str], None]
    ) -> None:
        self.schedule, self.seed, self.report = schedule, seed, report
        self.faults = draw_faults(schedule, seed)
        self.rng = Random(f"junk {schedule.name} {seed}")
        self.history = History(folder / "history.jsonl")
        self.names = [f"n{i}" for i in range(schedule.processes)]
        self.relays = Relays(self.names, seed)
        self.processes = {
            name: RigProcess(name, index, schedule, folder, self.history)
            for index, name in enumerate(self.names)
        }
        self._loop = asyncio.get_running_loop()

    def _now(self) -> float:
        return 1000.0 * self._loop.time()

    async def run(self) -> dict[str, Any]:
        """Run the schedule; return the result of the checks and the members' counters as JSON values."""
        await self.relays.open()
        try:
            await self._start_all()
            joined = await self._wait_for_agreement(JOIN_TIMEOUT_S)
            self.history.add("rig", "joined", self._now(), whole=joined)
            self.report(
                f"{len(self.names)} processes"
                + (" hold each other present" if joined else ", but not all have joined")
            )
            started_at = self._loop.time()
            await asyncio.gather(*(self._run_fault(scheduled, started_at) for scheduled in self.faults))
            remaining_s = started_at + self.schedule.duration_s - self._loop.time()
            await asyncio.sleep(max(0.0, remaining_s))
            self.report("the last fault is over")
            settling_s = self._loop.time()
            await self._wait_for_agreement(self.schedule.quiet_s)
            settling_s = self._loop.time() - settling_s
            counts = await self._record_final_views()
        finally:
            await asyncio.gather(*(process.close() for process in self.processes.values()))
            self.relays.close()
            self.history.close()
        result: CheckResult = check(self.history.lines)
        return {
            "storm": self.schedule.name,
            "seed": self.seed,
            "processes": len(self.names),
            "settled_s": round(settling_s, 1),
            **result.to_json(),
            "counts": counts,
        }

    async def _start_all(self) -> None:
        semaphore = asyncio.Semaphore(CONCURRENT_STARTS)

        async def start(name: str) -> None:
            async with semaphore:
                await self._start(name)

        await asyncio.gather(*(start(name) for name in self.names))

    async def _start(self, name: str) -> None:
        contacts = [self.relays.addresses[other] for other in self.names[:CONTACT_COUNT] if other != name]
        process = self.processes[name]
        await process.start(self.relays.addresses[name], contacts)
        assert process.listen_address is not None
        self.relays.targets[name] = process.listen_address
        if self.schedule.state:
            await self._record_readiness(process)

    async def _record_readiness(self, process: RigProcess) -> None:
        """Record whether a process serves soon after its start, or stays evacuated on request."""
        until = self._loop.time() + READY_TIMEOUT_S
        started = process.process
        try:
            while (await process.call_management("GET", "ready"))[0] != 200 and self._loop.time() < until:
                await asyncio.sleep(0.1)
        except (OSError, TimeoutError) as error:
            if process.expected_up and process.process is started:  # if not, the next fault has begun
                self.history.add("rig", "unanswered", self._now(), about=process.name, words=str(error))
            return
        evacuated = self._loop.time() >= until
        self.history.add("rig", "started", self._now(), about=process.name, emptied=evacuated)

    # ------------------------------------------------------------ faults

    async def _run_fault(self, scheduled: ScheduledFault, started_at: float) -> None:
        fault = scheduled.fault
        await asyncio.sleep(max(0.0, started_at + fault.at_s - self._loop.time()))
        self.history.add(
            "rig",
            "trouble",
            self._now(),
            kind=fault.kind,
            victims=scheduled.victims,
            links=sorted(scheduled.links) if fault.kind == "one_way" else [],
            size=fault.size,
            until_ms=round(1000.0 * (started_at + scheduled.until_s), 1),
        )
        self.report(
            f"{fault.kind}: {', '.join(scheduled.victims[:6])}{' ...' if len(scheduled.victims) > 6 else ''}"
        )
        if fault.kind in LINK_FAULTS:
            self.relays.begin(scheduled)
            await asyncio.sleep(fault.for_s)
            self.relays.end(scheduled)
            return
        handlers: dict[str, Callable[[str, ScheduledFault], Coroutine[Any, Any, None]]] = {
            "kill": self._kill,
            "restart": self._restart,
            "upgrade": self._upgrade,
            "stop": self._stop,
            "starve": self._starve,
            "replay": self._replay,
            "junk": self._send_corrupt_datagrams,
            "power_loss": self._power_loss,
            "evacuate": self._evacuate,
        }
        await asyncio.gather(*(handlers[fault.kind](name, scheduled) for name in scheduled.victims))

    async def _kill(self, name: str, scheduled: ScheduledFault) -> None:
        process = self.processes[name]
        self.history.add("rig", "down", self._now(), about=name, how="SIGKILL")
        await process.kill()
        await asyncio.sleep(scheduled.fault.for_s)
        self.history.add("rig", "up", self._now(), about=name)
        await self._start(name)

    async def _power_loss(self, name: str, scheduled: ScheduledFault) -> None:
        """Kill a process, and leave on its disk what a power loss may leave of writes without fsync."""
        process = self.processes[name]
        self.history.add("rig", "down", self._now(), about=name, how="power")
        await process.kill()
        self._record_state(process, "before")
        power_loss.leave_unsynced_writes(process.state_directory, self.rng)
        self._record_state(process, "after")
        await asyncio.sleep(scheduled.fault.for_s)
        self.history.add("rig", "up", self._now(), about=name)
        await self._start(name)

    def _record_state(self, process: RigProcess, when: str) -> None:
        try:
            recovered = inspect_store(process.state_directory, process.name)
            state = read_node_state(recovered)
        except StoreError as error:
            self.history.add("rig", "state", self._now(), about=process.name, when=when, refused=str(error))
            return
        fields = {
            "last": recovered.last_sequence,
            "emptied": state.evacuated,
            "incarnation": state.incarnation,
        }
        self.history.add("rig", "state", self._now(), about=process.name, when=when, **fields)

    async def _evacuate(self, name: str, scheduled: ScheduledFault) -> None:
        await self._request_as_staff(name, "evacuate", True)
        await asyncio.sleep(scheduled.fault.for_s)
        await self._request_as_staff(name, "rejoin", False)

    async def _request_as_staff(self, name: str, operation: str, evacuated: bool) -> None:
        """Repeat a request, as staff would, until it is executed and stored; the process may be down."""
        for _ in range(MAX_STAFF_ATTEMPTS):
            self.history.add("rig", "asking", self._now(), about=name, emptied=evacuated)
            try:
                status, body = await self.processes[name].call_management("POST", operation)
            except (OSError, TimeoutError):
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if status == 200 and not body:
                self.history.add("rig", "asked", self._now(), about=name, emptied=evacuated)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.history.add("rig", "unanswered", self._now(), about=name, words=f"{operation} was never stored")

    async def _restart(self, name: str, scheduled: ScheduledFault) -> None:
        """Restart a process gracefully; the new one listens on another port."""
        process = self.processes[name]
        self.history.add("rig", "leaving", self._now(), about=name)
        await process.terminate()
        await self._start(name)

    async def _upgrade(self, name: str, scheduled: ScheduledFault) -> None:
        """Start a second process under the same name, then end the first one gracefully."""
        process = self.processes[name]
        old_process = process.process
        await self._start(name)
        await asyncio.sleep(scheduled.fault.for_s / 2)
        await process.terminate(old_process)

    async def _stop(self, name: str, scheduled: ScheduledFault) -> None:
        process = self.processes[name]
        process.send_signal(Signals.SIGSTOP)
        await asyncio.sleep(scheduled.fault.for_s)
        process.send_signal(Signals.SIGCONT)

    async def _starve(self, name: str, scheduled: ScheduledFault) -> None:
        await self.processes[name].starve(scheduled.fault.for_s, max(scheduled.fault.size, 0.02))

    async def _replay(self, name: str, scheduled: ScheduledFault) -> None:
        """Deliver the recent datagrams of a process once more."""
        datagrams = [data for receiver, data in self.relays.recent_datagrams if receiver == name]
        pause_s = scheduled.fault.for_s / max(len(datagrams), 1)
        for data in datagrams:
            self.relays.deliver(name, data)
            await asyncio.sleep(pause_s)

    async def _send_corrupt_datagrams(self, name: str, scheduled: ScheduledFault) -> None:
        """Send damaged, truncated, random and oversized datagrams."""
        until = self._loop.time() + scheduled.fault.for_s
        while self._loop.time() < until:
            datagrams = [data for _, data in self.relays.recent_datagrams]
            data = bytearray(self.rng.choice(datagrams) if datagrams else b"")
            match self.rng.randrange(4):
                case 0 if data:
                    data[self.rng.randrange(len(data))] ^= 1 << self.rng.randrange(8)
                case 1 if data:
                    del data[self.rng.randrange(len(data)) :]
                case 2:
                    data = bytearray(self.rng.randbytes(self.rng.randrange(1, 1500)))
                case _:
                    data += bytes(2_000)
            self.relays.deliver(name, bytes(data))
            await asyncio.sleep(0.01)

    # ------------------------------------------------------------ views

    async def _query_views(self) -> dict[str, dict[str, Any] | str]:
        addresses = {}
        for process in self.processes.values():
            if process.expected_up:
                assert process.listen_address is not None
                addresses[process.name] = "{}:{}".format(*process.listen_address)
        return await query_views(addresses, QUERY_TIMEOUT_S)

    async def _wait_for_agreement(self, within_s: float) -> bool:
        until = self._loop.time() + within_s
        while True:
            views = await self._query_views()
            digests = {view["digest"] for view in views.values() if not isinstance(view, str)}
            present_counts = {
                sum(member["state"] == "present" for member in view["members"])
                for view in views.values()
                if not isinstance(view, str)
            }
            if (
                len(digests) == 1
                and present_counts == {len(views)}
                and not any(isinstance(view, str) for view in views.values())
            ):
                return True
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _record_final_views(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for name, view in (await self._query_views()).items():
            if isinstance(view, str):
                self.history.add(name, "final", self._now(), failed=view)
                continue
            present = sorted(member["name"] for member in view["members"] if member["state"] == "present")
            self.history.add(name, "final", self._now(), present=present, digest=view["digest"])
            for key, count in view["counts"].items():
                counts[key] = counts.get(key, 0) + count
        return counts


def play(
    schedule: FaultSchedule, seed: int, folder: Path | None, report: Callable[[str], None]
) -> dict[str, Any]:
    """Run a fault schedule to its end; without a folder its files are temporary."""

    async def main(path: Path) -> dict[str, Any]:
        return await FaultInjectionRun(schedule, seed, path, report).run()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(main(folder))
    with tempfile.TemporaryDirectory(prefix="storm-") as name:
        return uvloop.run(main(Path(name)))
