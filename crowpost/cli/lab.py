"""`crowpost lab`: run scenarios, compare policies on paired seeds, and write reports."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress
from rich.table import Table

from crowpost.cli.capacity import capacity
from crowpost.cli.feed_simulation import feed
from crowpost.cli.lab_cores import disk, powerloss, swarm
from crowpost.cli.lab_output import (
    AsJson,
    OutFolder,
    ScenarioArgument,
    open_run_folder,
    out,
    print_result,
    report_violations,
)
from crowpost.cli.lab_processes import live, storm
from crowpost.cli.overhead import overhead
from crowpost.cli.scale import scale
from crowpost.cli.terminal import console
from crowpost.lab.runs import Folder, RunFolderError
from crowpost.lab.scenario import load, shipped

app = typer.Typer(
    help="Scenarios of a whole platform, in simulated time or on loopback sockets.", no_args_is_help=True
)
for command in (capacity, feed, overhead, scale, live, storm, powerloss, disk, swarm):
    app.command()(command)
Policies = Annotated[str, typer.Option(help="comma-separated names; see `crowpost lab policies`")]
DEFAULT_POLICIES = "module,random,round-robin,least-outstanding,p2c-peak-ewma,true-state"


@app.command("list")
def list_scenarios(as_json: AsJson = False) -> None:
    """List the scenarios in the package."""
    scenarios = [load(name) for name in shipped()]
    if as_json:
        print(
            json.dumps(
                [
                    {"name": scenario.name, "about": scenario.about, "duration_s": scenario.duration_s}
                    for scenario in scenarios
                ]
            )
        )
        return
    table = Table("name", "nodes", "servers", "seconds", "about", box=None)
    for scenario in scenarios:
        servers = "+".join(str(tier.servers) for tier in scenario.tiers)
        table.add_row(scenario.name, str(scenario.nodes), servers, f"{scenario.duration_s:g}", scenario.about)
    out.print(table)


@app.command()
def policies() -> None:
    """List the policies that can be run."""
    from crowpost.lab import baselines

    about = {
        "module": "the decision module of this version",
        "module+members": "the same, with the number of present front nodes taken from membership",
        "random": baselines.RandomChoice.__doc__,
        "round-robin": baselines.RoundRobin.__doc__,
        "least-outstanding": baselines.LeastOutstanding.__doc__,
        "p2c-peak-ewma": baselines.PeakEwma.__doc__,
        "true-state": baselines.TrueState.__doc__,
        "rev:NAME": "the decision module of a git revision, e.g. rev:HEAD~5",
    }
    for name, text in about.items():
        out.print(f"{name:18} {(text or '').splitlines()[0]}")


@app.command()
def check(files: Annotated[list[str], typer.Argument(help="scenarios, by name or file")]) -> None:
    """Check scenarios without running them."""
    for name in files:
        scenario = load(name)
        out.print(f"{name}: valid, digest {scenario.digest()}")


@app.command()
def run(
    scenario: ScenarioArgument,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    policy: Annotated[str, typer.Option(help="see `crowpost lab policies`")] = "module",
    folder: OutFolder = None,
    as_json: AsJson = False,
) -> None:
    """Run a scenario in simulated time; exit code 1 if a rule was violated."""
    from crowpost.lab.runs import play

    loaded = load(scenario)
    run_folder = open_run_folder(folder, loaded)
    started = time.perf_counter()
    result = play(loaded, seed, policy)
    elapsed_s = time.perf_counter() - started
    if run_folder is not None:
        run_folder.add(result)
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        print_result(loaded, result, elapsed_s)
    report_violations([result])


@app.command()
def compare(
    scenario: ScenarioArgument,
    policy: Policies = DEFAULT_POLICIES,
    seeds: Annotated[str, typer.Option(help="3, 1-20 or 1,4,9-12")] = "1-20",
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
    folder: OutFolder = None,
    as_json: AsJson = False,
) -> None:
    """Run policies on the same seeds; print differences from the first policy with 95% intervals."""
    from crowpost.lab import compare as comparison

    loaded = load(scenario)
    names = [name.strip() for name in policy.split(",")]
    try:
        numbers = comparison.seeds(seeds)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    run_folder = open_run_folder(folder, loaded)
    results = []
    with Progress(console=console(stderr=True), transient=True) as progress:
        task = progress.add_task(loaded.name, total=len(names) * len(numbers))
        for result in comparison.play_all(loaded, names, numbers, jobs):
            results.append(result)
            progress.advance(task)
            if run_folder is not None:
                run_folder.add(result)
    table = comparison.rows(results, names)
    if as_json:
        print(json.dumps([asdict(row) for row in table]))
    else:
        out.print(f"[bold]{loaded.name}[/bold]  {len(numbers)} seeds  digest {loaded.digest()}")
        out.print(_table(table, names[0]))
    report_violations(results)


def _table(rows: list[Any], first: str) -> Table:
    columns = ("policy", "G", f"against {first}, 95%", "served", "against, 95%", "G of worst 10%")
    more_columns = ("p50", "p99", "p99.9 ms", "handshakes", "waste", "attempts", "rejected", "violations")
    table = Table(*columns, *more_columns, box=None)
    for row in rows:
        table.add_row(
            row.policy,
            f"{row.goal:.3f}",
            "" if row.against is None else str(row.against) + ("" if row.against.apart() else " ~"),
            f"{row.served:.3f}",
            "" if row.against_served is None else str(row.against_served),
            f"{row.worst_tenth:.3f}",
            f"{row.p50:.0f}",
            f"{row.p99:.0f}",
            f"{row.p999:.0f}",
            f"{row.handshakes_each:.3f}",
            f"{row.wasted:.3f}",
            f"{row.attempts_each:.2f}",
            f"{row.refused:.3f}",
            str(row.breaches),
        )
    return table


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="a run folder written with --out")],
    page: Annotated[
        Path | None, typer.Option(help="the file to write; default: report.html in the run folder")
    ] = None,
) -> None:
    """Write an HTML page with plots of the runs in a run folder."""
    from crowpost.lab.report import page as render

    run_folder = Folder(folder)
    runs = run_folder.read()
    if not runs:
        raise RunFolderError(f"{folder}: holds no run")
    target = page or folder / "report.html"
    try:
        target.write_text(render(run_folder.scenario(), runs), encoding="utf-8")
    except OSError as error:
        raise RunFolderError(f"{target}: {error.strerror}") from None
    out.print(str(target))


@app.command()
def bench(
    servers: Annotated[
        str, typer.Option(help="comma-separated numbers of servers")
    ] = "10,60,200,1000,2000,10000",
    rev: Annotated[str, typer.Option(help="a git revision to measure in place of the current module")] = "",
    requests: Annotated[int, typer.Option(min=100)] = 2000,
    as_json: AsJson = False,
) -> None:
    """Measure the processor time and memory of the decision module for several fleet sizes."""
    from crowpost import Balancer
    from crowpost.lab.bench import cost
    from crowpost.lab.revisions import revision

    try:
        sizes = [int(text) for text in servers.split(",")]
    except ValueError:
        raise typer.BadParameter(f"not a comma-separated list of numbers: {servers!r}") from None
    make_balancer = revision(rev) if rev else Balancer
    costs = [cost(make_balancer, size, requests) for size in sizes]
    if as_json:
        print(json.dumps([asdict(cost_of_size) for cost_of_size in costs]))
        return
    columns = (
        "servers",
        "us a request",
        "against the first",
        "ms a list change",
        "slowest ms in a mass replacement",
    )
    table = Table(*columns, "bytes a server", "bytes an open request", box=None)
    for cost_of_size in costs:
        table.add_row(
            str(cost_of_size.servers),
            f"{cost_of_size.request_us:.0f}",
            f"{cost_of_size.request_us / costs[0].request_us:.2f}",
            f"{cost_of_size.change_ms:.1f}",
            f"{cost_of_size.storm_most_ms:.1f}",
            f"{cost_of_size.server_bytes:.0f}",
            f"{cost_of_size.request_bytes:.0f}",
        )
    out.print(table)
