"""The guard in the manager's loop: has each reply judged, tells the module, the log and the store
of refusals.
"""

import time
from collections.abc import Callable, Sequence
from typing import Any

from dunlinlug.decision.events import Event, OrderRejected
from dunlinlug.decision.orders import Order
from dunlinlug.guard import OrderValidator, Rejection
from dunlinlug.manager.rejected_order_text import rejected_order_text


class RecordingOrderValidation:
    """With `obeyed` false it only tells what would be refused. `keep` gets each batch of refusals
    as plain records.
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
        self.on_validated: Callable[[float, list[Rejection]], None] | None = (
            None  # told after each reply is judged
        )

    def register_observer(self, on_validated: Callable[[float, list[Rejection]], None]) -> None:
        """Call `on_validated` with the time and the enforced rejections after each reply."""
        self.on_validated = on_validated

    def replace_validator(self, validator: OrderValidator) -> None:
        """Validate by another state from now on, as a new leader does."""
        self.validator = validator

    def validate(
        self,
        now: float,
        events: Sequence[Event],
        orders: list[Order],
        submit: Callable[[Event], None],
    ) -> tuple[list[Order], list[int]]:
        """The orders to carry out, and the proxies that a refused one concerned."""
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
        """Tell the log and the ring on disk; `source` is whose orders they were."""
        records = []
        for rejection in rejections:
            self.rejection_count += 1
            fields = {
                "source": source,
                "rule": rejection.rule,
                "order": rejected_order_text(rejection.order),  # type: ignore[arg-type]
                "why": rejection.reason,
                "would_pass": rejection.remedy,
                "proxies": list(rejection.proxies[:20]),
                "done": "passed as the lesser harm"
                if rejection.allowed_anyway
                else "refused"
                if self.enforced
                else "passed, as the guard only watches",
            }
            self.log_event("guard.order_rejected", count=self.rejection_count, **fields)
            records.append({"wall": time.time(), **fields})
        self.store_rejections(records)
