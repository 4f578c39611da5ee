"""What load each manager carries, as it broadcasts it. Free of I/O."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinlug.fleet.membership.messages import Broadcast

KEY_PREFIX = "burden/"  # of broadcasts; the manager's name follows
BROADCAST_INTERVAL = 1.0  # seconds; proxies choose a manager within seconds
STALE_AFTER = 10.0  # seconds after which a load is not shown as present any more
# Utilisation of its busiest resource from which a manager counts as overloaded, and below which it
# does not any more.
OVERLOAD_THRESHOLD = 0.8
RECOVERY_THRESHOLD = 0.6
MAX_MANAGERS = 1024  # managers whose load is kept

Fraction = Annotated[float, Meta(ge=0.0)]
Version = tuple[int, int]  # a manager's start epoch, and a number that counts up within it


class ManagerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A manager's load; on the wire an array of the fields in this order.

    Attributes:
        proxies: Proxies connected to it.
        requests_per_second: What they ask for.
        channel: Part of the entries that may wait for the channel that do wait.
        processor: Part of one core in use.
    """

    proxies: Annotated[int, Meta(ge=0)]
    requests_per_second: Fraction
    channel: Fraction
    processor: Fraction

    def highest(self) -> tuple[float, str]:
        """Utilisation and name of the busiest resource."""
        return max((self.channel, "channel"), (self.processor, "processor"))


class LoadPayload(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What is broadcast: a load with its version; on the wire an array in this order."""

    start_epoch: int
    sequence: int
    load: ManagerLoad

    def version(self) -> Version:
        """Order among the loads of one manager."""
        return self.start_epoch, self.sequence


NO_LOAD = ManagerLoad(0, 0.0, 0.0, 0.0)


class ReceivedLoad(NamedTuple):
    """A manager's newest load, and when it came, in seconds."""

    version: Version
    load: ManagerLoad
    received_at: float


class LoadChange(NamedTuple):
    """A manager became overloaded or recovered, with the reason for people."""

    manager: str
    load: ManagerLoad
    description: str


class ManagerLoads:
    """Loads of all managers by name, ours among them.

    Args:
        self_id: Our name.
        start_epoch: Number of our start; of another manager the later start overrides.
    """

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.self_id = self_id
        self.start_epoch = start_epoch
        self.sequence = 0
        self.loads: dict[str, ReceivedLoad] = {}
        self.next_broadcast_at = 0.0
        self.overloaded = set[str]()

    def due_broadcast(self, now: float, load: ManagerLoad) -> Broadcast | None:
        """Our load as a broadcast, if it is time for one."""
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        self.sequence += 1
        payload = LoadPayload(self.start_epoch, self.sequence, load)
        self.loads[self.self_id] = ReceivedLoad(payload.version(), load, now)
        return Broadcast(f"{KEY_PREFIX}{self.self_id}", msgspec.msgpack.encode(payload))

    def merge(self, now: float, broadcast: Broadcast) -> bool:
        """Take another manager's load, in any order and any number of times.

        Gives whether it was news.
        """
        try:
            payload = msgspec.msgpack.decode(broadcast.payload, type=LoadPayload)
        except msgspec.DecodeError:
            return False
        name = broadcast.key.removeprefix(KEY_PREFIX)
        if name in {"", self.self_id}:
            return False
        previous = self.loads.get(name)
        if previous is None:
            if len(self.loads) >= MAX_MANAGERS:
                return False
        elif previous.version >= payload.version():
            return False
        self.loads[name] = ReceivedLoad(payload.version(), payload.load, now)
        return True

    def present(self, now: float) -> dict[str, ManagerLoad]:
        """Loads that are not stale, by manager in order of names."""
        return {
            name: received.load
            for name, received in sorted(self.loads.items())
            if now - received.received_at < STALE_AFTER
        }

    def overload_changes(self, now: float) -> list[LoadChange]:
        """Managers that became overloaded or recovered since the last call.

        A manager that has broadcast nothing for long counts as recovered, since it is not there.
        """
        present = self.present(now)
        changes: list[LoadChange] = []
        for name in sorted(self.overloaded - present.keys()):
            self.overloaded.discard(name)
            changes.append(LoadChange(name, NO_LOAD, "back: it tells no more"))
        for name, load in present.items():
            utilization, resource = load.highest()
            if name in self.overloaded:
                if utilization < RECOVERY_THRESHOLD:
                    self.overloaded.discard(name)
                    description = f"back: {resource} at {utilization:.2f}"
                    changes.append(LoadChange(name, load, description))
            elif utilization >= OVERLOAD_THRESHOLD:
                self.overloaded.add(name)
                description = f"over: {resource} at {utilization:.2f}"
                changes.append(LoadChange(name, load, description))
        return changes
