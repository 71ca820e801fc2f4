"""`crowpost feed`: run a publisher or relay, publish, roll back, show the status, and watch."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from crowpost.cli.terminal import console

if TYPE_CHECKING:
    from crowpost.config_feed.documents import Document
    from crowpost.config_feed.messages import PublishRequest

app = typer.Typer(
    help="Configuration that is published once and distributed to a whole fleet.", no_args_is_help=True
)
out = console()
At = Annotated[
    str,
    typer.Option(
        "--at", envvar="CROWPOST_FEED", help="addresses of publishers and relays, host:port[,host:port...]"
    ),
]
Cluster = Annotated[
    str, typer.Option("--cluster", envvar="CROWPOST_FEED_CLUSTER", help="name of the cluster")
]
Author = Annotated[str, typer.Option("--author", envvar="USER", help="who publishes")]
Reason = Annotated[str, typer.Option("--reason", help="reason for the change, stored with the document")]
IfVersion = Annotated[
    int,
    typer.Option(
        "--if-version", min=-1, help="publish only if the scope is at this version; 0: if it has no document"
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]

STATUS_TIMEOUT_S = 1.5  # timeout for all servers, which are asked at the same time
PUBLISH_TIMEOUT_S = 10.0
WATCH_ROLE = "watch"  # not a node, relay or publisher: statuses do not list it as a follower


def _addresses(at: str) -> list[str]:
    from crowpost.config_feed.configuration import split_address

    addresses = [address.strip() for address in at.split(",") if address.strip()]
    if not addresses:
        raise typer.BadParameter(
            "set the addresses of publishers and relays with --at HOST:PORT,... or CROWPOST_FEED"
        )
    for address in addresses:
        split_address(address)
    return addresses


def _cluster(cluster: str) -> str:
    if not cluster:
        raise typer.BadParameter("set the name of the cluster with --cluster or CROWPOST_FEED_CLUSTER")
    return cluster


@app.command("run")
def run(
    file: Annotated[str, typer.Argument(help="a TOML file with [feed]")],
    restored: Annotated[
        bool, typer.Option("--restored", help="the directory was restored from a backup: begin the next era")
    ] = False,
) -> None:
    """Run a publisher or a relay until SIGTERM.

    Example: crowpost feed run publisher.toml
    """
    from crowpost.config_feed.command import main

    raise typer.Exit(main([file, *(["--restored"] if restored else [])]))


@app.command("publish")
def publish(
    file: Annotated[str, typer.Argument(help="a file with a JSON document; - for standard input")],
    scope: Annotated[str, typer.Option("--scope", help="all, region/R, service/S or node/N")],
    at: At = "",
    cluster: Cluster = "",
    author: Author = "",
    reason: Reason = "",
    if_version: IfVersion = -1,
    region: Annotated[
        str, typer.Option("--region", help="region of a node, given with its first document")
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Publish a document, which is durable once the command exits with 0.  Exit code 1 if it is rejected.

    Example: crowpost feed publish moved.json --scope region/north --reason "lists moved" --at 10.0.0.9:7400
    """
    from crowpost.config_feed.messages import PublishRequest

    body = _read_body(file)
    _publish(PublishRequest(1, scope, body, author, reason, region, if_version), at, cluster, as_json)


def _read_body(file: str) -> bytes:
    from crowpost.config_feed.errors import FeedError

    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(file).read_bytes()
    except OSError as error:
        raise FeedError(f"{file}: {error.strerror}") from error


@app.command("back")
def roll_back(
    scope: Annotated[str, typer.Argument(help="all, region/R, service/S or node/N")],
    at: At = "",
    cluster: Cluster = "",
    author: Author = "",
    reason: Reason = "taken back",
    if_version: IfVersion = -1,
    as_json: AsJson = False,
) -> None:
    """Publish the previous document again, as a new version.  Exit code 1 if it is rejected.

    Example: crowpost feed back region/north --reason "calls fail since" --if-version 12 --at 10.0.0.9:7400
    """
    from crowpost.config_feed.messages import PublishRequest

    request = PublishRequest(1, scope, b"", author, reason, "", if_version, rollback=True)
    _publish(request, at, cluster, as_json)


def _publish(request: PublishRequest, at: str, cluster: str, as_json: bool) -> None:
    from crowpost.config_feed.messages import PublishAccepted, PublishRejected
    from crowpost.config_feed.request_reply import request_reply

    _check(request)
    reply = request_reply(_addresses(at)[0], request, _cluster(cluster), PUBLISH_TIMEOUT_S)
    answer = asyncio.run(reply)
    if isinstance(answer, PublishRejected):
        if as_json:
            print(json.dumps({"published": False, "why": answer.why}))
        else:
            print(f"refused: {answer.why}", file=sys.stderr)
        raise typer.Exit(1)
    assert isinstance(answer, PublishAccepted)
    header = answer.header
    if not as_json:
        out.print(f"{header.scope} is at version {header.version} (era {header.epoch}, {header.size} bytes)")
        return
    published = {
        "published": True,
        "scope": header.scope,
        "era": header.epoch,
        "version": header.version,
        "digest": header.digest.hex(),
        "size": header.size,
        "writer": header.writer,
    }
    print(json.dumps(published))


def _check(request: PublishRequest) -> None:
    """Raise FeedError for a request that is invalid or too large, before it is sent."""
    from crowpost.config_feed.documents import make_document
    from crowpost.config_feed.errors import FeedError
    from crowpost.config_feed.scopes import parse_scope
    from crowpost.config_feed.tuning import Tuning

    parse_scope(request.scope)
    make_document(request.scope, 0, 1, b"", author=request.author, reason=request.reason, writer="")
    limit = Tuning().max_document_bytes
    if len(request.body) > limit:
        raise FeedError(f"{request.scope}: {len(request.body)} bytes, {limit} at most")


@app.command("status")
def status(at: At = "", cluster: Cluster = "", as_json: AsJson = False) -> None:
    """Print which versions are in force, and the followers that lag, reject a document or have no contact.

    Takes at most 2 s, even if servers are unresponsive.  Exit code 1 if there is any such follower, or any
    server did not answer.

    Example: crowpost feed status --at 10.0.0.9:7400,10.0.1.9:7400 --cluster c1
    """
    from crowpost.cli.feed_status import collect_statuses, show, summarize
    from crowpost.config_feed.errors import FeedError

    answers = asyncio.run(collect_statuses(_addresses(at), _cluster(cluster), STATUS_TIMEOUT_S))
    if not answers.statuses:
        raise FeedError("; ".join(answers.errors.values()))
    summary = summarize(answers)
    if as_json:
        print(json.dumps(summary, sort_keys=True))
    else:
        show(summary)
    if not summary["whole"]:
        raise typer.Exit(1)


@app.command("watch")
def watch(
    at: At = "",
    cluster: Cluster = "",
    count: Annotated[
        int, typer.Option("--count", min=0, help="exit after this number of lines; 0: never")
    ] = 0,
    as_json: AsJson = False,
) -> None:
    """Print a line for each current document, then for each new one, until interrupted.

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

    done = asyncio.Event()
    printed = 0

    def print_document(document: Document) -> None:
        nonlocal printed
        if count and printed == count:
            return
        printed += 1
        line = json.dumps(_document_map(document)) if as_json else _document_line(document)
        print(line, flush=True)
        if count and printed == count:
            done.set()

    servers = tuple(UpstreamServer(address) for address in addresses)
    config = FeedConfig(cluster, "watch", WATCH_ROLE, upstreams=servers)
    transport = FeedTransport(config, print_document)
    transport.start()
    await done.wait()
    await transport.close()


def _document_map(document: Document) -> dict[str, Any]:
    header = document.header
    return {
        "scope": header.scope,
        "era": header.epoch,
        "version": header.version,
        "size": header.size,
        "digest": header.digest.hex(),
        "author": header.author,
        "reason": header.reason,
        "at": round(time.time(), 3),
    }


def _document_line(document: Document) -> str:
    header = document.header
    at = time.strftime("%H:%M:%S")
    return (
        f"{at} {header.scope} version {header.version}, {header.size} bytes, {header.author}: {header.reason}"
    )
