"""The tables of the page; the last cell of each row names the sources of its figures."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from crowpost.decisions.learning_automaton import FLOOR_FRACTION
from crowpost.lab.capacity import connections, machines, ranking, roles
from crowpost.lab.capacity.demand import Cost, Demand, sum_costs
from crowpost.lab.capacity.figures import NOT_MEASURED, Figure, Origin
from crowpost.lab.capacity.figures import text as figure_text
from crowpost.lab.capacity.records import OverheadRun

TAGS = {"target": "T", "measured": "R", "assumed": "A", "code": "C"}
Limits = Callable[[float], list[roles.Limit]]


def _tag_order(tag: str) -> tuple[int, int]:
    """Return the sort key of a tag."""
    return "TRAC".index(tag[0]), int(tag[1:] or 0)


class SourceRegister:
    """The sources of the page's figures, with tags numbered in the order of first use."""

    def __init__(self) -> None:
        self.tags: dict[Origin, str] = {}

    def tag(self, origin: Origin) -> str:
        """Return the short name of an origin; T and C are for the target file and the program as a whole."""
        letter = TAGS[origin.kind]
        if letter in "TC":
            self.tags.setdefault(origin, letter)
            return letter
        if origin not in self.tags:
            self.tags[origin] = f"{letter}{sum(tag[0] == letter for tag in self.tags.values()) + 1}"
        return self.tags[origin]

    def sources(self, *figures: Figure | None) -> str:
        """Return the tags of some figures; three and more in a row are shown as the first and the last."""
        tags = {self.tag(origin) for figure in figures if figure is not None for origin in figure.origins}
        groups: list[list[str]] = []
        for tag in sorted(tags, key=_tag_order):
            previous = _tag_order(groups[-1][-1]) if groups else None
            if previous is not None and tag[1:] and _tag_order(tag) == (previous[0], previous[1] + 1):
                groups[-1].append(tag)
            else:
                groups.append([tag])
        return " ".join(f"{group[0]}-{group[-1]}" if len(group) > 2 else " ".join(group) for group in groups)

    def row(self, *cells: Figure | str | None) -> list[str]:
        """Return a row; None is shown as not measured."""
        figures = [cell for cell in cells if isinstance(cell, Figure)]
        texts = [cell if isinstance(cell, str) else figure_text(cell) for cell in cells]
        return [*texts, self.sources(*figures)]

    def inline(self, figure: Figure | None) -> str:
        """Return a figure for use within a sentence, with its tags."""
        return figure_text(figure) if figure is None else f"{figure.text()} ({self.sources(figure)})"

    def entries(self) -> list[tuple[str, str, str]]:
        """Return tags, entries and details for the end of the page, with one row for each source."""
        found: dict[tuple[str, str], tuple[list[str], dict[str, None]]] = {}
        for origin, tag in sorted(self.tags.items(), key=lambda item: _tag_order(item[1])):
            tags, names = found.setdefault((origin.kind, origin.about), ([], {}))
            if tag not in tags:
                tags.append(tag)
            names.update(dict.fromkeys(origin.entry.split(", ")))
        return [(" ".join(tags), ", ".join(names), about) for (_, about), (tags, names) in found.items()]


@dataclass(frozen=True, slots=True)
class Table:
    """Column titles and rows; the last column has the sources of the row."""

    heads: tuple[str, ...]
    rows: list[list[str]]

    def markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [[*self.heads, "from"], ["---"] * (len(self.heads) + 1), *self.rows]
        return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


COST_COLUMNS = ("messages", "core", "memory", "bytes")


def unknown_columns(costs: Sequence[Cost]) -> list[bool]:
    """Return for each column of costs whether it is unknown for any duty."""
    return [
        any(part is None for part in parts) for parts in zip(*(cost.parts() for cost in costs), strict=True)
    ]


def node(register: SourceRegister, demand: Demand, duties: Sequence[ranking.Duty]) -> Table:
    """Return the table of a node: each duty, their sum, the budget and what is left of it."""
    costs = demand.node()
    status = {duty.cost_name: duty.status for duty in duties}
    rows = [register.row(cost.duty, *cost.parts(), status.get(cost.duty, ranking.EXISTS)) for cost in costs]
    all_costs, _ = sum_costs("all", costs)
    budget = demand.budget()
    rows.append(register.row("**all duties**", *all_costs.parts(), ""))
    rows.append(register.row("budget", "none", budget.core, budget.memory, budget.bytes, ""))
    left = [
        limit.minus(used) if limit is not None and used is not None else None
        for limit, used in zip(budget.parts(), all_costs.parts(), strict=True)
    ]
    rows.append(register.row("**left**", "", *left[1:], ""))
    for column, unknown in enumerate(unknown_columns(costs), 1):
        if unknown and rows[-3][column] != NOT_MEASURED:
            rows[-3][column] = f"at least {rows[-3][column]}"
            rows[-1][column] = f"at most {rows[-1][column]}" if rows[-1][column] else ""
    return Table(("duty", *COST_COLUMNS, "mechanism"), rows)


def placed_machines(demand: Demand) -> list[machines.Machine]:
    """Return the machines set aside, with the duties placed on them."""
    topology, target = demand.target.topology, demand.target.target
    return machines.place(
        topology.zones_per_region, target.machines.set_aside, int(demand.assumed("list_replicas").mid)
    )


def role(register: SourceRegister, demand: Demand, duties: Sequence[ranking.Duty]) -> Table:
    """Return the table of one process of each role other than the node."""
    status = {duty.name: duty.status for duty in duties}
    rows = []
    for build_role in roles.ROLES:
        process = build_role(demand, placed_machines(demand), 1.0)
        rows.append(
            register.row(process.name, process.state, *process.cost.parts(), status[process.mechanism])
        )
    return Table(("role", "state held", *COST_COLUMNS, "mechanism"), rows)


def growth(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of the nearest limit of each role at each size, and the first one exceeded."""
    machines_placed = placed_machines(demand)
    named: list[tuple[str, Limits]] = [("node", partial(roles.node_limits, demand))]
    for build_role in roles.ROLES:
        named.append(
            (
                build_role(demand, machines_placed, 1.0).name,
                partial(roles.limits_of_role, build_role, demand, machines_placed),
            )
        )
    rows = []
    for name, limits in named:
        limits_by_size = [limits(scale) for scale in roles.GROWTH]
        cells: list[Figure | str | None] = [name]
        for limit in map(roles.nearest, limits_by_size):
            cells.append(None if limit.used is None else limit.used.over(limit.available).times(100.0, "%"))
        exceeded = roles.first_exceeded(limits)
        if exceeded is None:
            cells.append(f"none; nearest is {roles.nearest(limits_by_size[-1]).name}")
        else:
            cells.append(f"{exceeded[0]}, at {exceeded[1] * demand.target.target.servers:,.0f}")
        unknown = [limit.name for limit in limits_by_size[0] if limit.used is None]
        cells.append(", ".join(unknown) or "nothing")
        rows.append(register.row(*cells))
    sizes = [f"at {scale * demand.target.target.servers:,.0f}" for scale in roles.GROWTH]
    return Table(("role", *sizes, "first limit met", NOT_MEASURED), rows)


def placement(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of the locations of the machines set aside."""
    tags = _machine_sources(register, demand)
    rows = []
    for machine in placed_machines(demand):
        place = f"region {chr(ord('A') + machine.region)}, zone {machine.zone + 1}"
        rows.append([machine.name, place, ", ".join(machine.duties), tags])
    return Table(("machine", "stands in", "carries"), rows)


def _machine_sources(register: SourceRegister, demand: Demand) -> str:
    target = demand.target.target
    figures = (
        demand.from_target(target.machines.set_aside, "set aside"),
        demand.from_target(target.zones, "zones per region"),
    )
    return register.sources(*figures, demand.assumed("list_replicas"))


def machine_losses(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of what continues after losses: each set of machines, zone and region is tried."""
    machines_placed = placed_machines(demand)
    zones, regions = (
        len({machine.zone for machine in machines_placed}),
        len({machine.region for machine in machines_placed}),
    )
    rows = []
    for tolerance in machines.loss_tolerances(machines_placed):
        survived = [f"{successes} of {attempts}" for successes, attempts in tolerance.survived]
        rows.append(
            [
                tolerance.function,
                *survived,
                f"{tolerance.zones} of {zones}",
                f"{tolerance.regions} of {regions}",
                _machine_sources(register, demand),
            ]
        )
    heads = (
        "goes on with",
        *(f"{count + 1} gone" for count in range(len(rows[0]) - 4)),
        "a zone gone",
        "a region gone",
    )
    return Table(heads, rows)


def ranked(register: SourceRegister, duties: Sequence[ranking.Duty]) -> Table:
    """Return the table of all duties with need, carried part and rank among the open ones."""
    order = [duty.name for duty in ranking.rank(duties)]
    rows = []
    for duty in sorted(duties, key=lambda duty: order.index(duty.name) if duty.name in order else len(order)):
        place = str(order.index(duty.name) + 1) if duty.name in order else ""
        required = "the target" if duty.required else ""
        carried = duty.carried.times(100.0, "%")
        rows.append(
            register.row(
                place,
                duty.name,
                duty.need,
                carried,
                duty.open,
                duty.status,
                required,
                "; ".join(duty.builds_on),
            )
        )
    return Table(("place", "duty", "need", "carried", "open", "mechanism", "asked by", "builds on"), rows)


# ------------------------------------------------------------ calls


def _runs(demand: Demand) -> list[OverheadRun]:
    """Return the open-loop runs of the present version at the rate nearest to the calls of one node."""
    record, calls = demand.records.overhead, demand.calls().mid
    present = [(run, run.rate) for run in (record.runs if record is not None else ()) if run.version == "now"]
    by_distance = [(abs(rate - calls), run) for run, rate in present if rate is not None]
    nearest = min((distance for distance, _ in by_distance), default=0.0)
    return [run for distance, run in by_distance if distance <= nearest]


def _run_figures(run: OverheadRun, demand: Demand) -> tuple[Figure | None, ...]:
    """Return figures of a run: added latency (median, 99%), core time of a call, and of a node's calls."""
    record = demand.records.overhead
    assert record is not None
    about = (
        f"overhead.json: {run.rate or 0.0:g} calls a second, {run.requests:,} requests, {run.servers} servers"
        f", {run.loop} loop, revision {record.revision[:12]} of {record.at[:10]}"
    )
    origin = Origin("measured", f"overhead of a chain of {run.chain}", about)

    def derived(value: float | None, interval: tuple[float, float] | None, unit: str) -> Figure | None:
        if value is None:
            return None
        return Figure(value, *(interval or (value, value)), unit, (origin,))

    p50, p99 = (derived(run.added.get(key), run.added_95.get(key), "ms") for key in ("p50_ms", "p99_ms"))
    core = derived(run.core_us_per_request, None, "us")
    used = None if core is None else demand.calls().times(core).times(1e-4, "%")
    return p50, p99, core, used


def overhead(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of the latency that a node or a chain adds, and the processor time of calls."""
    target = demand.target.target
    depth = demand.from_target(target.depth, "depth")
    runs = _runs(demand)
    rows = []
    for run in runs:
        figures = _run_figures(run, demand)
        name = f"{run.chain} node{'s' if run.chain > 1 else ''} in a row, {run.servers} servers, {run.loop}"
        rows.append(register.row(name, *figures))
    single = [run for run in runs if run.chain == 1]
    if single and not any(run.chain == target.depth for run in runs):
        deep = [
            None if figure is None else figure.times(depth, "ms")
            for figure in _run_figures(single[0], demand)[:2]
        ]
        rows.append(
            register.row("... times the depth, not run: at the least, and at the most", *deep, "", "")
        )
    if not rows:
        rows.append(register.row("a node, and a chain", None, None, None, None))
    rows.append(
        register.row(
            "asked, of one call", "", demand.from_target(target.added_p99_ms, "added_p99_ms", "ms"), "", ""
        )
    )
    return Table(("through", "added, median", "added, 99%", "core a call", "core at a node's calls"), rows)


def connection_counts(register: SourceRegister, demand: Demand) -> Table:
    """Return the table of connections: all, of a node and of the server with most, by size and subsets."""
    target, topology = demand.target.target, demand.target.topology
    rows = []
    for scale in roles.GROWTH:
        servers = int(target.servers * scale)
        args = (
            servers,
            target.services,
            topology.service_skew,
            topology.callees_per_service,
            demand.target.run.seed,
        )
        plain, zone_aware = (
            connections.count_connections(*args),
            connections.count_connections(*args, zones=target.zones),
        )
        rule = demand.from_code(1.0, "crowpost.decisions.endpoint_set")
        for label, counts, with_subsets in (
            ("every server", plain, False),
            ("homes", plain, True),
            ("homes, crossing zones has a price", zone_aware, True),
        ):
            if counts is zone_aware and scale != 1.0:
                continue
            connections_total = demand.from_target(
                counts.total(with_subsets), "servers, services, service skew, callees per service"
            )
            connections_total, most_of_a_server = (
                connections_total.times(rule),
                counts.max_per_server(with_subsets),
            )
            connections_each = connections_total.over(demand.servers(scale))
            memory = connections_each.times(demand.assumed("connection_memory"), "B")
            rows.append(
                register.row(
                    f"{servers:,}, {label}",
                    connections_total,
                    connections_each,
                    demand.from_target(most_of_a_server, "servers").times(rule),
                    memory,
                )
            )
    heads = (
        "servers, a node keeps to",
        "connections",
        "of a node, mean",
        "of a server, most",
        "memory, a node",
    )
    return Table(heads, rows)


@dataclass(frozen=True, slots=True)
class Floor:
    """Up to which service size calling every server is affordable.

    The floor is the minimum share that the decision code leaves a server.
    """

    even_servers: Figure  # Affordable servers of a service, if calls are spread evenly.
    least_share_servers: Figure  # The same for servers at their minimum share.
    largest_service: Figure  # Servers of the largest service at the target.
    unconnected: Figure  # Percentage of its calls that find no open connection.
    subset_unconnected: Figure  # The same with subsets.
    subset_unconnected_least: Figure  # The same for calls to a server with the minimum share of its subset.
    affordable: Figure  # Percentage of calls that may find no open connection.
    calls: Figure  # Calls of one node to one service.


def floor(demand: Demand) -> Floor:
    """Return these limits, by the time that a node keeps a connection and the minimum share of a server."""
    target, topology = demand.target.target, demand.target.topology
    idle = demand.from_code(connections.IDLE_S, "crowpost.node.upstream.pool.IDLE_TIMEOUT_FRACTION", "s")
    calls = demand.calls().over(demand.from_target(topology.callees_per_service, "callees_per_service"), "/s")
    affordable = demand.assumed("handshakes_affordable")
    even, least = connections.affordable_servers(calls.mid, affordable.mid)
    sizes = connections.service_sizes(target.servers, target.services, topology.service_skew)
    origins = (
        calls.times(idle).times(affordable).origins
        + demand.from_code(1.0, "crowpost.decisions.learning_automaton.FLOOR_FRACTION").origins
    )
    home_size = connections.subset_size(sizes[0], sizes[0])

    def derived(value: float, unit: str = "") -> Figure:
        return Figure(value, value, value, unit, origins)

    return Floor(
        derived(even),
        derived(least),
        demand.from_target(sizes[0], "servers, services, service skew"),
        derived(100.0 * connections.unconnected_fraction(calls.mid, sizes[0]), "%"),
        derived(100.0 * connections.unconnected_fraction(calls.mid, home_size), "%"),
        derived(100.0 * connections.unconnected_fraction(FLOOR_FRACTION * calls.mid, home_size), "%"),
        affordable.times(100.0, "%"),
        calls,
    )
