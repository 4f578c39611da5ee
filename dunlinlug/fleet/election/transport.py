"""Transport of a replicated log over trio: a connection to each other member, and a listener.

If the members run the membership protocol, its listener also accepts these connections. They begin
with a preface that holds a tag and the connecting member's name; the tag distinguishes them from
the membership's frames, which begin with a byte of their length. Both logs, the election's and the
ownership's, use this transport, each with its own tag.
"""

import secrets
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from dunlinlug.fleet.connections import (
    Address,
    RateLimitedLog,
    receive_exactly,
)
from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election.peer_connection import (
    CONNECT_TIMEOUT,
    CONNECTION_ERRORS,
    DialTarget,
    PeerConnection,
)
from dunlinlug.fleet.sealing import AuthenticationError
from dunlinlug.net.peer_limits import ByteBudget, ConnectionTable

RECEIVE_BYTES = 2**16
# Connections of other members, and those among them that have sent no signed frame yet.
MAX_INCOMING = 1024
MAX_UNSIGNED_INCOMING = 16
# Bytes of the incomplete frames of the latter; the snapshot of a large fleet has half as many.
MAX_UNSIGNED_BYTES = 2**24
# First byte of a log's connections to the membership's listener; no frame length begins with it.
ELECTION_PREFACE = b"S"
OWNERSHIP_PREFACE = b"O"


class PeerTransport:
    """One member's connections for one replicated log.

    `addresses` has the addresses of all members by name. `on_message` receives the messages that
    arrive, which must be of `message_types`. `preface_tag` marks this log's connections to the
    membership's listener.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - identity, keys and callbacks
        self,
        self_id: str,
        addresses: dict[str, Address],
        keys: list[bytes],
        on_message: Callable[[Any], None],
        log_event: Callable[..., None],
        message_types: codec.MessageTypes = codec.MESSAGE_TYPES,
        preface_tag: bytes = ELECTION_PREFACE,
    ) -> None:
        self.self_id = self_id
        self.addresses = addresses
        self.keys = keys
        self.on_message = on_message
        self.message_types = message_types
        self.preface_tag = preface_tag
        # Returns a member's current address in the membership; None without a membership.
        self.membership_address: Callable[[str], Address] | None = None
        # Members whose messages are dropped in both directions: for tests and scenarios.
        self.blocked_members: set[str] = set()
        self.connections = {
            member: self._connection_to(member) for member in addresses if member != self_id
        }
        self.incoming = ConnectionTable[trio.CancelScope](MAX_INCOMING, MAX_UNSIGNED_INCOMING)
        self.unsigned_bytes = ByteBudget[trio.CancelScope](MAX_UNSIGNED_BYTES)
        self.signed_bytes = ByteBudget[trio.CancelScope](codec.MAX_FRAME_BYTES)
        self.rejected_frames = 0
        self.rejection_log = RateLimitedLog("peer.authentication_failed", log_event)

    def _connection_to(self, member: str) -> PeerConnection:
        signing_key = self.keys[0] if self.keys else b""
        return PeerConnection(
            signing_key,
            partial(self._dial_targets, member),
            lambda: member in self.blocked_members,
        )

    def register_membership_addresses(self, address_of: Callable[[str], Address]) -> None:
        """Connects to members at their membership listeners, with addresses from `address_of`."""
        self.membership_address = address_of

    def send(self, recipient: str, message: Any) -> None:
        """Queues a message for a member; it may be lost."""
        connection = self.connections.get(recipient)
        if connection is not None:
            connection.send(message)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Runs all connections; without `listeners`, peers connect to the membership's listener."""
        async with trio.open_nursery() as nursery:
            if listeners:
                nursery.start_soon(trio.serve_listeners, self.accept, listeners)
            for connection in self.connections.values():
                nursery.start_soon(connection.run)

    def _dial_targets(self, member: str) -> list[DialTarget]:
        """Returns the addresses to try; both, while members migrate to one shared listener."""
        targets = []
        if self.membership_address is not None:
            encoded_id = self.self_id.encode()
            preface = self.preface_tag + bytes([len(encoded_id)]) + encoded_id
            targets.append(DialTarget(self.membership_address(member), preface))
        address = self.addresses[member]
        has_own_listener = address[1] != 0
        if has_own_listener:
            targets.append(DialTarget(address, b""))
        return targets

    async def accept_shared(self, stream: trio.SocketStream, data: bytes) -> None:
        """Serves a connection that the membership's listener accepted.

        `data` holds the bytes read so far: the preface, or the beginning of it.
        """
        await self._serve(stream, lambda: self._skip_preface(stream, data))

    async def accept(self, stream: trio.SocketStream) -> None:
        """Serves a connection of the log's own listener."""
        await self._serve(stream, trio.lowlevel.checkpoint)

    async def _serve(self, stream: trio.SocketStream, begin: Callable[[], Awaitable[None]]) -> None:
        """Begins a connection and receives its frames; an older one may be closed for it.

        That is one that has not sent a signed frame yet, such as that of a peer that stays silent.
        """
        with trio.CancelScope() as scope:
            surplus = self.incoming.add(scope, trio.current_time())
            if surplus is not None:
                surplus.cancel()
            try:
                await begin()
                await self._receive_frames(stream, scope)
            except CONNECTION_ERRORS:
                pass  # the peer connects again
            except AuthenticationError as error:
                self.rejected_frames += 1
                self.rejection_log.write(why=str(error), count=self.rejected_frames)
            finally:
                self.incoming.remove(scope)
                for budget in (self.unsigned_bytes, self.signed_bytes):
                    budget.set_bytes(scope, 0)
                await trio.aclose_forcefully(stream)

    async def _skip_preface(self, stream: trio.SocketStream, data: bytes) -> None:
        """Reads the rest of the preface, which begins with `data`."""
        with trio.fail_after(CONNECT_TIMEOUT):
            if len(data) < 2:
                data += await receive_exactly(stream, 2 - len(data))
            name_length = data[1]
            missing_bytes = name_length - len(data[2:])
            await receive_exactly(stream, max(missing_bytes, 0))

    async def _receive_frames(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        """Sends a nonce, then reads frames until the connection ends or a frame is rejected."""
        nonce = secrets.token_bytes(codec.NONCE_BYTES)
        opener = codec.FrameOpener(self.keys, nonce, self.message_types)
        await stream.send_all(nonce)
        while data := await stream.receive_some(RECEIVE_BYTES):
            for message in opener.feed(bytes(data)):
                self.incoming.establish(scope)
                if message.sender not in self.blocked_members:
                    self.on_message(message)
            self._count_buffered(scope, len(opener.buffer))

    def _count_buffered(self, scope: trio.CancelScope, byte_count: int) -> None:
        """Counts the bytes of a connection's incomplete frame, and ends the largest ones."""
        budget = self.unsigned_bytes
        if scope in self.incoming.established:
            self.unsigned_bytes.set_bytes(scope, 0)
            budget = self.signed_bytes
        budget.set_bytes(scope, byte_count)
        while (largest := budget.take_largest()) is not None:
            largest.cancel()
