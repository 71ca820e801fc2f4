"""One run: cases in order, each with all versions, and the record of it."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from crowpost.lab.live.processes import NodeError
from crowpost.lab.overhead.figures import summary
from crowpost.lab.overhead.platform import Case, How, Platform
from crowpost.lab.overhead.stand import CLASSES
from crowpost.lab.overhead.versions import OverheadError, Version, present, unpack


async def _play_all(
    cases: Sequence[Case],
    revisions: Sequence[str],
    how: How,
    say: Callable[[str], None],
    keep: Callable[[dict[str, Any], dict[str, Any]], None],
) -> dict[str, Any]:
    running = asyncio.current_task()
    assert running is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)  # no process is left
    played: list[tuple[Case, dict[str, Any]]] = []
    profiles: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory(prefix="crowpost-overhead-") as name:
        folder = Path(name)
        versions = [present(), *(unpack(revision, folder) for revision in revisions)]
        for servers, chain in dict.fromkeys((c.servers, c.chain) for c in cases):
            async with Platform(folder, servers, chain, versions, how.seed, how.profiled) as platform:
                for case in (c for c in cases if (c.servers, c.chain) == (servers, chain)):
                    say(f"{servers} servers, chain of {chain}, {_loop(case)}")
                    played.append((case, await platform.play(case, how)))
                if how.profiled:
                    profiles += await platform.profiles()
    # Only now: while nodes run, this process is their discovery and must not stand still.
    runs = []
    for case, found in played:
        for i, version in enumerate(versions):
            run = _run(case, version, found, 2 + i, how.seed)
            runs.append(run)
            keep(run, found)
    return {
        "schema": 1,
        "revision": versions[0].commit,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "cores": len(os.sched_getaffinity(0)),
        "seed": how.seed,
        "seconds": how.seconds,
        "effect": CLASSES[how.kind],
        "profiled": how.profiled,
        "runs": runs,
        "profiles": profiles,
    }


def _run(case: Case, version: Version, found: dict[str, Any], arm: int, seed: int) -> dict[str, Any]:
    return {
        "version": version.name,
        "commit": version.commit,
        "servers": case.servers,
        "rate": case.rate or None,
        "chain": case.chain,
        "loop": "open" if case.rate else "closed",
        "callers": case.callers or None,
        "extra": found["extra"],
        "attempts_each": _each(found, arm),
        **summary(found["slices"], arm, seed, at_once=case.rate > 0.0),
    }


def _each(found: dict[str, Any], arm: int) -> float | None:
    """Calls that came to the last tier for each that was made, warm ones included."""
    sent, attempts = found["sent"][arm], found["attempts"]
    way = arm - 1
    return round(attempts[way] / sent, 4) if sent and way < len(attempts) else None


def _loop(case: Case) -> str:
    return f"{case.rate:g} a second" if case.rate else f"{case.callers} callers in a closed loop"


def play(
    cases: Sequence[Case],
    revisions: Sequence[str] = (),
    how: How | None = None,
    say: Callable[[str], None] = lambda _text: None,
    keep: Callable[[dict[str, Any], dict[str, Any]], None] = lambda _run, _found: None,
) -> dict[str, Any]:
    """The record of all cases, through the present version and revisions; `keep` gets runs and their slices.

    OverheadError for what cannot be played.
    """
    try:
        return asyncio.run(_play_all(cases, revisions, how or How(), say, keep))
    except (NodeError, OSError) as error:
        raise OverheadError(str(error)) from None
    except asyncio.CancelledError:
        raise OverheadError("ended by SIGTERM") from None
