"""Load client that calls servers directly and through nodes: `python -m crowpost.lab.overhead.caller`.

Open loops of all arms run concurrently.  The calls of each arm are a separate Poisson process at the full
rate, so that each node has the same load and idle times as if it ran alone.  The two direct arms share one
rate.  If the nodes of all versions are too much for the machine, versions alternate round by round.  Closed
loops use all available capacity, so they run one after another, in short slices, in a new random order each
round.

It uses one thread and one epoll, since a common client library costs more than the node.  Standard input is a
`Plan` as one JSON object; standard output is the slices as JSON.  All times are of the monotonic clock, which
is the same for all processes of the machine.
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

from crowpost.lab.overhead.stub_servers import HOST, build_request, message_size

DIRECT_ARMS = 2  # The first arms are direct.
BUSY_WAIT_S = 0.0001  # Busy wait before a request is due; a timer is late by more than that.
ANSWER_TIMEOUT_S = 5.0  # Time after the last request of a slice until missing answers count as unanswered.


@dataclass
class Plan:
    """What to measure: ports by route (the first route is direct), and how."""

    ports: list[list[int]]
    pids: list[list[int]]  # Processes whose processor time is counted, by route.
    arms: list[int]  # The route of each arm; every round has each arm once.
    open: bool
    rate: float  # Calls per second in an open loop.
    callers: int  # Concurrent clients in a closed loop.
    slice_s: float  # Length of a round in an open loop, of each arm in a round of a closed loop.
    rounds: int
    turns: bool  # Whether each round of an open loop has only one version in addition to the direct arms.
    warm_s: float  # Warm-up before the first round, not counted.
    kind: int  # Index of the request class.
    seed: int
    prefix: str  # Prefix of all request ids, so that no two runs share an id.


@dataclass
class Slice:
    """One arm in one round.

    Latencies are in ms from when requests were due; `there_ms` is the part until the server received them.
    """

    arm: int
    round: int
    seconds: float = 0.0
    core_ns: int = 0
    sent: int = 0
    late_ms: float = 0.0  # The largest delay from when a request was due until it was sent.
    latency_ms: list[float] = field(default_factory=list)
    there_ms: list[float] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)


class Connection:
    """One connection of the client, with at most one request in flight."""

    __slots__ = ("buffer", "due", "port", "request_id", "slice", "socket")

    def __init__(self, port: int, current: Slice) -> None:
        self.port, self.buffer, self.request_id, self.due = port, b"", b"", 0.0
        self.slice = current  # Slice of the current request.
        self.socket = socket.create_connection((HOST, port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)


def core_ns(pids: list[int]) -> int:
    """Return the processor time of processes in ns, from the scheduler statistics if available."""
    total = 0
    for pid in pids:
        try:
            threads = Path(f"/proc/{pid}/task").iterdir()
            total += sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads)
        except OSError:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) * 10_000_000
    return total


class Client:
    """Sends the calls of a plan over its connections and records the answers."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.request_count = 0
        self.sent = [0] * len(plan.arms)  # By arm, including warm-up requests.
        self.extra = 0  # Number of times that bytes came without a request, or after its answer.
        self._epoll = select.epoll()
        self._connections: dict[int, Connection] = {}
        self._idle: dict[int, list[Connection]] = {port: [] for ports in plan.ports for port in ports}
        self._in_flight = 0

    def _send(self, current: Slice, due: float) -> None:
        route = self.plan.arms[current.arm]
        port = self.random.choice(self.plan.ports[route])
        idle = self._idle[port]
        if idle:
            connection = idle.pop()
        else:
            connection = Connection(port, current)
            self._connections[connection.socket.fileno()] = connection
            self._epoll.register(connection.socket.fileno(), select.EPOLLIN)
        self.request_count += 1
        connection.request_id = b"%s%08x00" % (self.plan.prefix.encode(), self.request_count)
        connection.due, connection.buffer, connection.slice = due, b"", current
        self._in_flight += 1
        current.sent += 1
        self.sent[current.arm] += 1
        try:
            connection.socket.send(build_request(connection.request_id, route, self.plan.kind))
        except OSError:  # The peer has closed the connection, so no answer can come.
            self._in_flight -= 1
            current.ends["unanswered"] += 1
            self._close(connection)

    def _receive(self, wait_s: float) -> list[float]:
        """Receive answers for up to `wait_s`, and return the times at which requests ended."""
        answer_times = []
        for descriptor, _ in self._epoll.poll(wait_s):
            connection = self._connections[descriptor]
            try:
                data = connection.socket.recv(65536)
            except OSError:
                data = b""
            now = time.perf_counter()
            connection.buffer += data
            size = message_size(connection.buffer)
            if data and connection.request_id and not size:
                continue
            if connection.request_id:
                answer_times.append(now)
                self._in_flight -= 1
                self._record_answer(connection, size, now)
            elif data:
                self.extra += 1
            if not data or size != len(connection.buffer) or not connection.request_id:
                self._close(connection)
            else:
                self._idle[connection.port].append(connection)
            connection.request_id = b""
        return answer_times

    def _record_answer(self, connection: Connection, size: int, now: float) -> None:
        head, _, body = connection.buffer[:size].partition(b"\r\n\r\n")
        if not size:
            connection.slice.ends["unanswered"] += 1
        elif not head.startswith(b"HTTP/1.1 200"):
            connection.slice.ends[head[9:12].decode(errors="replace")] += 1
        elif body[:14] != connection.request_id[:14]:
            connection.slice.ends["of another request"] += 1
        else:
            self.extra += size != len(connection.buffer)
            connection.slice.ends["served"] += 1
            connection.slice.latency_ms.append(1000.0 * (now - connection.due))
            connection.slice.there_ms.append(int(body[17:]) / 1e6 - 1000.0 * connection.due)

    def _close(self, connection: Connection) -> None:
        self._epoll.unregister(connection.socket.fileno())
        del self._connections[connection.socket.fileno()]
        if connection in self._idle[connection.port]:
            self._idle[connection.port].remove(connection)
        connection.socket.close()

    def _wait(self, due: float) -> None:
        """Wait until a request is due, and receive answers meanwhile."""
        while (left := due - time.perf_counter()) > 0.0:
            if left > BUSY_WAIT_S:
                select.select([self._epoll.fileno()], [], [], left - BUSY_WAIT_S)
            self._receive(0)

    def _has_turn(self, arm: int, round_number: int) -> bool:
        """Return whether an arm is active in a round of an open loop."""
        return (
            arm < DIRECT_ARMS
            or not self.plan.turns
            or (round_number - arm) % (len(self.plan.arms) - DIRECT_ARMS) == 0
        )

    def open_loop(self) -> list[Slice]:
        """Run all arms concurrently and return their slices; a request belongs to the round it is due in."""
        plan, arms = self.plan, range(len(self.plan.arms))
        rates = [plan.rate / DIRECT_ARMS if arm < DIRECT_ARMS else plan.rate for arm in arms]
        warm_rounds = max(1, round(plan.warm_s / plan.slice_s))
        rounds = [
            [Slice(arm, round_number, plan.slice_s) for arm in arms]
            for round_number in range(-warm_rounds, plan.rounds)
        ]
        began = time.perf_counter() + 0.01
        queue = [(began + self.random.expovariate(rates[arm]), arm) for arm in arms]
        heapify(queue)
        end = began + len(rounds) * plan.slice_s
        counting, core_before = False, [0] * len(arms)
        while (first := queue[0])[0] < end:
            due_at, arm = first
            heapreplace(queue, (due_at + self.random.expovariate(rates[arm]), arm))
            round_number = min(int((due_at - began) / plan.slice_s), len(rounds) - 1)
            if not counting and round_number >= warm_rounds:
                counting, core_before = True, [core_ns(plan.pids[route]) for route in plan.arms]
            if not self._has_turn(arm, round_number - warm_rounds):
                continue
            self._wait(due_at)
            current = rounds[round_number][arm]
            current.late_ms = max(current.late_ms, 1000.0 * (time.perf_counter() - due_at))
            self._send(current, due_at)
        self._wait(end)
        self._finish()
        counted_slices = [
            current
            for one_round in rounds[warm_rounds:]
            for current in one_round
            if self._has_turn(current.arm, current.round)
        ]
        for arm in arms:
            last = next(current for current in reversed(counted_slices) if current.arm == arm)
            last.core_ns = core_ns(plan.pids[plan.arms[arm]]) - core_before[arm]
        return counted_slices

    def _closed_slice(self, arm: int, round_number: int, seconds: float) -> Slice:
        """Return one slice, in which each concurrent client calls again as soon as it has its answer."""
        current = Slice(arm, round_number)
        pids = self.plan.pids[self.plan.arms[arm]]
        before, began = core_ns(pids), time.perf_counter()
        for _ in range(self.plan.callers):
            self._send(current, time.perf_counter())
        while (now := time.perf_counter()) < began + seconds and self._in_flight:
            for answered_at in self._receive(began + seconds - now):
                self._send(current, answered_at)
        self._finish()
        current.seconds, current.core_ns = time.perf_counter() - began, core_ns(pids) - before
        return current

    def closed_loop(self) -> list[Slice]:
        """Run the arms one after another, in a new random order each round, and return their slices."""
        arms = range(len(self.plan.arms))
        for arm in arms:
            self._closed_slice(arm, -1, self.plan.warm_s)
        return [
            self._closed_slice(arm, round_number, self.plan.slice_s)
            for round_number in range(self.plan.rounds)
            for arm in self.random.sample(arms, len(arms))
        ]

    def _finish(self) -> None:
        """Wait for requests in flight; those without an answer after ANSWER_TIMEOUT_S count as unanswered."""
        end = time.perf_counter() + ANSWER_TIMEOUT_S
        while self._in_flight and (left := end - time.perf_counter()) > 0.0:
            self._receive(left)
        for connection in [connection for connection in self._connections.values() if connection.request_id]:
            connection.slice.ends["unanswered"] += 1
            self._in_flight -= 1
            self._close(connection)
        self._receive(0)


def main() -> None:
    """Run the plan from standard input, and write the result to standard output."""
    plan = Plan(**json.load(sys.stdin))
    client = Client(plan)
    gc.freeze()
    gc.disable()
    slices: list[dict[str, Any]] = [
        {name: getattr(part, name) for name in Slice.__dataclass_fields__}
        for part in (client.open_loop() if plan.open else client.closed_loop())
    ]
    json.dump({"slices": slices, "sent": client.sent, "extra": client.extra}, sys.stdout)


if __name__ == "__main__":
    main()
