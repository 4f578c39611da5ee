"""Validates every order before it reaches a proxy; separate from the decision module, no I/O."""

from dunlinlug.guard.order_rules import VALIDATED_ORDERS
from dunlinlug.guard.order_validator import OrderValidator, ValidatedBatch
from dunlinlug.guard.overrides import (
    EndedOverride,
    Override,
    OverrideError,
    OverrideEvaluation,
    Overrides,
)
from dunlinlug.guard.rejection import Rejection, RejectionRule

__all__ = [
    "VALIDATED_ORDERS",
    "EndedOverride",
    "OrderValidator",
    "Override",
    "OverrideError",
    "OverrideEvaluation",
    "Overrides",
    "Rejection",
    "RejectionRule",
    "ValidatedBatch",
]
