"""Connections between nodes and servers, with and without subsets, computed by the decision code itself.

The sizes of services follow Zipf's law.  Which services call which is drawn by size with a seed, as the real
call graph is not known.  The page calls the subset of a node its home.
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

IDLE_S = IDLE_TIMEOUT_FRACTION * DEFAULT_CONN_IDLE_MS / 1000.0  # How long a node keeps an unused connection.
SAMPLED_NODES = 2  # Nodes whose subsets are averaged: subset sizes differ by one server at most.
REQUEST_CLASS = RequestClass("call", latency_objective_ms=1000.0, deadline_ms=3000.0)


def service_sizes(servers: int, services: int, skew: float) -> list[int]:
    """Return the servers of each service, largest first: Zipf's law by largest remainders, at least one."""
    if servers < services:
        raise RecordError(f"target: {services} services of {servers} servers")
    weights = [1.0 / (rank + 1) ** skew for rank in range(services)]
    exact_sizes = [servers * weight / sum(weights) for weight in weights]
    rounded_sizes = [max(1, int(size)) for size in exact_sizes]
    order = sorted(range(services), key=lambda index: exact_sizes[index] - rounded_sizes[index], reverse=True)
    while (left := servers - sum(rounded_sizes)) > 0:
        for index in order[:left]:
            rounded_sizes[index] += 1
    # Services raised to one server take it from the largest ones.
    for _ in range(-left):
        rounded_sizes[rounded_sizes.index(max(rounded_sizes))] -= 1
    return rounded_sizes


def client_services(sizes: Sequence[int], callees: int, seed: int) -> list[list[int]]:
    """Return for each service those that call it; each calls a number of others, drawn by their size."""
    rng = random.Random(seed)
    clients_of: list[list[int]] = [[] for _ in sizes]
    for client in range(len(sizes)):
        others = [index for index in range(len(sizes)) if index != client]
        chosen: set[int] = set()
        while len(chosen) < min(callees, len(others)):
            chosen.add(rng.choices(others, [sizes[index] for index in others])[0])
        for callee in chosen:
            clients_of[callee].append(client)
    return clients_of


def subset_size(servers: int, nodes: int, zones: int = 1) -> float:
    """Return the mean subset size of a node, by the decision code; with zones, crossing them has a price."""
    endpoints = EndpointSet(
        Context(
            Settings(classes=(REQUEST_CLASS,), zones=zones, cross_zone_price=1.0 if zones > 1 else 0.0),
            random.Random(1),
        )
    )
    rows = tuple(EndpointEntry(b"s%d" % index, zone=index % zones) for index in range(servers))
    endpoints.apply(EndpointList(ListKind.FULL, rows))
    sizes = []
    for node_index in range(min(nodes, SAMPLED_NODES)):
        endpoints.set_nodes(nodes, node_index)
        sizes.append(servers if endpoints.subset is None else len(endpoints.subset))
    return sum(sizes) / len(sizes)


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Numbers of connections between the servers of each service and the nodes that call it."""

    server_counts: tuple[int, ...]  # Servers of each service.
    client_nodes: tuple[int, ...]  # Nodes that call each service.
    subset_sizes: tuple[float, ...]  # Servers of the service in the subset of one such node.

    def total(self, with_subsets: bool) -> float:
        """Return the connections of the whole platform."""
        return sum(
            nodes * servers
            for nodes, servers in zip(
                self.client_nodes, self.subset_sizes if with_subsets else self.server_counts, strict=True
            )
        )

    def max_per_server(self, with_subsets: bool) -> float:
        """Return the connections of the server with most; nodes spread evenly over a service's servers."""
        contacted_servers = self.subset_sizes if with_subsets else self.server_counts
        return max(
            nodes * contacted / servers
            for nodes, contacted, servers in zip(
                self.client_nodes, contacted_servers, self.server_counts, strict=True
            )
        )


@lru_cache(maxsize=32)
def count_connections(
    servers: int, services: int, skew: float, callees: int, seed: int, zones: int = 1
) -> ConnectionCounts:
    """Return the connections of a platform of this size."""
    server_counts = service_sizes(servers, services, skew)
    client_nodes = [
        sum(server_counts[index] for index in clients)
        for clients in client_services(server_counts, callees, seed)
    ]
    known_sizes: dict[tuple[int, int], float] = {}
    for servers_of_one, nodes in zip(server_counts, client_nodes, strict=True):
        if nodes and (servers_of_one, nodes) not in known_sizes:
            known_sizes[servers_of_one, nodes] = subset_size(servers_of_one, nodes, zones)
    subset_sizes = [
        known_sizes.get((servers_of_one, nodes), 0.0)
        for servers_of_one, nodes in zip(server_counts, client_nodes, strict=True)
    ]
    return ConnectionCounts(tuple(server_counts), tuple(client_nodes), tuple(subset_sizes))


def unconnected_fraction(calls_per_s: float, servers: float, idle_s: float = IDLE_S) -> float:
    """Return the fraction of a node's calls that find no open connection, if spread evenly over the servers.

    With Poisson arrivals it is the probability of no call to the server while its connection is kept.
    """
    return math.exp(-calls_per_s / servers * idle_s)


def affordable_servers(
    calls_per_s: float, max_unconnected: float, idle_s: float = IDLE_S
) -> tuple[float, float]:
    """Return the servers of a service at which the given fraction of calls finds no open connection.

    The first is for calls spread evenly, the second for servers at the floor, which is the minimum
    share of an endpoint that the decision code allows.
    """
    even_servers = calls_per_s * idle_s / -math.log(max_unconnected)
    return even_servers, FLOOR_FRACTION * even_servers
