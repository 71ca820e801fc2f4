"""Command line of a publisher or relay, which runs until SIGTERM: `python -m crowpost.feed FILE`."""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from crowpost import log_output
from crowpost.config_feed.configuration import FeedConfig, load
from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.identity import PUBLISHER_ROLE, RELAY_ROLE
from crowpost.config_feed.publication_log import Check
from crowpost.config_feed.transport import FeedTransport

PROGRAM = "crowpost.feed"  # name of the command for operators
EXIT_OK = 0
EXIT_USAGE = 2


async def serve(config: FeedConfig, check: Check, restored: bool) -> None:
    """Run a publisher or a relay until SIGTERM or SIGINT, then close its connections in order."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if config.role == PUBLISHER_ROLE:
        await _run_publisher(config, check, restored, stop)
    else:
        await _run_relay(config, stop)


async def _run_publisher(config: FeedConfig, check: Check, restored: bool, stop: asyncio.Event) -> None:
    # Imported here because a relay needs no store.
    from crowpost.config_feed.publisher import Publisher

    publisher = Publisher(config, check, restored=restored)
    await publisher.start()
    await stop.wait()
    await publisher.close()


async def _run_relay(config: FeedConfig, stop: asyncio.Event) -> None:
    relay = FeedTransport(config, _ignore)
    await relay.listen()
    relay.start()
    await stop.wait()
    await relay.close()


def _ignore(document: Document) -> None:
    """Ignore a received document: the relay's distribution server has already announced it."""
    del document


def main(arguments: list[str]) -> int:
    """Run the command.  Return 0 after an orderly shutdown, or 2 after a one-line message about an error."""
    # The only place where this package depends on the node.
    from crowpost.node.configuration_overlays import make_check

    log_output.install()
    restored = "--restored" in arguments
    files = [argument for argument in arguments if argument != "--restored"]
    if len(files) != 1:
        print(f"usage: python -m {PROGRAM} FILE [--restored]", file=sys.stderr)
        return EXIT_USAGE
    try:
        config = load(files[0], roles=(RELAY_ROLE, PUBLISHER_ROLE))
        uvloop.run(serve(config, make_check(config.sample_file), restored))
    except FeedError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except OSError as error:
        print(f"{PROGRAM}: feed.listen cannot be used: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK
