"""gRPC over HTTP/2 without sockets: two connections exchange bytes."""

import h2.config
import h2.connection
import h2.errors
import h2.events
import pytest

from dunlinlug import rpc


@pytest.fixture
def client() -> rpc.Connection:
    return rpc.Connection(is_client=True)


@pytest.fixture
def server() -> rpc.Connection:
    return rpc.Connection(is_client=False)


def transfer(source: rpc.Connection, target: rpc.Connection, step: int = 10**9) -> list[rpc.Event]:
    """Pass all pending bytes of `source` to `target`, `step` bytes at a time."""
    data = source.data_to_send()
    return [
        event
        for start in range(0, len(data), step)
        for event in target.receive(data[start : start + step])
    ]


def exchange_all(
    client: rpc.Connection, server: rpc.Connection
) -> tuple[list[rpc.Event], list[rpc.Event]]:
    """Transfer in both directions fifty times; returns the client's and the server's events."""
    at_client: list[rpc.Event] = []
    at_server: list[rpc.Event] = []
    for _ in range(50):
        at_server += transfer(client, server)
        at_client += transfer(server, client)
    return at_client, at_server


@pytest.mark.parametrize("step", [1, 7, 10**9])
def test_messages_arrive_whole_however_the_bytes_are_split(
    client: rpc.Connection, server: rpc.Connection, step: int
) -> None:
    stream = client.start_call("/some.Service/Method", "here")
    client.send(stream, b"abc")
    client.send(stream, b"")
    events = transfer(client, server, step)
    assert [e for e in events if not isinstance(e, rpc.ConnectionClosed)] == [
        rpc.CallStarted(stream, "/some.Service/Method", events[0].metadata),
        rpc.MessageReceived(stream, b"abc"),
        rpc.MessageReceived(stream, b""),
    ]
    server.accept(stream)
    server.send(stream, b"answer")
    server.finish(stream, rpc.Status.OK)
    assert transfer(server, client, step) == [
        rpc.HeadersReceived(stream),
        rpc.MessageReceived(stream, b"answer"),
        rpc.TrailersReceived(stream, 0, ""),
    ]


def test_a_call_without_window_delays_no_other(
    client: rpc.Connection, server: rpc.Connection
) -> None:
    full = client.start_call("/a/b", "h")
    free = client.start_call("/a/b", "h")
    exchange_all(client, server)
    for stream in (full, free):
        server.accept(stream)
    server.send(full, bytes(3 * 2**20))
    assert server.unsent_bytes(full) > 0
    server.send(free, b"small")
    assert server.unsent_bytes(free) == 0
    at_client, _ = exchange_all(client, server)
    assert rpc.MessageReceived(free, b"small") in at_client
    assert (
        rpc.MessageReceived(full, bytes(3 * 2**20)) in at_client and server.unsent_bytes(full) == 0
    )


def test_an_oversized_message_ends_its_call_with_resource_exhausted(client: rpc.Connection) -> None:
    server = rpc.Connection(is_client=False, max_message_size=100)
    big = client.start_call("/a/b", "h")
    other = client.start_call("/a/b", "h")
    client.send(big, bytes(101))
    client.send(other, b"fine")
    at_client, at_server = exchange_all(client, server)
    assert rpc.MessageReceived(other, b"fine") in at_server
    assert [e.status for e in at_client if isinstance(e, rpc.TrailersReceived)] == [
        rpc.Status.RESOURCE_EXHAUSTED
    ]


def test_a_wrong_content_type_gets_status_415(server: rpc.Connection) -> None:
    plain = h2.connection.H2Connection(
        h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
    )
    plain.initiate_connection()
    plain.send_headers(
        1,
        [(":method", "GET"), (":scheme", "http"), (":path", "/"), (":authority", "h")],
        end_stream=True,
    )
    assert server.receive(plain.data_to_send()) == []
    answer = plain.receive_data(server.data_to_send())
    assert any(dict(getattr(e, "headers", None) or ()).get(":status") == "415" for e in answer)


def test_bytes_that_are_not_http2_close_the_connection_with_a_reason(
    server: rpc.Connection,
) -> None:
    events = server.receive(b"GET / HTTP/1.1\r\nhost: here\r\n\r\n")
    assert isinstance(events[0], rpc.ConnectionClosed) and server.closed
    assert server.receive(b"more") == []


def test_an_oversized_frame_closes_the_connection_with_a_reason(
    client: rpc.Connection, server: rpc.Connection
) -> None:
    exchange_all(client, server)
    events = server.receive(
        bytes([0x10, 0, 0]) + bytes([0, 0]) + bytes([0, 0, 0, 1]) + bytes(2**20)
    )
    assert isinstance(events[0], rpc.ConnectionClosed) and "FrameTooLarge" in events[0].reason


@pytest.mark.parametrize("step", [1, 9, 4096])
def test_an_oversized_frame_is_rejected_by_its_header(
    client: rpc.Connection, server: rpc.Connection, step: int
) -> None:
    """Guards against buffering up to 16 MiB of an invalid frame for each connection."""
    exchange_all(client, server)
    max_length = server.h2.max_inbound_frame_size
    empty_settings = bytes([0, 0, 0, 4, 0, 0, 0, 0, 0])
    header = (max_length + 1).to_bytes(3, "big") + bytes([0, 0, 0, 0, 0, 1])
    data = empty_settings + header + bytes(max_length + 1)
    position = 0
    while not server.closed:
        events = server.receive(data[position : position + step])
        position += step
    assert position - step < len(empty_settings + header)
    assert isinstance(events[0], rpc.ConnectionClosed) and "FrameTooLarge" in events[0].reason
    peer = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    peer.initiate_connection()
    (termination,) = [
        event
        for event in peer.receive_data(server.data_to_send())
        if isinstance(event, h2.events.ConnectionTerminated)
    ]
    assert termination.error_code == h2.errors.ErrorCodes.FRAME_SIZE_ERROR


def test_a_response_after_goaway_is_dropped(client: rpc.Connection, server: rpc.Connection) -> None:
    streams = [client.start_call("/a/b", "h") for _ in range(3)]
    exchange_all(client, server)
    server.accept(streams[0])
    client.close()
    _, at_server = exchange_all(client, server)
    assert isinstance(at_server[-1], rpc.ConnectionClosed)
    server.accept(streams[1])
    server.send(streams[0], b"late")
    server.finish(streams[0], rpc.Status.CANCELLED)
    assert server.data_to_send() == b"" and not server.calls


def test_a_cancelled_call_is_reported_and_removed(
    client: rpc.Connection, server: rpc.Connection
) -> None:
    stream = client.start_call("/a/b", "h")
    exchange_all(client, server)
    client.cancel(stream)
    _, at_server = exchange_all(client, server)
    assert isinstance(at_server[0], rpc.CallReset)
    server.send(stream, b"too late")
    server.finish(stream, rpc.Status.OK)
    assert server.data_to_send() == b""


@pytest.mark.parametrize("status", ["", "x", "9" * 5000, "²", "-1", "\u0663"])
def test_a_status_that_is_no_number_ends_its_call_alone(
    client: rpc.Connection, server: rpc.Connection, status: str
) -> None:
    # A ValueError left the client's connection and ended the process that follows a manager.
    stream = client.start_call("/some.Service/Method", "here")
    transfer(client, server)
    server.h2.send_headers(
        stream, [(":status", "200"), ("grpc-status", status or "?")], end_stream=True
    )
    events = transfer(server, client)
    assert events == [rpc.TrailersReceived(stream, int(rpc.Status.UNKNOWN), "")]
    assert not client.closed


def test_a_header_that_is_not_utf_8_ends_its_connection(server: rpc.Connection) -> None:
    # A UnicodeDecodeError left the connection as an internal error.
    sender = h2.connection.H2Connection(
        h2.config.H2Configuration(client_side=True, validate_outbound_headers=False)
    )
    sender.initiate_connection()
    sender.send_headers(
        1,
        [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/\xff"), (b":authority", b"a")],
    )
    events = server.receive(sender.data_to_send())
    assert [type(event) for event in events] == [rpc.ConnectionClosed]
    assert server.closed
