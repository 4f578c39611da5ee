"""Operator overrides: whether one may be activated, and when it ends. Free of I/O.

An override temporarily sets other weights for a traffic class, restricts it to some endpoints or
excludes some. Slow start, outlier detection and ejections stay in effect. The decision module
applies an override by the usual staged update, and the validator validates each resulting order.
This module evaluates the overridden table as if all proxies used it, before the decision module is
notified of the override. Times are seconds on the caller's clock.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf, isfinite

from dunlinlug.decision.events import OverrideChanged
from dunlinlug.decision.orders import AssignTable, Order, SetEjected, SetWeight
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard.order_rules import MAX_WEIGHT
from dunlinlug.guard.order_validator import OrderValidator
from dunlinlug.guard.rejection import Rejection, RejectionRule
from dunlinlug.guard.tentative_usage import TentativeUsage

TRIAL_TABLE_ID = -1  # id of the table that is evaluated; the decision module's ids begin at 1


class OverrideError(DunlinlugError, ValueError):
    """An invalid override; the message names the mistake and what would be valid."""


@dataclass(frozen=True)
class Override:
    """An operator's weights for a traffic class.

    Attributes:
        traffic_class: Index of the traffic class.
        weights: By endpoint id, the weight that replaces the listed one; 0 excludes the endpoint,
            None keeps the listed weight.
        keep_unlisted: Whether endpoints that `weights` does not name keep their listed weights;
            otherwise they are not used.
        expires_at: When it ends, in seconds.
    """

    traffic_class: int
    weights: Mapping[str, float | None]
    keep_unlisted: bool
    expires_at: float

    def to_event(self) -> OverrideChanged:
        """The event that notifies the decision module of it."""
        return OverrideChanged(self.traffic_class, tuple(self.weights.items()), self.keep_unlisted)


@dataclass(frozen=True)
class EndedOverride:
    """An override that has ended; `revoked` if it became invalid before it expired."""

    override: Override
    reason: str
    revoked: bool


@dataclass(frozen=True)
class OverrideEvaluation:
    """The result of evaluating an override: rejections prevent activation, warnings do not."""

    rejections: list[Rejection] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


class Overrides:
    """The active overrides by traffic class; at most one each."""

    def __init__(self, validator: OrderValidator, max_duration: float) -> None:
        """Limit the duration of each override to `max_duration` seconds."""
        self.validator = validator
        self.max_duration = max_duration
        self.active: dict[int, Override] = {}

    def validate(self, override: Override, now: float) -> None:
        """Check an override for mistakes that make it invalid in any state of the fleet.

        Raises:
            OverrideError: An unknown traffic class or endpoint, no endpoint, or a weight or time
                out of range.
        """
        names = [class_settings.name for class_settings in self.validator.settings.traffic_classes]
        if not 0 <= override.traffic_class < len(names):
            raise OverrideError(f"unknown product; known are {', '.join(names)}")
        if not now < override.expires_at <= now + self.max_duration:
            raise OverrideError(
                f"lasts {override.expires_at - now:g} s; "
                f"more than 0 and at most {self.max_duration:g} s"
            )
        if not override.weights:
            raise OverrideError("names no worker; a pin gives weights, a subset or an exclusion")
        for worker, weight in override.weights.items():
            if weight is not None and not (isfinite(weight) and 0.0 <= weight <= MAX_WEIGHT):
                raise OverrideError(f"weight {weight} for {worker}; 0 to a million")
            if worker not in self.validator.endpoints.by_id:
                raise OverrideError(f"{worker} was never listed")

    def evaluate(self, now: float, override: Override) -> OverrideEvaluation:
        """Return what would be rejected if proxies could use the overridden table and their own.

        Warnings name warm endpoints that would be sent much more than they recently served, which
        no rule forbids.
        """
        if not self._has_usable_endpoint(override):
            return OverrideEvaluation([self._without_endpoint(override)])
        weights = self._effective_weights(now, override)
        orders: list[Order] = [
            SetWeight(TRIAL_TABLE_ID, worker, weight) for worker, weight in weights.items()
        ]
        orders += [
            AssignTable(proxy, (override.traffic_class,), TRIAL_TABLE_ID)
            for proxy in self.validator.usage.assignments
        ]
        orders += self._readmissions(override)
        batch = self.validator.preview(now, orders)
        rejections = [rejection for rejection in batch.rejections if not rejection.allowed_anyway]
        if rejections:
            return OverrideEvaluation(rejections)
        return OverrideEvaluation(warnings=self._warnings(now, weights, batch.usage))

    def _without_endpoint(self, override: Override) -> Rejection:
        return Rejection(
            AssignTable(0, (override.traffic_class,), TRIAL_TABLE_ID),
            RejectionRule.WITHOUT_ENDPOINT,
            "none of its workers may be used",
            "a ready worker that is not withdrawn",
            tuple(self.validator.usage.assignments),
        )

    def _readmissions(self, override: Override) -> list[Order]:
        """Readmissions of the override's endpoints that are currently ejected.

        Evaluating them covers the load that an ejected endpoint gets by its overridden weight once
        it is readmitted.
        """
        return [
            SetEjected(worker, False)
            for worker, weight in override.weights.items()
            if weight
            and worker in self.validator.usage.ejected
            and self.validator.endpoints.is_ready(worker)
        ]

    def _warnings(self, now: float, workers: Iterable[str], usage: TentativeUsage) -> list[str]:
        """Name endpoints that would be sent more than a multiple of what they recently served.

        The multiple is the one at which an endpoint that is warming up fails.
        """
        warnings = []
        estimates = self.validator.estimates
        for worker in workers:
            max_load = usage.max_load(worker)
            success_rate = estimates.success_rate(worker, now)
            if success_rate and max_load > estimates.safety_limits.overload_multiple * success_rate:
                warnings.append(
                    f"{worker} would be sent {max_load:.1f} txns a second by all proxies; "
                    f"of late it settled {success_rate:.1f}"
                )
        return warnings

    def activate(self, override: Override) -> OverrideChanged:
        """Activate an override; it replaces an earlier one of its traffic class."""
        self.active[override.traffic_class] = override
        return override.to_event()

    def end(self, traffic_class: int) -> OverrideChanged | None:
        """End an override at an operator's request; None if there is none."""
        if self.active.pop(traffic_class, None) is None:
            return None
        return OverrideChanged(traffic_class)

    def next_expiry(self) -> float:
        """When the next override expires, in seconds; infinite if there is none."""
        return min((override.expires_at for override in self.active.values()), default=inf)

    def end_invalid(self, now: float, rejections: Iterable[Rejection] = ()) -> list[EndedOverride]:
        """End the overrides that have expired or are no longer valid.

        An override is no longer valid if none of its endpoints may be used, or if an order that
        would send load to an endpoint with an overridden weight was rejected.
        """
        reason_by_worker = {
            _worker_receiving_load(rejection.order): rejection.reason
            for rejection in rejections
            if not rejection.allowed_anyway
        }
        all_ended = []
        for override in list(self.active.values()):
            ended = self._ended(now, override, reason_by_worker)
            if ended is not None:
                all_ended.append(ended)
                del self.active[override.traffic_class]
        return all_ended

    def _ended(
        self, now: float, override: Override, reason_by_worker: Mapping[str, str]
    ) -> EndedOverride | None:
        if now >= override.expires_at:
            return EndedOverride(override, "expired", revoked=False)
        if not self._has_usable_endpoint(override):
            return EndedOverride(override, "none of its workers may be used any more", revoked=True)
        for worker, weight in override.weights.items():
            if weight and worker in reason_by_worker:
                reason = f"an order for one of its workers was rejected: {reason_by_worker[worker]}"
                return EndedOverride(override, reason, revoked=True)
        return None

    def _selected_workers(self, override: Override) -> Iterable[str]:
        """The endpoints that the override lets proxies use."""
        if not override.keep_unlisted:
            return (worker for worker, weight in override.weights.items() if weight != 0.0)
        known = self.validator.endpoints.by_id
        return (worker for worker in known if override.weights.get(worker) != 0.0)

    def _has_usable_endpoint(self, override: Override) -> bool:
        return any(
            self.validator.endpoints.is_ready(worker) and worker not in self.validator.usage.ejected
            for worker in self._selected_workers(override)
        )

    def _effective_weights(self, now: float, override: Override) -> dict[str, float]:
        """The overridden table: weights by endpoint, reduced for those that are warming up."""
        endpoints = self.validator.endpoints
        default_weight = self._default_weight()
        weights = {}
        for worker in self._selected_workers(override):
            if not endpoints.is_ready(worker):
                continue
            weight = override.weights.get(worker)
            if weight is None:
                weight = endpoints.by_id[worker].weight or default_weight
            weights[worker] = weight * self.validator.estimates.capacity_fraction(
                now, endpoints.started_at[worker]
            )
        return weights

    def _default_weight(self) -> float:
        """The weight of endpoints listed without one: the mean of ready ones; 1 without any."""
        listed_weights = [
            endpoint.weight
            for endpoint in self.validator.endpoints.by_id.values()
            if endpoint.state == "ready" and endpoint.weight
        ]
        if not listed_weights:
            return 1.0
        return sum(listed_weights) / len(listed_weights)


def _worker_receiving_load(order: Order) -> str:
    """The endpoint to which the order would have sent requests; empty if there is none."""
    if isinstance(order, SetWeight) and order.weight:
        return order.worker
    if isinstance(order, SetEjected) and not order.ejected:
        return order.worker
    return ""
