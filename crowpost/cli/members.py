"""`crowpost members`: print or compare views of a cluster, run a member, or make one leave."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

app = typer.Typer(help="Membership of the processes of a cluster.", invoke_without_command=True)
out = console()
At = Annotated[str, typer.Option("--at", envvar="CROWPOST_MEMBERS", help="address of any member, host:port")]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]

QUERY_TIMEOUT_S = 2.0  # timeout for each queried member
MAX_AGE_IN_SECONDS_MS = 120_000  # longer ages are shown in minutes
UNKNOWN = "unknown"
GONE = ("dead", "left")  # states of members that are not queried
COLUMNS = (
    "name",
    "state",
    "zone",
    "role",
    "address",
    "in state for",
    "last contact",
    "incarnation",
    "reported by",
    "reason",
)

View = dict[str, Any]  # created by `crowpost.membership.snapshot`


def _query_view(address: str) -> View:
    """Return the view of the member at an address.  Raise MembershipError if it returns none."""
    from crowpost.membership.errors import MembershipError
    from crowpost.membership.query import query
    from crowpost.membership.wire import MessageKind

    if not address:
        raise typer.BadParameter("set the address of a member with --at HOST:PORT or CROWPOST_MEMBERS")
    view = asyncio.run(query(address, MessageKind.VIEW, ""))
    if not isinstance(view, dict) or "members" not in view:
        raise MembershipError(f"{address}: the answer is not a view of members")
    return view


@app.callback()
def members(
    ctx: typer.Context,
    at: At = "",
    as_json: AsJson = False,
    compare: Annotated[
        bool, typer.Option("--compare", help="query all members, and print which disagree")
    ] = False,
) -> None:
    """Print the members as one of them sees them; with --compare, exit code 1 if any two disagree.

    Example: crowpost members --at 10.0.0.4:7946 --compare
    """
    ctx.obj = at
    if ctx.invoked_subcommand is not None:
        return
    view = _query_view(at)
    if compare:
        _compare(view, as_json)
    elif as_json:
        print(json.dumps(view, sort_keys=True))
    else:
        _print_view(view)


def _print_view(view: View) -> None:
    table = Table(*COLUMNS, box=None)
    for member in view["members"]:
        table.add_row(
            member["name"],
            member["state"],
            member["zone"],
            member["role"],
            member["address"],
            _format_age(member["since_ms"]),
            _format_age(member["heard_ms"]),
            str(member["incarnation"]),
            member["said_by"],
            member["why"],
        )
    superseded = "  (superseded by a newer process of this name)" if view["yielded"] else ""
    out.print(f"cluster {view['cluster']}  as seen by {view['by']}  digest {view['digest']}", end="")
    out.print(f"  local health {view['awareness']}{superseded}")
    out.print(table)


def _format_age(age_ms: float | None) -> str:
    if age_ms is None:
        return "-"
    if age_ms < MAX_AGE_IN_SECONDS_MS:
        return f"{age_ms / 1000:.1f} s"
    return f"{age_ms / 60_000:.0f} min"


@dataclass(frozen=True)
class DissentingView:
    """The differing state of a member in the view of one observer; the fields are keys of --json."""

    observer: str
    state: str
    since_ms: float | None
    said_by: str
    why: str


@dataclass(frozen=True)
class Disagreement:
    """A member whose state differs between views; the fields are keys of --json."""

    about: str
    most: str  # the state in most views
    holders: int  # number of observers with that state in their view
    others: list[DissentingView]


def find_disagreements(views: dict[str, View]) -> list[Disagreement]:
    """Return the members whose state differs between the views of observers, sorted by name."""
    entries_by_member: dict[str, dict[str, dict[str, Any]]] = {}  # the inner keys are observers
    for observer, view in views.items():
        for member in view["members"]:
            entries_by_member.setdefault(member["name"], {})[observer] = member
    disagreements = []
    for name, entries in sorted(entries_by_member.items()):
        states = {
            observer: entries[observer]["state"] if observer in entries else UNKNOWN for observer in views
        }
        if not _agree(states):
            disagreements.append(_disagreement(name, states, entries))
    return disagreements


def _agree(states: dict[str, str]) -> bool:
    """Return whether observers agree; an unknown member counts as dead, since old deaths are forgotten."""
    return len({UNKNOWN if state in GONE else state for state in states.values()}) < 2


def _disagreement(name: str, states: dict[str, str], entries: dict[str, dict[str, Any]]) -> Disagreement:
    counts = Counter(states.values())
    most = max(counts, key=lambda state: (counts[state], state))
    others = [
        _dissenting_view(observer, state, entries.get(observer))
        for observer, state in sorted(states.items())
        if state != most
    ]
    return Disagreement(name, most, counts[most], others)


def _dissenting_view(observer: str, state: str, entry: dict[str, Any] | None) -> DissentingView:
    if entry is None:
        return DissentingView(observer, state, None, "", "")
    return DissentingView(observer, state, entry["since_ms"], entry["said_by"], entry["why"])


def _compare(view: View, as_json: bool) -> None:
    """Query the views of all live members, and print how they differ; exit code 1 if they do."""
    from crowpost.membership.query import query_views

    addresses = {
        member["name"]: member["address"] for member in view["members"] if member["state"] not in GONE
    }
    answers = asyncio.run(query_views(addresses, QUERY_TIMEOUT_S))
    errors = {name: answer for name, answer in answers.items() if isinstance(answer, str)}
    views = {name: answer for name, answer in answers.items() if not isinstance(answer, str)}
    disagreements = find_disagreements(views)
    if as_json:
        result = {
            "asked": len(answers),
            "silent": errors,
            "disagreements": [asdict(disagreement) for disagreement in disagreements],
        }
        print(json.dumps(result, sort_keys=True))
    else:
        _print_comparison(errors, disagreements, len(views), view["digest"])
    if disagreements or errors:
        raise typer.Exit(1)


def _print_comparison(
    errors: dict[str, str], disagreements: list[Disagreement], view_count: int, digest: str
) -> None:
    for name, error in sorted(errors.items()):
        out.print(f"{name} did not answer: {error}")
    for disagreement in disagreements:
        out.print(f"{disagreement.about}: {disagreement.most} for {disagreement.holders} of {view_count}")
        for other in disagreement.others:
            since = f" for {_format_age(other.since_ms)}" if other.since_ms is not None else ""
            why = f", reported by {other.said_by}: {other.why}" if other.why else ""
            out.print(f"    {other.observer} has it as {other.state}{since}{why}")
    if not disagreements:
        out.print(f"{view_count} members have the same view, digest {digest}")


@app.command()
def leave(ctx: typer.Context, at: At = "") -> None:
    """Make a member leave the cluster, so that the others see it as left and not as dead.

    Example: crowpost members leave --at 10.0.0.4:7946
    """
    from crowpost.membership.query import query
    from crowpost.membership.wire import MessageKind

    address = at or ctx.obj
    view = _query_view(address)
    names = asyncio.run(query(address, MessageKind.LEAVE, view["cluster"]))
    out.print(f"{names[0]} has left cluster {view['cluster']}")


@app.command()
def run(file: Annotated[str, typer.Argument(help="a TOML file with [members]")]) -> None:
    """Run a member without a node until SIGTERM or `crowpost members leave`.

    Example: crowpost members run members.toml
    """
    from crowpost.membership.command import main

    raise typer.Exit(main([file]))
