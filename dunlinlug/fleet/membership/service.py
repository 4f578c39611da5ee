"""A manager's part in the membership: machine, sockets and standing together, and what people are
shown of them.
"""

from collections import deque
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Protocol

import trio

from dunlinlug.decision.events import Endpoint, Event, ManagerLoadChanged
from dunlinlug.fleet.membership import partition as sides
from dunlinlug.fleet.membership.list_digests import ListDigests
from dunlinlug.fleet.membership.load import ManagerLoad, ManagerLoads
from dunlinlug.fleet.membership.messages import STATE_NAMES, Broadcast, MemberStateChanged
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.shared_observations import SharedObservations
from dunlinlug.fleet.membership.transport import MembershipTransport

MAX_RECENT_CHANGES = 50  # last changes kept for people


class MembershipHost(Protocol):
    """What the manager around a membership provides to it, and what it is notified of."""

    def submit_event(self, event: Event) -> None:
        """Take an event for the decision module."""

    def listed_workers(self) -> Mapping[str, Endpoint] | None:
        """The endpoint list as service discovery gave it here; None before the first."""

    def current_load(self) -> ManagerLoad:
        """The load of this manager since the last call."""

    def on_partition_change(self, status: str, limits: sides.PartitionLimits) -> None:
        """This manager's side of a partition, and what it may do there, has changed."""

    def on_member_change(self, change: MemberStateChanged) -> None:
        """A member has another state."""


class Membership:
    """`places` are where the members of the configured set hear each other, by name, `roll` gives
    the names of the set last agreed; `told` hears each new standing, `learnt` what other
    managers' proxies met, as events for the module.
    """

    def __init__(
        self,
        self_id: str,
        start_epoch: int,
        addresses: dict[str, tuple[str, int]],
        keys: list[bytes],
        probe_interval: float,
        rng: Random,
        log_event: Callable[..., None],
        voters: Callable[[], tuple[str, ...]],
        clock: Callable[[], float] = trio.current_time,
        bind_address: tuple[str, int] | None = None,
    ) -> None:
        self.self_id = self_id
        self.log_event = log_event
        self.voters = voters
        self.clock = clock
        self.probe_interval = probe_interval
        seeds = [address for name, address in sorted(addresses.items()) if name != self_id]
        self.addresses = addresses
        self.protocol = MembershipProtocol(
            self_id, start_epoch, addresses[self_id], seeds, clock(), probe_interval, rng
        )
        self.observations = SharedObservations(self_id, start_epoch)
        self.loads = ManagerLoads(self_id, start_epoch)
        self.list_digests = ListDigests(self_id, start_epoch)
        self.current_load: Callable[[], ManagerLoad] = lambda: ManagerLoad(0, 0.0, 0.0, 0.0)
        self.listed_workers: Callable[[], Mapping[str, Endpoint] | None] = lambda: (
            None
        )  # what the roster told us ourselves
        self.on_event: Callable[[Event], None] = lambda event: None
        self.on_partition_change: Callable[[str, sides.PartitionLimits], None] = (
            lambda name, means: None
        )
        self.on_member_change: Callable[[MemberStateChanged], None] = lambda change: None
        self.transport = MembershipTransport(
            self.protocol,
            keys,
            log_event,
            self._handle_broadcast,
            self._handle_change,
            clock,
            bind_address,
        )
        self.partition = sides.Debounced(
            sides.ALONE if len(addresses) > 1 else sides.ALL, clock(), probe_interval
        )
        self.recent_changes: deque[tuple[float, MemberStateChanged]] = deque(
            maxlen=MAX_RECENT_CHANGES
        )

    def register_host(self, host: MembershipHost) -> None:
        """Take facts from `host` and notify it, from now on."""
        self.on_event = host.submit_event
        self.listed_workers = host.listed_workers
        self.current_load = host.current_load
        self.on_partition_change = host.on_partition_change
        self.on_member_change = host.on_member_change

    @property
    def partition_status(self) -> str:
        return self.partition.status

    @property
    def partition_limits(self) -> sides.PartitionLimits:
        return sides.LIMITS_BY_STATUS[self.partition_status]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises OSError if our place is taken."""
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
        """Goodbye, before we are cancelled: a planned stop is no failure."""
        self.transport.perform(self.protocol.leave)

    def _broadcast_facts(self) -> None:
        """Facts go straight to each other member: they are soon worth nothing."""
        now = self.clock()
        listed_workers = self.listed_workers()
        facts = [
            *self.observations.due_broadcasts(now),
            self.loads.due_broadcast(now, self.current_load()),
            self.list_digests.due_broadcast(now, listed_workers),
        ]
        for name, load, said in self.loads.overload_changes(now):
            self.log_event("membership.load_changed", member=name, said=said)
            self.on_event(
                ManagerLoadChanged(
                    name, name in self.loads.overloaded, load.proxies, load.requests_per_second
                )
            )
        for name, said in self.list_digests.divergence_changes(now, listed_workers):
            self.log_event("membership.list_divergence_changed", member=name, said=said)
        broadcasts = tuple(fact for fact in facts if fact is not None)
        if broadcasts:
            self.transport.perform(lambda now: self.protocol.broadcast(broadcasts))

    def record_reports(self, events: list[Event]) -> None:
        """What the module is told of our own proxies' reports."""
        self.observations.record_reports(self.clock(), events)

    def _handle_broadcast(self, broadcast: Broadcast) -> None:
        if broadcast.key.startswith("burden/"):
            self.loads.merge(self.clock(), broadcast)
        if broadcast.key.startswith("list/"):
            self.list_digests.merge(self.clock(), broadcast)
        for event in self.observations.merge(self.clock(), broadcast):
            self.on_event(event)

    def _handle_change(self, change: MemberStateChanged) -> None:
        self.recent_changes.append((self.clock(), change))
        self.on_member_change(change)

    def address_of(self, name: str) -> tuple[str, int]:
        """Where a member is now, as it tells; as configured while it is not known."""
        member_state = self.protocol.table.members.get(name)
        return member_state.address if member_state is not None else self.addresses[name]

    def reachable_voters(self) -> set[str]:
        return {name for name in self.voters() if self.protocol.is_reachable(name)}

    def _update_partition(self) -> None:
        before = self.partition_status
        reachable = self.reachable_voters()
        if self.partition.update(self.clock(), sides.partition_status(self.voters(), reachable)):
            self.log_event(
                "membership.partition_changed",
                before=before,
                now=self.partition_status,
                touch=sorted(reachable),
                of=sorted(self.voters()),
            )
            self.on_partition_change(self.partition_status, self.partition_limits)

    def set_banned(self, name: str, banned: bool) -> None:
        """Raises ValueError for whom nobody knows."""
        self.transport.perform(lambda now: self.protocol.set_banned(now, name, banned))

    def describe(self) -> dict[str, Any]:
        """For people and programs: who is there, who sees whom, our standing, and the last verdicts
        with their why.
        """
        protocol = self.protocol
        now = self.clock()
        table = protocol.table
        live_members = protocol.table.live_members()
        names = sorted(table.members)
        return {
            "member": self.self_id,
            "state": protocol.state,
            "standing": self.partition_status,
            "since": round(now - self.partition.since, 3),
            "set": sorted(self.voters()),
            "digest": table.digest().hex(),
            "distrust": protocol.local_health,
            "members": [
                {
                    "member": name,
                    "start": table.members[name].incarnation[0],
                    "word": table.members[name].incarnation[1],
                    "state": "barred"
                    if table.is_banned(name)
                    else STATE_NAMES[table.members[name].state],
                    "place": "{}:{}".format(*table.members[name].address),
                    "touch": protocol.is_reachable(name),
                    "sees": {
                        other: sides.reachability(
                            name, other, table.reachability_reports, live_members
                        )
                        for other in names
                    },
                    "between": sides.connection_summary(
                        self.self_id, name, table.reachability_reports, live_members
                    )
                    if name != self.self_id
                    else "",
                }
                for name in names
            ],
            "burdens": {
                name: {
                    "proxies": load.proxies,
                    "txns_per_s": round(load.requests_per_second, 1),
                    "channel": round(load.channel, 3),
                    "processor": round(load.processor, 3),
                }
                for name, load in self.loads.present(now).items()
            },
            "lists": {
                name: {
                    "workers": digest.workers,
                    "for": round(now - self.list_digests.divergent_since.get(name, now), 3),
                }
                for name, digest in self.list_digests.divergent(now).items()
            },
            "verdicts": [
                {
                    "ago": round(now - at, 3),
                    "member": change.name,
                    "before": change.before,
                    "now": change.after,
                    "why": change.reason,
                }
                for at, change in self.recent_changes
            ],
            "counts": {
                **self.transport.counts,
                **{f"refused_{reason}": n for reason, n in self.transport.rejections.items()},
            },
        }
