"""Tests of the capacity page: its content, its sources and the check against its records."""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import Any

import pytest

from crowpost.cli.main import main
from crowpost.lab.capacity import page, records, validation
from crowpost.lab.scale.target import load
from tests.capacity_records import (
    DOCS,
    ONLY_MEMBERSHIP,
    SIZES,
    duty,
    feed,
    make_docs,
    overhead,
    slopes,
    with_target,
    write_record,
)


@pytest.fixture
def docs(tmp_path: Path) -> Path:
    return make_docs(tmp_path)


def run_command(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["crowpost", "lab", "capacity", *arguments])
    with pytest.raises(SystemExit) as exit_info:
        main()
    return int(exit_info.value.code or 0)


# ------------------------------------------------------------ committed files


def test_committed_page_matches_the_committed_records() -> None:
    assert page.check(DOCS, load()) == []


def test_page_has_at_most_250_lines() -> None:
    text = (DOCS / page.PAGE).read_text()
    assert len(text.splitlines()) <= 250


def test_template_prose_has_no_number() -> None:
    prose = re.sub(r"\{\{.*?\}\}|\{%.*?%\}|\{#.*?#\}", "", page.template(), flags=re.DOTALL)
    assert [line for line in prose.splitlines() if re.search(r"\d", line)] == []


def assert_sources_listed(text: str) -> None:
    """Assert that each table row with a number names a source, and that each named source is listed."""
    body, listed = text.split("## Sources")
    known = {
        tag_text
        for tags in re.findall(r"^\| ([TRAC][TRAC\d ]*) \|", listed, flags=re.MULTILINE)
        for tag_text in tags.split()
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
    named = {
        name
        for group in groups
        if re.fullmatch(rf"{tag}(?: {tag})*", group)
        for name in re.split("[ -]", group)
    }
    assert named <= known and len(named) > 20


def test_every_figure_names_a_listed_source(docs: Path) -> None:
    assert_sources_listed(page.render(load(), records.read(docs / "capacity"))[0])
    assert_sources_listed((DOCS / page.PAGE).read_text())


# ------------------------------------------------------------ writing and checking


def test_check_accepts_the_written_page_which_equals_the_printed_one(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    where = ("--docs", str(docs))
    assert run_command(monkeypatch, *where, "--check") == 1
    assert "does not exist; --write creates it" in capsys.readouterr().err
    assert run_command(monkeypatch, *where, "--write") == 0
    assert run_command(monkeypatch, *where, "--check") == 0
    capsys.readouterr()
    assert run_command(monkeypatch, *where) == 0
    assert capsys.readouterr().out == (docs / page.PAGE).read_text()
    assert run_command(monkeypatch, *where, "--check", "--write") == 2


def test_check_reports_each_changed_line(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    written = page.write(docs, load())
    lines = written.read_text().splitlines()
    changed = [
        index for index, line in enumerate(lines) if line.startswith(("| membership |", "| a zone |"))
    ][:2]
    for index in changed:
        lines[index] = re.sub(r"\d", "9", lines[index], count=3)
    written.write_text("\n".join(lines) + "\n")
    assert run_command(monkeypatch, "--docs", str(docs), "--check") == 1
    reported = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[0] for line in reported] == [f"{written}:{index + 1}" for index in changed]


def test_check_reports_a_record_changed_after_the_page(docs: Path) -> None:
    page.write(docs, load())
    record = slopes()
    record["duties"]["membership"] = duty("member", SIZES, {"bytes_per_s": (500.0, 0.5)})
    write_record(docs, "slopes", record)
    assert any("membership" in line and "CAPACITY.md:" in line for line in page.check(docs, load()))
    (docs / "capacity" / "overhead.json").unlink()
    assert any("not measured" in line for line in page.check(docs, load()))


def test_check_reports_a_truncated_page(docs: Path) -> None:
    written = page.write(docs, load())
    written.write_text(written.read_text().rstrip("\n"))
    assert page.check(docs, load()) == [f"{written}: differs at its end"]
    page_lines = page.render(load(), records.read(docs / "capacity"))[0].splitlines()
    written.write_text("\n".join(page_lines[:-1]) + "\n")
    assert len(page.check(docs, load())) == 1


def with_fault(record: dict[str, Any], where: str) -> dict[str, Any]:
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
    ("where", "reported"),
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
def test_an_entry_without_a_run_is_reported_and_prevents_writing(
    docs: Path, where: str, reported: str
) -> None:
    assert validation.unsupported_entries(records.read(docs / "capacity")) == []
    write_record(docs, "slopes", with_fault(slopes(), where))
    assert any(reported in line for line in validation.unsupported_entries(records.read(docs / "capacity")))
    with pytest.raises(
        records.RecordError, match=re.escape(reported.split("behind")[0].split(" is not")[0][:20])
    ):
        page.write(docs, load())
    assert not (docs / page.PAGE).exists()


def test_overhead_and_feed_runs_without_data_are_reported(docs: Path) -> None:
    no_requests, no_source = overhead(), feed()
    no_requests["runs"][0]["requests"] = 0
    no_source["runs"][1]["source"] = ""
    no_source |= {"revision": "", "at": ""}
    no_source["runs"][1] |= {"revision": "abc", "at": "2026-01-02"}
    write_record(docs, "overhead", no_requests)
    write_record(docs, "feed", no_source)
    assert validation.unsupported_entries(records.read(docs / "capacity")) == [
        "overhead.json, run 0: no requests were made",
        "feed.json, run 0 (simulated, calm, 790): names no revision",
        "feed.json, run 1: no source or no nodes",
    ]


def test_an_assumption_needs_a_source_and_a_figure_that_uses_it(
    docs: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file = docs / "capacity" / "assumed.toml"
    whole = file.read_text()
    file.write_text(whole + '\n[of_no_use]\nvalue = 1.0\nunit = ""\nsource = "a test"\n')
    assert "assumed.toml: no figure uses of_no_use" in page.check(docs, load())
    for wrong, reported in (
        (re.sub(r'(\[part_node\][^[]*source = )"[^"]*"', r'\g<1>""', whole), "part_node.source: is missing"),
        (whole.replace("value = 20000.0", 'value = "many"'), "value: a number"),
        (whole.replace("[part_node]", "[part_nodes]"), "part_node is missing"),
        ("[", "assumed.toml"),
    ):
        assert wrong != whole
        file.write_text(wrong)
        assert run_command(monkeypatch, "--docs", str(docs)) == 2
        stderr = capsys.readouterr().err
        assert reported in stderr and stderr.count("\n") == 1


@pytest.mark.parametrize("text", ["", "[]", '{"schema": 1}', '{"schema": 1, "revision": 3, "at": ""}'])
def test_an_unreadable_record_gives_a_one_line_error(
    docs: Path, text: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (docs / "capacity" / "slopes.json").write_text(text)
    assert run_command(monkeypatch, "--docs", str(docs), "--check") == 2
    stderr = capsys.readouterr().err
    assert "slopes.json: " in stderr and stderr.count("\n") == 1


def test_missing_records_show_as_not_measured_and_sums_as_bounds(docs: Path) -> None:
    for name in ("slopes", "overhead", "feed"):
        (docs / "capacity" / f"{name}.json").unlink()
    text = page.render(load(), records.read(docs / "capacity"), ONLY_MEMBERSHIP)[0]
    row = next(line for line in text.splitlines() if line.startswith("| membership | "))
    assert row.split(" | ")[1:3] == ["not measured", "not measured"] and "779 B/s" in row
    left = next(line for line in text.splitlines() if line.startswith("| **left** | "))
    assert left.count("at most") == 3
    assert "R1" not in text


# ------------------------------------------------------------ events


def cells(text: str, start: str) -> list[str]:
    return (
        next(line for line in text.splitlines() if line.startswith(f"| {start} |")).strip("| ").split(" | ")
    )


def test_changes_failures_and_calls_follow_target_and_records(docs: Path) -> None:
    text = page.render(load(), records.read(docs / "capacity"), ("members", "feed"))[0]
    large = cells(text, "one large")
    assert large[1] == "200 kB" and large[3] == "20.0 s" and large[5] == "no"
    assert cells(text, "a burst of small")[1] == "230 kB"
    zone = cells(text, "a zone")
    assert zone[1:6] == ["3 a year", "113", "12,345", "6.54 kB", "7.70 s"] and re.search(r"R\d", zone[-1])
    assert "As played: a zone: nothing at all." in text
    assert cells(text, "a machine")[3] == "not measured" and cells(text, "a machine")[5] == "8.30 s"
    hop = cells(text, "1 node in a row, 10 servers, open")
    assert hop[1:5] == ["0.250 ms", "0.750 ms", "300 us", "1.22%"]
    deep = next(line for line in text.splitlines() if line.startswith("| ... times the depth"))
    assert "| 6.25 ms | 18.8 ms |" in deep
    assert cells(text, "calm, 790, simulated")[3] == "4.50 s"
    assert "Without `crowpost/config_feed` the same rule names **configuration to all nodes** first" in text


def test_a_measured_chain_is_shown_instead_of_a_multiple_of_one_node(docs: Path) -> None:
    record = overhead()
    record["runs"].append(record["runs"][0] | {"chain": 25, "added": {"p50_ms": 5.0, "p99_ms": 11.0}})
    write_record(docs, "overhead", record)
    text = page.render(load(), records.read(docs / "capacity"), ONLY_MEMBERSHIP)[0]
    assert "times the depth" not in text
    assert cells(text, "25 nodes in a row, 10 servers, open")[1:3] == ["5 ms", "11 ms"]


def test_a_larger_target_changes_the_page(docs: Path) -> None:
    page.write(docs, load())
    found = page.check(docs, with_target(load(), servers=800))
    assert any("800" in line for line in found)


def test_page_shows_the_slowest_other_feed_case_and_names_the_most_expensive(docs: Path) -> None:
    record = feed()
    calm = record["runs"][0]
    for case, worst, byte_rate in (("cut", 2.0, 10.0), ("relay-dies", 3.0, 9000.0), ("burst", 1.0, 20.0)):
        in_force = {"p50": 0.1, "p99": 0.2, "worst": worst}
        record["runs"].append(calm | {"case": case, "in_force_s": in_force, "node_bytes_per_s": byte_rate})
    real = {"nodes": 60, "source": "real", "node_core_percent": 0.5}
    record["runs"].append(calm | real)
    write_record(docs, "feed", record)
    text = page.render(load(), records.read(docs / "capacity"), ("members", "feed"))[0]
    assert "| relay-dies, 790, simulated |" in text and "| cut, 790, simulated |" not in text
    assert cells(text, "calm, 60, real")[7] == "0.500%"
    assert "a node took 9 kB/s" in text and "more than the part that it is to keep to, 3.33 kB/s" in text
    # The core time of a real node is used at the target's size, and marked as extrapolated with a star.
    assert cells(text, "configuration")[2] == "0.500% *"
