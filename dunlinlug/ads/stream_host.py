"""The interface of the xDS service that is used by the code serving one stream."""

from collections.abc import Callable
from typing import Protocol

import trio

from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.errors import DunlinlugError
from dunlinlug.net.grpc import Call
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

    def register_node(self, stream: DeltaStream | StateOfTheWorldStream, identity: str) -> None:
        """Check the node name in a stream's first request, and assign the node a number.

        Raises:
            IdentityConflictError: `identity`, from the peer's certificate, is another name.
            StreamProtocolError: The maximum number of nodes is reached.
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


def require_identity(node_id: str, identity: str) -> None:
    """Check a node's name against its certificate; an empty identity (no TLS) matches any name.

    Raises:
        IdentityConflictError: The certificate names another node.
    """
    if identity not in ("", node_id):
        raise IdentityConflictError(f"{node_id} is not who its certificate names: {identity}")
