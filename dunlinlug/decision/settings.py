"""Settings of the decision module, passed to it at startup.

Times are floats in seconds, weights and fractions are floats, zones and host classes are names.
"""

from dataclasses import dataclass
from enum import StrEnum


class Idempotency(StrEnum):
    """Whether requests of a class may be retried after a failure."""

    IDEMPOTENT = "idempotent"
    KEYED = "referenced"  # has an idempotency key, by which endpoints detect duplicates
    NON_IDEMPOTENT = "non-idempotent"


class AdmissionMode(StrEnum):
    """The meaning of an admission level."""

    FRACTION = "share"  # fraction of requests that is admitted
    RATE = "rate"  # requests per second
    NONE = "none"  # not supported: the host admits all requests


class ReportDelivery(StrEnum):
    """How endpoints report their load."""

    RESPONSES = "answers"  # with each response
    HEALTH_CHECKS = "probe"  # with the response to a health check
    NONE = "none"


@dataclass(frozen=True)
class TrafficClass:
    """A class of requests that are routed and admitted alike.

    `latency_objective` and `deadline` are in seconds. `priority_weight` is the value of a request
    that is answered in time, relative to other classes; a late one retains `late_value_fraction` of
    it. Duplicates of a keyed request are detected within `deduplication_window` seconds.
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
    """Capacity of a manager's channel to its proxies.

    Sizes are in table entries. Each message costs `message_overhead` entries in addition to its
    content. A proxy may be sent at most `max_messages` within `message_window` seconds (0 means
    unlimited).
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
    """Limits of the safety rules that a manager must keep.

    `initial_capacity_fraction` is the capacity of an endpoint at its start, as a fraction of its
    capacity after `warm_up_time`. An endpoint fails if its load is `overload_multiple` times its
    capacity for `overload_duration` seconds.
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
    """Settings of a manager.

    `load_report_fields` has the names of the values of a load report, in their order.
    `initial_subset_size` is the number of endpoints in a subset, a proxy's first table on a slow
    channel.
    """

    seed: int
    zone: str
    traffic_classes: tuple[TrafficClass, ...]
    channel: ChannelSettings
    safety_limits: SafetyLimits
    must_subscribe: bool = False
    can_check_health: bool = False
    load_report_fields: tuple[str, ...] = ()
    report_delivery: str = ReportDelivery.NONE  # unknown values are allowed
    report_interval: float = 1.0
    default_retry_policy: int = 1
    admission_mode: AdmissionMode = AdmissionMode.NONE
    shard_count: int = 0
    initial_subset_size: int = 1
