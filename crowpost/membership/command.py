"""The command that runs a standalone member.

The member runs until SIGTERM or SIGINT, or until it receives a leave request.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from crowpost import log_output
from crowpost.membership.configuration import MembershipConfig, load
from crowpost.membership.errors import MembershipError
from crowpost.membership.model import Phase
from crowpost.membership.transport import MembershipTransport

EXIT_OK = 0
EXIT_INVALID_CONFIGURATION = 2
COMMAND = "crowpost.members"  # The command's public name, part of the texts on standard error


async def serve(config: MembershipConfig) -> None:
    """Join the cluster, stay present until a signal or a leave request arrives, and leave."""
    transport = MembershipTransport(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, transport.leave_requested.set)
    await transport.start()
    transport.announce_phase(Phase.PRESENT)
    await transport.leave_requested.wait()
    await transport.close()


def main(arguments: list[str]) -> int:
    """Return exit code 0 after a regular stop, or 2 and print one line for invalid arguments or settings."""
    log_output.install()
    if len(arguments) != 1:
        print(f"usage: python -m {COMMAND} FILE", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    try:
        uvloop.run(serve(load(arguments[0], os.environ.get("NODE_NAME", ""))))
    except MembershipError as error:
        print(f"{COMMAND}: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    except OSError as error:
        print(f"{COMMAND}: members.listen cannot be used: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return EXIT_OK
