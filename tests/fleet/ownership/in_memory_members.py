"""Members that share health checks over an in-memory network, on a clock that a test moves.

A jump of the clock is a pause of the process that runs all members: their timers are due at once,
and the messages that were in flight are delivered at that moment.
"""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import trio

from dunlinlug.decision.events import HealthCheckCompleted
from dunlinlug.fleet.ownership.messages import SHARDS
from dunlinlug.fleet.ownership.service import Ownership, OwnershipConfig
from dunlinlug.fleet.ownership.shared_health_checks import HealthCheckCoordinator
from dunlinlug.storage.store import Store
from tests.fixtures.manager_process import until
from tests.fleet.ownership.members import CHECK_DURATION, CHECK_TIMEOUT, KEY, TIMING

LATENCY = 0.001  # seconds from sending to delivery of a message
MAX_IN_FLIGHT = 4096  # messages to one member


class InMemoryTransport:
    """Delivers one member's messages to the others' `receive`, in the order of sending."""

    def __init__(
        self, receive: Callable[[Any], None], transports: dict[str, "InMemoryTransport"]
    ) -> None:
        self.receive = receive
        self.transports = transports
        self.sent = Counter[str]()  # messages by type
        self.inbox_in, self.inbox_out = trio.open_memory_channel[tuple[float, Any]](MAX_IN_FLIGHT)

    def send(self, recipient: str, message: Any) -> None:
        self.sent[type(message).__name__] += 1
        arrives_at = trio.current_time() + LATENCY
        self.transports[recipient].inbox_in.send_nowait((arrives_at, message))

    async def run(self, _listeners: list[trio.SocketListener]) -> None:
        async for arrives_at, message in self.inbox_out:
            await trio.sleep_until(arrives_at)
            self.receive(message)


class InMemoryMembers:
    """Running members by name, with records of the checks made and of the results submitted."""

    def __init__(self, nursery: trio.Nursery, folder: Path, names: str) -> None:
        self.ownerships: dict[str, Ownership] = {}
        self.coordinators: dict[str, HealthCheckCoordinator] = {}
        self.transports: dict[str, InMemoryTransport] = {}
        self.checks = Counter[str]()  # health checks made, by worker
        self.results = Counter[str]()  # results submitted, by member
        self.stores = [self._add(nursery, folder, name, names) for name in names]

    def _add(self, nursery: trio.Nursery, folder: Path, name: str, names: str) -> Store:
        store = Store(folder / name)
        addresses = {member: ("127.0.0.1", 0) for member in names}
        config = OwnershipConfig(name, addresses, [KEY], TIMING)
        ownership = Ownership(config, store, Random(name), lambda *_args, **_fields: None)
        transport = InMemoryTransport(ownership.transport.on_message, self.transports)
        ownership.transport = transport  # type: ignore[assignment]

        async def check(worker: str) -> None:
            self.checks[worker] += 1
            await trio.sleep(CHECK_DURATION)
            coordinator.check_completed(HealthCheckCompleted(worker, True, "ok", CHECK_DURATION))

        def submit(_event: object) -> None:
            self.results[name] += 1

        coordinator = HealthCheckCoordinator(
            ownership, CHECK_TIMEOUT, check, submit, nursery.start_soon
        )
        self.ownerships[name] = ownership
        self.transports[name] = transport
        self.coordinators[name] = coordinator
        nursery.start_soon(ownership.run)
        nursery.start_soon(coordinator.run)
        return store

    def held_shards(self) -> int:
        """Returns the number of shards that the members hold together."""
        return sum(len(ownership.protocol.held_shards) for ownership in self.ownerships.values())

    def request_all(self, workers: list[str]) -> None:
        """Requests a check of each worker on each member."""
        for coordinator in self.coordinators.values():
            for worker in workers:
                coordinator.request(worker)


@asynccontextmanager
async def running_in_memory(folder: Path, names: str) -> AsyncIterator[InMemoryMembers]:
    """Runs members, which together hold all shards in equal parts, until the end of the context."""
    async with trio.open_nursery() as nursery:
        members = InMemoryMembers(nursery, folder, names)
        share = SHARDS // len(names)
        ownerships = members.ownerships.values()
        await until(lambda: min(len(o.protocol.held_shards) for o in ownerships) >= share)
        yield members
        nursery.cancel_scope.cancel()
    for store in members.stores:
        store.close()
