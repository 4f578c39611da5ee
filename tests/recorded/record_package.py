"""Records the dunlinlug package of a commit as test data for `test_rolling_upgrade.py`.

    python tests/recorded/record_package.py cb53846

writes `tests/recorded/data/dunlinlug-recorded.zip` with the `.py` files of `dunlinlug/` at that
commit. `git archive` sets file times to the commit's, in UTC, and the archive's comment to the
commit's id, so that the same commit and version of git give the same bytes. Record only released
versions: the test upgrades managers from the recorded version to this checkout.
"""

import os
import subprocess
import sys
from pathlib import Path

ARCHIVE = Path(__file__).parent / "data" / "dunlinlug-recorded.zip"


def record(commit: str, archive: Path = ARCHIVE) -> None:
    """Write the package of `commit` to `archive`; CalledProcessError if it is unknown."""
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
