"""The searches, on a model small enough to count its states by hand."""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from dunlinlug.fleet.model_checking.engine import (
    WalkOptions,
    explore_breadth_first,
    explore_depth_first,
    explore_recovery_randomly,
    follow_patterns,
    minimize_trace,
    replay,
    swarm_search,
)
from dunlinlug.fleet.model_checking.model import Step


@dataclass(frozen=True)
class CounterModel:
    """A counter that steps increase by one or by three, up to `limit`."""

    limit: int = 10
    forbidden: int = -1
    unrecoverable: int = -1

    def initial_state(self) -> int:
        return 0

    def steps(self, state: int) -> Iterator[Step[int]]:
        yield Step("add 1", lambda: state + 1)
        yield Step("add 3", lambda: state + 3)

    def check_invariants(self, state: int) -> str:
        return f"it is {state}" if state == self.forbidden else ""

    def canonical_form(self, state: int) -> int:
        return state

    def within_limits(self, state: int) -> bool:
        return state <= self.limit

    def check_recovery(self, state: int) -> str:
        return f"it stays {state}" if state == self.unrecoverable else ""


def test_breadth_first_visits_every_state_within_the_limits_once() -> None:
    found = explore_breadth_first(CounterModel(limit=10), 100)
    assert (found.states, found.exhaustive, found.violation) == (11, True, "")


def test_breadth_first_finds_a_shortest_trace() -> None:
    found = explore_breadth_first(CounterModel(forbidden=7), 100)
    assert found.violation == "it is 7"
    assert sorted(found.trace) == ["add 1", "add 3", "add 3"]
    assert replay(CounterModel(forbidden=7), found.trace, 0) == "it is 7"


def test_breadth_first_ends_at_its_number_of_states() -> None:
    found = explore_breadth_first(CounterModel(limit=1000), 20)
    assert 20 <= found.states <= 22
    assert not found.exhaustive


def test_breadth_first_counts_the_states_that_recover() -> None:
    model = CounterModel(limit=9, unrecoverable=4)
    assert explore_breadth_first(model, 100, recovery_check_interval=1).recoveries == (8, 9)


def test_a_prefix_sets_the_start_of_the_search_and_is_not_in_the_trace() -> None:
    found = explore_breadth_first(CounterModel(forbidden=7), 100, prefix=["add 3", "add .*"])
    assert found.trace == ["add 3"]
    with pytest.raises(LookupError, match="no step matches 'add 2'"):
        follow_patterns(CounterModel(), 0, ["add 2"])


def test_depth_first_takes_all_paths_and_continues_from_no_state_twice() -> None:
    found = explore_depth_first(CounterModel(), 2)
    # One step leads to 1 and 3; two steps lead to 2, 4 and 6, of which 4 is reached twice.
    assert (found.states, found.paths, found.revisits) == (5, 3, 1)
    assert found.exhaustive


def test_depth_first_checks_recovery_after_each_path() -> None:
    found = explore_depth_first(CounterModel(unrecoverable=6), 2)
    assert (found.violation, found.trace) == ("it stays 6", ["add 3", "add 3"])


def test_minimizing_a_trace_keeps_only_the_steps_it_needs() -> None:
    class AtLeastFive(CounterModel):
        def check_invariants(self, state: int) -> str:
            return "too much" if state >= 5 else ""

    minimal = minimize_trace(AtLeastFive(), ["add 1", "add 1", "add 3", "add 3"], 0)
    assert minimal == ["add 3", "add 3"]


def test_random_walks_find_the_same_violation_with_the_same_seed() -> None:
    model = CounterModel(forbidden=8)
    found = swarm_search(model, WalkOptions(seed=1, max_walks=50))
    assert found.violation == "it is 8"
    assert swarm_search(model, WalkOptions(seed=1, max_walks=50)) == found


def test_walks_that_end_in_an_unrecoverable_state_are_reported_as_walked() -> None:
    found = explore_recovery_randomly(CounterModel(limit=99, unrecoverable=6), 50, 1, length=2)
    assert (found.violation, found.trace) == ("it stays 6", ["add 3", "add 3"])
    assert found.walks >= 1
    assert sum(found.step_counts.values()) == 2 * found.walks
