"""One client's state-of-the-world session: sends resources and reports acknowledgements."""

import trio

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.ads.session_callbacks import SessionCallbacks
from dunlinlug.decision.events import Acknowledged
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fencing_term
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import ResponseAcknowledged, ResponseRejected


class StateOfTheWorldSession:
    """As `DeltaSession`, for the state-of-the-world form.

    An acknowledgement is reported once the client holds all resources offered with it, including
    the endpoints of each traffic class that it subscribes to.

    `calls_by_type` has the calls of a client with a stream for each type; `SplitStreams` owns the
    dictionary and updates it as streams are opened and closed.
    """

    def __init__(  # noqa: PLR0913 - the arguments of DeltaSession and the calls
        self,
        proxy: int,
        call: Call,
        stream: StateOfTheWorldStream,
        now: float,
        callbacks: SessionCallbacks,
        *,
        calls_by_type: dict[str, Call] | None = None,
    ) -> None:
        self.proxy = proxy
        self.call = call
        self.stream = stream
        self.joined_at = now
        self.callbacks = callbacks
        self.calls_by_type = {} if calls_by_type is None else calls_by_type
        self.ack_requests: list[tuple[int, float]] = []
        self.resources_by_nonce: dict[str, tuple[str, ...]] = {}  # resource names
        self.send_blocked = trio.Event()

    def enqueue(self, batch: ResponseBatch) -> None:
        """Offer a batch's resources, which replace those of all earlier batches."""
        self.ack_requests += batch.ack_requests
        if batch.state_of_the_world is not None:
            self.stream.resources = batch.state_of_the_world
        self.send_pending()

    def send_pending(self) -> None:
        """Send the resources that changed, unless earlier data is still unsent."""
        if any(call.unsent_bytes for call in self._calls()):
            self.send_blocked.set()
            return
        for response in self.stream.pending_responses():
            self.resources_by_nonce[response.nonce] = response.names
            self.calls_by_type.get(response.type_url, self.call).send(response.data)
        # Answers to any but the newest response are ignored. The nonces of responses that are
        # never answered are dropped here, as they would otherwise accumulate.
        newest_nonces = set(self.stream.pending_nonces.values())
        self.resources_by_nonce = {
            nonce: resource_names
            for nonce, resource_names in self.resources_by_nonce.items()
            if nonce in newest_nonces
        }
        self._report_acknowledgements(trio.current_time())

    def _calls(self) -> tuple[Call, ...]:
        return (self.call, *self.calls_by_type.values())

    async def run_sender(self) -> None:
        """Send pending resources whenever the unsent data has been written, until cancelled."""
        while True:
            await self.send_blocked.wait()
            self.send_blocked = trio.Event()
            for call in self._calls():
                await call.wait_sent()
            self.send_pending()

    def end(self, status: Status, reason: str) -> None:
        """Finish all calls of the client with this status, and cancel the tasks that serve them."""
        for call in self._calls():
            call.finish(status, reason)
            call.scope.cancel()

    def handle_answer(
        self,
        answer: ResponseAcknowledged | ResponseRejected,
        now: float,  # noqa: ARG002 - as in DeltaSession; send_pending reports acknowledgements
    ) -> None:
        """Handle the ACK or NACK of one response, and send the responses that are now due."""
        resource_names = self.resources_by_nonce.pop(answer.nonce, ())
        if isinstance(answer, ResponseRejected):
            term = fencing_term.superseding_term(answer.reason)
            if term:
                self.callbacks.on_higher_term(term)
            self.callbacks.log_event(
                "proxy.response_rejected",
                proxy=self.stream.node_id,
                resources=sorted(resource_names),
                why=answer.reason,
            )
        self.send_pending()

    def _report_acknowledgements(self, now: float) -> None:
        if self.ack_requests and self.stream.is_converged():
            completed = self.ack_requests
            self.ack_requests = []
            for number, ordered_at in completed:
                self.callbacks.submit(Acknowledged(self.proxy, number, now - ordered_at))

    def forget_unused_rejections(self, used_tables: set[str]) -> None:
        """Do nothing, as this form records no rejections by table."""
