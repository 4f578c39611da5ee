"""Transport of a replicated log over trio: a connection to each other member, and a listener.

If the members run the membership protocol, its listener also accepts these connections. They begin
with a preface that holds a tag and the connecting member's name; the tag distinguishes them from
the membership's frames, which begin with a byte of their length. Both logs, the election's and the
ownership's, use this transport, each with its own tag.
"""

import secrets
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

import trio

from dunlinlug.fleet.connections import (
    Address,
    RateLimitedLog,
    receive_exactly,
)
from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election.peer_connection import CONNECT_TIMEOUT, DialTarget, PeerConnection
from dunlinlug.fleet.sealing import AuthenticationError

RECEIVE_BYTES = 2**16
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
        try:
            with trio.fail_after(CONNECT_TIMEOUT):
                if len(data) < 2:
                    data += await receive_exactly(stream, 2 - len(data))
                name_length = data[1]
                missing_bytes = name_length - len(data[2:])
                await receive_exactly(stream, max(missing_bytes, 0))
        except (trio.TooSlowError, EOFError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(stream)
            return
        await self.accept(stream)

    async def accept(self, stream: trio.SocketStream) -> None:
        """Sends a nonce, then reads frames until the connection ends or a frame is rejected."""
        nonce = secrets.token_bytes(codec.NONCE_BYTES)
        opener = codec.FrameOpener(self.keys, nonce, self.message_types)
        try:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await stream.send_all(nonce)
                while data := await stream.receive_some(RECEIVE_BYTES):
                    for message in opener.feed(bytes(data)):
                        if message.sender not in self.blocked_members:
                            self.on_message(message)
        except AuthenticationError as error:
            self.rejected_frames += 1
            self.rejection_log.write(why=str(error), count=self.rejected_frames)
        finally:
            await trio.aclose_forcefully(stream)
