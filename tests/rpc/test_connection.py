"""gRPC over HTTP/2 without sockets: two connections talk through byte strings."""

import h2.config
import h2.connection
import pytest

from dunlinlug import rpc


def pair() -> tuple[rpc.Connection, rpc.Connection]:
    return rpc.Connection(is_client=True), rpc.Connection(is_client=False)


def pass_on(source: rpc.Connection, target: rpc.Connection, step: int = 10**9) -> list[rpc.Event]:
    data = source.data_to_send()
    return [
        event for n in range(0, len(data), step) for event in target.receive(data[n : n + step])
    ]


def settle(
    client: rpc.Connection, server: rpc.Connection
) -> tuple[list[rpc.Event], list[rpc.Event]]:
    at_client: list[rpc.Event] = []
    at_server: list[rpc.Event] = []
    for _ in range(50):
        at_server += pass_on(client, server)
        at_client += pass_on(server, client)
    return at_client, at_server


@pytest.mark.parametrize("step", [1, 7, 10**9])
def test_messages_arrive_whole_however_the_bytes_are_cut(step: int) -> None:
    client, server = pair()
    stream = client.start_call("/some.Service/Method", "here")
    client.send(stream, b"abc")
    client.send(stream, b"")
    events = pass_on(client, server, step)
    assert [e for e in events if not isinstance(e, rpc.ConnectionClosed)] == [
        rpc.CallStarted(stream, "/some.Service/Method", events[0].metadata),
        rpc.MessageReceived(stream, b"abc"),
        rpc.MessageReceived(stream, b""),
    ]
    server.accept(stream)
    server.send(stream, b"answer")
    server.finish(stream, rpc.Status.OK)
    assert pass_on(server, client, step) == [
        rpc.HeadersReceived(stream),
        rpc.MessageReceived(stream, b"answer"),
        rpc.TrailersReceived(stream, 0, ""),
    ]


def test_a_peer_with_no_window_left_holds_back_its_own_call_alone() -> None:
    client, server = pair()
    full, free = client.start_call("/a/b", "h"), client.start_call("/a/b", "h")
    settle(client, server)
    for stream in (full, free):
        server.accept(stream)
    server.send(full, bytes(3 * 2**20))
    assert server.unsent_bytes(full) > 0
    server.send(free, b"small")
    assert server.unsent_bytes(free) == 0
    at_client, _ = settle(client, server)
    assert rpc.MessageReceived(free, b"small") in at_client
    assert (
        rpc.MessageReceived(full, bytes(3 * 2**20)) in at_client and server.unsent_bytes(full) == 0
    )


def test_an_oversized_message_ends_its_call_with_a_clear_status() -> None:
    client, server = (
        rpc.Connection(is_client=True),
        rpc.Connection(is_client=False, max_message_size=100),
    )
    big, other = client.start_call("/a/b", "h"), client.start_call("/a/b", "h")
    client.send(big, bytes(101))
    client.send(other, b"fine")
    at_client, at_server = settle(client, server)
    assert rpc.MessageReceived(other, b"fine") in at_server
    assert [e.status for e in at_client if isinstance(e, rpc.TrailersReceived)] == [
        rpc.Status.RESOURCE_EXHAUSTED
    ]


def test_a_wrong_content_type_is_answered_to_that_peer() -> None:
    _, server = pair()
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


def test_bytes_that_are_not_http2_close_the_connection_with_a_reason() -> None:
    _, server = pair()
    events = server.receive(b"GET / HTTP/1.1\r\nhost: here\r\n\r\n")
    assert isinstance(events[0], rpc.ConnectionClosed) and server.closed
    assert server.receive(b"more") == []


def test_an_oversized_frame_closes_the_connection_with_a_reason() -> None:
    client, server = pair()
    settle(client, server)
    events = server.receive(
        bytes([0x10, 0, 0]) + bytes([0, 0]) + bytes([0, 0, 0, 1]) + bytes(2**20)
    )
    assert isinstance(events[0], rpc.ConnectionClosed) and "FrameTooLarge" in events[0].reason


def test_an_answer_after_the_goodbye_is_dropped_and_harms_nothing() -> None:
    client, server = pair()
    streams = [client.start_call("/a/b", "h") for _ in range(3)]
    settle(client, server)
    server.accept(streams[0])
    client.close()
    _, at_server = settle(client, server)
    assert isinstance(at_server[-1], rpc.ConnectionClosed)
    server.accept(streams[1])
    server.send(streams[0], b"late")
    server.finish(streams[0], rpc.Status.CANCELLED)
    assert server.data_to_send() == b"" and not server.calls


def test_a_cut_call_is_told_and_its_number_forgotten() -> None:
    client, server = pair()
    stream = client.start_call("/a/b", "h")
    settle(client, server)
    client.cancel(stream)
    _, at_server = settle(client, server)
    assert isinstance(at_server[0], rpc.CallReset)
    server.send(stream, b"too late")
    server.finish(stream, rpc.Status.OK)
    assert server.data_to_send() == b""
