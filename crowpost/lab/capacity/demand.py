"""Cost of the control duties of one node at a given size of the fleet, and of configuration changes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from importlib.util import find_spec

from crowpost.config_feed.scopes import scopes_for_node
from crowpost.lab.capacity.figures import Figure, Origin, total
from crowpost.lab.capacity.lines import cost_at, cost_of_events
from crowpost.lab.capacity.records import FeedRun, RecordError, Records
from crowpost.lab.scale.target import Target

DAY_S = 86_400.0
MEASURES = ("core_ms_per_s", "memory_bytes", "bytes_per_s", "messages_per_s")


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of a duty for one process: percent of a core, bytes held, bytes and messages per second.

    None stands for an unknown cost.
    """

    duty: str
    core: Figure | None = None
    memory: Figure | None = None
    bytes: Figure | None = None
    messages: Figure | None = None

    def parts(self) -> tuple[Figure | None, ...]:
        """Return the costs in the order of the page's columns."""
        return self.messages, self.core, self.memory, self.bytes


def sum_costs(name: str, costs: Sequence[Cost]) -> tuple[Cost, bool]:
    """Return the sum of the costs, and whether every one of them is known."""
    core, all_cores = total(cost.core for cost in costs)
    memory, all_memory = total(cost.memory for cost in costs)
    byte_rate, all_bytes = total(cost.bytes for cost in costs)
    messages, all_messages = total(cost.messages for cost in costs)
    return Cost(
        name, core, memory, byte_rate, messages
    ), all_cores and all_memory and all_bytes and all_messages


class Demand:
    """Provides the values of the target and of the records as figures."""

    def __init__(self, target: Target, records: Records, built: Sequence[str] | None = None) -> None:
        """built: names of the mechanisms taken as built; None: those whose package this source tree has."""
        self.target, self.records = target, records
        same_name = ("directory", "shared", "rollout", "collect")
        packages = {"members": "membership", "feed": "config_feed", **{name: name for name in same_name}}
        found = [name for name, package in packages.items() if find_spec(f"crowpost.{package}") is not None]
        self.built = frozenset(found if built is None else built)
        self.used: set[str] = set()  # Names of the assumptions that figures are computed with.

    # -------------------------------------------------------- origins of numbers

    def from_target(self, value: float, key: str, unit: str = "") -> Figure:
        """Return a number of the target file."""
        return Figure(value, value, value, unit, (Origin("target", key.replace("_", " "), "target.toml"),))

    def assumed(self, name: str) -> Figure:
        """Return an entry of assumed.toml; raise RecordError if there is none."""
        figure = self.records.assumed.get(name)
        if figure is None:
            raise RecordError(f"assumed.toml: {name} is missing")
        self.used.add(name)
        return figure

    def measured_or_assumed(self, found: Figure | None, name: str) -> Figure:
        """Return the measured figure, else the entry of assumed.toml; the entry counts as used either way."""
        assumption = self.assumed(name)
        return assumption if found is None else found

    def from_code(self, value: float, name: str, unit: str = "") -> Figure:
        """Return a constant of the program; name: module and constant."""
        return Figure(value, value, value, unit, (Origin("code", name, "a constant of the program"),))

    def _scopes(self) -> Figure:
        """Return how many scopes have documents for one node."""
        return self.from_code(
            len(scopes_for_node("r", "s", "n")), "crowpost.config_feed.scopes.scopes_for_node"
        )

    # -------------------------------------------------------- sizes

    def servers(self, scale: float = 1.0) -> Figure:
        """Return the number of servers, each with its node, at a multiple of the target."""
        return self.from_target(self.target.target.servers * scale, "servers")

    def calls(self) -> Figure:
        """Return the calls per second of one node, which are constant as total calls grow with the fleet."""
        return self.from_target(self.target.target.calls_per_s, "calls_per_s", "/s").over(self.servers())

    def changes(self, scale: float = 1.0) -> Figure:
        """Return the configuration changes per second, assumed to grow with the fleet."""
        return self.from_target(self.target.target.changes_per_day * scale / DAY_S, "changes_per_day", "/s")

    def restarts(self, scale: float = 1.0) -> Figure:
        """Return the processes of the whole fleet that end and start again per second."""
        failures = self.target.target.failures
        per_day = failures.machines_per_day + failures.replacements_per_day
        return self.from_target(per_day * scale / DAY_S, "machines and replacements a day", "/s")

    def budget(self) -> Cost:
        """Return the budget of one node for control."""
        budget = self.target.target.node_budget
        return Cost(
            "budget",
            self.from_target(budget.core_percent, "core_percent", "%"),
            self.from_target(budget.memory_mb * 1e6, "memory_mb", "B"),
            self.from_target(budget.bytes_per_s, "bytes_per_s", "B/s"),
        )

    # -------------------------------------------------------- documents

    def fraction_received(self, scale: float = 1.0) -> Figure:
        """Return the fraction of all changes that one node receives, by the assumed split over scopes."""
        servers, services = self.servers(scale), self.from_target(self.target.target.services, "services")
        regions = self.from_target(self.target.target.regions, "regions")
        fraction = self.assumed("part_all").plus(self.assumed("part_region").over(regions))
        return fraction.plus(self.assumed("part_service").over(services)).plus(
            self.assumed("part_node").over(servers)
        )

    def bytes_per_change(self, body: str) -> Figure:
        """Return the bytes that a node receives for one change: the body once, a header from each relay."""
        return self.assumed(body).plus(self.assumed("head_bytes").times(self.assumed("relays_watched")))

    def documents(self, scale: float = 1.0) -> Figure:
        """Return the number of scopes that may hold a document: all, each region, service and node."""
        target = self.target.target
        count = 1.0 + target.regions + target.services + target.servers * scale
        return self.from_target(count, "regions, services and servers")

    def bytes_per_scope(self) -> Figure:
        """Return the bytes of the documents kept for one scope: the one in force and those before it."""
        return self.assumed("documents_kept").times(self.assumed("document_bytes"))

    def messages_per_change(self) -> Figure:
        """Return a follower's messages per change: header and apply status per relay, a fetch, a body."""
        return self.assumed("relays_watched").plus(1.0).times(2.0)

    def heartbeats(self) -> Figure:
        """Return the heartbeats per second from one followed relay."""
        return self.assumed("beat_s").inverse("/s")

    def feed_runs(self, node_count: int | None = None) -> list[FeedRun]:
        """Return the runs of the feed at the target's size, or at another."""
        wanted = self.target.target.servers if node_count is None else node_count
        return [run for run in (self.records.feed.runs if self.records.feed else ()) if run.nodes == wanted]

    def feed(
        self, case: str, measure: str, unit: str, nodes: int | None = None, source: str = ""
    ) -> Figure | None:
        """Return a measure of the feed's runs of one case: mean, minimum and maximum over the seeds."""
        runs = [run for run in self.feed_runs(nodes) if run.case == case and source in ("", run.source)]
        if measure in ("p50", "p99", "worst"):
            found = [run.in_force_s.get(measure) for run in runs]
        else:
            found = [getattr(run, measure) for run in runs]
        values = [value for value in found if value is not None]
        if not values or self.records.feed is None:
            return None
        record = self.records.feed
        sources = ", ".join(sorted({run.source for run in runs}))
        revisions = ", ".join(sorted({run.revision or record.revision for run in runs}))
        day = max(run.at or record.at for run in runs)[:10]
        about = f"feed.json: {sources}, {runs[0].nodes} nodes, revision {revisions}" + (
            f" of {day}" if day else ""
        )
        if len(values) > 1:
            about += f", {len(values)} seeds: mean, least and most"
        origin = Origin("measured", f"feed {case}", about)
        return Figure(sum(values) / len(values), min(values), max(values), unit, (origin,))

    # -------------------------------------------------------- the duties of a node

    def node(self, scale: float = 1.0) -> list[Cost]:
        """Return the cost of each duty of one node at a multiple of the target's size."""
        return [
            self._idle(scale),
            self._membership(scale),
            self._membership_changes(scale),
            self._configuration(scale),
            self._lists(scale),
            self._reports(),
            self._logs(),
            self._restart(scale),
        ]

    def _measured_duty(self, duty: str, scale: float) -> Cost:
        """Return the cost of a duty by the record of slopes, at the target's members or rate of changes."""
        slopes = self.records.slopes
        measured = slopes.duties.get(duty) if slopes is not None else None
        if slopes is None or measured is None:
            return Cost(duty)
        if "change" in measured.unit:
            quantity = self.changes(scale)
        elif measured.unit == "member":
            quantity = self.servers(scale)
        elif measured.unit == "process":
            # In the run one machine held more than one node.
            quantity = self.from_code(1.0, "one node on a server")
        else:
            raise RecordError(f"slopes.json, {duty}: no such unit: {measured.unit!r}")
        core, memory, byte_rate, messages = (
            cost_at(slopes, duty, measure, quantity.mid) for measure in MEASURES
        )
        return Cost(duty, core, memory, byte_rate, messages)

    def _event_cost(self, duty: str, name: str, rate: Figure, scale: float) -> Cost:
        """Return the added cost of a rate of events, by the slope of a duty measured at several rates."""
        slopes = self.records.slopes
        if slopes is None:
            return Cost(name)
        members = self.servers(scale).mid
        figures = [cost_of_events(slopes, duty, measure, rate.mid, members) for measure in MEASURES]
        core, memory, byte_rate, messages = (
            None if figure is None else figure.times(rate.over(rate.mid)) for figure in figures
        )
        return Cost(name, core, memory, byte_rate, messages)

    def _membership_changes(self, scale: float) -> Cost:
        """Return what leaving and joining members cost each other member.

        Their memory depends on the size, and is part of the membership duty.
        """
        cost = self._event_cost("changes", "members that come and go", self.restarts(scale), scale)
        memory = self._membership(scale).memory
        return replace(cost, memory=None if memory is None else memory.times(0.0))

    def _idle(self, scale: float) -> Cost:
        cost = self._measured_duty("idle", scale)
        nothing = self.assumed("idle_memory").times(0.0)  # An idle process sends nothing.
        memory = self.measured_or_assumed(cost.memory, "idle_memory")
        return replace(cost, memory=memory, bytes=nothing.with_unit("B/s"), messages=nothing.with_unit("/s"))

    def _membership(self, scale: float) -> Cost:
        cost = self._measured_duty("membership", scale)
        byte_rate = self.measured_or_assumed(cost.bytes, "membership_bytes")
        return replace(
            cost, bytes=byte_rate, memory=self.measured_or_assumed(cost.memory, "membership_memory")
        )

    def _configuration(self, scale: float) -> Cost:
        """Return the cost by slopes, else by runs of the feed, else by documents, headers and heartbeats."""
        cost = self._measured_duty("configuration", scale)
        byte_rate, core = cost.bytes, cost.core
        nodes = int(self.servers(scale).mid)
        if byte_rate is None:
            byte_rate = self.feed("calm", "node_bytes_per_s", "B/s", nodes)
        if core is None:
            core = self.feed("calm", "node_core_percent", "%", nodes) or self._core_of_real_node()
        heartbeats = self.heartbeats().times(self.assumed("relays_watched"))
        if byte_rate is None:
            changed = (
                self.changes(scale)
                .times(self.fraction_received(scale))
                .times(self.bytes_per_change("document_bytes"), "B/s")
            )
            byte_rate = changed.plus(heartbeats.times(self.assumed("beat_bytes"), "B/s"))
        memory = cost.memory
        if memory is None:
            # The documents of the node's own scopes: the one in force and the one before it.
            memory = self._scopes().times(self.bytes_per_scope(), "B")
        messages = cost.messages
        if messages is None:
            received = self.changes(scale).times(self.fraction_received(scale))
            messages = heartbeats.plus(received.times(self.messages_per_change(), "/s"))
        return Cost("configuration", core, memory, byte_rate, messages)

    def _core_of_real_node(self) -> Figure | None:
        """Return the core time of a real node in the feed's calm case, at the largest size that was run."""
        runs = self.records.feed.runs if self.records.feed else []
        sizes = sorted({run.nodes for run in runs}, reverse=True)
        figures = (self.feed("calm", "node_core_percent", "%", nodes, "real") for nodes in sizes)
        core = next((figure for figure in figures if figure is not None), None)
        return None if core is None else replace(core, extrapolated=True)

    def listed_servers(self, scale: float = 1.0) -> Figure:
        """Return servers listed for one node: those of the services that its server calls (mean size)."""
        callees = self.from_target(self.target.topology.callees_per_service, "callees_per_service")
        return (
            self.servers(scale).times(callees).over(self.from_target(self.target.target.services, "services"))
        )

    def _lists(self, scale: float) -> Cost:
        """Return the cost of endpoint lists; a restart changes the lists of nodes that know the server."""
        lines_per_s = self.assumed("list_line_s").inverse("/s")
        listed_fraction = self.listed_servers(scale).over(self.servers(scale))
        changes = self.restarts(scale).times(self.assumed("list_changes_per_restart")).times(listed_fraction)
        byte_rate = changes.times(self.assumed("list_entry_bytes"), "B/s")
        memory = self.listed_servers(scale).times(self.assumed("server_memory"), "B")
        return Cost(
            "list and watch",
            None,
            memory,
            byte_rate.plus(lines_per_s.with_unit("B/s")),
            lines_per_s.plus(changes),
        )

    def _reports(self) -> Cost:
        byte_rate = self.calls().times(self.assumed("load_report_bytes"), "B/s")
        # Load reports are headers of answers, so they add no messages.
        return Cost("load reports", None, None, byte_rate, self.calls().times(0.0))

    def _logs(self) -> Cost:
        pages_per_s = self.assumed("figures_every_s").inverse("/s")
        lines_per_s = self.assumed("log_lines_per_s")
        byte_rate = pages_per_s.times(self.assumed("figures_page_bytes"), "B/s")
        byte_rate = byte_rate.plus(lines_per_s.times(self.assumed("log_line_bytes"), "B/s"))
        return Cost("logs and figures", None, None, byte_rate, pages_per_s.plus(lines_per_s))

    def _restart(self, scale: float) -> Cost:
        """Return the cost of a node's start with its full list and documents, averaged over the day."""
        own_restarts = self.restarts(scale).over(self.servers(scale))
        cost = self._event_cost("restart", "restart", own_restarts, scale)
        nothing = self.assumed("idle_memory").times(0.0)  # The new process replaces the old one.
        cost = replace(
            cost,
            memory=nothing,
            core=cost.core or own_restarts.times(self.assumed("start_s")).times(100.0, "%"),
        )
        if cost.bytes is None:
            list_bytes = self.listed_servers(scale).times(self.assumed("list_entry_bytes"))
            documents = self._scopes().times(self.assumed("document_bytes"))
            cost = replace(cost, bytes=own_restarts.times(list_bytes.plus(documents), "B/s"))
        return cost
