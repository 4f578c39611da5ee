"""The command line that the models have in common."""

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

from dunlinlug.fleet.model_checking.engine import (
    WalkOptions,
    explore_breadth_first,
    explore_depth_first,
    explore_recovery_randomly,
    swarm_search,
)
from dunlinlug.fleet.model_checking.model import ExplorationResult, Model, StateT

RECOVERY_CHECK_INTERVAL = 997  # states from one check of recovery to the next


def run_swarm_command(
    breadth_model: Model[StateT],
    walk_model: Model[StateT],
    walk_length: int,
    recovery_label: str,
) -> None:
    """Search breadth first beside several processes of random walks, and print what was found."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument(
        "--seconds", type=float, default=600, help="for the breadth, and for each of the walks"
    )
    parser.add_argument(
        "--walkers", type=int, default=4, help="processes that walk, with seeds of their own"
    )
    arguments = parser.parse_args()
    with ProcessPoolExecutor(arguments.walkers + 1) as pool:
        breadth_first = pool.submit(
            explore_breadth_first,
            breadth_model,
            arguments.states,
            arguments.seconds,
            RECOVERY_CHECK_INTERVAL,
        )
        walks = {
            seed: pool.submit(
                swarm_search,
                walk_model,
                WalkOptions(seed, walk_length, max_seconds=arguments.seconds),
            )
            for seed in range(arguments.walkers)
        }
        for seed, result in walks.items():
            print(result.result().describe(f"walks of seed {seed}", ""), flush=True)
        print(breadth_first.result().describe("breadth first", recovery_label), flush=True)


def run_course_command(model: Model[StateT]) -> None:
    """Take all courses of a depth, then random walks; print each result, exit with 1 on a fault."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    _report_courses(explore_depth_first(model, arguments.depth))
    _report_courses(explore_recovery_randomly(model, arguments.walks, arguments.seed))


def _report_courses(result: ExplorationResult) -> None:
    counts = {
        **result.step_counts,
        "courses": result.courses,
        "met before": result.revisits,
        "states": result.states,
        "walks": result.walks,
    }
    present: Sequence[tuple[str, int]] = [item for item in counts.items() if item[1]]
    verdict = f"{result.violation}, after {result.trace}" if result.violation else "no fault"
    print(dict(present), verdict, flush=True)
    if result.violation:
        sys.exit(1)
