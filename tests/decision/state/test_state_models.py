"""The decision state, compared with slow, plain models on random inputs."""

from random import Random
from statistics import fmean

import pytest

from dunlinlug.decision.events import Endpoint, EndpointsUpdated, ProxyConnected
from dunlinlug.decision.orders import AssignTable, Order, SetAdmission, SetEjected, SetWeight
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.pending_acks import PendingAcks
from dunlinlug.decision.state.tables import Table
from dunlinlug.manager.installed_tables import ProxyAssignment, TableInstaller
from tests.decision.rules_model import Model, endpoint, manager_settings


def table(number: int) -> Table:
    return Table(number, {1: 1.0}, {1: 1.0}, [])


def check_groups(assignments: Assignments) -> None:
    """Compare groups and use counts with those recomputed proxy by proxy."""
    for proxy_id, proxy in assignments.proxies.items():
        assigned_tables = tuple(
            proxy.tables_in_use[traffic_class][-1][0]
            if traffic_class in proxy.tables_in_use
            else None
            for traffic_class in range(2)
        )
        assert (
            proxy.assigned_tables == assigned_tables
            and proxy_id in assignments.groups[assigned_tables]
        )
    assert sum(map(len, assignments.groups.values())) == len(assignments.proxies) and all(
        assignments.groups.values()
    )
    for each_table in assignments.tables.values():
        entries = [
            table_in_use
            for proxy in assignments.proxies.values()
            for entries in proxy.tables_in_use.values()
            for table_in_use, _ in entries
        ]
        assert each_table.use_count == entries.count(each_table) and (
            each_table in assignments.list_tables_in_use()
        ) == (each_table.use_count > 0)
        assert sorted(assignments.assigned_proxies(each_table)) == sorted(
            proxy_id
            for proxy_id, proxy in assignments.proxies.items()
            if each_table in proxy.assigned_tables
        )


def test_a_rejected_assignment_to_a_table_still_in_use_keeps_its_earlier_use() -> None:
    """Guards against losing sight of a table that a proxy is using."""
    assignments = Assignments(2)
    first, second = (assignments.add_table(table(number)) for number in (1, 2))
    assignments.add_proxy(3, "north")
    for ack_number, each_table in enumerate((first, second, first), 1):
        assignments.assign(3, (0, 1), each_table, ack_number, 0.0)
    assignments.unassign(3, (0, 1), first.table_id)
    assert assignments.proxies[3].tables_in_use[0] == [(first, 1), (second, 2)]
    assert first.use_count == 2


@pytest.mark.parametrize("seed", range(6))
def test_groups_and_use_counts_equal_recomputed_ones(seed: int) -> None:
    rng, assignments = Random(seed), Assignments(2)
    for number in range(5):
        assignments.add_table(table(number))
    awaited_numbers: dict[int, list[int]] = {}
    for ack_number in range(1, 400):
        proxy_id = rng.randrange(12)
        if proxy_id not in assignments.proxies or rng.random() < 0.1:
            assignments.remove_proxy(proxy_id)
            assignments.add_proxy(proxy_id, "a")
            awaited_numbers[proxy_id] = []
        elif rng.random() < 0.5:
            assignments.assign(
                proxy_id,
                rng.choice([(0,), (1,), (0, 1)]),
                assignments.tables[rng.randrange(5)],
                ack_number,
                ack_number,
            )
            awaited_numbers[proxy_id].append(ack_number)
        elif rng.random() < 0.5 and awaited_numbers[proxy_id]:
            acknowledged, awaited_numbers[proxy_id] = (
                awaited_numbers[proxy_id][:2],
                awaited_numbers[proxy_id][2:],
            )
            before = {
                traffic_class: list(entries)
                for traffic_class, entries in assignments.proxies[proxy_id].tables_in_use.items()
            }
            assignments.acknowledge(proxy_id, acknowledged)
            for traffic_class, entries in before.items():
                newest = max(
                    (
                        index
                        for index, (_, awaited) in enumerate(entries)
                        if not awaited or awaited in acknowledged
                    ),
                    default=None,
                )
                expected = (
                    entries if newest is None else [(entries[newest][0], 0), *entries[newest + 1 :]]
                )
                assert assignments.proxies[proxy_id].tables_in_use[traffic_class] == expected
        elif rng.random() < 0.3:
            each_table = assignments.tables[rng.randrange(5)]
            assignments.record_update(
                each_table, assignments.assigned_proxies(each_table), ack_number, ack_number
            )
            for other_id in assignments.assigned_proxies(each_table):
                awaited_numbers[other_id].append(ack_number)
        else:
            assignments.remove_proxy(proxy_id)
        check_groups(assignments)
        order = [
            proxy_id
            for proxy_id in assignments.proxies
            if assignments.proxies[proxy_id].assigned_tables[0] is not None
        ]
        groups = [
            group
            for assigned_tables, group in assignments.groups.items()
            if assigned_tables[0] is not None
        ]
        assert assignments.by_join_order(groups) == order  # the dict is in the order of connecting
        since, each_table = ack_number - 5, assignments.tables[0]
        assert assignments.has_lagging_proxy(0, assignments.tables[1], each_table, since) == any(
            proxy.updated_at > since and proxy.tables_in_use.get(0) != [(each_table, 0)]
            for proxy in assignments.proxies.values()
        )


def test_a_table_is_deleted_when_due_and_only_once_no_proxy_uses_it() -> None:
    assignments = Assignments(1)
    used, unused, current = (assignments.add_table(table(number)) for number in (1, 2, 3))
    assignments.add_proxy(7, "a")
    assignments.assign(7, (0,), used, 1, 0.0)
    assignments.retire_unused((used, unused), 5.0)
    assert assignments.has_retiring_tables() and not assignments.take_deletable(4.9)
    assert (
        assignments.take_deletable(5.0) == [2]
        and not assignments.has_retiring_tables()
        and used.delete_at > 1e9
    ), "a table in use is not deleted"
    assignments.schedule_deletion(used, 6.0)
    assert not assignments.take_deletable(6.0)
    assignments.remove_proxy(7)
    assert assignments.take_deletable(6.0) == [1] and list(assignments.tables.values()) == [current]
    assignments.schedule_deletion(used, 7.0)
    assert not assignments.has_retiring_tables() and not assignments.take_deletable(8.0), (
        "a deleted table is not scheduled again"
    )


@pytest.mark.parametrize("seed", range(6))
def test_queued_entries_equal_the_sum_over_all_messages(seed: int) -> None:
    """The model is a FIFO channel that drops the messages of a proxy that disconnects."""
    rng, pending = Random(seed), PendingAcks(4)
    # Messages not known to have been sent: number, proxy, entries.
    expected: list[tuple[int, int, float]] = []
    channel: list[tuple[int, int, float]] = []
    awaited: dict[int, list[int]] = {proxy_id: [] for proxy_id in range(8)}
    for ack_number in range(1, 400):
        step = rng.random()
        if step < 0.4:
            entries_by_proxy = {
                proxy_id: float(rng.randrange(1, 9))
                for proxy_id in rng.sample(range(8), rng.randrange(1, 6))
            }
            pending.record(ack_number, ack_number, entries_by_proxy)
            for proxy_id, entry_count in entries_by_proxy.items():
                expected.append((ack_number, proxy_id, entry_count))
                channel.append((ack_number, proxy_id, entry_count))
                awaited[proxy_id].append(ack_number)
        elif step < 0.5:
            proxy_id = rng.randrange(8)
            pending.forget_proxy(proxy_id)
            awaited[proxy_id] = []
            expected, channel = (
                [entry for entry in messages if entry[1] != proxy_id]
                for messages in (expected, channel)
            )
        elif step < 0.8:
            del channel[: rng.randrange(6)]
        else:
            proxy_id = rng.randrange(8)
            delivered = [
                number
                for number in awaited[proxy_id]
                if (number, proxy_id) not in {entry[:2] for entry in channel}
            ]
            if delivered:
                assert pending.acknowledge(proxy_id, delivered[-1]) == delivered
                awaited[proxy_id] = awaited[proxy_id][len(delivered) :]
                expected = [
                    entry
                    for entry in expected
                    if entry[0] >= delivered[-1] and entry[:2] != (delivered[-1], proxy_id)
                ]
        assert (
            pending.queued_entries
            == sum(entry_count for _, _, entry_count in expected)
            >= sum(entry_count for _, _, entry_count in channel)
        )
        assert {
            number for awaited_numbers in awaited.values() for number in awaited_numbers
        } == pending.pending_replies.keys()
        assert len(pending.queued_acks) <= 400


def test_a_proxy_that_disconnects_takes_out_no_entries_of_others() -> None:
    pending = PendingAcks(4)
    pending.record(1, 0.0, {1: 50.0, 2: 50.0})
    pending.record(2, 0.0, {3: 10.0})
    pending.forget_proxy(3)
    assert pending.queued_entries == 100.0
    assert pending.acknowledge(1, 1) == [1] and pending.queued_entries == 50.0


class ReferenceInstaller(TableInstaller[ProxyAssignment]):
    """A model that counts, order by order, the entries that each proxy would be sent."""

    def count(self, orders: list[Order]) -> dict[int, float]:
        entries_sent: dict[int, float] = {}
        tables = {table_id: dict(installed.weights) for table_id, installed in self.tables.items()}
        levels = {
            table_id: dict(installed.admissions) for table_id, installed in self.tables.items()
        }
        assigned = {
            proxy_id: dict(proxy_state.table_by_class)
            for proxy_id, proxy_state in self.proxies.items()
        }
        ejected_workers = set(self.ejected)

        def send(proxy_id: int, entries: float) -> None:
            entries_sent[proxy_id] = entries_sent.get(proxy_id, 0.0) + entries

        for order in orders:
            match order:
                case SetWeight(table_id, worker, weight):
                    tables.setdefault(table_id, {})[worker] = weight
                    levels.setdefault(table_id, {})
                    if not weight:
                        del tables[table_id][worker]
                case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
                    tables.setdefault(table_id, {})
                    levels.setdefault(table_id, {})[traffic_class] = (
                        retry_policy,
                        admitted_fraction,
                    )
                case SetEjected(worker, ejected):
                    (ejected_workers.add if ejected else ejected_workers.discard)(worker)
                    for proxy_id, table_ids in assigned.items():
                        if len(table_ids) < self.traffic_class_count or any(
                            worker in tables[table_id] for table_id in table_ids.values()
                        ):
                            send(proxy_id, 1.0)
                    continue
                case AssignTable(proxy_id, traffic_classes, table_id):
                    assigned[proxy_id].update(dict.fromkeys(traffic_classes, table_id))
                    send(
                        proxy_id,
                        1.0
                        + len(tables[table_id])
                        + len(levels[table_id])
                        + len(ejected_workers & tables[table_id].keys()),
                    )
                    continue
            for proxy_id, table_ids in assigned.items():
                if order.table_id in table_ids.values():  # type: ignore[union-attr]
                    send(proxy_id, 1.0)
        return entries_sent


@pytest.mark.parametrize("seed", range(10))
def test_entries_counted_for_a_batch_equal_those_of_its_orders_one_by_one(seed: int) -> None:
    rng, installer = Random(seed), ReferenceInstaller(2)
    installer.install_orders(
        [
            SetWeight(each_table, f"w{number}", 1.0)
            for each_table in range(3)
            for number in range(each_table, 8, 2)
        ]
    )
    for step in range(60):
        if rng.random() < 0.3 or not installer.proxies:
            installer.remove_proxy(step % 9)
            installer.proxies[step % 9] = ProxyAssignment()
        ejected = {f"w{number}" for number in range(8)} & installer.ejected
        orders: list[Order] = []
        for _ in range(rng.randrange(8)):
            each_table, worker = rng.randrange(3), f"w{rng.randrange(8)}"
            kind = rng.randrange(4)
            if kind == 0:
                orders.append(SetWeight(each_table, worker, rng.choice([0.0, 0.5, 1.0])))
            elif kind == 1:
                orders.append(SetAdmission(each_table, rng.randrange(2), 1, rng.random()))
            elif kind == 2:
                orders.append(
                    AssignTable(
                        rng.choice([*installer.proxies]), rng.choice([(0,), (0, 1)]), each_table
                    )
                )
            elif worker not in {order.worker for order in orders if isinstance(order, SetEjected)}:
                ejected ^= {worker}
                orders.append(SetEjected(worker, worker in ejected))
        expected = installer.count(orders)
        installer.install_orders(orders)
        assert installer.entries_by_proxy == expected


def test_rows_of_removed_endpoints_are_reused() -> None:
    """Replaces endpoints one at a time: the rows stay bounded, and no row in use is reused."""
    fleet, rng = Fleet(fmean), Random(3)
    present = [endpoint(number) for number in range(20)]
    fleet.apply_update(EndpointsUpdated("whole", tuple(present)), set)
    for number in range(20, 2000):
        removed = present.pop(rng.randrange(20))
        present.append(endpoint(number))
        rows_in_use = {fleet.row_by_id[removed.id]}.copy  # the row is still in a table
        fleet.apply_update(
            EndpointsUpdated(
                "changes", (Endpoint(removed.id, removed.zone, "", 0, "gone", 1.0, None),)
            ),
            rows_in_use,
        )
        fleet.apply_update(EndpointsUpdated("changes", (present[-1],)), rows_in_use)
        assert fleet.row_by_id[removed.id] in rows_in_use()
        assert all(
            fleet.ids[fleet.row_by_id[each.id]] == each.id and fleet.ready[fleet.row_by_id[each.id]]
            for each in present
        )
    assert len(fleet.ids) <= 2 * 20 + 2 and len(fleet.row_by_id) == len(fleet.ids)


def test_a_new_endpoint_in_a_reused_row_has_no_history() -> None:
    model = Model(manager_settings())
    model.step(0.1, [EndpointsUpdated("kept", tuple(endpoint(number) for number in range(4)))])
    model.step(0.1, [ProxyConnected(1, "north", 5.0, True)])
    detector = model.module.state.outlier_detector
    for number in range(4, 40):
        row = model.module.state.fleet.row_by_id[endpoint(number - 4).id]
        (
            detector.weight_limits[row],
            detector.recovery_limits[row],
            detector.ejection_times[row],
            detector.attempts[row],
        ) = (
            0.0,
            0.75,
            16.0,
            9.0,
        )
        detector.update_indexes(row)
        model.step(
            0.1, [EndpointsUpdated("changes", (endpoint(number - 4, "gone"), endpoint(number)))]
        )
        row = model.module.state.fleet.row_by_id[endpoint(number).id]
        assert (
            detector.weight_limits[row],
            detector.recovery_limits[row],
            detector.ejection_times[row],
            detector.attempts[row],
        ) == (
            1.0,
            1.0,
            4.0,
            0.0,
        )
        assert not {row} & (
            detector.ejected_rows
            | detector.limited_rows
            | detector.suspect_rows
            | detector.probation_rows
        )
        for _ in range(30):
            model.step(0.1, [])
    columns = (
        detector.attempts,
        detector.failed,
        detector.latency_sums,
        detector.reported_at,
        detector.ejection_times,
        detector.due_at,
        detector.weight_limits,
        detector.recovery_limits,
    )
    assert {len(column) for column in columns} == {len(model.module.state.fleet.ids)}
    assert len(model.module.state.fleet.ids) <= 16 and not model.violated_rules
