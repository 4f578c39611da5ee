"""Options of a member's ownership protocol."""

from dataclasses import dataclass

from dunlinlug.fleet.ownership.messages import SHARDS


@dataclass(frozen=True)
class LeaseTiming:
    """Timing of leases and of the log; all members must use the same values.

    Attributes:
        lease: Seconds that a lease lasts.
        heartbeat_interval: Seconds between lease renewals, and between heartbeats of the log.
        drift: The maximum error of a clock's rate, as a fraction.
        recovery_timeout: Seconds after which a voter that started with an empty disk votes again.
    """

    lease: float
    heartbeat_interval: float
    drift: float
    recovery_timeout: float


@dataclass(frozen=True)
class OwnershipOptions:
    """Options of one process.

    Attributes:
        timing: The timing of leases and of the log.
        incarnation: A random number drawn when the process started.
        shards: The number of shards; all members must use the same one.
    """

    timing: LeaseTiming
    incarnation: int = 1
    shards: int = SHARDS
