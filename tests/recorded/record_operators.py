"""Record the operators' endpoint: requests, and the status and body of each answer.

python -m tests.recorded.record_operators

A manager is put together from an INI file and its loop is turned by hand, on a clock that moves
only where a step says so. Nothing is served and no socket is opened.
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
WALL = 1_700_000_000.0  # seconds: the wall clock as recorded
TOKEN = "a-token-of-the-tests"
BOOK, READ = "press-book", "ticket-read"
WORKERS = [f"10.0.0.{n}:80" for n in range(6)]
COLD = WORKERS[5]

ALONE = """
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
MEMBER = """
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
WATCHED = ALONE + "\n[guard]\nmode = watch\n"


def _manager(text: str, folder: Path) -> Manager:
    token, keys, path = folder / "token", folder / "keys", folder / "manager.ini"
    token.write_text(TOKEN + "\n")
    keys.write_text("5a" * 32 + "\n")
    token.chmod(0o600)
    keys.chmod(0o600)
    for name, place in (("STORE", folder / "store"), ("= TOKEN", token), ("KEYS", keys)):
        text = text.replace(name, f"= {place}" if name.startswith("=") else str(place))
    path.write_text(text)
    return Manager(path, manager_config.load_manager_config(path), log_event=_unheard)


def _rows() -> list[Plain]:
    return [
        {
            "worker": name,
            "locality": ("north", "south")[n % 2],
            "state": "active",
            "weight": 1,
            "sinceUs": 99_000_000 if name == COLD else None,
        }
        for n, name in enumerate(WORKERS)
    ]


def _fleet() -> list[Plain]:
    """What a manager of four proxies has heard: the list, their joining, their demand, and what
    workers settled.
    """
    joined = [
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
    met = [
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
        if name != COLD
    ]
    listed = {"verb": "Discovery", "form": "restored", "membersList": _rows()}
    return [listed, *joined, *traffic, *met]


def _stand_among_others(manager: Manager, nursery: trio.Nursery) -> None:
    """As when the manager runs, but that nothing is dialled or served."""
    fleet = manager.create_fleet(nursery.start_soon)
    assert fleet.membership is not None and fleet.ownership is not None
    fleet.membership.recent_changes.append(
        (99.5, MemberStateChanged("b", "alive", "failed", "no answer"))
    )
    owners = fleet.ownership
    owned = log.Assign(((0, "a"), (1, "b"), (7, "b")), "b is new")
    for number, said in enumerate((owned, log.Revoke(((1, "a"),)))):
        for change in owners.protocol.assignments.apply(said, (3, number + 1)):
            owners.recent_changes.append(
                (99.75, OwnershipChanged(change.shard, change.owner, change.token, change.reason))
            )
    slot = owners.protocol.assignments.shard_of("pin/press-book")
    owners.protocol.assignments.apply(log.Assign(((slot, "b"),), "moved"), (3, 9))
    noted = ("pin/press-book", owners.protocol.assignments.tokens[slot], b'{"a": 1}')
    owners.protocol.assignments.apply(log.Checkpoint((noted,)), (3, 10))


def _ask(method: str, path: str, body: Any = None, token: str | None = TOKEN) -> Plain:
    return {"method": method, "path": path, "body": body, "token": token}


GOOD: Plain = {"product": BOOK, "lasts": 9, "only": WORKERS[:2]}
FIRST_STEPS: list[Plain] = [
    _ask("GET", "/health", token=None),
    _ask("GET", "/tables"),
    {"hear": _fleet()},
    {"wait": 0.5},
    {"hear": [{"verb": "Receipt", "proxy": n, "gen": 1, "costTimeUs": 20000} for n in range(4)]},
    _ask("GET", "/health", token=None),
    _ask("GET", "/health", token="wrong"),
    _ask("GET", "/tables"),
    _ask("GET", f"/tables?product={BOOK}"),
    _ask("GET", "/tables?product=press%2Dbook"),
    _ask("GET", "/tables?product=tea"),
]
TOKENS_WRONG = [
    _ask("GET", "/tables", token=None),
    _ask("GET", "/tables", token="wrong"),
    _ask("PUT", "/pins", GOOD, token="wrong"),
]
NOWHERE = [
    _ask("GET", "/"),
    _ask("GET", "/nowhere"),
    _ask("POST", "/tables"),
    _ask("GET", "/pins"),
    _ask("GET", "/pins/press-book"),
    _ask("POST", "/health"),
    _ask("GET", "/fleet"),
    _ask("GET", "/members"),
    _ask("GET", "/work"),
]
BAD_PINS = [
    _ask("PUT", "/pins", body)
    for body in (
        "{",
        "",
        "[]",
        '{"product": "x", "product": "y"}',
        {},
        {**GOOD, "product": "tea"},
        {**GOOD, "product": 7},
        {**GOOD, "lasts": "9"},
        {**GOOD, "lasts": True},
        {**GOOD, "lasts": 0},
        {**GOOD, "lasts": -1},
        {**GOOD, "lasts": 1e9},
        {**GOOD, "olny": []},
        {**GOOD, "only": WORKERS[0]},
        {**GOOD, "only": 5},
        {**GOOD, "only": [7]},
        {**GOOD, "only": []},
        {**GOOD, "only": ["10.9.9.9:80"]},
        {**GOOD, "only": [WORKERS[0], WORKERS[0]]},
        {**GOOD, "without": WORKERS[:2]},
        {**GOOD, "weights": {WORKERS[4]: 1}},
        {**GOOD, "weights": [1]},
        {**GOOD, "weights": {WORKERS[0]: "x"}},
        {**GOOD, "weights": {WORKERS[0]: -1}},
        {**GOOD, "weights": {WORKERS[0]: 2e6}},
        '{"product": "press-book", "lasts": 9, "weights": {"10.0.0.0:80": NaN}}',
        {"product": BOOK, "only": WORKERS[:2]},
        {"product": BOOK, "lasts": 9, "weights": {WORKERS[0]: 1}, "without": [WORKERS[0]]},
    )
]
PINS = [
    _ask("POST", "/pins/propose", GOOD),
    _ask("POST", "/pins/propose", {**GOOD, "only": [COLD]}),
    _ask("POST", "/pins/propose", {"product": READ, "lasts": 5, "weights": {WORKERS[0]: 30}}),
    _ask("POST", "/pins/propose", {**GOOD, "only": [WORKERS[1]]}),
    _ask("POST", "/pins/propose", {"product": READ, "lasts": 5, "weights": {COLD: 100}}),
    _ask("PUT", "/pins", {"product": READ, "lasts": 5, "weights": {COLD: 100}}),
    _ask("PUT", "/pins", {**GOOD, "only": [COLD]}),
    _ask("PUT", "/pins", {"product": BOOK, "lasts": 9, "without": WORKERS}),
    _ask("PUT", "/pins", GOOD),
    _ask("PUT", "/pins", {"product": READ, "lasts": 1.5, "weights": {WORKERS[0]: 2}}),
    {"wait": 0.25},
    _ask("GET", "/tables"),
    {"wait": 0.25},
    _ask("GET", f"/tables?product={BOOK}"),
    _ask("GET", "/health", token=None),
    _ask("DELETE", "/pins/press-book"),
    _ask("DELETE", "/pins/press-book"),
    _ask("DELETE", "/pins/tea"),
    {"wait": 2.0},
    _ask("GET", f"/tables?product={READ}"),
]
AMONG_OTHERS = [
    _ask("GET", "/health", token=None),
    _ask("GET", "/tables"),
    _ask("PUT", "/pins", GOOD),
    _ask("GET", "/fleet"),
    _ask("POST", "/fleet"),
    _ask("POST", "/fleet/hand-over", {"to": "c"}),
    _ask("POST", "/fleet/hand-over", {"to": 7}),
    _ask("POST", "/fleet/hand-over", "{"),
    _ask("POST", "/fleet/hand-over", '{"to": "a", "to": "b"}'),
    _ask("PUT", "/fleet/members/c"),
    _ask("PUT", "/fleet/members/b"),
    _ask("DELETE", "/fleet/members/b"),
    _ask("GET", "/fleet/members/b"),
    _ask("GET", "/members"),
    _ask("POST", "/members"),
    _ask("PUT", "/members/bars/c"),
    _ask("PUT", "/members/bars/a"),
    _ask("DELETE", "/members/bars/b"),
    _ask("GET", "/work"),
    _ask("PUT", "/work"),
    _ask("POST", "/work/pin%2Fpress-book", {"to": "b"}),
    _ask("POST", "/work/pin%2Fpress-book", {"two": "b"}),
    _ask("GET", "/fleet", token="wrong"),
]
PLAYS: dict[str, tuple[str, list[Plain]]] = {
    "alone": (ALONE, [*FIRST_STEPS, *TOKENS_WRONG, *NOWHERE, *BAD_PINS, *PINS]),
    "watched": (WATCHED, [*FIRST_STEPS[:5], *PINS]),
    "member": (ALONE + MEMBER, AMONG_OTHERS),
}


def _request(said: Plain) -> Request:
    path, _, query = said["path"].partition("?")
    named = dict(pair.split("=", 1) for pair in query.split("&") if pair)
    headers = {} if said["token"] is None else {"authorization": f"Bearer {said['token']}"}
    return Request(said["method"], path, named, headers, bytes_of(said["body"]))


async def _answers(manager: Manager, steps: list[Plain], clock: MockClock) -> list[Plain | None]:
    assert manager.admin_api is not None
    answers = list[Plain | None]()
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
            answers.append(None)
            continue
        reply = await manager.admin_api.handle(_request(step))
        answers.append(
            {
                "status": reply.status,
                "content-type": reply.headers["content-type"],
                "body": text_of(reply.body),
            }
        )
        manager.components.loop.run_batch(trio.current_time())
    return answers


def play(name: str, steps: list[Plain], folder: Path) -> Plain:
    """All answers of one manager, none to steps that ask nothing, and the pins that its store has
    at the end.
    """
    text = PLAYS[name][0]
    clock = MockClock()
    clock.jump(100.0)

    async def whole() -> Plain:
        async with trio.open_nursery() as nursery:
            manager = _manager(text, folder)
            if manager.config.section(manager_config.ElectionConfig).member:
                _stand_among_others(manager, nursery)
            answers = await _answers(manager, steps, clock)
            pins = [one.to_plain() for one in manager.components.store.overrides()]
            manager.components.store.close()
            nursery.cancel_scope.cancel()
        return {"answers": answers, "pins": pins}

    with mock.patch("time.time", lambda: WALL):
        found: Plain = trio.run(whole, clock=clock)
    return found


def _unheard(event: str, **said: Any) -> None:
    """The log is not recorded."""


TOKENS_IN: list[tuple[str | None, int]] = [
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
    """What a token's file gives; its name is written as FILE."""
    path = folder / "a-token"
    path.unlink(missing_ok=True)
    if text is not None:
        path.write_text(text, encoding="utf-8")
        path.chmod(mode)
    try:
        return {"token": api.read_token(path)}
    except api.TokenFileError as fault:
        return {"fault": str(fault).replace(str(path), "FILE")}


def _in_folder(run: Callable[[Path], Any]) -> Any:
    with TemporaryDirectory() as name:
        return run(Path(name))


def _as_text(steps: list[Plain]) -> list[Plain]:
    """The steps with their requests' bodies as they are sent."""
    return [{**step, "body": _body(step["body"])} if "method" in step else step for step in steps]


def _body(body: Any) -> str:
    if body is None:
        return ""
    return body if isinstance(body, str) else json.dumps(body)


def main() -> None:
    plays = {}
    for name, (_, steps) in PLAYS.items():
        said = _as_text(steps)
        plays[name] = {
            "steps": said,
            "got": _in_folder(lambda folder, name=name, said=said: play(name, said, folder)),
        }
    write_json(ANSWERS, plays)
    write_json(
        TOKENS,
        _in_folder(
            lambda folder: [
                {"text": text, "mode": mode, "got": token(text, mode, folder)}
                for text, mode in TOKENS_IN
            ]
        ),
    )


if __name__ == "__main__":
    main()
