"""Operator overrides for the whole fleet: one change at a time, at whichever manager it is made.

The owner of the task `pin/PRODUCT` validates a change and writes it into the members' log; what the
log says is desired, and each manager applies the difference to what is active with it. An end is
written as well: no record at all would not tell an end from a log that was lost, after which an
owner writes down again what is active.
"""

import json
from collections.abc import Callable
from typing import Any, Protocol

import trio

from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.ownership.service import Ownership

OVERRIDE_ENDED = b"-"  # the record of an override that has ended
POLL_INTERVAL = 0.2  # seconds between looks at what the log has


class OverrideRegistry(Protocol):
    """The overrides that are active with a manager, as JSON objects with wall-clock times."""

    traffic_class_names: list[str]

    def to_plain(self) -> list[dict[str, Any]]:
        """All that are active, one for each traffic class at most."""

    def activate_plain(self, now: float, entry: dict[str, Any]) -> None:
        """Activate one; raises an error of the order validation if it may not be here."""

    def end(self, now: float, traffic_class: int) -> bool:
        """End the override of a traffic class; whether there was one."""


def task_of(traffic_class: str) -> str:
    """The task of deciding on a traffic class's override."""
    return f"pin/{traffic_class}"


class NotOwnerError(DunlinlugError, ValueError):
    """Another decides on this traffic class's override, or nobody now; the text says who."""


class SharedOverrides:
    """Keeps a manager's overrides as the log has them.

    Attributes:
        rejection_errors: what the registry raises for an override that may not be active here.
        wall_clock: seconds since the epoch.
        applied_records: by traffic class, the record of the log that was applied last.
    """

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
        self.applied_records: dict[str, bytes] = {}

    def require_ownership(self, traffic_class: str) -> None:
        """Check that we decide, right before an operator's change is made here.

        Raises:
            NotOwnerError: Another decides, or nobody at the moment.
        """
        if self._is_owner(traffic_class):
            return
        owner = self.ownership.owner_of(task_of(traffic_class))
        if owner not in ("", self.ownership.self_id):
            raise NotOwnerError(f"{owner} decides on pins of {traffic_class}; say it there")
        raise NotOwnerError(
            f"nobody decides on pins of {traffic_class} at the moment: "
            "no majority of the members, or a change under way"
        )

    def _is_owner(self, traffic_class: str) -> bool:
        return self.ownership.held_token(task_of(traffic_class)) is not None

    def publish(self, traffic_class: str) -> None:
        """Write what is active with us, who decide on it, into the log for all.

        Raises:
            CheckpointError: It is too large, or our lease has just ended; then it is no longer
                active here either.
        """
        body = self._current_record(traffic_class) or OVERRIDE_ENDED
        try:
            self.ownership.store_checkpoint(task_of(traffic_class), body)
        except ValueError:
            self.registry.end(trio.current_time(), self._index(traffic_class))
            self.applied_records.pop(traffic_class, None)  # what the log has is applied anew
            raise
        self.applied_records[traffic_class] = body

    def _index(self, traffic_class: str) -> int:
        return self.registry.traffic_class_names.index(traffic_class)

    def _current_record(self, traffic_class: str) -> bytes:
        """The record of what is active with us; empty if nothing is."""
        active = (entry for entry in self.registry.to_plain() if entry["product"] == traffic_class)
        entry = next(active, None)
        return b"" if entry is None else json.dumps(entry).encode()

    async def run(self) -> None:
        """Apply what the log has, and write what it has lost."""
        while True:
            await trio.sleep(POLL_INTERVAL)
            for traffic_class in self.registry.traffic_class_names:
                self._synchronize(traffic_class)

    def _synchronize(self, traffic_class: str) -> None:
        record = self.ownership.checkpoint(task_of(traffic_class))
        if not record:
            self._write_missing(traffic_class)
        elif record != self.applied_records.get(traffic_class):
            self.applied_records[traffic_class] = record
            self._apply(traffic_class, record)

    def _write_missing(self, traffic_class: str) -> None:
        """As the owner, write what is active: the log was lost, or has just begun."""
        if not self._is_owner(traffic_class) or not self._current_record(traffic_class):
            return
        try:
            self.publish(traffic_class)
        except ValueError as error:
            self.log_event("override.not_replicated", product=traffic_class, why=str(error))

    def _apply(self, traffic_class: str, record: bytes) -> None:
        """Make active what the record says; what is rejected here may be active elsewhere."""
        now = trio.current_time()
        override = None if record == OVERRIDE_ENDED else json.loads(record)
        if override is None or override["until"] <= self.wall_clock():
            self.registry.end(now, self._index(traffic_class))
        elif record != self._current_record(traffic_class):
            try:
                self.registry.activate_plain(now, override)
            except self.rejection_errors as error:
                self.log_event("override.not_applied", product=traffic_class, why=str(error))
