"""Operators' pins for the whole fleet: one change at a time, whichever manager an operator speaks
to.

The owner of `pin/PRODUCT` judges a change and writes it into the members' log; what the log says is
wanted, and each manager emits the difference to what stands with it. An end is written as well: no
record at all would not tell an end from a log that was lost, after which an owner writes down again
what stands.
"""

import json
from collections.abc import Callable
from typing import Any, Protocol

import trio

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.ownership.service import Ownership

OVERRIDE_ENDED = b"-"
POLL_INTERVAL = 0.2  # seconds between looks at what the log wants: a beat


class OverrideRegistry(Protocol):
    """The pins that stand with a manager, as plain values with wall times."""

    traffic_class_names: list[str]

    def to_plain(self) -> list[dict[str, Any]]: ...

    def activate_plain(self, now: float, entry: dict[str, Any]) -> None:
        """Raises an exception of the guard's if it may not stand here."""

    def end(self, now: float, traffic_class: int) -> bool: ...


def task_of(traffic_class: str) -> str:
    return f"pin/{traffic_class}"


class NotOwnerError(DunlinlugError, ValueError):
    """Another decides on this product's pin, or nobody at the moment; the text says who."""


class SharedOverrides:
    """`faults` are the guard's kinds of refusal; `wall` is the wall clock."""

    def __init__(
        self,
        ownership: Ownership,
        registry: OverrideRegistry,
        rejection_errors: tuple[type[Exception], ...],
        log_event: Callable[..., None],
        wall_clock: Callable[[], float],
    ) -> None:
        self.ownership = ownership
        self.registry = registry
        self.rejection_errors = rejection_errors
        self.log_event = log_event
        self.wall_clock = wall_clock
        self.applied_records: dict[str, bytes] = {}  # by product, what of the log was taken last

    def require_ownership(self, traffic_class: str) -> None:
        """Raises NotOurs. Asked before an operator's change is made here, in the same turn."""
        if self.ownership.held_token(task_of(traffic_class)) is None:
            owner = self.ownership.owner_of(task_of(traffic_class))
            message = (
                f"{owner} decides on pins of {traffic_class}; say it there"
                if owner not in ("", self.ownership.self_id)
                else (
                    f"nobody decides on pins of {traffic_class} at the moment: "
                    "no majority of the members, or a change under way"
                )
            )
            raise NotOwnerError(message)

    def publish(self, traffic_class: str) -> None:
        """What stands with us, who decide on it, is what all are to have. Raises ValueError if it
        is too large, or our lease has just ended: then it stands here no more either.
        """
        body = self._current_record(traffic_class) or OVERRIDE_ENDED
        try:
            self.ownership.store_checkpoint(task_of(traffic_class), body)
        except ValueError:
            self.registry.end(
                trio.current_time(), self.registry.traffic_class_names.index(traffic_class)
            )
            self.applied_records.pop(traffic_class, None)  # what the log has is taken anew
            raise
        self.applied_records[traffic_class] = body

    def _current_record(self, traffic_class: str) -> bytes:
        matching = [said for said in self.registry.to_plain() if said["product"] == traffic_class]
        return json.dumps(matching[0]).encode() if matching else b""

    async def run(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL)
            for traffic_class in self.registry.traffic_class_names:
                self._synchronize(traffic_class)

    def _synchronize(self, traffic_class: str) -> None:
        record = self.ownership.checkpoint(task_of(traffic_class))
        if not record:
            if self.ownership.held_token(
                task_of(traffic_class)
            ) is not None and self._current_record(traffic_class):
                try:
                    self.publish(traffic_class)  # the log was lost, or has just begun
                except ValueError as error:
                    self.log_event("override.not_replicated", product=traffic_class, why=str(error))
            return
        if record == self.applied_records.get(traffic_class):
            return
        self.applied_records[traffic_class] = record
        now = trio.current_time()
        index = self.registry.traffic_class_names.index(traffic_class)
        override = json.loads(record) if record != OVERRIDE_ENDED else None
        if override is None or override["until"] <= self.wall_clock():
            self.registry.end(now, index)
        elif record != self._current_record(traffic_class):
            try:
                self.registry.activate_plain(now, override)
            except (
                self.rejection_errors
            ) as error:  # what the guard refuses here may stand elsewhere
                self.log_event("override.not_applied", product=traffic_class, why=str(error))
