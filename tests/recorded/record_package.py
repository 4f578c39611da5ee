"""Record the dunlinlug package of a commit as test data for `test_rolling_upgrade.py`.

python tests/recorded/record_package.py cb53846

writes `tests/recorded/data/dunlinlug-recorded.zip` with the `.py` files of `dunlinlug/` at that
commit, by `git archive`: file times are the commit's, in UTC, and the commit's id is the archive's
comment, so the same commit and the same git give the same bytes. Record again only for a version
that was released: the test upgrades managers from it to this checkout.
"""

import os
import subprocess
import sys
from pathlib import Path

ARCHIVE = Path(__file__).parent / "data" / "dunlinlug-recorded.zip"


def record(commit: str, archive: Path = ARCHIVE) -> None:
    """Write the package of `commit` to `archive`; raises CalledProcessError for an unknown commit."""
    archive.parent.mkdir(exist_ok=True)
    command = [
        "git",
        "archive",
        "--format=zip",
        f"--output={archive}",
        commit,
        "--",
        "dunlinlug/*.py",
    ]
    root = Path(__file__).parent.parent.parent
    subprocess.run(command, cwd=root, check=True, env={**os.environ, "TZ": "UTC"})


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: python tests/recorded/record_package.py COMMIT")
    record(sys.argv[1])
