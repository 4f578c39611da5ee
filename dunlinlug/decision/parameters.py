"""The parameters of the decisions, derived from a manager's settings."""

from dataclasses import dataclass

from dunlinlug.decision.settings import AdmissionMode, ManagerSettings
from dunlinlug.decision.slow_start import SlowStart

# The admission level for no limit if levels are rates: 1 would admit only one request per second.
UNLIMITED_ADMISSION = 1e6


@dataclass
class DecisionParameters:
    """Parameters that are derived once from the settings and never change. Times are in seconds."""

    class_count: int
    default_retry_policy: int
    list_poll_interval: float
    warm_up_time: float
    # The lowest ratio, over its slow start, of the load that an endpoint can handle to its weight.
    min_overload_multiple: float
    can_check_health: bool
    is_sharded: bool
    # Number of endpoints in a subset.
    subset_size: int
    # Classes whose requests are sent only to endpoints in the proxy's zone.
    same_zone_classes: list[int]
    # Table entries per endpoint that are sent to a proxy; same-zone classes need separate ones.
    entries_per_endpoint: float
    controls_admission: bool
    full_admission: float

    @classmethod
    def from_settings(cls, settings: ManagerSettings) -> "DecisionParameters":
        """Derive the parameters from a manager's settings."""
        limits = settings.safety_limits
        slow_start = SlowStart.from_limits(limits)
        class_count = len(settings.traffic_classes)
        same_zone_classes = [
            traffic_class
            for traffic_class, class_settings in enumerate(settings.traffic_classes)
            if class_settings.same_zone_only
        ]
        has_both_kinds = 0 < len(same_zone_classes) < class_count
        controls_admission = settings.admission_mode == AdmissionMode.FRACTION
        return cls(
            class_count=class_count,
            default_retry_policy=settings.default_retry_policy,
            list_poll_interval=limits.list_poll_interval,
            warm_up_time=slow_start.warm_up_time,
            min_overload_multiple=slow_start.min_overload_multiple(),
            can_check_health=settings.can_check_health,
            is_sharded=settings.shard_count > 0,
            subset_size=settings.initial_subset_size,
            same_zone_classes=same_zone_classes,
            entries_per_endpoint=2.0 if has_both_kinds else 1.0,
            controls_admission=controls_admission,
            full_admission=1.0 if controls_admission else UNLIMITED_ADMISSION,
        )
