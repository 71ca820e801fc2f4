"""A scale run, from the choice of its parts to their results."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import uvloop

from crowpost.lab.live.processes import NodeError
from crowpost.lab.scale import changes, simulated, slopes, troubles
from crowpost.lab.scale.slopes import PartContext, PartResult, PrintLine
from crowpost.lab.scale.target import FAULT_KINDS, Run, ScaleError, Target

# "idle" measures real processes side by side, without the membership duty and with it.
PARTS = (
    "idle",
    "membership",
    "changes",
    "configuration",
    "simulated",
)
# One simulated hour takes a core about a minute.
SIMULATED_PARTITION_MEMBERS = 56
SHORT_PARTITION_S = 120.0
# Simulated time within which all members should notice the loss of a zone.
ZONE_LOSS_LIMIT_S = 120.0


@dataclass(frozen=True)
class Choice:
    """The parts of the target file to run; None stands for all of them."""

    short: bool = False
    sizes: tuple[int, ...] | None = None
    duties: tuple[str, ...] | None = None
    troubles: tuple[str, ...] | None = None
    seed: int | None = None

    def run(self, target: Target) -> Run:
        """Return the run of the target with this choice applied."""
        run = target.short if self.short else target.run
        return run if self.sizes is None else replace(run, sizes=self.sizes)

    def check(self) -> None:
        """Raise ScaleError for an unknown duty or fault kind."""
        for option, chosen, known in (
            ("duties", self.duties, PARTS),
            ("troubles", self.troubles, FAULT_KINDS),
        ):
            for name in chosen or ():
                if name not in known:
                    raise ScaleError(f"--{option}: {name!r} is none of {', '.join(known)}")


Part = tuple[str, Callable[[], Coroutine[Any, Any, PartResult]]]


def parts(context: PartContext, choice: Choice) -> list[Part]:
    """Return the names and functions of the chosen parts in order."""
    run, chosen_parts = context.run, []
    duties = PARTS if choice.duties is None else choice.duties
    if "idle" in duties:
        chosen_parts.append(
            (f"{run.real} real processes and as many simulated nodes", _side_by_side(context))
        )
    if "membership" in duties:
        chosen_parts += [
            (f"membership, {size} members", _membership_by_size(context, size)) for size in run.sizes
        ]
    if "changes" in duties:
        chosen_parts.append((f"changes, {run.rate_members} members", _changes_by_rate(context)))
    if "configuration" in duties:
        chosen_parts.append((f"configuration, {run.rate_members} nodes", _configuration_by_rate(context)))
    if "simulated" in duties:
        chosen_parts.append(("simulated time", _simulated(context, choice)))
    kinds = [fault.kind for fault in context.target.troubles]
    if choice.troubles is not None:
        kinds = [kind for kind in kinds if kind in choice.troubles]
    if kinds:
        chosen_parts.append((f"faults, {run.trouble_members} members", _faults(context, kinds)))
    return chosen_parts


def _side_by_side(context: PartContext) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    return lambda: slopes.side_by_side(context, "membership")


def _membership_by_size(context: PartContext, size: int) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    return lambda: slopes.by_size(context, "membership", size)


def _changes_by_rate(context: PartContext) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    return lambda: changes.by_rate(context)


def _configuration_by_rate(context: PartContext) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    async def work() -> PartResult:
        from crowpost.lab.scale import configuration

        return await configuration.by_rate(context)

    return work


def _faults(context: PartContext, kinds: list[str]) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    return lambda: troubles.run_faults(context, kinds)


def _simulated(context: PartContext, choice: Choice) -> Callable[[], Coroutine[Any, Any, PartResult]]:
    async def work() -> PartResult:
        result = PartResult()
        for size in context.run.sizes:
            simulated.measure_quiet_cluster(result, size, min(context.run.seconds, 10.0), context.seed)
        members = context.run.trouble_members
        zone_loss = simulated.zone_loss(context.target.topology, members, ZONE_LOSS_LIMIT_S, context.seed)
        result.faults.append(zone_loss)
        context.print_line(
            f"loss of a zone of {members} members: known to all after {zone_loss['settled_s']} simulated s"
        )
        planned_s = context.target.target.failures.region_cut_s
        duration_s = SHORT_PARTITION_S if choice.short else planned_s
        partition = simulated.region_partition(
            context.target.topology, SIMULATED_PARTITION_MEMBERS, duration_s, context.seed
        )
        result.faults.append(partition)
        converged_s = partition["settled_after_s"]
        context.print_line(f"partition of {duration_s:g} simulated s: one view {converged_s} s after its end")
        return result

    return work


def run_parts(
    target: Target,
    choice: Choice,
    print_line: PrintLine,
    progress: Callable[[int, int, str], None] = lambda *_: None,
) -> PartResult:
    """Run the chosen parts and return their combined results.

    progress: called with the number of finished parts, the number of all parts, and the name of the next one.
    Raises ScaleError with one line if a part cannot run; all started processes have ended by then.
    """
    choice.check()
    run = choice.run(target)
    seed = run.seed if choice.seed is None else choice.seed
    combined = PartResult()
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        context = PartContext(target, run, seed, Path(folder), print_line)
        work = parts(context, choice)
        if not work:
            raise ScaleError("nothing to run: no duty and no fault is chosen")
        for done, (name, part) in enumerate(work):
            progress(done, len(work), name)
            started = time.monotonic()
            try:
                combined.merge(uvloop.run(_run_part(part)))
            except (NodeError, OSError) as error:
                raise ScaleError(f"{name}: {error}") from None
            print_line(f"{name}: {time.monotonic() - started:.0f} s")
        progress(len(work), len(work), "done")
    return combined


async def _run_part(part: Callable[[], Coroutine[Any, Any, PartResult]]) -> PartResult:
    return await asyncio.ensure_future(part())
