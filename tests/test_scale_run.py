"""The scale run: its file, its fits, its record, and a tiny run of hollow and real processes."""

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
from crowpost.lab.scale.changes import without_joiners
from crowpost.lab.scale.fit import line, mean
from crowpost.lab.scale.fleet import Fleet, Reading
from crowpost.lab.scale.follow import HollowFollower
from crowpost.lab.scale.hollow import Cut, _Gate
from crowpost.lab.scale.page import page
from crowpost.lab.scale.places import places, zone_of
from crowpost.lab.scale.proc import check_descriptors, check_machine, core_ms
from crowpost.lab.scale.run import Choice
from crowpost.lab.scale.slopes import FRESH, Piece, Setting, by_size, check, unfit
from crowpost.lab.scale.target import KINDS, ScaleError, Trouble, load
from crowpost.lab.scale.troubles import plan
from tests.test_cli import crowpost

TARGET = load()
SHIPPED = (Path(records.__file__).parent / "target.toml").read_text()

# ------------------------------------------------------------ the file


def test_the_shipped_file_is_the_size_that_is_coming() -> None:
    size = TARGET.target
    assert (size.servers, size.services, size.regions, size.zones) == (790, 76, 2, 7)
    assert (size.calls_per_s, size.depth, size.changes_per_day) == (32_000.0, 25, 3_200.0)
    assert (size.node_budget.core_percent, size.node_budget.memory_mb) == (2.1, 64.0)
    assert len(TARGET.run.sizes) >= 4 and len(TARGET.run.rates) >= 4 and 790 in TARGET.run.sizes
    assert {t.kind for t in TARGET.troubles} == set(KINDS)
    assert TARGET.short.workers == TARGET.run.workers and TARGET.short.sizes != TARGET.run.sizes


@pytest.mark.parametrize(
    ("old", "new", "said"),
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
def test_a_typo_is_one_line(old: str, new: str, said: str, tmp_path: Path) -> None:
    assert old in SHIPPED
    file = tmp_path / "t.toml"
    file.write_text(SHIPPED.replace(old, new, 1))
    with pytest.raises(ScaleError) as found:
        load(str(file))
    assert str(found.value).startswith(f"{file}: ") and said in str(found.value)
    assert "\n" not in str(found.value)


def test_the_command_refuses_in_one_line_and_exit_code_2(tmp_path: Path) -> None:
    file = tmp_path / "t.toml"
    file.write_text(SHIPPED.replace("servers = 790", "servrs = 790", 1))
    done = crowpost("lab", "scale", "--target", str(file))
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr.startswith(f"crowpost: {file}: target.servrs: no such key; known are servers, ")
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("choice", "said"),
    [
        (Choice(duties=("membrship",)), "--duties: 'membrship' is none of idle, membership"),
        (Choice(troubles=("flood",)), "--troubles: 'flood' is none of machine, rack"),
    ],
)
def test_a_choice_that_there_is_not_is_one_line(choice: Choice, said: str) -> None:
    with pytest.raises(ScaleError, match=said):
        choice.check()


# ------------------------------------------------------------ fits


def test_a_line_has_the_intervals_of_the_textbook() -> None:
    x = [50.0, 50.0, 200.0, 200.0, 400.0, 400.0, 790.0, 790.0]
    y = [1.1, 1.3, 1.9, 2.2, 3.3, 2.9, 5.2, 5.0]
    found, known = line(x, y), stats.linregress(x, y)
    wide = stats.t.ppf(0.975, len(x) - 2)
    slope = [known.slope, known.slope - wide * known.stderr, known.slope + wide * known.stderr]
    assert found["slope"] == pytest.approx(slope)
    start = known.intercept, wide * known.intercept_stderr
    assert found["intercept"] == pytest.approx([start[0], start[0] - start[1], start[0] + start[1]])
    residuals = [b - known.intercept - known.slope * a for a, b in zip(x, y, strict=True)]
    assert found["residuals"] == pytest.approx(residuals)
    assert found["linear"] and found["form"] == "linear"


def test_intervals_hold_the_truth_about_as_often_as_they_say() -> None:
    rng = np.random.default_rng(7)
    x = np.repeat([50.0, 200.0, 400.0, 790.0], 3)
    hits = 0
    for _ in range(400):
        low, high = line(x.tolist(), (1.0 + 0.002 * x + rng.normal(0.0, 0.2, len(x))).tolist())["slope"][1:]
        hits += low <= 0.002 <= high
    assert 370 <= hits <= 390  # 95% of 400; the seed is fixed


def test_points_on_a_line_leave_nothing() -> None:
    found = line([1.0, 2.0, 3.0, 4.0], [3.0, 5.0, 7.0, 9.0])
    assert found["slope"] == pytest.approx([2.0, 2.0, 2.0]) and found["linear"]
    assert found["residuals"] == pytest.approx([0.0] * 4)


@pytest.mark.parametrize(("form", "curve"), [("log", np.log), ("power", np.sqrt)])
@pytest.mark.parametrize("repeats", [1, 3])
def test_a_curve_is_not_called_a_line(form: str, curve: Any, repeats: int) -> None:
    rng = np.random.default_rng(3)
    x = np.repeat([25.0, 50.0, 100.0, 200.0, 400.0, 790.0, 1580.0], repeats)
    found = line(x.tolist(), (curve(x) * (1.0 + rng.normal(0.0, 0.003, len(x)))).tolist())
    assert not found["linear"] and found["form"] == form
    assert found["lack_of_fit_p"] < 0.05


def test_a_budget_that_is_used_up_is_not_called_a_line() -> None:
    x = np.repeat([0.0, 1.0, 2.0, 3.0, 4.0], 2)
    found = line(x.tolist(), (np.minimum(x, 1.5) + np.tile([0.0, 0.01], 5)).tolist())
    assert not found["linear"] and found["form"] == "other"


def test_what_cannot_be_fitted_is_said() -> None:
    for x, y in (([1.0, 2.0], [1.0, 2.0]), ([1.0, 1.0, 1.0], [1.0, 2.0, 3.0])):
        with pytest.raises(ValueError, match="three points, at two values"):
            line(x, y)


def test_a_mean_has_students_interval() -> None:
    assert mean([1.0, 2.0, 3.0]) == pytest.approx([2.0, 2.0 - 2.484138, 2.0 + 2.484138], abs=1e-5)
    assert mean([1.0])[0] == 1.0 and np.isnan(mean([1.0])[1])


# ------------------------------------------------------------ records


LATE = {"duty": "membership", "source": "hollow", "why": "late"}


def _piece(hollow: float, real: float) -> Piece:
    piece = Piece()
    for x in (50.0, 200.0, 400.0, 790.0):
        for i in range(3):
            for source, level in (("hollow", hollow), ("real", real)):
                measure = {"core_ms_per_s": level + 0.001 * x + 0.01 * i, "messages_per_s": 4.0 + 0.1 * i}
                piece.point("membership", x, source, f"{source}{i}", 20.0, measure)
    return piece


def test_where_hollow_and_real_differ_the_real_one_is_used() -> None:
    duty = records.build_record(_piece(1.0, 1.6), 1, "c")["duties"]["membership"]
    assert duty["unit"] == "member"
    assert {(r["measure"], r["agree"]) for r in duty["agreement"]} == {
        ("core_ms_per_s", False),
        ("messages_per_s", True),
    }
    assert duty["fits"]["core_ms_per_s"]["source"] == "real"
    assert duty["fits"]["messages_per_s"]["source"] == "hollow"
    assert duty["fits"]["core_ms_per_s"]["slope"][0] == pytest.approx(0.001)
    assert duty["fits"]["core_ms_per_s"]["intercept"][0] == pytest.approx(1.61)
    agreeing = records.build_record(_piece(1.0, 1.005), 1, "c")["duties"]["membership"]
    assert agreeing["fits"]["core_ms_per_s"]["source"] == "hollow"


def test_real_ones_at_one_size_give_the_level_and_hollow_ones_the_slope() -> None:
    piece = _piece(1.0, 1.6)
    rows = piece.points["membership"]
    piece.points["membership"] = [p for p in rows if p["source"] == "hollow" or p["x"] == 50.0]
    fitted = records.build_record(piece, 1, "c")["duties"]["membership"]["fits"]
    core = fitted["core_ms_per_s"]
    assert core["source"] == "hollow, moved to real at 50" and core["moved_by"] == pytest.approx(0.6)
    assert core["slope"][0] == pytest.approx(0.001) and core["intercept"][0] == pytest.approx(1.61)
    assert core["intercept"][1] < 1.61 - 0.02 < 1.61 + 0.02 < core["intercept"][2]
    assert fitted["messages_per_s"]["source"] == "hollow"


def test_hollow_ones_that_were_never_held_against_real_ones_are_not_used() -> None:
    piece = _piece(1.0, 1.6)
    for point in piece.points["membership"]:
        point["x"] += 1.0 if point["source"] == "real" else 0.0
    fits = records.build_record(piece, 1, "c")["duties"]["membership"]["fits"]
    assert {fitted["source"] for fitted in fits.values()} == {"real"}


@pytest.mark.parametrize(("real", "left"), [(210.0, 0), (1_850.0, 6)])
def test_real_nodes_that_have_just_joined_are_left_out(real: float, left: int) -> None:
    piece = Piece()
    for x in (0.0, 1.0):
        for i in range(3):
            piece.point("changes", x, "hollow", f"w{i}", 9.0, {"bytes_per_s": 220.0 + 900.0 * x})
            piece.point("changes", x, "real", f"r{i}", 9.0, {"bytes_per_s": real + 900.0 * x})
    without_joiners(piece, "changes")
    assert len(piece.left_out) == left and len(piece.points["changes"]) == 12 - left


def test_processor_time_is_taken_from_busier_real_ones_rather_than_from_hollow_ones() -> None:
    piece = _piece(1.0, 1.6)
    rows = piece.points["membership"]
    piece.points["membership"] = [p for p in rows if p["source"] == "hollow" or p["x"] == 50.0]
    piece.points["joined"] = [p for p in rows if p["source"] == "real" and p["x"] > 50.0]
    fits = records.build_record(piece, 1, "c")["duties"]["membership"]["fits"]
    assert fits["core_ms_per_s"]["source"] == "real, from 200 on just joined"
    assert fits["core_ms_per_s"]["intercept"][0] == pytest.approx(1.61)
    assert fits["messages_per_s"]["source"] == "hollow"


def test_pieces_are_laid_over_each_other(tmp_path: Path) -> None:
    first = _piece(1.0, 1.0)
    first.left_out.append(
        {"duty": "membership", "x": 400.0, "source": "hollow", "process": "w1", "why": "late"}
    )
    first.left_out.append(
        {"duty": "membership", "x": 50.0, "source": "hollow", "process": "w0", "why": "late"}
    )
    first.troubles.append({"kind": "zone", "source": "hollow", "messages": 1})
    first.calls.append({"duty": "membership", "x": 400.0, "answered": 1})
    path = tmp_path / "record.json"
    records.write(path, records.build_record(first, 1, "one"))
    second = Piece()
    second.point("membership", 50.0, "simulated", "seed 1", 20.0, {"bytes_per_s": 9.0})
    second.point("membership", 400.0, "hollow", "w0", 20.0, {"core_ms_per_s": 9.0})
    second.troubles.append({"kind": "zone", "source": "hollow", "messages": 2})
    both = records.build_record(second, 1, "two", records.read(path))
    points = both["duties"]["membership"]["points"]
    at = [p for p in points if p["x"] == 400.0 and p["source"] == "hollow"]
    assert [p["measure"] for p in at] == [{"core_ms_per_s": 9.0}]
    assert len(points) == 24 - 3 + 1 + 1
    assert len(both["calls"]) == 1  # those of another source stand
    assert [t["messages"] for t in both["troubles"]] == [2]
    assert [r["x"] for r in both["left_out"]] == [50.0]
    assert [r["command"] for r in both["runs"]] == ["one", "two"]
    path.write_text('{"schema": 9}')
    with pytest.raises(ScaleError, match="no record of a scale run"):
        records.read(path)


def test_the_page_shows_each_slope_with_its_points_and_each_trouble() -> None:
    piece = _piece(1.0, 1.6)
    trouble = {"kind": "zone", "members": 14, "source": "hollow", "messages": 7, "bytes_per_member": 3.0}
    trouble |= {"settled_s": 1.5, "lost": "nothing", "speed": 1440.0, "seconds": 9.0}
    trouble |= {"series": [[-1.0, 200.0], [0.5, 900.0]], "series_views": [[0.5, 2], [1.0, 1]]}
    piece.troubles.append(trouble)
    piece.left_out.append({**LATE, "x": 9.0, "process": "w1", "why": "it was late"})
    text = page(records.build_record(piece, 1, "c"))
    assert text.count("<svg") == 3 and "Trouble: zone" in text and "1440 times" in text
    assert "differ by more than their intervals at 50, 200, 400, 790" in text
    assert "left out: membership 9, w1: it was late" in text


# ------------------------------------------------------------ places, troubles, bounds


def test_places_fill_regions_zones_and_racks_evenly() -> None:
    spots = places(TARGET.topology, 790)
    assert len({p.host for p in spots}) == 790 and all(p.host.startswith("127.") for p in spots)
    assert set(Counter(p.zone for p in spots).values()) <= {112, 113}
    assert {p.region for p in spots if p.zone < 4} == {0} and {p.region for p in spots if p.zone >= 4} == {1}
    assert set(Counter((p.zone, p.rack) for p in spots).values()) <= {11, 12}
    assert all(zone_of(p.host) == p.zone for p in spots)


def test_equal_seeds_give_equal_troubles_of_the_right_size() -> None:
    spots = places(TARGET.topology, 790)
    drawn = {t.kind: plan(t, spots, 3, 120.0) for t in TARGET.troubles}
    assert drawn == {t.kind: plan(t, spots, 3, 120.0) for t in TARGET.troubles}
    assert any(plan(t, spots, 4, 120.0) != drawn[t.kind] for t in TARGET.troubles)
    sizes = {kind: len(one.victims) for kind, one in drawn.items()}
    assert sizes["machine"] == 1 and sizes["rack"] in (11, 12) and sizes["zone"] in (112, 113)
    assert (sizes["region_cut"], sizes["replacements"]) == (0, 120)
    day = drawn["replacements"]
    assert day.speed == 86_400.0 / day.trouble.for_s and len(set(day.victims)) == 120
    assert list(day.times) == sorted(day.times) and 0.0 <= day.times[0] <= day.times[-1] <= day.trouble.for_s


def test_a_day_has_more_replacements_by_day_than_by_night() -> None:
    spots = places(TARGET.topology, 3_000)
    times = plan(Trouble("replacements", 5.0, 24.0), spots, 1, 3_000.0).times
    by_day, by_night = (sum(a <= t < a + 6.0 for t in times) for a in (11.0, 23.0 - 24.0))
    assert by_day > 3 * by_night


def test_a_cut_drops_what_goes_to_the_other_region_only() -> None:
    class Wire:
        def __init__(self) -> None:
            self.sent: list[tuple[bytes, tuple[str, int]]] = []

        def sendto(self, data: bytes, address: tuple[str, int]) -> None:
            self.sent.append((data, address))

    wire, cut = Wire(), Cut([0, 0, 0, 0, 1, 1, 1])
    here, there = (f"127.{places(TARGET.topology, 7)[z].host.split('.')[1]}.0.1" for z in (3, 4))
    gate = _Gate(cast(asyncio.DatagramTransport, wire), cut, 0)
    for on in (False, True):
        cut.on = on
        gate.sendto(b"x", (here, 1))
        gate.sendto(b"y", (there, 1))
    assert [data for data, _ in wire.sent] == [b"x", b"y", b"x"]


def test_bounds_are_checked_before_anything_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (1_024, 4_096))
    check_descriptors(100)
    with pytest.raises(ScaleError, match="400 hollow nodes in one process need 1800 descriptors"):
        check_descriptors(400)
    with pytest.raises(ScaleError, match="201 processes, 200 at the most"):
        check_machine(201, 1.0)
    monkeypatch.undo()
    with pytest.raises(ScaleError, match="GB of members' views by estimate, 12 at the most"):
        check(replace(TARGET.run, workers=8), 4_000, 6)


def test_starved_workers_do_not_count() -> None:
    def reading(late: float, slow: int, p99: float) -> Reading:
        return Reading(100, 0.0, 0, {"late": late}, slow, p99, p99, 0.0)

    well = reading(5, 0, 10.0)
    assert unfit(well, reading(6, 1, 40.0)) == ""
    assert "60 ms" in unfit(well, reading(5, 0, 60.0))
    assert unfit(well, reading(9, 0, 1.0)) == "4 timers of 100 members were late"
    assert unfit(well, reading(5, 3, 1.0)) == "3 of 100 members hold themselves slow"


# ------------------------------------------------------------ runs


def test_simulated_regions_are_one_again_after_a_cut() -> None:
    found = simulated.region_cut(TARGET.topology, 14, 20.0, 1)
    assert found["settled_within_s"] and found["settled_within_s"] < 20.0
    assert found["settled_after_s"] and found["messages"] > 0 and found["bytes_per_member"] > 0
    assert found == simulated.region_cut(TARGET.topology, 14, 20.0, 1)


def test_a_simulated_zone_that_is_gone_is_known_to_be() -> None:
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


def test_a_tiny_run_of_hollow_and_real_nodes(tmp_path: Path) -> None:
    before = _children()
    run = replace(TARGET.short, seconds=2.0, settle_s=0.5, workers=2, carriers=1)
    said: list[str] = []
    piece = uvloop.run(by_size(Setting(TARGET, run, 1, tmp_path, said.append), "membership", 13))
    assert _children() <= before
    record = records.build_record(piece, 1, "test")
    measured = [r for r in piece.points["membership"] if r["source"] == "hollow"]
    assert len(measured) + len(piece.left_out) == 2  # a busy machine may starve a worker; it is said then
    for point in piece.points["membership"]:
        assert point["x"] == 13 and set(point["measure"]) >= {"core_ms_per_s", "memory_bytes", "bytes_per_s"}
        # Two probes a second go out, and two answers; each a head and no claims in quiet.
        assert 2.0 < point["measure"]["messages_per_s"] < 40.0
        each = point["measure"]["bytes_per_s"] / point["measure"]["messages_per_s"]
        assert 20.0 < each < 1_200.0
    # A real member that still passes on what it learnt at its start stands under "joined", by this rule.
    quiet = [point["measure"]["bytes_per_s"] for point in measured]
    found = [(duty, r) for duty in piece.points for r in piece.points[duty] if r["source"] == "real"]
    assert len(found) == 1
    duty, real = found[0]
    still_news = not quiet or real["measure"]["bytes_per_s"] > FRESH * fmean(quiet)
    assert duty == ("joined" if still_news else "membership")
    assert real["measure"]["memory_bytes"] > 100_000
    assert {row["membership"] for row in piece.calls} == {"with", "without"}
    assert all(row["answered"] > 20 and row["other"] == 0 for row in piece.calls)
    assert any(text.startswith("membership 13 real") for text in said) is (duty == "membership")
    assert page(record).startswith("<!doctype html>")


def test_hollow_nodes_that_end_are_missed_and_back(tmp_path: Path) -> None:
    async def work() -> None:
        fleet = Fleet(TARGET.topology, 2, places(TARGET.topology, 8))
        try:
            await fleet.start()
            idle = await fleet.read()
            assert [r.nodes for r in idle] == [0, 0] and core_ms(fleet.workers[0].pid) > 0.0
            await fleet.open("membership")
            leaver = fleet.workers[1].names[0]

            async def alive(number: int) -> None:
                while True:
                    views = [v.split()[1] for told in await fleet.all("look") for v in told["views"]]
                    if set(views) == {str(number)}:
                        return
                    await asyncio.sleep(0.05)

            async with asyncio.timeout(20.0):
                await alive(8)
                await fleet.some("end", [leaver], in_order=True)
                await alive(7)
                join = [fleet.addresses[fleet.workers[0].names[0]]]
                await fleet.some("start", [leaver], settings={"join": join})
                await alive(8)
            read = await fleet.read()
            sent = sum(r.counts["bytes"] for r in read)
            taken = sum(r.counts["bytes_in"] for r in read)
            assert 0.8 * sent < taken < 1.1 * sent  # what one sends another takes, but for what is under way
        finally:
            await fleet.close()

    before = _children()
    uvloop.run(work())
    assert _children() <= before


def test_a_hollow_follower_has_in_force_what_is_published() -> None:
    async def work() -> None:
        config = FeedConfig("c", "p", role="publisher", region="north", listen="127.0.0.1:0")
        hub = FeedTransport(config, lambda document: None, on_publish=lambda link, asked: None)
        nodes = [HollowFollower(place, Cut([0])) for place in places(TARGET.topology, 3)]
        try:
            upstreams = [[await hub.listen(), "p"]]
            hub.start()
            for node in nodes:
                await node.start({"cluster": "c", "region": "north", "upstreams": upstreams})

            async def held(text: str) -> None:
                while {node.look() for node in nodes} != {text}:
                    await asyncio.sleep(0.01)

            async with asyncio.timeout(20.0):
                await held("1 0")
                for version in (1, 2):
                    body = b"x" * 2_000 * version
                    hub.announce(make_document("all", 1, version, body, author="a", reason="r", writer="p"))
                    await held(f"1 {version}")
            for node in nodes:
                counts = node.counts()
                assert counts["documents"] == 2 and counts["bytes_in"] > 6_000 > counts["bytes"] > 0
        finally:
            for node in nodes:
                await node.end(False)
            await hub.close()

    asyncio.run(work())
