"""Serves one ADS stream, delta or state of the world: one call for all types of one proxy."""

import trio

from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.ads.stream_host import IdentityConflictError, StreamHost
from dunlinlug.net.grpc import Call, CallEndedError
from dunlinlug.rpc import Status
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import DeltaStream, NodeIdentified, StreamProtocolError


class AggregatedStream:
    """One call and, once the proxy has subscribed to all types that it needs, its session."""

    def __init__(
        self, host: StreamHost, call: Call, stream: DeltaStream | StateOfTheWorldStream
    ) -> None:
        self.host = host
        self.call = call
        self.stream = stream
        self.session: DeltaSession | StateOfTheWorldSession | None = None

    async def serve(self) -> None:
        """Serve the call until it ends."""
        # A proxy takes the response headers as a sign that this manager is the leader, so they are
        # sent only once it is.
        await self.host.leading.wait()
        self.stream.control_plane_id = self.host.control_plane_id
        self.call.accept()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._handle_request(await self.call.receive(), nursery)
        except* IdentityConflictError as errors:
            self._finish(Status.PERMISSION_DENIED, str(errors.exceptions[0]))
        except* StreamProtocolError as errors:
            self._finish(Status.INVALID_ARGUMENT, str(errors.exceptions[0]))
        except* CallEndedError as ends:
            if self.session is not None:
                self.host.log_event(
                    "proxy.stream_ended",
                    proxy=self.stream.node_id,
                    why=str(ends.exceptions[0]),
                )
        finally:
            if self.session is not None:
                self.host.close_session(self.session)

    async def _handle_request(self, data: bytes, nursery: trio.Nursery) -> None:
        for message in self.stream.receive(data):
            if isinstance(message, NodeIdentified):
                await self.host.register_node(self.stream, self.call)
            elif self.session is not None:
                self.session.handle_answer(message, trio.current_time())
        if self.session is None and self.stream.is_ready():
            self.session = self._open_session()
            nursery.start_soon(self.session.run_sender)
        elif isinstance(self.session, StateOfTheWorldSession):
            self.session.send_pending()  # the subscription may have changed

    def _open_session(self) -> DeltaSession | StateOfTheWorldSession:
        if isinstance(self.stream, StateOfTheWorldStream):
            return self.host.open_state_of_the_world_session(self.call, self.stream)
        return self.host.open_delta_session(self.call, self.stream)

    def _finish(self, status: Status, reason: str) -> None:
        self.host.log_event("proxy.protocol_error", proxy=self.stream.node_id, why=reason)
        self.call.finish(status, reason)
