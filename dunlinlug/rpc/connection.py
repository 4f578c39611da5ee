"""One HTTP/2 connection that carries gRPC calls, for either side.

`receive` takes bytes and gives events, `data_to_send` gives bytes. What flow control holds back waits here, call by
call, so that a peer that reads nothing delays its own calls alone; `unsent` tells how much that is.
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
from dunlinlug.rpc.framing import Deframer, FramingFault, frame

LARGEST = (
    16 * 2**20
)  # bytes of one message: some ten times the largest table of a fleet of a thousand
WINDOW = 2**20  # bytes that a peer may send ahead for each call


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


def _plain(headers: Any) -> dict[str, str]:
    """Decoded by h2 as its configuration asks; its types allow for bytes as well."""
    return dict(headers or ())


class _Call:
    def __init__(self, most: int) -> None:
        self.deframer = Deframer(most)
        self.queue: deque[memoryview] = deque()
        self.waiting = 0  # bytes in the queue
        self.ending: list[tuple[str, str]] | None = (
            None  # trailers once the queue is empty; [] ends plainly
        )
        self.opened = self.ended = False  # our first headers sent, our last


class Connection:
    def __init__(self, client: bool, most: int = LARGEST) -> None:
        self.client, self.most = client, most
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=client, header_encoding="utf-8", validate_outbound_headers=False
            )
        )
        self.calls: dict[int, _Call] = {}
        self.closed = False
        self.h2.initiate_connection()
        self.h2.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW})
        self.h2.increment_flow_control_window(4 * WINDOW)

    # Sending.

    def data_to_send(self) -> bytes:
        return self.h2.data_to_send()

    def call(self, path: str, authority: str) -> int:
        """Open a call (client side); gives its stream."""
        stream = self.h2.get_next_available_stream_id()
        self.calls[stream] = _Call(self.most)
        self.h2.send_headers(
            stream,
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
        return stream

    def accept(self, stream: int) -> None:
        """Send a call's first headers (server side)."""
        call = self.calls.get(stream)
        if call is not None and not call.opened:
            call.opened = True
            try:
                self.h2.send_headers(
                    stream, [(":status", "200"), ("content-type", "application/grpc")]
                )
            except h2.exceptions.ProtocolError:
                self.calls.pop(stream)  # it ended in the same moment

    def send(self, stream: int, message: bytes) -> None:
        """Queue one message; it leaves as far as the peer's windows allow."""
        call = self.calls.get(stream)
        if call is None or call.ending is not None:
            return
        framed = memoryview(frame(message))
        call.queue.append(framed)
        call.waiting += len(framed)
        self._drain(stream)

    def unsent(self, stream: int) -> int:
        """Bytes of this call that the peer's flow control holds back."""
        call = self.calls.get(stream)
        return call.waiting if call else 0

    def finish(self, stream: int, status: Status, text: str = "") -> None:
        """End a call with a status (server side), after what is queued."""
        call = self.calls.get(stream)
        if call is None or call.ending is not None:
            return
        trailers = [("grpc-status", str(int(status)))] + (
            [("grpc-message", quote(text))] if text else []
        )
        if not call.opened:
            call.opened = True
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        call.ending = trailers
        self._drain(stream)

    def half_close(self, stream: int) -> None:
        """Say that nothing more will come (client side)."""
        call = self.calls.get(stream)
        if call is not None and call.ending is None:
            call.ending = []
            self._drain(stream)

    def cancel(self, stream: int) -> None:
        if self.calls.pop(stream, None) is not None and not self.closed:
            try:
                self.h2.reset_stream(stream, h2.errors.ErrorCodes.CANCEL)
            except h2.exceptions.ProtocolError:
                return  # it ended in the same moment

    def ping(self) -> None:
        if not self.closed:
            self.h2.ping(b"dunlinlu")

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.h2.close_connection()

    def _drain(self, stream: int) -> None:
        """Danger: a call or the whole connection may have ended in this same moment; what is unsent is then lost."""
        try:
            self._send_queued(stream, self.calls[stream])
        except h2.exceptions.ProtocolError:
            self.calls.pop(stream, None)

    def _send_queued(self, stream: int, call: _Call) -> None:
        while call.queue:
            room = min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)
            if room <= 0:
                return
            piece = call.queue[0]
            if len(piece) <= room:
                call.queue.popleft()
            else:
                piece, call.queue[0] = piece[:room], piece[room:]
            call.waiting -= len(piece)
            self.h2.send_data(stream, bytes(piece))
        if call.ending and not call.ended:
            self.h2.send_headers(stream, call.ending, end_stream=True)
            self.calls.pop(stream, None)
        elif call.ending is not None and not call.ended:
            self.h2.end_stream(stream)
        call.ended = call.ending is not None

    # Receiving.

    def receive(self, data: bytes) -> list[said.Event]:
        """Take bytes; a fault of one call ends that call, a fault of the connection ends all of them."""
        if self.closed:
            return []
        try:
            happened = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            self.closed = True
            self.calls.clear()
            return [said.Closed(f"not HTTP/2 as agreed: {type(error).__name__}: {error}")]
        told: list[said.Event] = []
        for event in happened:
            told += self._meet(event)
        return told

    def _meet(self, event: h2.events.Event) -> list[said.Event]:
        match event:
            case h2.events.RequestReceived():
                return self._requested(event)
            case h2.events.ResponseReceived():
                return self._responded(event)
            case h2.events.TrailersReceived():
                return self._ended(event.stream_id or 0, _plain(event.headers))
            case h2.events.DataReceived():
                return self._fed(event)
            case h2.events.StreamEnded() if event.stream_id in self.calls:
                if self.client:
                    self.calls.pop(event.stream_id)
                    return [said.Reset(event.stream_id, "ended without a status")]
                return [said.HalfClosed(event.stream_id)]
            case h2.events.StreamReset() if self.calls.pop(event.stream_id or 0, None):
                return [said.Reset(event.stream_id or 0, f"reset with code {event.error_code}")]
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for stream in list(self.calls):
                    self._drain(stream)
            case h2.events.ConnectionTerminated():
                self.closed = True
                self.calls.clear()
                return [said.Closed(f"the peer said goodbye with code {event.error_code}")]
        return []

    def _requested(self, event: h2.events.RequestReceived) -> list[said.Event]:
        stream, headers = event.stream_id or 0, _plain(event.headers)
        kind = headers.get("content-type", "")
        if headers.get(":method") != "POST" or not kind.startswith("application/grpc"):
            self.h2.send_headers(stream, [(":status", "415"), ("content-type", "text/plain")])
            self.h2.send_data(
                stream,
                f"this port speaks gRPC, not {kind or 'plain requests'}\n".encode(),
                end_stream=True,
            )
            return []
        self.calls[stream] = _Call(self.most)
        rest = tuple((k, v) for k, v in headers.items() if not k.startswith(":"))
        return [said.Called(stream, headers.get(":path", ""), rest)]

    def _responded(self, event: h2.events.ResponseReceived) -> list[said.Event]:
        stream, headers = event.stream_id or 0, _plain(event.headers)
        if "grpc-status" in headers:
            return self._ended(stream, headers)
        if headers.get(":status") != "200":
            self.calls.pop(stream, None)
            return [said.Reset(stream, f"answered with HTTP status {headers.get(':status')}")]
        return [said.Opened(stream)]

    def _ended(self, stream: int, headers: dict[str, str]) -> list[said.Event]:
        if not self.client or self.calls.pop(stream, None) is None:
            return []
        return [
            said.Trailers(
                stream,
                int(headers.get("grpc-status", "2")),
                unquote(headers.get("grpc-message", "")),
            )
        ]

    def _fed(self, event: h2.events.DataReceived) -> list[said.Event]:
        stream, call = event.stream_id or 0, self.calls.get(event.stream_id or 0)
        self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream)
        if call is None:
            return []
        try:
            return [said.Message(stream, data) for data in call.deframer.feed(event.data or b"")]
        except FramingFault as fault:
            if self.client:
                self.cancel(stream)
            else:
                self.finish(stream, Status(fault.status), str(fault))
            return [said.Reset(stream, str(fault))]
