"""`docs/CAPACITY.md`: rendered from target, records and assumptions, and held against what is committed."""

from __future__ import annotations

from importlib import resources
from itertools import zip_longest
from pathlib import Path
from typing import Any

import jinja2

from crowpost.lab.capacity import backing, events, lines, machines, ranking, records, roles, tables
from crowpost.lab.capacity.demand import Demand
from crowpost.lab.capacity.records import Records
from crowpost.lab.scale.target import Target

PAGE = "CAPACITY.md"
FOLDER = "capacity"
SHOWN = 90  # characters of a line, where page and records part


def template() -> str:
    """The prose of the page; it holds no number."""
    return resources.files("crowpost.lab.capacity").joinpath("page.md.j2").read_text(encoding="utf-8")


def _context(target: Target, read: Records, built: tuple[str, ...] | None) -> tuple[dict[str, Any], Demand]:
    if target.target.machines.set_aside < target.target.zones:
        raise records.RecordError(
            "target.machines.set_aside: fewer than the zones: a relay in each is needed"
        )
    demand, book = Demand(target, read, built), tables.Book()
    duties = ranking.duties(demand)
    node_all, _ = ranking.node_total(demand)
    order = ranking.rank(duties)
    before: list[ranking.Duty] = []
    if "feed" in demand.built:
        without = Demand(target, read, tuple(demand.built - {"feed"}))
        before = ranking.rank(ranking.duties(without))
    alone = events.alone(demand)
    placed = tables.built(demand)
    single = [one.what for one in machines.outlasts(placed, 1) if one.any_gone < 1]
    context = {
        "b": book.inline,
        "confidence": f"{100 * lines.CONFIDENCE:g}%",
        "sources": book.entries,
        "t": {"servers": demand.servers()},
        "budget": demand.budget(),
        "node_all": node_all,
        "least": ["at least " if unknown else "" for unknown in tables.lacking(demand.node())],
        "order": order,
        "feeds": ranking.CONFIGURATION,
        "before": before,
        "calls": demand.calls(),
        "in_force": demand.told(target.target.in_force_s, "in_force_s", "s"),
        "disk": roles.disk(demand, placed, 1.0),
        "floor": tables.floor(demand),
        "alone": alone,
        "lost": events.lost(demand),
        "single": "; ".join(single),
        "apart": _apart(read),
        "curved": _curved(read),
        "unknown": _unknown(demand),
        "node": tables.node(book, demand, duties).markdown(),
        "role": tables.role(book, demand, duties).markdown(),
        "growth": tables.growth(book, demand).markdown(),
        "placed": tables.placed(book, demand).markdown(),
        "outlast": tables.outlast(book, demand).markdown(),
        "ranked": tables.ranked(book, duties).markdown(),
        "overhead": tables.overhead(book, demand).markdown(),
        "wiring": tables.wiring(book, demand).markdown(),
        "changes": events.changes(book, demand).markdown(),
        "dearest": events.dearest(demand),
        "feed": events.feed(book, demand).markdown(),
        "failures": events.failures(book, demand).markdown(),
    }
    return context, demand


def _apart(read: Records) -> str:
    found = []
    for name, duty in (read.slopes.duties if read.slopes else {}).items():
        for one in duty.agreement:
            if not one.agree:
                what = records.MEASURES.get(one.measure, (one.measure,))[0]
                found.append(f"{name}, {what} at {one.x:g} ({duty.unit})")
    return "; ".join(found)


def _curved(read: Records) -> str:
    found = []
    for name, duty in (read.slopes.duties if read.slopes else {}).items():
        for measure, fit in duty.fits.items():
            if measure in records.MEASURES and (not fit.linear or fit.form != "linear"):
                found.append(f"{name}, {records.MEASURES[measure][0]} ({fit.form})")
    return "; ".join(found)


def _unknown(demand: Demand) -> str:
    found = []
    for cost in demand.node():
        names = [n for n, part in zip(tables.COST, cost.parts(), strict=True) if part is None]
        if names:
            found.append(f"{cost.duty} ({', '.join(names)})")
    return "; ".join(found)


def render(target: Target, read: Records, built: tuple[str, ...] | None = None) -> tuple[str, list[str]]:
    """The page, and the assumptions that none of its figures uses.

    built: the packages that stand for mechanisms, by default those of this tree.
    """
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, keep_trailing_newline=True)
    context, demand = _context(target, read, built)
    text = environment.from_string(template()).render(context)
    rows = [row.rstrip() for row in text.splitlines()]
    kept = [row for i, row in enumerate(rows) if row or (i and rows[i - 1])]
    return "\n".join(kept).rstrip("\n") + "\n", sorted(set(read.assumed) - demand.used)


def check(docs: Path, target: Target, built: tuple[str, ...] | None = None) -> list[str]:
    """One line for each place where this folder's page and records part, or no run is behind a figure."""
    read = records.read(docs / FOLDER)
    text, unused = render(target, read, built)
    found = backing.unbacked(read) + [f"assumed.toml: no figure uses {name}" for name in unused]
    page = docs / PAGE
    try:
        told = page.read_text(encoding="utf-8")
    except FileNotFoundError:
        return [*found, f"{page}: is not there; --write makes it"]
    except (OSError, UnicodeDecodeError) as error:
        raise records.RecordError(f"{page}: {' '.join(str(error).split())}") from None
    if told == text:
        return found
    pairs = zip_longest(told.splitlines(), text.splitlines(), fillvalue="")
    for number, (page_line, record_line) in enumerate(pairs, 1):
        if page_line != record_line:
            found.append(f"{page}:{number}: {_parting(page_line, record_line)}")
    return found or [f"{page}: its end"]


def _parting(page: str, record: str) -> str:
    """What the two lines say where they begin to differ."""
    at = next(
        (i for i, (a, b) in enumerate(zip(page, record, strict=False)) if a != b), min(len(page), len(record))
    )
    at = max(0, at - 20)
    return f"the page says {page[at : at + SHOWN]!r}, the records give {record[at : at + SHOWN]!r}"


def write(docs: Path, target: Target, built: tuple[str, ...] | None = None) -> Path:
    """Make the page; RecordError with one line where something has no run behind it."""
    read = records.read(docs / FOLDER)
    text, unused = render(target, read, built)
    wrong = backing.unbacked(read) + [f"assumed.toml: no figure uses {name}" for name in unused]
    if wrong:
        raise records.RecordError(
            wrong[0] + (f" (and {len(wrong) - 1} more: --check)" if len(wrong) > 1 else "")
        )
    page = docs / PAGE
    try:
        page.write_text(text, encoding="utf-8")
    except OSError as error:
        raise records.RecordError(f"{page}: {error.strerror}") from None
    return page
