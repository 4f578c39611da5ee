"""Complete scenarios over real sockets, checked by the audit of the stand-ins' records."""

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
SHIPPED_NAMES = sorted(path.stem for path in SCENARIOS.glob("*.ini"))


async def run_scenario(
    scenario_file: Path, folder: Path, manager: Sequence[str] = MANAGER_COMMAND
) -> records.Records:
    await ScenarioRunner(scenario_file, folder, manager).run()
    return records.read_records(folder)


async def test_the_shipped_scenarios_keep_the_rules(tmp_path: Path) -> None:
    """All scenarios run at the same time: the busy machine delays their processes."""
    records_by_name: dict[str, records.Records] = {}

    async def run_one(name: str) -> None:
        records_by_name[name] = await run_scenario(SCENARIOS / f"{name}.ini", tmp_path / name)

    async with trio.open_nursery() as nursery:
        for name in SHIPPED_NAMES:
            nursery.start_soon(run_one, name)
    violations = {name: rules.find_violations(records_by_name[name]) for name in SHIPPED_NAMES}
    assert violations == {name: [] for name in SHIPPED_NAMES}
    for name in SHIPPED_NAMES:
        summary = figures.summarize(records_by_name[name])
        assert summary.served_fraction > 0.3, (name, summary)
        assert sum(summary.outcomes.values()) > 300, (name, summary)

    verdicts, faults = failure_verdicts.read_verdicts(tmp_path / "members")
    assert len(faults) == 4
    assert sum(fault.process_down for fault in faults) == 2
    assert not failure_verdicts.false_verdicts(verdicts, faults), (
        "lost, duplicated and delayed messages cause no verdict"
    )
    # A running member detects the failure of another in about 1 s. The limit is 3.5 s because all
    # scenarios share the machine.
    assert not failure_verdicts.missed_failures(verdicts, faults, frozenset("abc"), 3.5)

    observations = history.read_logs(tmp_path / "members")
    assert history.find_violations(observations) == [], "each task has one owner at a time"
    assert sum(observation.done for observation in observations) > 500
    # For other tasks, only rejections are logged.
    exercises = [
        observation for observation in observations if observation.task.startswith("exercise/")
    ]
    assert {observation.owner for observation in exercises if observation.done} == set("abc")
    assert len({observation.task for observation in exercises}) == 6


# Changes to the first scenario under which each fault of a broken manager breaks its rule: a short
# drain grace period, warming endpoints far below their capacity, non-idempotent requests, lost
# answers, a slow channel. The correct manager keeps the rules with a margin: the work that a
# warming endpoint receives within fall_after is the sum of many small requests, so that random
# variation alone does not overload it.
HARD_SCENARIO_CHANGES = (
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
# The rule that each fault of `broken_manager.py` breaks; the empty name is the correct manager.
RULE_BY_FAULT = {
    "": "",
    "withdrawals": "drain",
    "ramp": "pushed",
    "retries": "twice",
    "tables": "bare",
    "pace": "queue",
}
# The faults that the guard must stop. It receives the true endpoint list, not the altered one.
GUARDED_FAULTS = ("", "ramp", "retries", "tables")


async def run_hard_scenario(
    folder: Path, guard: str, faults: Sequence[str], changes: Sequence[tuple[str, str]] = ()
) -> dict[str, set[str]]:
    """Run the hard scenario with each fault; return the rules that it broke, by fault."""
    text = (SCENARIOS / "first.ini").read_text() + f"\n[guard]\nmode = {guard}\n"
    for old, new in [*HARD_SCENARIO_CHANGES, *changes]:
        assert old in text, old
        text = text.replace(old, new)
    scenario_file = folder / "hard.ini"
    scenario_file.write_text(text)
    broken_rules: dict[str, set[str]] = {}

    async def run_one(fault: str) -> None:
        script = str(Path(__file__).parent / "broken_manager.py")
        command = (sys.executable, script, fault) if fault else MANAGER_COMMAND
        scenario_records = await run_scenario(scenario_file, folder / f"run-{fault}", command)
        violations = rules.find_violations(scenario_records)
        broken_rules[fault] = {violation.rule for violation in violations}

    async with trio.open_nursery() as nursery:
        for fault in faults:
            nursery.start_soon(run_one, fault)
    return broken_rules


async def test_each_fault_of_a_broken_manager_is_found(tmp_path: Path) -> None:
    broken_rules = await run_hard_scenario(tmp_path, "off", list(RULE_BY_FAULT))
    assert broken_rules[""] == set()
    for fault, rule in RULE_BY_FAULT.items():
        assert not rule or rule in broken_rules[fault], (fault, broken_rules)


async def test_the_guard_rejects_the_orders_of_a_faulty_module(tmp_path: Path) -> None:
    """The same scenario and faults as with the guard off, where each breaks its rule."""
    broken_rules = await run_hard_scenario(tmp_path, "on", GUARDED_FAULTS)
    assert broken_rules == dict.fromkeys(GUARDED_FAULTS, set())
    for fault in GUARDED_FAULTS[1:]:
        rejections = read_rejections(tmp_path / f"run-{fault}" / "store")
        rejected_rules = {rejection.rule for rejection in rejections}
        assert RULE_BY_FAULT[fault] in rejected_rules, (fault, rejections[:3])
        assert all(rejection.reason and rejection.remedy for rejection in rejections)


class OverridingOperator:
    """Routes traffic classes to each endpoint alone that is ready again, which overloads it.

    At random times it excludes one ready endpoint, which is harmless. `answers` has the status and
    body of each answer to an override.
    """

    def __init__(self, address: str) -> None:
        self.client = http.Client(*units.parse_address(address))
        self.rng = Random(address)
        self.answers = list[tuple[int, str]]()

    async def send(self, method: str, path: str, payload: object = None) -> Any:
        """Return the answer's JSON; None if there is none, as when the manager is not running."""
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
        """Return the ready endpoints of the tables in use; None if the manager does not answer."""
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
        seen_ready = set[str]()
        missing = set[str]()
        while True:
            await trio.sleep(0.1)
            ready = await self.ready_workers()
            if ready is None:
                continue
            returned = sorted(missing & ready)
            seen_ready |= ready
            missing = seen_ready - ready
            for worker in returned:
                for product in ("press-book", "ticket-read"):
                    payload = {"product": product, "lasts": 6, "only": [worker]}
                    await self.send("PUT", "/pins", payload)
            if ready and not returned and self.rng.random() < 0.1:
                excluded = self.rng.choice(sorted(ready))
                payload = {"product": "ticket-read", "lasts": 0.5, "without": [excluded]}
                await self.send("PUT", "/pins", payload)


async def test_the_guard_rejects_overrides_that_overload_warming_endpoints_under_a_faulty_module(
    tmp_path: Path,
) -> None:
    """The module has the fault `ramp`; the overrides send a class to a warming endpoint alone."""
    address = AddressAllocator().allocate()
    operator = OverridingOperator(address)
    token = tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    changes = [("[roster]", f"[operators]\ntoken_file = {token}\nlisten = {address}\n\n[roster]")]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(operator.run)
        broken_rules = await run_hard_scenario(tmp_path, "on", ["ramp"], changes)
        nursery.cancel_scope.cancel()
    assert broken_rules == {"ramp": set()}
    assert {status for status, _ in operator.answers} == {200, 409}
    assert all("would_pass" in body for status, body in operator.answers if status == 409)
    rejections = read_rejections(tmp_path / "run-ramp" / "store")
    assert "operator" in {rejection.source for rejection in rejections}


async def test_a_scenario_whose_manager_does_not_start_fails_with_an_error(tmp_path: Path) -> None:
    command = (sys.executable, "-c", "raise SystemExit(3)")
    with pytest.raises(ScenarioError, match="manager ended during the scenario"):
        await run_scenario(SCENARIOS / "first.ini", tmp_path, command)
    with pytest.raises(records.RecordError, match="cannot be audited"):
        records.read_records(tmp_path)
