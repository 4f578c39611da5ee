"""A manager's part in the membership: the protocol, its sockets, and what it shares with others.

`Membership` runs the protocol by a transport, keeps the partition status, broadcasts load, list
digests and observations, and takes those of other managers.
"""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

import trio

from dunlinlug.decision.events import Endpoint, Event, ManagerLoadChanged
from dunlinlug.fleet.membership import list_digests, load, status_report
from dunlinlug.fleet.membership.list_digests import ListDigests
from dunlinlug.fleet.membership.load import NO_LOAD, ManagerLoad, ManagerLoads
from dunlinlug.fleet.membership.messages import Address, Broadcast, MemberStateChanged
from dunlinlug.fleet.membership.partition import (
    LIMITS_BY_STATUS,
    Debounced,
    PartitionLimits,
    PartitionStatus,
    partition_status,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.shared_observations import SharedObservations
from dunlinlug.fleet.membership.transport import MembershipTransport

MAX_RECENT_CHANGES = 50  # changes of members' states that are kept for people


def _ignore_event(_event: Event) -> None:
    """Until somebody listens."""


def _ignore_partition_change(_status: str, _limits: PartitionLimits) -> None:
    """Until somebody listens."""


def _ignore_member_change(_change: MemberStateChanged) -> None:
    """Until somebody listens."""


def _seed_addresses(addresses: Mapping[str, Address], self_id: str) -> list[Address]:
    """Where the other configured members are, in order of their names."""
    return [address for name, address in sorted(addresses.items()) if name != self_id]


def _initial_status(addresses: Mapping[str, Address]) -> PartitionStatus:
    """Until others are heard, a manager among several counts as alone."""
    return PartitionStatus.ALONE if len(addresses) > 1 else PartitionStatus.ALL


class MembershipHost(Protocol):
    """What the manager around a membership provides to it, and what it is notified of."""

    def submit_event(self, event: Event) -> None:
        """Take an event for the decision module."""

    def listed_workers(self) -> Mapping[str, Endpoint] | None:
        """The endpoint list as service discovery gave it here; None before the first."""

    def current_load(self) -> ManagerLoad:
        """The load of this manager since the last call."""

    def on_partition_change(self, status: PartitionStatus, limits: PartitionLimits) -> None:
        """This manager's side of a partition, and what it may do there, has changed."""

    def on_member_change(self, change: MemberStateChanged) -> None:
        """A member has another state."""


class Membership:
    """One manager's membership.

    Callbacks that its owner sets before `run`:
        current_load: What load this manager carries now.
        listed_workers: The endpoint list that service discovery gave us; None while there is none.
        on_event: Takes events for the decision module: observations and loads of other managers.
        on_partition_change: Takes each new partition status with its limits.
        on_member_change: Takes each change of a member's state.

    Args:
        self_id: This manager's name.
        start_epoch: Number of this start.
        addresses: Host and port by name of the configured members; ours is among them.
        keys: One or two shared keys; the first signs.
        probe_interval: Seconds.
        rng: Source of random choices.
        log_event: Takes an event's name and its fields.
        voters: Gives the names of the voters last agreed.
        clock: Gives the time in seconds.
        bind_address: Where to listen, if that is not the address that others use.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - what the process is assembled from, each once
        self,
        self_id: str,
        start_epoch: int,
        addresses: dict[str, Address],
        keys: list[bytes],
        probe_interval: float,
        rng: Random,
        log_event: Callable[..., None],
        voters: Callable[[], tuple[str, ...]],
        clock: Callable[[], float] = trio.current_time,
        bind_address: Address | None = None,
    ) -> None:
        self.self_id = self_id
        self.log_event = log_event
        self.voters = voters
        self.clock = clock
        self.probe_interval = probe_interval
        self.addresses = addresses
        self.current_load: Callable[[], ManagerLoad] = lambda: NO_LOAD
        self.listed_workers: Callable[[], Mapping[str, Endpoint] | None] = lambda: None
        self.on_event: Callable[[Event], None] = _ignore_event
        self.on_partition_change: Callable[[PartitionStatus, PartitionLimits], None] = (
            _ignore_partition_change
        )
        self.on_member_change: Callable[[MemberStateChanged], None] = _ignore_member_change
        seeds = _seed_addresses(addresses, self_id)
        self.protocol = MembershipProtocol(
            self_id, start_epoch, addresses[self_id], seeds, clock(), probe_interval, rng
        )
        self.observations = SharedObservations(self_id, start_epoch)
        self.loads = ManagerLoads(self_id, start_epoch)
        self.list_digests = ListDigests(self_id, start_epoch)
        self.transport = MembershipTransport(
            self.protocol,
            keys,
            log_event,
            self._handle_broadcast,
            self._handle_change,
            clock,
            bind_address,
        )
        self.partition = Debounced(_initial_status(addresses), clock(), probe_interval)
        self.recent_changes: deque[status_report.TimedChange] = deque(maxlen=MAX_RECENT_CHANGES)

    def register_host(self, host: MembershipHost) -> None:
        """Take facts from `host` and notify it, from now on."""
        self.on_event = host.submit_event
        self.listed_workers = host.listed_workers
        self.current_load = host.current_load
        self.on_partition_change = host.on_partition_change
        self.on_member_change = host.on_member_change

    @property
    def partition_status(self) -> PartitionStatus:
        """On which side of a partition we are."""
        return self.partition.status

    @property
    def partition_limits(self) -> PartitionLimits:
        """What this manager may do there."""
        return LIMITS_BY_STATUS[self.partition_status]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Be a member until cancelled. Raises OSError if our address is taken."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.transport.run)
            self.log_event(
                "membership.ready",
                member=self.self_id,
                start=self.protocol.local_state.incarnation[0],
            )
            task_status.started()
            while True:
                await trio.sleep(self.probe_interval)
                self._update_partition()
                self._broadcast_facts()

    def leave(self) -> None:
        """Say goodbye before the end, so that a planned stop is no failure to others."""
        self.transport.perform(self.protocol.leave)

    def record_reports(self, events: list[Event]) -> None:
        """Count the reports of our own proxies among events for the decision module."""
        self.observations.record_reports(self.clock(), events)

    def _update_partition(self) -> None:
        before = self.partition_status
        reachable = self.reachable_voters()
        observed = partition_status(self.voters(), reachable)
        if not self.partition.update(self.clock(), observed):
            return
        self.log_event(
            "membership.partition_changed",
            before=before.value,
            now=self.partition_status.value,
            touch=sorted(reachable),
            of=sorted(self.voters()),
        )
        self.on_partition_change(self.partition_status, self.partition_limits)

    def _broadcast_facts(self) -> None:
        """Broadcast what is due, and say what has changed in the loads and lists of others."""
        now = self.clock()
        listed_workers = self.listed_workers()
        due = [
            *self.observations.due_broadcasts(now),
            self.loads.due_broadcast(now, self.current_load()),
            self.list_digests.due_broadcast(now, listed_workers),
        ]
        self._report_overload(now)
        for change in self.list_digests.divergence_changes(now, listed_workers):
            self.log_event(
                "membership.list_divergence_changed",
                member=change.manager,
                said=change.description,
            )
        broadcasts = tuple(broadcast for broadcast in due if broadcast is not None)
        if broadcasts:
            self.transport.perform(lambda _now: self.protocol.broadcast(broadcasts))

    def _report_overload(self, now: float) -> None:
        for name, manager_load, description in self.loads.overload_changes(now):
            self.log_event("membership.load_changed", member=name, said=description)
            overloaded = name in self.loads.overloaded
            self.on_event(
                ManagerLoadChanged(
                    name, overloaded, manager_load.proxies, manager_load.requests_per_second
                )
            )

    def _handle_broadcast(self, broadcast: Broadcast) -> None:
        """Take a fact of another manager's; each kind of fact knows its own keys."""
        if broadcast.key.startswith(load.KEY_PREFIX):
            self.loads.merge(self.clock(), broadcast)
        if broadcast.key.startswith(list_digests.KEY_PREFIX):
            self.list_digests.merge(self.clock(), broadcast)
        for event in self.observations.merge(self.clock(), broadcast):
            self.on_event(event)

    def _handle_change(self, change: MemberStateChanged) -> None:
        self.recent_changes.append(status_report.TimedChange(self.clock(), change))
        self.on_member_change(change)

    def address_of(self, name: str) -> Address:
        """Where a member is by its own statement, or as configured while it is not known.

        Raises KeyError for a name that is neither.
        """
        member_state = self.protocol.table.members.get(name)
        return member_state.address if member_state is not None else self.addresses[name]

    def reachable_voters(self) -> set[str]:
        """Voters that we reach, ourselves among them."""
        return {name for name in self.voters() if self.protocol.is_reachable(name)}

    def set_banned(self, name: str, banned: bool) -> None:
        """Ban a member or let it in again. Raises ValueError for a name that is no known member."""
        self.transport.perform(lambda now: self.protocol.set_banned(now, name, banned))

    def describe(self) -> dict[str, Any]:
        """Our view for people and programs: see `status_report`."""
        now = self.clock()
        protocol = self.protocol
        counts: dict[str, int] = dict(self.transport.counts)
        for reason, count in self.transport.rejections.items():
            counts[f"refused_{reason}"] = count
        report = status_report.StatusReport(
            self_id=self.self_id,
            state=protocol.state,
            partition_status=self.partition_status,
            since=round(now - self.partition.since, 3),
            voters=sorted(self.voters()),
            digest=protocol.table.digest().hex(),
            local_health=protocol.local_health,
            members=status_report.member_statuses(protocol),
            loads=status_report.load_statuses(self.loads, now),
            divergent_lists=status_report.list_statuses(self.list_digests, now),
            recent_changes=status_report.change_statuses(self.recent_changes, now),
            counts=counts,
        )
        return report.to_json()
