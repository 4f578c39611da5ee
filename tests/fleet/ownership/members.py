"""Members that run in one process over loopback sockets, with membership and health checks."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import trio

from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.ownership.messages import SHARDS
from dunlinlug.fleet.ownership.options import LeaseTiming
from dunlinlug.fleet.ownership.service import Ownership, OwnershipConfig
from dunlinlug.fleet.ownership.shared_health_checks import HealthCheckCoordinator
from dunlinlug.storage.store import Store
from tests.fixtures.manager_process import until
from tests.fixtures.ports import free_ports

KEY = bytes(range(32))
TIMING = LeaseTiming(lease=0.5, heartbeat_interval=0.05, drift=0.02, recovery_timeout=1.0)
PROBE_INTERVAL = 0.05
CHECK_TIMEOUT = 0.1
CHECK_DURATION = 0.02


class OwnershipMembers:
    """The running members by name, and records of their checks, results and log events."""

    def __init__(self, nursery: trio.Nursery, folder: Path, names: str) -> None:
        self.nursery = nursery
        self.folder = folder
        ports = free_ports(len(names))
        self.addresses = {
            name: ("127.0.0.1", port) for name, port in zip(names, ports, strict=True)
        }
        self.ownerships: dict[str, Ownership] = {}
        self.coordinators: dict[str, HealthCheckCoordinator] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.checks = Counter[str]()  # health checks made, by worker
        self.submitted = list[tuple[str, Event]]()  # member, and event for its decision module
        self.log: list[tuple[str, str, dict[str, Any]]] = []

    async def start(self, name: str) -> None:
        self.scopes[name] = await self.nursery.start(self._run, name)

    def stop(self, name: str) -> None:
        self.scopes.pop(name).cancel()

    def held_shards(self) -> int:
        """Returns the number of shards that the running members hold together."""
        return sum(len(self.ownerships[name].protocol.held_shards) for name in self.scopes)

    async def _run(self, name: str, task_status: trio.TaskStatus[trio.CancelScope]) -> None:
        store = Store(self.folder / name)
        membership, ownership = self._connect(name, store)
        self.ownerships[name] = ownership
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                coordinator = self._share_health_checks(name, ownership, nursery)
                await nursery.start(membership.run)
                nursery.start_soon(ownership.run)
                nursery.start_soon(coordinator.run)
                task_status.started(scope)
        store.close()

    def _connect(self, name: str, store: Store) -> tuple[Membership, Ownership]:
        def log_event(event: str, **fields: Any) -> None:
            self.log.append((name, event, fields))

        membership = Membership(
            name,
            store.next_epoch(),
            self.addresses,
            [KEY],
            PROBE_INTERVAL,
            Random(name),
            log_event,
            lambda: tuple(self.addresses),
        )
        config = OwnershipConfig(name, self.addresses, [KEY], TIMING)
        ownership = Ownership(config, store, Random(f"{name} own"), log_event)
        transport = ownership.transport
        transport.register_membership_addresses(membership.address_of)
        membership.transport.register_connection_handler(
            transport.preface_tag, transport.accept_shared
        )
        membership.on_member_change = lambda change: ownership.member_status_changed(
            change.name, change.after == "failed", set(membership.reachable_voters())
        )
        return membership, ownership

    def _share_health_checks(
        self, name: str, ownership: Ownership, nursery: trio.Nursery
    ) -> HealthCheckCoordinator:
        async def check(worker: str) -> None:
            self.checks[worker] += 1
            await trio.sleep(CHECK_DURATION)
            completed = HealthCheckCompleted(worker, True, "ok", CHECK_DURATION)
            coordinator.check_completed(completed)

        coordinator = HealthCheckCoordinator(
            ownership,
            CHECK_TIMEOUT,
            check,
            lambda event: self.submitted.append((name, event)),
            nursery.start_soon,
        )
        self.coordinators[name] = coordinator
        return coordinator


@asynccontextmanager
async def running_members(folder: Path, names: str) -> AsyncIterator[OwnershipMembers]:
    """Runs members, which together hold all shards, until the end of the context."""
    async with trio.open_nursery() as nursery:
        members = OwnershipMembers(nursery, folder, names)
        for name in names:
            await members.start(name)
        await until(lambda: members.held_shards() == SHARDS)
        yield members
        nursery.cancel_scope.cancel()
