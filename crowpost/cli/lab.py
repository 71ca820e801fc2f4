"""`crowpost lab`: play scenarios, compare policies on paired seeds, and report."""

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
from crowpost.cli.lab_output import AsJson, OutFolder, Which, out, run_folder, show, stories
from crowpost.cli.lab_processes import live, storm
from crowpost.cli.overhead import overhead
from crowpost.cli.scale import scale
from crowpost.cli.terminal import console
from crowpost.lab.runs import Folder, RunFolderError
from crowpost.lab.scenario import load, shipped

app = typer.Typer(
    help="Scenarios of a whole platform: simulated, or on loopback sockets.", no_args_is_help=True
)
for command in (capacity, feed, overhead, scale, live, storm, powerloss, disk, swarm):
    app.command()(command)
Policies = Annotated[str, typer.Option(help="names with commas; see `crowpost lab policies`")]
DEFAULT_POLICIES = "module,random,round-robin,least-outstanding,p2c-peak-ewma,true-state"


@app.command("list")
def list_scenarios(as_json: AsJson = False) -> None:
    """The scenarios that come with the package."""
    found = [load(name) for name in shipped()]
    if as_json:
        print(json.dumps([{"name": s.name, "about": s.about, "duration_s": s.duration_s} for s in found]))
        return
    table = Table("name", "nodes", "servers", "seconds", "about", box=None)
    for s in found:
        servers = "+".join(str(t.servers) for t in s.tiers)
        table.add_row(s.name, str(s.nodes), servers, f"{s.duration_s:g}", s.about)
    out.print(table)


@app.command()
def policies() -> None:
    """The policies that may be played."""
    from crowpost.lab import baselines

    about = {
        "module": "the decision module as it stands",
        "module+members": "the same, with the front nodes told by membership how many are present",
        "random": baselines.RandomChoice.__doc__,
        "round-robin": baselines.RoundRobin.__doc__,
        "least-outstanding": baselines.LeastOutstanding.__doc__,
        "p2c-peak-ewma": baselines.PeakEwma.__doc__,
        "true-state": baselines.TrueState.__doc__,
        "rev:NAME": "the module as it stood at a git revision, e.g. rev:HEAD~5",
    }
    for name, text in about.items():
        out.print(f"{name:18} {(text or '').splitlines()[0]}")


@app.command()
def check(files: Annotated[list[str], typer.Argument(help="scenarios, by name or file")]) -> None:
    """Check scenarios without playing them."""
    for name in files:
        scenario = load(name)
        out.print(f"{name}: good, digest {scenario.digest()}")


@app.command()
def run(
    scenario: Which,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    policy: Annotated[str, typer.Option(help="see `crowpost lab policies`")] = "module",
    folder: OutFolder = None,
    as_json: AsJson = False,
) -> None:
    """Play one run in simulated time; exit code 1 if a rule was broken."""
    from crowpost.lab.runs import play

    played = load(scenario)
    kept = run_folder(folder, played)
    began = time.perf_counter()
    result = play(played, seed, policy)
    took = time.perf_counter() - began
    if kept is not None:
        kept.add(result)
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        show(played, result, took)
    stories([result])


@app.command()
def compare(
    scenario: Which,
    policy: Policies = DEFAULT_POLICIES,
    seeds: Annotated[str, typer.Option(help="3, 1-20 or 1,4,9-12")] = "1-20",
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
    folder: OutFolder = None,
    as_json: AsJson = False,
) -> None:
    """Play policies on the same seeds; differences from the first with a 95% interval."""
    from crowpost.lab import compare as tool

    played = load(scenario)
    names = [name.strip() for name in policy.split(",")]
    try:
        numbers = tool.seeds(seeds)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    kept = run_folder(folder, played)
    results = []
    with Progress(console=console(stderr=True), transient=True) as progress:
        task = progress.add_task(played.name, total=len(names) * len(numbers))
        for result in tool.play_all(played, names, numbers, jobs):
            results.append(result)
            progress.advance(task)
            if kept is not None:
                kept.add(result)
    table = tool.rows(results, names)
    if as_json:
        print(json.dumps([asdict(row) for row in table]))
    else:
        out.print(f"[bold]{played.name}[/bold]  {len(numbers)} seeds  digest {played.digest()}")
        out.print(_table(table, names[0]))
    stories(results)


def _table(rows: list[Any], first: str) -> Table:
    heads = ("policy", "G", f"against {first}, 95%", "served", "against, 95%", "worst tenth")
    more = ("p50", "p99", "p99.9 ms", "handshakes", "waste", "attempts", "refused", "breaches")
    table = Table(*heads, *more, box=None)
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
    folder: Annotated[Path, typer.Argument(help="a run folder, from --out")],
    page: Annotated[
        Path | None, typer.Option(help="the file to write; default: report.html in the folder")
    ] = None,
) -> None:
    """Write one HTML page with plots of a run folder."""
    from crowpost.lab.report import page as render

    kept = Folder(folder)
    runs = kept.read()
    if not runs:
        raise RunFolderError(f"{folder}: holds no run")
    target = page or folder / "report.html"
    try:
        target.write_text(render(kept.scenario(), runs), encoding="utf-8")
    except OSError as error:
        raise RunFolderError(f"{target}: {error.strerror}") from None
    out.print(str(target))


@app.command()
def bench(
    servers: Annotated[
        str, typer.Option(help="sizes of the fleet, with commas")
    ] = "10,60,200,1000,2000,10000",
    rev: Annotated[str, typer.Option(help="a git revision to measure in place of the present module")] = "",
    requests: Annotated[int, typer.Option(min=100)] = 2000,
    as_json: AsJson = False,
) -> None:
    """What a decision costs by the size of the fleet: processor time and memory of the module alone."""
    from crowpost import Balancer
    from crowpost.lab.bench import cost
    from crowpost.lab.revisions import revision

    try:
        sizes = [int(text) for text in servers.split(",")]
    except ValueError:
        raise typer.BadParameter(f"not sizes: {servers!r}") from None
    make = revision(rev) if rev else Balancer
    costs = [cost(make, size, requests) for size in sizes]
    if as_json:
        print(json.dumps([asdict(c) for c in costs]))
        return
    heads = ("servers", "us a request", "against the first", "ms a list change", "dearest in a storm")
    table = Table(*heads, "bytes a server", "bytes an open request", box=None)
    for c in costs:
        table.add_row(
            str(c.servers),
            f"{c.request_us:.0f}",
            f"{c.request_us / costs[0].request_us:.2f}",
            f"{c.change_ms:.1f}",
            f"{c.storm_most_ms:.1f}",
            f"{c.server_bytes:.0f}",
            f"{c.request_bytes:.0f}",
        )
    out.print(table)
