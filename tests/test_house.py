"""Limits of the house that no tool checks."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_policy_files_stay_small_and_narrow() -> None:
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in files for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert "dunlinlug/state.py" in files
    assert len(lines) <= 630
    assert max(map(len, lines)) <= 110
