"""What the page of the coming size is worked out with: figures, slopes, ranking, machines, connections."""

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
from crowpost.lab.capacity import backing, connections, lines, machines, page, ranking, records, roles, tables
from crowpost.lab.capacity.demand import Demand
from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.scale.target import Target, load
from tests.capacity_records import (
    NOTHING_BUILT,
    ORIGIN,
    SIZES,
    duty,
    feed,
    figure,
    keep,
    lay_out,
    slopes,
    with_,
)


@pytest.fixture
def docs(tmp_path: Path) -> Path:
    return lay_out(tmp_path)


# ------------------------------------------------------------ figures


def test_a_figure_keeps_value_interval_unit_and_origins() -> None:
    one = Figure(10.0, 8.0, 12.0, "B/s", (ORIGIN,))
    other = Figure(2.0, 1.0, 4.0, "", (Origin("code", "two", ""),), beyond=True)
    assert (one.times(other).low, one.times(other).high) == (8.0, 48.0)
    assert (one.over(other).mid, one.over(other).low, one.over(other).high) == (5.0, 2.0, 12.0)
    assert (one.minus(other).low, one.minus(other).high) == (4.0, 11.0)
    assert one.plus(other).beyond and len(one.plus(other).origins) == 2
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
        (Figure(1500.0, 1200.0, 1800.0, "B/s", (ORIGIN,), beyond=True), "1.50 [1.20, 1.80] kB/s *"),
        (Figure(0.5, 0.25, 9.96, "ms", (ORIGIN,)), "0.500 [0.250, 9.96] ms"),
    ],
)
def test_figures_read_well(made: Figure, text: str) -> None:
    assert made.text() == text


# ------------------------------------------------------------ slopes


def read_slopes(record: dict[str, Any]) -> records.Slopes:
    return msgspec.convert(record, records.Slopes)


def test_a_cost_is_that_of_the_line_with_its_interval_and_a_star_beyond() -> None:
    read = read_slopes(slopes())
    known = lines.at(read, "membership", "bytes_per_s", 790.0)
    assert known is not None and known.mid == pytest.approx(400.0 + 0.5 * 790.0, rel=0.002)
    assert known.low < known.mid < known.high and not known.beyond
    far = lines.at(read, "membership", "bytes_per_s", 3950.0)
    assert far is not None and far.beyond and far.high - far.low > known.high - known.low
    core = lines.at(read, "membership", "core_ms_per_s", 790.0)
    assert core is not None and core.unit == "%" and core.mid == pytest.approx(0.279, rel=0.01)
    assert (
        "5 points from 50 to 1580 member in 100 s, revision 0123456789ab of 2026-01-02"
        in known.origins[0].about
    )
    assert lines.at(read, "no such duty", "bytes_per_s", 790.0) is None
    assert lines.at(read, "idle", "messages_per_s", 790.0) is None


def test_the_interval_is_students() -> None:
    """Against the textbook's formula worked out by hand for four points, t of two degrees 4.303."""
    record = slopes()
    ys = (1.0, 2.1, 2.9, 4.2)
    points = [
        {"x": float(i), "source": "real", "seconds": 1.0, "measure": {"bytes_per_s": y}}
        for i, y in enumerate(ys, 1)
    ]
    fit = {"intercept": [-0.05, 0, 0], "slope": [1.04, 0, 0], "form": "linear", "source": "real"}
    record["duties"]["membership"] |= {"points": points, "fits": {"bytes_per_s": fit}}
    found = lines.at(read_slopes(record), "membership", "bytes_per_s", 2.5)
    rest = [y - (-0.05 + 1.04 * x) for x, y in enumerate(ys, 1)]
    half = 4.303 * math.sqrt(sum(r * r for r in rest) / 2) * math.sqrt(1 / 4)
    assert found is not None and found.mid == pytest.approx(2.55)
    assert found.high - found.mid == pytest.approx(half, rel=1e-3)


@pytest.mark.parametrize(
    ("form", "y"), [("log", lambda x: 3.0 + 2.0 * math.log(x)), ("power", lambda x: 2.0 * x**0.5)]
)
def test_what_is_not_linear_keeps_its_form(form: str, y: Any) -> None:
    record = slopes()
    member = record["duties"]["membership"]
    for i, point in enumerate(member["points"]):
        point["measure"]["bytes_per_s"] = y(point["x"]) * (1.0 + (0.0001 if i % 2 else -0.0001))
    b, a = np.polyfit(SIZES, [point["measure"]["bytes_per_s"] for point in member["points"]], 1).tolist()
    line = {"intercept": [a, a, a], "slope": [b, b, b], "linear": False, "source": "hollow"}
    member["fits"]["bytes_per_s"] = line | {"form": form}
    read = read_slopes(record)
    found = lines.at(read, "membership", "bytes_per_s", 700.0)
    assert found is not None and found.mid == pytest.approx(y(700.0), rel=0.001)
    assert backing.unbacked(records.Records(read, None, None, {})) == []
    member["fits"]["bytes_per_s"] = line | {"form": "other"}
    other = lines.at(read_slopes(record), "membership", "bytes_per_s", 700.0)
    assert (
        other is not None
        and other.mid == pytest.approx(a + 700.0 * b)
        and ", other, " in other.origins[0].about
    )


def test_points_of_two_kinds_are_told_as_the_record_names_them(docs: Path) -> None:
    record = slopes()
    member = record["duties"]["membership"]
    for x in (24.0, 24.0, 50.0):
        measure = {"core_ms_per_s": 3.0 + 0.001 * x}
        member["points"].append({"x": x, "source": "real", "seconds": 5.0, "measure": measure})
    joined = duty("member", (200, 790, 1580), {"core_ms_per_s": (3.0, 0.001)})
    for point in joined["points"]:
        point["source"] = "real"
    record["duties"]["joined"] = joined | {"fits": {}}
    just = {
        "intercept": [3.0, 3.0, 3.0],
        "slope": [0.001, 0.001, 0.001],
        "source": "real, from 200 on just joined",
    }
    member["fits"]["core_ms_per_s"] = just
    moved = member["fits"]["memory_bytes"] | {"source": "hollow, moved to real at 24", "moved_by": 5e6}
    moved["intercept"] = [6e6, 6e6, 6e6]
    member["fits"]["memory_bytes"] = moved
    apart = {
        "x": 24,
        "measure": "memory_bytes",
        "hollow": [1e6, 9e5, 1.1e6],
        "real": [6e6, 5e6, 7e6],
        "agree": False,
    }
    member["agreement"] = [apart]
    read = read_slopes(record)
    core, memory = (lines.at(read, "membership", m, 790.0) for m in ("core_ms_per_s", "memory_bytes"))
    assert core is not None and core.mid == pytest.approx(0.379, rel=0.01)
    assert "real, from 200 on just joined, linear, 6 points from 24 to 1580" in core.origins[0].about
    assert memory is not None and memory.mid == pytest.approx(6.79e6, rel=0.01)
    assert memory.high - memory.mid > 1e6  # as wide as the moving at the least
    keep(docs, "slopes", record)
    assert backing.unbacked(records.read(docs / "capacity")) == []
    member["fits"]["memory_bytes"] = moved | {"moved_by": 4e6}
    keep(docs, "slopes", record)
    assert "is not what its points give" in backing.unbacked(records.read(docs / "capacity"))[0]


def test_what_was_measured_at_one_x_is_told_by_its_mean() -> None:
    record = slopes()
    idle = record["duties"]["idle"] | {"unit": "process", "fits": {}}
    ys = {"hollow": (1.0, 3.0), "real": (4.0, 5.0, 6.0)}
    idle["points"] = [
        {"x": 1, "source": source, "seconds": 5.0, "measure": {"core_ms_per_s": y}}
        for source, values in ys.items()
        for y in values
    ]
    record["duties"]["idle"] = idle
    found = lines.at(read_slopes(record), "idle", "core_ms_per_s", 790.0)
    assert found is not None and found.mid == pytest.approx(0.5) and not found.beyond
    assert found.high - found.mid == pytest.approx(0.1 * 4.303 / math.sqrt(3), rel=1e-3)
    assert "real, mean, 3 points at 1 process" in found.origins[0].about
    idle["points"] = idle["points"][:1]
    assert lines.at(read_slopes(record), "idle", "core_ms_per_s", 790.0) is None


def test_events_cost_by_the_slope_alone_and_larger_clusters_are_starred() -> None:
    record = slopes()
    changes = duty("restart per second", (0.0, 0.5, 1.0, 2.0, 4.0), {"bytes_per_s": (800.0, 60.0)})
    for point in changes["points"]:
        point["members"] = 200
    record["duties"]["changes"] = changes
    read = read_slopes(record)
    small = lines.rise(read, "changes", "bytes_per_s", 0.01, 200)
    assert small is not None and small.mid == pytest.approx(0.6, rel=0.01) and not small.beyond
    assert small.low < 0.6 < small.high and "200 members" in small.origins[0].about
    large = lines.rise(read, "changes", "bytes_per_s", 0.01, 790)
    assert large is not None and large.beyond
    assert lines.rise(read, "changes", "memory_bytes", 0.01, 790) is None


def test_where_real_processes_differ_they_count() -> None:
    record = slopes()
    plain = lines.at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    seen = {
        "x": 50,
        "measure": "core_ms_per_s",
        "hollow": [2.0, 1.9, 2.1],
        "real": [4.0, 3.9, 4.1],
        "agree": True,
    }
    record["duties"]["membership"]["agreement"] = [seen]
    assert lines.at(read_slopes(record), "membership", "core_ms_per_s", 790.0) == plain
    seen["agree"] = False
    apart = lines.at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    assert plain is not None and apart is not None
    assert apart.mid == pytest.approx(2.0 * plain.mid)  # the ratio is dearer here than the difference
    assert "real processes differ at 50, and count" in apart.origins[0].about
    seen["real"] = [1.0, 0.9, 1.1]
    cheaper = lines.at(read_slopes(record), "membership", "core_ms_per_s", 790.0)
    assert cheaper is not None and cheaper.mid == pytest.approx(plain.mid - 0.1)


# ------------------------------------------------------------ ranking


def demand(docs: Path, built: tuple[str, ...], target: Target | None = None) -> Demand:
    return Demand(target or load(), records.read(docs / "capacity"), built)


def names(docs: Path, built: tuple[str, ...], target: Target | None = None) -> list[str]:
    return [d.name for d in ranking.rank(ranking.duties(demand(docs, built, target)))]


def test_without_the_feed_the_table_chooses_configuration(docs: Path) -> None:
    order = names(docs, ("members",))
    assert order[0] == ranking.CONFIGURATION and order[1] == ranking.LISTS
    assert "membership" not in order and "load reports" not in order


def test_the_table_chooses_otherwise_where_the_inputs_do(docs: Path) -> None:
    # with the feed and its record what comes next is the list
    assert names(docs, ("members", "feed"))[0] == ranking.LISTS
    # built, and too slow for a node: open again, and first
    keep(docs, "feed", feed(worst=26.0))
    assert names(docs, ("members", "feed"))[0] == ranking.CONFIGURATION
    # built, and not measured: as if it were not there
    (docs / "capacity" / "feed.json").unlink()
    assert names(docs, ("members", "feed")) == names(docs, ("members",))
    # without membership, that; it needs more than a third of the budget once its slope is ten times as steep
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (400.0, 5.0)})
    keep(docs, "slopes", record)
    assert names(docs, ())[0] == "membership"
    # where hands carry every change in time, only what hands do not carry is open
    file = docs / "capacity" / "assumed.toml"
    file.write_text(re.sub(r"(\[hand_s_per_node\]\nvalue = )30.0", r"\g<1>0.01", file.read_text()))
    assert names(docs, ("members",))[0] == "replacements and rollouts"


def test_a_duty_waits_for_what_it_builds_on() -> None:
    def made(name: str, need: float, asked: bool = True, on: tuple[str, ...] = ()) -> ranking.Duty:
        return ranking.Duty(name, "", figure(need, "%"), figure(0.0), asked=asked, builds_on=on)

    small, large = made("small", 1.0), made("large", 50.0, on=("small",))
    other, unasked = made("other", 2.0), made("unasked", 90.0, asked=False)
    assert [d.name for d in ranking.rank([unasked, large, small, other])] == [
        "other",
        "small",
        "large",
        "unasked",
    ]
    circle = [made("a", 1.0, on=("b",)), made("b", 2.0, on=("a",))]
    assert [d.name for d in ranking.rank(circle)] == ["b", "a"]
    whole = replace(small, carried=figure(1.0))
    assert ranking.rank([whole]) == [] and whole.status == ranking.EXISTS
    assert replace(small, carried=figure(0.5)).status == ranking.PARTIAL
    assert small.status == ranking.MISSING and replace(small, carried=figure(0.5)).open.mid == 0.5


def test_nodes_that_the_feed_did_not_reach_stay_open(docs: Path) -> None:
    keep(docs, "feed", feed(unreached=79))
    found = next(
        d for d in ranking.duties(demand(docs, ("members", "feed"))) if d.name == ranking.CONFIGURATION
    )
    assert found.carried.mid == pytest.approx(0.9) and found.status == ranking.PARTIAL


# ------------------------------------------------------------ a node, roles and growth


def test_a_nodes_sum_is_that_of_its_duties_and_the_records_go_before_assumptions(docs: Path) -> None:
    made = demand(docs, ("members", "feed"))
    costs = {c.duty: c for c in made.node()}
    member = costs["membership"].bytes
    assert member is not None and member.mid == pytest.approx(795.0, rel=0.01)
    assert [o.kind for o in member.origins] == ["measured"]
    assert costs["configuration"].bytes is not None and costs["configuration"].bytes.mid == 111.0
    whole, _ = ranking.node_total(made)
    assert [part.unit for part in whole.parts() if part is not None] == ["/s", "%", "B", "B/s"]
    assert whole.bytes is not None
    assert whole.bytes.mid == pytest.approx(sum(c.bytes.mid for c in costs.values() if c.bytes is not None))
    assert tables.lacking(made.node()) == [True, True, True, True]
    record = slopes()
    rates = (0.0, 1.0, 2.0)
    costs_of = {"core_ms_per_s": (3.0, 1.0), "bytes_per_s": (800.0, 60.0), "messages_per_s": (8.0, 2.0)}
    record["duties"]["changes"] = duty("restart per second", rates, costs_of)
    keep(docs, "slopes", record)
    more = demand(docs, ("members", "feed"))
    assert tables.lacking(more.node())[3] is False
    assert tables.lacking(more.node())[1] is True  # nobody measured the core time of lists


def test_the_first_limit_met_is_found_where_it_is(docs: Path) -> None:
    made = demand(docs, NOTHING_BUILT)
    assert roles.first_met(lambda times: roles.node_limits(made, times)) is None
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (10.0, 4.0)})
    keep(docs, "slopes", record)
    met = roles.first_met(lambda times: roles.node_limits(demand(docs, NOTHING_BUILT), times))
    assert met is not None and met[0] == "bytes a second" and 2.0 < met[1] < 2.6
    many = with_(load(), servers=2000)
    keep(docs, "slopes", slopes())
    met = roles.first_met(lambda times: roles.node_limits(demand(docs, NOTHING_BUILT, many), times))
    assert met is not None and met[0] == "members that membership takes" and met[1] == pytest.approx(2.55)


def test_a_relay_serves_its_part_of_all_watches(docs: Path) -> None:
    made = demand(docs, NOTHING_BUILT)
    placed = tables.built(made)
    one, two = (roles.relay(made, placed, times).cost for times in (1.0, 2.0))
    assert one.messages is not None and two.messages is not None
    beats = 2 * 790 / 7 / 2.0
    assert beats < one.messages.mid < 1.1 * beats and two.messages.mid > 1.9 * one.messages.mid
    assert roles.relay(made, placed, 1.0).cost.bytes == made.feed("calm", "relay_bytes_per_s", "B/s")
    assert one.core is not None and two.core is not None and two.core.mid > 1.8 * one.core.mid


# ------------------------------------------------------------ the machines set aside


def test_each_zone_has_a_relay_and_each_region_a_publisher() -> None:
    placed = machines.place((4, 3), 9, 5)
    assert len(placed) == 9 and len({m.name for m in placed}) == 9
    assert Counter(m.zone for m in placed if machines.RELAY in m.duties) == Counter(range(7))
    assert [m.region for m in placed if machines.PUBLISHER in m.duties] == [0, 1]
    lists = [m for m in placed if machines.LIST in m.duties]
    assert [m.region for m in lists] == [0, 0, 0, 1, 1] and len({m.zone for m in lists}) == 5
    assert [m.region for m in placed if machines.KEEPER in m.duties] == [0, 1]


def test_every_way_of_losing_machines_is_counted() -> None:
    found = {one.what: one for one in machines.outlasts(machines.place((4, 3), 9, 5))}
    agrees = found["the list service agrees (a majority of its replicas)"]
    assert agrees.ways == ((9, 9), (36, 36), (84 - math.comb(5, 3), 84)) and agrees.any_gone == 2
    assert (agrees.zones, agrees.regions) == (7, 1)
    taken = found["changes for all and for services are taken"]
    assert taken.ways[0] == (8, 9) and taken.any_gone == 0
    own = found["nodes hear of changes, each region from a relay of its own"]
    assert own.ways[2] == (83, 84)  # the three relays of the smaller region
    kept = found["logs and figures are taken somewhere"]
    assert kept.ways[1] == (35, 36) and kept.any_gone == 1


def test_fewer_machines_than_zones_are_refused(docs: Path) -> None:
    few = with_(load(), machines=replace(load().target.machines, set_aside=6))
    with pytest.raises(records.RecordError, match="set_aside: fewer than the zones"):
        page.render(few, records.read(docs / "capacity"))


# ------------------------------------------------------------ calls


@pytest.mark.parametrize(
    ("servers", "services", "skew"), [(790, 76, 1.0), (76, 76, 2.0), (100, 7, 0.0), (90, 76, 1.5)]
)
def test_services_share_all_servers_the_larger_first(servers: int, services: int, skew: float) -> None:
    of = connections.sizes(servers, services, skew)
    assert sum(of) == servers and len(of) == services and min(of) >= 1
    assert all(a >= b - 1 for a, b in zip(of, of[1:], strict=False))
    if skew == 0.0:
        assert max(of) - min(of) <= 1
    with pytest.raises(records.RecordError):
        connections.sizes(services - 1, services, skew)


def test_each_service_calls_so_many_others() -> None:
    names = connections.callers([50, 20, 5, 5, 1], 3, 7)
    calls = Counter(caller for callers in names for caller in callers)
    assert calls == Counter({i: 3 for i in range(5)})
    assert all(callee not in callers for callee, callers in enumerate(names))
    assert connections.callers([3, 2], 3, 1) == [[1], [0]]


@pytest.mark.parametrize(("servers", "nodes"), [(160, 300), (40, 12), (11, 50), (60, 4)])
def test_a_home_is_as_large_as_the_modules_own(servers: int, nodes: int) -> None:
    endpoints = EndpointSet(Context(Settings(classes=(connections.CLASS,)), random.Random(2)))
    endpoints.apply(EndpointList(ListKind.FULL, tuple(EndpointEntry(b"s%d" % i) for i in range(servers))))
    met = []
    for place in range(nodes):
        endpoints.set_nodes(nodes, place)
        met.append(servers if endpoints.subset is None else len(endpoints.subset))
    assert connections.home(servers, nodes) == pytest.approx(sum(met) / nodes, abs=1.0)
    if servers >= 24 and nodes >= 3 * servers // 6:
        assert 6 <= connections.home(servers, nodes) <= 13
    if servers < 12 or nodes < 6:
        assert connections.home(servers, nodes) == servers


def test_connections_without_homes_are_all_pairs_and_with_them_far_fewer() -> None:
    wiring = connections.wire(790, 76, 1.0, 3, 1)
    names = connections.callers(wiring.of, 3, 1)
    pairs = sum(wiring.of[caller] * wiring.of[i] for i, callers in enumerate(names) for caller in callers)
    assert wiring.total(False) == pairs
    assert wiring.total(True) < pairs / 3
    assert wiring.most_of_a_server(False) == max(wiring.before)
    assert connections.wire(790, 76, 1.0, 3, 1) == wiring
    assert connections.wire(790, 76, 1.0, 3, 1, zones=7).total(True) < wiring.total(True)


def test_the_floor_ends_where_its_calls_find_no_open_connection() -> None:
    even, least = connections.floor_ends(13.5, 0.05)
    assert connections.closed_part(13.5, even) == pytest.approx(0.05)
    assert least == pytest.approx(0.4 * even)
    rng = random.Random(3)
    gaps = [rng.expovariate(13.5 / even) for _ in range(20_000)]
    assert sum(gap > connections.IDLE_S for gap in gaps) / len(gaps) == pytest.approx(0.05, abs=0.006)
