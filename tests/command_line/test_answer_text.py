"""The text that commands print for a manager's answers."""

from dunlinlug.admin import schemas
from dunlinlug.admin.client import parse_answer
from dunlinlug.command_line import answer_text

LEADERSHIP = {
    "member": "b",
    "members": ["a", "b", "c"],
    "term": 7,
    "master": "b",
    "leads": True,
    "since": 12.34,
    "changed": "b was elected",
    "changed_ago": 12.5,
    "position": 99,
    "behind": None,
    "lags": {"a": 3, "c": None},
    "takeovers": 1,
}
MEMBER = {
    "member": "a",
    "start": 4,
    "word": 1,
    "state": "alive",
    "place": "127.0.0.1:18100",
    "touch": True,
    "sees": {"a": "-", "b": "yes"},
    "between": "in touch",
}
MEMBERSHIP = {
    "member": "a",
    "state": "alive",
    "standing": "all",
    "since": 3.0,
    "set": ["a", "b"],
    "digest": "0f",
    "distrust": 0,
    "members": [
        MEMBER,
        {**MEMBER, "member": "bee", "sees": {"a": "no answer"}, "between": "cut"},
    ],
    "burdens": {"a": {"proxies": 2, "txns_per_s": 41.5, "channel": 0.25, "processor": 0.5}},
    "lists": {"bee": {"workers": 9, "for": 2.4}},
    "verdicts": [
        {"ago": 1.5, "member": "bee", "before": "alive", "now": "failed", "why": "no answer"}
    ],
    "counts": {},
}


def test_a_leader_is_shown_with_the_lag_of_each_other_member() -> None:
    status = parse_answer(LEADERSHIP, schemas.LeadershipStatus)
    assert answer_text.leadership(status).splitlines() == [
        "b: term 7, master b for 12.3 s; last change 12.5 s ago: b was elected",
        "  a, lags by 3 batches",
        "  b",
        "  c, lags by all",
    ]


def test_a_follower_is_shown_with_its_missing_entries() -> None:
    follower = {**LEADERSHIP, "leads": False, "lags": None, "master": None}
    for missing, text in ((None, "all"), (0, "0"), (4, "4")):
        status = parse_answer({**follower, "behind": missing}, schemas.LeadershipStatus)
        headline = answer_text.leadership(status).splitlines()[0]
        assert "master none" in headline
        assert headline.endswith(f"; behind by {text}")


def test_members_are_shown_with_load_reachability_lists_and_changes() -> None:
    status = parse_answer(MEMBERSHIP, schemas.MembershipStatus)
    assert answer_text.membership(status).splitlines() == [
        "a: alive, standing all for 3.0 s of a, b; view 0f",
        "  a    alive     start 4, word 1  127.0.0.1:18100  2 proxies, 41.5 txns/s, "
        "channel 25%, processor 50%",
        "  bee  alive     start 4, word 1  127.0.0.1:18100; cut",
        "  reachability:",
        "    a    all",
        "    bee  a: no answer",
        "  bee has another list of workers (9) for 2 s",
        "  1.5 s ago: bee alive -> failed: no answer",
    ]


def test_members_that_all_reach_each_other_are_shown_without_reachability() -> None:
    status = parse_answer({**MEMBERSHIP, "members": [MEMBER]}, schemas.MembershipStatus)
    assert "reachability:" not in answer_text.membership(status)
