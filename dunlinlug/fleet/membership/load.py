"""What each manager carries, as it tells the others: proxies, txns, its channel, its processor.
Free of I/O.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.fleet.membership.messages import Broadcast

# seconds between tellings: whom proxies choose next is a matter of seconds
BROADCAST_INTERVAL = 1.0
STALE_AFTER = 10.0  # seconds after which what was told is not shown as present any more
# part of its means from which a manager says that it is over them, and below which no longer
OVERLOAD_THRESHOLD = 0.8
RECOVERY_THRESHOLD = 0.6
MAX_MANAGERS = 1024  # managers whose burden is kept

Fraction = Annotated[float, Meta(ge=0.0)]


class ManagerLoad(msgspec.Struct, frozen=True, array_like=True):
    """`channel` and `processor` are parts of what there is: lines that wait of the most that may,
    and of a core.
    """

    proxies: Annotated[int, Meta(ge=0)]
    requests_per_second: Fraction
    channel: Fraction
    processor: Fraction

    def highest(self) -> tuple[float, str]:
        return max((self.channel, "channel"), (self.processor, "processor"))


class ManagerLoads:
    """Of all managers by name, ours among them; `born` is our start, and the greater start of
    another holds.
    """

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.self_id = self_id
        self.start_epoch = start_epoch
        self.sequence = 0
        self.loads: dict[
            str, tuple[tuple[int, int], ManagerLoad, float]
        ] = {}  # by name: start and number, what, and when
        self.next_broadcast_at = 0.0
        self.overloaded = set[str]()

    def due_broadcast(self, now: float, load: ManagerLoad) -> Broadcast | None:
        """What is to be told now, if it is time."""
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        self.sequence = self.sequence + 1
        self.loads[self.self_id] = ((self.start_epoch, self.sequence), load, now)
        return Broadcast(
            f"burden/{self.self_id}",
            msgspec.msgpack.encode((self.start_epoch, self.sequence, load)),
        )

    def overload_changes(self, now: float) -> list[tuple[str, ManagerLoad, str]]:
        """Managers, ours among them, that have come over their means or back below them since the
        last call, with what they carry and `over` or `back` in words. Who has not told for long
        counts as back: it is not there.
        """
        changes = list[tuple[str, ManagerLoad, str]]()
        present = self.present(now)
        for name in sorted(self.overloaded - present.keys()):
            self.overloaded.discard(name)
            changes.append((name, ManagerLoad(0, 0.0, 0.0, 0.0), "back: it tells no more"))
        for name, load in present.items():
            utilization, resource = load.highest()
            was_overloaded = name in self.overloaded
            if (
                utilization >= OVERLOAD_THRESHOLD
                and not was_overloaded
                or utilization < RECOVERY_THRESHOLD
                and was_overloaded
            ):
                (self.overloaded.discard if was_overloaded else self.overloaded.add)(name)
                changes.append(
                    (
                        name,
                        load,
                        f"{'back' if was_overloaded else 'over'}: {resource} at {utilization:.2f}",
                    )
                )
        return changes

    def merge(self, now: float, broadcast: Broadcast) -> bool:
        """What another told; false if it is no news. Merges by start and number, in any order and
        any number.
        """
        try:
            start_epoch, sequence, load = msgspec.msgpack.decode(
                broadcast.payload, type=tuple[int, int, ManagerLoad]
            )
        except msgspec.DecodeError:
            return False
        name = broadcast.key.removeprefix("burden/")
        if name in ("", self.self_id) or name not in self.loads and len(self.loads) >= MAX_MANAGERS:
            return False
        if name in self.loads and self.loads[name][0] >= (start_epoch, sequence):
            return False
        self.loads[name] = ((start_epoch, sequence), load, now)
        return True

    def present(self, now: float) -> dict[str, ManagerLoad]:
        return {
            name: load
            for name, (_, load, at) in sorted(self.loads.items())
            if now - at < STALE_AFTER
        }
