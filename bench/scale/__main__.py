"""Command line: `python -m bench.scale run FILE.ini | sweep FOLDER_OR_FILES | report`."""

import argparse
import importlib
import importlib.util
import json
import sys
from pathlib import Path
from typing import Any

from bench.scale import run, scenario, sweep
from dunlinlug.config.reader import ConfigError, ConfigFile

RESULTS = Path(__file__).parent / "results"


def summary_line(result: dict[str, Any]) -> str:
    """Return a summary of a run in one line."""
    hollow, real, truth, times = (
        result["roles"]["hollow"],
        result["roles"]["real"],
        result["truth"],
        result["times"],
    )
    own = result["validation"]["own"]
    return (
        f"{result['scenario']} {result['sizes']['members']} (clock {result['clock']:.0%}): {result['ended']}; "
        f"hollow {hollow['cpu_share_per_member'] * 1e3:.2f} ms/s, "
        f"{hollow['per_member_s']['bytes_out'] / 1e3:.2f} KB/s out, "
        f"{hollow['per_member_s']['out']:.1f} messages/s out; real control "
        f"{real['control_cpu_share_per_member'] * 1e3:.2f} ms/s, all {real['cpu_share_per_member'] * 1e3:.2f}, "
        f"{real['rss_mb_per_member']:.0f} MB; peak {result['peak_mb']} MB; false {truth['false_verdicts']}, missing "
        f"{truth['verdicts_missing']}, lost {len(truth['list_lost'])}, views equal after {times['views_equal_s']}; "
        f"difference {own['worst'] if own else 'not compared'}; valid {result['valid']}; "
        f"load {result['machine']['load']}"
    )


def play(scenarios: list[ConfigFile], sizes: list[int], results: Path, again: bool) -> int:
    """Run the scenarios, and return the exit status: 1 if a run ended early."""
    pairs = sweep.pending_runs(scenarios, sizes, Path("/nonexistent") if again else results)
    print(f"{len(pairs)} runs to do", file=sys.stderr, flush=True)
    status = 0
    for scenario_file, size in pairs:
        path, result = run.play(scenario_file, size, results)
        print(f"{path.name}: {summary_line(result)}", flush=True)
        if result["ended"] != "whole":
            print(f"ended early: {result['ended']}", file=sys.stderr, flush=True)
            status = 1
            if result["ended"].startswith("interrupted"):
                break
    return status


def report(results: Path) -> int:
    """Write the capacity page if its module is present, else print a line for each result."""
    if importlib.util.find_spec("bench.scale.page") is not None:
        importlib.import_module("bench.scale.page").main()
        return 0
    for path in sorted(results.glob("*.json")):
        print(summary_line(json.loads(path.read_text(encoding="utf-8"))))
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return its exit status."""
    parser = argparse.ArgumentParser(prog="bench.scale")
    parser.add_argument("command", choices=("run", "sweep", "report"))
    parser.add_argument("files", nargs="*", type=Path)
    parser.add_argument("--sizes", default="", help="only run these numbers of members, as 30,100")
    parser.add_argument("--results", type=Path, default=RESULTS)
    # Files may be given before or after the options.
    options = parser.parse_intermixed_args(arguments)
    if options.command == "report":
        return report(options.results)
    try:
        sizes = [int(size) for size in options.sizes.split(",") if size]
        scenarios = [scenario.read(path) for path in sweep.scenario_files(options.files)]
    except (ConfigError, ValueError) as error:
        print(f"bench.scale: {error}", file=sys.stderr)
        return 2
    if not scenarios:
        print("bench.scale: no scenario file given", file=sys.stderr)
        return 2
    return play(scenarios, sizes, options.results, again=options.command == "run")


if __name__ == "__main__":
    sys.exit(main())
