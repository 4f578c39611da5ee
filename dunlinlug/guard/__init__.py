"""Judges every order before it reaches a proxy; free of I/O, beside the module and apart from it."""

from dunlinlug.guard.judge import Judge, Refusal
from dunlinlug.guard.pins import Ended, Pin, PinFault, Pins

__all__ = ["Ended", "Judge", "Pin", "PinFault", "Pins", "Refusal"]
