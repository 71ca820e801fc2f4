"""python -m crowpost.lab.overhead.caller: calls direct and through nodes, in turn.

Open loops of all arms run at once, request by request: each arm's calls are a Poisson process of its own at
the full rate, so that every node has the calls that it would have alone, and stands idle no longer.  The two
direct arms share one rate.  Where the nodes of all versions together are too much for the machine, versions
take turns round by round.  Closed loops take what there is, so they run one after another, in short slices,
in an order drawn anew each round.

One thread on one epoll, since a common client library costs more than the node.  Standard input: a `Plan` as
one object of JSON; standard output: the slices as JSON.  Times are of the machine's one monotonic clock.
"""

from __future__ import annotations

import gc
import json
import select
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from heapq import heapify, heapreplace
from pathlib import Path
from random import Random
from typing import Any

from crowpost.lab.overhead.stand import HOST, request, whole

DIRECT = 2  # arms that are direct, the first ones
SPIN_S = 0.0001  # before a request is due: less than a timer is late by
GIVE_UP_S = 5.0  # after the last request of a slice


@dataclass
class Plan:
    """What to play: the ways' ports (the first way is direct), and how."""

    ports: list[list[int]]
    pids: list[list[int]]  # whose processor time is counted, by way
    arms: list[int]  # the way of each arm; every round plays each arm once
    open: bool
    rate: float  # a second, if open
    callers: int  # if closed
    slice_s: float  # of a round in an open loop, of each arm in a round of a closed one
    rounds: int
    turns: bool  # of an open loop: whether in each round only one version is played beside the direct arms
    warm_s: float  # before the first of them, not counted
    kind: int
    seed: int
    prefix: str  # of all ids, so that no two runs share one


@dataclass
class Slice:
    """One arm in one round; latencies in ms from when requests were due, and their part on the way there."""

    arm: int
    round: int
    seconds: float = 0.0
    core_ns: int = 0
    sent: int = 0
    late_ms: float = 0.0  # by which the latest request left late
    latency_ms: list[float] = field(default_factory=list)
    there_ms: list[float] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)


class Line:
    """One connection."""

    __slots__ = ("data", "due", "number", "port", "slice", "socket")

    def __init__(self, port: int, of: Slice) -> None:
        self.port, self.data, self.number, self.due = port, b"", b"", 0.0
        self.slice = of  # of the present request
        self.socket = socket.create_connection((HOST, port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)


def core_ns(pids: list[int]) -> int:
    """Processor time that processes have taken, in ns; by the scheduler's clock where there is one."""
    total = 0
    for pid in pids:
        try:
            threads = Path(f"/proc/{pid}/task").iterdir()
            total += sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads)
        except OSError:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) * 10_000_000
    return total


class Caller:
    """All connections."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.ids = 0
        self.sent = [0] * len(plan.arms)  # with those that are not counted
        self.extra = 0  # bytes that answer nothing, or a second answer
        self._epoll = select.epoll()
        self._lines: dict[int, Line] = {}
        self._idle: dict[int, list[Line]] = {port: [] for ports in plan.ports for port in ports}
        self._busy = 0

    def _send(self, of: Slice, due: float) -> None:
        way = self.plan.arms[of.arm]
        port = self.random.choice(self.plan.ports[way])
        idle = self._idle[port]
        if idle:
            line = idle.pop()
        else:
            line = Line(port, of)
            self._lines[line.socket.fileno()] = line
            self._epoll.register(line.socket.fileno(), select.EPOLLIN)
        self.ids += 1
        line.number = b"%s%08x00" % (self.plan.prefix.encode(), self.ids)
        line.due, line.data, line.slice = due, b"", of
        self._busy += 1
        of.sent += 1
        self.sent[of.arm] += 1
        try:
            line.socket.send(request(line.number, way, self.plan.kind))
        except OSError:  # closed in this moment: nothing can come any more
            self._busy -= 1
            of.ends["unanswered"] += 1
            self._close(line)

    def _hear(self, wait_s: float) -> list[float]:
        """Take what comes within a time; when each answer had come whole."""
        ended = []
        for number, _ in self._epoll.poll(wait_s):
            line = self._lines[number]
            try:
                data = line.socket.recv(65536)
            except OSError:
                data = b""
            at = time.perf_counter()
            line.data += data
            size = whole(line.data)
            if data and line.number and not size:
                continue
            if line.number:
                ended.append(at)
                self._busy -= 1
                self._count(line, size, at)
            elif data:
                self.extra += 1
            if not data or size != len(line.data) or not line.number:
                self._close(line)
            else:
                self._idle[line.port].append(line)
            line.number = b""
        return ended

    def _count(self, line: Line, size: int, at: float) -> None:
        head, _, body = line.data[:size].partition(b"\r\n\r\n")
        if not size:
            line.slice.ends["unanswered"] += 1
        elif not head.startswith(b"HTTP/1.1 200"):
            line.slice.ends[head[9:12].decode(errors="replace")] += 1
        elif body[:14] != line.number[:14]:
            line.slice.ends["of another request"] += 1
        else:
            self.extra += size != len(line.data)
            line.slice.ends["served"] += 1
            line.slice.latency_ms.append(1000.0 * (at - line.due))
            line.slice.there_ms.append(int(body[17:]) / 1e6 - 1000.0 * line.due)

    def _close(self, line: Line) -> None:
        self._epoll.unregister(line.socket.fileno())
        del self._lines[line.socket.fileno()]
        if line in self._idle[line.port]:
            self._idle[line.port].remove(line)
        line.socket.close()

    def _wait(self, due: float) -> None:
        """Until a request is due, with what comes meanwhile."""
        while (left := due - time.perf_counter()) > 0.0:
            if left > SPIN_S:
                select.select([self._epoll.fileno()], [], [], left - SPIN_S)
            self._hear(0)

    def _played(self, arm: int, number: int) -> bool:
        """Whether an arm has its turn in a round of an open loop."""
        return arm < DIRECT or not self.plan.turns or (number - arm) % (len(self.plan.arms) - DIRECT) == 0

    def open_loop(self) -> list[Slice]:
        """All arms at once; a request counts for the round in which it is due."""
        plan, arms = self.plan, range(len(self.plan.arms))
        rates = [plan.rate / DIRECT if arm < DIRECT else plan.rate for arm in arms]
        warm = max(1, round(plan.warm_s / plan.slice_s))
        rounds = [[Slice(arm, number, plan.slice_s) for arm in arms] for number in range(-warm, plan.rounds)]
        began = time.perf_counter() + 0.01
        due = [(began + self.random.expovariate(rates[arm]), arm) for arm in arms]
        heapify(due)
        end = began + len(rounds) * plan.slice_s
        counted, before = False, [0] * len(arms)
        while (first := due[0])[0] < end:
            at, arm = first
            heapreplace(due, (at + self.random.expovariate(rates[arm]), arm))
            number = min(int((at - began) / plan.slice_s), len(rounds) - 1)
            if not counted and number >= warm:
                counted, before = True, [core_ns(plan.pids[way]) for way in plan.arms]
            if not self._played(arm, number - warm):
                continue
            self._wait(at)
            of = rounds[number][arm]
            of.late_ms = max(of.late_ms, 1000.0 * (time.perf_counter() - at))
            self._send(of, at)
        self._wait(end)
        self._finish()
        played = [of for each in rounds[warm:] for of in each if self._played(of.arm, of.round)]
        for arm in arms:
            last = next(of for of in reversed(played) if of.arm == arm)
            last.core_ns = core_ns(plan.pids[plan.arms[arm]]) - before[arm]
        return played

    def _closed(self, arm: int, number: int, seconds: float) -> Slice:
        """One slice: each caller calls again as soon as it has its answer."""
        of = Slice(arm, number)
        pids = self.plan.pids[self.plan.arms[arm]]
        before, began = core_ns(pids), time.perf_counter()
        for _ in range(self.plan.callers):
            self._send(of, time.perf_counter())
        while (now := time.perf_counter()) < began + seconds and self._busy:
            for at in self._hear(began + seconds - now):
                self._send(of, at)
        self._finish()
        of.seconds, of.core_ns = time.perf_counter() - began, core_ns(pids) - before
        return of

    def closed_loop(self) -> list[Slice]:
        """The arms one after another, in each round in an order drawn anew."""
        arms = range(len(self.plan.arms))
        for arm in arms:
            self._closed(arm, -1, self.plan.warm_s)
        return [
            self._closed(arm, number, self.plan.slice_s)
            for number in range(self.plan.rounds)
            for arm in self.random.sample(arms, len(arms))
        ]

    def _finish(self) -> None:
        """Wait for what is still out; what has no answer after a time never will have."""
        end = time.perf_counter() + GIVE_UP_S
        while self._busy and (left := end - time.perf_counter()) > 0.0:
            self._hear(left)
        for line in [line for line in self._lines.values() if line.number]:
            line.slice.ends["unanswered"] += 1
            self._busy -= 1
            self._close(line)
        self._hear(0)


def main() -> None:
    """Play the plan that standard input holds, and write what came of it to standard output."""
    plan = Plan(**json.load(sys.stdin))
    caller = Caller(plan)
    gc.freeze()
    gc.disable()
    slices: list[dict[str, Any]] = [
        {name: getattr(s, name) for name in Slice.__dataclass_fields__}
        for s in (caller.open_loop() if plan.open else caller.closed_loop())
    ]
    json.dump({"slices": slices, "sent": caller.sent, "extra": caller.extra}, sys.stdout)


if __name__ == "__main__":
    main()
