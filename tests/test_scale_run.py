"""Tests of the scale run: target file, fits, record, and a small run of simulated and real processes."""

from __future__ import annotations

import asyncio
import os
import resource
from collections import Counter
from dataclasses import replace
from pathlib import Path
from statistics import fmean
from typing import Any, cast

import numpy as np
import pytest
import uvloop
from scipy import stats

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import make_document
from crowpost.config_feed.transport import FeedTransport
from crowpost.lab.scale import record as records
from crowpost.lab.scale import simulated
from crowpost.lab.scale.changes import exclude_recent_joiners
from crowpost.lab.scale.fit import line, mean
from crowpost.lab.scale.fleet import Fleet, Reading
from crowpost.lab.scale.follow import SimulatedFollower
from crowpost.lab.scale.page import page
from crowpost.lab.scale.places import places, zone_of
from crowpost.lab.scale.proc import check_descriptors, check_machine, core_ms
from crowpost.lab.scale.run import Choice
from crowpost.lab.scale.simulated_nodes import RegionPartition, _PartitionedDatagramTransport
from crowpost.lab.scale.slopes import (
    JOINED_TRAFFIC_RATIO,
    PartContext,
    PartResult,
    by_size,
    check,
    exclusion_reason,
)
from crowpost.lab.scale.target import FAULT_KINDS, Fault, ScaleError, load
from crowpost.lab.scale.troubles import plan_fault
from tests.test_cli import crowpost

TARGET = load()
SHIPPED_TEXT = (Path(records.__file__).parent / "target.toml").read_text()

# ------------------------------------------------------------ target file


def test_shipped_target_file_describes_the_planned_platform() -> None:
    size = TARGET.target
    assert (size.servers, size.services, size.regions, size.zones) == (790, 76, 2, 7)
    assert (size.calls_per_s, size.depth, size.changes_per_day) == (32_000.0, 25, 3_200.0)
    assert (size.node_budget.core_percent, size.node_budget.memory_mb) == (2.1, 64.0)
    assert len(TARGET.run.sizes) >= 4 and len(TARGET.run.rates) >= 4 and 790 in TARGET.run.sizes
    assert {fault.kind for fault in TARGET.troubles} == set(FAULT_KINDS)
    assert TARGET.short.workers == TARGET.run.workers and TARGET.short.sizes != TARGET.run.sizes


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("servers = 790 ", "servrs = 790 ", "target.servrs: no such key; known are servers"),
        ("servers = 790 ", "servers = 790.5 ", "target.servers: a whole number, not 790.5"),
        ("services = 76\n", "services = '76'\n", "target.services: a number from 1"),
        ("memory_mb = 64.0", "", "target.node_budget.memory_mb: a number from"),
        ("[target.machines]", "[target.machine]", "target.machine: no such key"),
        (
            "zones_per_region = [4, 3]",
            "zones_per_region = [4, 4]",
            "topology.zones_per_region: 7 zones in all",
        ),
        ("sizes = [50,", "sizes = [1,", "run.sizes: a list of numbers from 2 to 5000"),
        ("sizes = [25, 50, 100, 200]", "sizes = []", "run.short.sizes: a list of numbers"),
        ('kind = "rack"', 'kind = "rak"', "troubles[1].kind: one of machine, rack"),
        ("at_s = 5.0", "at_s = -5.0", "troubles[0].at_s: a number from 0"),
        ("[topology]", "[topology", "Expected ']'"),
    ],
)
def test_invalid_target_file_is_rejected_in_one_line(
    old: str, new: str, message: str, tmp_path: Path
) -> None:
    assert old in SHIPPED_TEXT
    file = tmp_path / "t.toml"
    file.write_text(SHIPPED_TEXT.replace(old, new, 1))
    with pytest.raises(ScaleError) as found:
        load(str(file))
    assert str(found.value).startswith(f"{file}: ") and message in str(found.value)
    assert "\n" not in str(found.value)


def test_command_rejects_invalid_target_in_one_line_with_exit_code_2(tmp_path: Path) -> None:
    file = tmp_path / "t.toml"
    file.write_text(SHIPPED_TEXT.replace("servers = 790", "servrs = 790", 1))
    done = crowpost("lab", "scale", "--target", str(file))
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr.startswith(f"crowpost: {file}: target.servrs: no such key; known are servers, ")
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("choice", "message"),
    [
        (Choice(duties=("membrship",)), "--duties: 'membrship' is none of idle, membership"),
        (Choice(troubles=("flood",)), "--troubles: 'flood' is none of machine, rack"),
    ],
)
def test_unknown_duty_or_fault_kind_is_rejected_in_one_line(choice: Choice, message: str) -> None:
    with pytest.raises(ScaleError, match=message):
        choice.check()


# ------------------------------------------------------------ fits


def test_line_intervals_match_scipy_linear_regression() -> None:
    xs = [50.0, 50.0, 200.0, 200.0, 400.0, 400.0, 790.0, 790.0]
    ys = [1.1, 1.3, 1.9, 2.2, 3.3, 2.9, 5.2, 5.0]
    found, known = line(xs, ys), stats.linregress(xs, ys)
    wide = stats.t.ppf(0.975, len(xs) - 2)
    slope = [known.slope, known.slope - wide * known.stderr, known.slope + wide * known.stderr]
    assert found["slope"] == pytest.approx(slope)
    start = known.intercept, wide * known.intercept_stderr
    assert found["intercept"] == pytest.approx([start[0], start[0] - start[1], start[0] + start[1]])
    residuals = [y - known.intercept - known.slope * x for x, y in zip(xs, ys, strict=True)]
    assert found["residuals"] == pytest.approx(residuals)
    assert found["linear"] and found["form"] == "linear"


def test_slope_intervals_cover_the_true_slope_in_95_percent_of_samples() -> None:
    rng = np.random.default_rng(7)
    xs = np.repeat([50.0, 200.0, 400.0, 790.0], 3)
    covered = 0
    for _ in range(400):
        low, high = line(xs.tolist(), (1.0 + 0.002 * xs + rng.normal(0.0, 0.2, len(xs))).tolist())["slope"][
            1:
        ]
        covered += low <= 0.002 <= high
    assert 370 <= covered <= 390  # 95% of 400, with a fixed seed.


def test_points_on_a_line_have_no_residuals() -> None:
    found = line([1.0, 2.0, 3.0, 4.0], [3.0, 5.0, 7.0, 9.0])
    assert found["slope"] == pytest.approx([2.0, 2.0, 2.0]) and found["linear"]
    assert found["residuals"] == pytest.approx([0.0] * 4)


@pytest.mark.parametrize(("form", "curve"), [("log", np.log), ("power", np.sqrt)])
@pytest.mark.parametrize("repeats", [1, 3])
def test_curves_are_not_reported_as_linear(form: str, curve: Any, repeats: int) -> None:
    rng = np.random.default_rng(3)
    xs = np.repeat([25.0, 50.0, 100.0, 200.0, 400.0, 790.0, 1580.0], repeats)
    found = line(xs.tolist(), (curve(xs) * (1.0 + rng.normal(0.0, 0.003, len(xs)))).tolist())
    assert not found["linear"] and found["form"] == form
    assert found["lack_of_fit_p"] < 0.05


def test_saturating_curve_is_not_reported_as_linear() -> None:
    xs = np.repeat([0.0, 1.0, 2.0, 3.0, 4.0], 2)
    found = line(xs.tolist(), (np.minimum(xs, 1.5) + np.tile([0.0, 0.01], 5)).tolist())
    assert not found["linear"] and found["form"] == "other"


def test_line_rejects_too_few_points() -> None:
    for xs, ys in (([1.0, 2.0], [1.0, 2.0]), ([1.0, 1.0, 1.0], [1.0, 2.0, 3.0])):
        with pytest.raises(ValueError, match="three points, at two values"):
            line(xs, ys)


def test_mean_has_student_t_interval() -> None:
    assert mean([1.0, 2.0, 3.0]) == pytest.approx([2.0, 2.0 - 2.484138, 2.0 + 2.484138], abs=1e-5)
    assert mean([1.0])[0] == 1.0 and np.isnan(mean([1.0])[1])


# ------------------------------------------------------------ records


LATE = {"duty": "membership", "source": "hollow", "why": "late"}


def _part_result(simulated_level: float, real_level: float) -> PartResult:
    result = PartResult()
    for x in (50.0, 200.0, 400.0, 790.0):
        for i in range(3):
            for source, level in (("hollow", simulated_level), ("real", real_level)):
                measure = {"core_ms_per_s": level + 0.001 * x + 0.01 * i, "messages_per_s": 4.0 + 0.1 * i}
                result.add_point("membership", x, source, f"{source}{i}", 20.0, measure)
    return result


def test_real_fit_is_used_where_simulated_and_real_nodes_differ() -> None:
    duty = records.build_record(_part_result(1.0, 1.6), 1, "c")["duties"]["membership"]
    assert duty["unit"] == "member"
    assert {(row["measure"], row["agree"]) for row in duty["agreement"]} == {
        ("core_ms_per_s", False),
        ("messages_per_s", True),
    }
    assert duty["fits"]["core_ms_per_s"]["source"] == "real"
    assert duty["fits"]["messages_per_s"]["source"] == "hollow"
    assert duty["fits"]["core_ms_per_s"]["slope"][0] == pytest.approx(0.001)
    assert duty["fits"]["core_ms_per_s"]["intercept"][0] == pytest.approx(1.61)
    agreeing = records.build_record(_part_result(1.0, 1.005), 1, "c")["duties"]["membership"]
    assert agreeing["fits"]["core_ms_per_s"]["source"] == "hollow"


def test_real_nodes_at_one_size_set_the_level_and_simulated_nodes_the_slope() -> None:
    result = _part_result(1.0, 1.6)
    rows = result.points["membership"]
    result.points["membership"] = [
        point for point in rows if point["source"] == "hollow" or point["x"] == 50.0
    ]
    fitted = records.build_record(result, 1, "c")["duties"]["membership"]["fits"]
    core = fitted["core_ms_per_s"]
    assert core["source"] == "hollow, moved to real at 50" and core["moved_by"] == pytest.approx(0.6)
    assert core["slope"][0] == pytest.approx(0.001) and core["intercept"][0] == pytest.approx(1.61)
    assert core["intercept"][1] < 1.61 - 0.02 < 1.61 + 0.02 < core["intercept"][2]
    assert fitted["messages_per_s"]["source"] == "hollow"


def test_simulated_nodes_not_compared_with_real_ones_are_not_used() -> None:
    result = _part_result(1.0, 1.6)
    for point in result.points["membership"]:
        point["x"] += 1.0 if point["source"] == "real" else 0.0
    fits = records.build_record(result, 1, "c")["duties"]["membership"]["fits"]
    assert {fitted["source"] for fitted in fits.values()} == {"real"}


@pytest.mark.parametrize(("real_bytes", "left_out_count"), [(210.0, 0), (1_850.0, 6)])
def test_recently_joined_real_nodes_are_left_out(real_bytes: float, left_out_count: int) -> None:
    result = PartResult()
    for x in (0.0, 1.0):
        for i in range(3):
            result.add_point("changes", x, "hollow", f"w{i}", 9.0, {"bytes_per_s": 220.0 + 900.0 * x})
            result.add_point("changes", x, "real", f"r{i}", 9.0, {"bytes_per_s": real_bytes + 900.0 * x})
    exclude_recent_joiners(result, "changes")
    assert len(result.left_out) == left_out_count and len(result.points["changes"]) == 12 - left_out_count


def test_processor_time_is_fitted_to_busier_real_nodes_before_simulated_ones() -> None:
    result = _part_result(1.0, 1.6)
    rows = result.points["membership"]
    result.points["membership"] = [
        point for point in rows if point["source"] == "hollow" or point["x"] == 50.0
    ]
    result.points["joined"] = [point for point in rows if point["source"] == "real" and point["x"] > 50.0]
    fits = records.build_record(result, 1, "c")["duties"]["membership"]["fits"]
    assert fits["core_ms_per_s"]["source"] == "real, from 200 on just joined"
    assert fits["core_ms_per_s"]["intercept"][0] == pytest.approx(1.61)
    assert fits["messages_per_s"]["source"] == "hollow"


def test_later_results_replace_earlier_ones_in_a_record(tmp_path: Path) -> None:
    first = _part_result(1.0, 1.0)
    first.left_out.append(
        {"duty": "membership", "x": 400.0, "source": "hollow", "process": "w1", "why": "late"}
    )
    first.left_out.append(
        {"duty": "membership", "x": 50.0, "source": "hollow", "process": "w0", "why": "late"}
    )
    first.faults.append({"kind": "zone", "source": "hollow", "messages": 1})
    first.calls.append({"duty": "membership", "x": 400.0, "answered": 1})
    path = tmp_path / "record.json"
    records.write(path, records.build_record(first, 1, "one"))
    second = PartResult()
    second.add_point("membership", 50.0, "simulated", "seed 1", 20.0, {"bytes_per_s": 9.0})
    second.add_point("membership", 400.0, "hollow", "w0", 20.0, {"core_ms_per_s": 9.0})
    second.faults.append({"kind": "zone", "source": "hollow", "messages": 2})
    both = records.build_record(second, 1, "two", records.read(path))
    points = both["duties"]["membership"]["points"]
    at = [point for point in points if point["x"] == 400.0 and point["source"] == "hollow"]
    assert [point["measure"] for point in at] == [{"core_ms_per_s": 9.0}]
    assert len(points) == 24 - 3 + 1 + 1
    assert len(both["calls"]) == 1  # The earlier calls are kept.
    assert [fault["messages"] for fault in both["troubles"]] == [2]
    assert [row["x"] for row in both["left_out"]] == [50.0]
    assert [row["command"] for row in both["runs"]] == ["one", "two"]
    path.write_text('{"schema": 9}')
    with pytest.raises(ScaleError, match="no record of a scale run"):
        records.read(path)


def test_page_shows_each_slope_with_its_points_and_each_fault() -> None:
    result = _part_result(1.0, 1.6)
    fault = {"kind": "zone", "members": 14, "source": "hollow", "messages": 7, "bytes_per_member": 3.0}
    fault |= {"settled_s": 1.5, "lost": "nothing", "speed": 1440.0, "seconds": 9.0}
    fault |= {"series": [[-1.0, 200.0], [0.5, 900.0]], "series_views": [[0.5, 2], [1.0, 1]]}
    result.faults.append(fault)
    result.left_out.append({**LATE, "x": 9.0, "process": "w1", "why": "it was late"})
    text = page(records.build_record(result, 1, "c"))
    assert text.count("<svg") == 3 and "Fault: zone" in text and "factor of 1440" in text
    assert "differ by more than their intervals at 50, 200, 400, 790" in text
    assert "left out: membership 9, w1: it was late" in text


# ------------------------------------------------------------ places, faults, limits


def test_places_fill_regions_zones_and_racks_evenly() -> None:
    node_places = places(TARGET.topology, 790)
    assert len({place.host for place in node_places}) == 790 and all(
        place.host.startswith("127.") for place in node_places
    )
    assert set(Counter(place.zone for place in node_places).values()) <= {112, 113}
    assert {place.region for place in node_places if place.zone < 4} == {0} and {
        place.region for place in node_places if place.zone >= 4
    } == {1}
    assert set(Counter((place.zone, place.rack) for place in node_places).values()) <= {11, 12}
    assert all(zone_of(place.host) == place.zone for place in node_places)


def test_equal_seeds_give_equal_fault_plans_of_the_right_size() -> None:
    node_places = places(TARGET.topology, 790)
    plans = {fault.kind: plan_fault(fault, node_places, 3, 120.0) for fault in TARGET.troubles}
    assert plans == {fault.kind: plan_fault(fault, node_places, 3, 120.0) for fault in TARGET.troubles}
    assert any(plan_fault(fault, node_places, 4, 120.0) != plans[fault.kind] for fault in TARGET.troubles)
    sizes = {kind: len(fault_plan.victims) for kind, fault_plan in plans.items()}
    assert sizes["machine"] == 1 and sizes["rack"] in (11, 12) and sizes["zone"] in (112, 113)
    assert (sizes["region_cut"], sizes["replacements"]) == (0, 120)
    day = plans["replacements"]
    assert day.speed == 86_400.0 / day.fault.for_s and len(set(day.victims)) == 120
    assert list(day.times) == sorted(day.times) and 0.0 <= day.times[0] <= day.times[-1] <= day.fault.for_s


def test_replacements_are_more_frequent_by_day_than_by_night() -> None:
    node_places = places(TARGET.topology, 3_000)
    times = plan_fault(Fault("replacements", 5.0, 24.0), node_places, 1, 3_000.0).times
    by_day, by_night = (sum(start <= time < start + 6.0 for time in times) for start in (11.0, 23.0 - 24.0))
    assert by_day > 3 * by_night


def test_partition_drops_only_datagrams_to_the_other_region() -> None:
    class Wire:
        def __init__(self) -> None:
            self.sent: list[tuple[bytes, tuple[str, int]]] = []

        def sendto(self, data: bytes, address: tuple[str, int]) -> None:
            self.sent.append((data, address))

    wire, partition = Wire(), RegionPartition([0, 0, 0, 0, 1, 1, 1])
    same_region_host, other_region_host = (
        f"127.{places(TARGET.topology, 7)[zone].host.split('.')[1]}.0.1" for zone in (3, 4)
    )
    transport = _PartitionedDatagramTransport(cast(asyncio.DatagramTransport, wire), partition, 0)
    for active in (False, True):
        partition.active = active
        transport.sendto(b"x", (same_region_host, 1))
        transport.sendto(b"y", (other_region_host, 1))
    assert [data for data, _ in wire.sent] == [b"x", b"y", b"x"]


def test_resource_limits_are_checked_before_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (1_024, 4_096))
    check_descriptors(100)
    with pytest.raises(ScaleError, match="400 simulated nodes in one process need 1800 descriptors"):
        check_descriptors(400)
    with pytest.raises(ScaleError, match="201 processes exceed the limit of 200"):
        check_machine(201, 1.0)
    monkeypatch.undo()
    with pytest.raises(ScaleError, match="GB of membership views exceed the limit of 12 GB"):
        check(replace(TARGET.run, workers=8), 4_000, 6)


def test_measurements_of_starved_workers_are_excluded() -> None:
    def reading(late: float, slow: int, p99: float) -> Reading:
        return Reading(100, 0.0, 0, {"late": late}, slow, p99, p99, 0.0)

    healthy = reading(5, 0, 10.0)
    assert exclusion_reason(healthy, reading(6, 1, 40.0)) == ""
    assert "60 ms" in exclusion_reason(healthy, reading(5, 0, 60.0))
    assert exclusion_reason(healthy, reading(9, 0, 1.0)) == "4 timers of 100 members were late"
    assert exclusion_reason(healthy, reading(5, 3, 1.0)) == "3 of 100 members report that they are slow"


# ------------------------------------------------------------ runs


def test_simulated_regions_converge_after_a_partition() -> None:
    found = simulated.region_partition(TARGET.topology, 14, 20.0, 1)
    assert found["settled_within_s"] and found["settled_within_s"] < 20.0
    assert found["settled_after_s"] and found["messages"] > 0 and found["bytes_per_member"] > 0
    assert found == simulated.region_partition(TARGET.topology, 14, 20.0, 1)


def test_simulated_zone_loss_becomes_known_to_all() -> None:
    found = simulated.zone_loss(TARGET.topology, 21, 40.0, 1)
    assert found["victims"] == 3 and 1.0 < found["settled_s"] < 20.0
    assert found["bytes_per_member"] > 0 and found["messages"] > 0
    assert found["series"][-1][0] == found["settled_s"]


def _children() -> set[int]:
    found = set()
    for entry in os.listdir("/proc"):
        if entry.isdigit():
            try:
                after = Path(f"/proc/{entry}/stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(after[1]) == os.getpid():
                found.add(int(entry))
    return found


def test_small_run_of_simulated_and_real_nodes(tmp_path: Path) -> None:
    before = _children()
    run = replace(TARGET.short, seconds=2.0, settle_s=0.5, workers=2, carriers=1)
    printed: list[str] = []
    result = uvloop.run(by_size(PartContext(TARGET, run, 1, tmp_path, printed.append), "membership", 13))
    assert _children() <= before
    record = records.build_record(result, 1, "test")
    measured = [row for row in result.points["membership"] if row["source"] == "hollow"]
    # A busy machine may starve a worker; then it is listed as left out.
    assert len(measured) + len(result.left_out) == 2
    for point in result.points["membership"]:
        assert point["x"] == 13 and set(point["measure"]) >= {"core_ms_per_s", "memory_bytes", "bytes_per_s"}
        # A node sends two pings and two acks per second, each a header without state updates while quiet.
        assert 2.0 < point["measure"]["messages_per_s"] < 40.0
        each = point["measure"]["bytes_per_s"] / point["measure"]["messages_per_s"]
        assert 20.0 < each < 1_200.0
    # By this rule, a real member that still forwards what it learnt when it joined counts as "joined".
    quiet = [point["measure"]["bytes_per_s"] for point in measured]
    found = [(duty, row) for duty in result.points for row in result.points[duty] if row["source"] == "real"]
    assert len(found) == 1
    duty, real = found[0]
    recently_joined = not quiet or real["measure"]["bytes_per_s"] > JOINED_TRAFFIC_RATIO * fmean(quiet)
    assert duty == ("joined" if recently_joined else "membership")
    assert real["measure"]["memory_bytes"] > 100_000
    assert {row["membership"] for row in result.calls} == {"with", "without"}
    assert all(row["answered"] > 20 and row["other"] == 0 for row in result.calls)
    assert any(text.startswith("membership 13 real") for text in printed) is (duty == "membership")
    assert page(record).startswith("<!doctype html>")


def test_stopped_simulated_node_is_noticed_and_rejoins(tmp_path: Path) -> None:
    async def work() -> None:
        fleet = Fleet(TARGET.topology, 2, places(TARGET.topology, 8))
        try:
            await fleet.start()
            idle = await fleet.read()
            assert [reading.nodes for reading in idle] == [0, 0] and core_ms(fleet.workers[0].pid) > 0.0
            await fleet.enable_duty("membership")
            stopped = fleet.workers[1].names[0]

            async def alive(number: int) -> None:
                while True:
                    views = [
                        view.split()[1] for reply in await fleet.ask_all("look") for view in reply["views"]
                    ]
                    if set(views) == {str(number)}:
                        return
                    await asyncio.sleep(0.05)

            async with asyncio.timeout(20.0):
                await alive(8)
                await fleet.ask_nodes("end", [stopped], in_order=True)
                await alive(7)
                join = [fleet.addresses[fleet.workers[0].names[0]]]
                await fleet.ask_nodes("start", [stopped], settings={"join": join})
                await alive(8)
            read = await fleet.read()
            sent = sum(reading.counts["bytes"] for reading in read)
            received = sum(reading.counts["bytes_in"] for reading in read)
            # Each byte sent by one is received by another, except for datagrams in transit.
            assert 0.8 * sent < received < 1.1 * sent
        finally:
            await fleet.close()

    before = _children()
    uvloop.run(work())
    assert _children() <= before


def test_simulated_follower_applies_published_documents() -> None:
    async def work() -> None:
        config = FeedConfig("c", "p", role="publisher", region="north", listen="127.0.0.1:0")
        hub = FeedTransport(config, lambda document: None, on_publish=lambda link, asked: None)
        nodes = [SimulatedFollower(place, RegionPartition([0])) for place in places(TARGET.topology, 3)]
        try:
            upstreams = [[await hub.listen(), "p"]]
            hub.start()
            for node in nodes:
                await node.start({"cluster": "c", "region": "north", "upstreams": upstreams})

            async def wait_for_summary(text: str) -> None:
                while {node.view_summary() for node in nodes} != {text}:
                    await asyncio.sleep(0.01)

            async with asyncio.timeout(20.0):
                await wait_for_summary("1 0")
                for version in (1, 2):
                    body = b"x" * 2_000 * version
                    hub.announce(make_document("all", 1, version, body, author="a", reason="r", writer="p"))
                    await wait_for_summary(f"1 {version}")
            for node in nodes:
                counts = node.counts()
                assert counts["documents"] == 2 and counts["bytes_in"] > 6_000 > counts["bytes"] > 0
        finally:
            for node in nodes:
                await node.end(False)
            await hub.close()

    asyncio.run(work())
