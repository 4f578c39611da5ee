"""What the decision module is given at its start: traffic classes, its channel, the limits it
keeps.

Times are float seconds, weights and fractions are plain floats, zones and kinds are names.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class TrafficClass:
    """A kind of txn. `repeats` is 'idempotent', 'referenced' or 'non-idempotent'."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    late_value_fraction: float = 0.0
    idempotency: str = "non-idempotent"
    group: str = "all"
    deduplication_window: float = 0.0
    same_zone_only: bool = False


@dataclass(frozen=True)
class ChannelSettings:
    """What a manager's channel to its proxies carries, and what may wait in it."""

    entries_per_second: float
    message_overhead: float
    max_queued_entries: float
    transit_time: float
    max_transit_time: float
    max_messages: int = 0
    message_window: float = 10.0


@dataclass(frozen=True)
class SafetyLimits:
    """The figures of the rules that a manager keeps."""

    max_time_without_endpoint: float
    drain_grace_period: float
    list_poll_interval: float
    warm_up_time: float
    initial_capacity_fraction: float
    overload_multiple: float
    overload_duration: float


@dataclass(frozen=True)
class ManagerSettings:
    """What a manager is told when it starts."""

    seed: int
    zone: str
    traffic_classes: tuple[TrafficClass, ...]
    channel: ChannelSettings
    safety_limits: SafetyLimits
    must_subscribe: bool = False
    can_check_health: bool = False
    load_report_fields: tuple[str, ...] = ()
    report_delivery: str = "none"
    report_interval: float = 1.0
    default_retry_policy: int = 1
    admission_mode: str = "none"
    shard_count: int = 0
    initial_subset_size: int = (
        1  # workers that a proxy's table holds at its start, for which the channel has room
    )
