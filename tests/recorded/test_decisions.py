"""The decision module gives the orders whose digests `record_decisions.py` recorded.

They must be equal to the last bit of each float. Half of the seeds run here; `python -m
tests.recorded.record_decisions --check` runs all.
"""

import json

import pytest

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event, OrderRejected
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
)
from tests.decision.histories import SimulatedEnvironment
from tests.recorded.neutral_decisions import (
    event_from,
    neutral_event,
    neutral_order,
    neutral_settings,
    settings_from,
    text_of,
)
from tests.recorded.record_decisions import (
    DIGESTS,
    SCALE,
    SEEDS,
    batch_line,
    day_digest,
    day_files,
    digest_of,
    history_digest,
    read_day,
    session_digest,
)

RECORDED = json.loads(DIGESTS.read_text())
SEEDS_PER_TEST = 11


@pytest.mark.parametrize("first", SEEDS[:: 2 * SEEDS_PER_TEST])
def test_histories_get_the_recorded_orders(first: int) -> None:
    seeds = range(first, first + SEEDS_PER_TEST)
    found = {seed: history_digest(seed) for seed in seeds}
    assert found == {seed: RECORDED[f"seed {seed}"] for seed in seeds}


def test_recorded_days_get_the_recorded_orders() -> None:
    files = day_files()
    assert files
    found = {f"day {file.name}": day_digest(file) for file in files}
    assert found == {name: digest for name, digest in RECORDED.items() if name.startswith("day ")}


def test_a_simulator_session_gets_the_recorded_bytes() -> None:
    assert session_digest() == RECORDED["session"]


def test_all_seeds_have_a_digest() -> None:
    assert len(SEEDS) >= 200
    assert {f"seed {seed}" for seed in SEEDS} <= RECORDED.keys()


def test_events_of_recorded_days_survive_a_round_trip() -> None:
    for file in day_files():
        settings, turns = read_day(file)
        assert settings_from(json.loads(text_of(neutral_settings(settings)))) == settings
        for _, events in turns:
            for event in events:
                assert event_from(json.loads(text_of(neutral_event(event)))) == event


def test_every_kind_of_event_survives_a_round_trip() -> None:
    seen = set[str]()
    for seed in range(12):
        around = SimulatedEnvironment(seed, SCALE)
        module = Balancer(around.settings)
        assert (
            settings_from(json.loads(text_of(neutral_settings(around.settings)))) == around.settings
        )
        for now, events in around.turns():
            module.decide(now, events)
            for event in events:
                line = neutral_event(event)
                seen.add(line["verb"])
                assert event_from(json.loads(text_of(line))) == event
    for order in (
        SetWeight(1, "10.0.0.1:80", 0.1),
        DeleteTable(2),
        AssignTable(3, (0, 2), 4),
        SetEjected("10.0.0.1:80", True),
        SetAdmission(5, 1, 3, 0.7),
    ):
        event = OrderRejected(order, "a reason")
        assert event_from(json.loads(text_of(neutral_event(event)))) == event
    assert len(seen) >= 13, sorted(seen)


class ImpreciseTimers(Balancer):
    """Delays its timers by one unit in the last place, where rounding lets it."""

    def decide(self, now: float, events: list[Event]) -> list[Order]:  # type: ignore[override]
        return [
            SetTimer(order.delay * (1 + 2**-52), order.token)
            if isinstance(order, SetTimer)
            else order
            for order in super().decide(now, events)
        ]


def test_a_digest_changes_with_the_last_bit_of_a_float() -> None:
    settings, turns = read_day(day_files()[0])

    def digest(module: Balancer) -> str:
        return digest_of(batch_line(module, now, events) for now, events in turns)

    assert digest(Balancer(settings)) == digest(Balancer(settings))
    assert digest(ImpreciseTimers(settings)) != digest(Balancer(settings))


def test_the_neutral_form_has_values_that_the_wire_format_rounds() -> None:
    assert neutral_order(SetTimer(0.1 + 0.2, 1))["delay"] == 0.1 + 0.2
    assert neutral_order(AssignTable(1, (2, 0), 3))["lanes"] == [2, 0]
