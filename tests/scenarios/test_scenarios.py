"""Whole days through real sockets, judged from the stand-ins' records."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import pytest
import trio

from dunlinlug.audit import failure_verdicts, figures, records, rules
from dunlinlug.config import units
from dunlinlug.fleet.ownership import history
from dunlinlug.net import http
from dunlinlug.scenarios.runner import (
    MANAGER_COMMAND,
    AddressAllocator,
    ScenarioError,
    ScenarioRunner,
)
from dunlinlug.storage.store import read_rejections

DAYS = Path(__file__).parents[2] / "days"
TOKEN = "a-token-of-the-tests"
SHIPPED = sorted(path.stem for path in DAYS.glob("*.ini"))


async def play(
    day: Path, folder: Path, manager: Sequence[str] = MANAGER_COMMAND
) -> records.Records:
    await ScenarioRunner(day, folder, manager).run()
    return records.read_records(folder)


async def test_the_shipped_days_keep_the_rules(tmp_path: Path) -> None:
    """All at once: a busy machine is one more trouble."""
    found: dict[str, records.Records] = {}

    async def one(name: str) -> None:
        found[name] = await play(DAYS / f"{name}.ini", tmp_path / name)

    async with trio.open_nursery() as nursery:
        for name in SHIPPED:
            nursery.start_soon(one, name)
    assert {name: rules.find_violations(found[name]) for name in SHIPPED} == {
        name: [] for name in SHIPPED
    }
    for name in SHIPPED:
        sums = figures.summarize(found[name])
        assert sums.served_fraction > 0.3 and sum(sums.outcomes.values()) > 300, (name, sums)
    believed, struck = failure_verdicts.read_verdicts(tmp_path / "members")
    assert len(struck) == 4 and sum(fault.process_down for fault in struck) == 2
    assert not failure_verdicts.false_verdicts(believed, struck), (
        "words lost, doubled and late make no verdict"
    )
    seen = history.read_logs(tmp_path / "members")
    assert history.find_violations(seen) == [] and sum(one.done for one in seen) > 500, (
        "one owner at a time, by its carriers"
    )
    worked = [
        one for one in seen if one.task.startswith("exercise/")
    ]  # of others refusals alone are logged
    assert {one.owner for one in worked if one.done} == set("abc") and len(
        {one.task for one in worked}
    ) == 6
    # A member whose clocks run is seen to have failed in a second or so; here all days share the machine.
    assert not failure_verdicts.missed_failures(believed, struck, frozenset("abc"), 3.5)


# A day on which each broken way shows: a short grace, cold workers far below their size, an unrepeatable product,
# lost answers, a slow channel. The unbroken manager keeps the rules on it, with room: what a cold worker is brought
# within fall_after is a sum of many small txns, so that chance alone does not push it over.
CHANGES = (
    ("length = 12s", "length = 10s"),
    ("lines_per_s = 1200/s", "lines_per_s = 150/s"),
    ("bare = 4s", "bare = 1.5s"),
    ("drain_grace = 3s", "drain_grace = 1.2s"),
    ("cold_share = 30%", "cold_share = 5%"),
    ("cold_from = 30%\ncold = 5s", "cold_from = 5%\ncold = 20s"),
    ("warm_after = 6s", "warm_after = 21s"),
    ("fall_after = 2s", "fall_after = 1500ms"),
    ("repeats = referenced\ngroup = zone\nwindow = 1200ms", "repeats = non-idempotent"),
    ("txns_per_s = 40/s", "txns_per_s = 200/s"),
    ("work = 60ms", "work = 50ms"),
    (
        "part = 30%\nsize = 2",
        "part = 30%\nsize = 2\n\n[trouble lost]\nkind = answers_lost\nat = 1s\nlasts = 6s\n"
        "part = 30%",
    ),
)
GUARDED = (
    "",
    "ramp",
    "retries",
    "tables",
)  # what the guard must stop; it hears the list itself, not the module's lie
CAUGHT = {
    "": "",
    "withdrawals": "drain",
    "ramp": "pushed",
    "retries": "twice",
    "tables": "bare",
    "pace": "queue",
}


async def hard_days(
    folder: Path, guard: str, ways: Sequence[str], changes: Sequence[tuple[str, str]] = ()
) -> dict[str, set[str]]:
    """The rules broken on the hard day, by the way in which its manager is broken."""
    text = (DAYS / "first.ini").read_text() + f"\n[guard]\nmode = {guard}\n"
    for old, new in [*CHANGES, *changes]:
        assert old in text, old
        text = text.replace(old, new)
    (folder / "hard.ini").write_text(text)
    broken: dict[str, set[str]] = {}

    async def one(way: str) -> None:
        script = (sys.executable, str(Path(__file__).parent / "broken_manager.py"), way)
        found = await play(
            folder / "hard.ini", folder / f"way-{way}", script if way else MANAGER_COMMAND
        )
        broken[way] = {item.rule for item in rules.find_violations(found)}

    async with trio.open_nursery() as nursery:
        for way in ways:
            nursery.start_soon(one, way)
    return broken


async def test_a_manager_broken_on_purpose_is_caught(tmp_path: Path) -> None:
    broken = await hard_days(tmp_path, "off", list(CAUGHT))
    assert broken[""] == set()
    for way, rule in CAUGHT.items():
        assert not rule or rule in broken[way], (way, broken)


async def test_the_guard_stops_what_a_careless_module_orders(tmp_path: Path) -> None:
    """The same ways and the same day as above, but for the guard."""
    broken = await hard_days(tmp_path, "on", GUARDED)
    assert broken == dict.fromkeys(GUARDED, set())
    for way in GUARDED[1:]:
        said = read_rejections(tmp_path / f"way-{way}" / "store")
        assert CAUGHT[way] in {refusal.rule for refusal in said}, (way, said[:3])
        assert all(refusal.reason and refusal.remedy for refusal in said)


async def operate(place: str, seen: list[tuple[int, str]]) -> None:
    """An operator's slips all day: each worker that has come back a moment ago is to carry everything alone;
    and between them pins that are good."""
    client, known, chance = http.Client(*units.parse_address(place)), set[str](), Random(place)
    away = set[str]()

    async def say(method: str, path: str, body: object = None) -> Any:
        with trio.move_on_after(2.0):
            try:
                reply = await client.request(
                    method, path, {"authorization": f"Bearer {TOKEN}"}, json.dumps(body).encode()
                )
            except http.HttpError:
                return None  # before its start, or after its end
            if method == "PUT":
                seen.append((reply.status, reply.body.decode()))
            return json.loads(reply.body) if reply.status == 200 else None

    while True:
        await trio.sleep(0.1)
        shown = await say("GET", "/tables")
        ready = {
            line["worker"]
            for said in shown or ()
            for held in said["tables"]
            for line in held["lines"]
            if line["state"] == "ready"
        }
        known, fresh = known | ready, sorted(away & ready) if shown else []
        away = known - ready if shown else away
        for worker in fresh:
            for product in ("press-book", "ticket-read"):
                await say("PUT", "/pins", {"product": product, "lasts": 6, "only": [worker]})
        if ready and not fresh and chance.random() < 0.1:
            one = chance.choice(sorted(ready))
            await say("PUT", "/pins", {"product": "ticket-read", "lasts": 0.5, "without": [one]})


async def test_the_guard_stops_an_operators_slips_beside_a_careless_module(tmp_path: Path) -> None:
    """The hard day that `ramp` breaks with the guard off, above, and now pins of the cold as well."""
    seen, place, token = list[tuple[int, str]](), AddressAllocator().allocate(), tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    changes = [("[roster]", f"[operators]\ntoken_file = {token}\nlisten = {place}\n\n[roster]")]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operate, place, seen)
        assert await hard_days(tmp_path, "on", ["ramp"], changes) == {"ramp": set()}
        nursery.cancel_scope.cancel()
    assert {status for status, _ in seen} == {200, 409}
    assert all("would_pass" in body for status, body in seen if status == 409)
    said = read_rejections(tmp_path / "way-ramp" / "store")
    assert "operator" in {refusal.source for refusal in said}


async def test_a_day_whose_manager_cannot_start_fails_and_says_so(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match="manager ended during the day"):
        await play(DAYS / "first.ini", tmp_path, (sys.executable, "-c", "raise SystemExit(3)"))
    with pytest.raises(records.RecordError, match="cannot be judged"):
        records.read_records(tmp_path)
