"""The error of a scenario that could not be run."""

from dunlinlug.errors import DunlinlugError


class ScenarioError(DunlinlugError):
    """A scenario that could not be run; the message names the process and the fault."""
