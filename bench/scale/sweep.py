"""Many runs, one after the other; what has a result is passed over, so that a sweep can be taken up
again.
"""

from pathlib import Path

from bench.scale import run, scenario
from dunlinlug.config.reader import ConfigFile


def files(named: list[Path]) -> list[Path]:
    """INI files, and those in folders, each once, in order."""
    found: dict[Path, None] = {}
    for path in named:
        for one in sorted(path.glob("*.ini")) if path.is_dir() else [path]:
            found[one] = None
    return list(found)


def wanted(
    books: list[ConfigFile], sizes: list[int], results: Path
) -> list[tuple[ConfigFile, int]]:
    """What is still to be played, smaller sizes first, as larger ones are judged by them."""
    pairs = [
        (book, int(size))
        for book in books
        for size in book.section(scenario.Scale).sizes
        if not sizes or int(size) in sizes
    ]
    pairs = [
        (book, size) for book, size in pairs if not (results / run.name_of(book, size)).exists()
    ]
    return sorted(
        pairs,
        key=lambda pair: (pair[1], not pair[0].section(scenario.Scale).name.startswith("validate")),
    )
