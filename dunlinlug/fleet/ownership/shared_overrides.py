"""Operator overrides that apply to the whole fleet and are changed by one member at a time.

The owner of the task `pin/PRODUCT` validates a change and writes it to the members' log. The log
holds the desired state, and each manager applies its differences from the active overrides. The end
of an override is logged as a record too, so an active override has no record only if the log was
lost or has just started. Its owner then writes the record.
"""

import json
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
import trio

from dunlinlug.bounded_values import JsonDecoder, OutOfBoundsError, UnixSeconds, parse_json
from dunlinlug.errors import DunlinlugError
from dunlinlug.fleet.ownership.service import Ownership

OVERRIDE_ENDED = b"-"  # the record of an override that has ended
POLL_INTERVAL = 0.2  # seconds between comparisons with the log


class _RecordedExpiry(msgspec.Struct):
    """The expiry in a record, in seconds on the wall clock; the registry decodes the rest."""

    until: UnixSeconds


_expiry_decoder = JsonDecoder[_RecordedExpiry](_RecordedExpiry)


class OverrideRegistry(Protocol):
    """A manager's active overrides, as JSON objects with wall-clock times."""

    traffic_class_names: list[str]

    def to_plain(self) -> list[dict[str, Any]]:
        """Returns all active overrides, at most one for each traffic class."""

    def activate_plain(self, now: float, entry: dict[str, Any]) -> None:
        """Activates an override.

        Raises an order validation error if it is not allowed here, or OutOfBoundsError if it is
        malformed.
        """

    def end(self, now: float, traffic_class: int) -> bool:
        """Ends the override of a traffic class; returns whether there was one."""


def task_of(traffic_class: str) -> str:
    """Returns the task of deciding on a traffic class's override."""
    return f"pin/{traffic_class}"


class NotOwnerError(DunlinlugError, ValueError):
    """Another member, or currently none, may change this traffic class's override."""


class SharedOverrides:
    """Keeps a manager's overrides consistent with the log.

    Attributes:
        record_errors: Errors of a record that is malformed, or whose override is not allowed here.
        wall_clock: Returns seconds since the epoch.
        applied_records: The last applied record of the log by traffic class.
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
        self.record_errors: tuple[type[Exception], ...] = (OutOfBoundsError, *rejection_errors)
        self.log_event = log_event
        self.wall_clock = wall_clock
        self.applied_records: dict[str, bytes] = {}

    def require_ownership(self, traffic_class: str) -> None:
        """Checks that this member may change an override, right before an operator's change.

        Raises:
            NotOwnerError: Another member owns the override, or no member does at the moment.
        """
        if self._is_owner(traffic_class):
            return
        owner = self.ownership.owner_of(task_of(traffic_class))
        if owner not in ("", self.ownership.self_id):
            raise NotOwnerError(
                f"{owner} owns the override of {traffic_class}; make the change on that manager"
            )
        raise NotOwnerError(
            f"no manager owns the override of {traffic_class} at the moment: "
            "there is no majority of members, or its shard is being reassigned"
        )

    def _is_owner(self, traffic_class: str) -> bool:
        return self.ownership.held_token(task_of(traffic_class)) is not None

    def publish(self, traffic_class: str) -> None:
        """Writes the active override, which this member owns, to the log for all members.

        Raises:
            CheckpointError: The record is too large, or the lease has just expired. The override
                has then been ended on this manager too.
        """
        body = self._current_record(traffic_class) or OVERRIDE_ENDED
        try:
            self.ownership.store_checkpoint(task_of(traffic_class), body)
        except ValueError:
            self.registry.end(trio.current_time(), self._index(traffic_class))
            self.applied_records.pop(traffic_class, None)  # the log's record is applied again
            raise
        self.applied_records[traffic_class] = body

    def _index(self, traffic_class: str) -> int:
        return self.registry.traffic_class_names.index(traffic_class)

    def _current_record(self, traffic_class: str) -> bytes:
        """Returns the record of the active override; empty if there is none."""
        active = (entry for entry in self.registry.to_plain() if entry["product"] == traffic_class)
        entry = next(active, None)
        return b"" if entry is None else json.dumps(entry).encode()

    async def run(self) -> None:
        """Applies the log's records, and writes records that are missing from the log."""
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
        """Writes the active override as its owner, after the log was lost or has just started."""
        if not self._is_owner(traffic_class) or not self._current_record(traffic_class):
            return
        try:
            self.publish(traffic_class)
        except ValueError as error:
            self.log_event("override.not_replicated", product=traffic_class, why=str(error))

    def _apply(self, traffic_class: str, record: bytes) -> None:
        """Applies a record; an override rejected here may still be active on other managers."""
        try:
            self._apply_decoded(traffic_class, record)
        except self.record_errors as error:
            self.log_event("override.not_applied", product=traffic_class, why=str(error))

    def _apply_decoded(self, traffic_class: str, record: bytes) -> None:
        """Applies a record; raises OutOfBoundsError if it is malformed, or a rejection error."""
        now = trio.current_time()
        if record == OVERRIDE_ENDED or _expiry_decoder.decode(record).until <= self.wall_clock():
            self.registry.end(now, self._index(traffic_class))
        elif record != self._current_record(traffic_class):
            self.registry.activate_plain(now, parse_json(record))
