"""Whole days through real sockets, judged from the stand-ins' records."""

from pathlib import Path

import pytest

from dunlinlug.audit import figures, records, rules
from dunlinlug.day.play import Player

DAYS = Path(__file__).parent.parent / "days"


async def play(day: Path, folder: Path, **given: object) -> records.Records:
    await Player(day, folder, **given).play()  # type: ignore[arg-type]
    return records.read(folder)


@pytest.mark.parametrize("name", ["first"])
async def test_a_shipped_day_keeps_the_rules(name: str, tmp_path: Path) -> None:
    found = await play(DAYS / f"{name}.ini", tmp_path)
    assert rules.judge(found) == []
    sums = figures.figures(found)
    assert sums.served > 0.5 and sum(sums.outcomes.values()) > 100
