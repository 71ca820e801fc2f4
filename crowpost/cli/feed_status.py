"""Requesting, merging and printing the statuses of publishers and relays."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rich.table import Table

from crowpost.cli.terminal import console

if TYPE_CHECKING:
    from crowpost.config_feed.errors import FeedError

UNRESPONSIVE_MS = 10_000.0  # a follower without contact for longer is listed as a problem
GONE_MS = 600_000.0  # a disconnected follower without contact for longer counts as replaced
MAX_LISTED = 40  # number of printed lines about followers with problems
MINUTES_FROM_MS = 120_000  # shorter ages are shown in seconds

StatusMap = dict[str, Any]


@dataclass
class StatusAnswers:
    """The statuses that servers returned, and the errors of the others by address."""

    statuses: list[StatusMap] = field(default_factory=list)
    errors: dict[str, str] = field(default_factory=dict)


async def collect_statuses(addresses: Sequence[str], cluster: str, timeout_s: float) -> StatusAnswers:
    """Request the statuses of all servers at once, and return those that arrive before the timeout."""
    from crowpost.config_feed.errors import FeedError

    answers = StatusAnswers()
    requests = (_request_status(address, cluster, timeout_s) for address in addresses)
    for address, result in zip(addresses, await asyncio.gather(*requests), strict=True):
        if isinstance(result, FeedError):
            answers.errors[address] = str(result)
        else:
            answers.statuses.append(result)
    return answers


async def _request_status(address: str, cluster: str, timeout_s: float) -> StatusMap | FeedError:
    from crowpost.config_feed.errors import FeedError
    from crowpost.config_feed.messages import StatusRequest, StatusResponse
    from crowpost.config_feed.request_reply import request_reply

    try:
        answer = await request_reply(address, StatusRequest(1), cluster, timeout_s)
    except FeedError as error:
        return error
    assert isinstance(answer, StatusResponse)
    return answer.value


def summarize(answers: StatusAnswers) -> StatusMap:
    """Return the merged statuses as a map, as `crowpost feed status --json` prints it.

    Keys: `heads`, the headers by scope with the number of nodes that apply each; `followers`; `gone`, the
    names of replaced followers; `conflicts`; `silent`, the servers that did not answer; `answered`;
    `stopped`, the publishers that stopped writing; and `whole`, whether every follower applies all its
    documents and there is no error.
    """
    from crowpost.config_feed.status_merge import merge_statuses

    summary = merge_statuses(answers.statuses)
    followers = {
        name: follower for name, follower in summary["followers"].items() if follower["role"] != "watch"
    }
    summary["gone"] = sorted(name for name, follower in followers.items() if _is_gone(follower))
    followers = {name: follower for name, follower in followers.items() if not _is_gone(follower)}
    for follower in followers.values():
        follower["unheard"] = not follower["linked"] or follower["age_ms"] > UNRESPONSIVE_MS
    summary["followers"] = followers
    nodes = {name: follower for name, follower in followers.items() if follower["role"] == "node"}
    for scope, header in summary["heads"].items():
        _count_nodes(scope, header, nodes)
    summary["silent"] = answers.errors
    summary["answered"] = [status["name"] for status in answers.statuses]
    summary["stopped"] = {
        status["name"]: status["counts"]["stopped"]
        for status in answers.statuses
        if status["counts"].get("stopped")
    }
    has_problems = any(
        follower["lags"] or follower["refused"] or follower["unheard"] for follower in followers.values()
    )
    summary["whole"] = not (has_problems or answers.errors or summary["conflicts"] or summary["stopped"])
    return summary


def _is_gone(follower: StatusMap) -> bool:
    return bool(not follower["linked"] and follower["age_ms"] > GONE_MS)


def _count_nodes(scope: str, header: StatusMap, nodes: dict[str, StatusMap]) -> None:
    """Add to a header the number of nodes that its scope covers, and of those that have applied it."""
    from crowpost.config_feed.scopes import applies_to_node

    target_nodes = [
        node for name, node in nodes.items() if applies_to_node(scope, node["region"], node["service"], name)
    ]
    applied = [
        status
        for node in target_nodes
        for status in node["standings"]
        if status["scope"] == scope
        and status["state"] == "in force"
        and status["version"] == header["version"]
    ]
    header["meant"] = len(target_nodes)
    header["in_force"] = len(applied)
    header["last_since_ms"] = min((status["since_ms"] for status in applied), default=None)


def show(summary: StatusMap) -> None:
    """Print a summary for people."""
    out = console()
    out.print(_header_table(summary["heads"]))
    lines = [line for name, follower in summary["followers"].items() for line in _problems(name, follower)]
    for line in lines[:MAX_LISTED]:
        out.print(line)
    if len(lines) > MAX_LISTED:
        out.print(f"and {len(lines) - MAX_LISTED} more: --json prints all of them")
    for conflict in summary["conflicts"]:
        out.print(_conflict_line(conflict))
    for name in summary["stopped"]:
        out.print(f"{name} accepts no documents: its disk has failed, see its log")
    for error in summary["silent"].values():
        out.print(error)
    if summary["gone"]:
        out.print(f"{len(summary['gone'])} followers without contact for ten minutes are left out")
    if summary["whole"]:
        out.print(f"all {len(summary['followers'])} that watch have all that is meant for them")


def _header_table(headers: StatusMap) -> Table:
    table = Table("scope", "version", "digest", "bytes", "author", "reason", "in force", "last", box=None)
    for scope, header in sorted(headers.items()):
        epoch = f" (era {header['era']})" if header["era"] > 1 else ""
        table.add_row(
            scope,
            f"{header['version']}{epoch}",
            header["digest"],
            str(header["size"]),
            header["author"],
            header["reason"],
            f"{header['in_force']} of {header['meant']}",
            _duration(header["last_since_ms"]),
        )
    return table


def _conflict_line(conflict: StatusMap) -> str:
    winner = conflict["kept"]
    loser = conflict["dropped"]
    return (
        f"two answers for {winner['scope']}: version {winner['version']} of {winner['writer']} is kept,"
        f" version {loser['version']} of {loser['writer']} is dropped by the rule: {conflict['rule']}"
    )


def _problems(name: str, follower: StatusMap) -> list[str]:
    lines = [f"{name} refused {scope}: {why}" for scope, why in follower["refused"].items()]
    lagging = [scope for scope in follower["lags"] if scope not in follower["refused"]]
    if lagging:
        versions = {status["scope"]: status["version"] for status in follower["standings"]}
        lags = ", ".join(f"{scope} (has {versions.get(scope, 0)})" for scope in lagging)
        lines.append(f"{name} lags: {lags}")
    if follower["unheard"]:
        lines.append(f"{name} was not heard of for {_duration(follower['age_ms'])}")
    return lines


def _duration(ms: float | None) -> str:
    if ms is None:
        return "-"
    return f"{ms / 1000:.1f} s" if ms < MINUTES_FROM_MS else f"{ms / 60_000:.0f} min"
