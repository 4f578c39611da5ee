"""Judges every order before it reaches a proxy; free of I/O, beside the module and apart from it."""

from dunlinlug.guard.order_validator import OrderValidator, Rejection
from dunlinlug.guard.overrides import EndedOverride, Override, OverrideError, Overrides

__all__ = ["EndedOverride", "OrderValidator", "Override", "OverrideError", "Overrides", "Rejection"]
