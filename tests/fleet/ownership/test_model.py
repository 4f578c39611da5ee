"""Short runs of the ownership model; docs/ownership.md describes the long ones."""

from dunlinlug.fleet.model_checking.engine import (
    WalkOptions,
    explore_breadth_first,
    swarm_search,
)
from dunlinlug.fleet.ownership.model import DEEP_LIMITS, OwnershipModel


def test_a_short_search_finds_no_violation_and_all_checked_states_recover() -> None:
    found = explore_breadth_first(OwnershipModel(), 3000, recovery_check_interval=499)
    assert (found.violation, found.trace) == ("", [])
    assert found.states >= 3000
    assert found.recoveries.recovered == found.recoveries.checked > 4


def test_without_fencing_and_without_the_second_lease_check_a_violation_is_found() -> None:
    model = OwnershipModel(limits=DEEP_LIMITS, fenced=False, recheck=False)
    found = swarm_search(model, WalkOptions(seed=1, length=80, max_walks=30))
    assert "although" in found.violation
    assert found.trace
