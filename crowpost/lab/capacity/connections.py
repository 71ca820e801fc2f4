"""Calls: connections between nodes and servers, with and without homes, by the module's own code.

The sizes of services follow Zipf's law; which services call which is drawn by size, seeded, as nobody has
told it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from crowpost.decision_api import EndpointEntry, EndpointList, ListKind, RequestClass, Settings
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.learning_automaton import FLOOR_FRACTION
from crowpost.lab.capacity.records import RecordError
from crowpost.node.configuration import DEFAULT_CONN_IDLE_MS
from crowpost.node.upstream.pool import IDLE_TIMEOUT_FRACTION

IDLE_S = IDLE_TIMEOUT_FRACTION * DEFAULT_CONN_IDLE_MS / 1000.0  # that a node keeps a connection nobody uses
PLACES = 2  # of nodes whose homes are dealt out for a mean: homes are alike in size but for one server
CLASS = RequestClass("call", latency_objective_ms=1000.0, deadline_ms=3000.0)


def sizes(servers: int, services: int, skew: float) -> list[int]:
    """Servers of each service, the largest first: Zipf's law by largest remainders, at least one each."""
    if servers < services:
        raise RecordError(f"target: {services} services of {servers} servers")
    weights = [1.0 / (rank + 1) ** skew for rank in range(services)]
    exact = [servers * w / sum(weights) for w in weights]
    found = [max(1, int(e)) for e in exact]
    order = sorted(range(services), key=lambda i: exact[i] - found[i], reverse=True)
    while (left := servers - sum(found)) > 0:
        for i in order[:left]:
            found[i] += 1
    for _ in range(-left):  # the least ones were lifted to one: the largest give it
        found[found.index(max(found))] -= 1
    return found


def callers(of: Sequence[int], callees: int, seed: int) -> list[list[int]]:
    """For each service those that call it: each service calls so many others, drawn by their size."""
    rng = random.Random(seed)
    found: list[list[int]] = [[] for _ in of]
    for caller in range(len(of)):
        others = [i for i in range(len(of)) if i != caller]
        chosen: set[int] = set()
        while len(chosen) < min(callees, len(others)):
            chosen.add(rng.choices(others, [of[i] for i in others])[0])
        for callee in chosen:
            found[callee].append(caller)
    return found


def home(servers: int, nodes: int, zones: int = 1) -> float:
    """Servers that one of so many nodes keeps to, by the module; with zones: where crossing has a price."""
    endpoints = EndpointSet(
        Context(
            Settings(classes=(CLASS,), zones=zones, cross_zone_price=1.0 if zones > 1 else 0.0),
            random.Random(1),
        )
    )
    rows = tuple(EndpointEntry(b"s%d" % i, zone=i % zones) for i in range(servers))
    endpoints.apply(EndpointList(ListKind.FULL, rows))
    held = []
    for place in range(min(nodes, PLACES)):
        endpoints.set_nodes(nodes, place)
        held.append(servers if endpoints.subset is None else len(endpoints.subset))
    return sum(held) / len(held)


@dataclass(frozen=True, slots=True)
class Wiring:
    """Connections between all pairs of node and server; `before`: nodes before each service."""

    of: tuple[int, ...]  # servers of each service
    before: tuple[int, ...]
    homes: tuple[float, ...]  # servers that a node before it keeps to

    def total(self, with_homes: bool) -> float:
        """Over the whole platform."""
        return sum(m * h for m, h in zip(self.before, self.homes if with_homes else self.of, strict=True))

    def most_of_a_server(self, with_homes: bool) -> float:
        """That the server with most of them holds towards nodes: each is met alike by the nodes before it."""
        kept = self.homes if with_homes else self.of
        return max(m * h / n for m, h, n in zip(self.before, kept, self.of, strict=True))


@lru_cache(maxsize=32)
def wire(servers: int, services: int, skew: float, callees: int, seed: int, zones: int = 1) -> Wiring:
    """The platform's connections at a size."""
    of = sizes(servers, services, skew)
    before = [sum(of[i] for i in names) for names in callers(of, callees, seed)]
    dealt: dict[tuple[int, int], float] = {}
    for n, m in zip(of, before, strict=True):
        if m and (n, m) not in dealt:
            dealt[n, m] = home(n, m, zones)
    homes = [dealt.get((n, m), 0.0) for n, m in zip(of, before, strict=True)]
    return Wiring(tuple(of), tuple(before), tuple(homes))


def closed_part(calls_per_s: float, servers: float, idle_s: float = IDLE_S) -> float:
    """The part of a node's calls that find no open connection, if spread evenly over so many servers.

    Calls that come by chance (Poisson): none came to the server in the time that a connection is kept.
    """
    return math.exp(-calls_per_s / servers * idle_s)


def floor_ends(calls_per_s: float, affordable: float, idle_s: float = IDLE_S) -> tuple[float, float]:
    """Servers of a service at which so large a part of calls finds no open connection.

    Of an even spread, and at the floor, where a server gets the least share that the module leaves it.
    """
    even = calls_per_s * idle_s / -math.log(affordable)
    return even, FLOOR_FRACTION * even
