"""What a manager is told at its start, as the simulator's first message and the platform's configuration write it.

One reader for both: the adapter and the platform's front give the same object. Standard library alone.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

from dunlinlug import interface as face

MICRO, MILLI = 1e6, 1e3
REPEATS = {"pure": "idempotent", "token": "referenced", "side_effect": "non-idempotent"}
ADMITS = {"ratio": "share", "rps": "rate"}
LOADS = {
    "depth": "queue",
    "mean_ms": "service_s",
    "concurrent": "held",
    "load_share": "busy",
    "tps": "settled_per_s",
    "err_ps": "voided_per_s",
}
IN_MILLIS = frozenset({"service_s"})


def seconds(micros: float) -> float:
    return micros / MICRO


def _number(where: Mapping[str, Any], name: str, least: float = 0.0, most: float = inf) -> float:
    """A figure of the settings from `least` to `most`. Raises KeyError or ValueError, which names it."""
    try:
        value = float(where[name])
    except (TypeError, ValueError):
        raise ValueError(f"{name} is {where[name]!r}, not a number") from None
    if not least <= value <= most or value == inf:
        raise ValueError(
            f"{name} is {where[name]!r}, not from {least:g} on"
            + (f" to {most:g}" if most < inf else "")
        )
    return value


TINY = 1e-6  # the least of what has to be above 0


def unmet(info: Mapping[str, Any]) -> list[str]:
    """What these settings ask for and this manager has no answer for. Raises as `read_trade` does."""
    spec, reporting = info["specifics"], info.get("reporting") or {}
    known = (
        ("specifics.admit", spec.get("admit") or "none", (*ADMITS, "none")),
        ("reporting.how", reporting.get("how") or "none", ("answers", "probe", "none")),
        ("membershipMode", info.get("membershipMode") or "automatic", ("automatic", "subscribe")),
    )
    found = [
        f"{name} is {value!r}, known are {', '.join(words)}"
        for name, value, words in known
        if value not in words
    ]
    return found + [
        f"{name} is {spec[name]!r}: slices are not served"
        for name in ("keyRanges", "soleOwner")
        if spec.get(name)
    ]


def read_trade(seed: int, info: Mapping[str, Any]) -> face.Trade:
    """`info` as parsed from JSON, times in microseconds. Raises KeyError, TypeError, ValueError or AttributeError for
    what is missing or of another kind."""
    spec, rules, caps = info["specifics"], info["rules"], info.get("caps") or {}
    reporting = info.get("reporting") or {}
    home_only = spec.get("homeOnly") or []
    for lane in info["lanes"]:
        if lane["effect"] not in REPEATS:
            raise ValueError(
                f"the effect of {lane['name']} is {lane['effect']!r}, known are {', '.join(REPEATS)}"
            )
    if not info["lanes"]:
        raise ValueError("there are no lanes")
    products = tuple(
        face.Product(
            name=lane["name"],
            sla=seconds(_number(lane, "aimUs", TINY)),
            deadline=seconds(_number(lane, "hardLimitUs", TINY)),
            revenue=_number(lane, "points"),
            late_share=float(lane.get("lateShare") or 0.0),
            repeats=REPEATS[lane["effect"]],
            group=lane.get("group") or "all",
            window=seconds(lane.get("windowUs") or 0),
            home_only=bool(k < len(home_only) and home_only[k]),
        )
        for k, lane in enumerate(info["lanes"])
    )
    return face.Trade(
        seed=seed,
        zone=info["zone"],
        products=products,
        channel=_channel(spec),
        duties=_duties(spec, rules),
        must_ask=info.get("membershipMode") == "subscribe",
        may_probe=bool(caps.get("probes")),
        report_fields=tuple(LOADS.get(name, name) for name in reporting.get("fields") or ()),
        reports_in=reporting.get("how") or "none",
        report_cycle=seconds(spec.get("cycleUs") or MICRO),
        usual_retry=int(spec.get("usualHow") or 0),
        admits=ADMITS.get(spec.get("admit"), "none"),
        slices=int(spec.get("keyRanges") or 0),
        standing=max(1, int(spec.get("initialSet") or 1)),
    )


def _channel(spec: Mapping[str, Any]) -> face.Channel:
    return face.Channel(
        lines_per_s=_number(spec, "egressPerS", TINY),
        message_lines=_number(spec, "perMessage"),
        waiting_most=_number(spec, "pendingMax", TINY),
        transit=seconds(_number(spec, "transitUs")),
        transit_most=seconds(spec.get("lateMostUs") or spec["transitUs"]),
        messages_most=int(spec.get("messagesMost") or 0),
        messages_span=seconds(spec.get("reloadSpanUs") or 10 * MICRO),
    )


def _duties(spec: Mapping[str, Any], rules: Mapping[str, Any]) -> face.Duties:
    return face.Duties(
        bare=seconds(_number(spec, "emptyForUs")),
        drain_grace=seconds(_number(rules, "drainGraceUs")),
        ask_every=seconds(rules.get("askEveryUs") or 0),
        warm_after=seconds(_number(rules, "coldUs")),
        cold_share=_number(rules, "startCapacity", most=1.0),
        fall_multiple=_number(rules, "tipMultiple"),
        fall_after=seconds(_number(rules, "fallUs")),
    )
