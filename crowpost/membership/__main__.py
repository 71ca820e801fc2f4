"""python -m crowpost.membership FILE: run a standalone member until SIGTERM."""

from __future__ import annotations

import sys

from crowpost.membership.command import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
