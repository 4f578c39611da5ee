"""Whole scenarios through real sockets, judged by the records of the stand-ins."""

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

SCENARIOS = Path(__file__).parents[2] / "days"
TOKEN = "a-token-of-the-tests"
SHIPPED = sorted(path.stem for path in SCENARIOS.glob("*.ini"))


async def play(
    scenario_file: Path, folder: Path, manager: Sequence[str] = MANAGER_COMMAND
) -> records.Records:
    await ScenarioRunner(scenario_file, folder, manager).run()
    return records.read_records(folder)


async def test_the_shipped_scenarios_keep_the_rules(tmp_path: Path) -> None:
    """All at once: a busy machine is one more fault."""
    records_by_name: dict[str, records.Records] = {}

    async def play_one(name: str) -> None:
        records_by_name[name] = await play(SCENARIOS / f"{name}.ini", tmp_path / name)

    async with trio.open_nursery() as nursery:
        for name in SHIPPED:
            nursery.start_soon(play_one, name)
    violations = {name: rules.find_violations(records_by_name[name]) for name in SHIPPED}
    assert violations == {name: [] for name in SHIPPED}
    for name in SHIPPED:
        summary = figures.summarize(records_by_name[name])
        assert summary.served_fraction > 0.3, (name, summary)
        assert sum(summary.outcomes.values()) > 300, (name, summary)

    verdicts, faults = failure_verdicts.read_verdicts(tmp_path / "members")
    assert len(faults) == 4
    assert sum(fault.process_down for fault in faults) == 2
    assert not failure_verdicts.false_verdicts(verdicts, faults), (
        "lost, duplicated and late messages cause no verdict"
    )
    # A member whose clocks run is found to have failed in about a second; here all scenarios share
    # the machine.
    assert not failure_verdicts.missed_failures(verdicts, faults, frozenset("abc"), 3.5)

    observations = history.read_logs(tmp_path / "members")
    assert history.find_violations(observations) == [], "one owner at a time"
    assert sum(observation.done for observation in observations) > 500
    # Of other tasks rejections alone are logged.
    exercises = [one for one in observations if one.task.startswith("exercise/")]
    assert {one.owner for one in exercises if one.done} == set("abc")
    assert len({one.task for one in exercises}) == 6


# Changes that make a scenario in which each broken manager shows: a short grace period, warming
# endpoints far below their capacity, requests that may not run again, lost answers, a slow channel.
# The sound manager keeps the rules in it with room: what a warming endpoint is sent within
# fall_after is a sum of many small requests, so that chance alone does not overload it.
HARD_CHANGES = (
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
# The rule that each fault of `broken_manager.py` breaks; the sound manager has an empty name.
RULE_BY_FAULT = {
    "": "",
    "withdrawals": "drain",
    "ramp": "pushed",
    "retries": "twice",
    "tables": "bare",
    "pace": "queue",
}
# The faults that the guard must stop: it gets the endpoint list itself, not the module's false one.
GUARDED_FAULTS = ("", "ramp", "retries", "tables")


async def play_hard_scenario(
    folder: Path, guard: str, faults: Sequence[str], changes: Sequence[tuple[str, str]] = ()
) -> dict[str, set[str]]:
    """The rules broken in the hard scenario, by the fault of its manager."""
    text = (SCENARIOS / "first.ini").read_text() + f"\n[guard]\nmode = {guard}\n"
    for old, new in [*HARD_CHANGES, *changes]:
        assert old in text, old
        text = text.replace(old, new)
    scenario_file = folder / "hard.ini"
    scenario_file.write_text(text)
    broken_rules: dict[str, set[str]] = {}

    async def play_one(fault: str) -> None:
        script = str(Path(__file__).parent / "broken_manager.py")
        command = (sys.executable, script, fault) if fault else MANAGER_COMMAND
        scenario_records = await play(scenario_file, folder / f"way-{fault}", command)
        violations = rules.find_violations(scenario_records)
        broken_rules[fault] = {violation.rule for violation in violations}

    async with trio.open_nursery() as nursery:
        for fault in faults:
            nursery.start_soon(play_one, fault)
    return broken_rules


async def test_each_fault_of_a_broken_manager_is_found(tmp_path: Path) -> None:
    broken_rules = await play_hard_scenario(tmp_path, "off", list(RULE_BY_FAULT))
    assert broken_rules[""] == set()
    for fault, rule in RULE_BY_FAULT.items():
        assert not rule or rule in broken_rules[fault], (fault, broken_rules)


async def test_the_guard_stops_what_a_careless_module_orders(tmp_path: Path) -> None:
    """The same faults and the same scenario as above, but for the guard."""
    broken_rules = await play_hard_scenario(tmp_path, "on", GUARDED_FAULTS)
    assert broken_rules == dict.fromkeys(GUARDED_FAULTS, set())
    for fault in GUARDED_FAULTS[1:]:
        rejections = read_rejections(tmp_path / f"way-{fault}" / "store")
        rejected_rules = {rejection.rule for rejection in rejections}
        assert RULE_BY_FAULT[fault] in rejected_rules, (fault, rejections[:3])
        assert all(rejection.reason and rejection.remedy for rejection in rejections)


class CarelessOperator:
    """Overrides traffic classes to each endpoint that has just come back, and now and then well.

    `answers` has the status and body of each answer to an override.
    """

    def __init__(self, address: str) -> None:
        self.client = http.Client(*units.parse_address(address))
        self.rng = Random(address)
        self.answers = list[tuple[int, str]]()

    async def send(self, method: str, path: str, payload: object = None) -> Any:
        """The answer's JSON; None without one, as before the manager's start or after its end."""
        headers = {"authorization": f"Bearer {TOKEN}"}
        with trio.move_on_after(2.0):
            try:
                response = await self.client.request(
                    method, path, headers, json.dumps(payload).encode()
                )
            except http.HttpError:
                return None
            if method == "PUT":
                self.answers.append((response.status, response.body.decode()))
            return json.loads(response.body) if response.status == 200 else None

    async def ready_workers(self) -> set[str] | None:
        """The ready endpoints of the tables in use; None if the manager does not answer."""
        traffic_classes = await self.send("GET", "/tables")
        if traffic_classes is None:
            return None
        return {
            line["worker"]
            for traffic_class in traffic_classes
            for table in traffic_class["tables"]
            for line in table["lines"]
            if line["state"] == "ready"
        }

    async def run(self) -> None:
        known = set[str]()
        away = set[str]()
        while True:
            await trio.sleep(0.1)
            ready = await self.ready_workers()
            if ready is None:
                continue
            returned = sorted(away & ready)
            known |= ready
            away = known - ready
            for worker in returned:
                for product in ("press-book", "ticket-read"):
                    payload = {"product": product, "lasts": 6, "only": [worker]}
                    await self.send("PUT", "/pins", payload)
            if ready and not returned and self.rng.random() < 0.1:
                excluded = self.rng.choice(sorted(ready))
                payload = {"product": "ticket-read", "lasts": 0.5, "without": [excluded]}
                await self.send("PUT", "/pins", payload)


async def test_the_guard_stops_a_careless_operator_beside_a_careless_module(
    tmp_path: Path,
) -> None:
    """The scenario that `ramp` breaks with the guard off, and overrides to warming endpoints."""
    address = AddressAllocator().allocate()
    operator = CarelessOperator(address)
    token = tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    changes = [("[roster]", f"[operators]\ntoken_file = {token}\nlisten = {address}\n\n[roster]")]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operator.run)
        broken_rules = await play_hard_scenario(tmp_path, "on", ["ramp"], changes)
        nursery.cancel_scope.cancel()
    assert broken_rules == {"ramp": set()}
    assert {status for status, _ in operator.answers} == {200, 409}
    assert all("would_pass" in body for status, body in operator.answers if status == 409)
    rejections = read_rejections(tmp_path / "way-ramp" / "store")
    assert "operator" in {rejection.source for rejection in rejections}


async def test_a_scenario_whose_manager_does_not_start_fails_and_says_so(tmp_path: Path) -> None:
    command = (sys.executable, "-c", "raise SystemExit(3)")
    with pytest.raises(ScenarioError, match="manager ended during the scenario"):
        await play(SCENARIOS / "first.ini", tmp_path, command)
    with pytest.raises(records.RecordError, match="cannot be audited"):
        records.read_records(tmp_path)
