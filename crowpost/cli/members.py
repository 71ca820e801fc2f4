"""`crowpost members`: which processes are present, who disagrees, and leaving in order."""

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

QUERY_TIMEOUT_S = 2.0  # for each member that is asked
MAX_AGE_IN_SECONDS_MS = 120_000  # longer ages are shown in minutes
UNKNOWN = "unknown"
GONE = ("dead", "left")  # states of members that are not asked
COLUMNS = ("name", "state", "zone", "role", "address", "for", "heard", "incarnation", "said by", "why")

View = dict[str, Any]  # as `crowpost.membership.snapshot` makes it


def _query_view(address: str) -> View:
    """Return the view of the member at an address; raise MembershipError if it gives none."""
    from crowpost.membership.errors import MembershipError
    from crowpost.membership.query import query
    from crowpost.membership.wire import MessageKind

    if not address:
        raise typer.BadParameter("name a member with --at HOST:PORT, or in CROWPOST_MEMBERS")
    view = asyncio.run(query(address, MessageKind.VIEW, ""))
    if not isinstance(view, dict) or "members" not in view:
        raise MembershipError(f"{address}: no view of members")
    return view


@app.callback()
def members(
    ctx: typer.Context,
    at: At = "",
    as_json: AsJson = False,
    compare: Annotated[bool, typer.Option("--compare", help="ask all, and say who disagrees")] = False,
) -> None:
    """The members as one of them sees them; with --compare exit code 1 if any two disagree.

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
    superseded = "  (a newer process stands for it)" if view["yielded"] else ""
    out.print(f"cluster {view['cluster']}  as seen by {view['by']}  digest {view['digest']}", end="")
    out.print(f"  own slowness {view['awareness']}{superseded}")
    out.print(table)


def _format_age(age_ms: float | None) -> str:
    if age_ms is None:
        return "-"
    if age_ms < MAX_AGE_IN_SECONDS_MS:
        return f"{age_ms / 1000:.1f} s"
    return f"{age_ms / 60_000:.0f} min"


@dataclass(frozen=True)
class Dissent:
    """What one observer holds of a member that most others hold otherwise; the fields are keys of --json."""

    observer: str
    state: str
    since_ms: float | None
    said_by: str
    why: str


@dataclass(frozen=True)
class Disagreement:
    """A member of which views differ; the fields are keys of --json."""

    about: str
    most: str  # the state that most observers hold
    holders: int  # observers that hold it
    others: list[Dissent]


def find_disagreements(views: dict[str, View]) -> list[Disagreement]:
    """Return the members of which the views of several observers differ, in the order of their names."""
    held: dict[str, dict[str, dict[str, Any]]] = {}  # entries of views, by member and observer
    for observer, view in views.items():
        for member in view["members"]:
            held.setdefault(member["name"], {})[observer] = member
    found = []
    for name, entries in sorted(held.items()):
        states = {
            observer: entries[observer]["state"] if observer in entries else UNKNOWN for observer in views
        }
        if not _agree(states):
            found.append(_disagreement(name, states, entries))
    return found


def _agree(states: dict[str, str]) -> bool:
    """Return whether observers agree; that one has forgotten a death is no disagreement."""
    return len({UNKNOWN if state in GONE else state for state in states.values()}) < 2


def _disagreement(name: str, states: dict[str, str], entries: dict[str, dict[str, Any]]) -> Disagreement:
    counts = Counter(states.values())
    most = max(counts, key=lambda state: (counts[state], state))
    others = [
        _dissent(observer, state, entries.get(observer))
        for observer, state in sorted(states.items())
        if state != most
    ]
    return Disagreement(name, most, counts[most], others)


def _dissent(observer: str, state: str, entry: dict[str, Any] | None) -> Dissent:
    if entry is None:
        return Dissent(observer, state, None, "", "")
    return Dissent(observer, state, entry["since_ms"], entry["said_by"], entry["why"])


def _compare(view: View, as_json: bool) -> None:
    """Ask all members that are alive for their views, and print how they differ; exit code 1 if they do."""
    from crowpost.membership.query import query_views

    addresses = {m["name"]: m["address"] for m in view["members"] if m["state"] not in GONE}
    answers = asyncio.run(query_views(addresses, QUERY_TIMEOUT_S))
    errors = {name: answer for name, answer in answers.items() if isinstance(answer, str)}
    views = {name: answer for name, answer in answers.items() if not isinstance(answer, str)}
    found = find_disagreements(views)
    if as_json:
        result = {"asked": len(answers), "silent": errors, "disagreements": [asdict(one) for one in found]}
        print(json.dumps(result, sort_keys=True))
    else:
        _print_comparison(errors, found, len(views), view["digest"])
    if found or errors:
        raise typer.Exit(1)


def _print_comparison(
    errors: dict[str, str], found: list[Disagreement], view_count: int, digest: str
) -> None:
    for name, error in sorted(errors.items()):
        out.print(f"{name} did not answer: {error}")
    for disagreement in found:
        out.print(f"{disagreement.about}: {disagreement.most} for {disagreement.holders} of {view_count}")
        for other in disagreement.others:
            since = f" for {_format_age(other.since_ms)}" if other.since_ms is not None else ""
            why = f", said by {other.said_by}: {other.why}" if other.why else ""
            out.print(f"    {other.observer} holds it {other.state}{since}{why}")
    if not found:
        out.print(f"{view_count} members hold the same view, digest {digest}")


@app.command()
def leave(ctx: typer.Context, at: At = "") -> None:
    """Ask one member to leave in order: the others hold it to have left, not to be dead.

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
    """Be a member that does nothing else, until SIGTERM or `crowpost members leave`.

    Example: crowpost members run members.toml
    """
    from crowpost.membership.__main__ import main

    raise typer.Exit(main([file]))
