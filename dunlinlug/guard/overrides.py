"""Operators' pins: what one may say, whether it may stand, and when it ends. Free of I/O; times are
the caller's clock.

A pin gives a product other weights, a subset or an exclusion for a while. The module keeps ramp,
health and withdrawals under it, and the staged change that brings it in; the judge sees every order
that comes of it. What is weighed here is the table as all proxies would hold it, before the module
hears of the pin.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, isfinite

from dunlinlug.decision.events import OverrideChanged
from dunlinlug.decision.orders import AssignTable, Order, SetEjected, SetWeight
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard.order_validator import MAX_WEIGHT, OrderValidator, Rejection

TRIAL_TABLE_ID = -1  # the number of the table that is weighed; the module's begin at 1


class OverrideError(DunlinlugError, ValueError):
    """A pin that says nothing sensible; the text names the mistake and what would be right."""


@dataclass(frozen=True)
class Override:
    """`weights` by worker stand in place of the listed ones (0: not to be used; None: as listed);
    workers not named keep theirs if `others`, else they are not used. `until` is the end.
    """

    traffic_class: int
    weights: Mapping[str, float | None]
    keep_unlisted: bool
    expires_at: float

    def to_event(self) -> OverrideChanged:
        return OverrideChanged(self.traffic_class, tuple(self.weights.items()), self.keep_unlisted)


@dataclass(frozen=True)
class EndedOverride:
    """`lifted` if the guard ended it, else its time was up."""

    override: Override
    reason: str
    revoked: bool


def _worker_receiving_load(order: Order) -> str:
    """The worker that the order would have brought something to, if any."""
    match order:
        case SetWeight(_, worker, weight) if weight:
            return worker
        case SetEjected(worker, False):
            return worker
    return ""


class Overrides:
    def __init__(self, validator: OrderValidator, max_duration: float) -> None:
        """No pin stands longer than `longest` seconds."""
        self.validator = validator
        self.max_duration = max_duration
        self.active: dict[int, Override] = {}

    def validate(self, override: Override, now: float) -> None:
        """Raises PinFault for what no state of the fleet could make right."""
        traffic_class_names = [
            class_settings.name for class_settings in self.validator.settings.traffic_classes
        ]
        if not 0 <= override.traffic_class < len(traffic_class_names):
            raise OverrideError(f"unknown product; known are {', '.join(traffic_class_names)}")
        if not now < override.expires_at <= now + self.max_duration:
            raise OverrideError(
                f"lasts {override.expires_at - now:g} s; more than 0 and at most {self.max_duration:g} s"
            )
        if not override.weights:
            raise OverrideError("names no worker; a pin gives weights, a subset or an exclusion")
        for worker, weight in override.weights.items():
            if weight is not None and not (isfinite(weight) and 0.0 <= weight <= MAX_WEIGHT):
                raise OverrideError(f"weight {weight} for {worker}; 0 to a million")
            if worker not in self.validator.workers:
                raise OverrideError(f"{worker} was never listed")

    def evaluate(self, now: float, override: Override) -> tuple[list[Rejection], list[str]]:
        """What the judge would refuse of the pinned table if all proxies held it beside what they
        hold now, and cautions: no rule keeps an operator from overloading a warm worker.
        """
        set_weights = [
            SetWeight(TRIAL_TABLE_ID, worker, weight)
            for worker, weight in self._effective_weights(now, override).items()
        ]
        assignments = [
            AssignTable(proxy, (override.traffic_class,), TRIAL_TABLE_ID)
            for proxy in self.validator.usage.assignments
        ]
        if not any(self._is_usable(worker) for worker in self._selected_workers(override)):
            return [
                Rejection(
                    AssignTable(0, (override.traffic_class,), TRIAL_TABLE_ID),
                    "bare",
                    "none of its workers may be used",
                    "a ready worker that is not withdrawn",
                    tuple(self.validator.usage.assignments),
                )
            ], []
        # Danger: one kept out for now would meet its pinned weight on the day it is let in.
        readmissions = [
            SetEjected(worker, False)
            for worker, weight in override.weights.items()
            if weight and worker in self.validator.usage.ejected and self.validator.is_ready(worker)
        ]
        rejections = [
            rejection
            for rejection in self.validator.preview(
                now, [*set_weights, *assignments, *readmissions]
            )
            if not rejection.allowed_anyway
        ]
        return rejections, [] if rejections else self._warnings(
            now, [set_weight.worker for set_weight in set_weights]
        )

    def _warnings(self, now: float, workers: list[str]) -> list[str]:
        """By the readings: who would be sent a multiple of what it settled of late, as would push a
        cold one over.
        """
        warnings = []
        estimates = self.validator.estimates
        for worker in workers:
            max_load = self.validator.tentative.max_load(worker)
            success_rate = estimates.success_rate(worker, now)
            if success_rate and max_load > estimates.safety_limits.overload_multiple * success_rate:
                warnings.append(
                    f"{worker} would be sent {max_load:.1f} txns a second by all proxies; of late it settled "
                    f"{success_rate:.1f}"
                )
        return warnings

    def activate(self, override: Override) -> OverrideChanged:
        self.active[override.traffic_class] = override
        return override.to_event()

    def end(self, traffic_class: int) -> OverrideChanged | None:
        """Ends a pin by an operator's word; None if none stands."""
        return OverrideChanged(traffic_class) if self.active.pop(traffic_class, None) else None

    def next_expiry(self) -> float:
        return min((override.expires_at for override in self.active.values()), default=inf)

    def end_invalid(self, now: float, rejections: Iterable[Rejection] = ()) -> list[EndedOverride]:
        """Ends what is over or has become bad: no worker of it may be used, or a line that it
        weighs was refused.
        """
        rejections_by_worker = {
            _worker_receiving_load(rejection.order): rejection
            for rejection in rejections
            if not rejection.allowed_anyway
        }
        ended = []
        for override in list(self.active.values()):
            invalidating_rejection = next(
                (
                    rejections_by_worker[worker]
                    for worker, weight in override.weights.items()
                    if weight and worker in rejections_by_worker
                ),
                None,
            )
            if now >= override.expires_at:
                ended.append(EndedOverride(override, "its time is up", False))
            elif not any(self._is_usable(worker) for worker in self._selected_workers(override)):
                ended.append(
                    EndedOverride(override, "none of its workers may be used any more", True)
                )
            elif invalidating_rejection is not None:
                ended.append(
                    EndedOverride(
                        override,
                        f"what it weighs was refused: {invalidating_rejection.reason}",
                        True,
                    )
                )
        for ended_override in ended:
            del self.active[ended_override.override.traffic_class]
        return ended

    def _selected_workers(self, override: Override) -> Iterable[str]:
        """Those that the pin would have used."""
        if not override.keep_unlisted:
            return (worker for worker, weight in override.weights.items() if weight != 0.0)
        return (worker for worker in self.validator.workers if override.weights.get(worker) != 0.0)

    def _is_usable(self, worker: str) -> bool:
        return self.validator.is_ready(worker) and worker not in self.validator.usage.ejected

    def _effective_weights(self, now: float, override: Override) -> dict[str, float]:
        """The pinned table: listed weights by what each worker can do at its age, and the pin's
        over them.
        """
        workers = self.validator.workers
        listed_weights = [
            listed_worker.weight
            for listed_worker in workers.values()
            if listed_worker.state == "ready" and listed_worker.weight
        ]
        usual_weight = sum(listed_weights) / len(listed_weights) if listed_weights else 1.0
        weights = {}
        for worker in self._selected_workers(override):
            if self.validator.is_ready(worker):
                weight = override.weights.get(worker)
                weight = (workers[worker].weight or usual_weight) if weight is None else weight
                weights[worker] = weight * self.validator.estimates.capacity_fraction(
                    now, self.validator.started_at[worker]
                )
        return weights
