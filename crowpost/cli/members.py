"""`crowpost members`: who is present, who disagrees, and leaving in order."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

app = typer.Typer(help="Membership of the processes of a cluster.", invoke_without_command=True)
out = console()
At = Annotated[str, typer.Option("--at", envvar="CROWPOST_MEMBERS", help="address of any member, host:port")]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
ASK_S = 2.0  # for each member that is asked


def _view(address: str) -> dict[str, Any]:
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
    view = _view(at)
    if compare:
        _compare(view, as_json)
    elif as_json:
        print(json.dumps(view, sort_keys=True))
    else:
        _show(view)


def _show(view: dict[str, Any]) -> None:
    heads = ("name", "state", "zone", "role", "address", "for", "heard", "incarnation", "said by", "why")
    table = Table(*heads, box=None)
    for m in view["members"]:
        table.add_row(
            m["name"],
            m["state"],
            m["zone"],
            m["role"],
            m["address"],
            _age(m["since_ms"]),
            _age(m["heard_ms"]),
            str(m["incarnation"]),
            m["said_by"],
            m["why"],
        )
    out.print(f"cluster {view['cluster']}  as seen by {view['by']}  digest {view['digest']}", end="")
    out.print(f"  own slowness {view['awareness']}" + ("  (a newer process stands for it)" * view["yielded"]))
    out.print(table)


def _age(ms: float | None) -> str:
    if ms is None:
        return "-"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.0f} min"


def disagreements(views: dict[str, dict[str, Any]]) -> list[dict[str, Any]]:
    """About whom the views differ: what most hold, and who holds what else since when."""
    held: dict[str, dict[str, dict[str, Any]]] = {}
    for observer, view in views.items():
        for m in view["members"]:
            held.setdefault(m["name"], {})[observer] = m
    found = []
    for name, by in sorted(held.items()):
        told = {observer: by[observer]["state"] if observer in by else "unknown" for observer in views}
        # That one has forgotten a death which another remembers is no disagreement.
        alike = {"unknown" if state in ("dead", "left") else state for state in told.values()}
        if len(alike) < 2:
            continue
        most = max(set(told.values()), key=lambda state: (list(told.values()).count(state), state))
        others = [
            {
                "observer": observer,
                "state": state,
                "since_ms": by[observer]["since_ms"] if observer in by else None,
                "said_by": by[observer]["said_by"] if observer in by else "",
                "why": by[observer]["why"] if observer in by else "",
            }
            for observer, state in sorted(told.items())
            if state != most
        ]
        found.append({"about": name, "most": most, "holders": len(told) - len(others), "others": others})
    return found


def _compare(view: dict[str, Any], as_json: bool) -> None:
    from crowpost.membership.query import query_views

    alive = {m["name"]: m["address"] for m in view["members"] if m["state"] not in ("dead", "left")}
    asked = asyncio.run(query_views(alive, ASK_S))
    silent = {name: said for name, said in asked.items() if isinstance(said, str)}
    views = {name: said for name, said in asked.items() if not isinstance(said, str)}
    found = disagreements(views)
    if as_json:
        print(json.dumps({"asked": len(asked), "silent": silent, "disagreements": found}, sort_keys=True))
    else:
        for name, said in sorted(silent.items()):
            out.print(f"{name} did not answer: {said}")
        for one in found:
            out.print(f"{one['about']}: {one['most']} for {one['holders']} of {len(views)}")
            for other in one["others"]:
                since = f" for {_age(other['since_ms'])}" if other["since_ms"] is not None else ""
                why = f", said by {other['said_by']}: {other['why']}" if other["why"] else ""
                out.print(f"    {other['observer']} holds it {other['state']}{since}{why}")
        if not found:
            out.print(f"{len(views)} members hold the same view, digest {view['digest']}")
    if found or silent:
        raise typer.Exit(1)


@app.command()
def leave(ctx: typer.Context, at: At = "") -> None:
    """Ask one member to leave in order: the others hold it to have left, not to be dead.

    Example: crowpost members leave --at 10.0.0.4:7946
    """
    from crowpost.membership.query import query
    from crowpost.membership.wire import MessageKind

    address = at or ctx.obj
    view = _view(address)
    done = asyncio.run(query(address, MessageKind.LEAVE, view["cluster"]))
    out.print(f"{done[0]} has left cluster {view['cluster']}")


@app.command()
def run(file: Annotated[str, typer.Argument(help="a TOML file with [members]")]) -> None:
    """Be a member that does nothing else, until SIGTERM or `crowpost members leave`.

    Example: crowpost members run members.toml
    """
    from crowpost.membership.__main__ import main

    raise typer.Exit(main([file]))
