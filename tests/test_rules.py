"""The module beside the plain model of the rules, on generated runs, and beside a broken module."""

from dataclasses import replace
from random import Random

import pytest

from dunlinlug import interface as face
from dunlinlug.balance import Account, Balancer, Reply, Wanted
from tests.helpers import ZONES, Model, run, trade, worker


@pytest.mark.parametrize("seed", range(25))
def test_generated_runs_keep_the_rules(seed: int) -> None:
    narrow = {"channel": face.Channel(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Model(trade(**narrow)), seed).broken


@pytest.mark.parametrize("seed", range(12))
def test_ten_messages_in_ten_seconds_are_kept_to_by_proxies_that_break_off_and_come_back(
    seed: int,
) -> None:
    model = run(Model(trade(channel=face.Channel(1200.0, 4.0, 2400.0, 0.2, 0.5, 10, 10.0))), seed)
    assert "messages" not in model.broken


def test_workers_that_are_never_cold_have_no_ramp() -> None:
    model = Model(trade(duties=face.Duties(5.0, 3.0, 10.0, 0.0, 1.0, 3.0, 2.0)))
    assert not run(model, 2).broken


@pytest.mark.parametrize("seed", range(8))
def test_a_product_for_its_own_zone_leaves_nobody_without_a_worker(seed: int) -> None:
    products = (trade().products[0], replace(trade().products[1], home_only=True))
    narrow = {"channel": face.Channel(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Model(trade(products=products, standing=3, **narrow)), seed).broken


@pytest.mark.parametrize("seed", range(4))
def test_small_tables_have_somebody_of_each_zone_for_a_product_that_keeps_to_it(seed: int) -> None:
    products = (trade().products[0], replace(trade().products[1], home_only=True))
    model = Model(trade(products=products, standing=3, seed=seed))
    model.step(0.1, [face.Listed("kept", tuple(worker(n) for n in range(60)))])
    model.step(0.1, [face.Joined(p, ZONES[p % 3], 5.0, True) for p in range(90)])

    def near() -> list[int]:
        return [p for p in model.joined if model.holds[p][1][1].keys() - model.shut[p]]

    for lost in (range(0), range(0, 54, 3), range(1, 54, 3)):  # the rest of a zone is left with two
        model.step(0.1, [face.Listed("changes", tuple(worker(n, "gone") for n in lost))])
        for _ in range(20):
            model.step(0.1, [])
        assert len(near()) == 90 and not model.broken


def test_a_zone_whose_workers_are_all_out_gets_a_warm_one_back_for_its_own_products() -> None:
    products = (trade().products[0], replace(trade().products[1], home_only=True))
    model = Model(trade(products=products))
    model.step(0.1, [face.Listed("kept", tuple(worker(n) for n in range(9)))])
    model.step(0.1, [face.Joined(p, ZONES[p % 3], 5.0, True) for p in range(6)])
    for _ in range(20):
        model.step(
            0.5,
            [
                face.Met(ZONES[n % 3], worker(n).id, 20, 20 if n % 3 == 1 else 0, 0.2, 0.5)
                for n in range(9)
            ],
        )
    assert len(model.withdrawn) == 2 and not model.broken


@pytest.mark.parametrize("seed", range(12))
def test_generated_runs_with_pins_keep_the_rules(seed: int) -> None:
    narrow = {"channel": face.Channel(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Model(trade(**narrow)), seed, pins=0.03).broken


def test_the_list_followed_by_asking_keeps_the_rules() -> None:
    assert not run(Model(trade(must_ask=True, may_probe=True)), 3).broken


def test_the_same_events_give_the_same_orders() -> None:
    assert run(Model(trade()), 5, 200).orders == run(Model(trade()), 5, 200).orders


def broken_by(monkeypatch: pytest.MonkeyPatch, change: object, pace: float = 1.0) -> set[str]:
    plan = Balancer._plan

    def bad(self: Balancer, now: float) -> Wanted:
        wanted = plan(self, now)
        change(self, wanted)
        return wanted

    monkeypatch.setattr(Balancer, "_plan", bad)
    return set().union(*(run(Model(trade(), pace), seed).broken for seed in range(4)))


@pytest.mark.parametrize(
    ("rule", "change"),
    [
        ("bare", lambda module, wanted: wanted.out.update(range(len(module.fleet.ids)))),
        (
            "an effect twice",
            lambda module, wanted: setattr(wanted, "levels", [(1.0, 2)] * len(wanted.levels)),
        ),
        (
            "drain",
            lambda module, wanted: (
                wanted.out.clear(),
                setattr(
                    wanted,
                    "shares",
                    [{**wanted.shares[0], **{i: 1.0 for i in range(len(module.fleet.ids))}}]
                    * len(wanted.shares),
                ),
            ),
        ),
    ],
)
def test_the_model_sees_a_broken_rule(
    rule: str, change: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert rule in broken_by(monkeypatch, change)


def test_the_model_sees_a_cold_worker_pushed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "STEP", 1.0)
    assert "cold" in broken_by(monkeypatch, lambda module, wanted: wanted.out.clear())


def test_the_model_sees_a_long_queue(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Reply, "full", lambda self, budget, proxy=None: False)
    monkeypatch.setattr(Reply, "fits", lambda self, lines, rank: True)
    model = Model(trade(), 0.01)
    model.step(0.1, [face.Listed("kept", tuple(worker(n) for n in range(30)))])
    for n in range(90):
        model.step(0.1, [face.Joined(n, "north", 1.0, True)])
    assert "queue" in model.broken


def test_the_model_sees_too_many_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Account, "scarce", lambda self, proxy, now, rank: False)
    flip = iter(range(10**6))
    assert "messages" in broken_by(
        monkeypatch,
        lambda module, wanted: setattr(
            wanted, "out", {next(flip) % 2, 2 + next(flip) % 3} if module.fleet.ids else set()
        ),
    )


class Bunched(Model):
    """What comes in four steps comes in one instant, in an order that is drawn: a join ahead of the leave that it
    follows, gone and ready, a mark and the reset behind it."""

    def __init__(self, what: face.Trade, seed: int) -> None:
        self.random = Random(f"{seed} order")
        super().__init__(what)

    def restart(self) -> None:
        super().restart()
        self.waiting = []

    def step(self, span: float, events: list[face.Event]) -> None:
        self.waiting += events
        if (
            self.module.fleet.ids and self.random.random() < 0.75
        ):  # the list as kept comes first, as hosts tell it
            return super().step(span, [])
        self.random.shuffle(self.waiting if self.module.fleet.ids else [])
        events, self.waiting = self.waiting, []
        return super().step(span, events)


@pytest.mark.parametrize("seed", range(20))
def test_events_of_one_instant_keep_the_rules_in_any_order(seed: int) -> None:
    narrow = {"channel": face.Channel(300.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)} if seed % 2 else {}
    assert not run(Bunched(trade(**narrow), seed), seed).broken
