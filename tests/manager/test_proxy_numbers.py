"""Numbers of proxies that connect under ever new names."""

from random import Random

import pytest

from dunlinlug.manager import proxy_numbers
from dunlinlug.manager.proxy_numbers import NoProxyNumberError, merge_numbers, number_of


def test_ever_new_names_use_up_neither_numbers_nor_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    # After 65,535 names no further proxy was served, and each name was kept for good.
    monkeypatch.setattr(proxy_numbers, "MAX_PROXY_NUMBERS", 50)
    rng = Random(3)
    leader, follower, unreplicated = dict[str, int](), dict[str, int](), dict[str, int]()
    connected = dict[int, str]()
    for n in range(3000):
        name = f"p{rng.randrange(40)}" if rng.random() < 0.3 else f"new {n}"
        previous = leader.get(name)
        number = number_of(leader, name, connected)
        assert connected.get(number, name) == name, "a connected proxy keeps its number"
        assert previous in (None, number)
        if number != previous:
            merge_numbers(follower, {name: number})
            merge_numbers(unreplicated, {name: number})
        connected[number] = name
        if len(connected) > 20:
            del connected[rng.choice(sorted(connected))]
        assert len(leader) <= 50
        assert len(set(leader.values())) == len(leader)
        assert sorted(leader.items()) == sorted(follower.items()) == sorted(unreplicated.items())
    full = {n: "" for n in range(50)}
    with pytest.raises(NoProxyNumberError):
        number_of(leader, "one more", full)
    assert len(leader) == 50
