"""Run the adapter until the end of input."""

import sys

from dunlinlug.drill.codec import WireFault
from dunlinlug.drill.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireFault as fault:
        sys.exit(f"dunlinlug.drill: {fault}")
