"""Plays seeded courses of faults between processes, and prints the verdict on each.

    python -m bench.soak [--first 0] [--seeds 50] [--seconds 20]

The exit status is 1 if a run broke a rule. `tests/soak/` has the courses, the rules and the run; CI
plays a short one (`tests/soak/test_soak.py`).
"""

import argparse
import sys
import tempfile
from pathlib import Path

import trio

from tests.soak.courses import draw_course
from tests.soak.run import play_course


def main() -> int:
    """Play the courses and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(play_course, draw_course(seed, arguments.seconds), Path(folder))
        print(result.summary(), flush=True)
        broken += bool(result.violations)
    print(f"{arguments.seeds} runs, {broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
