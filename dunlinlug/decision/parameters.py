"""What the decisions go by of a manager's settings, in the form in which they use it."""

from dataclasses import dataclass

from dunlinlug.decision.settings import AdmissionMode, ManagerSettings
from dunlinlug.decision.slow_start import SlowStart

# The admitted fraction of a class where levels are rates: a fraction of 1 would shut a proxy.
UNLIMITED_ADMISSION = 1e6


@dataclass
class DecisionParameters:
    """Derived once from the settings, and never changed by a decision. Times are seconds."""

    class_count: int
    default_retry_policy: int
    list_poll_interval: float
    warm_up_time: float
    # Times its weight that an endpoint bears at the weakest moment of its slow start.
    min_overload_multiple: float
    can_check_health: bool
    is_sharded: bool
    # Endpoints in a small table (a subset).
    subset_size: int
    # Classes that go only to endpoints in the proxy's zone.
    same_zone_classes: list[int]
    # Table entries that an endpoint costs a proxy: those of same-zone classes are apart.
    entries_per_endpoint: float
    controls_admission: bool
    full_admission: float

    @classmethod
    def from_settings(cls, settings: ManagerSettings) -> "DecisionParameters":
        """Derive them from a manager's settings."""
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
