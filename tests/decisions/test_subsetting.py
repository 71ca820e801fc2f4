"""Homes: at full size a node keeps to a few servers."""

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

KIND = RequestClass("r", 1000, 3000)


def node(
    node_index: int, nodes: int, servers: int, gone: frozenset[int] = frozenset(), **more: float
) -> Balancer:
    settings = Settings(classes=(KIND,), node_count=nodes, node_index=node_index, **more)  # type: ignore[arg-type]
    balancer = Balancer(settings, seed=node_index)
    rows = [
        EndpointEntry(i.to_bytes(2, "big"), kind=i % 2, zone=i % 3) for i in range(servers) if i not in gone
    ]
    balancer.handle(EndpointList(ListKind.FULL, tuple(rows)), 1.0)
    return balancer


def home(balancer: Balancer) -> set[bytes]:
    pairs = zip(balancer._endpoints.listed, balancer._endpoints.in_subset, strict=True)
    return {s.entry.server for s, own in pairs if own}


def test_all_servers_are_met_alike_and_both_kinds_in_every_home() -> None:
    """Seen at full size: with sixty arms a node met a server twice a minute and learned nothing in time."""
    met: Counter[bytes] = Counter()
    for node_index in range(400):
        mine = home(node(node_index, 400, 60))
        assert 6 <= len(mine) <= 12
        assert {s[-1] % 2 for s in mine} == {0, 1}
        met.update(mine)
    mean = sum(met.values()) / 60
    assert len(met) == 60 and all(0.6 * mean < n < 1.5 * mean for n in met.values())


def test_a_dozen_nodes_share_a_large_tier_by_larger_homes() -> None:
    """Seen with eleven nodes: each opened connections to all of 37 servers, a third of all handshakes."""
    met: Counter[bytes] = Counter()
    for node_index in range(12):
        mine = home(node(node_index, 12, 37))
        assert len(mine) < 12
        met.update(mine)
    assert len(met) == 37 and all(2 <= n <= 5 for n in met.values())
    assert 18 <= len(home(node(0, 7, 37))) <= 20


def test_few_nodes_keep_to_all_servers() -> None:
    assert len(home(node(0, 3, 10))) == 10
    assert len(home(node(1, 3, 60))) == 60
    assert len(home(node(1, 400, 10))) == 10


def test_a_home_lies_in_the_own_zone_where_crossing_has_a_price() -> None:
    balancer = node(7, 400, 60, cross_zone_price=0.02, zone=1)
    assert {s.entry.zone for s in balancer._endpoints.listed if s.entry.server in home(balancer)} == {1}


def test_a_change_of_the_list_moves_few_servers_of_a_home() -> None:
    moved = 0
    for node_index in range(60):
        moved += len(home(node(node_index, 400, 60)) - home(node(node_index, 400, 60, frozenset({5}))))
    assert moved < 60  # less than one of six or more each


def test_a_home_that_is_gone_leaves_the_others() -> None:
    balancer = node(7, 400, 60)
    for number, server in enumerate(sorted(home(balancer))):
        row = EndpointEntry(server, Readiness.DRAINING)
        balancer.handle(EndpointList(ListKind.CHANGES, (row,)), 2.0 + number)
    assert len(balancer._selector.prefer_local(list(range(len(balancer._endpoints.listed))))) >= 2


@pytest.mark.parametrize("servers", [10, 37, 60, 200, 2000])
@pytest.mark.parametrize("nodes", [1, 2, 7, 12, 13, 31, 64])
def test_the_least_and_the_most_met_server_differ_by_one_at_the_most(nodes: int, servers: int) -> None:
    """Seen from twelve nodes on: a server was met by two to five of them, as hashes fell."""
    met = Counter(s for node_index in range(nodes) for s in home(node(node_index, nodes, servers)))
    counts = [met[i.to_bytes(2, "big")] for i in range(servers)]
    assert max(counts) - min(counts) <= 1


def test_a_server_more_or_less_moves_few_others() -> None:
    """Pairs of node and server that are new when one server goes, by the size of its own part."""
    for nodes, servers in ((24, 60), (64, 200), (200, 500)):
        new = own = 0
        for node_index in range(nodes):
            before = home(node(node_index, nodes, servers))
            own += (5).to_bytes(2, "big") in before
            new += len(home(node(node_index, nodes, servers, frozenset({5}))) - before)
        assert own and new <= 8 * own


def test_nodes_present_take_the_place_of_the_counts_in_the_settings() -> None:
    told, born = node(3, 400, 60), node(5, 24, 60)
    told.handle(NodesPresent(24, 5), 2.0)
    assert home(told) == home(born)
    assert told._endpoints.automaton.alpha == born._endpoints.automaton.alpha
    assert told._endpoints.automaton.theta == born._endpoints.automaton.theta
    told.handle(NodesPresent(1, 0), 3.0)
    assert len(home(told)) == 60


def test_the_limit_and_the_quotas_follow_the_nodes_that_are_present() -> None:
    settings = Settings(classes=(KIND,), tenants=(Tenant("t", 1.0, 80.0),), node_count=8)
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


def test_a_place_beyond_the_nodes_present_is_no_event() -> None:
    with pytest.raises(UnexpectedEventError, match="node_index 3 is out of range for 3 nodes"):
        NodesPresent(3, 3)
