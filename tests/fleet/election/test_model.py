"""The model checker finds no violation by the protocol, and a violation by each of its mutants."""

import pytest

from dunlinlug.fleet.election.model import ElectionModel
from dunlinlug.fleet.election.model_state import ElectionLimits
from dunlinlug.fleet.model_checking.engine import (
    WalkOptions,
    explore_breadth_first,
    swarm_search,
)
from tests.fleet.election.mutants import MUTANTS


@pytest.mark.parametrize("name", MUTANTS)
def test_a_protocol_without_one_safety_rule_is_detected_with_a_shortest_trace(name: str) -> None:
    mutant = MUTANTS[name]
    mutated = ElectionModel(mutant.protocol_factory, mutant.limits, **mutant.host_options)
    result = explore_breadth_first(mutated, 20_000, 30.0, prefix=mutant.prefix)
    assert mutant.expected_violation in result.violation and result.trace, result
    try:
        unchanged = explore_breadth_first(
            ElectionModel(limits=mutant.limits), 300, 30.0, prefix=mutant.prefix
        )
    except LookupError:
        return  # the unchanged protocol does not have the steps of the prefix
    assert unchanged.violation == ""


def test_a_short_exploration_finds_no_violation() -> None:
    result = explore_breadth_first(ElectionModel(), 12_000, recovery_check_interval=499)
    assert (result.violation, result.trace) == ("", [])
    assert result.states >= 12_000 and result.recoveries[0] == result.recoveries[1] > 20
    walks = swarm_search(
        ElectionModel(limits=ElectionLimits(in_flight=6, losses=3)),
        WalkOptions(seed=3, max_seconds=6.0),
    )
    assert walks.violation == "" and walks.states > 2_000
