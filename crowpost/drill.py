"""Former name of `python -m crowpost.simulator`, kept as `python -m crowpost.drill`."""

import sys

from crowpost.simulator.host import main

if __name__ == "__main__":
    sys.exit(main("crowpost.drill"))
