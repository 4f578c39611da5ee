"""One HTTP/2 connection that carries gRPC calls, for either side.

`receive` takes bytes and gives events, `data_to_send` gives bytes. What flow control holds back
waits here, call by call, so that a peer that reads nothing delays its own calls alone; `unsent`
tells how much that is.
"""

from collections import deque
from enum import IntEnum
from typing import Any
from urllib.parse import quote, unquote

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from dunlinlug.rpc import events as said
from dunlinlug.rpc.framing import Deframer, FramingError, frame

MAX_MESSAGE_SIZE = (
    16 * 2**20
)  # bytes of one message: some ten times the largest table of a fleet of a thousand
INITIAL_WINDOW_SIZE = 2**20  # bytes that a peer may send ahead for each call


class Status(IntEnum):
    """gRPC's status codes, as far as they are used here."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    UNAUTHENTICATED = 16


def _decoded_headers(headers: Any) -> dict[str, str]:
    """Decoded by h2 as its configuration asks; its types allow for bytes as well."""
    return dict(headers or ())


class _CallState:
    def __init__(self, max_message_size: int) -> None:
        self.deframer = Deframer(max_message_size)
        self.queue: deque[memoryview] = deque()
        self.queued_bytes = 0  # bytes in the queue
        self.trailers: list[tuple[str, str]] | None = (
            None  # trailers once the queue is empty; [] ends plainly
        )
        self.headers_sent = self.finished = False  # our first headers sent, our last


class Connection:
    def __init__(self, is_client: bool, max_message_size: int = MAX_MESSAGE_SIZE) -> None:
        self.is_client = is_client
        self.max_message_size = max_message_size
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=is_client, header_encoding="utf-8", validate_outbound_headers=False
            )
        )
        self.calls: dict[int, _CallState] = {}
        self.closed = False
        self.h2.initiate_connection()
        self.h2.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: INITIAL_WINDOW_SIZE})
        self.h2.increment_flow_control_window(4 * INITIAL_WINDOW_SIZE)

    # Sending.

    def data_to_send(self) -> bytes:
        return self.h2.data_to_send()

    def start_call(self, path: str, authority: str) -> int:
        """Open a call (client side); gives its stream."""
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
        """Send a call's first headers (server side)."""
        call = self.calls.get(stream_id)
        if call is not None and not call.headers_sent:
            call.headers_sent = True
            try:
                self.h2.send_headers(
                    stream_id, [(":status", "200"), ("content-type", "application/grpc")]
                )
            except h2.exceptions.ProtocolError:
                self.calls.pop(stream_id)  # it ended in the same moment

    def send(self, stream_id: int, message: bytes) -> None:
        """Queue one message; it leaves as far as the peer's windows allow."""
        call = self.calls.get(stream_id)
        if call is None or call.trailers is not None:
            return
        framed = memoryview(frame(message))
        call.queue.append(framed)
        call.queued_bytes += len(framed)
        self._send_available(stream_id)

    def unsent_bytes(self, stream_id: int) -> int:
        """Bytes of this call that the peer's flow control holds back."""
        call = self.calls.get(stream_id)
        return call.queued_bytes if call else 0

    def finish(self, stream_id: int, status: Status, text: str = "") -> None:
        """End a call with a status (server side), after what is queued."""
        call = self.calls.get(stream_id)
        if call is None or call.trailers is not None:
            return
        trailers = [("grpc-status", str(int(status)))] + (
            [("grpc-message", quote(text))] if text else []
        )
        if not call.headers_sent:
            call.headers_sent = True
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        call.trailers = trailers
        self._send_available(stream_id)

    def half_close(self, stream_id: int) -> None:
        """Say that nothing more will come (client side)."""
        call = self.calls.get(stream_id)
        if call is not None and call.trailers is None:
            call.trailers = []
            self._send_available(stream_id)

    def cancel(self, stream_id: int) -> None:
        if self.calls.pop(stream_id, None) is not None and not self.closed:
            try:
                self.h2.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)
            except h2.exceptions.ProtocolError:
                return  # it ended in the same moment

    def ping(self) -> None:
        if not self.closed:
            self.h2.ping(b"dunlinlu")

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.h2.close_connection()

    def _send_available(self, stream_id: int) -> None:
        """Danger: a call or the whole connection may have ended in this same moment; what is unsent
        is then lost.
        """
        try:
            self._send_queued(stream_id, self.calls[stream_id])
        except h2.exceptions.ProtocolError:
            self.calls.pop(stream_id, None)

    def _send_queued(self, stream_id: int, call: _CallState) -> None:
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
                chunk, call.queue[0] = chunk[:window], chunk[window:]
            call.queued_bytes -= len(chunk)
            self.h2.send_data(stream_id, bytes(chunk))
        if call.trailers and not call.finished:
            self.h2.send_headers(stream_id, call.trailers, end_stream=True)
            self.calls.pop(stream_id, None)
        elif call.trailers is not None and not call.finished:
            self.h2.end_stream(stream_id)
        call.finished = call.trailers is not None

    # Receiving.

    def receive(self, data: bytes) -> list[said.Event]:
        """Take bytes; a fault of one call ends that call, a fault of the connection ends all of
        them.
        """
        if self.closed:
            return []
        try:
            h2_events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            self.closed = True
            self.calls.clear()
            return [said.ConnectionClosed(f"not HTTP/2 as agreed: {type(error).__name__}: {error}")]
        events: list[said.Event] = []
        for event in h2_events:
            events += self._handle(event)
        return events

    def _handle(self, event: h2.events.Event) -> list[said.Event]:
        match event:
            case h2.events.RequestReceived():
                return self._handle_request(event)
            case h2.events.ResponseReceived():
                return self._handle_response(event)
            case h2.events.TrailersReceived():
                return self._handle_trailers(event.stream_id or 0, _decoded_headers(event.headers))
            case h2.events.DataReceived():
                return self._handle_data(event)
            case h2.events.StreamEnded() if event.stream_id in self.calls:
                if self.is_client:
                    self.calls.pop(event.stream_id)
                    return [said.CallReset(event.stream_id, "ended without a status")]
                return [said.HalfClosed(event.stream_id)]
            case h2.events.StreamReset() if self.calls.pop(event.stream_id or 0, None):
                return [said.CallReset(event.stream_id or 0, f"reset with code {event.error_code}")]
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream_id in list(self.calls):
                    self._send_available(stream_id)
            case h2.events.ConnectionTerminated():
                self.closed = True
                self.calls.clear()
                return [
                    said.ConnectionClosed(f"the peer said goodbye with code {event.error_code}")
                ]
        return []

    def _handle_request(self, event: h2.events.RequestReceived) -> list[said.Event]:
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
        return [said.CallStarted(stream_id, headers.get(":path", ""), metadata)]

    def _handle_response(self, event: h2.events.ResponseReceived) -> list[said.Event]:
        stream_id = event.stream_id or 0
        headers = _decoded_headers(event.headers)
        if "grpc-status" in headers:
            return self._handle_trailers(stream_id, headers)
        if headers.get(":status") != "200":
            self.calls.pop(stream_id, None)
            return [
                said.CallReset(stream_id, f"answered with HTTP status {headers.get(':status')}")
            ]
        return [said.HeadersReceived(stream_id)]

    def _handle_trailers(self, stream_id: int, headers: dict[str, str]) -> list[said.Event]:
        if not self.is_client or self.calls.pop(stream_id, None) is None:
            return []
        return [
            said.TrailersReceived(
                stream_id,
                int(headers.get("grpc-status", "2")),
                unquote(headers.get("grpc-message", "")),
            )
        ]

    def _handle_data(self, event: h2.events.DataReceived) -> list[said.Event]:
        stream_id = event.stream_id or 0
        call = self.calls.get(event.stream_id or 0)
        self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream_id)
        if call is None:
            return []
        try:
            return [
                said.MessageReceived(stream_id, data)
                for data in call.deframer.feed(event.data or b"")
            ]
        except FramingError as error:
            if self.is_client:
                self.cancel(stream_id)
            else:
                self.finish(stream_id, Status(error.status), str(error))
            return [said.CallReset(stream_id, str(error))]
