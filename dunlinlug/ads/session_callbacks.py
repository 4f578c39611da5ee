"""Callbacks from a proxy's session to the manager that serves it."""

from collections.abc import Callable
from dataclasses import dataclass

from dunlinlug.decision.events import Event


def _ignore_term(_term: int) -> None:
    """Ignore a higher term, as there are no terms without leader election."""


@dataclass(frozen=True)
class SessionCallbacks:
    """Callbacks of a session.

    Attributes:
        submit: Submits an event to the decision module.
        log_event: Writes one structured log line: event name and fields.
        on_higher_term: Called with a leader's term that a proxy has seen and that is higher than
            this manager's.
    """

    submit: Callable[[Event], None]
    log_event: Callable[..., None]
    on_higher_term: Callable[[int], None] = _ignore_term
