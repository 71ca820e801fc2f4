"""python -m crowpost.members FILE: a member alone, until SIGTERM or until it is asked to leave."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import uvloop

from crowpost.membership.configuration import MembersConfig, load
from crowpost.membership.model import MemberError, Phase
from crowpost.membership.transport import Carrier


async def serve(config: MembersConfig) -> None:
    """Join, be present, and leave in order."""
    carrier = Carrier(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, carrier.leaving.set)
    await carrier.start()
    carrier.declare(Phase.PRESENT)
    await carrier.leaving.wait()
    await carrier.close()


def main(arguments: list[str]) -> int:
    """Exit code 0 after an orderly end, 2 with one line for what cannot be used."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    if len(arguments) != 1:
        print("usage: python -m crowpost.members FILE", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(load(arguments[0], os.environ.get("NODE_NAME", ""))))
    except MemberError as error:
        print(f"crowpost.members: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"crowpost.members: members.listen cannot be used: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
