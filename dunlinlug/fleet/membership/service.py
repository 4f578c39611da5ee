"""A manager's membership: the protocol, its sockets, and the data shared with other managers.

`Membership` runs the protocol over a transport, keeps the partition status, broadcasts load, list
digests and observations, and handles those of other managers.
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
    DebouncedStatus,
    PartitionLimits,
    PartitionStatus,
    partition_status,
)
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.shared_observations import SharedObservations
from dunlinlug.fleet.membership.transport import MembershipTransport

MAX_RECENT_CHANGES = 50  # changes of members' states that are kept for operators


def _ignore_event(_event: Event) -> None:
    """Default until a host is registered."""


def _ignore_partition_change(_status: str, _limits: PartitionLimits) -> None:
    """Default until a host is registered."""


def _ignore_member_change(_change: MemberStateChanged) -> None:
    """Default until a host is registered."""


def _seed_addresses(addresses: Mapping[str, Address], self_id: str) -> list[Address]:
    """Addresses of the other configured members, in order of their names."""
    return [address for name, address in sorted(addresses.items()) if name != self_id]


def _initial_status(addresses: Mapping[str, Address]) -> PartitionStatus:
    """The status before the first message: a manager among several counts as alone."""
    return PartitionStatus.ALONE if len(addresses) > 1 else PartitionStatus.ALL


class MembershipHost(Protocol):
    """The manager that runs a membership: provides its data, and receives its notifications."""

    def submit_event(self, event: Event) -> None:
        """Pass an event to the decision module."""

    def listed_workers(self) -> Mapping[str, Endpoint] | None:
        """The endpoint list of service discovery at this manager; None before the first."""

    def current_load(self) -> ManagerLoad:
        """The load of this manager since the last call."""

    def on_partition_change(self, status: PartitionStatus, limits: PartitionLimits) -> None:
        """This manager's partition status and its limits have changed."""

    def on_member_change(self, change: MemberStateChanged) -> None:
        """A member's state has changed."""


class Membership:
    """One manager's membership.

    Callbacks that its owner sets before `run`:
        current_load: Returns the load of this manager.
        listed_workers: Returns the endpoint list of service discovery; None while there is none.
        on_event: Handles events for the decision module: observations and loads of other managers.
        on_partition_change: Handles each new partition status with its limits.
        on_member_change: Handles each change of a member's state.

    Args:
        self_id: This manager's name.
        start_epoch: Number of this process start.
        addresses: Host and port of each configured member by name, this one included.
        keys: One or two shared keys; the first signs.
        probe_interval: Seconds.
        rng: Source of random choices.
        log_event: Logs an event, given its name and its fields.
        voters: Returns the names of the last agreed voters.
        clock: Returns the time in seconds.
        bind_address: Where to listen, if that is not the address that others use.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one parameter per setting or collaborator
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
        self.partition = DebouncedStatus(_initial_status(addresses), clock(), probe_interval)
        self.recent_changes: deque[status_report.TimedChange] = deque(maxlen=MAX_RECENT_CHANGES)

    def register_host(self, host: MembershipHost) -> None:
        """Use `host` for local data and notifications from now on."""
        self.on_event = host.submit_event
        self.listed_workers = host.listed_workers
        self.current_load = host.current_load
        self.on_partition_change = host.on_partition_change
        self.on_member_change = host.on_member_change

    @property
    def partition_status(self) -> PartitionStatus:
        """This manager's side of a partition."""
        return self.partition.status

    @property
    def partition_limits(self) -> PartitionLimits:
        """What this manager may do on that side."""
        return LIMITS_BY_STATUS[self.partition_status]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the membership until cancelled. Raises OSError if the address is taken."""
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
                self._send_due_broadcasts()

    def leave(self) -> None:
        """Announce a planned stop, so that other members do not count it as a failure."""
        self.transport.perform(self.protocol.leave)

    def record_reports(self, events: list[Event]) -> None:
        """Count the reports of local proxies among events for the decision module."""
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

    def _send_due_broadcasts(self) -> None:
        """Send the broadcasts that are due, and log changes in the loads and lists of others."""
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
        """Handle another manager's broadcast, according to the prefix of its key."""
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
        """Return the address a member reports, or the configured one while it is unknown.

        Raises KeyError for a name that is neither.
        """
        member_state = self.protocol.table.members.get(name)
        return member_state.address if member_state is not None else self.addresses[name]

    def reachable_voters(self) -> set[str]:
        """Voters that this manager reaches, itself included."""
        return {name for name in self.voters() if self.protocol.is_reachable(name)}

    def set_banned(self, name: str, banned: bool) -> None:
        """Ban a member or end its ban. Raises ValueError if the name is not a known member."""
        self.transport.perform(lambda now: self.protocol.set_banned(now, name, banned))

    def describe(self) -> dict[str, Any]:
        """The local view for operators and programs; see `status_report`."""
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
