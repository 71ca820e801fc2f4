"""Renders `docs/CAPACITY.md` from target, records and assumptions, and checks the committed one."""

from __future__ import annotations

from importlib import resources
from itertools import zip_longest
from pathlib import Path
from typing import Any

import jinja2

from crowpost.lab.capacity import events, lines, machines, ranking, records, roles, tables, validation
from crowpost.lab.capacity.demand import Demand
from crowpost.lab.capacity.records import Records
from crowpost.lab.scale.target import Target

PAGE = "CAPACITY.md"
FOLDER = "capacity"
EXCERPT = 90  # Characters of a line shown where page and records differ.


def template() -> str:
    """Return the template of the page; its prose has no numbers."""
    return resources.files("crowpost.lab.capacity").joinpath("page.md.j2").read_text(encoding="utf-8")


def _context(target: Target, loaded: Records, built: tuple[str, ...] | None) -> tuple[dict[str, Any], Demand]:
    if target.target.machines.set_aside < target.target.zones:
        raise records.RecordError("target.machines.set_aside: fewer than the zones; each zone needs a relay")
    demand, register = Demand(target, loaded, built), tables.SourceRegister()
    duties = ranking.duties(demand)
    node_all, _ = ranking.node_total(demand)
    order = ranking.rank(duties)
    ranked_without_feed: list[ranking.Duty] = []
    if "feed" in demand.built:
        without_feed = Demand(target, loaded, tuple(demand.built - {"feed"}))
        ranked_without_feed = ranking.rank(ranking.duties(without_feed))
    partition_figures = events.isolated_region(demand)
    placed = tables.placed_machines(demand)
    single = [
        tolerance.function
        for tolerance in machines.loss_tolerances(placed, 1)
        if tolerance.tolerated_losses < 1
    ]
    context = {
        "b": register.inline,
        "confidence": f"{100 * lines.CONFIDENCE:g}%",
        "sources": register.entries,
        "t": {"servers": demand.servers()},
        "budget": demand.budget(),
        "node_all": node_all,
        "least": ["at least " if unknown else "" for unknown in tables.unknown_columns(demand.node())],
        "order": order,
        "feeds": ranking.CONFIGURATION,
        "before": ranked_without_feed,
        "calls": demand.calls(),
        "in_force": demand.from_target(target.target.in_force_s, "in_force_s", "s"),
        "disk": roles.disk(demand, placed, 1.0),
        "floor": tables.floor(demand),
        "alone": partition_figures,
        "lost": events.lost(demand),
        "single": "; ".join(single),
        "apart": _disagreements(loaded),
        "curved": _nonlinear_fits(loaded),
        "unknown": _unknown_costs(demand),
        "node": tables.node(register, demand, duties).markdown(),
        "role": tables.role(register, demand, duties).markdown(),
        "growth": tables.growth(register, demand).markdown(),
        "placed": tables.placement(register, demand).markdown(),
        "outlast": tables.machine_losses(register, demand).markdown(),
        "ranked": tables.ranked(register, duties).markdown(),
        "overhead": tables.overhead(register, demand).markdown(),
        "wiring": tables.connection_counts(register, demand).markdown(),
        "changes": events.changes(register, demand).markdown(),
        "dearest": events.most_expensive_case(demand),
        "feed": events.feed(register, demand).markdown(),
        "failures": events.failures(register, demand).markdown(),
    }
    return context, demand


def _disagreements(loaded: Records) -> str:
    found = []
    for name, duty in (loaded.slopes.duties if loaded.slopes else {}).items():
        for agreement in duty.agreement:
            if not agreement.agree:
                measure_name = records.MEASURES.get(agreement.measure, (agreement.measure,))[0]
                found.append(f"{name}, {measure_name} at {agreement.x:g} ({duty.unit})")
    return "; ".join(found)


def _nonlinear_fits(loaded: Records) -> str:
    found = []
    for name, duty in (loaded.slopes.duties if loaded.slopes else {}).items():
        for measure, fit in duty.fits.items():
            if measure in records.MEASURES and (not fit.linear or fit.form != "linear"):
                found.append(f"{name}, {records.MEASURES[measure][0]} ({fit.form})")
    return "; ".join(found)


def _unknown_costs(demand: Demand) -> str:
    found = []
    for cost in demand.node():
        names = [name for name, part in zip(tables.COST_COLUMNS, cost.parts(), strict=True) if part is None]
        if names:
            found.append(f"{cost.duty} ({', '.join(names)})")
    return "; ".join(found)


def render(target: Target, loaded: Records, built: tuple[str, ...] | None = None) -> tuple[str, list[str]]:
    """Return the page, and the assumptions that none of its figures uses.

    built: names of the mechanisms taken as built, by default those of this source tree.
    """
    environment = jinja2.Environment(undefined=jinja2.StrictUndefined, keep_trailing_newline=True)
    context, demand = _context(target, loaded, built)
    text = environment.from_string(template()).render(context)
    rows = [row.rstrip() for row in text.splitlines()]
    kept = [row for index, row in enumerate(rows) if row or (index and rows[index - 1])]
    return "\n".join(kept).rstrip("\n") + "\n", sorted(set(loaded.assumed) - demand.used)


def check(docs: Path, target: Target, built: tuple[str, ...] | None = None) -> list[str]:
    """Return one line for each difference between page and records, and for each entry without a run."""
    loaded = records.read(docs / FOLDER)
    text, unused = render(target, loaded, built)
    found = validation.unsupported_entries(loaded) + [
        f"assumed.toml: no figure uses {name}" for name in unused
    ]
    page = docs / PAGE
    try:
        committed = page.read_text(encoding="utf-8")
    except FileNotFoundError:
        return [*found, f"{page}: does not exist; --write creates it"]
    except (OSError, UnicodeDecodeError) as error:
        raise records.RecordError(f"{page}: {' '.join(str(error).split())}") from None
    if committed == text:
        return found
    pairs = zip_longest(committed.splitlines(), text.splitlines(), fillvalue="")
    for number, (page_line, record_line) in enumerate(pairs, 1):
        if page_line != record_line:
            found.append(f"{page}:{number}: {_first_difference(page_line, record_line)}")
    return found or [f"{page}: differs at its end"]


def _first_difference(page: str, record: str) -> str:
    """Return an excerpt of both lines from shortly before their first difference."""
    at = next(
        (
            index
            for index, (page_char, record_char) in enumerate(zip(page, record, strict=False))
            if page_char != record_char
        ),
        min(len(page), len(record)),
    )
    at = max(0, at - 20)
    return f"the page says {page[at : at + EXCERPT]!r}, the records give {record[at : at + EXCERPT]!r}"


def write(docs: Path, target: Target, built: tuple[str, ...] | None = None) -> Path:
    """Write the page and return its path; raise RecordError if no run supports an entry of the records."""
    loaded = records.read(docs / FOLDER)
    text, unused = render(target, loaded, built)
    faults = validation.unsupported_entries(loaded) + [
        f"assumed.toml: no figure uses {name}" for name in unused
    ]
    if faults:
        raise records.RecordError(
            faults[0] + (f" (and {len(faults) - 1} more: --check)" if len(faults) > 1 else "")
        )
    page = docs / PAGE
    try:
        page.write_text(text, encoding="utf-8")
    except OSError as error:
        raise records.RecordError(f"{page}: {error.strerror}") from None
    return page
