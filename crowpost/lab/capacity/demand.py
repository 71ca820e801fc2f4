"""What control asks of one node at a given size of the fleet, duty by duty; what changes come to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from importlib.util import find_spec

from crowpost.config_feed.scopes import scopes_for_node
from crowpost.lab.capacity.figures import Figure, Origin, total
from crowpost.lab.capacity.lines import at, rise
from crowpost.lab.capacity.records import FeedRun, RecordError, Records
from crowpost.lab.scale.target import Target

DAY_S = 86_400.0
MEASURED = ("core_ms_per_s", "memory_bytes", "bytes_per_s", "messages_per_s")


@dataclass(frozen=True, slots=True)
class Cost:
    """What a duty costs one process: of a core, bytes held, bytes and messages a second; None: unknown."""

    duty: str
    core: Figure | None = None
    memory: Figure | None = None
    bytes: Figure | None = None
    messages: Figure | None = None

    def parts(self) -> tuple[Figure | None, ...]:
        """In the order of the page's columns."""
        return self.messages, self.core, self.memory, self.bytes


def summed(name: str, costs: Sequence[Cost]) -> tuple[Cost, bool]:
    """All of them together, and whether nothing is left out for want of a measurement."""
    core, a = total(c.core for c in costs)
    memory, b = total(c.memory for c in costs)
    moved, c = total(c.bytes for c in costs)
    messages, d = total(c.messages for c in costs)
    return Cost(name, core, memory, moved, messages), a and b and c and d


class Demand:
    """The target and the records, as figures."""

    def __init__(self, target: Target, records: Records, built: Sequence[str] | None = None) -> None:
        """built: the packages that stand for a mechanism; None: those that this tree has."""
        self.target, self.records = target, records
        known = ("directory", "shared", "rollout", "collect")
        packages = {"members": "membership", "feed": "config_feed", **{name: name for name in known}}
        found = [name for name, package in packages.items() if find_spec(f"crowpost.{package}") is not None]
        self.built = frozenset(found if built is None else built)
        self.used: set[str] = set()  # assumptions that a figure was made with

    # -------------------------------------------------------- where numbers are from

    def told(self, value: float, key: str, unit: str = "") -> Figure:
        """A number of the target file."""
        return Figure(value, value, value, unit, (Origin("target", key.replace("_", " "), "target.toml"),))

    def assumed(self, name: str) -> Figure:
        """An entry of assumed.toml; RecordError where there is none."""
        figure = self.records.assumed.get(name)
        if figure is None:
            raise RecordError(f"assumed.toml: {name} is missing")
        self.used.add(name)
        return figure

    def unless(self, found: Figure | None, name: str) -> Figure:
        """What was found, else the entry of assumed.toml that stands in for it; the entry counts as used."""
        stand_in = self.assumed(name)
        return stand_in if found is None else found

    def coded(self, value: float, name: str, unit: str = "") -> Figure:
        """A constant of the program; name: module and constant."""
        return Figure(value, value, value, unit, (Origin("code", name, "a constant of the program"),))

    def _scopes(self) -> Figure:
        """How many scopes have documents for one node."""
        return self.coded(len(scopes_for_node("r", "s", "n")), "crowpost.config_feed.scopes.scopes_for_node")

    # -------------------------------------------------------- sizes

    def servers(self, times: float = 1.0) -> Figure:
        """Servers, each with its node, at a multiple of the target."""
        return self.told(self.target.target.servers * times, "servers")

    def calls(self) -> Figure:
        """Calls a second of one node; they grow with the fleet, so that a node's stay as they are."""
        return self.told(self.target.target.calls_per_s, "calls_per_s", "/s").over(self.servers())

    def changes(self, times: float = 1.0) -> Figure:
        """Changes of configuration a second; taken to grow with the fleet."""
        return self.told(self.target.target.changes_per_day * times / DAY_S, "changes_per_day", "/s")

    def restarts(self, times: float = 1.0) -> Figure:
        """Processes that end and come back, a second, over the whole fleet."""
        failures = self.target.target.failures
        day = failures.machines_per_day + failures.replacements_per_day
        return self.told(day * times / DAY_S, "machines and replacements a day", "/s")

    def budget(self) -> Cost:
        """Of one node, for control."""
        budget = self.target.target.node_budget
        return Cost(
            "budget",
            self.told(budget.core_percent, "core_percent", "%"),
            self.told(budget.memory_mb * 1e6, "memory_mb", "B"),
            self.told(budget.bytes_per_s, "bytes_per_s", "B/s"),
        )

    # -------------------------------------------------------- documents

    def reach(self, times: float = 1.0) -> Figure:
        """The part of all changes that one node takes in, by the assumed split over scopes."""
        n, services = self.servers(times), self.told(self.target.target.services, "services")
        regions = self.told(self.target.target.regions, "regions")
        part = self.assumed("part_all").plus(self.assumed("part_region").over(regions))
        return part.plus(self.assumed("part_service").over(services)).plus(self.assumed("part_node").over(n))

    def told_bytes(self, body: str) -> Figure:
        """What a node takes in for one change: the body once, its head from each relay that it watches."""
        return self.assumed(body).plus(self.assumed("head_bytes").times(self.assumed("relays_watched")))

    def documents(self, times: float = 1.0) -> Figure:
        """Scopes that may hold a document: all, each region, service and node."""
        t = self.target.target
        count = 1.0 + t.regions + t.services + t.servers * times
        return self.told(count, "regions, services and servers")

    def held_each(self) -> Figure:
        """Bytes of one scope's documents, where the one in force and those before it are kept."""
        return self.assumed("documents_kept").times(self.assumed("document_bytes"))

    def messages_per_change(self) -> Figure:
        """What a follower sends and gets: a head and a standing with each relay; a fetch and the body."""
        return self.assumed("relays_watched").plus(1.0).times(2.0)

    def beats(self) -> Figure:
        """Heartbeats a second on one watch."""
        return self.assumed("beat_s").inverse("/s")

    def feed_runs(self, least_nodes: int | None = None) -> list[FeedRun]:
        """Runs of the feed at the target's size, or at another."""
        nodes = self.target.target.servers if least_nodes is None else least_nodes
        return [r for r in (self.records.feed.runs if self.records.feed else ()) if r.nodes == nodes]

    def feed(
        self, case: str, what: str, unit: str, nodes: int | None = None, source: str = ""
    ) -> Figure | None:
        """A measure of the feed's runs of one case: the mean, the least and the most of the seeds."""
        runs = [r for r in self.feed_runs(nodes) if r.case == case and source in ("", r.source)]
        if what in ("p50", "p99", "worst"):
            found = [r.in_force_s.get(what) for r in runs]
        else:
            found = [getattr(r, what) for r in runs]
        values = [value for value in found if value is not None]
        if not values or self.records.feed is None:
            return None
        feed = self.records.feed
        sources = ", ".join(sorted({r.source for r in runs}))
        revisions = ", ".join(sorted({r.revision or feed.revision for r in runs}))
        day = max(r.at or feed.at for r in runs)[:10]
        about = f"feed.json: {sources}, {runs[0].nodes} nodes, revision {revisions}" + (
            f" of {day}" if day else ""
        )
        if len(values) > 1:
            about += f", {len(values)} seeds: mean, least and most"
        origin = Origin("measured", f"feed {case}", about)
        return Figure(sum(values) / len(values), min(values), max(values), unit, (origin,))

    # -------------------------------------------------------- the duties of a node

    def node(self, times: float = 1.0) -> list[Cost]:
        """Each duty of one node at a multiple of the target's size."""
        return [
            self._idle(times),
            self._membership(times),
            self._coming_and_going(times),
            self._configuration(times),
            self._lists(times),
            self._reports(),
            self._logs(),
            self._restart(times),
        ]

    def _slope(self, duty: str, times: float) -> Cost:
        """A duty by the record of slopes, at so many members, or at the rate of changes or restarts."""
        slopes = self.records.slopes
        found = slopes.duties.get(duty) if slopes is not None else None
        if slopes is None or found is None:
            return Cost(duty)
        if "change" in found.unit:
            x = self.changes(times)
        elif found.unit == "member":
            x = self.servers(times)
        elif found.unit == "process":
            x = self.coded(1.0, "one node on a server")  # a machine of the run held more
        else:
            raise RecordError(f"slopes.json, {duty}: no such unit: {found.unit!r}")
        core, memory, moved, messages = (at(slopes, duty, measure, x.mid) for measure in MEASURED)
        return Cost(duty, core, memory, moved, messages)

    def _per_event(self, duty: str, name: str, rate: Figure, times: float) -> Cost:
        """What so many events a second add, by the slope of a duty that was measured by their rate."""
        slopes = self.records.slopes
        if slopes is None:
            return Cost(name)
        n = self.servers(times).mid
        found = [rise(slopes, duty, measure, rate.mid, n) for measure in MEASURED]
        core, memory, moved, messages = (None if f is None else f.times(rate.over(rate.mid)) for f in found)
        return Cost(name, core, memory, moved, messages)

    def _coming_and_going(self, times: float) -> Cost:
        """What members that leave and come add to each of the others.  Memory is by size, and told there."""
        cost = self._per_event("changes", "members that come and go", self.restarts(times), times)
        memory = self._membership(times).memory
        return replace(cost, memory=None if memory is None else memory.times(0.0))

    def _idle(self, times: float) -> Cost:
        cost = self._slope("idle", times)
        none = self.assumed("idle_memory").times(0.0)  # with nothing on it sends nothing
        held = self.unless(cost.memory, "idle_memory")
        return replace(cost, memory=held, bytes=none.to("B/s"), messages=none.to("/s"))

    def _membership(self, times: float) -> Cost:
        cost = self._slope("membership", times)
        moved = self.unless(cost.bytes, "membership_bytes")
        return replace(cost, bytes=moved, memory=self.unless(cost.memory, "membership_memory"))

    def _configuration(self, times: float) -> Cost:
        """By slopes; else by the feed's own runs; else what the documents, heads and heartbeats come to."""
        cost = self._slope("configuration", times)
        moved, core = cost.bytes, cost.core
        nodes = int(self.servers(times).mid)
        if moved is None:
            moved = self.feed("calm", "node_bytes_per_s", "B/s", nodes)
        if core is None:
            core = self.feed("calm", "node_core_percent", "%", nodes) or self._real_core()
        beats = self.beats().times(self.assumed("relays_watched"))
        if moved is None:
            changed = (
                self.changes(times).times(self.reach(times)).times(self.told_bytes("document_bytes"), "B/s")
            )
            moved = changed.plus(beats.times(self.assumed("beat_bytes"), "B/s"))
        memory = cost.memory
        if memory is None:  # the documents of the node's own scopes, in force and the one before
            memory = self._scopes().times(self.held_each(), "B")
        messages = cost.messages
        if messages is None:
            taken = self.changes(times).times(self.reach(times))
            messages = beats.plus(taken.times(self.messages_per_change(), "/s"))
        return Cost("configuration", core, memory, moved, messages)

    def _real_core(self) -> Figure | None:
        """Core time of a real node in the feed's calm case, at the largest size that was run."""
        runs = self.records.feed.runs if self.records.feed else []
        sizes = sorted({run.nodes for run in runs}, reverse=True)
        found = (self.feed("calm", "node_core_percent", "%", nodes, "real") for nodes in sizes)
        core = next((figure for figure in found if figure is not None), None)
        return None if core is None else replace(core, beyond=True)

    def seen(self, times: float = 1.0) -> Figure:
        """Servers that one node is told of: those of the services that its own server calls, of mean size."""
        callees = self.told(self.target.topology.callees_per_service, "callees_per_service")
        return self.servers(times).times(callees).over(self.told(self.target.target.services, "services"))

    def _lists(self, times: float) -> Cost:
        """A server that ends and comes back is two changes of a list, for each node that is told of it."""
        lines = self.assumed("list_line_s").inverse("/s")
        part = self.seen(times).over(self.servers(times))
        changed = self.restarts(times).times(self.assumed("list_changes_per_restart")).times(part)
        moved = changed.times(self.assumed("list_entry_bytes"), "B/s")
        held = self.seen(times).times(self.assumed("server_memory"), "B")
        return Cost("list and watch", None, held, moved.plus(lines.to("B/s")), lines.plus(changed))

    def _reports(self) -> Cost:
        moved = self.calls().times(self.assumed("load_report_bytes"), "B/s")
        return Cost("load reports", None, None, moved, self.calls().times(0.0))  # they ride on answers

    def _logs(self) -> Cost:
        pages = self.assumed("figures_every_s").inverse("/s")
        lines = self.assumed("log_lines_per_s")
        moved = pages.times(self.assumed("figures_page_bytes"), "B/s")
        moved = moved.plus(lines.times(self.assumed("log_line_bytes"), "B/s"))
        return Cost("logs and figures", None, None, moved, pages.plus(lines))

    def _restart(self, times: float) -> Cost:
        """Its own start, and what the whole list and all its documents come to then, spread over the day."""
        own = self.restarts(times).over(self.servers(times))
        cost = self._per_event("restart", "restart", own, times)
        none = self.assumed("idle_memory").times(0.0)  # it takes the place of the one before
        cost = replace(
            cost, memory=none, core=cost.core or own.times(self.assumed("start_s")).times(100.0, "%")
        )
        if cost.bytes is None:
            whole = self.seen(times).times(self.assumed("list_entry_bytes"))
            documents = self._scopes().times(self.assumed("document_bytes"))
            cost = replace(cost, bytes=own.times(whole.plus(documents), "B/s"))
        return cost
