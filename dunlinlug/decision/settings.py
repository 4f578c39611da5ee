"""What the decision module is given at its start.

Times are float seconds, weights and fractions are plain floats, zones and host classes are names.
"""

from dataclasses import dataclass
from enum import StrEnum


class Idempotency(StrEnum):
    """Whether a request of a class may be sent again after a failure."""

    IDEMPOTENT = "idempotent"
    KEYED = "referenced"  # it bears an idempotency key, by which a duplicate is recognised
    NON_IDEMPOTENT = "non-idempotent"


class AdmissionMode(StrEnum):
    """What an admission level is."""

    FRACTION = "share"  # the fraction of requests that is admitted
    RATE = "rate"  # requests a second
    NONE = "none"  # the host admits all


class ReportDelivery(StrEnum):
    """How endpoints report their load."""

    RESPONSES = "answers"  # with each response
    HEALTH_CHECKS = "probe"  # with the response to a health check
    NONE = "none"


@dataclass(frozen=True)
class TrafficClass:
    """A kind of request.

    `latency_objective` and `deadline` are seconds; `priority_weight` is what a request in time is
    worth beside others, `late_value_fraction` the part of it that a late one keeps. Within
    `deduplication_window` seconds a duplicate of a keyed request is recognised.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    late_value_fraction: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    group: str = "all"
    deduplication_window: float = 0.0
    same_zone_only: bool = False


@dataclass(frozen=True)
class ChannelSettings:
    """What a manager's channel to its proxies carries, and what may wait in it.

    Sizes are table entries, of which a message costs `message_overhead` in itself. A proxy may be
    sent `max_messages` in `message_window` seconds (0: any number).
    """

    entries_per_second: float
    message_overhead: float
    max_queued_entries: float
    transit_time: float
    max_transit_time: float
    max_messages: int = 0
    message_window: float = 10.0


@dataclass(frozen=True)
class SafetyLimits:
    """The figures of the safety rules that a manager keeps.

    `initial_capacity_fraction` is what an endpoint bears at its start, of what it bears after
    `warm_up_time`. An endpoint that gets `overload_multiple` times what it bears for
    `overload_duration` seconds fails.
    """

    max_time_without_endpoint: float
    drain_grace_period: float
    list_poll_interval: float
    warm_up_time: float
    initial_capacity_fraction: float
    overload_multiple: float
    overload_duration: float


@dataclass(frozen=True)
class ManagerSettings:
    """What a manager is told when it starts.

    `load_report_fields` names the values of a load report in their order. `initial_subset_size` is
    how many endpoints a proxy's first table has, for which the channel has room.
    """

    seed: int
    zone: str
    traffic_classes: tuple[TrafficClass, ...]
    channel: ChannelSettings
    safety_limits: SafetyLimits
    must_subscribe: bool = False
    can_check_health: bool = False
    load_report_fields: tuple[str, ...] = ()
    report_delivery: str = ReportDelivery.NONE  # a `ReportDelivery`, or another that was told
    report_interval: float = 1.0
    default_retry_policy: int = 1
    admission_mode: AdmissionMode = AdmissionMode.NONE
    shard_count: int = 0
    initial_subset_size: int = 1
