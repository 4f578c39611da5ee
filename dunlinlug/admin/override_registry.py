"""The active operator overrides of a manager: validation, storage, activation and end.

An override ends at an operator's request, when it expires, or when it is no longer valid. In the
store and in messages to other members its expiry is a wall-clock time, because a monotonic time has
no meaning in another process.
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
    """The guard rejected the table that an override would produce, for `rejections`."""

    def __init__(self, rejections: list[Rejection]) -> None:
        super().__init__(rejections[0].reason)
        self.rejections = rejections


class OverrideRegistry:
    """Activates and ends overrides: stores each change, then submits it to the decision module.

    All times are seconds on trio's clock, except those of `StoredOverride`.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # all dependencies, injected
        self,
        overrides: Overrides,
        enforced: bool,
        submit: Callable[[Event], None],
        log_event: Callable[..., None],
        persist: Callable[[Sequence[StoredOverride]], None],
        record_rejections: Callable[[list[Rejection], str], None],
    ) -> None:
        """Manage the overrides of a manager.

        Args:
            overrides: The active overrides.
            enforced: Whether a rejected override is refused; if not, the rejection is only
                recorded.
            submit: Submits an event to the decision module.
            log_event: Writes a log line.
            persist: Stores all active overrides; called on each activation and end.
            record_rejections: Logs and stores rejections, with the source of the rejected orders.
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
        """Evaluate overrides with another validator from now on; a new leader has its own."""
        self.overrides.validator = validator

    def propose(self, now: float, override: Override) -> OverrideEvaluation:
        """Evaluate an override without activating it.

        Raises:
            OverrideError: The override is invalid in every state of the fleet.
        """
        self.overrides.validate(override, now)
        return self.overrides.evaluate(now, override)

    def activate(self, now: float, override: Override) -> list[str]:
        """Store and activate an override; returns the warnings about it.

        Raises:
            OverrideError: The override is invalid in every state of the fleet.
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
        """End an override at an operator's request; returns false if none is active."""
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
        """End overrides that expired or are no longer valid; called after each validated batch."""
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
        """All active overrides in plain values with wall-clock times, for other members."""
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
        """Replace all overrides by the leader's.

        Nothing is submitted: the replicated state of the decision module already has them.
        """
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
        """Activate an override that another member of the fleet sent.

        Raises:
            OverrideError: The override is invalid in every state of the fleet.
            OverrideRejectedError: The guard of this manager rejects it.
        """
        stored = StoredOverride.from_plain(plain)
        self.activate(now, self._to_override(stored, self._local_expiry(now, stored)))

    def _local_expiry(self, now: float, stored: StoredOverride) -> float:
        """The expiry time on trio's clock.

        It is limited to the longest duration of an override, because a wall clock that was set
        back would prolong the override.
        """
        wall_clock_offset = time.time() - now
        return min(stored.expires_at - wall_clock_offset, now + self.overrides.max_duration)

    def restore(self, now: float, all_stored: Sequence[StoredOverride]) -> None:
        """Activate the overrides that an earlier process stored and that have not expired.

        They are not evaluated again; the guard validates each order that results from them.
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
        """End overrides when they expire, even while no batch is validated; never returns."""
        while True:
            self.changed = trio.Event()
            with trio.move_on_at(self.overrides.next_expiry()):
                await self.changed.wait()
            self.end_invalid(trio.current_time(), [])
