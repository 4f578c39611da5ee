"""Reads the decision module's settings from JSON of the simulator or the platform's configuration.

Both use this reader, so that the module gets the same settings from either. Depends only on the
standard library and the decision module. The simulator and the platform define the JSON keys, and
the values that are keys of the mappings below.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

from dunlinlug.decision.settings import (
    AdmissionMode,
    ChannelSettings,
    Idempotency,
    ManagerSettings,
    ReportDelivery,
    SafetyLimits,
    TrafficClass,
)

MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
IDEMPOTENCY_BY_EFFECT = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.KEYED,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}
ADMISSION_MODES = {"ratio": AdmissionMode.FRACTION, "rps": AdmissionMode.RATE}
LOAD_FIELD_NAMES = {
    "depth": "queue",
    "mean_ms": "service_s",
    "concurrent": "held",
    "load_share": "busy",
    "tps": "settled_per_s",
    "err_ps": "voided_per_s",
}
MILLISECOND_FIELDS = frozenset({"service_s"})
MIN_POSITIVE = 1e-6  # minimum of settings that must be above 0


def seconds(microseconds: float) -> float:
    """Convert microseconds to seconds."""
    return microseconds / MICROSECONDS_PER_SECOND


def _read_number(
    settings: Mapping[str, Any], name: str, minimum: float = 0.0, maximum: float = inf
) -> float:
    """Read a number in a range. Raises KeyError, or ValueError that names the setting."""
    try:
        value = float(settings[name])
    except (TypeError, ValueError):
        raise ValueError(f"{name} is {settings[name]!r}, not a number") from None
    if not minimum <= value <= maximum or value == inf:
        upper_limit = f" to {maximum:g}" if maximum < inf else ""
        raise ValueError(f"{name} is {settings[name]!r}, not from {minimum:g} on{upper_limit}")
    return value


def unsupported_settings(info: Mapping[str, Any]) -> list[str]:
    """Return a text for each requested setting that this manager does not support.

    Raises:
        KeyError, TypeError, AttributeError: As in `read_settings`.
    """
    specifics = info["specifics"]
    reporting = info.get("reporting") or {}
    settings = (
        ("specifics.admit", specifics.get("admit") or "none", (*ADMISSION_MODES, "none")),
        ("reporting.how", reporting.get("how") or "none", ("answers", "probe", "none")),
        ("membershipMode", info.get("membershipMode") or "automatic", ("automatic", "subscribe")),
    )
    unsupported = [
        f"{name} is {value!r}, known are {', '.join(supported)}"
        for name, value, supported in settings
        if value not in supported
    ]
    return unsupported + [
        f"{name} is {specifics[name]!r}: slices are not served"
        for name in ("keyRanges", "soleOwner")
        if specifics.get(name)
    ]


def read_settings(seed: int, info: Mapping[str, Any]) -> ManagerSettings:
    """Read the settings from decoded JSON, in which times are microseconds.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: A setting is missing, of the wrong type or
            out of range.
    """
    specifics = info["specifics"]
    rules = info["rules"]
    caps = info.get("caps") or {}
    reporting = info.get("reporting") or {}
    traffic_classes = _read_traffic_classes(info["lanes"], specifics.get("homeOnly") or [])
    return ManagerSettings(
        seed=seed,
        zone=info["zone"],
        traffic_classes=traffic_classes,
        channel=_read_channel(specifics),
        safety_limits=_read_safety_limits(specifics, rules),
        must_subscribe=info.get("membershipMode") == "subscribe",
        can_check_health=bool(caps.get("probes")),
        load_report_fields=tuple(
            LOAD_FIELD_NAMES.get(name, name) for name in reporting.get("fields") or ()
        ),
        report_delivery=reporting.get("how") or ReportDelivery.NONE,
        report_interval=seconds(specifics.get("cycleUs") or MICROSECONDS_PER_SECOND),
        default_retry_policy=int(specifics.get("usualHow") or 0),
        admission_mode=ADMISSION_MODES.get(specifics.get("admit"), AdmissionMode.NONE),
        shard_count=int(specifics.get("keyRanges") or 0),
        initial_subset_size=max(1, int(specifics.get("initialSet") or 1)),
    )


def _read_traffic_classes(lanes: list[Any], home_only: list[Any]) -> tuple[TrafficClass, ...]:
    """Read the traffic classes; `home_only` holds for each whether it is same-zone only."""
    for lane in lanes:
        if lane["effect"] not in IDEMPOTENCY_BY_EFFECT:
            raise ValueError(
                f"the effect of {lane['name']} is {lane['effect']!r}, "
                f"known are {', '.join(IDEMPOTENCY_BY_EFFECT)}"
            )
    if not lanes:
        raise ValueError("there are no lanes")
    return tuple(
        TrafficClass(
            name=lane["name"],
            latency_objective=seconds(_read_number(lane, "aimUs", MIN_POSITIVE)),
            deadline=seconds(_read_number(lane, "hardLimitUs", MIN_POSITIVE)),
            priority_weight=_read_number(lane, "points"),
            late_value_fraction=float(lane.get("lateShare") or 0.0),
            idempotency=IDEMPOTENCY_BY_EFFECT[lane["effect"]],
            group=lane.get("group") or "all",
            deduplication_window=seconds(lane.get("windowUs") or 0),
            same_zone_only=bool(index < len(home_only) and home_only[index]),
        )
        for index, lane in enumerate(lanes)
    )


def _read_channel(specifics: Mapping[str, Any]) -> ChannelSettings:
    return ChannelSettings(
        entries_per_second=_read_number(specifics, "egressPerS", MIN_POSITIVE),
        message_overhead=_read_number(specifics, "perMessage"),
        max_queued_entries=_read_number(specifics, "pendingMax", MIN_POSITIVE),
        transit_time=seconds(_read_number(specifics, "transitUs")),
        max_transit_time=seconds(specifics.get("lateMostUs") or specifics["transitUs"]),
        max_messages=int(specifics.get("messagesMost") or 0),
        message_window=seconds(specifics.get("reloadSpanUs") or 10 * MICROSECONDS_PER_SECOND),
    )


def _read_safety_limits(specifics: Mapping[str, Any], rules: Mapping[str, Any]) -> SafetyLimits:
    return SafetyLimits(
        max_time_without_endpoint=seconds(_read_number(specifics, "emptyForUs")),
        drain_grace_period=seconds(_read_number(rules, "drainGraceUs")),
        list_poll_interval=seconds(rules.get("askEveryUs") or 0),
        warm_up_time=seconds(_read_number(rules, "coldUs")),
        initial_capacity_fraction=_read_number(rules, "startCapacity", maximum=1.0),
        overload_multiple=_read_number(rules, "tipMultiple"),
        overload_duration=seconds(_read_number(rules, "fallUs")),
    )
