"""The checker of executed effects."""

from dunlinlug.fleet.ownership import history
from dunlinlug.fleet.ownership.history import Observation


def observed(
    token: int, sequence: int, owner: str, executor: str = "c", done: bool = True
) -> Observation:
    return Observation(0.0, executor, "p", token, sequence, owner, done)


def test_the_checker_finds_each_kind_of_violation() -> None:
    in_order = [
        observed(1, 1, "a"),
        observed(1, 2, "a"),
        observed(2, 1, "b"),
        observed(1, 3, "a", done=False),
        observed(1, 3, "a", "d"),
    ]
    assert history.find_violations(in_order) == []
    for violating, description in (
        (observed(1, 9, "a"), "a lower token after a higher one"),
        (observed(2, 1, "b"), "effect repeated"),
        (observed(2, 2, "c"), "two owners under one token"),
    ):
        first = history.find_violations([*in_order, violating])[0]
        assert first.description.startswith(description)
