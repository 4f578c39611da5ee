"""Short seeded courses of faults between processes; `python -m bench.soak` plays long ones."""

from pathlib import Path

import pytest

from tests.soak.courses import draw_course
from tests.soak.run import play_course

SECONDS = 8.0


@pytest.mark.parametrize("seed", range(4))
async def test_a_course_of_faults_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    result = await play_course(draw_course(seed, SECONDS), tmp_path)
    assert not result.violations, result.summary()
    assert result.requests > 0
