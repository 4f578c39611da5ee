"""Errors of ownership that a caller can answer for."""

from dunlinlug.errors import DunlinlugError


class ShardMoveError(DunlinlugError, ValueError):
    """An operator's move of a shard cannot be made here or now; the text says why."""


class CheckpointError(DunlinlugError, ValueError):
    """A checkpoint is too large, or its task is not ours at the moment; the text says which."""
