"""`python -m bench.scale run FILE.ini | sweep FOLDER_OR_FILES | report`."""

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


def line(found: dict[str, Any]) -> str:
    """A run in one line."""
    hollow, real, told, times = (
        found["roles"]["hollow"],
        found["roles"]["real"],
        found["truth"],
        found["times"],
    )
    own = found["validation"]["own"]
    return (
        f"{found['scenario']} {found['sizes']['members']} (clock {found['clock']:.0%}): {found['ended']}; "
        f"hollow {hollow['cpu_share_per_member'] * 1e3:.2f} ms/s, "
        f"{hollow['per_member_s']['bytes_out'] / 1e3:.2f} KB/s out, "
        f"{hollow['per_member_s']['out']:.1f} messages/s out; real control "
        f"{real['control_cpu_share_per_member'] * 1e3:.2f} ms/s, all {real['cpu_share_per_member'] * 1e3:.2f}, "
        f"{real['rss_mb_per_member']:.0f} MB; peak {found['peak_mb']} MB; false {told['false_verdicts']}, missing "
        f"{told['verdicts_missing']}, lost {len(told['list_lost'])}, views equal after {times['views_equal_s']}; "
        f"apart {own['worst'] if own else 'not compared'}; valid {found['valid']}; "
        f"load {found['machine']['load']}"
    )


def play(books: list[ConfigFile], sizes: list[int], results: Path, again: bool) -> int:
    """Exit status: 1 if a run ended early."""
    pairs = sweep.wanted(books, sizes, Path("/nonexistent") if again else results)
    print(f"{len(pairs)} runs to play", file=sys.stderr, flush=True)
    status = 0
    for book, size in pairs:
        path, found = run.play(book, size, results)
        print(f"{path.name}: {line(found)}", flush=True)
        if found["ended"] != "whole":
            print(f"ended early: {found['ended']}", file=sys.stderr, flush=True)
            status = 1
            if found["ended"].startswith("interrupted"):
                break
    return status


def report(results: Path) -> int:
    """The page of slopes, where it can be made; else a line for each result."""
    if importlib.util.find_spec("bench.scale.page") is not None:
        importlib.import_module("bench.scale.page").main()
        return 0
    for path in sorted(results.glob("*.json")):
        print(line(json.loads(path.read_text(encoding="utf-8"))))
    return 0


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="bench.scale")
    parser.add_argument("command", choices=("run", "sweep", "report"))
    parser.add_argument("files", nargs="*", type=Path)
    parser.add_argument("--sizes", default="", help="only these, as 30,100")
    parser.add_argument("--results", type=Path, default=RESULTS)
    given = parser.parse_intermixed_args(
        words
    )  # files may stand behind options as well as before them
    if given.command == "report":
        return report(given.results)
    try:
        sizes = [int(size) for size in given.sizes.split(",") if size]
        books = [scenario.read(path) for path in sweep.files(given.files)]
    except (ConfigError, ValueError) as fault:
        print(f"bench.scale: {fault}", file=sys.stderr)
        return 2
    if not books:
        print("bench.scale: no scenario file is named", file=sys.stderr)
        return 2
    return play(books, sizes, given.results, again=given.command == "run")


if __name__ == "__main__":
    sys.exit(main())
