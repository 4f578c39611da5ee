"""Protocols for the components that the decision loop depends on.

Each front end (xDS, platform) and each optional stage (validation, leadership) implements some of
them, so that the loop does not depend on their classes.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import Order


class DecisionModule(Protocol):
    """The decision module, or a replacement for it."""

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Handle one batch of events at `now` (seconds) and return the orders that follow."""


class OutgoingMessage(Protocol):
    """One proxy's message of one reply, in the front end's format."""

    entry_count: float
    """Number of table entries that the message counts for on the channel."""


class OrderSink(Protocol):
    """The front end's state, from which it creates messages."""

    def handle_events(self, events: Iterable[Event]) -> None:
        """Process the events that the module is about to handle, in order."""

    def apply_orders(
        self, orders: Iterable[Order], now: float, awaited_proxies: Iterable[int] = ()
    ) -> Mapping[int, OutgoingMessage]:
        """Carry out one reply and return a message for each proxy that it concerns.

        Proxies in `awaited_proxies` get an acknowledgement request even if no order is for them.
        """


class OutgoingChannel(Protocol):
    """A queue that releases messages to proxies over time."""

    queued_entries: float
    """Number of table entries in the queued messages."""

    def enqueue(self, now: float, proxy: int, message: OutgoingMessage) -> list[str]:
        """Queue a message and return the names of the limits that it exceeds."""

    def pop_due(self, now: float) -> Sequence[tuple[int, OutgoingMessage]]:
        """Remove and return the messages due by `now`, with their proxies, in order."""

    def next_due_at(self) -> float | None:
        """Return when the next message is due; None while nothing is queued."""

    def remove_proxy(self, proxy: int) -> None:
        """Drop the messages queued for a proxy that has disconnected."""

    def clear(self) -> None:
        """Drop all queued messages."""


class OrderValidation(Protocol):
    """The stage that checks replies before they are carried out."""

    def validate(
        self,
        now: float,
        events: Sequence[Event],
        orders: list[Order],
        submit: Callable[[Event], None],
    ) -> tuple[list[Order], list[int]]:
        """Return the orders to carry out, and the proxies that rejected orders concerned."""


class ReplicatedLeadership(Protocol):
    """Leadership among several managers: whether this one may give orders, and replication.

    Implemented by `fleet.election.leadership.Leadership`.
    """

    def holds_lease(self, now: float) -> bool:
        """Return whether this manager may give orders at `now`."""

    def is_leader(self) -> bool:
        """Return whether this manager is leader, even if its lease is not valid."""

    def replicate(self, now: float, events: Sequence[Event], rejected_indexes: list[int]) -> int:
        """Send a batch to the other managers and return its number."""

    def hold_until_committed(
        self, batch_number: int, messages: Mapping[int, OutgoingMessage]
    ) -> None:
        """Hold messages back until a majority of the managers has their batch."""
