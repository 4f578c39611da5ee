"""The fencing check of an executor."""

from dunlinlug.fleet.ownership.fencing import FencingGuard


def test_effects_are_checked_by_token_owner_and_sequence_number() -> None:
    guard = FencingGuard()
    assert not guard.check(1, 5, "a", 1)
    assert not guard.check(1, 5, "a", 3)
    assert not guard.check(2, 4, "b", 1)
    assert "came before" in guard.check(1, 5, "a", 3)
    assert "came before" in guard.check(1, 5, "a", 2)
    assert "is a's" in guard.check(1, 5, "b", 9)
    assert "below 5" in guard.check(1, 4, "b", 1)
    assert not guard.check(1, 6, "b", 1)
    assert "below 8" in guard.check(1, 7, "c", 1, minimum=8)
    assert guard.highest_token(1).owner == "b"
    assert guard.highest_token(9).number == 0
