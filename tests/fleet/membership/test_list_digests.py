"""Digests of endpoint lists: a lasting divergence is reported once, with the workers to check."""

from dunlinlug.decision.events import Endpoint
from dunlinlug.fleet.membership.list_digests import DIVERGENCE_TOLERANCE, ListDigests
from dunlinlug.fleet.membership.messages import Broadcast


def endpoints(*numbers: int, draining: int = -1) -> dict[str, Endpoint]:
    return {
        f"w{number}": Endpoint(
            f"w{number}",
            "north",
            "",
            0,
            "draining" if number == draining else "ready",
            1.0,
            None,
        )
        for number in numbers
    }


def test_lists_that_differ_for_long_are_reported_once_with_the_workers_to_check() -> None:
    local, remote = ListDigests("a", 1), ListDigests("b", 1)
    local_list = endpoints(*range(40))
    remote_list = endpoints(*reversed(range(40)))
    remote_list_from = {
        10: endpoints(*range(40), draining=7),
        11: local_list,
        20: endpoints(*range(39)),
        45: local_list,
    }
    reported: list[tuple[float, str]] = []
    descriptions: list[str] = []
    for second in range(60):
        now = float(second)
        remote_list = remote_list_from.get(second, remote_list)
        broadcast = remote.due_broadcast(now, remote_list)
        assert local.due_broadcast(now, local_list) is not None
        assert broadcast is not None
        assert local.merge(now, broadcast)
        assert not local.merge(now, broadcast), "a duplicate is not newer"
        for change in local.divergence_changes(now, local_list):
            reported.append((now, change.manager))
            descriptions.append(change.description)
    assert reported == [(20.0 + DIVERGENCE_TOLERANCE, "b"), (45.0, "b")]
    assert "lists 39 workers, this manager 40; 1 of 16 buckets differ" in descriptions[0]
    assert "w39" in descriptions[0]
    assert local.due_broadcast(100.0, None) is None
    assert local.divergent(100.0) == {}, "a manager without a list compares nothing"
    for invalid in (
        Broadcast("list/b", b"\xff"),
        Broadcast("list/a", broadcast.payload),
        Broadcast("list/", broadcast.payload),
    ):
        assert not local.merge(3.0, invalid)
