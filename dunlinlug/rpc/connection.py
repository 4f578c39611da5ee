"""One HTTP/2 connection that carries gRPC calls, for client and server.

`receive` takes bytes and returns events; `data_to_send` returns bytes. Data held back by flow
control is queued per call, so that a peer that does not read one call's data delays only that call;
`unsent_bytes` is the size of a call's queue.
"""

from collections import deque
from typing import Any
from urllib.parse import quote, unquote

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from dunlinlug.rpc.events import (
    CallReset,
    CallStarted,
    ConnectionClosed,
    Event,
    HalfClosed,
    HeadersReceived,
    MessageReceived,
    TrailersReceived,
)
from dunlinlug.rpc.frame_lengths import CLIENT_PREFACE_SIZE, FrameLengthReader
from dunlinlug.rpc.framing import Deframer, FramingError, frame
from dunlinlug.rpc.status import Status

# Maximum bytes of one message: about ten times the largest table of a fleet of a thousand workers.
MAX_MESSAGE_SIZE = 16 * 2**20
MAX_HEADER_BLOCK_BYTES = 2**16  # encoded, in all of its frames
INITIAL_WINDOW_SIZE = 2**20  # bytes; the receive window of each call
MAX_STATUS_DIGITS = 2  # of a gRPC status code; the highest is 16
PING_PAYLOAD = b"dunlinlu"  # HTTP/2 requires eight bytes


def _decoded_headers(headers: Any) -> dict[str, str]:
    """Return headers by name; h2 is configured to decode them, though its types allow bytes too."""
    return dict(headers or ())


def _status_code(text: str) -> int:
    """Return the number of a gRPC status; that of UNKNOWN for a text that is none."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_STATUS_DIGITS:
        return int(Status.UNKNOWN)
    return int(text)


class _CallState:
    """One call: the partially received message, and the queue of data to send.

    Attributes:
        queued_bytes: Bytes in the queue.
        trailers: Sent to end the call once the queue is empty; [] ends it without trailers, as a
            client does; None if it is not to be ended yet.
        headers_sent: Whether the response headers were sent (server side).
        finished: Whether this side has ended the call.
    """

    def __init__(self, max_message_size: int) -> None:
        self.deframer = Deframer(max_message_size)
        self.queue: deque[memoryview] = deque()
        self.queued_bytes = 0
        self.trailers: list[tuple[str, str]] | None = None
        self.headers_sent = False
        self.finished = False


class Connection:
    """The state of one connection and of its calls, by HTTP/2 stream id."""

    def __init__(self, is_client: bool, max_message_size: int = MAX_MESSAGE_SIZE) -> None:
        self.is_client = is_client
        self.max_message_size = max_message_size
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=is_client, header_encoding="utf-8", validate_outbound_headers=False
            )
        )
        self.frame_lengths = FrameLengthReader(0 if is_client else CLIENT_PREFACE_SIZE)
        self.calls: dict[int, _CallState] = {}
        self.closed = False
        self.h2.initiate_connection()
        self.h2.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: INITIAL_WINDOW_SIZE})
        self.h2.increment_flow_control_window(4 * INITIAL_WINDOW_SIZE)

    # Sending.

    def data_to_send(self) -> bytes:
        """Return the bytes to write to the peer; each byte is returned once."""
        return self.h2.data_to_send()

    def start_call(self, path: str, authority: str) -> int:
        """Open a call (client side); returns its stream id."""
        stream_id = self.h2.get_next_available_stream_id()
        self.calls[stream_id] = _CallState(self.max_message_size)
        self.h2.send_headers(
            stream_id,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", path),
                (":authority", authority),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
                ("user-agent", "dunlinlug"),
            ],
        )
        return stream_id

    def accept(self, stream_id: int) -> None:
        """Send a call's response headers (server side)."""
        call = self.calls.get(stream_id)
        if call is not None and not call.headers_sent:
            call.headers_sent = True
            try:
                self.h2.send_headers(
                    stream_id, [(":status", "200"), ("content-type", "application/grpc")]
                )
            except h2.exceptions.ProtocolError:
                self.calls.pop(stream_id)  # the call has already ended

    def send(self, stream_id: int, message: bytes) -> None:
        """Queue one message, and send as much as the peer's flow-control windows allow."""
        call = self.calls.get(stream_id)
        if call is None or call.trailers is not None:
            return
        framed = memoryview(frame(message))
        call.queue.append(framed)
        call.queued_bytes += len(framed)
        self._send_available(stream_id)

    def unsent_bytes(self, stream_id: int) -> int:
        """Return the bytes of this call that flow control holds back."""
        call = self.calls.get(stream_id)
        if call is None:
            return 0
        return call.queued_bytes

    def discard_held(self) -> None:
        """Drop the incomplete and the unsent messages of a connection that is being closed."""
        for call in self.calls.values():
            call.deframer.buffer = bytearray()
            call.queue.clear()
            call.queued_bytes = 0

    def queued_bytes(self) -> int:
        """Return the bytes that flow control holds back, of all calls."""
        return sum(call.queued_bytes for call in self.calls.values())

    def held_bytes(self) -> int:
        """Return the bytes that are kept of incomplete messages and header blocks."""
        return self.frame_lengths.open_block_bytes() + sum(
            len(call.deframer.buffer) for call in self.calls.values()
        )

    def finish(self, stream_id: int, status: Status, text: str = "") -> None:
        """End a call with a status (server side), after the queued data."""
        call = self.calls.get(stream_id)
        if call is None or call.trailers is not None:
            return
        trailers = [("grpc-status", str(int(status)))]
        if text:
            trailers.append(("grpc-message", quote(text)))
        if not call.headers_sent:
            call.headers_sent = True
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        call.trailers = trailers
        self._send_available(stream_id)

    def half_close(self, stream_id: int) -> None:
        """End the client's half of a call, after the queued data."""
        call = self.calls.get(stream_id)
        if call is not None and call.trailers is None:
            call.trailers = []
            self._send_available(stream_id)

    def cancel(self, stream_id: int) -> None:
        """Reset a call without a status; queued data is dropped."""
        if self.calls.pop(stream_id, None) is not None and not self.closed:
            try:
                self.h2.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)
            except h2.exceptions.ProtocolError:
                return  # the call has already ended

    def ping(self) -> None:
        """Send a PING frame to the peer."""
        if not self.closed:
            self.h2.ping(PING_PAYLOAD)

    def close(self) -> None:
        """Close the connection, with a GOAWAY frame to the peer."""
        if not self.closed:
            self.closed = True
            self.h2.close_connection()

    def _send_available(self, stream_id: int) -> None:
        # The peer may have ended the call or the connection meanwhile. The unsent data is then
        # dropped, as the error is not one of the caller.
        try:
            self._send_queued(stream_id, self.calls[stream_id])
        except h2.exceptions.ProtocolError:
            self.calls.pop(stream_id, None)

    def _send_all_available(self) -> None:
        for stream_id in list(self.calls):
            self._send_available(stream_id)

    def _send_queued(self, stream_id: int, call: _CallState) -> None:
        """Send as much of the queue as the windows allow, then the end of the call if it is due."""
        while call.queue:
            window = min(
                self.h2.local_flow_control_window(stream_id), self.h2.max_outbound_frame_size
            )
            if window <= 0:
                return
            chunk = call.queue[0]
            if len(chunk) <= window:
                call.queue.popleft()
            else:
                call.queue[0] = chunk[window:]
                chunk = chunk[:window]
            call.queued_bytes -= len(chunk)
            self.h2.send_data(stream_id, bytes(chunk))
        if call.trailers and not call.finished:
            self.h2.send_headers(stream_id, call.trailers, end_stream=True)
            self.calls.pop(stream_id, None)
        elif call.trailers is not None and not call.finished:
            self.h2.end_stream(stream_id)
        call.finished = call.trailers is not None

    # Receiving.

    def receive(self, data: bytes) -> list[Event]:
        """Handle received bytes and return the resulting events.

        An error in one call ends that call; a connection error ends all of them.
        """
        if self.closed:
            return []
        try:
            h2_events = self.h2.receive_data(data)
            self._check_frame_lengths(data)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError) as error:
            self.closed = True
            self.calls.clear()
            return [ConnectionClosed(f"HTTP/2 protocol error: {type(error).__name__}: {error}")]
        events: list[Event] = []
        for event in h2_events:
            events += self._handle(event)
        return events

    def _check_frame_lengths(self, data: bytes) -> None:
        """Reject an oversized frame by its header; raises FrameTooLargeError.

        The library checks a frame's length only after buffering the frame, up to 16 MiB.
        """
        max_length = self.h2.max_inbound_frame_size
        length = self.frame_lengths.longest(data)
        if self.frame_lengths.header_block_bytes > MAX_HEADER_BLOCK_BYTES:
            self.h2.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            raise h2.exceptions.DenialOfServiceError("a header block is too large")
        if length > max_length:
            self.h2.close_connection(h2.errors.ErrorCodes.FRAME_SIZE_ERROR)
            raise h2.exceptions.FrameTooLargeError(
                f"frame of {length} bytes, over the limit of {max_length}"
            )

    def _handle(self, event: h2.events.Event) -> list[Event]:
        events: list[Event] = []
        match event:
            case h2.events.RequestReceived():
                events = self._handle_request(event)
            case h2.events.ResponseReceived():
                events = self._handle_response(event)
            case h2.events.TrailersReceived():
                headers = _decoded_headers(event.headers)
                events = self._handle_trailers(event.stream_id or 0, headers)
            case h2.events.DataReceived():
                events = self._handle_data(event)
            case h2.events.StreamEnded():
                events = self._handle_stream_end(event.stream_id or 0)
            case h2.events.StreamReset():
                events = self._handle_reset(event)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                self._send_all_available()
            case h2.events.ConnectionTerminated():
                self.closed = True
                self.calls.clear()
                reason = f"the peer said goodbye with code {event.error_code}"
                events = [ConnectionClosed(reason)]
        return events

    def _handle_stream_end(self, stream_id: int) -> list[Event]:
        if stream_id not in self.calls:
            return []
        if not self.is_client:
            return [HalfClosed(stream_id)]
        self.calls.pop(stream_id)
        return [CallReset(stream_id, "ended without a status")]

    def _handle_reset(self, event: h2.events.StreamReset) -> list[Event]:
        stream_id = event.stream_id or 0
        if self.calls.pop(stream_id, None) is None:
            return []
        return [CallReset(stream_id, f"reset with code {event.error_code}")]

    def _handle_request(self, event: h2.events.RequestReceived) -> list[Event]:
        stream_id = event.stream_id or 0
        headers = _decoded_headers(event.headers)
        content_type = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not content_type.startswith("application/grpc"):
            self.h2.send_headers(stream_id, [(":status", "415"), ("content-type", "text/plain")])
            self.h2.send_data(
                stream_id,
                f"this port speaks gRPC, not {content_type or 'plain requests'}\n".encode(),
                end_stream=True,
            )
            return []
        self.calls[stream_id] = _CallState(self.max_message_size)
        metadata = tuple(
            (name, value) for name, value in headers.items() if not name.startswith(":")
        )
        return [CallStarted(stream_id, headers.get(":path", ""), metadata)]

    def _handle_response(self, event: h2.events.ResponseReceived) -> list[Event]:
        stream_id = event.stream_id or 0
        headers = _decoded_headers(event.headers)
        if "grpc-status" in headers:
            return self._handle_trailers(stream_id, headers)
        if headers.get(":status") != "200":
            self.calls.pop(stream_id, None)
            return [CallReset(stream_id, f"answered with HTTP status {headers.get(':status')}")]
        return [HeadersReceived(stream_id)]

    def _handle_trailers(self, stream_id: int, headers: dict[str, str]) -> list[Event]:
        if not self.is_client or self.calls.pop(stream_id, None) is None:
            return []
        return [
            TrailersReceived(
                stream_id,
                _status_code(headers.get("grpc-status", "")),
                unquote(headers.get("grpc-message", "")),
            )
        ]

    def _handle_data(self, event: h2.events.DataReceived) -> list[Event]:
        stream_id = event.stream_id or 0
        call = self.calls.get(stream_id)
        self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream_id)
        if call is None:
            return []
        try:
            return [
                MessageReceived(stream_id, data) for data in call.deframer.feed(event.data or b"")
            ]
        except FramingError as error:
            if self.is_client:
                self.cancel(stream_id)
            else:
                self.finish(stream_id, error.status, str(error))
            return [CallReset(stream_id, str(error))]
