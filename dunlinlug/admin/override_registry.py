"""The active operator overrides of a manager: evaluated, stored, applied, and ended.

An override ends by an operator's request, when it expires, or when it is no longer valid. Other
members of a fleet and the store get overrides with wall-clock times, as those outlive a process.
"""

import time
from collections.abc import Callable, Sequence

import trio

from dunlinlug.decision.events import Event, OverrideChanged
from dunlinlug.decision.orders import AssignTable
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard import (
    EndedOverride,
    OrderValidator,
    Override,
    OverrideEvaluation,
    Overrides,
    Rejection,
    RejectionRule,
)
from dunlinlug.storage.records import StoredOverride

MAX_REJECTIONS_RECORDED = 20


class OverrideRejectedError(DunlinlugError):
    """The guard rejects the table that an override would make; has the rejections."""

    def __init__(self, rejections: list[Rejection]) -> None:
        super().__init__(rejections[0].reason)
        self.rejections = rejections


class OverrideRegistry:
    """Owns when overrides take effect: on disk first, then in the decision module.

    All times are seconds on trio's clock, but for those of `StoredOverride`.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # all that it works with, given once
        self,
        overrides: Overrides,
        enforced: bool,
        submit: Callable[[Event], None],
        log_event: Callable[..., None],
        persist: Callable[[Sequence[StoredOverride]], None],
        record_rejections: Callable[[list[Rejection], str], None],
    ) -> None:
        """Let overrides of this manager take effect.

        Args:
            overrides: Those that are active.
            enforced: Whether a rejected override is held back; if not, it is only recorded.
            submit: Notifies the decision module.
            log_event: Writes a line of the log.
            persist: Stores all active overrides; called whenever one is activated or ends.
            record_rejections: Logs and stores rejections, with a text that says whose orders.
        """
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

    def propose(self, now: float, override: Override) -> OverrideEvaluation:
        """What speaks against an override; changes nothing.

        Raises:
            OverrideError: The override cannot be right in any state of the fleet.
        """
        self.overrides.validate(override, now)
        return self.overrides.evaluate(now, override)

    def activate(self, now: float, override: Override) -> list[str]:
        """Let an override take effect once it is on disk; gives the warnings about it.

        Raises:
            OverrideError: The override cannot be right in any state of the fleet.
            OverrideRejectedError: The guard rejects it.
        """
        evaluation = self.propose(now, override)
        if evaluation.rejections:
            self.record_rejections(evaluation.rejections[:MAX_REJECTIONS_RECORDED], "operator")
            if self.enforced:
                raise OverrideRejectedError(evaluation.rejections)
        event = self.overrides.activate(override)
        self._persist()
        self.submit(event)
        self.log_event(
            "override.activated",
            product=self.traffic_class_names[override.traffic_class],
            lasts=round(override.expires_at - now, 1),
            others=override.keep_unlisted,
            weights=dict(override.weights),
            cautions=evaluation.warnings,
        )
        return evaluation.warnings

    def end(self, now: float, traffic_class: int) -> bool:  # noqa: ARG002  # a protocol's signature
        """End an override as an operator wishes; false if none is active."""
        event = self.overrides.end(traffic_class)
        if event is None:
            return False
        self._persist()
        self.submit(event)
        self.log_event(
            "override.ended",
            product=self.traffic_class_names[traffic_class],
            why="an operator's word",
        )
        return True

    def end_invalid(self, now: float, rejections: list[Rejection]) -> None:
        """End what has expired or is no longer valid; called after each validated batch."""
        all_ended = self.overrides.end_invalid(now, rejections)
        for ended in all_ended:
            self.submit(OverrideChanged(ended.override.traffic_class))
            self.log_event(
                "override.revoked" if ended.revoked else "override.ended",
                product=self.traffic_class_names[ended.override.traffic_class],
                why=ended.reason,
            )
        if all_ended:
            self._persist()
            self.record_rejections(
                [self._as_rejection(ended) for ended in all_ended if ended.revoked],
                "guard, lifting a pin",
            )

    def _as_rejection(self, ended: EndedOverride) -> Rejection:
        name = self.traffic_class_names[ended.override.traffic_class]
        return Rejection(
            AssignTable(0, (ended.override.traffic_class,), 0),
            RejectionRule.WITHOUT_ENDPOINT,
            f"the pin of {name} was lifted: {ended.reason}",
            "a pin that names workers which may be used",
        )

    def _active(self) -> list[StoredOverride]:
        wall_clock_offset = time.time() - trio.current_time()
        return [
            StoredOverride(
                traffic_class=self.traffic_class_names[override.traffic_class],
                weights=dict(override.weights),
                keep_unlisted=override.keep_unlisted,
                expires_at=round(override.expires_at + wall_clock_offset, 1),
            )
            for override in self.overrides.active.values()
        ]

    def to_plain(self) -> list[dict[str, object]]:
        """All active overrides with wall-clock times, as other members get them."""
        return [override.to_plain() for override in self._active()]

    def _persist(self) -> None:
        self.persist(self._active())
        self.changed.set()

    def _to_override(self, stored: StoredOverride, expires_at: float) -> Override:
        return Override(
            self.traffic_class_names.index(stored.traffic_class),
            stored.weights,
            stored.keep_unlisted,
            expires_at,
        )

    def replace_all(self, plain_overrides: list[dict[str, object]]) -> None:
        """Take over the overrides of the leader, whose module has told ours already."""
        all_stored = [StoredOverride.from_plain(plain) for plain in plain_overrides]
        self.overrides.active.clear()
        wall_clock_offset = time.time() - trio.current_time()
        for stored in all_stored:
            if stored.traffic_class in self.traffic_class_names:
                override = self._to_override(stored, stored.expires_at - wall_clock_offset)
                self.overrides.activate(override)
        self.persist(all_stored)
        self.changed.set()

    def activate_plain(self, now: float, plain: dict[str, object]) -> None:
        """Activate an override as another member of the fleet has it.

        Raises:
            OverrideError: The override cannot be right in any state of the fleet.
            OverrideRejectedError: Our own guard rejects it.
        """
        stored = StoredOverride.from_plain(plain)
        self.activate(now, self._to_override(stored, self._local_expiry(now, stored)))

    def _local_expiry(self, now: float, stored: StoredOverride) -> float:
        """When it ends on our clock.

        Without the limit, a wall clock that was set back would prolong it.
        """
        wall_clock_offset = time.time() - now
        return min(stored.expires_at - wall_clock_offset, now + self.overrides.max_duration)

    def restore(self, now: float, all_stored: Sequence[StoredOverride]) -> None:
        """Activate what an earlier process has stored and what has not expired since.

        It is not evaluated again; the guard sees every order that comes of it.
        """
        for stored in all_stored:
            expires_at = self._local_expiry(now, stored)
            if stored.traffic_class in self.traffic_class_names and expires_at > now:
                self.submit(self.overrides.activate(self._to_override(stored, expires_at)))
                self.log_event(
                    "override.restored",
                    product=stored.traffic_class,
                    lasts=round(expires_at - now, 1),
                )

    async def run(self) -> None:
        """End overrides when they expire, also while no batch is validated; never returns."""
        while True:
            self.changed = trio.Event()
            with trio.move_on_at(self.overrides.next_expiry()):
                await self.changed.wait()
            self.end_invalid(trio.current_time(), [])
