"""The load of each manager, as broadcast to the others. Free of I/O."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import OutOfBoundsError, decode_msgpack
from dunlinlug.fleet.membership.messages import Broadcast

KEY_PREFIX = "burden/"  # of broadcast keys; the manager's name follows
BROADCAST_INTERVAL = 1.0  # seconds; proxies choose a manager within seconds
STALE_AFTER = 10.0  # seconds after which a received load is no longer current
# A manager counts as overloaded once the utilisation of its busiest resource reaches the first
# threshold, until it falls below the second.
OVERLOAD_THRESHOLD = 0.8
RECOVERY_THRESHOLD = 0.6
MAX_MANAGERS = 1024  # managers whose load is kept

Fraction = Annotated[float, Meta(ge=0.0, le=1e9)]
Version = tuple[int, int]  # a manager's start epoch, and a sequence number within it


class ManagerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A manager's load; encoded as an array in field order.

    Attributes:
        proxies: Number of connected proxies.
        requests_per_second: Request rate of these proxies.
        channel: Entries that wait for the channel, as a fraction of the queue limit.
        processor: Fraction of one core in use.
    """

    proxies: Annotated[int, Meta(ge=0)]
    requests_per_second: Fraction
    channel: Fraction
    processor: Fraction

    def busiest_resource(self) -> tuple[float, str]:
        """Return the utilisation and name of the busiest resource."""
        return max((self.channel, "channel"), (self.processor, "processor"))


class LoadPayload(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Payload of a broadcast: a load with its version; encoded as an array in field order."""

    start_epoch: int
    sequence: int
    load: ManagerLoad

    def version(self) -> Version:
        """Sort key among the loads of one manager."""
        return self.start_epoch, self.sequence


NO_LOAD = ManagerLoad(0, 0.0, 0.0, 0.0)


class ReceivedLoad(NamedTuple):
    """A manager's newest load, and its time of receipt in seconds."""

    version: Version
    load: ManagerLoad
    received_at: float


class LoadChange(NamedTuple):
    """A manager became overloaded or recovered, with the reason for operators."""

    manager: str
    load: ManagerLoad
    description: str


class ManagerLoads:
    """Loads of all managers by name, the local one included.

    Args:
        self_id: Name of the local manager.
        start_epoch: Number of its process start; a later start overrides an earlier one.
    """

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.self_id = self_id
        self.start_epoch = start_epoch
        self.sequence = 0
        self.loads: dict[str, ReceivedLoad] = {}
        self.next_broadcast_at = 0.0
        self.overloaded = set[str]()

    def due_broadcast(self, now: float, load: ManagerLoad) -> Broadcast | None:
        """Return the local load as a broadcast if one is due."""
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        self.sequence += 1
        payload = LoadPayload(self.start_epoch, self.sequence, load)
        self.loads[self.self_id] = ReceivedLoad(payload.version(), load, now)
        return Broadcast(f"{KEY_PREFIX}{self.self_id}", msgspec.msgpack.encode(payload))

    def merge(self, now: float, broadcast: Broadcast) -> bool:
        """Merge another manager's load, in any order and any number of times.

        Returns whether it was newer than the known one.
        """
        try:
            payload: LoadPayload = decode_msgpack(broadcast.payload, LoadPayload)
        except OutOfBoundsError:
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

    def current_loads(self, now: float) -> dict[str, ManagerLoad]:
        """Loads that are not stale, in order of the managers' names."""
        return {
            name: received.load
            for name, received in sorted(self.loads.items())
            if now - received.received_at < STALE_AFTER
        }

    def overload_changes(self, now: float) -> list[LoadChange]:
        """Managers that became overloaded or recovered since the last call.

        A manager without a current load counts as recovered, since it is no longer there.
        """
        current_loads = self.current_loads(now)
        changes: list[LoadChange] = []
        for name in sorted(self.overloaded - current_loads.keys()):
            self.overloaded.discard(name)
            changes.append(LoadChange(name, NO_LOAD, "recovered: no current load"))
        for name, load in current_loads.items():
            utilization, resource = load.busiest_resource()
            if name in self.overloaded:
                if utilization < RECOVERY_THRESHOLD:
                    self.overloaded.discard(name)
                    description = f"recovered: {resource} at {utilization:.2f}"
                    changes.append(LoadChange(name, load, description))
            elif utilization >= OVERLOAD_THRESHOLD:
                self.overloaded.add(name)
                description = f"overloaded: {resource} at {utilization:.2f}"
                changes.append(LoadChange(name, load, description))
        return changes
