"""Run a member that does nothing else: python -m crowpost.membership FILE.

It runs until SIGTERM or SIGINT, or until it is asked to leave.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import uvloop

from crowpost.membership.configuration import MembershipConfig, load
from crowpost.membership.errors import MembershipError
from crowpost.membership.model import Phase
from crowpost.membership.transport import MembershipTransport

EXIT_OK = 0
EXIT_UNUSABLE = 2
COMMAND = "crowpost.members"  # as operators know it: part of the texts on standard error


async def serve(config: MembershipConfig) -> None:
    """Join the cluster, be present until asked to stop, and leave."""
    transport = MembershipTransport(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, transport.leave_requested.set)
    await transport.start()
    transport.announce_phase(Phase.PRESENT)
    await transport.leave_requested.wait()
    await transport.close()


def main(arguments: list[str]) -> int:
    """Return exit code 0 after a regular end, 2 with one line on standard error for unusable arguments."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    if len(arguments) != 1:
        print(f"usage: python -m {COMMAND} FILE", file=sys.stderr)
        return EXIT_UNUSABLE
    try:
        uvloop.run(serve(load(arguments[0], os.environ.get("NODE_NAME", ""))))
    except MembershipError as error:
        print(f"{COMMAND}: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    except OSError as error:
        print(f"{COMMAND}: members.listen cannot be used: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
