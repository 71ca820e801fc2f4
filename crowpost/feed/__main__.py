"""python -m crowpost.feed FILE: run a publisher or a relay until SIGTERM."""

from __future__ import annotations

import sys

from crowpost.config_feed.command import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
