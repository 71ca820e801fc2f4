"""The tables of events: configuration changes, failures, and a region isolated by a partition."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.lab.capacity.demand import DAY_S, Demand
from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.capacity.records import FaultMeasurement, FeedRun
from crowpost.lab.capacity.tables import SourceRegister, Table

YEAR_DAYS = 365.0
PROCESSES = ("node", "relay", "publisher")


def changes(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of mean and bursts of changes, small and large, for a node that receives all."""
    in_force = demand.from_target(demand.target.target.in_force_s, "in_force_s", "s")
    budget = demand.budget().bytes
    assert budget is not None
    part = budget.times(demand.assumed("feed_part"))
    one, burst = None, demand.assumed("burst_changes")
    rows = []
    mean = demand.changes().times(demand.bytes_per_change("document_bytes"), "B/s")
    rows.append(
        register.row("the mean of a day, small, all for every node", mean.times(DAY_S, "B"), mean, "", "", "")
    )
    received = mean.times(demand.fraction_received())
    rows.append(register.row("... as split over scopes", received.times(DAY_S, "B"), received, "", "", ""))
    for name, number, body in (
        ("one small", one, "document_bytes"),
        ("a burst of small", burst, "document_bytes"),
        ("one large", one, "large_document_bytes"),
        ("a burst of large", burst, "large_document_bytes"),
    ):
        bytes_per_node = demand.bytes_per_change(body)
        bytes_per_node = (
            bytes_per_node.with_unit("B") if number is None else number.times(bytes_per_node, "B")
        )
        rate = (
            bytes_per_node.over(demand.assumed("burst_s"), "B/s")
            if number is burst
            else bytes_per_node.over(in_force, "B/s")
        )
        time_at_budget, time_at_part = bytes_per_node.over(budget, "s"), bytes_per_node.over(part, "s")
        within = demand.assumed("burst_s").plus(in_force) if number is burst else in_force
        fits = (
            "yes"
            if time_at_part.mid <= within.mid
            else "at the whole budget"
            if time_at_budget.mid <= within.mid
            else "no"
        )
        rows.append(register.row(name, bytes_per_node, rate, time_at_budget, time_at_part, fits))
    heads = (
        "changes",
        "bytes to a node",
        "bytes a second",
        "time at the budget",
        "time at the feed's part",
        "within",
    )
    return Table(heads, rows)


# Cases of the feed that the page always shows; of the others it shows the slowest only.
ALWAYS_SHOWN = ("calm", "loss", "burst")


def _cases_shown(runs: Sequence[FeedRun], size: int) -> list[tuple[int, str, str]]:
    """Return sizes, sources and cases that the page shows; docs/feed.md has all of them."""
    found = []
    for nodes, source in sorted({(run.nodes, run.source) for run in runs}):
        same_size = [run for run in runs if (run.nodes, run.source) == (nodes, source)]
        others = [
            run
            for run in same_size
            if run.case not in ALWAYS_SHOWN and run.in_force_s.get("worst") is not None
        ]
        slowest = max(others, key=lambda run: (run.in_force_s["worst"] or 0.0, run.case), default=None)
        always = ALWAYS_SHOWN if nodes == size or source == "real" else ALWAYS_SHOWN[:1]
        cases = [case for case in always if any(run.case == case for run in same_size)]
        found += [(nodes, source, case) for case in [*cases, *([slowest.case] if slowest else [])]]
    return found


def feed(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of selected cases of the feed's record."""
    rows = []
    runs = demand.records.feed.runs if demand.records.feed is not None else []
    for nodes, source, case in _cases_shown(runs, demand.target.target.servers):
        in_force_times = [
            demand.feed(case, measure, "s", nodes, source) for measure in ("p50", "p99", "worst")
        ]
        byte_rate = [
            demand.feed(case, f"{process}_bytes_per_s", "B/s", nodes, source) for process in PROCESSES
        ]
        core = demand.feed(case, "node_core_percent", "%", nodes, source)
        same_case = [run for run in runs if (run.nodes, run.source, run.case) == (nodes, source, case)]
        unreached = sum(run.unreached for run in same_case)
        rows.append(
            register.row(f"{case}, {nodes:,}, {source}", *in_force_times, *byte_rate, core, str(unreached))
        )
    if not rows:
        rows.append(register.row("any case", None, None, None, None, None, None, None, ""))
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


def most_expensive_case(demand: Demand) -> tuple[Figure, Figure] | None:
    """Return what the busiest node received in the feed's most expensive case of any size, and its limit."""
    runs = demand.records.feed.runs if demand.records.feed is not None else []
    cases = sorted({(run.case, run.nodes, run.source) for run in runs})
    figures = [demand.feed(case, "node_bytes_per_s", "B/s", nodes, source) for case, nodes, source in cases]
    known = [figure for figure in figures if figure is not None]
    budget = demand.budget().bytes
    if not known or budget is None:
        return None
    return max(known, key=lambda figure: figure.high), budget.times(demand.assumed("feed_part"))


def _frequency(demand: Demand, kind: str) -> Figure:
    failures = demand.target.target.failures
    if kind == "machine":
        return demand.from_target(failures.machines_per_day, "machines_per_day", "a day")
    if kind == "replacements":
        return demand.from_target(failures.replacements_per_day, "replacements_per_day", "a day")
    if kind == "rack":
        return demand.from_target(YEAR_DAYS / failures.rack_days, "rack_days", "a year")
    if kind == "region_cut":
        return demand.from_target(failures.region_cuts_per_year, "region_cuts_per_year", "a year")
    return demand.from_target(failures.zone_per_year, "zone_per_year", "a year")


def _servers_lost(demand: Demand, kind: str) -> Figure:
    """Return the servers, each with its node, that a failure takes away at once."""
    target, topology = demand.target.target, demand.target.topology
    if kind in ("machine", "replacements"):
        return demand.from_target(1.0, "machines_per_day")
    zone = demand.servers().over(demand.from_target(target.zones, "zones"))
    if kind == "rack":
        return zone.over(demand.from_target(topology.racks_per_zone, "racks_per_zone"))
    if kind == "region_cut":
        return zone.times(demand.from_target(min(topology.zones_per_region), "zones_per_region"))
    return zone


FAILURE_NAMES = {
    "machine": "a machine",
    "rack": "a rack or its switch",
    "zone": "a zone",
    "zone_back": "all of a zone back at once",
    "region_cut": "regions cut from each other",
    "replacements": "replacements, each",
}


def _measured(demand: Demand, kind: str) -> tuple[FaultMeasurement | None, tuple[Origin, ...]]:
    slopes = demand.records.slopes
    faults = [fault for fault in slopes.troubles if fault.kind == kind] if slopes is not None else []
    if slopes is None or not faults:
        return None, ()
    largest = max(faults, key=lambda fault: (fault.members, fault.seconds or 0.0))
    duration = "" if largest.seconds is None else f" for {largest.seconds:g} s"
    speed = "" if largest.speed == 1.0 else f" at {largest.speed:g} times the speed"
    about = (
        f"slopes.json, troubles: {largest.source}, {largest.members} members, "
        f"revision {slopes.revision[:12]} of {slopes.at[:10]}"
    )
    return largest, (Origin("measured", f"trouble {kind.replace('_', ' ')}{duration}{speed}", about),)


def failures(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of failures: servers lost, messages caused, and calls that went to those servers."""
    rows = []
    for kind, name in FAILURE_NAMES.items():
        measured, origins = _measured(demand, kind)

        def figure(value: float | None, unit: str, sources: tuple[Origin, ...] = origins) -> Figure | None:
            return None if value is None else Figure(value, value, value, unit, sources)

        lost_servers = _servers_lost(demand, kind)
        calls = "" if kind in ("zone_back", "replacements") else lost_servers.times(demand.calls(), "/s")
        messages, bytes_per_member = None, None
        settled: Figure | str | None = None
        if measured is not None:
            messages, settled = figure(measured.messages, ""), figure(measured.settled_s, "s")
            if settled is None and measured.seconds is not None:
                settled = f"not within {measured.seconds:g} s"
            bytes_per_member = figure(measured.bytes_per_member, "B")
        if kind == "machine":
            assumption = demand.assumed("death_known_p99_s")
            settled = assumption if settled is None else settled
        rows.append(
            register.row(
                name, _frequency(demand, kind), lost_servers, messages, bytes_per_member, settled, calls
            )
        )
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
    """Return what the measured failures lost, in the words of the record."""
    slopes = demand.records.slopes
    return [
        (FAILURE_NAMES.get(fault.kind, fault.kind), fault.lost)
        for fault in (slopes.troubles if slopes else ())
        if fault.lost
    ]


def isolated_region(demand: Demand) -> dict[str, Figure]:
    """Return figures of a region partition: changes that arrive, apply and wait, and the cost to catch up."""
    failures = demand.target.target.failures
    duration = demand.from_target(failures.region_cut_s, "region_cut_s", "s")
    budget = demand.budget().bytes
    assert budget is not None
    arriving = demand.changes().times(duration, "")
    own_fraction = demand.assumed("part_region").plus(demand.assumed("part_node"))
    shared_fraction = demand.assumed("part_all").plus(demand.assumed("part_service"))
    missed = arriving.times(demand.fraction_received()).times(demand.bytes_per_change("document_bytes"), "B")
    part = budget.times(demand.assumed("feed_part"))
    return {
        "cut": duration,
        "come": arriving,
        "own": arriving.times(own_fraction),
        "wide": arriving.times(shared_fraction),
        "missed": missed,
        "joined": missed.over(part, "s"),
        "known_p50": demand.assumed("death_known_p50_s"),
        "known_p99": demand.assumed("death_known_p99_s"),
    }
