"""The validation stage of the decision loop: validates replies and records rejections.

A rejection is logged, stored, and, if rejections are enforced, submitted to the module.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from dunlinlug.decision.events import Event, OrderRejected
from dunlinlug.decision.orders import Order
from dunlinlug.guard import OrderValidator, Rejection
from dunlinlug.manager.rejected_order_text import rejected_order_text

MAX_PROXIES_IN_RECORD = 20


@dataclass(frozen=True)
class RejectionRecord:
    """One rejection as it is logged and stored; the field names are the keys of the record."""

    source: str  # who gave the order: the module or an operator
    rule: str
    order: str
    why: str
    would_pass: str
    proxies: list[int]
    done: str


class RecordingOrderValidation:
    """The stage between the module and the front end that checks each reply.

    With `enforced` false it only records what would be rejected. `store_rejections` gets each
    batch of rejections as plain records: the fields of `RejectionRecord` and the wall time.
    """

    def __init__(
        self,
        validator: OrderValidator,
        enforced: bool,
        log_event: Callable[..., None],
        store_rejections: Callable[[list[dict[str, Any]]], None],
    ) -> None:
        self.validator = validator
        self.enforced = enforced
        self.log_event = log_event
        self.store_rejections = store_rejections
        self.rejection_count = 0
        # called after each reply is checked, with the rejections that are enforced
        self.on_validated: Callable[[float, list[Rejection]], None] | None = None

    def set_validated_callback(self, callback: Callable[[float, list[Rejection]], None]) -> None:
        """Have `callback` called after each reply, with the time and the enforced rejections."""
        self.on_validated = callback

    def replace_validator(self, validator: OrderValidator) -> None:
        """Use another validator from now on, as a new leader does with its restored state."""
        self.validator = validator

    def validate(
        self,
        now: float,
        events: Sequence[Event],
        orders: list[Order],
        submit: Callable[[Event], None],
    ) -> tuple[list[Order], list[int]]:
        """Return the orders to carry out, and the proxies that rejected orders concerned."""
        self.validator.handle(now, events)
        accepted, rejections = self.validator.validate(now, orders)
        if rejections:
            self.record_rejections(rejections, "module")
        if self.on_validated is not None:
            self.on_validated(now, rejections if self.enforced else [])
        if not self.enforced:
            return orders, []
        awaited_proxies = list[int]()
        for rejection in rejections:
            if not rejection.allowed_anyway:
                awaited_proxies += rejection.proxies
                submit(OrderRejected(rejection.order, rejection.reason))  # type: ignore[arg-type]
        return accepted, awaited_proxies

    def record_rejections(self, rejections: list[Rejection], source: str) -> None:
        """Log and store rejections; `source` is who gave the orders."""
        records = []
        for rejection in rejections:
            self.rejection_count += 1
            fields = asdict(self._create_record(rejection, source))
            self.log_event("guard.order_rejected", count=self.rejection_count, **fields)
            records.append({"wall": time.time(), **fields})
        self.store_rejections(records)

    def _create_record(self, rejection: Rejection, source: str) -> RejectionRecord:
        return RejectionRecord(
            source=source,
            rule=str(rejection.rule),
            order=rejected_order_text(rejection.order),  # type: ignore[arg-type]
            why=rejection.reason,
            would_pass=rejection.remedy,
            proxies=list(rejection.proxies[:MAX_PROXIES_IN_RECORD]),
            done=self._outcome(rejection),
        )

    def _outcome(self, rejection: Rejection) -> str:
        """Return the record's text for what was done with the order."""
        if rejection.allowed_anyway:
            return "passed as the lesser harm"
        if self.enforced:
            return "refused"
        return "passed, as the guard only watches"
