"""Parsing of load reports in TEXT format."""

import pytest

from dunlinlug.platform import load_metrics


def test_text_reports_are_converted_to_the_module_s_metrics() -> None:
    assert load_metrics.parse_text_report(b"TEXT inflight=7, queue=2, util=0.61") == {
        "held": 7.0,
        "queue": 2.0,
        "busy": 0.61,
    }
    assert load_metrics.parse_text_report(b"TEXT latency_ms=40") == {"service_s": 0.04}
    for body in (b"", b"TEXT x", b"JSON {}", b"TEXT queue=two"):
        with pytest.raises(ValueError):
            load_metrics.parse_text_report(body)
