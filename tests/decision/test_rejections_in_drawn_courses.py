"""Workers drain, fail and return while orders are rejected; every rule must hold.

`python -m tests.decision.test_rejections_in_drawn_courses COUNT` runs COUNT seeds of each kind of
order and prints which broke a rule.
"""

import sys
from collections import Counter
from random import Random

import pytest

from dunlinlug.decision.events import EndpointReported, EndpointsUpdated, Event, ProxyConnected
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from tests.decision.rules_model import ZONES, Model, endpoint, manager_settings

KINDS = (SetWeight, SetEjected, AssignTable, SetAdmission, DeleteTable)
REJECTED_FRACTION = 0.3
REJECTIONS_FROM = 5.0  # seconds
STEPS = 400  # of a tenth of a second


def drawn_course(seed: int, rejected_kinds: tuple[type, ...]) -> Model:
    """Return the model after a course in which some orders of these kinds are rejected.

    As the guard does, it rejects assignments to a table without a usable entry, and no order that
    takes out a worker that is not ready.
    """
    random = Random(f"{seed} {[kind.__name__ for kind in rejected_kinds]}")
    worker_count, proxy_count = random.choice([(9, 6), (30, 40)])
    model = Model(manager_settings())

    def is_rejected(order: Order) -> bool:
        if model.now < REJECTIONS_FROM or not rejected_kinds:
            return False
        if isinstance(order, AssignTable):
            usable_workers = model.tables[order.table_id].keys() - model.ejected
            if not any(model.listed[worker].state == "ready" for worker in usable_workers):
                return True
        if not isinstance(order, rejected_kinds):
            return False
        takes_out = (isinstance(order, SetEjected) and order.ejected) or (
            isinstance(order, SetWeight) and not order.weight
        )
        if takes_out and model.listed[order.worker].state != "ready":
            return False
        return random.random() < REJECTED_FRACTION

    model.is_rejected = is_rejected
    states = dict.fromkeys(range(worker_count), "ready")
    model.step(0.1, [EndpointsUpdated("kept", tuple(map(endpoint, states)))])
    model.step(0.1, [ProxyConnected(p, ZONES[p % 3], 5.0, True) for p in range(proxy_count)])
    failing: int | None = None
    for step in range(STEPS):
        events: list[Event] = []
        if random.random() < 0.1:
            events += _change_state(random, states, model.now)
        if step % 50 == 0:
            failing = random.choice([None, random.randrange(worker_count)])
        if step % 5 == 0:
            events += [
                EndpointReported(ZONES[n % 3], endpoint(n).id, 20, 20 * (n == failing), 0.2, 0.5)
                for n, state in states.items()
                if state == "ready"
            ]
        model.step(0.1, events)
    return model


def _change_state(random: Random, states: dict[int, str], now: float) -> list[Event]:
    """Let a worker drain, go, or return; two thirds of the workers stay ready."""
    n = random.choice([*states])
    if states[n] != "ready":
        states[n] = "ready"
        started_at = now - random.uniform(0.0, 20.0)
        return [EndpointsUpdated("changes", (endpoint(n, "ready", started_at),))]
    if sum(state == "ready" for state in states.values()) <= 2 * len(states) // 3:
        return []
    states[n] = random.choice(["draining", "gone"])
    return [EndpointsUpdated("changes", (endpoint(n, states[n]),))]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("kind", KINDS)
def test_rejected_orders_break_no_rule(kind: type, seed: int) -> None:
    model = drawn_course(seed, (kind,))
    assert not model.violated_rules


@pytest.mark.parametrize("seed", range(6))
def test_rejected_orders_of_all_kinds_break_no_rule(seed: int) -> None:
    assert not drawn_course(seed, KINDS).violated_rules


def test_without_rejections_no_rule_is_broken() -> None:
    assert not drawn_course(0, ()).violated_rules


if __name__ == "__main__":
    for kinds in ((), *((kind,) for kind in KINDS), KINDS):
        broken = {
            seed: rules
            for seed in range(int(sys.argv[1]))
            if (rules := drawn_course(seed, kinds).violated_rules)
        }
        totals = Counter(rule for rules in broken.values() for rule in rules)
        print([kind.__name__ for kind in kinds], len(broken), dict(totals), sorted(broken))
