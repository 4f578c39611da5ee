"""What the decision loop needs of its surroundings, as protocols.

Each front end (xDS, platform) and each optional stage (validation, leadership) implements one of
them, so that the loop knows none of them by class.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import Order


class DecisionModule(Protocol):
    """The decision module, or whatever stands in its place."""

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Handle one batch of events at `now` (seconds) and return the orders that follow."""


class OutgoingMessage(Protocol):
    """One proxy's message of one reply, in the form of the front end at hand."""

    entry_count: float
    """Table entries that the message counts for on the channel."""


class OrderSink(Protocol):
    """The front end's state on the wire."""

    def handle_events(self, events: Iterable[Event]) -> None:
        """Take note of events that the module is about to handle, in order."""

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> Mapping[int, OutgoingMessage]:
        """Carry out one reply and return a message for each proxy that it concerns.

        Proxies in `awaited_proxies` get an acknowledgement request even if no order is for them.
        """


class OutgoingChannel(Protocol):
    """What releases messages to proxies."""

    queued_entries: float
    """Table entries of the messages that are queued."""

    def enqueue(self, now: float, proxy: int, message: OutgoingMessage) -> list[str]:
        """Take a message and return the names of the limits that it exceeds."""

    def pop_due(self, now: float) -> Sequence[tuple[int, OutgoingMessage]]:
        """Return the messages that are to leave by `now`, with their proxies, in order."""

    def next_due_at(self) -> float | None:
        """Return when the next message is due; None while nothing is queued."""

    def remove_proxy(self, proxy: int) -> None:
        """Drop what is queued for a proxy that has disconnected."""

    def clear(self) -> None:
        """Drop all that is queued."""


class OrderValidation(Protocol):
    """The stage that checks replies before they are carried out."""

    def validate(
        self,
        now: float,
        events: Sequence[Event],
        orders: list[Order],
        submit: Callable[[Event], None],
    ) -> tuple[list[Order], list[int]]:
        """Return the orders to carry out, and the proxies that a rejected one concerned."""


class ReplicatedLeadership(Protocol):
    """Where several managers replace each other: whether this one may order, and the replication.

    Implemented by `fleet.election.leadership.Leadership`.
    """

    def holds_lease(self, now: float) -> bool:
        """Return whether this manager may order at `now`."""

    def is_leader(self) -> bool:
        """Return whether this manager is leader, be its lease valid or not."""

    def replicate(self, now: float, events: Sequence[Event], rejected_indexes: list[int]) -> int:
        """Send a batch to the other managers and return its number."""

    def hold_until_committed(
        self, batch_number: int, messages: Mapping[int, OutgoingMessage]
    ) -> None:
        """Hold messages back until a majority of the managers has their batch."""
