"""Serves clients that open one state-of-the-world stream for each type (LDS, RDS, CDS, EDS).

All streams of one node share one state and one session and count as one proxy while the node's LDS
stream is open. Owns these clients by node name.
"""

from dataclasses import dataclass, field

import trio

from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.ads.stream_host import IdentityConflictError, StreamHost, require_identity
from dunlinlug.net.grpc import Call, CallEndedError
from dunlinlug.rpc import Status
from dunlinlug.xds import names
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import ResponseAcknowledged, ResponseRejected, StreamProtocolError


@dataclass
class SplitStreamClient:
    """A client's shared state, its session (once it subscribes to listeners) and calls by type."""

    stream: StateOfTheWorldStream
    session: StateOfTheWorldSession | None = None
    calls: dict[str, Call] = field(default_factory=dict)


class SplitStreams:
    """Serves all clients that have a stream for each type."""

    def __init__(self, host: StreamHost) -> None:
        self.host = host
        self.clients: dict[str, SplitStreamClient] = {}  # by node name

    async def serve(self, call: Call, type_url: str) -> None:
        """Serve the call for one type until it ends."""
        await self.host.leading.wait()
        call.accept()
        client: SplitStreamClient | None = None
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await call.receive()
                    if client is None:
                        client = await self._join_client(data, call, type_url)
                    self._handle_request(client, data, call, type_url, nursery)
        except* (StreamProtocolError, IdentityConflictError) as errors:
            reason = str(errors.exceptions[0])
            node_id = client.stream.node_id if client is not None else ""
            self.host.log_event("proxy.protocol_error", proxy=node_id, why=reason)
            call.finish(Status.INVALID_ARGUMENT, reason)
        except* CallEndedError:
            pass
        finally:
            if client is not None and client.calls.get(type_url) is call:
                self._remove_stream(client, type_url)

    def _handle_request(
        self,
        client: SplitStreamClient,
        data: bytes,
        call: Call,
        type_url: str,
        nursery: trio.Nursery,
    ) -> None:
        for message in client.stream.receive(data, type_url):
            if client.session is None:
                continue
            if isinstance(message, ResponseAcknowledged | ResponseRejected):
                client.session.handle_answer(message, trio.current_time())
        if client.session is not None:
            client.session.send_pending()
        elif client.stream.is_ready():
            client.session = self.host.open_state_of_the_world_session(
                call, client.stream, client.calls
            )
            nursery.start_soon(client.session.run_sender)

    async def _join_client(self, data: bytes, call: Call, type_url: str) -> SplitStreamClient:
        """Add this call to the client whose node is named in the first request.

        Raises:
            IdentityConflictError: The call's certificate names another node.
            StreamProtocolError: `data` is not a valid first request of this type, or the maximum
                number of nodes is reached.
        """
        first_stream = StateOfTheWorldStream()
        first_stream.receive(data, type_url)
        node_id = first_stream.node_id
        if node_id in self.clients:
            require_identity(node_id, call.connection)
        else:
            await self.host.register_node(first_stream, call)
        # Another stream of the node may have come while this one waited.
        client = self.clients.get(node_id)
        if client is None:
            client = SplitStreamClient(self._shared_stream(first_stream))
            self.clients[node_id] = client
        client.stream.close_type(type_url)
        client.calls[type_url] = call
        return client

    def _shared_stream(self, first_stream: StateOfTheWorldStream) -> StateOfTheWorldStream:
        """Create the state shared by all streams of a node, from its first request of any type."""
        shared_stream = StateOfTheWorldStream()
        shared_stream.node_id = first_stream.node_id
        shared_stream.zone = first_stream.zone
        shared_stream.metadata = first_stream.metadata
        shared_stream.request_rate = first_stream.request_rate
        shared_stream.control_plane_id = self.host.control_plane_id
        return shared_stream

    def _remove_stream(self, client: SplitStreamClient, type_url: str) -> None:
        """Remove an ended stream; the end of the LDS stream disconnects the proxy."""
        del client.calls[type_url]
        client.stream.close_type(type_url)
        if client.session is not None and type_url == names.LISTENERS_TYPE:
            self.host.close_session(client.session)
            client.session = None
        node_id = client.stream.node_id
        if not client.calls and self.clients.get(node_id) is client:
            del self.clients[node_id]
