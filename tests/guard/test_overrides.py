"""Operator overrides: which are rejected, which only cause warnings, and when they are revoked."""

from math import inf, nan

import pytest

from dunlinlug.decision.events import Acknowledged
from dunlinlug.decision.orders import SetEjected, SetWeight
from dunlinlug.guard import Override, OverrideError, Overrides
from tests.guard.example_fleet import (
    NOW,
    PROXIES,
    WARMING,
    WORKERS,
    even_weights,
    fleet_validator,
    listed,
    new_table,
)


@pytest.fixture
def overrides() -> Overrides:
    """Overrides of at most 60 s; four proxies use an even table of eight endpoints."""
    validator = fleet_validator()
    rejections = validator.validate(NOW, new_table(1, even_weights()))[1]
    assert not rejections
    validator.handle(NOW, [Acknowledged(proxy, 1, 0.1) for proxy in PROXIES])
    return Overrides(validator, 60.0)


@pytest.mark.parametrize(
    ("override", "message"),
    [
        (Override(7, {WORKERS[0]: 1.0}, True, NOW + 1), "unknown product"),
        (Override(0, {}, True, NOW + 1), "names no worker"),
        (Override(0, {WORKERS[0]: 1.0}, True, NOW + 61), "at most 60 s"),
        (Override(0, {WORKERS[0]: 1.0}, True, nan), "at most 60 s"),
        (Override(0, {WORKERS[0]: 1.0}, True, NOW), "more than 0"),
        (Override(0, {"10.9.9.9:80": 1.0}, True, NOW + 1), "never listed"),
        *(
            (Override(0, {WORKERS[0]: weight}, True, NOW + 1), "0 to a million")
            for weight in (nan, inf, -1.0, 1e300)
        ),
    ],
)
def test_an_invalid_override_raises_an_error_that_names_the_mistake(
    overrides: Overrides, override: Override, message: str
) -> None:
    with pytest.raises(OverrideError, match=message):
        overrides.validate(override, NOW)


@pytest.mark.parametrize("traffic_class", [0, 1])
def test_an_override_is_evaluated_for_all_proxies_together_and_changes_nothing(
    overrides: Overrides, traffic_class: int
) -> None:
    harmless = Override(traffic_class, {WORKERS[0]: None, WORKERS[1]: 3.0}, False, NOW + 9)
    assert overrides.evaluate(NOW, harmless).rejections == []
    to_warming = Override(traffic_class, {WARMING[0]: None}, False, NOW + 9)
    rejections = overrides.evaluate(NOW, to_warming).rejections
    assert {rejection.rule for rejection in rejections} == {"pushed"}
    assert "by all proxies" in rejections[0].reason
    to_none = Override(traffic_class, dict.fromkeys(WORKERS, 0.0), True, NOW + 9)
    rejections = overrides.evaluate(NOW, to_none).rejections
    assert [rejection.rule for rejection in rejections] == ["bare"]
    usage = overrides.validator.usage
    assert usage.possible_tables(0, traffic_class) == [1]
    assert -1 not in usage.tables


def test_a_warm_endpoint_that_would_get_a_multiple_of_what_it_served_is_a_warning(
    overrides: Overrides,
) -> None:
    override = Override(0, {WORKERS[0]: None}, False, NOW + 9)
    warnings = overrides.evaluate(NOW, override).warnings
    assert len(warnings) == 1
    assert WORKERS[0] in warnings[0]
    assert "of late it settled" in warnings[0]


def test_an_override_is_revoked_once_its_endpoints_are_gone_or_an_entry_is_rejected(
    overrides: Overrides,
) -> None:
    def ended(*arguments: object) -> list[tuple[Override, bool]]:
        return [(end.override, end.revoked) for end in overrides.end_invalid(NOW, *arguments)]

    validator = overrides.validator
    subset = Override(0, dict.fromkeys(WORKERS[:2]), False, NOW + 9)
    overloading = Override(1, {WARMING[0]: 30.0}, True, NOW + 9)
    overrides.activate(subset)
    overrides.activate(overloading)
    validator.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    assert ended() == []
    rejections = validator.validate(NOW, [SetWeight(1, WARMING[0], 30.0)])[1]
    assert ended(rejections) == [(overloading, True)]
    validator.validate(NOW, [SetEjected(WORKERS[1], True)])
    assert ended() == [(subset, True)]


def test_an_override_ends_when_it_expires(overrides: Overrides) -> None:
    overrides.activate(Override(0, dict.fromkeys(WORKERS[:2]), False, NOW + 9))
    assert [end.revoked for end in overrides.end_invalid(NOW + 9)] == [False]
    assert not overrides.active
