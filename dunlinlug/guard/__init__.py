"""Judges every order before it reaches a proxy; free of I/O, beside the module and apart from it."""

from dunlinlug.guard.judge import Judge, Refusal

__all__ = ["Judge", "Refusal"]
