"""Run the adapter until the end of input."""

import sys

from dunlinlug.simulator.codec import WireError
from dunlinlug.simulator.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        sys.exit(f"dunlinlug.drill: {fault}")
