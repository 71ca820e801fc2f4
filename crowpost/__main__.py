"""python -m crowpost: run one node, configured by environment variables."""

from __future__ import annotations

import gc
import os
import sys

import uvloop

from crowpost import log_output
from crowpost.node.configuration import Config, ConfigError, load
from crowpost.node.node import Node


async def _serve(config: Config) -> None:
    node = Node(config)
    # Its endpoint list is needed at the start only.
    del config
    # Objects that exist now live as long as the node: exclude them from garbage collection.
    gc.freeze()
    await node.start()
    await node.wait()


def main() -> int:
    """Run the node; return 0 after SIGTERM, and 2 with one line on standard error for a bad configuration."""
    log_output.install()
    try:
        uvloop.run(_serve(load(os.environ)))
    except ConfigError as error:
        print(f"crowpost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
