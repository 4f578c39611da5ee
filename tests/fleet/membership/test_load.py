"""Loads of managers: merging in any order; overload and recovery are reported once each."""

from random import Random

from dunlinlug.fleet.membership.load import (
    OVERLOAD_THRESHOLD,
    RECOVERY_THRESHOLD,
    STALE_AFTER,
    ManagerLoad,
    ManagerLoads,
)
from dunlinlug.fleet.membership.messages import Broadcast


def test_loads_merge_in_any_order_and_thresholds_are_reported_once() -> None:
    sender = ManagerLoads("a", 2)
    descriptions: list[str] = []
    broadcasts: list[Broadcast] = []
    utilizations = [0.1, OVERLOAD_THRESHOLD, 0.7, 0.9, RECOVERY_THRESHOLD - 0.1, 0.1]
    for second, utilization in enumerate(utilizations):
        now = float(second)
        broadcast = sender.due_broadcast(now, ManagerLoad(second, 5.0, 0.0, utilization))
        assert broadcast is not None
        assert sender.due_broadcast(now + 0.5, ManagerLoad(9, 9.0, 0.0, 0.0)) is None
        broadcasts.append(broadcast)
        changes = sender.overload_changes(now)
        descriptions.append("".join(change.description for change in changes))
    assert [text.split(":")[0] for text in descriptions] == [
        "",
        "overloaded",
        "",
        "",
        "recovered",
        "",
    ]
    for seed in range(20):
        receiver, rng = ManagerLoads("b", 1), Random(seed)
        for broadcast in rng.sample(broadcasts, 6) + rng.choices(broadcasts, k=4):
            receiver.merge(1.0, broadcast)
        assert receiver.current_loads(1.0) == {"a": ManagerLoad(5, 5.0, 0.0, 0.1)}
        assert not receiver.merge(2.0, broadcasts[0])
        assert receiver.current_loads(1.0 + STALE_AFTER) == {}
    restarted = ManagerLoads("a", 3).due_broadcast(0.0, ManagerLoad(1, 1.0, 0.0, 0.0))
    assert restarted is not None
    assert receiver.merge(2.0, restarted), "the first load of a later start is newer"
    for invalid in (
        Broadcast("burden/a", b"\xff"),
        Broadcast("burden/b", broadcasts[0].payload),
        Broadcast("burden/", broadcasts[0].payload),
    ):
        assert not receiver.merge(3.0, invalid)


def test_another_manager_is_overloaded_recovers_and_recovers_when_it_is_gone() -> None:
    receiver, sender = ManagerLoads("b", 1), ManagerLoads("a", 1)
    changes: list[tuple[str, str]] = []
    for second, utilization in enumerate([0.9, 0.9, 0.1, 0.9]):
        now = float(second)
        broadcast = sender.due_broadcast(now, ManagerLoad(7, 5.0, utilization, 0.0))
        assert broadcast is not None
        assert receiver.merge(now, broadcast)
        changes += [
            (change.manager, change.description.split(":")[0])
            for change in receiver.overload_changes(now)
        ]
    changes += [
        (change.manager, change.description)
        for change in receiver.overload_changes(3.0 + STALE_AFTER)
    ]
    assert changes == [
        ("a", "overloaded"),
        ("a", "recovered"),
        ("a", "overloaded"),
        ("a", "recovered: no current load"),
    ]
