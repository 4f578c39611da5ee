"""Records requests to the admin API, and the status and body of each response.

    python -m tests.recorded.record_operators

A manager is created from an INI file and its batches are run by hand, on a clock that moves only in
steps that say so. No socket is opened.
"""

import json
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import trio
from trio.testing import MockClock

from dunlinlug.admin import api
from dunlinlug.ads.main import Manager
from dunlinlug.config import manager_config
from dunlinlug.fleet.membership.messages import MemberStateChanged
from dunlinlug.fleet.ownership import log
from dunlinlug.fleet.ownership.messages import OwnershipChanged
from dunlinlug.net.http import Request
from dunlinlug.simulator import codec
from tests.recorded.plain import Plain, bytes_of, text_of, write_json

ANSWERS, TOKENS = "operators/answers.json", "operators/tokens.json"
WALL_TIME = 1_700_000_000.0  # seconds: the wall clock in the recorded data
TOKEN = "a-token-of-the-tests"
BOOK, READ = "press-book", "ticket-read"
WORKERS = [f"10.0.0.{n}:80" for n in range(6)]
COLD_WORKER = WORKERS[5]

SINGLE_MANAGER = """
[manager]
listen = 127.0.0.1:18000
store = STORE
zone = north
standing = 3

[channel]
lines_per_s = 1200/s
message_lines = 4
waiting_most = 2000
transit = 20ms
transit_most = 200ms
messages_most = 30

[duties]
bare = 4s
drain_grace = 3s
warm_after = 6s
cold_share = 30%
fall_multiple = 3
fall_after = 2s

[roster]
address = 127.0.0.1:18500
service = order-nodes

[operators]
token_file = TOKEN
longest = 1h

[product ticket-read]
sla = 800ms
deadline = 2s
revenue = 1
repeats = idempotent

[product press-book]
sla = 800ms
deadline = 2s
revenue = 5
repeats = non-idempotent
"""
FLEET_SECTIONS = """
[succession]
member = a
key_file = KEYS

[members]
me = a
key_file = KEYS

[owner]
on = yes

[member a]
serves = 127.0.0.1:18000
knows = 127.0.0.1:18100

[member b]
serves = 127.0.0.1:18010
knows = 127.0.0.1:18110
"""
GUARD_WATCHING = SINGLE_MANAGER + "\n[guard]\nmode = watch\n"


def _manager(text: str, folder: Path) -> Manager:
    token, keys, path = folder / "token", folder / "keys", folder / "manager.ini"
    token.write_text(TOKEN + "\n")
    keys.write_text("5a" * 32 + "\n")
    token.chmod(0o600)
    keys.chmod(0o600)
    for name, replacement in (("STORE", folder / "store"), ("= TOKEN", token), ("KEYS", keys)):
        text = text.replace(name, f"= {replacement}" if name.startswith("=") else str(replacement))
    path.write_text(text)
    return Manager(path, manager_config.load_manager_config(path), log_event=_discard_event)


def _listed_workers() -> list[Plain]:
    return [
        {
            "worker": name,
            "locality": ("north", "south")[n % 2],
            "state": "active",
            "weight": 1,
            "sinceUs": 99_000_000 if name == COLD_WORKER else None,
        }
        for n, name in enumerate(WORKERS)
    ]


def _fleet_events() -> list[Plain]:
    """Events of a manager with four proxies: endpoint list, connections, demand and reports."""
    connections = [
        {"verb": "Joined", "proxy": n, "locality": "north", "weight": 20.0, "yes": True}
        for n in range(4)
    ]
    traffic = [
        {
            "verb": "Traffic",
            "proxy": n,
            "service": name,
            "count": 10,
            "errors": 0,
            "windowUs": 10**6,
        }
        for n in range(4)
        for name in (READ, BOOK)
    ]
    reports = [
        {
            "verb": "TrafficReport",
            "locality": "north",
            "worker": name,
            "count": 16,
            "errors": 0,
            "costTimeUs": 100_000,
            "windowUs": 10**6,
        }
        for name in WORKERS
        if name != COLD_WORKER
    ]
    endpoint_list = {"verb": "Discovery", "form": "restored", "membersList": _listed_workers()}
    return [endpoint_list, *connections, *traffic, *reports]


def _join_fleet(manager: Manager, nursery: trio.Nursery) -> None:
    """Create the manager's part in its fleet, as at its start but without connections."""
    fleet = manager.create_fleet(nursery.start_soon)
    assert fleet.membership is not None and fleet.ownership is not None
    fleet.membership.recent_changes.append(
        (99.5, MemberStateChanged("b", "alive", "failed", "no answer"))
    )
    ownership = fleet.ownership
    assignment = log.Assign(((0, "a"), (1, "b"), (7, "b")), "b is new")
    for number, entry in enumerate((assignment, log.Revoke(((1, "a"),)))):
        for change in ownership.protocol.assignments.apply(entry, (3, number + 1)):
            ownership.recent_changes.append(
                (99.75, OwnershipChanged(change.shard, change.owner, change.token, change.reason))
            )
    shard = ownership.protocol.assignments.shard_of("pin/press-book")
    ownership.protocol.assignments.apply(log.Assign(((shard, "b"),), "moved"), (3, 9))
    checkpoint = ("pin/press-book", ownership.protocol.assignments.tokens[shard], b'{"a": 1}')
    ownership.protocol.assignments.apply(log.Checkpoint((checkpoint,)), (3, 10))


def _request_step(method: str, path: str, body: Any = None, token: str | None = TOKEN) -> Plain:
    return {"method": method, "path": path, "body": body, "token": token}


VALID_PIN: Plain = {"product": BOOK, "lasts": 9, "only": WORKERS[:2]}
FIRST_STEPS: list[Plain] = [
    _request_step("GET", "/health", token=None),
    _request_step("GET", "/tables"),
    {"hear": _fleet_events()},
    {"wait": 0.5},
    {"hear": [{"verb": "Receipt", "proxy": n, "gen": 1, "costTimeUs": 20000} for n in range(4)]},
    _request_step("GET", "/health", token=None),
    _request_step("GET", "/health", token="wrong"),
    _request_step("GET", "/tables"),
    _request_step("GET", f"/tables?product={BOOK}"),
    _request_step("GET", "/tables?product=press%2Dbook"),
    _request_step("GET", "/tables?product=tea"),
]
WRONG_TOKENS = [
    _request_step("GET", "/tables", token=None),
    _request_step("GET", "/tables", token="wrong"),
    _request_step("PUT", "/pins", VALID_PIN, token="wrong"),
]
UNKNOWN_PATHS = [
    _request_step("GET", "/"),
    _request_step("GET", "/nowhere"),
    _request_step("POST", "/tables"),
    _request_step("GET", "/pins"),
    _request_step("GET", "/pins/press-book"),
    _request_step("POST", "/health"),
    _request_step("GET", "/fleet"),
    _request_step("GET", "/members"),
    _request_step("GET", "/work"),
]
INVALID_PINS = [
    _request_step("PUT", "/pins", body)
    for body in (
        "{",
        "",
        "[]",
        '{"product": "x", "product": "y"}',
        {},
        {**VALID_PIN, "product": "tea"},
        {**VALID_PIN, "product": 7},
        {**VALID_PIN, "lasts": "9"},
        {**VALID_PIN, "lasts": True},
        {**VALID_PIN, "lasts": 0},
        {**VALID_PIN, "lasts": -1},
        {**VALID_PIN, "lasts": 1e9},
        {**VALID_PIN, "olny": []},
        {**VALID_PIN, "only": WORKERS[0]},
        {**VALID_PIN, "only": 5},
        {**VALID_PIN, "only": [7]},
        {**VALID_PIN, "only": []},
        {**VALID_PIN, "only": ["10.9.9.9:80"]},
        {**VALID_PIN, "only": [WORKERS[0], WORKERS[0]]},
        {**VALID_PIN, "without": WORKERS[:2]},
        {**VALID_PIN, "weights": {WORKERS[4]: 1}},
        {**VALID_PIN, "weights": [1]},
        {**VALID_PIN, "weights": {WORKERS[0]: "x"}},
        {**VALID_PIN, "weights": {WORKERS[0]: -1}},
        {**VALID_PIN, "weights": {WORKERS[0]: 2e6}},
        '{"product": "press-book", "lasts": 9, "weights": {"10.0.0.0:80": NaN}}',
        {"product": BOOK, "only": WORKERS[:2]},
        {"product": BOOK, "lasts": 9, "weights": {WORKERS[0]: 1}, "without": [WORKERS[0]]},
    )
]
PINS = [
    _request_step("POST", "/pins/propose", VALID_PIN),
    _request_step("POST", "/pins/propose", {**VALID_PIN, "only": [COLD_WORKER]}),
    _request_step(
        "POST", "/pins/propose", {"product": READ, "lasts": 5, "weights": {WORKERS[0]: 30}}
    ),
    _request_step("POST", "/pins/propose", {**VALID_PIN, "only": [WORKERS[1]]}),
    _request_step(
        "POST", "/pins/propose", {"product": READ, "lasts": 5, "weights": {COLD_WORKER: 100}}
    ),
    _request_step("PUT", "/pins", {"product": READ, "lasts": 5, "weights": {COLD_WORKER: 100}}),
    _request_step("PUT", "/pins", {**VALID_PIN, "only": [COLD_WORKER]}),
    _request_step("PUT", "/pins", {"product": BOOK, "lasts": 9, "without": WORKERS}),
    _request_step("PUT", "/pins", VALID_PIN),
    _request_step("PUT", "/pins", {"product": READ, "lasts": 1.5, "weights": {WORKERS[0]: 2}}),
    {"wait": 0.25},
    _request_step("GET", "/tables"),
    {"wait": 0.25},
    _request_step("GET", f"/tables?product={BOOK}"),
    _request_step("GET", "/health", token=None),
    _request_step("DELETE", "/pins/press-book"),
    _request_step("DELETE", "/pins/press-book"),
    _request_step("DELETE", "/pins/tea"),
    {"wait": 2.0},
    _request_step("GET", f"/tables?product={READ}"),
]
IN_A_FLEET = [
    _request_step("GET", "/health", token=None),
    _request_step("GET", "/tables"),
    _request_step("PUT", "/pins", VALID_PIN),
    _request_step("GET", "/fleet"),
    _request_step("POST", "/fleet"),
    _request_step("POST", "/fleet/hand-over", {"to": "c"}),
    _request_step("POST", "/fleet/hand-over", {"to": 7}),
    _request_step("POST", "/fleet/hand-over", "{"),
    _request_step("POST", "/fleet/hand-over", '{"to": "a", "to": "b"}'),
    _request_step("PUT", "/fleet/members/c"),
    _request_step("PUT", "/fleet/members/b"),
    _request_step("DELETE", "/fleet/members/b"),
    _request_step("GET", "/fleet/members/b"),
    _request_step("GET", "/members"),
    _request_step("POST", "/members"),
    _request_step("PUT", "/members/bars/c"),
    _request_step("PUT", "/members/bars/a"),
    _request_step("DELETE", "/members/bars/b"),
    _request_step("GET", "/work"),
    _request_step("PUT", "/work"),
    _request_step("POST", "/work/pin%2Fpress-book", {"to": "b"}),
    _request_step("POST", "/work/pin%2Fpress-book", {"two": "b"}),
    _request_step("GET", "/fleet", token="wrong"),
]
RUNS: dict[str, tuple[str, list[Plain]]] = {
    "alone": (SINGLE_MANAGER, [*FIRST_STEPS, *WRONG_TOKENS, *UNKNOWN_PATHS, *INVALID_PINS, *PINS]),
    "watched": (GUARD_WATCHING, [*FIRST_STEPS[:5], *PINS]),
    "member": (SINGLE_MANAGER + FLEET_SECTIONS, IN_A_FLEET),
}


def _request(step: Plain) -> Request:
    path, _, query = step["path"].partition("?")
    named = dict(pair.split("=", 1) for pair in query.split("&") if pair)
    headers = {} if step["token"] is None else {"authorization": f"Bearer {step['token']}"}
    return Request(step["method"], path, named, headers, bytes_of(step["body"]))


async def _responses(manager: Manager, steps: list[Plain], clock: MockClock) -> list[Plain | None]:
    assert manager.admin_api is not None
    responses = list[Plain | None]()
    for step in steps:
        if "wait" in step:
            clock.jump(step["wait"])
            manager.admin_api.overrides.end_invalid(trio.current_time(), [])
        for body in step.get("hear", ()):
            manager.components.loop.submit(codec.read_event(body["verb"], body, ()))
            if body["verb"] == "Joined":
                manager.components.installer.add_proxy(body["proxy"], body["proxy"] == 0, ())
        if "method" not in step:
            manager.components.loop.run_batch(trio.current_time())
            responses.append(None)
            continue
        response = await manager.admin_api.handle(_request(step))
        responses.append(
            {
                "status": response.status,
                "content-type": response.headers["content-type"],
                "body": text_of(response.body),
            }
        )
        manager.components.loop.run_batch(trio.current_time())
    return responses


def run_steps(name: str, steps: list[Plain], folder: Path) -> Plain:
    """The responses of one manager (None for steps without a request), and the overrides stored."""
    text = RUNS[name][0]
    clock = MockClock()
    clock.jump(100.0)

    async def run() -> Plain:
        async with trio.open_nursery() as nursery:
            manager = _manager(text, folder)
            if manager.config.section(manager_config.ElectionConfig).member:
                _join_fleet(manager, nursery)
            responses = await _responses(manager, steps, clock)
            pins = [override.to_plain() for override in manager.components.store.overrides()]
            manager.components.store.close()
            nursery.cancel_scope.cancel()
        return {"answers": responses, "pins": pins}

    with mock.patch("time.time", lambda: WALL_TIME):
        found: Plain = trio.run(run, clock=clock)
    return found


def _discard_event(event: str, **fields: Any) -> None:
    """Discard a log event: the log is not recorded."""


TOKEN_FILES: list[tuple[str | None, int]] = [
    (TOKEN, 0o600),
    (f"  {TOKEN}\n\n", 0o400),
    (TOKEN, 0o640),
    (TOKEN, 0o604),
    ("short", 0o600),
    ("two words of a token", 0o600),
    ("t\u00f6ken-of-the-tests", 0o600),
    ("", 0o600),
    (None, 0),
]


def token(text: str | None, mode: int, folder: Path) -> Plain:
    """The token in a file, or the error, with FILE for the file's path."""
    path = folder / "a-token"
    path.unlink(missing_ok=True)
    if text is not None:
        path.write_text(text, encoding="utf-8")
        path.chmod(mode)
    try:
        return {"token": api.read_token(path)}
    except api.TokenFileError as error:
        return {"fault": str(error).replace(str(path), "FILE")}


def _in_temporary_folder(run: Callable[[Path], Any]) -> Any:
    with TemporaryDirectory() as name:
        return run(Path(name))


def _with_text_bodies(steps: list[Plain]) -> list[Plain]:
    """The steps, with the bodies of requests as text."""
    return [{**step, "body": _body(step["body"])} if "method" in step else step for step in steps]


def _body(body: Any) -> str:
    if body is None:
        return ""
    return body if isinstance(body, str) else json.dumps(body)


def main() -> None:
    runs = {}
    for name, (_, steps) in RUNS.items():
        steps_as_text = _with_text_bodies(steps)
        runs[name] = {
            "steps": steps_as_text,
            "got": _in_temporary_folder(
                lambda folder, name=name, steps_as_text=steps_as_text: run_steps(
                    name, steps_as_text, folder
                )
            ),
        }
    write_json(ANSWERS, runs)
    write_json(
        TOKENS,
        _in_temporary_folder(
            lambda folder: [
                {"text": text, "mode": mode, "got": token(text, mode, folder)}
                for text, mode in TOKEN_FILES
            ]
        ),
    )


if __name__ == "__main__":
    main()
