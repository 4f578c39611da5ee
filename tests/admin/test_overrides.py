"""Operators' pins: how the module keeps them, when the guard takes or lifts them, and the whole way over HTTP."""

import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from math import inf, nan
from pathlib import Path
from typing import Any

import pytest
import trio
from click.testing import CliRunner

from dunlinlug.admin.api import TokenFileError, read_token
from dunlinlug.cli import main
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    OverrideChanged,
    ProxyConnected,
)
from dunlinlug.decision.orders import RequestAcknowledgement, SetEjected, SetWeight
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.guard import Override, OverrideError, Overrides
from dunlinlug.net import http
from dunlinlug.storage.store import read_rejections
from tests.decision.rules_model import Model, endpoint, manager_settings
from tests.fixtures.manager_process import WORKERS as FLEET_OF_SIX
from tests.fixtures.manager_process import Running, bound, peer, running, until
from tests.guard.test_order_validator import COLD, WORKERS, bind, even, lay, listed
from tests.guard.test_order_validator import judge as fed

FLEET = tuple(endpoint(n) for n in range(9))
NARROW = ChannelSettings(100.0, 4.0, 900.0, 0.2, 0.5, 30, 10.0)


def settle(model: Model, *events: Event, seconds: float = 12.0) -> None:
    model.step(0.1, list(events))
    for _ in range(round(seconds / 0.1)):
        model.step(0.1, [])


def lines(model: Model, product: int) -> list[dict[str, float]]:
    """Each proxy's table for a product, as applied."""
    return [held[product][1] for held in model.holds.values()]


@pytest.mark.parametrize("channel", [manager_settings().channel, NARROW])
def test_a_pin_sets_one_product_apart_and_its_end_brings_it_back(channel: ChannelSettings) -> None:
    """Also where the channel is too slow for whole tables, and equal products share one."""
    model = Model(manager_settings(channel=channel))
    settle(
        model,
        EndpointsUpdated("kept", FLEET),
        *(ProxyConnected(p, "north", 5.0, True) for p in range(6)),
    )
    whole = {w.id: 1.0 for w in FLEET}
    for pin, pinned in (
        (
            OverrideChanged(1, ((FLEET[0].id, 1.0), (FLEET[4].id, 2.0)), False),
            {FLEET[0].id: 1.0, FLEET[4].id: 2.0},
        ),
        (
            OverrideChanged(1, ((FLEET[3].id, 0.0), (FLEET[4].id, 0.5)), True),
            {w: 0.5 if w == FLEET[4].id else 1.0 for w in whole if w != FLEET[3].id},
        ),
        (OverrideChanged(1), whole),
    ):
        settle(model, pin)
        assert lines(model, 1) == [pinned] * 6
        assert lines(model, 0) == [whole] * 6
    assert not model.broken


def test_a_pin_and_drains_that_leave_nothing_of_it_give_way_at_once() -> None:
    model = Model(manager_settings())
    settle(
        model,
        EndpointsUpdated("kept", FLEET),
        *(ProxyConnected(p, "north", 5.0, True) for p in range(6)),
    )
    settle(model, OverrideChanged(0, tuple((w.id, 1.0) for w in FLEET[:2]), False))
    settle(
        model,
        EndpointsUpdated("changes", tuple(endpoint(n, "draining") for n in range(2))),
        seconds=2.0,
    )
    assert all(set(held) == {w.id for w in FLEET[2:]} for held in lines(model, 0))
    assert not model.broken


def test_a_pin_leaves_the_ramp_as_it_is() -> None:
    model = Model(manager_settings())
    settle(model, EndpointsUpdated("kept", FLEET), ProxyConnected(0, "north", 5.0, True))
    settle(model, OverrideChanged(0, ((FLEET[0].id, 1.0), (FLEET[1].id, 2.0)), False))
    settle(model, EndpointsUpdated("changes", (endpoint(1, since=model.now),)), seconds=3.0)
    held = lines(model, 0)[0]
    assert held[FLEET[0].id] == 1.0 and held.get(FLEET[1].id, 0.0) <= 0.5, (
        "a quarter of what is pinned"
    )


def test_a_joiner_under_pins_gets_none_of_the_excluded() -> None:
    model = Model(manager_settings(channel=NARROW))
    settle(
        model,
        EndpointsUpdated("kept", FLEET),
        *(ProxyConnected(p, "north", 5.0, True) for p in range(6)),
    )
    settle(model, OverrideChanged(1, ((FLEET[2].id, 0.0),), True))
    model.step(0.1, [ProxyConnected(7, "south", 5.0, True)])
    for _ in range(100):
        model.step(0.1, [])
        held = model.holds[7].get(1)
        assert held is None or FLEET[2].id not in held[1]
    assert 1 in model.holds[7]


# The guard.

NOW = 100.0


def pins() -> Overrides:
    """Four proxies on an even table of eight workers, two of them cold."""
    judge = fed()
    assert not judge.validate(NOW, [*lay(1, even()), *bind(1), RequestAcknowledgement(1, False)])[1]
    judge.handle(NOW, [Acknowledged(p, 1, 0.1) for p in range(4)])
    return Overrides(judge, 60.0)


@pytest.mark.parametrize(
    ("pin", "said"),
    [
        (Override(7, {WORKERS[0]: 1.0}, True, NOW + 1), "unknown product"),
        (Override(0, {}, True, NOW + 1), "names no worker"),
        (Override(0, {WORKERS[0]: 1.0}, True, NOW + 61), "at most 60 s"),
        (Override(0, {WORKERS[0]: 1.0}, True, nan), "at most 60 s"),
        (Override(0, {WORKERS[0]: 1.0}, True, NOW), "more than 0"),
        (Override(0, {"10.9.9.9:80": 1.0}, True, NOW + 1), "never listed"),
        *(
            (Override(0, {WORKERS[0]: bad}, True, NOW + 1), "0 to a million")
            for bad in (nan, inf, -1.0, 1e300)
        ),
    ],
)
def test_a_pin_that_nothing_could_make_right_is_named(pin: Override, said: str) -> None:
    with pytest.raises(OverrideError, match=said):
        pins().validate(pin, NOW)


def test_a_pin_is_weighed_by_all_proxies_together_and_changes_nothing() -> None:
    it = pins()
    for product in (0, 1):
        assert (
            it.evaluate(
                NOW, Override(product, {WORKERS[0]: None, WORKERS[1]: 3.0}, False, NOW + 9)
            )[0]
            == []
        )
        refusals, _ = it.evaluate(NOW, Override(product, {COLD[0]: None}, False, NOW + 9))
        assert {r.rule for r in refusals} == {"pushed"} and "by all proxies" in refusals[0].reason
        assert [
            r.rule
            for r in it.evaluate(
                NOW, Override(product, dict.fromkeys(WORKERS, 0.0), True, NOW + 9)
            )[0]
        ] == ["bare"]
        assert (
            it.validator.usage.possible_tables(0, product) == [1]
            and -1 not in it.validator.usage.tables
        )


def test_a_warm_worker_brought_a_multiple_of_what_it_settled_is_a_caution() -> None:
    cautions = pins().evaluate(NOW, Override(0, {WORKERS[0]: None}, False, NOW + 9))[1]
    assert len(cautions) == 1 and WORKERS[0] in cautions[0] and "of late it settled" in cautions[0]


def test_the_guard_lifts_a_pin_whose_workers_are_gone_or_whose_line_was_refused() -> None:
    it = pins()
    subset, heavy = (
        Override(0, dict.fromkeys(WORKERS[:2]), False, NOW + 9),
        Override(1, {COLD[0]: 30.0}, True, NOW + 9),
    )
    it.activate(subset), it.activate(heavy)
    it.validator.handle(NOW, [listed(ready=WORKERS[1:], draining=WORKERS[:1])])
    assert it.end_invalid(NOW) == []
    refusals = it.validator.validate(NOW, [SetWeight(1, COLD[0], 30.0)])[1]
    assert [(end.override, end.revoked) for end in it.end_invalid(NOW, refusals)] == [(heavy, True)]
    it.validator.validate(NOW, [SetEjected(WORKERS[1], True)])
    assert [(end.override, end.revoked) for end in it.end_invalid(NOW)] == [(subset, True)]
    it.activate(subset)
    assert [end.revoked for end in it.end_invalid(NOW + 9)] == [False] and not it.active


# The whole way.

TOKEN = "a-token-of-the-tests"
BOOK, READ = "press-book", "ticket-read"


@asynccontextmanager
async def open_to_operators(
    tmp_path: Path, *changes: tuple[str, str]
) -> AsyncIterator[tuple[Running, "Operator"]]:
    token = tmp_path / "token"
    token.write_text(TOKEN + "\n")
    token.chmod(0o600)
    section = (
        f"[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0\nquiet_most = 300ms\n\n[roster]"
    )
    async with running(tmp_path, ("[roster]", section), *changes) as run:
        yield run, Operator(http.Client(*run.manager.admin_address))


class Operator:
    def __init__(self, client: http.Client) -> None:
        self.client = client

    async def say(
        self, method: str, path: str, body: object = None, token: str = TOKEN
    ) -> tuple[int, Any]:
        raw = (
            body
            if isinstance(body, bytes)
            else json.dumps(body).encode()
            if body is not None
            else b""
        )
        reply = await self.client.request(method, path, {"authorization": f"Bearer {token}"}, raw)
        return reply.status, json.loads(reply.body)

    async def pin(
        self, product: str = BOOK, lasts: float = 60.0, **word: object
    ) -> tuple[int, Any]:
        return await self.say("PUT", "/pins", {"product": product, "lasts": lasts, **word})


FIRST = [w.id for w in FLEET_OF_SIX[:2]]


async def test_a_pin_comes_stands_is_shown_and_ends_by_word_and_by_itself(tmp_path: Path) -> None:
    async with open_to_operators(tmp_path) as (run, operator), peer(run, "p0") as proxy:
        await proxy.until(bound)
        proposed = {"product": BOOK, "lasts": 9, "only": FIRST}
        assert (await operator.say("POST", "/pins/propose", proposed))[1]["passes"] is True
        assert (await operator.pin(only=FIRST))[0] == 200
        await proxy.until(lambda h: set(h.usable_weights(BOOK)) == set(FIRST))
        assert len(proxy.holdings.usable_weights(READ)) == 6
        status, shown = await operator.say("GET", f"/tables?product={BOOK}")
        assert status == 200 and [
            line["worker"] for line in shown[0]["tables"][0]["lines"]
        ] == sorted(FIRST)
        assert shown[0]["pin"]["weights"] == dict.fromkeys(FIRST)
        assert (await operator.say("DELETE", f"/pins/{BOOK}"))[0] == 200
        await proxy.until(lambda h: len(h.usable_weights(BOOK)) == 6)
        assert (await operator.say("DELETE", f"/pins/{BOOK}"))[0] == 404
        assert (await operator.pin(READ, lasts=1.0, weights={FIRST[0]: 2.0}, without=[FIRST[1]]))[
            0
        ] == 200
        await proxy.until(
            lambda h: (
                h.usable_weights(READ).get(FIRST[0]) == 2.0
                and FIRST[1] not in h.usable_weights(READ)
            )
        )
        await proxy.until(lambda h: len(h.usable_weights(READ)) == 6)
        assert [said["why"] for said in run.said("override.ended")] == [
            "an operator's word",
            "its time is up",
        ]


async def test_bad_words_are_answered_and_lose_nothing(tmp_path: Path) -> None:
    async with open_to_operators(tmp_path) as (run, operator), peer(run, "p0") as proxy:
        await proxy.until(bound)
        good = {"product": BOOK, "lasts": 9, "only": FIRST}
        for body, said in [
            (b"{", "not JSON"),
            (b"[]", ""),
            (b'{"product": "x", "product": "y"}', "named twice"),
            ({**good, "product": "tea"}, "unknown product 'tea'"),
            ({**good, "lasts": "9"}, "expected float"),
            ({**good, "olny": []}, "olny"),
            ({**good, "without": FIRST}, "shut each other out"),
            ({**good, "only": [FIRST[0], FIRST[0]]}, "named twice"),
            ({"product": BOOK, "only": FIRST}, "lasts"),
            ({**good, "only": ["10.9.9.9:80"]}, "never listed"),
            ({**good, "only": []}, "names no worker"),
            ({**good, "weights": {FLEET_OF_SIX[5].id: 1}}, "not of the only"),
            (
                b'{"product": "%s", "lasts": 9, "weights": {"%s": NaN}}'
                % (BOOK.encode(), FIRST[0].encode()),
                "nan",
            ),
            ({**good, "lasts": -1}, "more than 0"),
            ({**good, "lasts": 1e9}, "at most"),
        ]:
            status, answer = await operator.say("PUT", "/pins", body)
            assert status == 400 and said in answer["error"], (body, answer)
        for method, path, token, status in [
            ("GET", "/tables", "wrong", 401),
            ("GET", "/health", "wrong", 200),
            ("GET", "/nowhere", TOKEN, 404),
            ("POST", "/tables", TOKEN, 405),
            ("GET", "/tables?product=tea", TOKEN, 404),
            ("PUT", "/pins", "x", 401),
        ]:
            assert (await operator.say(method, path, good if method == "PUT" else None, token))[
                0
            ] == status
        slow = await trio.open_tcp_stream(*run.manager.admin_address)
        await slow.send_all(b"PUT /pins HTTP/1.1\r\n")
        with trio.fail_after(5.0):
            assert await slow.receive_some() == b"", "a peer that makes no whole request is let go"
        assert len(proxy.holdings.usable_weights(BOOK)) == 6 and not run.said("override.activated")


async def test_a_pin_that_would_push_a_cold_worker_is_refused_and_kept_on_record(
    tmp_path: Path,
) -> None:
    async with open_to_operators(tmp_path) as (run, operator), peer(run, "p0") as proxy:
        await proxy.until(bound)
        run.roster.workers[0] = replace(FLEET_OF_SIX[0], started_at=time.time())
        run.roster.tell(w1="ready")
        await until(lambda: bool(run.manager.components.validation.validator.warming_up))
        run.manager.components.loop.pending_events += [
            DemandReported(0, BOOK, 500, 0, 1.0),
            *(EndpointReported("north", w.id, 9, 0, 0.1, 1.0) for w in FLEET_OF_SIX[1:]),
        ]
        run.manager.components.loop.event_arrived.set()
        await until(lambda: bool(run.manager.components.validation.validator.estimates.demand))
        status, answer = await operator.pin(weights={FIRST[0]: 100.0})
        assert status == 409 and answer["refusals"][0]["rule"] == "pushed"
        assert (await operator.pin(only=[w.id for w in FLEET_OF_SIX[3:]]))[0] == 200, (
            "what passes is not held back"
        )
    kept = read_rejections(tmp_path / "store")
    assert kept[-1]["source"] == "operator" and "txns a second by all proxies" in kept[-1]["why"]


async def test_a_pin_whose_workers_drain_is_lifted_with_a_word_and_no_product_is_bare(
    tmp_path: Path,
) -> None:
    async with open_to_operators(tmp_path) as (run, operator), peer(run, "p0") as proxy:
        await proxy.until(bound)
        assert (await operator.pin(only=FIRST))[0] == 200
        await proxy.until(lambda h: set(h.usable_weights(BOOK)) == set(FIRST))
        run.roster.tell(w0="draining", w1="draining")
        await proxy.until(lambda h: set(h.usable_weights(BOOK)) == {w.id for w in FLEET_OF_SIX[2:]})
        assert "may be used any more" in run.said("override.revoked")[0]["why"]
        run.roster.tell(w0="ready", w1="ready")
        await proxy.until(lambda h: len(h.usable_weights(BOOK)) == 6)
    assert read_rejections(tmp_path / "store")[-1]["source"] == "guard, lifting a pin"


async def test_a_pin_outlives_its_manager_and_still_ends(tmp_path: Path) -> None:
    async with open_to_operators(tmp_path) as (run, operator), peer(run, "p0") as proxy:
        await proxy.until(bound)
        assert (await operator.pin(lasts=4.0, only=FIRST))[0] == 200
    async with open_to_operators(tmp_path) as (run, _), peer(run, "p0") as proxy:
        await proxy.until(lambda h: set(h.usable_weights(BOOK)) == set(FIRST))
        assert len(proxy.holdings.usable_weights(READ)) == 6
        await proxy.until(lambda h: len(h.usable_weights(BOOK)) == 6)
    assert run.manager.components.store is not None and [
        said["why"] for said in run.said("override.ended")
    ] == ["its time is up"]


def test_a_token_that_others_may_read_or_guess_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "token"
    for text, mode, said in (
        (TOKEN, 0o644, "chmod 600"),
        ("short", 0o600, "at least 16"),
        ("two words" * 3, 0o600, "one"),
        (None, 0, "cannot be read"),
    ):
        path.unlink(missing_ok=True)
        if text is not None:
            path.write_text(text)
            path.chmod(mode)
        with pytest.raises(TokenFileError, match=said):
            read_token(path)


async def test_the_commands_say_and_show_it(tmp_path: Path) -> None:
    def run_command(*words: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["table", words[0], str(file), *words[1:]])
        return done.exit_code, done.output

    async with open_to_operators(tmp_path) as (run, _), peer(run, "p0") as proxy:
        await proxy.until(bound)
        file = tmp_path / "asked.ini"
        text = (tmp_path / "manager.ini").read_text()
        place = "listen = {}:{}\nquiet".format(*run.manager.admin_address)
        file.write_text(text.replace("listen = 127.0.0.1:0\nquiet", place))
        for words, status, said in [
            (("propose", BOOK, "--only", FIRST[0], "--for", "5min"), 0, "would pass"),
            (("propose", BOOK, "--without", FIRST[0], "--for", "5"), 2, "with its unit"),
            (("pin", BOOK, "--weight", FIRST[0], "--for", "5s"), 2, "WORKER=WEIGHT"),
            (("pin", BOOK, "--weight", f"{FIRST[0]}=nan", "--for", "5s"), 1, "0 to a million"),
            (
                ("pin", BOOK, "--weight", f"{FIRST[0]}=3", "--without", FIRST[1], "--for", "1min"),
                0,
                f"pinned {BOOK}",
            ),
            (("show", BOOK), 0, "pinned for"),
            (("show", "tea"), 1, "known are"),
            (("unpin", BOOK), 0, "ended the pin"),
            (("unpin", BOOK), 1, "no pin stands"),
        ]:
            found = await trio.to_thread.run_sync(run_command, *words)
            assert found[0] == status and said in found[1], (words, found)
