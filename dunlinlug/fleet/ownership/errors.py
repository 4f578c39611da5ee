"""Errors of ownership that callers can handle."""

from dunlinlug.errors import DunlinlugError


class ShardMoveError(DunlinlugError, ValueError):
    """An operator's move of a shard cannot be made on this member or at this time."""


class CheckpointError(DunlinlugError, ValueError):
    """A checkpoint is too large, or this member does not hold the task's shard."""
