"""A scale run from its choice of parts to its record."""

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
from crowpost.lab.scale.slopes import Piece, Say, Setting
from crowpost.lab.scale.target import KINDS, Run, ScaleError, Target

PARTS = (
    "idle",
    "membership",
    "changes",
    "configuration",
    "simulated",
)  # idle: with the duty, side by side on real processes
SIMULATED_CUT_MEMBERS = 56  # an hour of them is a minute of one core
SHORT_CUT_S = 120.0
ZONE_S = 120.0  # simulated, for all to know of a zone's loss


@dataclass(frozen=True)
class Choice:
    """What is run of the target file; None: all of it."""

    short: bool = False
    sizes: tuple[int, ...] | None = None
    duties: tuple[str, ...] | None = None
    troubles: tuple[str, ...] | None = None
    seed: int | None = None

    def run(self, target: Target) -> Run:
        """The run's figures with the choice laid over them."""
        run = target.short if self.short else target.run
        return run if self.sizes is None else replace(run, sizes=self.sizes)

    def check(self) -> None:
        """ScaleError with one line for a part that there is not."""
        for what, chosen, known in (("duties", self.duties, PARTS), ("troubles", self.troubles, KINDS)):
            for name in chosen or ():
                if name not in known:
                    raise ScaleError(f"--{what}: {name!r} is none of {', '.join(known)}")


Part = tuple[str, Callable[[], Coroutine[Any, Any, Piece]]]


def parts(setting: Setting, choice: Choice) -> list[Part]:
    """Names and work of what was chosen, in order."""
    run, found = setting.run, []
    duties = PARTS if choice.duties is None else choice.duties
    if "idle" in duties:
        found.append((f"{run.real} real processes and as many hollow", _side(setting)))
    if "membership" in duties:
        found += [(f"membership, {size} members", _size(setting, size)) for size in run.sizes]
    if "changes" in duties:
        found.append((f"changes, {run.rate_members} members", _rates(setting)))
    if "configuration" in duties:
        found.append((f"configuration, {run.rate_members} nodes", _configuration(setting)))
    if "simulated" in duties:
        found.append(("simulated time", _simulated(setting, choice)))
    wanted = [t.kind for t in setting.target.troubles]
    if choice.troubles is not None:
        wanted = [kind for kind in wanted if kind in choice.troubles]
    if wanted:
        found.append((f"troubles, {run.trouble_members} members", _troubles(setting, wanted)))
    return found


def _side(setting: Setting) -> Callable[[], Coroutine[Any, Any, Piece]]:
    return lambda: slopes.side_by_side(setting, "membership")


def _size(setting: Setting, size: int) -> Callable[[], Coroutine[Any, Any, Piece]]:
    return lambda: slopes.by_size(setting, "membership", size)


def _rates(setting: Setting) -> Callable[[], Coroutine[Any, Any, Piece]]:
    return lambda: changes.by_rate(setting)


def _configuration(setting: Setting) -> Callable[[], Coroutine[Any, Any, Piece]]:
    async def work() -> Piece:
        from crowpost.lab.scale import configuration

        return await configuration.by_rate(setting)

    return work


def _troubles(setting: Setting, kinds: list[str]) -> Callable[[], Coroutine[Any, Any, Piece]]:
    return lambda: troubles.play(setting, kinds)


def _simulated(setting: Setting, choice: Choice) -> Callable[[], Coroutine[Any, Any, Piece]]:
    async def work() -> Piece:
        piece = Piece()
        for size in setting.run.sizes:
            simulated.quiet(piece, size, min(setting.run.seconds, 10.0), setting.seed)
        members = setting.run.trouble_members
        lost = simulated.zone_loss(setting.target.topology, members, ZONE_S, setting.seed)
        piece.troubles.append(lost)
        setting.say(f"a zone of {members} lost: known to all after {lost['settled_s']} simulated s")
        hour = setting.target.target.failures.region_cut_s
        for_s = SHORT_CUT_S if choice.short else hour
        found = simulated.region_cut(setting.target.topology, SIMULATED_CUT_MEMBERS, for_s, setting.seed)
        piece.troubles.append(found)
        whole = found["settled_after_s"]
        setting.say(f"regions cut for {for_s:g} simulated s: one view {whole} s after they are joined")
        return piece

    return work


def run_parts(
    target: Target, choice: Choice, say: Say, progress: Callable[[int, int, str], None] = lambda *_: None
) -> Piece:
    """Run what was chosen.  progress: parts done, of all, and the one that begins.

    ScaleError with one line for what cannot be run; every process that was started has ended then.
    """
    choice.check()
    run = choice.run(target)
    seed = run.seed if choice.seed is None else choice.seed
    whole = Piece()
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        setting = Setting(target, run, seed, Path(folder), say)
        work = parts(setting, choice)
        if not work:
            raise ScaleError("nothing is chosen: no duty and no trouble")
        for done, (name, part) in enumerate(work):
            progress(done, len(work), name)
            began = time.monotonic()
            try:
                whole.add(uvloop.run(_bounded(part)))
            except (NodeError, OSError) as error:
                raise ScaleError(f"{name}: {error}") from None
            say(f"{name}: {time.monotonic() - began:.0f} s")
        progress(len(work), len(work), "done")
    return whole


async def _bounded(part: Callable[[], Coroutine[Any, Any, Piece]]) -> Piece:
    return await asyncio.ensure_future(part())
