"""Arithmetic of leases and quorums (Gray and Cheriton, "Leases", 1989).

A follower that hears its leader promises to vote for nobody else for one lease on its own clock.
The leader counts its lease from when it sent what the follower answered, which is before the
promise began, and shortens it by the most that two clocks can differ in rate. So the leader's lease
is over before the promise is, without clocks that agree.
"""

from collections.abc import Iterable
from typing import TypeVar

from dunlinlug.fleet.election.messages import LogPosition

Value = TypeVar("Value", float, LogPosition)
NEVER = -1e18  # a time before all others, in seconds


def leader_lease(lease: float, drift: float) -> float:
    """Seconds on a leader's clock that surely pass within `lease` seconds on a follower's.

    `drift` bounds how far a clock's rate is from true: 0.02 is two per cent fast or slow.
    """
    return lease * (1.0 - drift) / (1.0 + drift)


def quorum_value(values: Iterable[Value], quorum: int) -> Value:
    """The highest value that so many members have reached, of one value for each member."""
    return sorted(values, reverse=True)[quorum - 1]
