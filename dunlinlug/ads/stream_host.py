"""The interface of the xDS service that is used by the code serving one stream."""

from collections.abc import Callable
from typing import Protocol

import trio

from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.errors import DunlinlugError
from dunlinlug.net.grpc import Call
from dunlinlug.net.grpc_call import CallConnection
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import DeltaStream


class IdentityConflictError(DunlinlugError):
    """A peer's node name does not match the identity in its certificate."""


class StreamHost(Protocol):
    """The part of the xDS service that its streams use.

    Attributes:
        leading: Not set while another manager leads; calls wait for it.
        control_plane_id: This manager's identifier in responses, with its term if it has one.
        log_event: Writes one structured log line: event name and fields.
    """

    leading: trio.Event
    control_plane_id: str
    log_event: Callable[..., None]

    async def register_node(self, stream: DeltaStream | StateOfTheWorldStream, call: Call) -> None:
        """Check the node name in a stream's first request, and assign the node a number.

        Waits if very many nodes that are not known have come.

        Raises:
            IdentityConflictError: The peer has another name, as in `require_identity`.
            StreamProtocolError: All proxy numbers belong to connected nodes.
        """

    def open_delta_session(self, call: Call, stream: DeltaStream) -> DeltaSession:
        """Open a proxy's session, replacing an earlier session of the same node."""

    def open_state_of_the_world_session(
        self,
        call: Call,
        stream: StateOfTheWorldStream,
        calls_by_type: dict[str, Call] | None = None,
    ) -> StateOfTheWorldSession:
        """Open a proxy's session, replacing an earlier session of the same node."""

    def close_session(self, session: DeltaSession | StateOfTheWorldSession) -> None:
        """Remove a session if it is still its proxy's current one."""


def require_identity(node_id: str, connection: CallConnection) -> None:
    """Check a node's name against its connection's certificate and its earlier calls.

    An empty identity (no TLS) matches any name, but only one on each connection.

    Raises:
        IdentityConflictError: The certificate or an earlier call names another node.
    """
    identity = connection.identity
    if identity not in ("", node_id):
        raise IdentityConflictError(f"{node_id} is not who its certificate names: {identity}")
    if connection.node_id not in ("", node_id):
        raise IdentityConflictError(f"{node_id} is on the connection of {connection.node_id}")
    connection.node_id = node_id
