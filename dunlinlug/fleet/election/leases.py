"""Arithmetic of leases and quorums (Gray and Cheriton, "Leases", 1989).

A follower that receives a message from its leader promises to vote for no other member for one
lease on its own clock. The leader counts its lease from the time at which it sent the message that
the follower acknowledged, which is before the promise began, and shortens it by the maximum drift
between two clocks. So the leader's lease expires before the promise does, without synchronized
clocks.
"""

from collections.abc import Iterable
from typing import TypeVar

from dunlinlug.fleet.election.messages import LogPosition

Value = TypeVar("Value", float, LogPosition)
NEVER = -1e18  # in seconds; earlier than any time on a clock


def leader_lease(lease: float, drift: float) -> float:
    """Returns the lease in seconds as a leader counts it.

    It ends on the leader's clock before `lease` seconds end on a follower's. `drift` bounds the
    rate error of each clock: 0.02 is two per cent fast or slow.
    """
    return lease * (1.0 - drift) / (1.0 + drift)


def quorum_value(values: Iterable[Value], quorum: int) -> Value:
    """Returns the highest value that `quorum` members have reached, given one value per member."""
    return sorted(values, reverse=True)[quorum - 1]
