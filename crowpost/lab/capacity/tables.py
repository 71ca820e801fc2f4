"""The page's tables: rows of cells, of which the last says what the figures of the row are from."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from crowpost.decisions.learning_automaton import FLOOR_FRACTION
from crowpost.lab.capacity import connections, machines, ranking, roles
from crowpost.lab.capacity.demand import Cost, Demand, summed
from crowpost.lab.capacity.figures import NOT_MEASURED, Figure, Origin
from crowpost.lab.capacity.figures import text as shown
from crowpost.lab.capacity.records import OverheadRun

TAGS = {"target": "T", "measured": "R", "assumed": "A", "code": "C"}
Limits = Callable[[float], list[roles.Limit]]


def _place(tag: str) -> tuple[int, int]:
    """Where a tag stands among all."""
    return "TRAC".index(tag[0]), int(tag[1:] or 0)


class Book:
    """What the page's figures are from, numbered in the order in which they come."""

    def __init__(self) -> None:
        self.tags: dict[Origin, str] = {}

    def tag(self, origin: Origin) -> str:
        """Its short name: T and C stand for the target file and the program as a whole."""
        letter = TAGS[origin.kind]
        if letter in "TC":
            self.tags.setdefault(origin, letter)
            return letter
        if origin not in self.tags:
            self.tags[origin] = f"{letter}{sum(t[0] == letter for t in self.tags.values()) + 1}"
        return self.tags[origin]

    def sources(self, *figures: Figure | None) -> str:
        """The tags of some figures; three in a row and more are told by the first and the last."""
        found = {self.tag(origin) for f in figures if f is not None for origin in f.origins}
        runs: list[list[str]] = []
        for tag in sorted(found, key=_place):
            before = _place(runs[-1][-1]) if runs else None
            if before is not None and tag[1:] and _place(tag) == (before[0], before[1] + 1):
                runs[-1].append(tag)
            else:
                runs.append([tag])
        return " ".join(f"{run[0]}-{run[-1]}" if len(run) > 2 else " ".join(run) for run in runs)

    def row(self, *cells: Figure | str | None) -> list[str]:
        """A row; None is what nobody measured."""
        figures = [cell for cell in cells if isinstance(cell, Figure)]
        texts = [cell if isinstance(cell, str) else shown(cell) for cell in cells]
        return [*texts, self.sources(*figures)]

    def inline(self, figure: Figure | None) -> str:
        """A figure within prose, with its tags."""
        return shown(figure) if figure is None else f"{figure.text()} ({self.sources(figure)})"

    def entries(self) -> list[tuple[str, str, str]]:
        """Tags, entries and where they are from, for the end of the page; a row for each place of origin."""
        found: dict[tuple[str, str], tuple[list[str], dict[str, None]]] = {}
        for origin, tag in sorted(self.tags.items(), key=lambda item: _place(item[1])):
            tags, names = found.setdefault((origin.kind, origin.about), ([], {}))
            if tag not in tags:
                tags.append(tag)
            names.update(dict.fromkeys(origin.entry.split(", ")))
        return [(" ".join(tags), ", ".join(names), about) for (_, about), (tags, names) in found.items()]


@dataclass(frozen=True, slots=True)
class Table:
    """Heads and rows; the last column is what the row is from."""

    heads: tuple[str, ...]
    rows: list[list[str]]

    def markdown(self) -> str:
        """As the page holds it."""
        lines = [[*self.heads, "from"], ["---"] * (len(self.heads) + 1), *self.rows]
        return "\n".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |" for line in lines)


COST = ("messages", "core", "memory", "bytes")


def lacking(costs: Sequence[Cost]) -> list[bool]:
    """For each column of costs, whether a duty's part of it is not known."""
    return [any(part is None for part in parts) for parts in zip(*(c.parts() for c in costs), strict=True)]


def node(book: Book, demand: Demand, duties: Sequence[ranking.Duty]) -> Table:
    """Each duty of a node, all of them, the budget and what is left."""
    costs = demand.node()
    status = {d.of_node: d.status for d in duties}
    rows = [book.row(c.duty, *c.parts(), status.get(c.duty, ranking.EXISTS)) for c in costs]
    all_of, _ = summed("all", costs)
    budget = demand.budget()
    rows.append(book.row("**all duties**", *all_of.parts(), ""))
    rows.append(book.row("budget", "none", budget.core, budget.memory, budget.bytes, ""))
    left = [
        b.minus(c) if b is not None and c is not None else None
        for b, c in zip(budget.parts(), all_of.parts(), strict=True)
    ]
    rows.append(book.row("**left**", "", *left[1:], ""))
    for at, unknown in enumerate(lacking(costs), 1):
        if unknown and rows[-3][at] != NOT_MEASURED:
            rows[-3][at] = f"at least {rows[-3][at]}"
            rows[-1][at] = f"at most {rows[-1][at]}" if rows[-1][at] else ""
    return Table(("duty", *COST, "mechanism"), rows)


def built(demand: Demand) -> list[machines.Machine]:
    """The machines set aside, as they are placed."""
    topology, t = demand.target.topology, demand.target.target
    return machines.place(
        topology.zones_per_region, t.machines.set_aside, int(demand.assumed("list_replicas").mid)
    )


def role(book: Book, demand: Demand, duties: Sequence[ranking.Duty]) -> Table:
    """One process of each role beside the node."""
    status = {d.name: d.status for d in duties}
    rows = []
    for make in roles.ROLES:
        one = make(demand, built(demand), 1.0)
        rows.append(book.row(one.name, one.state, *one.cost.parts(), status[one.mechanism]))
    return Table(("role", "state held", *COST, "mechanism"), rows)


def growth(book: Book, demand: Demand) -> Table:
    """The nearest limit of each role at each size, and the first that is passed."""
    placed = built(demand)
    named: list[tuple[str, Limits]] = [("node", partial(roles.node_limits, demand))]
    for make in roles.ROLES:
        named.append((make(demand, placed, 1.0).name, partial(roles.limits_of, make, demand, placed)))
    rows = []
    for name, limits in named:
        at_sizes = [limits(times) for times in roles.GROWTH]
        cells: list[Figure | str | None] = [name]
        for near in map(roles.nearest, at_sizes):
            cells.append(None if near.used is None else near.used.over(near.there).times(100.0, "%"))
        met = roles.first_met(limits)
        if met is None:
            cells.append(f"none; nearest is {roles.nearest(at_sizes[-1]).what}")
        else:
            cells.append(f"{met[0]}, at {met[1] * demand.target.target.servers:,.0f}")
        unknown = [limit.what for limit in at_sizes[0] if limit.used is None]
        cells.append(", ".join(unknown) or "nothing")
        rows.append(book.row(*cells))
    sizes = [f"at {times * demand.target.target.servers:,.0f}" for times in roles.GROWTH]
    return Table(("role", *sizes, "first limit met", NOT_MEASURED), rows)


def placed(book: Book, demand: Demand) -> Table:
    """Where the machines set aside stand."""
    tags = _of_machines(book, demand)
    rows = []
    for m in built(demand):
        place = f"region {chr(ord('A') + m.region)}, zone {m.zone + 1}"
        rows.append([m.name, place, ", ".join(m.duties), tags])
    return Table(("machine", "stands in", "carries"), rows)


def _of_machines(book: Book, demand: Demand) -> str:
    t = demand.target.target
    told = demand.told(t.machines.set_aside, "set aside"), demand.told(t.zones, "zones per region")
    return book.sources(*told, demand.assumed("list_replicas"))


def outlast(book: Book, demand: Demand) -> Table:
    """What goes on with machines gone: every set of them, zone and region tried."""
    placed = built(demand)
    zones, regions = len({m.zone for m in placed}), len({m.region for m in placed})
    rows = []
    for one in machines.outlasts(placed):
        ways = [f"{good} of {of}" for good, of in one.ways]
        rows.append(
            [
                one.what,
                *ways,
                f"{one.zones} of {zones}",
                f"{one.regions} of {regions}",
                _of_machines(book, demand),
            ]
        )
    heads = (
        "goes on with",
        *(f"{i + 1} gone" for i in range(len(rows[0]) - 4)),
        "a zone gone",
        "a region gone",
    )
    return Table(heads, rows)


def ranked(book: Book, duties: Sequence[ranking.Duty]) -> Table:
    """All duties with need, what is carried, and their place among those that are open."""
    order = [d.name for d in ranking.rank(duties)]
    rows = []
    for d in sorted(duties, key=lambda d: order.index(d.name) if d.name in order else len(order)):
        place = str(order.index(d.name) + 1) if d.name in order else ""
        asked = "the target" if d.asked else ""
        carried = d.carried.times(100.0, "%")
        rows.append(book.row(place, d.name, d.need, carried, d.open, d.status, asked, "; ".join(d.builds_on)))
    return Table(("place", "duty", "need", "carried", "open", "mechanism", "asked by", "builds on"), rows)


# ------------------------------------------------------------ calls


def _runs(demand: Demand) -> list[OverheadRun]:
    """Runs of the present version, in an open loop at the rate nearest to a node's own calls."""
    record, calls = demand.records.overhead, demand.calls().mid
    mine = [(run, run.rate) for run in (record.runs if record is not None else ()) if run.version == "now"]
    apart = [(abs(rate - calls), run) for run, rate in mine if rate is not None]
    nearest = min((off for off, _ in apart), default=0.0)
    return [run for off, run in apart if off <= nearest]


def _told(run: OverheadRun, demand: Demand) -> tuple[Figure | None, ...]:
    """What a run says: added at the median and for 99%, core time of a call, and of a node's calls."""
    record = demand.records.overhead
    assert record is not None
    about = (
        f"overhead.json: {run.rate or 0.0:g} calls a second, {run.requests:,} requests, {run.servers} servers"
        f", {run.loop} loop, revision {record.revision[:12]} of {record.at[:10]}"
    )
    origin = Origin("measured", f"overhead of a chain of {run.chain}", about)

    def made(value: float | None, between: tuple[float, float] | None, unit: str) -> Figure | None:
        if value is None:
            return None
        return Figure(value, *(between or (value, value)), unit, (origin,))

    p50, p99 = (made(run.added.get(key), run.added_95.get(key), "ms") for key in ("p50_ms", "p99_ms"))
    core = made(run.core_us_per_request, None, "us")
    used = None if core is None else demand.calls().times(core).times(1e-4, "%")
    return p50, p99, core, used


def overhead(book: Book, demand: Demand) -> Table:
    """What a node adds to a call, for one hop and for a chain, and what calls cost it in processor time."""
    t = demand.target.target
    depth = demand.told(t.depth, "depth")
    runs = _runs(demand)
    rows = []
    for run in runs:
        told = _told(run, demand)
        name = f"{run.chain} node{'s' if run.chain > 1 else ''} in a row, {run.servers} servers, {run.loop}"
        rows.append(book.row(name, *told))
    single = [run for run in runs if run.chain == 1]
    if single and not any(run.chain == t.depth for run in runs):
        deep = [None if p is None else p.times(depth, "ms") for p in _told(single[0], demand)[:2]]
        rows.append(book.row("... times the depth, not run: at the least, and at the most", *deep, "", ""))
    if not rows:
        rows.append(book.row("a node, and a chain", None, None, None, None))
    rows.append(book.row("asked, of one call", "", demand.told(t.added_p99_ms, "added_p99_ms", "ms"), "", ""))
    return Table(("through", "added, median", "added, 99%", "core a call", "core at a node's calls"), rows)


def wiring(book: Book, demand: Demand) -> Table:
    """Connections over the platform, of a node and of the server with most, by size and by homes."""
    t, topology = demand.target.target, demand.target.topology
    rows = []
    for times in roles.GROWTH:
        n = int(t.servers * times)
        args = (n, t.services, topology.service_skew, topology.callees_per_service, demand.target.run.seed)
        plain, zoned = connections.wire(*args), connections.wire(*args, zones=t.zones)
        rule = demand.coded(1.0, "crowpost.decisions.endpoint_set")
        for name, wiring, homes in (
            ("every server", plain, False),
            ("homes", plain, True),
            ("homes, crossing zones has a price", zoned, True),
        ):
            if wiring is zoned and times != 1.0:
                continue
            whole = demand.told(wiring.total(homes), "servers, services, service skew, callees per service")
            whole, most = whole.times(rule), wiring.most_of_a_server(homes)
            each = whole.over(demand.servers(times))
            held = each.times(demand.assumed("connection_memory"), "B")
            rows.append(
                book.row(f"{n:,}, {name}", whole, each, demand.told(most, "servers").times(rule), held)
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
    """Where calling every server ends to be affordable."""

    even: Figure  # servers of a service
    least: Figure
    largest: Figure  # the largest service at the target
    closed: Figure  # the part of its calls that find no open connection
    homes: Figure  # the same with homes
    homes_least: Figure  # and of the calls to a server that has the least share of its home
    affordable: Figure  # the part that may
    calls: Figure  # to one service, of one node


def floor(demand: Demand) -> Floor:
    """By the time that a node keeps a connection, and the least share that the module leaves a server."""
    t, topology = demand.target.target, demand.target.topology
    idle = demand.coded(connections.IDLE_S, "crowpost.node.upstream.pool.IDLE_TIMEOUT_FRACTION", "s")
    calls = demand.calls().over(demand.told(topology.callees_per_service, "callees_per_service"), "/s")
    affordable = demand.assumed("handshakes_affordable")
    even, least = connections.floor_ends(calls.mid, affordable.mid)
    of = connections.sizes(t.servers, t.services, topology.service_skew)
    behind = (
        calls.times(idle).times(affordable).origins
        + demand.coded(1.0, "crowpost.decisions.learning_automaton.FLOOR_FRACTION").origins
    )
    home = connections.home(of[0], of[0])

    def made(value: float, unit: str = "") -> Figure:
        return Figure(value, value, value, unit, behind)

    return Floor(
        made(even),
        made(least),
        demand.told(of[0], "servers, services, service skew"),
        made(100.0 * connections.closed_part(calls.mid, of[0]), "%"),
        made(100.0 * connections.closed_part(calls.mid, home), "%"),
        made(100.0 * connections.closed_part(FLOOR_FRACTION * calls.mid, home), "%"),
        affordable.times(100.0, "%"),
        calls,
    )
