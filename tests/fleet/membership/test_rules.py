"""Mutation tests: replacing a rule of the protocol fails a test, or is found by the model checker."""

from collections.abc import Callable
from types import ModuleType
from typing import Any

import pytest

from dunlinlug.fleet.membership import (
    claims,
    clock,
    failure_detection,
    merging,
    reachability,
    reconnects,
    suspicions,
)
from dunlinlug.fleet.membership.model import MembershipModel
from dunlinlug.fleet.model_checking.engine import explore_recovery_randomly
from tests.fleet.membership import test_protocol


@pytest.mark.parametrize(
    ("module", "rule", "replacement", "case"),
    [
        (
            clock,
            "detect_pause",
            lambda member: [],
            test_protocol.test_a_member_paused_for_ten_seconds_causes_no_failures_when_it_resumes,
        ),
        (
            claims,
            "merge_claim",
            lambda member, item: merging.merge_state(member, item, ""),
            test_protocol.test_a_claim_that_a_live_member_failed_is_checked_first,
        ),
        (
            merging,
            "refute",
            lambda member, item: [],
            test_protocol.test_a_partition_that_heals_while_the_failure_is_being_gossiped,
        ),
        (
            merging,
            "refute",
            lambda member, item: [],
            lambda: test_protocol.test_of_two_processes_under_one_name_the_later_start_wins(3),
        ),
        (
            reconnects,
            "reconnect",
            lambda member: [],
            test_protocol.test_two_halves_of_a_partition_rejoin_once_it_heals,
        ),
        (
            clock,
            "advance",
            lambda member, host_time: setattr(member, "now", host_time),
            test_protocol.test_clocks_that_drift_and_jump_cause_no_failures,
        ),
        (
            reachability,
            "update_report",
            lambda member: None,
            test_protocol.test_in_a_chain_all_stay_alive_and_report_unreachable_members,
        ),
        (
            failure_detection,
            "request_indirect_probes",
            lambda member, sequence: setattr(member.probes[sequence], "indirect_at", 1e18) or [],
            test_protocol.test_in_a_chain_all_stay_alive_and_report_unreachable_members,
        ),
    ],
)
def test_replacing_a_rule_fails_its_test(
    module: ModuleType,
    rule: str,
    replacement: Callable[..., Any],
    case: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, rule, replacement)
    with pytest.raises((AssertionError, KeyError, IndexError)):
        case()


@pytest.mark.parametrize(
    ("module", "rule", "replacement"),
    [
        (merging, "refute", lambda member, item: []),
        (reconnects, "reconnect", lambda member: []),
        (suspicions, "deadline", lambda member, name: 1e18),
        (failure_detection, "handle_probe_timeout", lambda member, probe: []),
    ],
)
def test_the_model_checker_finds_a_replaced_rule(
    module: ModuleType,
    rule: str,
    replacement: Callable[..., Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, rule, replacement)
    walked = explore_recovery_randomly(MembershipModel(), 30, seed=5)
    assert walked.violation, walked.step_counts
