"""Limits on what all peers of a listener use together: connections, and bytes not yet handled.

A limit for each connection alone does not bound their sum. These classes decide which peer is ended
when a sum is exceeded; the caller ends it. They do no I/O and read no clock.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar

Peer = TypeVar("Peer", bound=Hashable)


class ByteBudget(Generic[Peer]):
    """Counts the bytes that are held for each peer, received or still to be sent.

    While the sum exceeds `max_bytes`, the peer with the most bytes is to be ended; a peer that
    sends and reads messages as it should has a small part of them.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bytes_by_peer: dict[Peer, int] = {}
        self.total = 0

    def set_bytes(self, peer: Peer, byte_count: int) -> None:
        """Set the bytes that are held for a peer; 0 removes it."""
        self.total += byte_count - self.bytes_by_peer.pop(peer, 0)
        if byte_count:
            self.bytes_by_peer[peer] = byte_count

    def take_largest(self) -> Peer | None:
        """Remove and return the peer with the most bytes while the sum is exceeded, else None."""
        if self.total <= self.max_bytes:
            return None
        largest = max(self.bytes_by_peer, key=self.bytes_by_peer.__getitem__)
        self.set_bytes(largest, 0)
        return largest


class ConnectionTable(Generic[Peer]):
    """The open connections of a listener, of which those without a valid message are limited more.

    A connection is new until its peer has sent a valid message. Beyond a limit, the oldest new
    connection is to be closed; a connection that has been established is closed for no other. Each
    new one has `grace` seconds at least if the listener waits as `seconds_until_room` says, so that
    a peer whose message follows its connect is served. Times are seconds on the caller's clock.
    """

    def __init__(self, max_connections: int, max_new: int, grace: float = 0.0) -> None:
        self.max_connections = max_connections
        self.max_new = max_new
        self.grace = grace
        self.new_connections: dict[Peer, float] = {}  # with the time when added, oldest first
        self.established = set[Peer]()

    def _has_room(self) -> bool:
        count = len(self.new_connections) + len(self.established)
        return len(self.new_connections) < self.max_new and count < self.max_connections

    def seconds_until_room(self, now: float) -> float:
        """Return the seconds until the next connection may be added without a loss of grace."""
        if self._has_room() or not self.new_connections:
            return 0.0
        oldest_since = next(iter(self.new_connections.values()))
        return max(oldest_since + self.grace - now, 0.0)

    def add(self, connection: Peer, now: float) -> Peer | None:
        """Add a new connection; return the one that is to be closed for it, or None.

        It is the added one if all others are established.
        """
        had_room = self._has_room()
        self.new_connections[connection] = now
        if had_room:
            return None
        oldest = next(iter(self.new_connections))
        del self.new_connections[oldest]
        return oldest

    def establish(self, connection: Peer) -> None:
        """Count a connection as established: its peer has sent a valid message."""
        if connection in self.new_connections:
            del self.new_connections[connection]
            self.established.add(connection)

    def remove(self, connection: Peer) -> None:
        """Remove a connection that has ended."""
        self.new_connections.pop(connection, None)
        self.established.discard(connection)


class RateLimit:
    """Limits the number of events in each window of one second.

    A window opens with the first event after the previous window.
    """

    def __init__(self, maximum_per_second: int) -> None:
        self.maximum_per_second = maximum_per_second
        self.window_start = 0.0
        self.window_count = 0

    def allows(self, now: float) -> bool:
        """Counts one event; returns false above the maximum. A clock set back opens a window."""
        if now - self.window_start >= 1.0 or now < self.window_start:
            self.window_start = now
            self.window_count = 0
        self.window_count += 1
        return self.window_count <= self.maximum_per_second


class TokenBucket:
    """Limits events to a rate after a burst; times are seconds on the caller's clock."""

    def __init__(self, burst: int, per_second: float) -> None:
        self.interval = 1.0 / per_second
        self.burst_duration = (burst - 1) * self.interval
        self.next_free_at = 0.0

    def seconds_until_free(self, now: float) -> float:
        """Return the seconds until the next event may happen."""
        return max(self.next_free_at - now, 0.0)

    def take(self, now: float) -> None:
        """Count an event that happens now."""
        self.next_free_at = max(self.next_free_at, now - self.burst_duration) + self.interval
