"""Run `crowpost.membership` under its earlier name, by which operators start it."""

from __future__ import annotations

import sys

from crowpost.membership.__main__ import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
