"""Who may hold what, now and during a change: old tables, new ones, and both while answers are out.

For the question whether a proxy may be left with nothing, a worker counts as out from the order on
and as in again only once all have answered; for the question how much may come to a worker it is
the other way round.
"""

from dataclasses import dataclass, field

from dunlinlug.decision.events import Acknowledged, Event, ProxyConnected, ProxyDisconnected
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetWeight,
)


@dataclass
class TableContents:
    weights: dict[str, float] = field(default_factory=dict)
    admission: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # by product: way of trying again, share


class TableUsage:
    """Fed with what was passed, marks answered, and who is joined."""

    def __init__(self) -> None:
        self.tables: dict[int, TableContents] = {}
        # By joined proxy and product: the tables it may be on, newest last, and the place of their
        # order.
        self.assignments: dict[int, dict[int, list[tuple[int, int]]]] = {}
        self._proxies_by_table: dict[int, dict[int, None]] | None = {}
        self.changed_proxies: dict[
            int, None
        ] = {}  # proxies that may hold other tables since the sums were last made
        self.ejected: set[str] = set()  # as ordered last
        self.pending_ejections: dict[
            str, tuple[int, set[int]]
        ] = {}  # by worker: place of the mark, proxies yet to answer
        self.ack_positions: dict[
            int, int
        ] = {}  # marks not yet settled, by number, and their place in order
        self.position = 0

    def handle(self, event: Event) -> None:
        match event:
            case ProxyConnected(proxy) | ProxyDisconnected(proxy):
                if self.assignments.pop(proxy, None):
                    self._record_change(proxy)
                self._acknowledge(proxy, self.position)
                if isinstance(event, ProxyConnected):
                    self.assignments[proxy] = {}
                    self._record_change(proxy)
            case Acknowledged(proxy, ack_number) if ack_number in self.ack_positions:
                self._acknowledge(proxy, self.ack_positions[ack_number])

    def _record_change(self, proxy: int) -> None:
        self._proxies_by_table = None
        self.changed_proxies[proxy] = None

    def _acknowledge(self, proxy: int, position: int) -> None:
        for worker, (ejected_at, awaited_proxies) in list(self.pending_ejections.items()):
            if ejected_at <= position:
                awaited_proxies.discard(proxy)
                if not awaited_proxies:
                    del self.pending_ejections[worker]
        for assigned in self.assignments.get(proxy, {}).values():
            newest_acknowledged = max(
                (index for index, (_, ejected_at) in enumerate(assigned) if ejected_at <= position),
                default=0,
            )
            if newest_acknowledged:
                del assigned[:newest_acknowledged]
                self._record_change(proxy)

    def apply(self, orders: list[Order]) -> None:
        """Take in one reply as passed."""
        self.position += 1
        for order in orders:
            match order:
                case SetWeight(table_id, worker, weight):
                    weights = self.tables.setdefault(table_id, TableContents()).weights
                    weights[worker] = weight
                    if not weight:
                        del weights[worker]
                case SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction):
                    self.tables.setdefault(table_id, TableContents()).admission[traffic_class] = (
                        retry_policy,
                        admitted_fraction,
                    )
                case DeleteTable(table_id):
                    self.tables.pop(table_id, None)
                case AssignTable(proxy, traffic_classes, table_id) if proxy in self.assignments:
                    for traffic_class in traffic_classes:
                        self.assignments[proxy].setdefault(traffic_class, []).append(
                            (table_id, self.position)
                        )
                    self._record_change(proxy)
                case SetEjected(worker, ejected):
                    (self.ejected.add if ejected else self.ejected.discard)(worker)
                    self.pending_ejections[worker] = (self.position, set(self.assignments))
                case RequestAcknowledgement(ack_number):
                    self.ack_positions[ack_number] = self.position

    def may_be_ejected(self, worker: str) -> bool:
        return worker in self.ejected or worker in self.pending_ejections

    def is_surely_ejected(self, worker: str) -> bool:
        return worker in self.ejected and worker not in self.pending_ejections

    def proxies_by_table(self) -> dict[int, dict[int, None]]:
        """By table the proxies that may be on it; made anew only when that has changed."""
        if self._proxies_by_table is None:
            self._proxies_by_table = {}
            for proxy, traffic_classes in self.assignments.items():
                for assigned in traffic_classes.values():
                    for table_id, _ in assigned:
                        self._proxies_by_table.setdefault(table_id, {})[proxy] = None
        return self._proxies_by_table

    def possible_tables(self, proxy: int, traffic_class: int) -> list[int]:
        return [table_id for table_id, _ in self.assignments.get(proxy, {}).get(traffic_class, ())]
