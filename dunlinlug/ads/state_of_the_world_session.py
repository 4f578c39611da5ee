"""One client's stream of the state-of-the-world form: what it should hold, what it was sent, what
it has taken.
"""

from collections.abc import Callable

import trio

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.events import Acknowledged, Event
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fencing_term
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import ResponseAcknowledged, ResponseRejected


class StateOfTheWorldSession:
    """As `Session`, for the other form. A mark is answered once the client holds all that was
    offered with it, down to the endpoints of each product that it asks for.
    """

    def __init__(
        self,
        proxy: int,
        call: Call,
        stream: StateOfTheWorldStream,
        now: float,
        submit: Callable[[Event], None],
        log_event: Callable[..., None],
    ) -> None:
        self.proxy = proxy
        self.call = call
        self.stream = stream
        self.joined_at = now
        self.submit = submit
        self.log_event = log_event
        self.calls_by_type: dict[str, Call] = {}  # by type, where each has a stream of its own
        self.ack_requests: list[tuple[int, float]] = []
        self.resources_by_nonce: dict[str, tuple[str, ...]] = {}  # names by nonce
        self.send_blocked = trio.Event()
        self.on_higher_term: Callable[[int], None] = lambda term: None

    def enqueue(self, batch: ResponseBatch) -> None:
        """The newest offer stands for all before it."""
        self.ack_requests += batch.ack_requests
        if batch.state_of_the_world is not None:
            self.stream.resources = batch.state_of_the_world
        self.send_pending()

    def send_pending(self) -> None:
        """Send what is due, unless the peer has not taken what went before; then the newest goes
        later.
        """
        if any(call.unsent_bytes for call in (self.call, *self.calls_by_type.values())):
            self.send_blocked.set()
            return
        for type_url, nonce, resource_names, data in self.stream.pending_responses():
            self.resources_by_nonce[nonce] = resource_names
            self.calls_by_type.get(type_url, self.call).send(data)
        # Danger: answers to what is no longer the newest are passed over, so that those nonces
        # would pile up.
        newest_nonces = set(self.stream.pending_nonces.values())
        self.resources_by_nonce = {
            nonce: resource_names
            for nonce, resource_names in self.resources_by_nonce.items()
            if nonce in newest_nonces
        }
        self._report_acknowledgements(trio.current_time())

    async def run_sender(self) -> None:
        while True:
            await self.send_blocked.wait()
            self.send_blocked = trio.Event()
            for call in (self.call, *self.calls_by_type.values()):
                await call.wait_sent()
            self.send_pending()

    def end(self, status: Status, reason: str) -> None:
        for call in (self.call, *self.calls_by_type.values()):
            call.finish(status, reason)
            call.scope.cancel()

    def handle_answer(self, answer: ResponseAcknowledged | ResponseRejected, now: float) -> None:
        resource_names = self.resources_by_nonce.pop(answer.nonce, ())
        if isinstance(answer, ResponseRejected):
            if term := fencing_term.superseding_term(answer.reason):
                self.on_higher_term(term)
            self.log_event(
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
                self.submit(Acknowledged(self.proxy, number, now - ordered_at))

    def forget_unused_rejections(self, used_tables: set[str]) -> None:
        """Nothing is kept by table here."""
