"""python -m crowpost.simulator: serve the simulator on standard input and output."""

import sys

from crowpost.simulator.host import main

if __name__ == "__main__":
    sys.exit(main("crowpost.simulator"))
