"""A manager that takes over reports the rejections that the previous leader could not report."""

from collections.abc import Sequence
from typing import Any

from dunlinlug.decision.events import Event, OrderRejected, TimerFired
from dunlinlug.decision.orders import Order, SetEjected, SetWeight
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.manager.decision_loop import DecisionLoop

ORDERS = [SetWeight(1, "10.0.0.1:80", 1.0), SetEjected("10.0.0.2:80", True)]


class RecordingModule:
    """Returns the same orders for each batch and keeps the events."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def decide(self, now: float, events: Sequence[Event]) -> list[Order]:
        self.events += events
        return list(ORDERS)


class NullSink:
    """Carries out no order."""

    def handle_events(self, events: Sequence[Event]) -> None:
        pass

    def apply_orders(self, orders: Any, now: float, awaited_proxies: Any = ()) -> dict[int, Any]:
        return {}


def standby() -> tuple[DecisionLoop, RecordingModule]:
    module = RecordingModule()
    loop = DecisionLoop(
        module,
        NullSink(),
        PacedChannel(1000.0, 1000.0, 0, 1.0),
        lambda *_: None,
        lambda *_, **__: None,
    )
    return loop, module


async def test_a_new_leader_reports_the_rejections_of_the_last_replayed_batch() -> None:
    """Guards against taking orders for carried out that the previous leader's guard rejected."""
    loop, module = standby()
    loop.replay_batch(1.0, [TimerFired(1)], [0])
    loop.replay_batch(2.0, [TimerFired(2)], [1])
    loop.replay_batch(2.5, [], [])  # the first entry of a leader that failed before its first batch
    loop.submit_unreported_rejections()
    loop.run_batch(3.0)
    rejections = [event for event in module.events if isinstance(event, OrderRejected)]
    assert [rejection.order for rejection in rejections] == [ORDERS[1]]


async def test_a_rejection_that_the_previous_leader_reported_is_not_reported_again() -> None:
    loop, module = standby()
    loop.replay_batch(1.0, [TimerFired(1)], [0])
    loop.replay_batch(2.0, [OrderRejected(ORDERS[0], "reported")], [])
    loop.submit_unreported_rejections()
    loop.run_batch(3.0)
    assert len([event for event in module.events if isinstance(event, OrderRejected)]) == 1
