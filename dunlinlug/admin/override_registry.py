"""The pins that stand in a manager: weighed, kept on disk, told to the module, ended by time, word
or the guard.
"""

import time
from collections.abc import Callable
from typing import Any

import trio

from dunlinlug.decision.events import Event, OverrideChanged
from dunlinlug.decision.orders import AssignTable
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard import EndedOverride, OrderValidator, Override, Overrides, Rejection


class OverrideRejectedError(DunlinlugError):
    """The guard would refuse the pinned table."""

    def __init__(self, rejections: list[Rejection]) -> None:
        super().__init__(rejections[0].reason)
        self.rejections = rejections


class OverrideRegistry:
    """`obeyed` is false where the guard only watches; `keep` gets all pins, plain, whenever one
    comes or goes.
    """

    def __init__(
        self,
        overrides: Overrides,
        enforced: bool,
        submit: Callable[[Event], None],
        log_event: Callable[..., None],
        persist: Callable[[list[dict[str, Any]]], None],
        record_rejections: Callable[[list[Rejection], str], None],
    ) -> None:
        self.overrides = overrides
        self.enforced = enforced
        self.submit = submit
        self.log_event = log_event
        self.persist = persist
        self.record_rejections = record_rejections
        self.traffic_class_names = [
            traffic_class.name for traffic_class in overrides.validator.settings.traffic_classes
        ]
        self.changed = trio.Event()

    def replace_validator(self, validator: OrderValidator) -> None:
        """Evaluate overrides by another validator from now on, as a new leader does."""
        self.overrides.validator = validator

    def propose(self, now: float, override: Override) -> tuple[list[Rejection], list[str]]:
        """What would be refused of it, and cautions; raises PinFault. Changes nothing."""
        self.overrides.validate(override, now)
        return self.overrides.evaluate(now, override)

    def activate(self, now: float, override: Override) -> list[str]:
        """Raises PinFault or Refused; gives the cautions. On disk before it is told."""
        rejections, warnings = self.propose(now, override)
        if rejections:
            self.record_rejections(rejections[:20], "operator")
            if self.enforced:
                raise OverrideRejectedError(rejections)
        event = self.overrides.activate(override)
        self._persist(now)
        self.submit(event)
        self.log_event(
            "override.activated",
            product=self.traffic_class_names[override.traffic_class],
            lasts=round(override.expires_at - now, 1),
            others=override.keep_unlisted,
            weights=dict(override.weights),
            cautions=warnings,
        )
        return warnings

    def end(self, now: float, traffic_class: int) -> bool:
        """Ends a pin by an operator's word; false if none stands."""
        event = self.overrides.end(traffic_class)
        if event is None:
            return False
        self._persist(now)
        self.submit(event)
        self.log_event(
            "override.ended",
            product=self.traffic_class_names[traffic_class],
            why="an operator's word",
        )
        return True

    def end_invalid(self, now: float, rejections: list[Rejection]) -> None:
        """After each reply: what is over or has become bad ends."""
        ended_overrides = self.overrides.end_invalid(now, rejections)
        for ended_override in ended_overrides:
            self.submit(OverrideChanged(ended_override.override.traffic_class))
            self.log_event(
                "override.revoked" if ended_override.revoked else "override.ended",
                product=self.traffic_class_names[ended_override.override.traffic_class],
                why=ended_override.reason,
            )
        if ended_overrides:
            self._persist(now)
            self.record_rejections(
                [
                    self._as_rejection(ended_override)
                    for ended_override in ended_overrides
                    if ended_override.revoked
                ],
                "guard, lifting a pin",
            )

    def _as_rejection(self, ended_override: EndedOverride) -> Rejection:
        return Rejection(
            AssignTable(0, (ended_override.override.traffic_class,), 0),
            "bare",
            f"the pin of {self.traffic_class_names[ended_override.override.traffic_class]} was lifted: {ended_override.reason}",
            "a pin that names workers which may be used",
        )

    def to_plain(self) -> list[dict[str, Any]]:
        """All that stand, with wall times, which outlive a process."""
        wall_clock_offset = time.time() - trio.current_time()
        return [
            {
                "product": self.traffic_class_names[override.traffic_class],
                "weights": dict(override.weights),
                "others": override.keep_unlisted,
                "until": round(override.expires_at + wall_clock_offset, 1),
            }
            for override in self.overrides.active.values()
        ]

    def _persist(self, now: float) -> None:
        self.persist(self.to_plain())
        self.changed.set()

    def replace_all(self, stored: list[dict[str, Any]]) -> None:
        """Those of another manager, whose module has told ours already."""
        self.overrides.active.clear()
        wall_clock_offset = time.time() - trio.current_time()
        for entry in stored:
            if entry["product"] in self.traffic_class_names:
                self.overrides.activate(
                    Override(
                        self.traffic_class_names.index(entry["product"]),
                        entry["weights"],
                        entry["others"],
                        entry["until"] - wall_clock_offset,
                    )
                )
        self.persist(stored)
        self.changed.set()

    def activate_plain(self, now: float, entry: dict[str, Any]) -> None:
        """As another manager of the fleet has it. Raises PinFault or Refused, as our own guard
        says.
        """
        expires_at = min(entry["until"] - (time.time() - now), now + self.overrides.max_duration)
        self.activate(
            now,
            Override(
                self.traffic_class_names.index(entry["product"]),
                entry["weights"],
                entry["others"],
                expires_at,
            ),
        )

    def restore(self, now: float, stored: list[dict[str, Any]]) -> None:
        """Pins of an earlier life that still have time; the judge sees all that comes of them."""
        wall_clock_offset = time.time() - now
        for entry in stored:
            expires_at = min(
                entry["until"] - wall_clock_offset, now + self.overrides.max_duration
            )  # a clock set back prolongs nothing
            if entry["product"] in self.traffic_class_names and expires_at > now:
                override = Override(
                    self.traffic_class_names.index(entry["product"]),
                    entry["weights"],
                    entry["others"],
                    expires_at,
                )
                self.submit(self.overrides.activate(override))
                self.log_event(
                    "override.restored", product=entry["product"], lasts=round(expires_at - now, 1)
                )

    async def run(self) -> None:
        """Ends pins whose time is up, also while the loop is idle."""
        while True:
            self.changed = trio.Event()
            with trio.move_on_at(self.overrides.next_expiry()):
                await self.changed.wait()
            self.end_invalid(trio.current_time(), [])
