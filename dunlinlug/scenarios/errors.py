"""The error of a scenario that could not be played."""

from dunlinlug.errors import DunlinlugError


class ScenarioError(DunlinlugError):
    """A scenario that could not be played; the text says which process and why."""
