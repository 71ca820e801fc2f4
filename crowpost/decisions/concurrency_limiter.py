"""Admission: how many calls may be out at once, by what answers tell of the load."""

from __future__ import annotations

import math

from crowpost.decision_api import Log
from crowpost.decisions.endpoint_set import Fleet
from crowpost.decisions.estimators import Bucket, Rate
from crowpost.decisions.outlier_detection import Health

TARGET = 0.4  # latencies are kept below this part of the aim, less for inner tiers
TARGET_TIMES = 1.6  # and this many times the calmest lateness, where the aim leaves little room
LATE_CAP = 1.2  # in aims: what one very late answer counts at most
TIMES_CALM = 2.0  # and below this many times the node's calmest mean latency
TIMES_CALM_LATE = 1.5  # where a node has so few answers that strain is averaged over five
CALM_AFTER = 10  # answers before a mean latency counts as such
CALM_TURNS = 20.0  # and mean latencies since the first call: the first answers come from an empty fleet
CALM_FADE = 0.00003  # by which the calmest mean follows the present one at each answer
STRAIN_STEP = 0.05  # strain is averaged over about twenty answers
STRAIN_AIMS = 2.0  # but where those take longer than this many aims, over as many as come in that time,
STRAIN_MOST = 0.2  # five at the least: at full size twenty answers of one node come after the jam
LIMIT_DOWN = 0.9
LIMIT_DOWN_MOST = 0.5  # a cut is as deep as the strain, down to this
LIMIT_UP = 1.05
GROW_TIMES = 1.65  # calls out for each that the best rate needs at the calmest latency: no growth beyond
LIMIT_DEPTH = 1.2  # margin over the calls out that the best recent rate needs at the calmest latency
PEAK_FADE = 4.0  # the best rate fades over this many aims
LIMIT_START = 6.0  # calls out for each server before anything is known, so that a restart opens no flood
LIMIT_RECALL = 2.0  # times that start, or less by as much: further a limit that is remembered is not followed
LIMIT_START_UP = 1.2  # and its growth for each mean latency until the first strain


class Admission:
    """The limit of calls out: strain cuts it, calm lifts it, and it follows the capacity of the list."""

    def __init__(self, fleet: Fleet, health: Health) -> None:
        self.fleet, self.health, settings = fleet, health, fleet.settings
        self.sharers = 1
        self.limit = 0.0  # set by the first list
        self.strain = 0.0
        self.calm = math.inf
        self._capacity = 0.0  # of the listed servers, in warm ones
        self._strained = False
        self._lateness = 0.0  # mean latency as a part of the aim
        self._calm_lateness = 1.0
        self._step = STRAIN_STEP
        self._busy = 0.0  # calls out, in the mean
        self._felt_at = self._limit_at = 0.0
        self._level = 0.0  # mean latency, over the span that strain is averaged on
        self._usual = 0.0  # the same over about twenty answers
        self._answers = 0
        self._served = Rate(fleet.aim)
        self._peak = 0.0  # best recent rate of answers a millisecond
        self._peak_at = 0.0
        self._shedding = False
        self._quota = [Bucket(t.quota_per_s, math.inf) for t in settings.tenants]
        self.follow_nodes()

    def follow_nodes(self) -> None:
        """What all nodes of the front admit is split over them; further in each node stands for itself."""
        settings, nodes, before = self.fleet.settings, self.fleet.nodes, self.sharers
        self.sharers = 1 if settings.tier else nodes
        self.limit *= before / self.sharers
        self._peak *= before / self.sharers
        for tenant, quota in zip(settings.tenants, self._quota, strict=True):
            quota.per_s = tenant.quota_per_s / nodes

    def within_share(self, tenant: int) -> bool:
        """A second's quota for each tenant, at the tier that clients reach."""
        known = not self.fleet.settings.tier and 0 <= tenant < len(self._quota)
        return not known or self._quota[tenant].take(self.fleet.now)

    def has_room(self, out: int, chance: float) -> bool:
        """Whether the limit leaves room for one more beside those out.

        Where many nodes share few calls the limit is a few calls or less than one: whole numbers would let
        out far too many or too few over all nodes, so each request carries the chance that settles the
        fraction.
        """
        return out + chance < self.limit or self._unused(chance)

    def _unused(self, chance: float) -> bool:
        """Whether servers hold less than all nodes together may let out, by fresh load reports.

        Only until calm is known: up to then the limit is this node's part of a guess for all, and the part of
        a peer that drains or restarts goes unused, while all its requests come here.
        """
        if self.sharers == 1 or self.strain > 1.0 or self._calm_known():
            return False
        return 0.0 < self.fleet.reports.held < LIMIT_START * self._capacity - chance

    def _calm_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too calm for long."""
        start = self.fleet.sent.start
        early = start is None or self._answers < CALM_AFTER
        return not early and self.fleet.now - (start or 0.0) >= CALM_TURNS * self._level

    def follow_capacity(self) -> None:
        """Keep the limit in proportion to what the servers bear while they come, go and warm up.

        Latencies tell of a fleet that has lost half of its capacity only once the rest is jammed: what was
        let out for all is then with those that stayed.
        """
        capacity = self.fleet.capacity
        if not capacity:
            return  # whatever is listed next, the limit stands for what was listed last
        known, self._capacity = self._capacity, capacity
        # All nodes of the front start alike: each takes its part of what the fleet may hold.  Further in a
        # node limits itself by the whole fleet: what it sends was admitted at the front, and a call held
        # back there costs all the work done for it so far.
        self.limit = (
            self.limit * capacity / known if known else LIMIT_START * max(1.0, capacity / self.sharers)
        )

    @property
    def limit_each(self) -> float:
        """The limit for each unit of capacity that is this node's part."""
        return self.limit / max(1.0, self._capacity / self.sharers) if self._capacity else 0.0

    def recall(self, limit_each: float, trust: float) -> None:
        """Start from an earlier process's limit, so far as it is trusted and near the usual start."""
        if limit_each > 0.0 and self._capacity:
            bound = min(max(limit_each, LIMIT_START / LIMIT_RECALL), LIMIT_START * LIMIT_RECALL)
            self.limit *= 1.0 + trust * (bound / LIMIT_START - 1.0)

    def calm_down(self, latency: float) -> None:
        """Remember the mean latency of the calmest time: what the service takes when nothing queues."""
        now = self.fleet.now
        self._answers += 1
        self._level += max(self._step, 1.0 / self._answers) * (latency - self._level)
        # The least of a short average lies far below any mean: what is calm is judged by a longer one.
        self._usual += max(STRAIN_STEP, 1.0 / self._answers) * (latency - self._usual)
        self._served.add(1.0, now)
        fade = math.exp(-(now - self._peak_at) / (PEAK_FADE * self.fleet.aim))
        self._peak_at = now
        if self._calm_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self._served.per_ms(now)
            self._peak = max(self._peak * fade, rate - math.sqrt(rate / self._served.span))
            self.calm = min(self.calm, self._usual)
            self.calm += CALM_FADE * (self._usual - self.calm)
            self._calm_lateness = min(self._calm_lateness, self._lateness)
            self._calm_lateness += CALM_FADE * (self._lateness - self._calm_lateness)

    def feel(self, latency_share: float, calls_out: int) -> None:
        """Follow the strain (latency against its target) and set the limit of calls out by it."""
        settings, now, aim = self.fleet.settings, self.fleet.now, self.fleet.aim
        part = (now - self._felt_at) / (STRAIN_AIMS * aim)
        self._felt_at = now
        self._step += STRAIN_MOST * (min(max(part, STRAIN_STEP), STRAIN_MOST) - self._step)
        self._lateness += self._step * (min(latency_share, LATE_CAP) - self._lateness)
        self._busy += self._step * (calls_out - self._busy)
        # Few answers tell late: by then a jam is under way, so less than that is called strain.
        lag = (self._step - STRAIN_STEP) / (STRAIN_MOST - STRAIN_STEP)
        calm = (TIMES_CALM + lag * (TIMES_CALM_LATE - TIMES_CALM)) * self.calm
        # Where even the calmest latencies are near the target, holding to it would shed without end.
        target = TARGET * (settings.tiers - settings.tier) / settings.tiers
        target = max(target, TARGET_TIMES * self._calm_lateness) if self.calm < math.inf else target
        self.strain = max(self._lateness / target, self._level / calm if calm > 0 else 0.0)
        # Not by the mean latency alone: in a jam that grows to the callers' deadline, and cuts that waited
        # for it came every five seconds, while four hundred nodes went on feeding queues of dead calls.
        if now - self._limit_at < min(self.health.patience.mean, TIMES_CALM * self.calm, aim):
            return
        self._limit_at = now
        # A server holds its slot while it waits for the tiers behind it: with a call for each of those its
        # core is just kept busy.  At one call a front that had taken a lucky start for calm shed 40% all day.
        least = (settings.tiers - settings.tier) * len(self.fleet.arms) / self.sharers
        if self.strain > 1.0:
            self._strained = True
            # Cut at most to what was in flight when as much was answered without a queue, times a margin:
            # repeated blind cuts shed at random, and what they let back in jams the servers again.
            # The best rate fades with time, not with answers: in a jam none come.
            fade = math.exp(-(now - self._peak_at) / (PEAK_FADE * aim))
            enough = LIMIT_DEPTH * self._peak * fade * min(self.calm, self._level)
            down = min(LIMIT_DOWN, max(LIMIT_DOWN_MOST, 1.0 / self.strain))
            # The mean of what is out, and a deviation more: at one moment few calls may be far fewer.
            reach = max(1.0, self._busy + math.sqrt(self._busy))
            self.limit = max(least, enough, min(self.limit, reach) * down)
        elif calls_out + 1 >= 0.8 * self.limit and self._calm_known():  # no growth before calm is known
            grown = self.limit * (LIMIT_UP if self._strained else LIMIT_START_UP) + 1.0
            # By Little's law more calls out than this, at the best rate seen, mean a queue: latencies tell
            # so only after they have been suffered, and by then the limit had doubled once too often.
            enough = max(GROW_TIMES * self.calm * self._peak, LIMIT_START * least)
            enough += math.sqrt(enough)
            self.limit = max(self.limit, min(grown, enough))
        shedding = self.strain > 1.0
        if shedding != self._shedding:
            self._shedding = shedding
            text = f"admission limit {'on' if shedding else 'off'}: {self.limit:.1f} calls"
            text += (
                f", strain {self.strain:.2f}, mean latency {self._level:.0f} ms, calmest {self.calm:.0f} ms"
            )
            self.health.actions.append(Log(text))
