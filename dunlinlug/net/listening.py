"""Accepts connections for a server whose connections are limited together."""

import errno
import resource
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from dunlinlug.net.peer_limits import ConnectionTable

# Seconds for which a connection without a valid message is kept at least while others wait.
NEW_CONNECTION_GRACE_S = 0.25
# Seconds between two looks for room; a connection that ends earlier makes some.
ROOM_CHECK_INTERVAL_S = 0.02
# Seconds to pause when descriptors or buffers have run out.
EXHAUSTION_PAUSE_S = 0.1
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Descriptors left for other listeners, the store and connections to others.
RESERVED_DESCRIPTORS = 160
MIN_CONNECTIONS = 16


def affordable_connections(wanted: int) -> int:
    """Return how many of the wanted connections the process has descriptors for."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return wanted
    return max(min(wanted, descriptors - RESERVED_DESCRIPTORS), MIN_CONNECTIONS)


async def serve_connections(
    handler: Callable[[trio.SocketStream], Awaitable[None]],
    listeners: list[trio.SocketListener],
    connections: ConnectionTable[Any],
    nursery: trio.Nursery,
) -> None:
    """Accept connections until cancelled, and serve each by a task in `nursery`.

    While there are too many, the next ones wait to be accepted.
    """
    async with trio.open_nursery() as accept_nursery:
        for listener in listeners:
            accept_nursery.start_soon(_accept, handler, listener, connections, nursery)


async def _accept(
    handler: Callable[[trio.SocketStream], Awaitable[None]],
    listener: trio.SocketListener,
    connections: ConnectionTable[Any],
    nursery: trio.Nursery,
) -> None:
    async with listener:
        while True:
            while seconds := connections.seconds_until_room(trio.current_time()):
                await trio.sleep(min(seconds, ROOM_CHECK_INTERVAL_S))
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    raise
                await trio.sleep(EXHAUSTION_PAUSE_S)
                continue
            nursery.start_soon(handler, stream)
            # The handler adds its connection before the next one is looked at: it runs in the
            # next pass of the loop, and this task perhaps before it.
            await trio.lowlevel.checkpoint()
            await trio.lowlevel.checkpoint()
