"""python -m crowpost.members FILE: `crowpost.membership` under the name by which operators start it."""

from __future__ import annotations

import sys

from crowpost.membership.command import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
