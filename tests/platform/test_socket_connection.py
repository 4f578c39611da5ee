"""The output buffer of a connection."""

import socket

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
