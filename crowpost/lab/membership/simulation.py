"""Membership in simulated time: the real cores on a network with loss, cuts, starved and paused members.

Equal arguments give an equal run.  What is measured: when a death is first held and when all know it, members
held dead though they live, and bytes for each member.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial

import numpy as np

from crowpost.lab.engine import Engine, Planned
from crowpost.membership import sync
from crowpost.membership.broadcast_queue import Gossip
from crowpost.membership.core import Members
from crowpost.membership.model import Change, MemberError, Phase, Profile, Tuning

MAILBOX = 400  # datagrams that wait for a process that does not run; further ones are lost


@dataclass(frozen=True)
class Weather:
    """The network and the machines; times in ms."""

    loss: float = 0.0
    delay: tuple[float, float] = (0.1, 1.0)
    duplicates: float = 0.0
    straggle: float = 0.0  # part of the datagrams that take up to half a second longer
    starved: float = 0.0  # part of the members that stand still again and again
    still: tuple[float, float] = (100.0, 1_500.0)
    running: tuple[float, float] = (300.0, 3_000.0)


class Process:
    """One process: a core, and whether it runs."""

    def __init__(self, name: str, core: Members) -> None:
        self.name, self.core = name, core
        self.address = core.me.profile.address
        self.up = True
        self.frozen = False
        self.mailbox: list[bytes] = []
        self.wake: Planned | None = None
        self.wake_at = float("inf")


@dataclass
class Death:
    """A process that was killed: when, and when each other process held it dead."""

    name: str
    at: float
    owed: set[str]  # processes that have yet to know
    first: float | None = None
    everywhere: float | None = None


@dataclass
class Found:
    """What a run showed."""

    members: int
    simulated_s: float
    deaths: list[Death]
    false_deaths: list[tuple[float, str, str, str]]  # ms, observer, member, why: first holder only
    bytes_each_s: float  # sent by a member, in the mean
    bytes_most_s: float  # and by the one that sent the most
    suspicions: int
    counts: dict[str, int] = field(default_factory=dict)

    def percentiles(self) -> dict[str, float]:
        """Seconds to the first holder and to everywhere, median and 99%; NaN: a death that not all know."""
        first = [(d.first - d.at) / 1000 if d.first else float("nan") for d in self.deaths]
        whole = [(d.everywhere - d.at) / 1000 if d.everywhere else float("nan") for d in self.deaths]
        if not self.deaths:
            return {}
        return {
            "first_p50_s": float(np.percentile(first, 50)),
            "first_p99_s": float(np.percentile(first, 99)),
            "all_p50_s": float(np.percentile(whole, 50)),
            "all_p99_s": float(np.percentile(whole, 99)),
        }


class Swarm:
    """Many processes in one simulated world.  may_pass: whether a link from one name to another is whole."""

    def __init__(
        self,
        seed: int,
        weather: Weather | None = None,
        tuning: Tuning | None = None,
        engine: Engine | None = None,
    ) -> None:
        self.engine, self.rng = engine or Engine(), random.Random(seed)
        self.weather, self.tuning = weather or Weather(), tuning or Tuning()
        self.processes: dict[str, Process] = {}
        self.by_address: dict[str, Process] = {}
        self.may_pass: Callable[[str, str], bool] = lambda a, b: True
        self.history: list[tuple[str, Change]] = []  # observer and change
        self.keep_history = True
        self.watch: Callable[[Process, Change], None] = lambda process, change: None

    # ------------------------------------------------------------ processes

    def start(self, name: str, contacts: Iterable[str] = (), address: str = "", **more: object) -> Process:
        """A new process, also one back under a name; contacts are addresses."""
        address = address or f"10.0.{len(self.by_address) >> 8}.{len(self.by_address) & 255}:7000"
        profile = Profile(name, address, **more)  # type: ignore[arg-type]
        core = Members(
            "swarm",
            profile,
            tuple(contacts),
            seed=self.rng.getrandbits(48),
            birth=self.rng.getrandbits(32),
            now=self.engine.now,
            tuning=self.tuning,
        )
        process = Process(name, core)
        core.declare(Phase.PRESENT, self.engine.now)
        self.processes[name] = self.by_address[address] = process
        self._after(process)
        return process

    def warm(self, count: int) -> None:
        """So many members that know each other already, as long after their start."""
        for i in range(count):
            self.start(f"n{i}")
        self.acquaint()

    def acquaint(self) -> None:
        """Let all that there are know each other, as long after their start."""
        claims = [p.core.me_claim for p in self.processes.values()]
        for process in self.processes.values():
            core = process.core
            for claim in claims:
                if claim.name != process.name:
                    member = core.view.add(claim.profile, claim, 0.0)  # type: ignore[arg-type]
                    assert member is not None
                    core.prober.ring.append(claim.name)
            core.rng.shuffle(core.prober.ring)
            core.take()
            core.claims.gossip = Gossip(self.tuning)  # nothing is news to anybody

    def kill(self, name: str) -> None:
        """SIGKILL: no good-bye."""
        self.processes[name].up = False

    def freeze(self, name: str, for_ms: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        process = self.processes[name]
        process.frozen = True
        self.engine.after(for_ms, self._thaw, process)

    def starve(self) -> set[str]:
        """Let a part of the members stand still again and again; their names."""
        names = self.rng.sample(list(self.processes), round(self.weather.starved * len(self.processes)))
        for name in names:
            self.engine.after(self.rng.uniform(0, self.weather.running[1]), self._starve_once, name)
        return set(names)

    def _starve_once(self, name: str) -> None:
        still = self.rng.uniform(*self.weather.still)
        self.freeze(name, still)
        self.engine.after(still + self.rng.uniform(*self.weather.running), self._starve_once, name)

    def _thaw(self, process: Process) -> None:
        process.frozen = False
        if not process.up:
            return
        box, process.mailbox = process.mailbox, []
        # Which comes first, the timer or the datagram, is the operating system's choice.
        if self.rng.random() < 0.5:
            self._tick(process)
        for data in box:
            process.core.handle(data, self.engine.now)
        self._tick(process)

    # ------------------------------------------------------------ time and the network

    def run(self, for_ms: float) -> None:
        """Go on for so long."""
        self.engine.run(self.engine.now + for_ms)

    def _tick(self, process: Process) -> None:
        process.wake, process.wake_at = None, float("inf")
        if process.up and not process.frozen:
            process.core.tick(self.engine.now)
            self._after(process)

    def _after(self, process: Process) -> None:
        core = process.core
        out = core.take()
        for address, data in out.datagrams:
            self._send(process, address, data)
        for address in out.exchanges:
            self._exchange(process, address)
        for change in out.changes:
            if self.keep_history:
                self.history.append((process.name, change))
            self.watch(process, change)
        due = core.next_at()
        if due < process.wake_at:
            if process.wake is not None:
                self.engine.cancel(process.wake)
            process.wake_at = due
            process.wake = self.engine.at(due, self._tick, process)

    def _delay(self) -> float:
        low, high = self.weather.delay
        delay = low + (high - low) * self.rng.random()
        if self.weather.straggle and self.rng.random() < self.weather.straggle:
            delay += 500.0 * self.rng.random()
        return delay

    def _send(self, process: Process, address: str, data: bytes) -> None:
        target = self.by_address.get(address)
        weather, rng = self.weather, self.rng
        if target is None or not self.may_pass(process.name, target.name):
            return
        copies = 2 if weather.duplicates and rng.random() < weather.duplicates else 1
        for _ in range(copies):
            if not weather.loss or rng.random() >= weather.loss:
                self.engine.after(self._delay(), self._deliver, address, data)

    def _deliver(self, address: str, data: bytes) -> None:
        process = self.by_address.get(address)
        if process is None or not process.up:
            return
        if process.frozen:
            if len(process.mailbox) < MAILBOX:
                process.mailbox.append(data)
            return
        process.core.handle(data, self.engine.now)
        self._after(process)

    def _exchange(self, process: Process, address: str) -> None:
        """Over TCP: three frames, or nothing where either end or the way is gone."""
        target = self.by_address.get(address)
        if target is None or not self.may_pass(process.name, target.name):
            return
        if not self.may_pass(target.name, process.name):
            return
        self.engine.after(3 * self._delay(), self._meet, process, target, sync.hello(process.core))

    def _meet(self, process: Process, target: Process, frame: bytes) -> None:
        if not all(p.up and not p.frozen for p in (process, target)):
            return
        now = self.engine.now
        try:
            table = sync.answer(target.core, frame, now)
            rest = sync.settle(process.core, table, now)
            sync.finish(target.core, rest, now)
        except MemberError:
            process.core.counts["exchanges_refused"] += 1
        for end, sent in ((process, len(frame) + len(rest)), (target, len(table))):
            end.core.counts["bytes_out"] += sent + 12
            self._after(end)

    # ------------------------------------------------------------ looks

    def living(self) -> list[Process]:
        """Processes that run."""
        return [p for p in self.processes.values() if p.up]

    def agree(self) -> bool:
        """Whether all that run hold the same, and exactly those that run to be alive."""
        names = {p.name for p in self.living() if not p.core.left}
        return all(
            {m.name for m in p.core.view.members.values() if m.state == "present"} == names
            for p in self.living()
            if not p.core.left
        )


def measure_all(
    members: int,
    seconds: float,
    seeds: int,
    *,
    loss: float,
    starved: float,
    kills: int,
    jobs: int,
) -> dict[str, object]:
    """Runs of the same weather on seeds from 1 on, in worker processes, and their figures together."""
    work = partial(_measure_one, members, seconds, loss, starved, kills)
    with ProcessPoolExecutor(jobs) as pool:
        found = list(pool.map(work, range(1, seeds + 1)))
    whole = Found(
        members,
        seconds * seeds,
        [death for one in found for death in one.deaths],
        [false for one in found for false in one.false_deaths],
        float(np.mean([one.bytes_each_s for one in found])),
        max(one.bytes_most_s for one in found),
        sum(one.suspicions for one in found),
    )
    return {
        "members": members,
        "simulated_s": whole.simulated_s,
        "loss": loss,
        "starved": starved,
        "deaths": len(whole.deaths),
        "unnoticed": sum(d.everywhere is None for d in whole.deaths),
        **{name: round(value, 2) for name, value in whole.percentiles().items()},
        "false_deaths": len(whole.false_deaths),
        "suspicions": whole.suspicions,
        "bytes_each_s": round(whole.bytes_each_s),
        "bytes_most_s": round(whole.bytes_most_s),
    }


def _measure_one(members: int, seconds: float, loss: float, starved: float, kills: int, seed: int) -> Found:
    return measure(members, seconds, seed, loss=loss, starved=starved, kills=kills)


def measure(
    members: int,
    seconds: float,
    seed: int,
    *,
    loss: float,
    starved: float,
    kills: int,
    tuning: Tuning | None = None,
) -> Found:
    """Members that know each other, in steady weather; some are killed, one after another."""
    swarm = Swarm(seed, Weather(loss=loss, starved=starved), tuning)
    swarm.keep_history = False
    swarm.warm(members)
    starving = swarm.starve()
    deaths: dict[str, Death] = {}
    false: dict[tuple[str, int], tuple[float, str, str, str]] = {}

    def watch(process: Process, change: Change) -> None:
        if change.after != "dead":
            return
        death = deaths.get(change.name)
        if death is None:
            if swarm.processes[change.name].up:
                key = change.name, change.incarnation
                false.setdefault(key, (change.at, process.name, change.name, change.why))
            return
        death.owed.discard(process.name)
        death.first = death.first or change.at
        if not death.owed:
            death.everywhere = death.everywhere or change.at

    def kill(name: str) -> None:
        swarm.kill(name)
        for death in deaths.values():
            death.owed.discard(name)
        owed = {p.name for p in swarm.living()}
        deaths[name] = Death(name, swarm.engine.now, owed)

    swarm.watch = watch
    chosen = swarm.rng.sample([n for n in swarm.processes if n not in starving], kills)
    warmup = 3_000.0
    span = seconds * 1000.0 - warmup - 30_000.0
    for i, name in enumerate(chosen):
        swarm.engine.at(warmup + span * (i + swarm.rng.random()) / max(kills, 1), kill, name)
    swarm.run(seconds * 1000.0)
    counts: dict[str, int] = {}
    for process in swarm.processes.values():
        for key, count in process.core.counts.items():
            counts[key] = counts.get(key, 0) + count
    sent = [p.core.counts["bytes_out"] / seconds for p in swarm.living()]
    return Found(
        members,
        seconds,
        list(deaths.values()),
        list(false.values()),
        float(np.mean(sent)),
        max(sent),
        counts.get("suspicions", 0),
        counts,
    )
