"""Selection of the runs of a sweep.

Runs that have a result are skipped, so that an interrupted sweep can be resumed.
"""

from pathlib import Path

from bench.scale import run, scenario
from dunlinlug.config.reader import ConfigFile


def scenario_files(paths: list[Path]) -> list[Path]:
    """Return the named INI files and those in named folders, each once, in order."""
    found: dict[Path, None] = {}
    for path in paths:
        scenario_paths = sorted(path.glob("*.ini")) if path.is_dir() else [path]
        for scenario_path in scenario_paths:
            found[scenario_path] = None
    return list(found)


def pending_runs(
    scenarios: list[ConfigFile], sizes: list[int], results: Path
) -> list[tuple[ConfigFile, int]]:
    """Return the runs without a result, as pairs of a scenario and a number of members.

    Smaller sizes come first, as larger ones are validated by them. `sizes` limits the sizes that
    are run; empty, all sizes of the scenarios are.
    """
    pairs = [
        (scenario_file, int(size))
        for scenario_file in scenarios
        for size in scenario_file.section(scenario.Scale).sizes
        if not sizes or int(size) in sizes
    ]
    pairs = [
        (scenario_file, size)
        for scenario_file, size in pairs
        if not (results / run.name_of(scenario_file, size)).exists()
    ]
    return sorted(
        pairs,
        key=lambda pair: (pair[1], not pair[0].section(scenario.Scale).name.startswith("validate")),
    )
