"""Partition status, its limits, and the connection between two members."""

import pytest

from dunlinlug.fleet.membership import partition
from dunlinlug.fleet.membership.messages import ReachabilityReport
from dunlinlug.fleet.membership.partition import PartitionStatus


@pytest.mark.parametrize(
    ("size", "reached", "status"),
    [
        (1, 1, "all"),
        (5, 5, "all"),
        (5, 4, "most"),
        (5, 3, "most"),
        (5, 2, "few"),
        (5, 1, "alone"),
        (4, 2, "half"),
        (2, 1, "half"),
        (3, 1, "alone"),
    ],
)
def test_the_status_depends_on_the_last_agreed_voters(size: int, reached: int, status: str) -> None:
    voters = [f"m{n}" for n in range(size)]
    assert partition.partition_status(voters, [*voters[:reached], "not-a-voter"]) == status


def test_a_status_takes_effect_once_it_has_held_and_a_lost_ack_changes_nothing() -> None:
    debounced = partition.DebouncedStatus(PartitionStatus.ALL, 0.0, 0.2)
    changes: list[float] = []
    observed = ["most", "all", "most", "most", "few"] + ["few"] * 7 + ["all"] * 2 + ["few"]
    for n, status in enumerate(observed):
        if debounced.update(round(n * 0.2, 3), PartitionStatus(status)):
            changes.append(n * 0.2)
    assert debounced.status == "few"
    assert changes == [pytest.approx(1.8)]
    assert debounced.since == pytest.approx(1.8)


def test_limits_never_grow_as_the_side_gets_smaller() -> None:
    order = [partition.LIMITS_BY_STATUS[status] for status in PartitionStatus]
    for larger, smaller in zip(order, order[1:], strict=False):
        for name in ("max_ejected_fraction", "may_start_changes", "may_ramp_up", "may_plan_fleet"):
            assert getattr(larger, name) >= getattr(smaller, name)
    assert not order[2].may_plan_fleet, "both of two halves would plan"


def test_the_connection_between_two_members_is_described() -> None:
    reports = {
        "a": ReachabilityReport("a", (1, 1), ("b",), ("b",)),
        "b": ReachabilityReport("b", (1, 1), ("a",), ("a",)),
        "c": ReachabilityReport("c", (1, 1), ("d",)),
        "d": ReachabilityReport("d", (1, 1), (), ("c",)),
    }
    live_members = ("a", "b", "c", "d")
    assert (
        partition.connection_summary("a", "b", reports, live_members)
        == "disconnected from each other, both alive to others"
    )
    assert (
        partition.connection_summary("c", "d", reports, live_members)
        == "d receives no messages from c"
    )
    assert (
        partition.connection_summary("d", "c", reports, live_members)
        == "d receives no messages from c"
    )
    assert partition.connection_summary("a", "c", reports, live_members) == "in touch"
    assert partition.connection_summary("a", "x", reports, live_members) == "x has failed"
