"""The command lines of the models."""

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

RECOVERY_CHECK_INTERVAL = 997  # states between checks of recovery


def run_swarm_command(
    breadth_model: Model[StateT],
    walk_model: Model[StateT],
    walk_length: int,
    recovery_label: str,
) -> None:
    """Runs a breadth-first search beside several processes of random walks; prints the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument(
        "--seconds", type=float, default=600, help="time limit of each search process"
    )
    parser.add_argument(
        "--walkers", type=int, default=4, help="processes of random walks, each with its own seed"
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
            print(result.result().describe(f"random walks, seed {seed}", ""), flush=True)
        print(breadth_first.result().describe("breadth first", recovery_label), flush=True)


def run_path_command(model: Model[StateT]) -> None:
    """Explores all paths of a depth, then random walks; prints results, exits 1 on a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    _report_result(explore_depth_first(model, arguments.depth))
    _report_result(explore_recovery_randomly(model, arguments.walks, arguments.seed))


def _report_result(result: ExplorationResult) -> None:
    counts = {
        **result.step_counts,
        "courses": result.paths,
        "revisits": result.revisits,
        "states": result.states,
        "walks": result.walks,
    }
    present: Sequence[tuple[str, int]] = [item for item in counts.items() if item[1]]
    verdict = f"{result.violation}, after {result.trace}" if result.violation else "no violation"
    print(dict(present), verdict, flush=True)
    if result.violation:
        sys.exit(1)
