"""`crowpost feed`: run a publisher or relay, publish, see who has what, watch, and take back."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import TYPE_CHECKING, Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

if TYPE_CHECKING:
    from crowpost.config_feed.documents import Document
    from crowpost.config_feed.messages import PublishRequest

app = typer.Typer(help="Configuration for a whole fleet, published once.", no_args_is_help=True)
out = console()
At = Annotated[
    str, typer.Option("--at", envvar="CROWPOST_FEED", help="publishers and relays, host:port[,host:port...]")
]
Cluster = Annotated[
    str, typer.Option("--cluster", envvar="CROWPOST_FEED_CLUSTER", help="name of the cluster")
]
Author = Annotated[str, typer.Option("--author", envvar="USER", help="who publishes")]
Reason = Annotated[str, typer.Option("--reason", help="why, for those who look at it later")]
IfVersion = Annotated[
    int, typer.Option("--if-version", min=-1, help="only if the scope is at this version; 0: if it has none")
]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]

ASK_S = 1.5  # for all that are asked for a status, at once
PUBLISH_S = 10.0
SILENT_MS = 10_000.0  # a follower that was not heard of for so long is named
GONE_MS = 600_000.0  # and after so long it is held to have been replaced, and only counted
NAMED = 40  # followers that are named at the most


def _addresses(at: str) -> list[str]:
    from crowpost.config_feed.configuration import split_address

    addresses = [address.strip() for address in at.split(",") if address.strip()]
    if not addresses:
        raise typer.BadParameter("name publishers and relays with --at HOST:PORT,... or in CROWPOST_FEED")
    for address in addresses:
        split_address(address)
    return addresses


def _cluster(cluster: str) -> str:
    if not cluster:
        raise typer.BadParameter("name the cluster with --cluster, or in CROWPOST_FEED_CLUSTER")
    return cluster


@app.command()
def run(
    file: Annotated[str, typer.Argument(help="a TOML file with [feed]")],
    restored: Annotated[
        bool, typer.Option("--restored", help="the directory is from a backup: begin the next era")
    ] = False,
) -> None:
    """Be a publisher or a relay until SIGTERM.

    Example: crowpost feed run publisher.toml
    """
    from crowpost.config_feed.command import main

    raise typer.Exit(main([file, *(["--restored"] if restored else [])]))


@app.command()
def publish(
    file: Annotated[str, typer.Argument(help="a file with the JSON document; - for standard input")],
    scope: Annotated[str, typer.Option("--scope", help="all, region/R, service/S or node/N")],
    at: At = "",
    cluster: Cluster = "",
    author: Author = "",
    reason: Reason = "",
    if_version: IfVersion = -1,
    region: Annotated[str, typer.Option("--region", help="of a node, with its first document")] = "",
    as_json: AsJson = False,
) -> None:
    """Publish a document: durable once this has ended with 0.  Exit code 1 if it is refused.

    Example: crowpost feed publish moved.json --scope region/north --reason "lists moved" --at 10.0.0.9:7400
    """
    from crowpost.config_feed.errors import FeedError
    from crowpost.config_feed.messages import PublishRequest

    try:
        if file == "-":
            body = sys.stdin.buffer.read()
        else:
            with open(file, "rb") as opened:
                body = opened.read()
    except OSError as error:
        raise FeedError(f"{file}: {error.strerror}") from None
    _publish(PublishRequest(1, scope, body, author, reason, region, if_version), at, cluster, as_json)


@app.command()
def back(
    scope: Annotated[str, typer.Argument(help="all, region/R, service/S or node/N")],
    at: At = "",
    cluster: Cluster = "",
    author: Author = "",
    reason: Reason = "taken back",
    if_version: IfVersion = -1,
    as_json: AsJson = False,
) -> None:
    """Publish the document before the one in force, as a new version.  Exit code 1 if it is refused.

    Example: crowpost feed back region/north --reason "calls fail since" --if-version 12 --at 10.0.0.9:7400
    """
    from crowpost.config_feed.messages import PublishRequest

    _publish(
        PublishRequest(1, scope, b"", author, reason, "", if_version, rollback=True), at, cluster, as_json
    )


def _publish(asked: PublishRequest, at: str, cluster: str, as_json: bool) -> None:
    from crowpost.config_feed.documents import make_document
    from crowpost.config_feed.errors import FeedError
    from crowpost.config_feed.messages import PublishAccepted, PublishRejected
    from crowpost.config_feed.request_reply import request_reply
    from crowpost.config_feed.scopes import parse_scope
    from crowpost.config_feed.tuning import Tuning

    parse_scope(asked.scope)
    # What cannot be meant is said here, before anybody is asked; so is what no frame could carry.
    make_document(asked.scope, 0, 1, b"", author=asked.author, reason=asked.reason, writer="")
    if len(asked.body) > Tuning().max_document_bytes:
        most = Tuning().max_document_bytes
        raise FeedError(f"{asked.scope}: {len(asked.body)} bytes, {most} at the most")
    answer = asyncio.run(request_reply(_addresses(at)[0], asked, _cluster(cluster), PUBLISH_S))
    if isinstance(answer, PublishRejected):
        if as_json:
            print(json.dumps({"published": False, "why": answer.why}))
        else:
            print(f"refused: {answer.why}", file=sys.stderr)
        raise typer.Exit(1)
    assert isinstance(answer, PublishAccepted)
    header = answer.header
    if as_json:
        told = {"published": True, "scope": header.scope, "era": header.epoch, "version": header.version}
        print(
            json.dumps({**told, "digest": header.digest.hex(), "size": header.size, "writer": header.writer})
        )
    else:
        out.print(f"{header.scope} is at version {header.version} (era {header.epoch}, {header.size} bytes)")


# ---------------------------------------------------------------- status


@app.command()
def status(at: At = "", cluster: Cluster = "", as_json: AsJson = False) -> None:
    """Who has what, since when, who lags, refused or was not heard of; within 2 s, whoever is silent.

    Exit code 1 if any of that is so, or any of those asked did not answer.

    Example: crowpost feed status --at 10.0.0.9:7400,10.0.1.9:7400 --cluster c1
    """
    from crowpost.config_feed.errors import FeedError

    addresses = _addresses(at)
    told, silent = asyncio.run(ask_all(addresses, _cluster(cluster), ASK_S))
    if not told:
        raise FeedError("; ".join(silent.values()))
    found = picture(told, silent)
    if as_json:
        print(json.dumps(found, sort_keys=True))
    else:
        _show(found)
    if not found["whole"]:
        raise typer.Exit(1)


async def ask_all(
    addresses: list[str], cluster: str, within_s: float
) -> tuple[list[dict[str, Any]], dict[str, str]]:
    """The statuses of those that answer in time, all asked at once; and by address why not of the others."""
    from crowpost.config_feed.errors import FeedError
    from crowpost.config_feed.messages import StatusRequest, StatusResponse
    from crowpost.config_feed.request_reply import request_reply

    async def one(address: str) -> dict[str, Any] | str:
        try:
            answer = await request_reply(address, StatusRequest(1), cluster, within_s)
        except FeedError as error:
            return str(error)
        assert isinstance(answer, StatusResponse)
        return answer.value

    answers = await asyncio.gather(*(one(address) for address in addresses))
    silent = {a: said for a, said in zip(addresses, answers, strict=True) if isinstance(said, str)}
    return [said for said in answers if not isinstance(said, str)], silent


def picture(told: list[dict[str, Any]], silent: dict[str, str]) -> dict[str, Any]:
    """The statuses as one: `heads` with how many have each, `followers`, `silent` hubs, `whole` if all is."""
    from crowpost.config_feed.scopes import applies_to_node
    from crowpost.config_feed.status_merge import merge_statuses

    found = merge_statuses(told)
    followers = {n: f for n, f in found["followers"].items() if f["role"] != "watch"}
    found["gone"] = sorted(n for n, f in followers.items() if not f["linked"] and f["age_ms"] > GONE_MS)
    found["followers"] = {n: f for n, f in followers.items() if n not in found["gone"]}
    nodes = {name: one for name, one in found["followers"].items() if one["role"] == "node"}
    for scope, header in found["heads"].items():
        meant = {n: f for n, f in nodes.items() if applies_to_node(scope, f["region"], f["service"], n)}
        held = [r for f in meant.values() for r in f["standings"] if r["scope"] == scope]
        force = [r for r in held if r["state"] == "in force" and r["version"] == header["version"]]
        header["meant"], header["in_force"] = len(meant), len(force)
        header["last_since_ms"] = min((row["since_ms"] for row in force), default=None)
    for one in found["followers"].values():
        one["unheard"] = not one["linked"] or one["age_ms"] > SILENT_MS
    found["silent"], found["answered"] = silent, [status["name"] for status in told]
    found["stopped"] = {s["name"]: s["counts"]["stopped"] for s in told if s["counts"].get("stopped")}
    amiss = any(f["lags"] or f["refused"] or f["unheard"] for f in found["followers"].values())
    found["whole"] = not (amiss or silent or found["conflicts"] or found["stopped"])
    return found


def _show(found: dict[str, Any]) -> None:
    table = Table("scope", "version", "digest", "bytes", "author", "reason", "in force", "last", box=None)
    for scope, header in sorted(found["heads"].items()):
        version = str(header["version"]) + (f" (era {header['era']})" if header["era"] > 1 else "")
        have = f"{header['in_force']} of {header['meant']}"
        last = _ago(header["last_since_ms"])
        size = str(header["size"])
        table.add_row(scope, version, header["digest"], size, header["author"], header["reason"], have, last)
    out.print(table)
    lines = [line for name, one in found["followers"].items() for line in _amiss(name, one)]
    for line in lines[:NAMED]:
        out.print(line)
    if len(lines) > NAMED:
        out.print(f"and {len(lines) - NAMED} more: --json has them all")
    for conflict in found["conflicts"]:
        kept, dropped = conflict["kept"], conflict["dropped"]
        out.print(
            f"two answers for {kept['scope']}: version {kept['version']} of {kept['writer']} holds,"
            f" version {dropped['version']} of {dropped['writer']} does not, by the rule: {conflict['rule']}"
        )
    for name in found["stopped"]:
        out.print(f"{name} takes no documents: its disk has failed, see its log")
    for said in found["silent"].values():
        out.print(said)
    if found["gone"]:
        out.print(f"{len(found['gone'])} have not been here for ten minutes, and are left out")
    if found["whole"]:
        out.print(f"all {len(found['followers'])} that watch have all that is meant for them")


def _amiss(name: str, one: dict[str, Any]) -> list[str]:
    lines = [f"{name} refused {scope}: {why}" for scope, why in one["refused"].items()]
    late = [scope for scope in one["lags"] if scope not in one["refused"]]
    if late:
        held = {row["scope"]: row["version"] for row in one["standings"]}
        lines.append(f"{name} lags: " + ", ".join(f"{scope} (has {held.get(scope, 0)})" for scope in late))
    if one["unheard"]:
        lines.append(f"{name} was not heard of for {_ago(one['age_ms'])}")
    return lines


def _ago(ms: float | None) -> str:
    if ms is None:
        return "-"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.0f} min"


# ---------------------------------------------------------------- watch


@app.command()
def watch(
    at: At = "",
    cluster: Cluster = "",
    count: Annotated[int, typer.Option("--count", min=0, help="end after so many lines; 0: never")] = 0,
    as_json: AsJson = False,
) -> None:
    """Print a line for each document, first those that there are, then each new one, until interrupted.

    Example: crowpost feed watch --at 10.0.0.9:7400,10.0.1.9:7400 --cluster c1
    """
    try:
        asyncio.run(_watch(_addresses(at), _cluster(cluster), count, as_json))
    except KeyboardInterrupt:
        raise typer.Exit(0) from None


async def _watch(addresses: list[str], cluster: str, count: int, as_json: bool) -> None:
    from crowpost.config_feed.configuration import FeedConfig
    from crowpost.config_feed.transport import FeedTransport
    from crowpost.config_feed.upstream_server import UpstreamServer

    enough = asyncio.Event()
    seen = 0

    def print_line(document: Document) -> None:
        nonlocal seen
        if count and seen == count:
            return
        seen += 1
        header = document.header
        if as_json:
            told = {
                "scope": header.scope,
                "era": header.epoch,
                "version": header.version,
                "size": header.size,
            }
            told |= {"digest": header.digest.hex(), "author": header.author, "reason": header.reason}
            print(json.dumps({**told, "at": round(time.time(), 3)}), flush=True)
        else:
            at = time.strftime("%H:%M:%S")
            why = f"{header.author}: {header.reason}"
            print(f"{at} {header.scope} version {header.version}, {header.size} bytes, {why}", flush=True)
        if count and seen == count:
            enough.set()

    servers = tuple(UpstreamServer(address) for address in addresses)
    transport = FeedTransport(FeedConfig(cluster, "watch", "watch", upstreams=servers), print_line)
    transport.start()
    await enough.wait()
    await transport.close()
