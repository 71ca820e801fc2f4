"""Runs all cases in order, each with all versions, and returns the record."""

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
from crowpost.lab.overhead.platform import Case, Platform, RunSettings
from crowpost.lab.overhead.stub_servers import CLASSES
from crowpost.lab.overhead.versions import OverheadError, Version, present, unpack


async def _run_all(
    cases: Sequence[Case],
    revisions: Sequence[str],
    run_settings: RunSettings,
    report_progress: Callable[[str], None],
    on_run: Callable[[dict[str, Any], dict[str, Any]], None],
) -> dict[str, Any]:
    current_task = asyncio.current_task()
    assert current_task is not None
    # Cancelling on SIGTERM stops all processes of the run.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current_task.cancel)
    results: list[tuple[Case, dict[str, Any]]] = []
    profiles: list[dict[str, Any]] = []
    with tempfile.TemporaryDirectory(prefix="crowpost-overhead-") as name:
        folder = Path(name)
        versions = [present(), *(unpack(revision, folder) for revision in revisions)]
        for servers, chain in dict.fromkeys((case.servers, case.chain) for case in cases):
            async with Platform(
                folder, servers, chain, versions, run_settings.seed, run_settings.profiled
            ) as platform:
                for case in (case for case in cases if (case.servers, case.chain) == (servers, chain)):
                    report_progress(f"{servers} servers, chain of {chain}, {_loop(case)}")
                    results.append((case, await platform.run_case(case, run_settings)))
                if run_settings.profiled:
                    profiles += await platform.profiles()
    # Computed only now: while nodes run, this process is their discovery and must not block.
    runs = []
    for case, result in results:
        for index, version in enumerate(versions):
            run = _run(case, version, result, 2 + index, run_settings.seed)
            runs.append(run)
            on_run(run, result)
    return {
        "schema": 1,
        "revision": versions[0].commit,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "cores": len(os.sched_getaffinity(0)),
        "seed": run_settings.seed,
        "seconds": run_settings.seconds,
        "effect": CLASSES[run_settings.kind],
        "profiled": run_settings.profiled,
        "runs": runs,
        "profiles": profiles,
    }


def _run(case: Case, version: Version, result: dict[str, Any], arm: int, seed: int) -> dict[str, Any]:
    return {
        "version": version.name,
        "commit": version.commit,
        "servers": case.servers,
        "rate": case.rate or None,
        "chain": case.chain,
        "loop": "open" if case.rate else "closed",
        "callers": case.callers or None,
        "extra": result["extra"],
        "attempts_each": _attempts_per_call(result, arm),
        **summary(result["slices"], arm, seed, concurrent=case.rate > 0.0),
    }


def _attempts_per_call(result: dict[str, Any], arm: int) -> float | None:
    """Return the calls received by the last tier per call sent, including warm-up calls."""
    sent, attempts = result["sent"][arm], result["attempts"]
    route = arm - 1
    return round(attempts[route] / sent, 4) if sent and route < len(attempts) else None


def _loop(case: Case) -> str:
    return f"{case.rate:g} a second" if case.rate else f"{case.callers} clients in a closed loop"


def run_cases(
    cases: Sequence[Case],
    revisions: Sequence[str] = (),
    run_settings: RunSettings | None = None,
    report_progress: Callable[[str], None] = lambda _text: None,
    on_run: Callable[[dict[str, Any], dict[str, Any]], None] = lambda _run, _found: None,
) -> dict[str, Any]:
    """Return the record of all cases, for the present version and revisions.

    `on_run` is called with each run and its slices, `report_progress` with a line of text for each case.
    Raise OverheadError for cases that cannot be run.
    """
    try:
        return asyncio.run(_run_all(cases, revisions, run_settings or RunSettings(), report_progress, on_run))
    except (NodeError, OSError) as error:
        raise OverheadError(str(error)) from None
    except asyncio.CancelledError:
        raise OverheadError("ended by SIGTERM") from None
