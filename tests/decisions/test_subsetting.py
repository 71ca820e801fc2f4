"""Subsets: if many nodes share many endpoints, each node calls only a few of them."""

from __future__ import annotations

from collections import Counter

import pytest

from crowpost import Balancer
from crowpost.decision_api import (
    EndpointEntry,
    EndpointList,
    ListKind,
    NodesPresent,
    Readiness,
    RequestClass,
    Settings,
    Tenant,
    UnexpectedEventError,
)

REQUEST_CLASS = RequestClass("r", 1000, 3000)


def node(
    node_index: int, nodes: int, servers: int, gone: frozenset[int] = frozenset(), **more: float
) -> Balancer:
    settings = Settings(classes=(REQUEST_CLASS,), node_count=nodes, node_index=node_index, **more)  # type: ignore[arg-type]
    balancer = Balancer(settings, seed=node_index)
    rows = [
        EndpointEntry(i.to_bytes(2, "big"), kind=i % 2, zone=i % 3) for i in range(servers) if i not in gone
    ]
    balancer.handle(EndpointList(ListKind.FULL, tuple(rows)), 1.0)
    return balancer


def subset_of(balancer: Balancer) -> set[bytes]:
    pairs = zip(balancer._endpoints.listed, balancer._endpoints.in_subset, strict=True)
    return {endpoint.entry.server for endpoint, in_subset in pairs if in_subset}


def test_endpoints_are_in_equally_many_subsets_and_each_subset_has_both_kinds() -> None:
    """At full size a node with sixty endpoints called each twice a minute and learned too late."""
    node_counts: Counter[bytes] = Counter()
    for node_index in range(400):
        subset = subset_of(node(node_index, 400, 60))
        assert 6 <= len(subset) <= 12
        assert {server[-1] % 2 for server in subset} == {0, 1}
        node_counts.update(subset)
    mean = sum(node_counts.values()) / 60
    assert len(node_counts) == 60 and all(0.6 * mean < count < 1.5 * mean for count in node_counts.values())


def test_a_dozen_nodes_have_larger_subsets() -> None:
    """Eleven nodes once opened connections to all of 37 endpoints each, a third of all handshakes."""
    node_counts: Counter[bytes] = Counter()
    for node_index in range(12):
        subset = subset_of(node(node_index, 12, 37))
        assert len(subset) < 12
        node_counts.update(subset)
    assert len(node_counts) == 37 and all(2 <= count <= 5 for count in node_counts.values())
    assert 18 <= len(subset_of(node(0, 7, 37))) <= 20


def test_few_nodes_use_all_endpoints() -> None:
    assert len(subset_of(node(0, 3, 10))) == 10
    assert len(subset_of(node(1, 3, 60))) == 60
    assert len(subset_of(node(1, 400, 10))) == 10


def test_subset_is_in_own_zone_if_cross_zone_requests_have_a_price() -> None:
    balancer = node(7, 400, 60, cross_zone_price=0.02, zone=1)
    assert {
        endpoint.entry.zone
        for endpoint in balancer._endpoints.listed
        if endpoint.entry.server in subset_of(balancer)
    } == {1}


def test_removed_endpoint_changes_few_entries_of_a_subset() -> None:
    moved = 0
    for node_index in range(60):
        moved += len(
            subset_of(node(node_index, 400, 60)) - subset_of(node(node_index, 400, 60, frozenset({5})))
        )
    assert moved < 60  # Less than one of the six or more endpoints of each subset


def test_endpoints_outside_a_departed_subset_are_used() -> None:
    balancer = node(7, 400, 60)
    for number, server in enumerate(sorted(subset_of(balancer))):
        row = EndpointEntry(server, Readiness.DRAINING)
        balancer.handle(EndpointList(ListKind.CHANGES, (row,)), 2.0 + number)
    assert len(balancer._selector.prefer_local(list(range(len(balancer._endpoints.listed))))) >= 2


@pytest.mark.parametrize("servers", [10, 37, 60, 200, 2000])
@pytest.mark.parametrize("nodes", [1, 2, 7, 12, 13, 31, 64])
def test_numbers_of_nodes_per_endpoint_differ_by_at_most_one(nodes: int, servers: int) -> None:
    """With twelve or more nodes, two to five of them once called an endpoint, depending on the hashes."""
    node_counts = Counter(
        server for node_index in range(nodes) for server in subset_of(node(node_index, nodes, servers))
    )
    counts = [node_counts[i.to_bytes(2, "big")] for i in range(servers)]
    assert max(counts) - min(counts) <= 1


def test_removed_endpoint_changes_few_pairs_of_node_and_endpoint() -> None:
    """The pairs that are new after one endpoint goes are few relative to the pairs of that endpoint."""
    for nodes, servers in ((24, 60), (64, 200), (200, 500)):
        new_pairs = lost_pairs = 0
        for node_index in range(nodes):
            before = subset_of(node(node_index, nodes, servers))
            lost_pairs += (5).to_bytes(2, "big") in before
            new_pairs += len(subset_of(node(node_index, nodes, servers, frozenset({5}))) - before)
        assert lost_pairs and new_pairs <= 8 * lost_pairs


def test_nodes_present_replace_the_node_count_and_index_of_the_settings() -> None:
    updated, expected = node(3, 400, 60), node(5, 24, 60)
    updated.handle(NodesPresent(24, 5), 2.0)
    assert subset_of(updated) == subset_of(expected)
    assert updated._endpoints.automaton.alpha == expected._endpoints.automaton.alpha
    assert updated._endpoints.automaton.theta == expected._endpoints.automaton.theta
    updated.handle(NodesPresent(1, 0), 3.0)
    assert len(subset_of(updated)) == 60


def test_limit_and_quotas_follow_the_number_of_nodes_present() -> None:
    settings = Settings(classes=(REQUEST_CLASS,), tenants=(Tenant("t", 1.0, 80.0),), node_count=8)
    balancer = Balancer(settings, seed=1)
    rows = tuple(EndpointEntry(bytes([i])) for i in range(40))
    balancer.handle(EndpointList(ListKind.FULL, rows), 1.0)
    before = balancer.limit
    balancer.handle(NodesPresent(4, 0), 2.0)
    assert balancer.limit == pytest.approx(2 * before)
    quotas = balancer._quotas
    assert sum(quotas.take(0) for _ in range(50)) == 20
    balancer.handle(NodesPresent(8, 7), 3.0)
    assert balancer.limit == pytest.approx(before)


def test_node_index_out_of_range_raises() -> None:
    with pytest.raises(UnexpectedEventError, match="node_index 3 is out of range for 3 nodes"):
        NodesPresent(3, 3)
