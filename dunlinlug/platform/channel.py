"""The platform's outgoing channel, which writes at once."""

from collections.abc import Callable
from typing import Any

from dunlinlug.manager.interfaces import OutgoingMessage


class UnpacedChannel:
    """Delivers each message as it is queued: the platform's own channel does the pacing.

    Paced here as well, messages would leave later than the module expects, and its account of the
    channel would be wrong. `message_count` and `entry_count` are of all messages so far.
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
        """Deliver a message; it exceeds no limit."""
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
        """Nothing is queued here."""

    def clear(self) -> None:
        """Nothing is queued here."""
