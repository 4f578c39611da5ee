"""Conversion of endpoint start times to the module's clock."""

from dunlinlug.decision.events import Endpoint
from dunlinlug.manager.start_times import StartTimes


def test_a_start_is_converted_once_and_forgotten_with_its_endpoint() -> None:
    start_times = StartTimes()
    endpoint = Endpoint("w", "a", "", 0, "ready", 1.0, 100.0)
    assert (
        start_times.to_module_clock(endpoint, -90.0).started_at
        == 10.0
        == start_times.to_module_clock(endpoint, -50.0).started_at
    )
    start_times.retain_only({"other": None})
    assert (
        not start_times.known_starts
        and start_times.to_module_clock(endpoint, -50.0).started_at == 50.0
    )
