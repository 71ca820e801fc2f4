"""Play a fault-injection run of real processes.

The processes are started, the timetable happens, all are asked for their views, and the history is checked.
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

from crowpost.lab.rig import torn
from crowpost.lab.rig.history import History, Verdict, check
from crowpost.lab.rig.plan import Act, Storm, timetable
from crowpost.lab.rig.processes import RigProcess
from crowpost.lab.rig.relays import Relays
from crowpost.membership.query import query_views
from crowpost.node.state.node_state import read_node_state
from crowpost.storage.errors import StoreError
from crowpost.storage.runner import inspect_store

CONTACTS = 3
AT_ONCE = 8  # processes that start at the same time: a start takes a core
JOIN_S = 60.0  # for all to hold all present, before the first trouble
LOOK_S = 0.5
ASK_S = 5.0
STAFF_TRIES = 60
READY_S = 5.0  # after its start a node that has not been emptied serves
LINKS = ("loss", "delay", "duplicate", "reorder", "slow_link", "one_way", "partition")


class StormRun:
    """One storm on real processes.  Times of the history are ms on the machine's monotonic clock."""

    def __init__(self, storm: Storm, seed: int, folder: Path, say: Callable[[str], None]) -> None:
        self.storm, self.seed, self.say = storm, seed, say
        self.acts = timetable(storm, seed)
        self.rng = Random(f"junk {storm.name} {seed}")
        self.history = History(folder / "history.jsonl")
        self.names = [f"n{i}" for i in range(storm.processes)]
        self.relays = Relays(self.names, seed)
        self.processes = {
            name: RigProcess(name, i, storm, folder, self.history) for i, name in enumerate(self.names)
        }
        self._loop = asyncio.get_running_loop()

    def _now(self) -> float:
        return 1000.0 * self._loop.time()

    async def run(self) -> dict[str, Any]:
        """The verdict and what the members counted, as JSON values."""
        await self.relays.open()
        try:
            await self._start_all()
            joined = await self._until_one_view(JOIN_S)
            self.history.add("rig", "joined", self._now(), whole=joined)
            self.say(
                f"{len(self.names)} processes"
                + (" hold each other present" if joined else ", not all joined")
            )
            began = self._loop.time()
            await asyncio.gather(*(self._play(act, began) for act in self.acts))
            left = began + self.storm.duration_s - self._loop.time()
            await asyncio.sleep(max(0.0, left))
            self.say("the last trouble is over")
            settled = self._loop.time()
            await self._until_one_view(self.storm.quiet_s)
            settled = self._loop.time() - settled
            counts = await self._final()
        finally:
            await asyncio.gather(*(p.close() for p in self.processes.values()))
            self.relays.close()
            self.history.close()
        verdict: Verdict = check(self.history.lines)
        return {
            "storm": self.storm.name,
            "seed": self.seed,
            "processes": len(self.names),
            "settled_s": round(settled, 1),
            **verdict.plain(),
            "counts": counts,
        }

    async def _start_all(self) -> None:
        gate = asyncio.Semaphore(AT_ONCE)

        async def start(name: str) -> None:
            async with gate:
                await self._start(name)

        await asyncio.gather(*(start(name) for name in self.names))

    async def _start(self, name: str) -> None:
        contacts = [self.relays.addresses[n] for n in self.names[:CONTACTS] if n != name]
        process = self.processes[name]
        await process.start(self.relays.addresses[name], contacts)
        assert process.listens is not None
        self.relays.targets[name] = process.listens
        if self.storm.state:
            await self._tell_ready(process)

    async def _tell_ready(self, process: RigProcess) -> None:
        """Whether it serves soon after its start, or stays empty as staff have asked."""
        until = self._loop.time() + READY_S
        started = process.process
        try:
            while (await process.manage("GET", "ready"))[0] != 200 and self._loop.time() < until:
                await asyncio.sleep(0.1)
        except (OSError, TimeoutError) as error:
            if process.expected_up and process.process is started:  # else the next trouble has come
                self.history.add("rig", "unanswered", self._now(), about=process.name, words=str(error))
            return
        emptied = self._loop.time() >= until
        self.history.add("rig", "started", self._now(), about=process.name, emptied=emptied)

    # ------------------------------------------------------------ troubles

    async def _play(self, act: Act, began: float) -> None:
        bad = act.bad
        await asyncio.sleep(max(0.0, began + bad.at_s - self._loop.time()))
        self.history.add(
            "rig",
            "trouble",
            self._now(),
            kind=bad.kind,
            victims=act.victims,
            links=sorted(act.links) if bad.kind == "one_way" else [],
            size=bad.size,
            until_ms=round(1000.0 * (began + act.until_s), 1),
        )
        self.say(f"{bad.kind}: {', '.join(act.victims[:6])}{' ...' if len(act.victims) > 6 else ''}")
        if bad.kind in LINKS:
            self.relays.begin(act)
            await asyncio.sleep(bad.for_s)
            self.relays.end(act)
            return
        each: dict[str, Callable[[str, Act], Coroutine[Any, Any, None]]] = {
            "kill": self._kill,
            "restart": self._restart,
            "upgrade": self._upgrade,
            "stop": self._stop,
            "starve": self._starve,
            "replay": self._replay,
            "junk": self._junk,
            "power_loss": self._power_loss,
            "evacuate": self._evacuate,
        }
        await asyncio.gather(*(each[bad.kind](name, act) for name in act.victims))

    async def _kill(self, name: str, act: Act) -> None:
        process = self.processes[name]
        self.history.add("rig", "down", self._now(), about=name, how="SIGKILL")
        await process.kill()
        await asyncio.sleep(act.bad.for_s)
        self.history.add("rig", "up", self._now(), about=name)
        await self._start(name)

    async def _power_loss(self, name: str, act: Act) -> None:
        """SIGKILL, and on the disk what a machine may leave of writes that no fsync had covered yet."""
        process = self.processes[name]
        self.history.add("rig", "down", self._now(), about=name, how="power")
        await process.kill()
        self._tell_state(process, "before")
        torn.leave(process.state, self.rng)
        self._tell_state(process, "after")
        await asyncio.sleep(act.bad.for_s)
        self.history.add("rig", "up", self._now(), about=name)
        await self._start(name)

    def _tell_state(self, process: RigProcess, when: str) -> None:
        try:
            recovered = inspect_store(process.state, process.name)
            state = read_node_state(recovered)
        except StoreError as error:
            self.history.add("rig", "state", self._now(), about=process.name, when=when, refused=str(error))
            return
        told = {
            "last": recovered.last_sequence,
            "emptied": state.evacuated,
            "incarnation": state.incarnation,
        }
        self.history.add("rig", "state", self._now(), about=process.name, when=when, **told)

    async def _evacuate(self, name: str, act: Act) -> None:
        await self._staff(name, "evacuate", True)
        await asyncio.sleep(act.bad.for_s)
        await self._staff(name, "rejoin", False)

    async def _staff(self, name: str, call: str, emptied: bool) -> None:
        """Ask until it has been done and kept, as staff would; a process that is just away is waited for."""
        for _ in range(STAFF_TRIES):
            self.history.add("rig", "asking", self._now(), about=name, emptied=emptied)
            try:
                status, body = await self.processes[name].manage("POST", call)
            except (OSError, TimeoutError):
                await asyncio.sleep(LOOK_S)
                continue
            if status == 200 and not body:
                self.history.add("rig", "asked", self._now(), about=name, emptied=emptied)
                return
            await asyncio.sleep(LOOK_S)
        self.history.add("rig", "unanswered", self._now(), about=name, words=f"{call} was never kept")

    async def _restart(self, name: str, act: Act) -> None:
        """In order; it listens on another port each time."""
        process = self.processes[name]
        self.history.add("rig", "leaving", self._now(), about=name)
        await process.terminate()
        await self._start(name)

    async def _upgrade(self, name: str, act: Act) -> None:
        """A second process under the name; then the first one ends in order."""
        process = self.processes[name]
        old = process.process
        await self._start(name)
        await asyncio.sleep(act.bad.for_s / 2)
        await process.terminate(old)

    async def _stop(self, name: str, act: Act) -> None:
        process = self.processes[name]
        process.send(Signals.SIGSTOP)
        await asyncio.sleep(act.bad.for_s)
        process.send(Signals.SIGCONT)

    async def _starve(self, name: str, act: Act) -> None:
        await self.processes[name].starve(act.bad.for_s, max(act.bad.size, 0.02))

    async def _replay(self, name: str, act: Act) -> None:
        """What this process was sent before, once more."""
        kept = [data for receiver, data in self.relays.passed if receiver == name]
        pause = act.bad.for_s / max(len(kept), 1)
        for data in kept:
            self.relays.deliver(name, data)
            await asyncio.sleep(pause)

    async def _junk(self, name: str, act: Act) -> None:
        """Damaged, cut, foreign and oversized datagrams."""
        until = self._loop.time() + act.bad.for_s
        while self._loop.time() < until:
            kept = [data for _, data in self.relays.passed]
            data = bytearray(self.rng.choice(kept) if kept else b"")
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

    async def _views(self) -> dict[str, dict[str, Any] | str]:
        addresses = {}
        for process in self.processes.values():
            if process.expected_up:
                assert process.listens is not None
                addresses[process.name] = "{}:{}".format(*process.listens)
        return await query_views(addresses, ASK_S)

    async def _until_one_view(self, within_s: float) -> bool:
        until = self._loop.time() + within_s
        while True:
            views = await self._views()
            whole = {v["digest"] for v in views.values() if not isinstance(v, str)}
            counts = {
                sum(m["state"] == "present" for m in v["members"])
                for v in views.values()
                if not isinstance(v, str)
            }
            if (
                len(whole) == 1
                and counts == {len(views)}
                and not any(isinstance(v, str) for v in views.values())
            ):
                return True
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(LOOK_S)

    async def _final(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for name, view in (await self._views()).items():
            if isinstance(view, str):
                self.history.add(name, "final", self._now(), failed=view)
                continue
            present = sorted(m["name"] for m in view["members"] if m["state"] == "present")
            self.history.add(name, "final", self._now(), present=present, digest=view["digest"])
            for key, count in view["counts"].items():
                counts[key] = counts.get(key, 0) + count
        return counts


def play(storm: Storm, seed: int, folder: Path | None, say: Callable[[str], None]) -> dict[str, Any]:
    """Play a storm to its end; its files go into the folder, or into one that is removed again."""

    async def main(path: Path) -> dict[str, Any]:
        return await StormRun(storm, seed, path, say).run()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(main(folder))
    with tempfile.TemporaryDirectory(prefix="storm-") as name:
        return uvloop.run(main(Path(name)))
