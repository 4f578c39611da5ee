"""The administration endpoint of a running manager, through HTTP and through the commands."""

import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import trio
from click.testing import CliRunner

from dunlinlug.admin.api import TokenFileError, read_token
from dunlinlug.cli import main
from dunlinlug.decision.events import DemandReported, EndpointReported
from dunlinlug.net import http
from dunlinlug.storage.store import read_rejections
from tests.fixtures.manager_process import WORKERS, Running, has_tables, peer, running, until

TOKEN = "a-token-of-the-tests"
BOOK = "press-book"
READ = "ticket-read"
FIRST_TWO = [worker.id for worker in WORKERS[:2]]


class AdminClient:
    """Sends requests with a bearer token to a manager's administration endpoint."""

    def __init__(self, client: http.Client) -> None:
        self.client = client

    async def send(
        self, method: str, path: str, payload: object = None, token: str = TOKEN
    ) -> tuple[int, Any]:
        """Return the status and the decoded answer; a payload of bytes is sent unchanged."""
        body = b""
        if isinstance(payload, bytes):
            body = payload
        elif payload is not None:
            body = json.dumps(payload).encode()
        headers = {"authorization": f"Bearer {token}"}
        response = await self.client.request(method, path, headers, body)
        return response.status, json.loads(response.body)

    async def activate(
        self, product: str = BOOK, lasts: float = 60.0, **fields: object
    ) -> tuple[int, Any]:
        return await self.send("PUT", "/pins", {"product": product, "lasts": lasts, **fields})


@asynccontextmanager
async def running_with_admin_api(
    tmp_path: Path, *changes: tuple[str, str]
) -> AsyncIterator[tuple[Running, AdminClient]]:
    """Run a manager with an administration endpoint, and connect a client to it."""
    token = tmp_path / "token"
    token.write_text(TOKEN + "\n")
    token.chmod(0o600)
    section = (
        f"[operators]\ntoken_file = {token}\nlisten = 127.0.0.1:0\nquiet_most = 300ms\n\n[roster]"
    )
    async with running(tmp_path, ("[roster]", section), *changes) as run:
        yield run, AdminClient(http.Client(*run.manager.admin_address))


async def test_an_override_is_applied_and_shown_and_ends_on_request_or_expiry(
    tmp_path: Path,
) -> None:
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        proposal = {"product": BOOK, "lasts": 9, "only": FIRST_TWO}
        _, answer = await client.send("POST", "/pins/propose", proposal)
        assert answer["passes"] is True
        status, _ = await client.activate(only=FIRST_TWO)
        assert status == 200
        await proxy.until(lambda state: set(state.usable_weights(BOOK)) == set(FIRST_TWO))
        assert len(proxy.holdings.usable_weights(READ)) == 6
        status, tables = await client.send("GET", f"/tables?product={BOOK}")
        assert status == 200
        shown_workers = [line["worker"] for line in tables[0]["tables"][0]["lines"]]
        assert shown_workers == sorted(FIRST_TWO)
        assert tables[0]["pin"]["weights"] == dict.fromkeys(FIRST_TWO)
        status, _ = await client.send("DELETE", f"/pins/{BOOK}")
        assert status == 200
        await proxy.until(lambda state: len(state.usable_weights(BOOK)) == 6)
        status, _ = await client.send("DELETE", f"/pins/{BOOK}")
        assert status == 404
        status, _ = await client.activate(
            READ, lasts=1.0, weights={FIRST_TWO[0]: 2.0}, without=[FIRST_TWO[1]]
        )
        assert status == 200
        await proxy.until(
            lambda state: (
                state.usable_weights(READ).get(FIRST_TWO[0]) == 2.0
                and FIRST_TWO[1] not in state.usable_weights(READ)
            )
        )
        await proxy.until(lambda state: len(state.usable_weights(READ)) == 6)
        reasons = [fields["why"] for fields in run.logged("override.ended")]
        assert reasons == ["an operator's word", "expired"]


async def test_invalid_requests_get_an_error_answer_and_change_nothing(tmp_path: Path) -> None:
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        valid = {"product": BOOK, "lasts": 9, "only": FIRST_TWO}
        for payload, message in [
            (b"{", "not JSON"),
            (b"[]", ""),
            (b'{"product": "x", "product": "y"}', "named twice"),
            ({**valid, "product": "tea"}, "unknown product 'tea'"),
            ({**valid, "lasts": "9"}, "expected float"),
            ({**valid, "olny": []}, "olny"),
            ({**valid, "without": FIRST_TWO}, "shut each other out"),
            ({**valid, "only": [FIRST_TWO[0], FIRST_TWO[0]]}, "named twice"),
            ({"product": BOOK, "only": FIRST_TWO}, "lasts"),
            ({**valid, "only": ["10.9.9.9:80"]}, "never listed"),
            ({**valid, "only": []}, "names no worker"),
            ({**valid, "weights": {WORKERS[5].id: 1}}, "not of the only"),
            (
                b'{"product": "%s", "lasts": 9, "weights": {"%s": NaN}}'
                % (BOOK.encode(), FIRST_TWO[0].encode()),
                "nan",
            ),
            ({**valid, "lasts": -1}, "more than 0"),
            ({**valid, "lasts": 1e9}, "at most"),
        ]:
            status, answer = await client.send("PUT", "/pins", payload)
            assert (status, message in answer["error"]) == (400, True), (payload, answer)
        for method, path, token, expected_status in [
            ("GET", "/tables", "wrong", 401),
            ("GET", "/health", "wrong", 200),
            ("GET", "/nowhere", TOKEN, 404),
            ("POST", "/tables", TOKEN, 405),
            ("GET", "/tables?product=tea", TOKEN, 404),
            ("PUT", "/pins", "x", 401),
        ]:
            payload = valid if method == "PUT" else None
            status, _ = await client.send(method, path, payload, token)
            assert status == expected_status, (method, path)
        slow = await trio.open_tcp_stream(*run.manager.admin_address)
        await slow.send_all(b"PUT /pins HTTP/1.1\r\n")
        with trio.fail_after(5.0):
            received = await slow.receive_some()
        assert received == b"", "a client that never completes its request is disconnected"
        assert len(proxy.holdings.usable_weights(BOOK)) == 6
        assert not run.logged("override.activated")


async def test_an_override_that_overloads_a_warming_endpoint_is_rejected_and_recorded(
    tmp_path: Path,
) -> None:
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        run.roster.workers[0] = replace(WORKERS[0], started_at=time.time())
        run.roster.update(w1="ready")
        validator = run.manager.components.validation.validator
        await until(lambda: bool(validator.endpoints.warming_up))
        run.manager.components.loop.pending_events += [
            DemandReported(0, BOOK, 500, 0, 1.0),
            *(EndpointReported("north", worker.id, 9, 0, 0.1, 1.0) for worker in WORKERS[1:]),
        ]
        run.manager.components.loop.event_arrived.set()
        await until(lambda: bool(validator.estimates.demand))
        status, answer = await client.activate(weights={FIRST_TWO[0]: 100.0})
        assert status == 409
        assert answer["refusals"][0]["rule"] == "pushed"
        status, _ = await client.activate(only=[worker.id for worker in WORKERS[3:]])
        assert status == 200, "an override that keeps the rules is accepted"
    newest = read_rejections(tmp_path / "store")[-1]
    assert newest.source == "operator"
    assert "txns a second by all proxies" in newest.reason


async def test_an_override_whose_endpoints_drain_is_revoked_and_no_class_is_without_endpoint(
    tmp_path: Path,
) -> None:
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        status, _ = await client.activate(only=FIRST_TWO)
        assert status == 200
        await proxy.until(lambda state: set(state.usable_weights(BOOK)) == set(FIRST_TWO))
        run.roster.update(w0="draining", w1="draining")
        remaining = {worker.id for worker in WORKERS[2:]}
        await proxy.until(lambda state: set(state.usable_weights(BOOK)) == remaining)
        assert "may be used any more" in run.logged("override.revoked")[0]["why"]
        run.roster.update(w0="ready", w1="ready")
        await proxy.until(lambda state: len(state.usable_weights(BOOK)) == 6)
    assert read_rejections(tmp_path / "store")[-1].source == "guard, lifting a pin"


async def test_an_override_survives_a_manager_restart_and_still_expires(tmp_path: Path) -> None:
    async with running_with_admin_api(tmp_path) as (run, client), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        status, _ = await client.activate(lasts=4.0, only=FIRST_TWO)
        assert status == 200
    async with running_with_admin_api(tmp_path) as (run, _), peer(run, "p0") as proxy:
        await proxy.until(lambda state: set(state.usable_weights(BOOK)) == set(FIRST_TWO))
        assert len(proxy.holdings.usable_weights(READ)) == 6
        await proxy.until(lambda state: len(state.usable_weights(BOOK)) == 6)
    assert run.manager.components.store is not None
    assert [fields["why"] for fields in run.logged("override.ended")] == ["expired"]


@pytest.mark.parametrize(
    ("text", "mode", "message"),
    [
        (TOKEN, 0o644, "chmod 600"),
        ("short", 0o600, "at least 16"),
        ("two words" * 3, 0o600, "one"),
        (None, 0, "cannot be read"),
    ],
)
def test_a_token_that_others_can_read_or_guess_is_rejected(
    tmp_path: Path, text: str | None, mode: int, message: str
) -> None:
    path = tmp_path / "token"
    if text is not None:
        path.write_text(text)
        path.chmod(mode)
    with pytest.raises(TokenFileError, match=message):
        read_token(path)


async def test_the_table_commands_activate_show_and_end_overrides(tmp_path: Path) -> None:
    def run_command(*arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["table", arguments[0], str(file), *arguments[1:]])
        return result.exit_code, result.output

    async with running_with_admin_api(tmp_path) as (run, _), peer(run, "p0") as proxy:
        await proxy.until(has_tables)
        file = tmp_path / "with-address.ini"
        text = (tmp_path / "manager.ini").read_text()
        address = "listen = {}:{}\nquiet".format(*run.manager.admin_address)
        file.write_text(text.replace("listen = 127.0.0.1:0\nquiet", address))
        weight = f"{FIRST_TWO[0]}=3"
        for arguments, expected_status, message in [
            (("propose", BOOK, "--only", FIRST_TWO[0], "--for", "5min"), 0, "would pass"),
            (("propose", BOOK, "--without", FIRST_TWO[0], "--for", "5"), 2, "with its unit"),
            (("pin", BOOK, "--weight", FIRST_TWO[0], "--for", "5s"), 2, "WORKER=WEIGHT"),
            (("pin", BOOK, "--weight", f"{FIRST_TWO[0]}=nan", "--for", "5s"), 1, "0 to a million"),
            (
                ("pin", BOOK, "--weight", weight, "--without", FIRST_TWO[1], "--for", "1min"),
                0,
                f"pinned {BOOK}",
            ),
            (("show", BOOK), 0, "pinned for"),
            (("show", "tea"), 1, "known are"),
            (("unpin", BOOK), 0, "ended the pin"),
            (("unpin", BOOK), 1, "no pin stands"),
        ]:
            status, output = await trio.to_thread.run_sync(run_command, *arguments)
            assert (status, message in output) == (expected_status, True), (arguments, output)
