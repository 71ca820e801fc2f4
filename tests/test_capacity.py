"""The page of the size that is coming: its numbers, where they are from, what it says when records part."""

from __future__ import annotations

import json
import math
import random
import re
import shutil
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest

from fawngw.cli.main import main
from fawngw.decide.fleet import Fleet
from fawngw.interface import ListKind, ServerEntry, ServerList, Settings
from fawngw.lab.capacity import backing, connections, lines, machines, page, ranking, records, roles, tables
from fawngw.lab.capacity.demand import Demand
from fawngw.lab.capacity.figures import Figure, Origin
from fawngw.lab.scale.target import Target, load

DOCS = Path(__file__).parent.parent / "docs"
SIZES = (50, 200, 400, 790, 1580)
HEAD = {"schema": 1, "revision": "0123456789abcdef", "at": "2026-01-02T03:04:05", "cores": 8, "seed": 1}
ORIGIN = Origin("assumed", "made up", "a test")
NOTHING_BUILT = ("members",)


def figure(mid: float, unit: str = "") -> Figure:
    return Figure(mid, mid, mid, unit, (ORIGIN,))


def duty(unit: str, xs: tuple[float, ...], lines: dict[str, tuple[float, float]]) -> dict[str, Any]:
    """A duty whose costs lie near a line: by turns a thousandth of the intercept above and below it."""
    points, fits = [], {}
    for i, x in enumerate(xs):
        off = 1.0 + (0.001 if i % 2 else -0.001)
        measure = {name: (a * off + b * x) for name, (a, b) in lines.items()}
        points.append({"x": x, "source": "hollow", "seconds": 20.0, "measure": measure})
    for name, (a, b) in lines.items():
        fits[name] = {"intercept": [a, a, a], "slope": [b, b, b], "form": "linear", "source": "hollow"}
    return {"about": "", "unit": unit, "points": points, "fits": fits, "agreement": []}


def slopes() -> dict[str, Any]:
    """A record of slopes as a run would write it, of made-up costs."""
    idle = {"core_ms_per_s": (1.0, 0.0), "memory_bytes": (25e6, 0.0), "bytes_per_s": (1.0, 0.0)}
    member = {"core_ms_per_s": (2.0, 0.001), "memory_bytes": (1e6, 1000.0), "bytes_per_s": (400.0, 0.5)}
    duties = {
        "idle": duty("member", SIZES, idle),
        "membership": duty("member", SIZES, member | {"messages_per_s": (8.0, 0.001)}),
    }
    zone = {"kind": "zone", "members": 790, "source": "hollow", "messages": 12345, "settled_s": 7.7}
    troubles = [{**zone, "bytes_per_member": 6543.0, "lost": "nothing at all", "speed": 1.0}]
    return {**HEAD, "command": "crowpost lab scale", "duties": duties, "troubles": troubles}


def overhead() -> dict[str, Any]:
    run = {
        "version": "now",
        "servers": 10,
        "rate": 41,
        "chain": 1,
        "loop": "open",
        "callers": 4,
        "requests": 999,
    }
    added = {"p50_ms": 0.25, "p90_ms": 0.4, "p99_ms": 0.75, "p999_ms": 2.0}
    more = {
        "direct": added,
        "through": added,
        "added": added,
        "machine_moves": {"p50_ms": 0.1, "p99_ms": 0.2},
    }
    return {**HEAD, "runs": [run | more | {"core_us_per_request": 300.0, "requests_per_s": 41.0}]}


def feed(worst: float = 4.5, unreached: int = 0) -> dict[str, Any]:
    one = {"case": "calm", "nodes": 790, "source": "simulated", "node_bytes_per_s": 111.0}
    more = {"node_core_percent": None, "relay_bytes_per_s": 2e4, "publisher_bytes_per_s": 3e3}
    force = {"p50": 0.3, "p99": 0.9, "worst": worst}
    runs = [one | more | {"seed": s, "in_force_s": force, "unreached": unreached} for s in (1, 2)]
    return {**HEAD, "runs": runs}


@pytest.fixture
def docs(tmp_path: Path) -> Path:
    """A folder with the committed assumptions and a record of each kind."""
    folder = tmp_path / "docs"
    (folder / "capacity").mkdir(parents=True)
    shutil.copy(DOCS / "capacity" / "assumed.toml", folder / "capacity" / "assumed.toml")
    for name, record in (("slopes", slopes()), ("overhead", overhead()), ("feed", feed())):
        keep(folder, name, record)
    return folder


def keep(folder: Path, name: str, record: dict[str, Any]) -> None:
    (folder / "capacity" / f"{name}.json").write_text(json.dumps(record))


def command(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["crowpost", "lab", "capacity", *arguments])
    with pytest.raises(SystemExit) as ended:
        main()
    return int(ended.value.code or 0)


def with_(target: Target, **keys: Any) -> Target:
    return replace(target, target=replace(target.target, **keys))


# ------------------------------------------------------------ what is committed


def test_the_committed_page_is_what_the_committed_records_give() -> None:
    assert page.check(DOCS, load()) == []


def test_the_page_is_short_enough_to_be_read() -> None:
    text = (DOCS / page.PAGE).read_text()
    assert len(text.splitlines()) <= 250


def test_the_template_holds_no_number() -> None:
    prose = re.sub(r"\{\{.*?\}\}|\{%.*?%\}|\{#.*?#\}", "", page.template(), flags=re.DOTALL)
    assert [line for line in prose.splitlines() if re.search(r"\d", line)] == []


def sources_hold(text: str) -> None:
    """Each row of a table with a number in it names an entry, and each that is named is listed."""
    body, listed = text.split("## Sources")
    known = {
        t
        for tags in re.findall(r"^\| ([TRAC][TRAC\d ]*) \|", listed, flags=re.MULTILINE)
        for t in tags.split()
    }
    rows = [line.strip("| ").split(" | ") for line in body.splitlines() if line.startswith("|")]
    tagged, tag = 0, r"[TRAC]\d*(?:-[TRAC]\d+)?"
    for row in rows:
        if row[-1] == "from" or set(row) == {"---"}:
            continue
        if any(re.search(r"(?<![A-Za-z])\d", re.sub(r"issue \d+|\([^()]*\)", "", cell)) for cell in row[:-1]):
            assert re.fullmatch(rf"{tag}(?: {tag})*", row[-1]) or re.search(rf"\({tag}", " ".join(row)), row
            tagged += 1
    assert tagged > 40
    groups = [row[-1] for row in rows] + re.findall(r"\(([^()]*)\)", body)
    named = {end for g in groups if re.fullmatch(rf"{tag}(?: {tag})*", g) for end in re.split("[ -]", g)}
    assert named <= known and len(named) > 20


def test_every_figure_names_an_entry_that_is_listed(docs: Path) -> None:
    sources_hold(page.render(load(), records.read(docs / "capacity"))[0])
    sources_hold((DOCS / page.PAGE).read_text())


# ------------------------------------------------------------ writing and checking


def test_write_and_check_agree_and_print_shows_the_same(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    where = ("--docs", str(docs))
    assert command(monkeypatch, *where, "--check") == 1
    assert "is not there" in capsys.readouterr().err
    assert command(monkeypatch, *where, "--write") == 0
    assert command(monkeypatch, *where, "--check") == 0
    capsys.readouterr()
    assert command(monkeypatch, *where) == 0
    assert capsys.readouterr().out == (docs / page.PAGE).read_text()
    assert command(monkeypatch, *where, "--check", "--write") == 2


def test_check_names_each_line_of_the_page_that_was_changed(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    written = page.write(docs, load())
    lines = written.read_text().splitlines()
    changed = [i for i, line in enumerate(lines) if line.startswith(("| membership |", "| a zone |"))][:2]
    for i in changed:
        lines[i] = re.sub(r"\d", "9", lines[i], count=3)
    written.write_text("\n".join(lines) + "\n")
    assert command(monkeypatch, "--docs", str(docs), "--check") == 1
    told = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[0] for line in told] == [f"{written}:{i + 1}" for i in changed]


def test_check_tells_a_record_that_has_changed_behind_the_page(docs: Path) -> None:
    page.write(docs, load())
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (500.0, 0.5)})
    keep(docs, "slopes", record)
    assert any("membership" in line and "CAPACITY.md:" in line for line in page.check(docs, load()))
    (docs / "capacity" / "overhead.json").unlink()
    assert any("not measured" in line for line in page.check(docs, load()))


def test_a_cut_page_is_told(docs: Path) -> None:
    written = page.write(docs, load())
    written.write_text(written.read_text().rstrip("\n"))
    assert page.check(docs, load()) == [f"{written}: its end"]
    whole = page.render(load(), records.read(docs / "capacity"))[0].splitlines()
    written.write_text("\n".join(whole[:-1]) + "\n")
    assert len(page.check(docs, load())) == 1


def broken(record: dict[str, Any], where: str) -> dict[str, Any]:
    member = record["duties"]["membership"]
    if where == "revision":
        record["revision"] = ""
    elif where == "command":
        record["command"] = ""
    elif where == "points":
        member["points"] = member["points"][:2]
    elif where == "seconds":
        member["points"][0]["seconds"] = 0.0
    elif where == "source":
        member["points"][0]["source"] = "guessed"
    elif where == "fit":
        member["fits"]["bytes_per_s"]["slope"] = [0.6, 0.6, 0.6]
    elif where == "form":
        member["fits"]["bytes_per_s"]["form"] = "cubic"
    elif where == "trouble":
        record["troubles"][0]["source"] = ""
    return record


@pytest.mark.parametrize(
    ("where", "told"),
    [
        ("revision", "names no revision or date"),
        ("command", "names no command"),
        ("points", "has 2 points of hollow behind it"),
        ("seconds", "the point at 50 has no source or no seconds"),
        ("source", "the point at 50 has no source or no seconds"),
        ("fit", "the fit of bytes_per_s is not what its points give"),
        ("form", "bytes_per_s as cubic: no such form"),
        ("trouble", "trouble zone: no source or no members"),
    ],
)
def test_a_figure_without_a_run_behind_it_is_told_and_not_written(docs: Path, where: str, told: str) -> None:
    assert backing.unbacked(records.read(docs / "capacity")) == []
    keep(docs, "slopes", broken(slopes(), where))
    assert any(told in line for line in backing.unbacked(records.read(docs / "capacity")))
    with pytest.raises(
        records.RecordError, match=re.escape(told.split("behind")[0].split(" is not")[0][:20])
    ):
        page.write(docs, load())
    assert not (docs / page.PAGE).exists()


def test_runs_of_calls_and_of_the_feed_must_have_been_made(docs: Path) -> None:
    none, nobody = overhead(), feed()
    none["runs"][0]["requests"] = 0
    nobody["runs"][1]["source"] = ""
    nobody |= {"revision": "", "at": ""}
    nobody["runs"][1] |= {"revision": "abc", "at": "2026-01-02"}
    keep(docs, "overhead", none)
    keep(docs, "feed", nobody)
    assert backing.unbacked(records.read(docs / "capacity")) == [
        "overhead.json, run 0: no requests were made",
        "feed.json, run 0: names no revision or date",
        "feed.json, run 1: no source or no nodes",
    ]


def test_an_assumption_needs_a_source_and_a_use(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = docs / "capacity" / "assumed.toml"
    whole = file.read_text()
    file.write_text(whole + '\n[of_no_use]\nvalue = 1.0\nunit = ""\nsource = "a test"\n')
    assert "assumed.toml: no figure uses of_no_use" in page.check(docs, load())
    for wrong, told in (
        (re.sub(r'(\[part_node\][^[]*source = )"[^"]*"', r'\g<1>""', whole), "part_node.source: is missing"),
        (whole.replace("value = 4.0", 'value = "four"'), "value: a number"),
        (whole.replace("[part_node]", "[part_nodes]"), "part_node is missing"),
        ("[", "assumed.toml"),
    ):
        assert wrong != whole
        file.write_text(wrong)
        assert command(monkeypatch, "--docs", str(docs)) == 2
        said = capsys.readouterr().err
        assert told in said and said.count("\n") == 1


@pytest.mark.parametrize("text", ["", "[]", '{"schema": 1}', '{"schema": 1, "revision": 3, "at": ""}'])
def test_a_record_that_cannot_be_read_is_one_line(
    docs: Path, text: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (docs / "capacity" / "slopes.json").write_text(text)
    assert command(monkeypatch, "--docs", str(docs), "--check") == 2
    said = capsys.readouterr().err
    assert "slopes.json: " in said and said.count("\n") == 1


def test_what_is_not_recorded_reads_so_and_its_sums_are_bounds(docs: Path) -> None:
    for name in ("slopes", "overhead", "feed"):
        (docs / "capacity" / f"{name}.json").unlink()
    text = page.render(load(), records.read(docs / "capacity"), NOTHING_BUILT)[0]
    row = next(line for line in text.splitlines() if line.startswith("| membership | "))
    assert row.split(" | ")[1:3] == ["not measured", "not measured"] and "779 B/s" in row
    left = next(line for line in text.splitlines() if line.startswith("| **left** | "))
    assert left.count("at most") == 3
    assert "R1" not in text


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
    fleet = Fleet(Settings(classes=(connections.CLASS,)), random.Random(2))
    fleet.take(ServerList(ListKind.FULL, tuple(ServerEntry(b"s%d" % i) for i in range(servers))))
    met = []
    for place in range(nodes):
        fleet.follow_nodes(nodes, place)
        met.append(servers if fleet.home is None else len(fleet.home))
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


# ------------------------------------------------------------ what happens


def cells(text: str, start: str) -> list[str]:
    return (
        next(line for line in text.splitlines() if line.startswith(f"| {start} |")).strip("| ").split(" | ")
    )


def test_changes_failures_and_calls_are_the_targets_and_the_records(docs: Path) -> None:
    text = page.render(load(), records.read(docs / "capacity"), ("members", "feed"))[0]
    large = cells(text, "one large")
    assert large[1] == "200 kB" and large[3] == "20.0 s" and large[5] == "no"
    assert cells(text, "a burst of small")[1] == "230 kB"
    zone = cells(text, "a zone")
    assert zone[1:6] == ["3 a year", "113", "12,345", "6.54 kB", "7.70 s"] and re.search(r"R\d", zone[-1])
    assert "a zone, as played: nothing at all" in text
    assert cells(text, "a machine")[3] == "not measured" and cells(text, "a machine")[5] == "8.30 s"
    hop = cells(text, "1 node in a row, 10 servers, open")
    assert hop[1:5] == ["0.250 ms", "0.750 ms", "300 us", "1.22%"]
    deep = next(line for line in text.splitlines() if line.startswith("| ... times the depth"))
    assert "| 6.25 ms | 18.8 ms |" in deep
    assert cells(text, "calm, 790, simulated")[3] == "4.50 s"
    assert "Without `fawngw/feed` the same rule names **configuration to all nodes** first" in text


def test_a_chain_that_was_run_needs_no_multiple(docs: Path) -> None:
    record = overhead()
    record["runs"].append(record["runs"][0] | {"chain": 25, "added": {"p50_ms": 5.0, "p99_ms": 11.0}})
    keep(docs, "overhead", record)
    text = page.render(load(), records.read(docs / "capacity"), NOTHING_BUILT)[0]
    assert "times the depth" not in text
    assert cells(text, "25 nodes in a row, 10 servers, open")[1:3] == ["5 ms", "11 ms"]


def test_a_larger_target_changes_the_page(docs: Path) -> None:
    page.write(docs, load())
    found = page.check(docs, with_(load(), servers=800))
    assert any("800" in line for line in found)
