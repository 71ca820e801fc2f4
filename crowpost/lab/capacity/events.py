"""The page's tables of what happens: changes of configuration, failures, and a region on its own."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.lab.capacity.demand import DAY_S, Demand
from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.capacity.records import FeedRun, Trouble
from crowpost.lab.capacity.tables import Book, Table

YEAR_DAYS = 365.0
PROCESSES = ("node", "relay", "publisher")


def changes(book: Book, demand: Demand) -> Table:
    """The mean and bursts of changes, small and large, at a node that takes all of them in."""
    in_force = demand.told(demand.target.target.in_force_s, "in_force_s", "s")
    budget = demand.budget().bytes
    assert budget is not None
    part = budget.times(demand.assumed("feed_part"))
    one, many = None, demand.assumed("burst_changes")
    rows = []
    mean = demand.changes().times(demand.told_bytes("document_bytes"), "B/s")
    rows.append(
        book.row("the mean of a day, small, all for every node", mean.times(DAY_S, "B"), mean, "", "", "")
    )
    taken = mean.times(demand.reach())
    rows.append(book.row("... as split over scopes", taken.times(DAY_S, "B"), taken, "", "", ""))
    for name, number, body in (
        ("one small", one, "document_bytes"),
        ("a burst of small", many, "document_bytes"),
        ("one large", one, "large_document_bytes"),
        ("a burst of large", many, "large_document_bytes"),
    ):
        moved = demand.told_bytes(body)
        moved = moved.to("B") if number is None else number.times(moved, "B")
        rate = moved.over(demand.assumed("burst_s"), "B/s") if number is many else moved.over(in_force, "B/s")
        whole, kept = moved.over(budget, "s"), moved.over(part, "s")
        within = demand.assumed("burst_s").plus(in_force) if number is many else in_force
        fits = "yes" if kept.mid <= within.mid else "at the whole budget" if whole.mid <= within.mid else "no"
        rows.append(book.row(name, moved, rate, whole, kept, fits))
    heads = (
        "changes",
        "bytes to a node",
        "bytes a second",
        "time at the budget",
        "time at the feed's part",
        "within",
    )
    return Table(heads, rows)


SHOWN = ("calm", "loss", "burst")  # of the feed's cases; of all others the slowest alone


def _shown(runs: Sequence[FeedRun], size: int) -> list[tuple[int, str, str]]:
    """Sizes, sources and cases that the page shows; docs/feed.md has them all."""
    found = []
    for nodes, source in sorted({(run.nodes, run.source) for run in runs}):
        mine = [run for run in runs if (run.nodes, run.source) == (nodes, source)]
        others = [run for run in mine if run.case not in SHOWN and run.in_force_s.get("worst") is not None]
        slowest = max(others, key=lambda run: (run.in_force_s["worst"] or 0.0, run.case), default=None)
        most = SHOWN if nodes == size or source == "real" else SHOWN[:1]
        cases = [case for case in most if any(run.case == case for run in mine)]
        found += [(nodes, source, case) for case in [*cases, *([slowest.case] if slowest else [])]]
    return found


def feed(book: Book, demand: Demand) -> Table:
    """The cases of the feed's record that say most."""
    rows = []
    runs = demand.records.feed.runs if demand.records.feed is not None else []
    for nodes, source, case in _shown(runs, demand.target.target.servers):
        told = [demand.feed(case, what, "s", nodes, source) for what in ("p50", "p99", "worst")]
        moved = [demand.feed(case, f"{who}_bytes_per_s", "B/s", nodes, source) for who in PROCESSES]
        core = demand.feed(case, "node_core_percent", "%", nodes, source)
        mine = [run for run in runs if (run.nodes, run.source, run.case) == (nodes, source, case)]
        left = sum(run.unreached for run in mine)
        rows.append(book.row(f"{case}, {nodes:,}, {source}", *told, *moved, core, str(left)))
    if not rows:
        rows.append(book.row("any case", None, None, None, None, None, None, None, ""))
    heads = (
        "case, nodes",
        "in force, median",
        "99%",
        "worst",
        "node",
        "relay",
        "publisher",
        "node's core",
        "unreached",
    )
    return Table(heads, rows)


def dearest(demand: Demand) -> tuple[Figure, Figure] | None:
    """What the busiest node took in the feed's dearest case of any size; the part that it may."""
    runs = demand.records.feed.runs if demand.records.feed is not None else []
    cases = sorted({(run.case, run.nodes, run.source) for run in runs})
    found = [demand.feed(case, "node_bytes_per_s", "B/s", nodes, source) for case, nodes, source in cases]
    known = [figure for figure in found if figure is not None]
    budget = demand.budget().bytes
    if not known or budget is None:
        return None
    return max(known, key=lambda figure: figure.high), budget.times(demand.assumed("feed_part"))


def _often(demand: Demand, kind: str) -> Figure:
    failures = demand.target.target.failures
    if kind == "machine":
        return demand.told(failures.machines_per_day, "machines_per_day", "a day")
    if kind == "replacements":
        return demand.told(failures.replacements_per_day, "replacements_per_day", "a day")
    if kind == "rack":
        return demand.told(YEAR_DAYS / failures.rack_days, "rack_days", "a year")
    if kind == "region_cut":
        return demand.told(failures.region_cuts_per_year, "region_cuts_per_year", "a year")
    return demand.told(failures.zone_per_year, "zone_per_year", "a year")


def _struck(demand: Demand, kind: str) -> Figure:
    """Servers, each with its node, that are away at once."""
    t, topology = demand.target.target, demand.target.topology
    if kind in ("machine", "replacements"):
        return demand.told(1.0, "machines_per_day")
    zone = demand.servers().over(demand.told(t.zones, "zones"))
    if kind == "rack":
        return zone.over(demand.told(topology.racks_per_zone, "racks_per_zone"))
    if kind == "region_cut":
        return zone.times(demand.told(min(topology.zones_per_region), "zones_per_region"))
    return zone


NAMES = {
    "machine": "a machine",
    "rack": "a rack or its switch",
    "zone": "a zone",
    "zone_back": "all of a zone back at once",
    "region_cut": "regions cut from each other",
    "replacements": "replacements, each",
}


def _played(demand: Demand, kind: str) -> tuple[Trouble | None, tuple[Origin, ...]]:
    slopes = demand.records.slopes
    found = [t for t in slopes.troubles if t.kind == kind] if slopes is not None else []
    if slopes is None or not found:
        return None, ()
    one = max(found, key=lambda t: (t.members, t.seconds or 0.0))
    lasted = "" if one.seconds is None else f" for {one.seconds:g} s"
    speed = "" if one.speed == 1.0 else f" at {one.speed:g} times the speed"
    about = (
        f"slopes.json, troubles: {one.source}, {one.members} members, "
        f"revision {slopes.revision[:12]} of {slopes.at[:10]}"
    )
    return one, (Origin("measured", f"trouble {kind.replace('_', ' ')}{lasted}{speed}", about),)


def failures(book: Book, demand: Demand) -> Table:
    """What each kind of failure strikes and sets off; calls: those that went to what was struck."""
    rows = []
    for kind, name in NAMES.items():
        played, origins = _played(demand, kind)

        def told(value: float | None, unit: str, of: tuple[Origin, ...] = origins) -> Figure | None:
            return None if value is None else Figure(value, value, value, unit, of)

        struck = _struck(demand, kind)
        calls = "" if kind in ("zone_back", "replacements") else struck.times(demand.calls(), "/s")
        messages, moved = None, None
        settled: Figure | str | None = None
        if played is not None:
            messages, settled = told(played.messages, ""), told(played.settled_s, "s")
            if settled is None and played.seconds is not None:
                settled = f"not within {played.seconds:g} s"
            moved = told(played.bytes_per_member, "B")
        if kind == "machine":
            stand_in = demand.assumed("death_known_p99_s")
            settled = stand_in if settled is None else settled
        rows.append(book.row(name, _often(demand, kind), struck, messages, moved, settled, calls))
    heads = (
        "kind",
        "how often",
        "struck",
        "messages set off",
        "bytes a member",
        "settled after",
        "calls that went to it",
    )
    return Table(heads, rows)


def lost(demand: Demand) -> list[tuple[str, str]]:
    """What the played troubles told of what was lost, as they told it."""
    slopes = demand.records.slopes
    return [(NAMES.get(t.kind, t.kind), t.lost) for t in (slopes.troubles if slopes else ()) if t.lost]


def alone(demand: Demand) -> dict[str, Figure]:
    """A region on its own for a cut's time: changes that come, go on and wait; what joining moves."""
    failures = demand.target.target.failures
    cut = demand.told(failures.region_cut_s, "region_cut_s", "s")
    budget = demand.budget().bytes
    assert budget is not None
    come = demand.changes().times(cut, "")
    own = demand.assumed("part_region").plus(demand.assumed("part_node"))
    wide = demand.assumed("part_all").plus(demand.assumed("part_service"))
    missed = come.times(demand.reach()).times(demand.told_bytes("document_bytes"), "B")
    part = budget.times(demand.assumed("feed_part"))
    return {
        "cut": cut,
        "come": come,
        "own": come.times(own),
        "wide": come.times(wide),
        "missed": missed,
        "joined": missed.over(part, "s"),
        "known_p50": demand.assumed("death_known_p50_s"),
        "known_p99": demand.assumed("death_known_p99_s"),
    }
