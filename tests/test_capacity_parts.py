"""Tests of the parts of the capacity page: figures, slopes, ranking, machines and connections."""

from __future__ import annotations

import math
import random
import re
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest

from crowpost.decision_api import EndpointEntry, EndpointList, ListKind, Settings
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.lab.capacity import (
    connections,
    lines,
    machines,
    page,
    ranking,
    records,
    roles,
    tables,
    validation,
)
from crowpost.lab.capacity.demand import Demand
from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.scale.target import Target, load
from tests.capacity_records import (
    ONLY_MEMBERSHIP,
    ORIGIN,
    SIZES,
    duty,
    feed,
    figure,
    make_docs,
    slopes,
    with_target,
    write_record,
)


@pytest.fixture
def docs(tmp_path: Path) -> Path:
    return make_docs(tmp_path)


# ------------------------------------------------------------ figures


def test_a_figure_keeps_value_interval_unit_and_origins() -> None:
    one = Figure(10.0, 8.0, 12.0, "B/s", (ORIGIN,))
    other = Figure(2.0, 1.0, 4.0, "", (Origin("code", "two", ""),), extrapolated=True)
    assert (one.times(other).low, one.times(other).high) == (8.0, 48.0)
    assert (one.over(other).mid, one.over(other).low, one.over(other).high) == (5.0, 2.0, 12.0)
    assert (one.minus(other).low, one.minus(other).high) == (4.0, 11.0)
    assert one.plus(other).extrapolated and len(one.plus(other).origins) == 2
    assert other.inverse("s").high == 1.0
    assert one.over(figure(0.0)).text() == "no end B/s"
    with pytest.raises(ValueError, match="origin"):
        Figure(1.0, 1.0, 1.0, "", ())


@pytest.mark.parametrize(
    ("made", "text"),
    [
        (figure(0.0, "B/s"), "0 B/s"),
        (figure(999.0, "B/s"), "999 B/s"),
        (figure(1000.0, "B/s"), "1 kB/s"),
        (figure(26.04e6, "B"), "26.0 MB"),
        (figure(2.1, "%"), "2.10%"),
        (figure(0.00012345, "s"), "0.000123 s"),
        (figure(123456.7), "123,457"),
        (Figure(1500.0, 1200.0, 1800.0, "B/s", (ORIGIN,), extrapolated=True), "1.50 [1.20, 1.80] kB/s *"),
        (Figure(0.5, 0.25, 9.96, "ms", (ORIGIN,)), "0.500 [0.250, 9.96] ms"),
    ],
)
def test_figure_text(made: Figure, text: str) -> None:
    assert made.text() == text


# ------------------------------------------------------------ slopes


def read_slopes(record: dict[str, Any]) -> records.Slopes:
    return msgspec.convert(record, records.Slopes)


def test_cost_follows_the_line_and_is_extrapolated_beyond_its_points() -> None:
    read = read_slopes(slopes())
    known = lines.cost_at(read, "membership", "bytes_per_s", 790.0)
    assert known is not None and known.mid == pytest.approx(400.0 + 0.5 * 790.0, rel=0.002)
    assert known.low < known.mid < known.high and not known.extrapolated
    far = lines.cost_at(read, "membership", "bytes_per_s", 3950.0)
    assert far is not None and far.extrapolated and far.high - far.low > known.high - known.low
    core = lines.cost_at(read, "membership", "core_ms_per_s", 790.0)
    assert core is not None and core.unit == "%" and core.mid == pytest.approx(0.279, rel=0.01)
    assert (
        "5 points from 50 to 1580 member in 100 s, revision 0123456789ab of 2026-01-02"
        in known.origins[0].about
    )
    assert lines.cost_at(read, "no such duty", "bytes_per_s", 790.0) is None
    assert lines.cost_at(read, "idle", "messages_per_s", 790.0) is None


def test_interval_uses_students_t() -> None:
    """Compare with the textbook formula for four points; t for two degrees of freedom is 4.303."""
    record = slopes()
    ys = (1.0, 2.1, 2.9, 4.2)
    points = [
        {"x": float(x), "source": "real", "seconds": 1.0, "measure": {"bytes_per_s": y}}
        for x, y in enumerate(ys, 1)
    ]
    fit = {"intercept": [-0.05, 0, 0], "slope": [1.04, 0, 0], "form": "linear", "source": "real"}
    record["duties"]["membership"] |= {"points": points, "fits": {"bytes_per_s": fit}}
    found = lines.cost_at(read_slopes(record), "membership", "bytes_per_s", 2.5)
    residuals = [y - (-0.05 + 1.04 * x) for x, y in enumerate(ys, 1)]
    half_width = 4.303 * math.sqrt(sum(residual * residual for residual in residuals) / 2) * math.sqrt(1 / 4)
    assert found is not None and found.mid == pytest.approx(2.55)
    assert found.high - found.mid == pytest.approx(half_width, rel=1e-3)


@pytest.mark.parametrize(
    ("form", "y"), [("log", lambda x: 3.0 + 2.0 * math.log(x)), ("power", lambda x: 2.0 * x**0.5)]
)
def test_nonlinear_fits_keep_their_form(form: str, y: Any) -> None:
    record = slopes()
    member = record["duties"]["membership"]
    for index, point in enumerate(member["points"]):
        point["measure"]["bytes_per_s"] = y(point["x"]) * (1.0 + (0.0001 if index % 2 else -0.0001))
    slope, intercept = np.polyfit(
        SIZES, [point["measure"]["bytes_per_s"] for point in member["points"]], 1
    ).tolist()
    line = {
        "intercept": [intercept, intercept, intercept],
        "slope": [slope, slope, slope],
        "linear": False,
        "source": "hollow",
    }
    member["fits"]["bytes_per_s"] = line | {"form": form}
    read = read_slopes(record)
    found = lines.cost_at(read, "membership", "bytes_per_s", 700.0)
    assert found is not None and found.mid == pytest.approx(y(700.0), rel=0.001)
    assert validation.unsupported_entries(records.Records(read, None, None, {})) == []
    member["fits"]["bytes_per_s"] = line | {"form": "other"}
    other = lines.cost_at(read_slopes(record), "membership", "bytes_per_s", 700.0)
    assert (
        other is not None
        and other.mid == pytest.approx(intercept + 700.0 * slope)
        and ", other, " in other.origins[0].about
    )


def test_points_of_two_sources_are_combined_as_the_record_states(docs: Path) -> None:
    record = slopes()
    member = record["duties"]["membership"]
    for x in (24.0, 24.0, 50.0):
        measure = {"core_ms_per_s": 3.0 + 0.001 * x}
        member["points"].append({"x": x, "source": "real", "seconds": 5.0, "measure": measure})
    joined = duty("member", (200, 790, 1580), {"core_ms_per_s": (3.0, 0.001)})
    for point in joined["points"]:
        point["source"] = "real"
    record["duties"]["joined"] = joined | {"fits": {}}
    just_joined_fit = {
        "intercept": [3.0, 3.0, 3.0],
        "slope": [0.001, 0.001, 0.001],
        "source": "real, from 200 on just joined",
    }
    member["fits"]["core_ms_per_s"] = just_joined_fit
    shifted_fit = member["fits"]["memory_bytes"] | {"source": "hollow, moved to real at 24", "moved_by": 5e6}
    shifted_fit["intercept"] = [6e6, 6e6, 6e6]
    member["fits"]["memory_bytes"] = shifted_fit
    disagreement = {
        "x": 24,
        "measure": "memory_bytes",
        "hollow": [1e6, 9e5, 1.1e6],
        "real": [6e6, 5e6, 7e6],
        "agree": False,
    }
    member["agreement"] = [disagreement]
    read = read_slopes(record)
    core, memory = (
        lines.cost_at(read, "membership", name, 790.0) for name in ("core_ms_per_s", "memory_bytes")
    )
    assert core is not None and core.mid == pytest.approx(0.379, rel=0.01)
    assert "real, from 200 on just joined, linear, 6 points from 24 to 1580" in core.origins[0].about
    assert memory is not None and memory.mid == pytest.approx(6.79e6, rel=0.01)
    assert memory.high - memory.mid > 1e6  # At least as wide as the uncertainty of the shift.
    write_record(docs, "slopes", record)
    assert validation.unsupported_entries(records.read(docs / "capacity")) == []
    member["fits"]["memory_bytes"] = shifted_fit | {"moved_by": 4e6}
    write_record(docs, "slopes", record)
    assert "is not what its points give" in validation.unsupported_entries(records.read(docs / "capacity"))[0]


def test_a_duty_measured_at_one_x_has_the_mean_cost() -> None:
    record = slopes()
    idle = record["duties"]["idle"] | {"unit": "process", "fits": {}}
    ys = {"hollow": (1.0, 3.0), "real": (4.0, 5.0, 6.0)}
    idle["points"] = [
        {"x": 1, "source": source, "seconds": 5.0, "measure": {"core_ms_per_s": y}}
        for source, values in ys.items()
        for y in values
    ]
    record["duties"]["idle"] = idle
    found = lines.cost_at(read_slopes(record), "idle", "core_ms_per_s", 790.0)
    assert found is not None and found.mid == pytest.approx(0.5) and not found.extrapolated
    assert found.high - found.mid == pytest.approx(0.1 * 4.303 / math.sqrt(3), rel=1e-3)
    assert "real, mean, 3 points at 1 process" in found.origins[0].about
    idle["points"] = idle["points"][:1]
    assert lines.cost_at(read_slopes(record), "idle", "core_ms_per_s", 790.0) is None


def test_event_cost_uses_the_slope_and_is_extrapolated_for_larger_clusters() -> None:
    record = slopes()
    changes = duty("restart per second", (0.0, 0.5, 1.0, 2.0, 4.0), {"bytes_per_s": (800.0, 60.0)})
    for point in changes["points"]:
        point["members"] = 200
    record["duties"]["changes"] = changes
    read = read_slopes(record)
    small = lines.cost_of_events(read, "changes", "bytes_per_s", 0.01, 200)
    assert small is not None and small.mid == pytest.approx(0.6, rel=0.01) and not small.extrapolated
    assert small.low < 0.6 < small.high and "200 members" in small.origins[0].about
    large = lines.cost_of_events(read, "changes", "bytes_per_s", 0.01, 790)
    assert large is not None and large.extrapolated
    assert lines.cost_of_events(read, "changes", "memory_bytes", 0.01, 790) is None


def test_real_processes_take_precedence_where_they_differ() -> None:
    record = slopes()
    plain = lines.cost_at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    agreement = {
        "x": 50,
        "measure": "core_ms_per_s",
        "hollow": [2.0, 1.9, 2.1],
        "real": [4.0, 3.9, 4.1],
        "agree": True,
    }
    record["duties"]["membership"]["agreement"] = [agreement]
    assert lines.cost_at(read_slopes(record), "membership", "core_ms_per_s", 790.0) == plain
    agreement["agree"] = False
    differing = lines.cost_at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    assert plain is not None and differing is not None
    # The ratio gives a higher cost here than the difference.
    assert differing.mid == pytest.approx(2.0 * plain.mid)
    assert "real processes differ at 50, and count" in differing.origins[0].about
    agreement["real"] = [1.0, 0.9, 1.1]
    cheaper = lines.cost_at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    assert cheaper is not None and cheaper.mid == pytest.approx(plain.mid - 0.1)


# ------------------------------------------------------------ ranking


def demand(docs: Path, built: tuple[str, ...], target: Target | None = None) -> Demand:
    return Demand(target or load(), records.read(docs / "capacity"), built)


def names(docs: Path, built: tuple[str, ...], target: Target | None = None) -> list[str]:
    return [duty.name for duty in ranking.rank(ranking.duties(demand(docs, built, target)))]


def test_without_the_feed_configuration_ranks_first(docs: Path) -> None:
    order = names(docs, ("members",))
    assert order[0] == ranking.CONFIGURATION and order[1] == ranking.LISTS
    assert "membership" not in order and "load reports" not in order


def test_ranking_follows_its_inputs(docs: Path) -> None:
    # With the feed and its record, the list is next.
    assert names(docs, ("members", "feed"))[0] == ranking.LISTS
    # A built feed that is too slow for one node is open again, and first.
    write_record(docs, "feed", feed(worst=26.0))
    assert names(docs, ("members", "feed"))[0] == ranking.CONFIGURATION
    # A feed that is built but not measured counts as absent.
    (docs / "capacity" / "feed.json").unlink()
    assert names(docs, ("members", "feed")) == names(docs, ("members",))
    # Without membership built it is first; it needs over a third of the budget once its slope is ten times
    # as steep.
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (400.0, 5.0)})
    write_record(docs, "slopes", record)
    assert names(docs, ())[0] == "membership"
    # If changes by hand are in time, only duties that are not done by hand are open.
    file = docs / "capacity" / "assumed.toml"
    file.write_text(re.sub(r"(\[hand_s_per_node\]\nvalue = )30.0", r"\g<1>0.01", file.read_text()))
    assert names(docs, ("members",))[0] == "replacements and rollouts"


def test_a_duty_ranks_after_the_open_duties_it_builds_on() -> None:
    def made(name: str, need: float, required: bool = True, builds_on: tuple[str, ...] = ()) -> ranking.Duty:
        return ranking.Duty(name, "", figure(need, "%"), figure(0.0), required=required, builds_on=builds_on)

    small, large = made("small", 1.0), made("large", 50.0, builds_on=("small",))
    other, unasked = made("other", 2.0), made("unasked", 90.0, required=False)
    assert [duty.name for duty in ranking.rank([unasked, large, small, other])] == [
        "other",
        "small",
        "large",
        "unasked",
    ]
    cycle = [made("a", 1.0, builds_on=("b",)), made("b", 2.0, builds_on=("a",))]
    assert [duty.name for duty in ranking.rank(cycle)] == ["b", "a"]
    fully_carried = replace(small, carried=figure(1.0))
    assert ranking.rank([fully_carried]) == [] and fully_carried.status == ranking.EXISTS
    assert replace(small, carried=figure(0.5)).status == ranking.PARTIAL
    assert small.status == ranking.MISSING and replace(small, carried=figure(0.5)).open.mid == 0.5


def test_nodes_not_reached_by_the_feed_stay_open(docs: Path) -> None:
    write_record(docs, "feed", feed(unreached=79))
    found = next(
        duty
        for duty in ranking.duties(demand(docs, ("members", "feed")))
        if duty.name == ranking.CONFIGURATION
    )
    assert found.carried.mid == pytest.approx(0.9) and found.status == ranking.PARTIAL


# ------------------------------------------------------------ a node, roles and growth


def test_node_total_sums_its_duties_and_records_override_assumptions(docs: Path) -> None:
    made = demand(docs, ("members", "feed"))
    costs = {cost.duty: cost for cost in made.node()}
    member = costs["membership"].bytes
    assert member is not None and member.mid == pytest.approx(795.0, rel=0.01)
    assert [origin.kind for origin in member.origins] == ["measured"]
    assert costs["configuration"].bytes is not None and costs["configuration"].bytes.mid == 111.0
    node_total, _ = ranking.node_total(made)
    assert [part.unit for part in node_total.parts() if part is not None] == ["/s", "%", "B", "B/s"]
    assert node_total.bytes is not None
    assert node_total.bytes.mid == pytest.approx(
        sum(cost.bytes.mid for cost in costs.values() if cost.bytes is not None)
    )
    assert tables.unknown_columns(made.node()) == [True, True, True, True]
    record = slopes()
    rates = (0.0, 1.0, 2.0)
    costs_of = {"core_ms_per_s": (3.0, 1.0), "bytes_per_s": (800.0, 60.0), "messages_per_s": (8.0, 2.0)}
    record["duties"]["changes"] = duty("restart per second", rates, costs_of)
    write_record(docs, "slopes", record)
    more = demand(docs, ("members", "feed"))
    assert tables.unknown_columns(more.node())[3] is False
    assert tables.unknown_columns(more.node())[1] is True  # The core time of lists is not measured.


def test_first_exceeded_limit_and_its_size(docs: Path) -> None:
    made = demand(docs, ONLY_MEMBERSHIP)
    assert roles.first_exceeded(lambda times: roles.node_limits(made, times)) is None
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (10.0, 4.0)})
    write_record(docs, "slopes", record)
    met = roles.first_exceeded(lambda times: roles.node_limits(demand(docs, ONLY_MEMBERSHIP), times))
    assert met is not None and met[0] == "bytes a second" and 2.0 < met[1] < 2.6
    many = with_target(load(), servers=2000)
    write_record(docs, "slopes", slopes())
    met = roles.first_exceeded(lambda times: roles.node_limits(demand(docs, ONLY_MEMBERSHIP, many), times))
    assert met is not None and met[0] == "members that membership takes" and met[1] == pytest.approx(2.55)


def test_a_relay_carries_its_part_of_all_subscriptions(docs: Path) -> None:
    made = demand(docs, ONLY_MEMBERSHIP)
    placed = tables.placed_machines(made)
    one, two = (roles.relay(made, placed, times).cost for times in (1.0, 2.0))
    assert one.messages is not None and two.messages is not None
    beats = 2 * 790 / 7 / 2.0
    assert beats < one.messages.mid < 1.1 * beats and two.messages.mid > 1.9 * one.messages.mid
    assert roles.relay(made, placed, 1.0).cost.bytes == made.feed("calm", "relay_bytes_per_s", "B/s")
    assert one.core is not None and two.core is not None and two.core.mid > 1.8 * one.core.mid


# ------------------------------------------------------------ the machines set aside


def test_each_zone_has_a_relay_and_each_region_a_publisher() -> None:
    placed = machines.place((4, 3), 9, 5)
    assert len(placed) == 9 and len({machine.name for machine in placed}) == 9
    assert Counter(machine.zone for machine in placed if machines.RELAY in machine.duties) == Counter(
        range(7)
    )
    assert [machine.region for machine in placed if machines.PUBLISHER in machine.duties] == [0, 1]
    lists = [machine for machine in placed if machines.LIST in machine.duties]
    assert [machine.region for machine in lists] == [0, 0, 0, 1, 1] and len(
        {machine.zone for machine in lists}
    ) == 5
    assert [machine.region for machine in placed if machines.LOG_HOLDER in machine.duties] == [0, 1]


def test_every_combination_of_lost_machines_is_counted() -> None:
    found = {one.function: one for one in machines.loss_tolerances(machines.place((4, 3), 9, 5))}
    agrees = found["the list service agrees (a majority of its replicas)"]
    assert agrees.survived == ((9, 9), (36, 36), (84 - math.comb(5, 3), 84)) and agrees.tolerated_losses == 2
    assert (agrees.zones, agrees.regions) == (7, 1)
    taken = found["changes for all and for services are taken"]
    assert taken.survived[0] == (8, 9) and taken.tolerated_losses == 0
    own = found["nodes hear of changes, each region from a relay of its own"]
    assert own.survived[2] == (83, 84)  # The exception is the three relays of the smaller region.
    kept = found["logs and figures are taken somewhere"]
    assert kept.survived[1] == (35, 36) and kept.tolerated_losses == 1


def test_fewer_machines_than_zones_are_rejected(docs: Path) -> None:
    few = with_target(load(), machines=replace(load().target.machines, set_aside=6))
    with pytest.raises(records.RecordError, match="set_aside: fewer than the zones"):
        page.render(few, records.read(docs / "capacity"))


# ------------------------------------------------------------ calls


@pytest.mark.parametrize(
    ("servers", "services", "skew"), [(790, 76, 1.0), (76, 76, 2.0), (100, 7, 0.0), (90, 76, 1.5)]
)
def test_service_sizes_sum_to_all_servers_in_descending_order(
    servers: int, services: int, skew: float
) -> None:
    sizes = connections.service_sizes(servers, services, skew)
    assert sum(sizes) == servers and len(sizes) == services and min(sizes) >= 1
    assert all(larger >= smaller - 1 for larger, smaller in zip(sizes, sizes[1:], strict=False))
    if skew == 0.0:
        assert max(sizes) - min(sizes) <= 1
    with pytest.raises(records.RecordError):
        connections.service_sizes(services - 1, services, skew)


def test_each_service_calls_the_given_number_of_others() -> None:
    clients_of = connections.client_services([50, 20, 5, 5, 1], 3, 7)
    calls = Counter(client for clients in clients_of for client in clients)
    assert calls == Counter({service: 3 for service in range(5)})
    assert all(callee not in clients for callee, clients in enumerate(clients_of))
    assert connections.client_services([3, 2], 3, 1) == [[1], [0]]


@pytest.mark.parametrize(("servers", "nodes"), [(160, 300), (40, 12), (11, 50), (60, 4)])
def test_subset_size_matches_the_decision_code(servers: int, nodes: int) -> None:
    endpoints = EndpointSet(Context(Settings(classes=(connections.REQUEST_CLASS,)), random.Random(2)))
    endpoints.apply(
        EndpointList(ListKind.FULL, tuple(EndpointEntry(b"s%d" % index) for index in range(servers)))
    )
    sizes = []
    for node_index in range(nodes):
        endpoints.set_nodes(nodes, node_index)
        sizes.append(servers if endpoints.subset is None else len(endpoints.subset))
    assert connections.subset_size(servers, nodes) == pytest.approx(sum(sizes) / nodes, abs=1.0)
    if servers >= 24 and nodes >= 3 * servers // 6:
        assert 6 <= connections.subset_size(servers, nodes) <= 13
    if servers < 12 or nodes < 6:
        assert connections.subset_size(servers, nodes) == servers


def test_subsets_need_far_fewer_connections_than_all_pairs() -> None:
    counts = connections.count_connections(790, 76, 1.0, 3, 1)
    clients_of = connections.client_services(counts.server_counts, 3, 1)
    pairs = sum(
        counts.server_counts[client] * counts.server_counts[service]
        for service, clients in enumerate(clients_of)
        for client in clients
    )
    assert counts.total(False) == pairs
    assert counts.total(True) < pairs / 3
    assert counts.max_per_server(False) == max(counts.client_nodes)
    assert connections.count_connections(790, 76, 1.0, 3, 1) == counts
    assert connections.count_connections(790, 76, 1.0, 3, 1, zones=7).total(True) < counts.total(True)


def test_affordable_servers_match_the_unconnected_fraction() -> None:
    even_servers, least_share_servers = connections.affordable_servers(13.5, 0.05)
    assert connections.unconnected_fraction(13.5, even_servers) == pytest.approx(0.05)
    assert least_share_servers == pytest.approx(0.4 * even_servers)
    rng = random.Random(3)
    gaps = [rng.expovariate(13.5 / even_servers) for _ in range(20_000)]
    assert sum(gap > connections.IDLE_S for gap in gaps) / len(gaps) == pytest.approx(0.05, abs=0.006)
