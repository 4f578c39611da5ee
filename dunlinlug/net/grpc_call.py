"""One gRPC call on a connection: its messages, its end, and what the peer has not read."""

from typing import Protocol

import trio

from dunlinlug import rpc
from dunlinlug.errors import DunlinlugError

# Maximum received messages of a call that are not yet handled; a call that exceeds it is ended.
MAX_PENDING_MESSAGES = 256


class CallEndedError(DunlinlugError):
    """The call has ended: its status (None if it ended without one) and the reason."""

    def __init__(self, status: int | None, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class CallConnection(Protocol):
    """The connection of a call, as the call uses it.

    Attributes:
        protocol: The protocol state.
        identity: The peer's name in its certificate; empty without TLS.
        node_id: The name that the peer gave itself first; empty until then.
        unwritten_bytes: Bytes that the socket has not accepted yet.
        write_completed: Set, and then replaced, when some of them were written.
    """

    protocol: rpc.Connection
    identity: str
    node_id: str
    unwritten_bytes: int
    write_completed: trio.Event

    def flush(self) -> None:
        """Write the protocol's pending bytes."""

    def count_received(self) -> None:
        """Report the bytes that are held of the peer's incomplete and unhandled messages."""

    def establish(self) -> None:
        """Report that the peer has sent a valid message."""


class Call:
    """One call in progress; messages are bytes.

    Attributes:
        ended: Status and reason once the call has ended, else None.
        accepted: Whether the response headers were sent (server side).
        is_reset: Whether the peer has reset the call; its unhandled messages then have no effect.
        headers_received: Set once the response headers are received (client side) or the call ends.
        scope: Cancel it to stop the task that serves the call.
        pending_bytes: Bytes of the received messages that are not yet handled.
    """

    def __init__(self, connection: CallConnection, stream_id: int, path: str) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.path = path
        self.message_sender, self.message_receiver = trio.open_memory_channel[bytes](
            MAX_PENDING_MESSAGES
        )
        self.ended: CallEndedError | None = None
        self.is_reset = False
        self.accepted = False
        self.headers_received = trio.Event()
        self.scope = trio.CancelScope()
        self.pending_bytes = 0

    async def receive(self) -> bytes:
        """Return the next message.

        Raises:
            CallEndedError: The call has ended and there are no more messages, or the peer has
                reset the call and waits for no answer.
        """
        if self.is_reset and self.ended is not None:
            raise self.ended
        try:
            message = await self.message_receiver.receive()
        except trio.EndOfChannel:
            raise self.ended or CallEndedError(None, "the peer ended the call") from None
        self.pending_bytes -= len(message)
        self.connection.count_received()
        return message

    def send(self, message: bytes, buffered: bool = False) -> None:
        """Queue a message; check `unsent_bytes` before queueing many.

        With `buffered`, the message is written together with the next one.
        """
        self.connection.protocol.send(self.stream_id, message)
        if not buffered:
            self.connection.flush()

    def reset(self) -> None:
        """Let the peer's unhandled messages have no effect, as it has reset the call (server side).

        A handler that has not accepted the call may wait for long, and is stopped.
        """
        self.is_reset = True
        if not self.accepted:
            self.scope.cancel()

    def accept(self) -> None:
        """Send the response headers (server side)."""
        self.accepted = True
        self.connection.protocol.accept(self.stream_id)
        self.connection.flush()

    @property
    def unsent_bytes(self) -> int:
        """Bytes held back by flow control or by the socket."""
        return (
            self.connection.protocol.unsent_bytes(self.stream_id) + self.connection.unwritten_bytes
        )

    async def wait_sent(self) -> None:
        """Wait until no bytes are held back or the call has ended."""
        while self.unsent_bytes and self.ended is None:
            await self.connection.write_completed.wait()

    def finish(self, status: rpc.Status, text: str = "") -> None:
        """End the call with a status (server side), after the queued data."""
        self.connection.protocol.finish(self.stream_id, status, text)
        self.connection.flush()

    def cancel(self) -> None:
        """Reset the call."""
        self.connection.protocol.cancel(self.stream_id)
        self.connection.flush()

    def end(self, status: int | None, reason: str) -> None:
        """Mark the call as ended; only the first status and reason are kept."""
        self.ended = self.ended or CallEndedError(status, reason)
        self.headers_received.set()
        self.message_sender.close()
