"""The command of a publisher or a relay: `python -m crowpost.feed FILE`, until SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import uvloop

from crowpost.config_feed.configuration import FeedConfig, load
from crowpost.config_feed.documents import FeedError
from crowpost.config_feed.publication_log import Check
from crowpost.config_feed.transport import FeedTransport


async def serve(config: FeedConfig, check: Check, restored: bool) -> None:
    """Publish, or pass on, and say good-bye at the end."""
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leaving.set)
    if config.role == "publisher":
        from crowpost.config_feed.publisher import Publisher

        publisher = Publisher(config, check, restored=restored)
        await publisher.start()
        await leaving.wait()
        await publisher.close()
        return
    relay = FeedTransport(config, lambda document: None)
    await relay.listen()
    relay.start()
    await leaving.wait()
    await relay.close()


def main(arguments: list[str]) -> int:
    """Exit code 0 after an orderly end, 2 with one line for what cannot be used."""
    from crowpost.node.configuration_overlays import (
        checker,  # the node's own check: only here do the two meet
    )

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    restored = "--restored" in arguments
    files = [argument for argument in arguments if argument != "--restored"]
    if len(files) != 1:
        print("usage: python -m crowpost.feed FILE [--restored]", file=sys.stderr)
        return 2
    try:
        config = load(files[0], roles=("relay", "publisher"))
        uvloop.run(serve(config, checker(config.sample), restored))
    except FeedError as error:
        print(f"crowpost.feed: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"crowpost.feed: feed.listen cannot be used: {error}", file=sys.stderr)
        return 2
    return 0
