"""What the code that serves one xDS stream needs of the service around it."""

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
    """A peer claims a node name that its certificate does not have."""


class StreamHost(Protocol):
    """The xDS service, as its streams see it.

    Attributes:
        leading: Not set while another manager leads; calls wait for it.
        control_plane_id: This manager's name in responses, with its term if it has one.
        log_event: Writes one structured log line: event name and fields.
    """

    leading: trio.Event
    control_plane_id: str
    log_event: Callable[..., None]

    def register_node(self, stream: DeltaStream | StateOfTheWorldStream, identity: str) -> None:
        """Check who a stream's first request says it is, and number the node.

        Raises:
            IdentityConflictError: `identity`, from its certificate, is another.
            StreamProtocolError: There is no room for another node.
        """

    def open_delta_session(self, call: Call, stream: DeltaStream) -> DeltaSession:
        """Begin a proxy's session, in place of an earlier one of its node."""

    def open_state_of_the_world_session(
        self,
        call: Call,
        stream: StateOfTheWorldStream,
        calls_by_type: dict[str, Call] | None = None,
    ) -> StateOfTheWorldSession:
        """Begin a proxy's session, in place of an earlier one of its node."""

    def close_session(self, session: DeltaSession | StateOfTheWorldSession) -> None:
        """End a session, if it is still its proxy's."""


def require_identity(node_id: str, identity: str) -> None:
    """Check a node's name by its certificate; an empty identity (no TLS) proves any.

    Raises:
        IdentityConflictError: The certificate names another.
    """
    if identity not in ("", node_id):
        raise IdentityConflictError(f"{node_id} is not who its certificate names: {identity}")
