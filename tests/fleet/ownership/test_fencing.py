"""The fence at an executor."""

from dunlinlug.fleet.ownership.fencing import FencingGuard


def test_the_fence_goes_by_tokens_owners_and_sequence_numbers() -> None:
    fence = FencingGuard()
    assert not fence.check(1, 5, "a", 1)
    assert not fence.check(1, 5, "a", 3)
    assert not fence.check(2, 4, "b", 1)
    assert "came before" in fence.check(1, 5, "a", 3)
    assert "came before" in fence.check(1, 5, "a", 2)
    assert "is a's" in fence.check(1, 5, "b", 9)
    assert "below 5" in fence.check(1, 4, "b", 1)
    assert not fence.check(1, 6, "b", 1)
    assert "below 8" in fence.check(1, 7, "c", 1, minimum=8)
    assert fence.highest_token(1).owner == "b"
    assert fence.highest_token(9).number == 0
