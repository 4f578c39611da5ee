"""What a member's part in ownership is set up with."""

from dataclasses import dataclass

from dunlinlug.fleet.ownership.messages import SHARDS


@dataclass(frozen=True)
class LeaseTiming:
    """Times of leases and of the log, the same for all members; seconds, `drift` excepted."""

    lease: float
    heartbeat_interval: float  # from one renewal, or heartbeat of the log, to the next
    drift: float  # the most that a clock may be off, as a fraction of its rate
    recovery_timeout: float  # after which a voter that started with nothing votes again


@dataclass(frozen=True)
class OwnershipOptions:
    """How a process takes part in ownership."""

    timing: LeaseTiming
    incarnation: int = 1  # a number drawn when the process started
    shards: int = SHARDS  # the same for all members
