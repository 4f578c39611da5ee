"""The platform's outgoing channel, which sends messages without pacing them."""

from collections.abc import Callable
from typing import Any

from dunlinlug.manager.interfaces import OutgoingMessage


class UnpacedChannel:
    """Delivers each message immediately, because the platform's own channel does the pacing.

    Pacing messages here as well would send them later than the decision module expects, and make
    its estimate of the channel's backlog wrong. `message_count` and `entry_count` are totals since
    the start.
    """

    def __init__(self, deliver: Callable[[int, Any], None]) -> None:
        self.deliver = deliver
        self.queued_entries = 0.0
        self.message_count = 0.0
        self.entry_count = 0.0

    def enqueue(
        self,
        now: float,  # noqa: ARG002 - the channel's signature
        proxy: int,
        message: OutgoingMessage,
    ) -> list[str]:
        """Deliver a message; return no exceeded limits, as there are none."""
        self.message_count += 1
        self.entry_count += message.entry_count
        self.deliver(proxy, message)
        return []

    def pop_due(
        self,
        now: float,  # noqa: ARG002 - the channel's signature
    ) -> list[tuple[int, OutgoingMessage]]:
        """Return nothing, as nothing is queued."""
        return []

    def next_due_at(self) -> float | None:
        """Return None, as nothing is queued."""
        return None

    def remove_proxy(self, proxy: int) -> None:
        """Do nothing, as nothing is queued."""

    def clear(self) -> None:
        """Do nothing, as nothing is queued."""
