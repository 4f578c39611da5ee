"""Runs the simulator's adapter until the end of input; an invalid line ends it with status 1."""

import sys

from dunlinlug.simulator.codec import WireError
from dunlinlug.simulator.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.exit(f"dunlinlug.drill: {error}")
