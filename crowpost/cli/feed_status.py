"""Statuses of publishers and relays: asked for, merged into one, and shown."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from rich.table import Table

from crowpost.cli.terminal import console

if TYPE_CHECKING:
    from crowpost.config_feed.errors import FeedError

SILENT_MS = 10_000.0  # a follower that was not heard of for so long is listed
GONE_MS = 600_000.0  # and after so long it counts as replaced
MAX_LISTED = 40  # followers with problems
MINUTES_FROM_MS = 120_000  # shorter ages are shown in seconds

StatusMap = dict[str, Any]


@dataclass
class StatusAnswers:
    """The statuses that servers answered with, and by address why others did not."""

    statuses: list[StatusMap] = field(default_factory=list)
    errors: dict[str, str] = field(default_factory=dict)


async def collect_statuses(addresses: Sequence[str], cluster: str, timeout_s: float) -> StatusAnswers:
    """Ask all servers at once, and return what was answered in time."""
    from crowpost.config_feed.errors import FeedError

    answers = StatusAnswers()
    asking = (_ask(address, cluster, timeout_s) for address in addresses)
    for address, result in zip(addresses, await asyncio.gather(*asking), strict=True):
        if isinstance(result, FeedError):
            answers.errors[address] = str(result)
        else:
            answers.statuses.append(result)
    return answers


async def _ask(address: str, cluster: str, timeout_s: float) -> StatusMap | FeedError:
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
    """Return the statuses as one map, as `crowpost feed status --json` prints it.

    Keys: `heads` with how many nodes have each applied, `followers`, `gone`, `conflicts`, `silent` and
    `answered` servers, `stopped` publishers, and `whole`, whether everything is applied everywhere.
    """
    from crowpost.config_feed.status_merge import merge_statuses

    summary = merge_statuses(answers.statuses)
    followers = {name: one for name, one in summary["followers"].items() if one["role"] != "watch"}
    summary["gone"] = sorted(name for name, one in followers.items() if _is_gone(one))
    followers = {name: one for name, one in followers.items() if not _is_gone(one)}
    for follower in followers.values():
        follower["unheard"] = not follower["linked"] or follower["age_ms"] > SILENT_MS
    summary["followers"] = followers
    nodes = {name: one for name, one in followers.items() if one["role"] == "node"}
    for scope, header in summary["heads"].items():
        _count_nodes(scope, header, nodes)
    summary["silent"] = answers.errors
    summary["answered"] = [status["name"] for status in answers.statuses]
    summary["stopped"] = {
        status["name"]: status["counts"]["stopped"]
        for status in answers.statuses
        if status["counts"].get("stopped")
    }
    has_problems = any(one["lags"] or one["refused"] or one["unheard"] for one in followers.values())
    summary["whole"] = not (has_problems or answers.errors or summary["conflicts"] or summary["stopped"])
    return summary


def _is_gone(follower: StatusMap) -> bool:
    return bool(not follower["linked"] and follower["age_ms"] > GONE_MS)


def _count_nodes(scope: str, header: StatusMap, nodes: dict[str, StatusMap]) -> None:
    """Add to a header how many nodes it applies to, and how many have it applied."""
    from crowpost.config_feed.scopes import applies_to_node

    meant = [
        node for name, node in nodes.items() if applies_to_node(scope, node["region"], node["service"], name)
    ]
    applied = [
        status
        for node in meant
        for status in node["standings"]
        if status["scope"] == scope
        and status["state"] == "in force"
        and status["version"] == header["version"]
    ]
    header["meant"] = len(meant)
    header["in_force"] = len(applied)
    header["last_since_ms"] = min((status["since_ms"] for status in applied), default=None)


def show(summary: StatusMap) -> None:
    """Print a summary for people."""
    out = console()
    out.print(_header_table(summary["heads"]))
    lines = [line for name, one in summary["followers"].items() for line in _problems(name, one)]
    for line in lines[:MAX_LISTED]:
        out.print(line)
    if len(lines) > MAX_LISTED:
        out.print(f"and {len(lines) - MAX_LISTED} more: --json has them all")
    for conflict in summary["conflicts"]:
        out.print(_conflict_line(conflict))
    for name in summary["stopped"]:
        out.print(f"{name} takes no documents: its disk has failed, see its log")
    for error in summary["silent"].values():
        out.print(error)
    if summary["gone"]:
        out.print(f"{len(summary['gone'])} have not been here for ten minutes, and are left out")
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
        f"two answers for {winner['scope']}: version {winner['version']} of {winner['writer']} holds,"
        f" version {loser['version']} of {loser['writer']} does not, by the rule: {conflict['rule']}"
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
