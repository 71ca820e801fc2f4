"""python -m crowpost.drill: the former name of `python -m crowpost.simulator`."""

import sys

from crowpost.simulator.host import main

if __name__ == "__main__":
    sys.exit(main("crowpost.drill"))
