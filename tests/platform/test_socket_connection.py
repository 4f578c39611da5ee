"""The output buffer of a connection."""

import socket
from contextlib import ExitStack

from dunlinlug.platform.connections import PeerRegistry
from dunlinlug.platform.server import MAX_UNSENT_BYTES_TOTAL, ConnectionServer
from dunlinlug.platform.socket_connection import MAX_UNSENT_BYTES, Connection


def test_output_for_a_peer_that_does_not_read_is_bounded() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        connection = Connection(ours, 0.0)
        for _ in range(100):
            connection.write(b"x" * 2**16)
            if connection.end_reason:
                break
        assert (
            connection.end_reason == "it does not read"
            and len(connection.unsent) <= MAX_UNSENT_BYTES + 2**16
        )
        assert connection.scope.cancel_called


def test_output_for_peers_that_do_not_read_is_bounded_in_sum() -> None:
    # 1 MiB for each of 200 proxies that do not read is more than the process may use.
    registry = PeerRegistry(("a",), 200, (), lambda _worker: True, lambda _event: None)
    server = ConnectionServer(registry, 8, lambda *_args, **_fields: None)
    with ExitStack() as stack:
        connections = list[Connection]()
        for _ in range(100):
            ours, theirs = map(stack.enter_context, socket.socketpair())
            ours.setblocking(False)
            stack.callback(theirs.close)
            connections.append(Connection(ours, 0.0, server._limit_unsent))
        reader, others = connections[0], connections[1:]
        reader.write(b"x" * 2**19)
        for connection in others:
            while len(connection.unsent) < 2**19 + 2**18:
                connection.write(b"x" * 2**16)
        kept = [connection for connection in connections if not connection.end_reason]
        assert sum(len(connection.unsent) for connection in kept) <= MAX_UNSENT_BYTES_TOTAL
        assert server.unsent_output.total <= MAX_UNSENT_BYTES_TOTAL
        assert reader in kept and len(kept) > 20
        for connection in connections:
            connection.discard_unsent()
        assert server.unsent_output.total == 0
