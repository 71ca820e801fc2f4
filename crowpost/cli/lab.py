"""`crowpost lab`: play scenarios, compare policies on paired seeds, and report."""

from __future__ import annotations

import json
import os
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress
from rich.table import Table

from crowpost.cli.capacity import capacity
from crowpost.cli.feed_simulation import feed
from crowpost.cli.overhead import overhead
from crowpost.cli.scale import scale
from crowpost.cli.terminal import console
from crowpost.lab.runs import Folder, RunFolderError
from crowpost.lab.scenario import Scenario, load, shipped

app = typer.Typer(
    help="Scenarios of a whole platform: simulated, or on loopback sockets.", no_args_is_help=True
)
for command in (capacity, feed, overhead, scale):
    app.command()(command)
out = console()
Which = Annotated[str, typer.Argument(help="a shipped scenario by name, or a TOML file", show_default=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
OutFolder = Annotated[Path | None, typer.Option("--out", help="keep results in this run folder")]
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
    kept = _kept(folder, played)
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


def _kept(folder: Path | None, scenario: Scenario) -> Folder | None:
    """The run folder that results go to, if one is named."""
    if folder is None:
        return None
    kept = Folder(folder)
    kept.begin(scenario)
    return kept


def show(scenario: Scenario, result: dict[str, Any], took: float) -> None:
    """Print the result of a run as a table; took: the seconds that it was played for."""
    parts, prices = result["parts"], result["prices"]
    out.print(
        f"[bold]{scenario.name}[/bold]  seed {result['seed']}  {result['policy']}  played in {took:.1f} s"
    )
    out.print(f"G {result['goal']:.3f}   served {result['served']:.3f}", end="")
    out.print(f"   worst 10 s {parts['worst_window']:.3f} (from {parts['worst_window_from_s']} s)", end="")
    out.print(f"   worst class {parts['worst_class']:.3f}   worst tenant {parts['worst_tenant']:.3f}")
    out.print("prices   " + "   ".join(f"{name} {price:.4f}" for name, price in prices.items()))
    out.print("requests " + "   ".join(f"{end} {count}" for end, count in result["ends"].items()))
    out.print("latency  " + "   ".join(f"{name} {ms:.0f} ms" for name, ms in result["latency_ms"].items()))
    out.print(
        f"calls {result['calls']}   attempts {result['attempts']} ({result['attempts_each']:.2f} a call, "
        f"{result['copies']} second copies)   handshakes {result['handshakes']}   "
        f"probes {result['probes']}   servers slow from crowding {result['crowded_s']:.0f} s"
    )


def stories(results: list[dict[str, Any]]) -> None:
    """Broken rules, whole; exit code 1 if there are any."""
    broken = [r for r in results if r["breaches"]]
    for result in broken:
        print(
            f"{result['policy']}, seed {result['seed']}: {result['breaches']} broken rules", file=sys.stderr
        )
        for story in result["stories"]:
            print("\n".join(story), file=sys.stderr)
    if broken:
        raise typer.Exit(1)


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
    kept = _kept(folder, played)
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
def live(
    scenario: Which,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: OutFolder = None,
    state: Annotated[bool, typer.Option("--state", help="front nodes keep a state directory each")] = False,
    as_json: AsJson = False,
) -> None:
    """Play a scenario on loopback sockets around real node processes; exit code 1 if a rule was broken."""
    from crowpost.lab.live.play import play_live

    played = load(scenario)
    kept = _kept(folder, played)
    began = time.perf_counter()
    err = console(stderr=True)
    result = play_live(played, seed, err.print, state=state)
    if kept is not None:
        kept.add(result)
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        show(played, result, time.perf_counter() - began)
        late = result["generator_late_ms"]
        out.print(
            f"requests left late by {late['p50']:.1f} ms (median), {late['p99']:.1f} (99%), "
            f"{late['most']:.1f} at most   largest node {result['node_memory_mb']:.1f} MB"
        )
    stories([result])


@app.command()
def storm(
    name: Annotated[str, typer.Argument(help="a shipped storm by name, or a TOML file; `list` lists them")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: Annotated[Path | None, typer.Option("--out", help="keep the history and all files here")] = None,
    as_json: AsJson = False,
) -> None:
    """Real processes with faults between them; exit code 1 if a check of the history fails.

    Example: crowpost lab storm small --seed 3 --out kept
    """
    from crowpost.lab.rig import plan
    from crowpost.lab.rig.processes import ProcessError
    from crowpost.lab.rig.storm import play

    if name == "list":
        table = Table("name", "processes", "seconds", "about", box=None)
        for found in (plan.load(known) for known in plan.shipped()):
            table.add_row(found.name, str(found.processes), f"{found.duration_s:g}", found.about)
        out.print(table)
        return
    err = console(stderr=True)
    try:
        result = play(plan.load(name), seed, folder, err.print)
    except (ProcessError, OSError) as error:
        raise RunFolderError(f"{name}: {error}") from None
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        out.print(
            f"[bold]{result['storm']}[/bold]  seed {seed}  {result['processes']} processes  "
            f"{result['changes']} changes of state   one view {result['settled_s']} s after the last trouble"
        )
        out.print(
            f"deaths {result['deaths']}   first held after {result['first_p50_s']} s (median), "
            f"{result['first_p99_s']} (99%)   "
            f"by all after {result['everywhere_p50_s']}, {result['everywhere_p99_s']}"
        )
        dropped = {k: n for k, n in sorted(result["counts"].items()) if k.startswith("dropped_")}
        out.print("dropped  " + "   ".join(f"{k.removeprefix('dropped_')} {n}" for k, n in dropped.items()))
    for breach in result["breaches"]:
        print(breach, file=sys.stderr)
    if result["breaches"]:
        raise typer.Exit(1)


@app.command()
def powerloss(
    seeds: Annotated[str, typer.Option(help="3, 1-20 or 1,4,9-12")] = "1-8",
    broken: Annotated[
        bool, typer.Option("--broken", help="put each fault of a list in, and find it")
    ] = False,
    flips: Annotated[int, typer.Option(min=1, help="flip one bit in so many")] = 29,
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
    as_json: AsJson = False,
) -> None:
    """Every state that a power loss may leave of a store, recovered from and checked; exit code 1 if bad.

    Example: crowpost lab powerloss --seeds 1-20
    """
    from crowpost.lab import compare as tool
    from crowpost.lab.crash_consistency import report

    try:
        numbers = tool.seeds(seeds)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    workers = jobs or os.cpu_count() or 1
    if broken:
        rows = report.check_faults(len(numbers), workers)
        if as_json:
            print(json.dumps([asdict(row) for row in rows]))
        else:
            table = Table("put in", "found as", "on seed", "after states", "and seconds", box=None)
            for row in rows:
                found = row.breach or "[bold]not found[/bold]"
                table.add_row(row.name, found, str(row.seed), str(row.states), f"{row.seconds:.1f}")
            out.print(table)
        if not all(row.breach for row in rows):
            raise typer.Exit(1)
        return
    began = time.perf_counter()
    results = report.check_seeds(numbers, flips, workers)
    if as_json:
        print(
            json.dumps({"states": dict(results.states), "breaches": dict(results.violations)}, sort_keys=True)
        )
    else:
        table = Table("kind of state", "tried", box=None)
        for kind, count in sorted(results.states.items(), key=lambda item: -item[1]):
            table.add_row(kind, str(count))
        out.print(table)
        out.print(f"{results.state_count} states of {len(numbers)} seeds", end="")
        out.print(f" in {time.perf_counter() - began:.0f} s, {sum(results.violations.values())} found bad")
    for description in results.descriptions:
        print(description, file=sys.stderr)
    if results.violations:
        raise typer.Exit(1)


@app.command()
def disk(
    directory: Annotated[Path, typer.Argument(help="where to write; it must not exist")],
    as_json: AsJson = False,
) -> None:
    """Measure the store on a real disk: appends a second beside the raw file, a long log, a large snapshot.

    Example: crowpost lab disk /var/tmp/store-measure
    """
    from crowpost.lab.crash_consistency import benchmark

    rows = benchmark.measure(directory)
    if as_json:
        print(json.dumps(rows, sort_keys=True))
        return
    table = Table("what", "figure", "unit", box=None)
    for row in rows:
        table.add_row(row["what"], f"{row['figure']:,.4g}", row["unit"])
    out.print(table)


@app.command()
def swarm(
    members: Annotated[int, typer.Option(min=2, max=5000)] = 100,
    seconds: Annotated[float, typer.Option(min=60.0, help="simulated, of each run")] = 450.0,
    seeds: Annotated[int, typer.Option(min=1, help="runs, on seeds from 1 on")] = 8,
    loss: Annotated[float, typer.Option(min=0.0, max=1.0, help="part of the datagrams")] = 0.1,
    starved: Annotated[float, typer.Option(min=0.0, max=1.0, help="part of the members")] = 0.05,
    kills: Annotated[int, typer.Option(min=0, help="in each run, one after another")] = 10,
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
) -> None:
    """Measure membership in simulated time, as one line of JSON: detection, false deaths, bytes.

    Example: crowpost lab swarm --members 1000 --loss 0.2
    """
    from crowpost.lab.membership.measurement import measure_all

    if kills >= members:
        raise typer.BadParameter(f"{kills} kills of {members} members")
    workers = jobs or os.cpu_count() or 1
    found = measure_all(members, seconds, seeds, loss=loss, starved=starved, kills=kills, jobs=workers)
    print(json.dumps(found))


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
