"""What a proxy's session needs of the manager that serves it."""

from collections.abc import Callable
from dataclasses import dataclass

from dunlinlug.decision.events import Event


def _ignore_term(_term: int) -> None:
    """A manager that elects no leader has no terms."""


@dataclass(frozen=True)
class SessionCallbacks:
    """Where a session reports to.

    Attributes:
        submit: Takes events for the decision module.
        log_event: Writes one structured log line: event name and fields.
        on_higher_term: Takes a leader's term that a proxy knows and that is higher than ours.
    """

    submit: Callable[[Event], None]
    log_event: Callable[..., None]
    on_higher_term: Callable[[int], None] = _ignore_term
