"""Converts workers' load metrics from the platform's names and units to the decision module's."""

from collections.abc import Mapping

from dunlinlug.bounded_values import LoadMetrics, OutOfBoundsError, require_bounds
from dunlinlug.config.settings_json import LOAD_FIELD_NAMES, MILLISECOND_FIELDS

# Maps the platform's metric names to the module's; other names stay the same.
METRIC_NAMES = {
    "queue": "queue",
    "latency_ms": "service_s",
    "inflight": "held",
    "util": "busy",
    "qps": "settled_per_s",
    "eps": "voided_per_s",
    **LOAD_FIELD_NAMES,
}


def convert_metrics(metrics: Mapping[str, float]) -> dict[str, float]:
    """Return the metrics by the module's names, with times in seconds."""
    converted = {}
    for wire_name, value in metrics.items():
        name = METRIC_NAMES.get(wire_name, wire_name)
        converted[name] = value / 1000.0 if name in MILLISECOND_FIELDS else value
    return converted


def parse_text_report(body: bytes) -> dict[str, float]:
    """Return the metrics in a health check's load report in TEXT format, by the module's names.

    Raises OutOfBoundsError if the body is not such a report.
    """
    try:
        text = body.decode("ascii", "strict").strip()
        format_name, _, metric_list = text.partition(" ")
        if format_name != "TEXT":
            raise OutOfBoundsError("no report")
        load = {}
        for metric_text in metric_list.split(","):
            wire_name, _, value = metric_text.strip().partition("=")
            load[wire_name] = float(value)
    except ValueError as error:
        raise OutOfBoundsError(str(error)) from None
    return convert_metrics(require_bounds(load, LoadMetrics))
