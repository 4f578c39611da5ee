"""One proxy's delta ADS stream: its pending batch, responses in flight, and rejections."""

import time
from dataclasses import dataclass

import trio

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.ads.session_callbacks import SessionCallbacks
from dunlinlug.decision.events import Acknowledged
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fencing_term, names
from dunlinlug.xds.encoding import EncodedResource
from dunlinlug.xds.stream import DeltaStream, ResponseAcknowledged, ResponseRejected

# Maximum number of sent batches that are not yet acknowledged. Later batches are merged while they
# wait, so that a proxy that never answers uses a bounded amount of memory.
MAX_IN_FLIGHT = 8


@dataclass
class InFlightResponses:
    """A batch that was sent and is not fully acknowledged.

    Attributes:
        nonces: Nonces of its responses that are not yet answered.
        ack_requests: As in `ResponseBatch`.
        rejected: Whether the proxy rejected any of the responses.
    """

    nonces: set[str]
    ack_requests: list[tuple[int, float]]
    rejected: bool = False


@dataclass(frozen=True)
class SentResources:
    """The resources sent with one nonce, and the batch they belong to."""

    batch: InFlightResponses
    resources: tuple[EncodedResource, ...]


@dataclass(frozen=True)
class PlannedResponse:
    """One response to be sent: resources of one type, or names of removed resources."""

    type_url: str
    resources: tuple[EncodedResource, ...] = ()
    removed: tuple[str, ...] = ()


class DeltaSession:
    """Sends batches over one stream and reports the proxy's acknowledgements.

    Call `enqueue` with batches and `handle_answer` with ACKs and NACKs; run `run_sender` while the
    stream is open.
    """

    def __init__(
        self,
        proxy: int,
        call: Call,
        stream: DeltaStream,
        now: float,
        callbacks: SessionCallbacks,
    ) -> None:
        self.proxy = proxy
        self.call = call
        self.stream = stream
        self.joined_at = now
        self.callbacks = callbacks
        self.pending_batch: ResponseBatch | None = None
        self.in_flight: list[InFlightResponses] = []
        self.sent_by_nonce: dict[str, SentResources] = {}
        self.rejected_versions: dict[str, str] = {}  # version last rejected, by resource name
        self.send_blocked = trio.Event()

    def enqueue(self, batch: ResponseBatch) -> None:
        """Send a batch, or merge it with the pending one."""
        if self.pending_batch is None:
            self.pending_batch = batch
        else:
            self.pending_batch.merge(batch)
        self._send_pending()

    def _send_pending(self) -> None:
        """Send the pending batch, unless too many are in flight or earlier data is unsent."""
        if self.pending_batch is None or len(self.in_flight) >= MAX_IN_FLIGHT:
            return
        if self.call.unsent_bytes:
            self.send_blocked.set()
            return
        batch = self.pending_batch
        self.pending_batch = None
        self._send_batch(batch)

    async def run_sender(self) -> None:
        """Send the pending batch whenever the unsent data has been written, until cancelled."""
        while True:
            await self.send_blocked.wait()
            self.send_blocked = trio.Event()
            await self.call.wait_sent()
            self._send_pending()

    def _send_batch(self, batch: ResponseBatch) -> None:
        in_flight = InFlightResponses(set(), batch.ack_requests)
        responses = self._plan_responses(batch)
        # The tag of the first response is for the proxy's own record: the time at which the batch
        # was first ordered (on the monotonic clock, which all processes of a machine share), its
        # entry count, and the number of replies merged into it.
        ordered_at = batch.ordered_at - trio.current_time() + time.monotonic()
        tag = f"{ordered_at:.6f} {batch.entry_count:g} {batch.reply_count}"
        last = len(responses) - 1
        for position, response in enumerate(responses):
            nonce, data = self.stream.respond(
                response.type_url, response.resources, response.removed, tag
            )
            tag = ""
            in_flight.nonces.add(nonce)
            self.sent_by_nonce[nonce] = SentResources(in_flight, response.resources)
            self.call.send(data, buffered=position < last)
        self.in_flight.append(in_flight)

    def _plan_responses(self, batch: ResponseBatch) -> list[PlannedResponse]:
        """Return a batch's responses in order, or one empty response if it has no resources."""
        accepted = [
            resource for resource in batch.tables.values() if not self._was_rejected(resource)
        ]
        ejections = tuple(
            resource for resource in accepted if resource.name == names.EJECTIONS_RESOURCE
        )
        tables = tuple(
            resource for resource in accepted if resource.name != names.EJECTIONS_RESOURCE
        )
        responses = []
        # A proxy rejects a response as a whole, so ejections have a separate response: they must
        # not be lost when a table is rejected.
        if ejections:
            responses.append(PlannedResponse(names.ENDPOINTS_TYPE, ejections))
        if tables:
            responses.append(PlannedResponse(names.ENDPOINTS_TYPE, tables))
        if batch.routes is not None and not self._was_rejected(batch.routes):
            responses.append(PlannedResponse(names.ROUTES_TYPE, (batch.routes,)))
        if batch.removed_tables:
            removed = tuple(sorted(batch.removed_tables))
            responses.append(PlannedResponse(names.ENDPOINTS_TYPE, removed=removed))
        return responses or [PlannedResponse(names.ENDPOINTS_TYPE)]

    def _was_rejected(self, resource: EncodedResource) -> bool:
        return self.rejected_versions.get(resource.name) == resource.version

    def handle_answer(self, answer: ResponseAcknowledged | ResponseRejected, now: float) -> None:
        """Handle the ACK or NACK of one response; report a batch once all of it is acknowledged."""
        sent = self.sent_by_nonce.pop(answer.nonce)
        sent.batch.nonces.discard(answer.nonce)
        if isinstance(answer, ResponseRejected):
            sent.batch.rejected = True
            term = fencing_term.superseding_term(answer.reason)
            if term:
                self.callbacks.on_higher_term(term)
                return
            self._record_rejection(sent.resources, answer.reason)
        else:
            for resource in sent.resources:
                self.rejected_versions.pop(resource.name, None)
        self._report_acknowledgements(now)
        self._send_pending()

    def _record_rejection(self, resources: tuple[EncodedResource, ...], reason: str) -> None:
        """Record rejected versions so they are not sent again; log those not yet recorded."""
        is_new = not all(self._was_rejected(resource) for resource in resources)
        rejected = {resource.name: resource.version for resource in resources}
        if is_new:
            self.callbacks.log_event(
                "proxy.response_rejected",
                proxy=self.stream.node_id,
                resources=sorted(rejected),
                why=reason,
            )
        self.rejected_versions.update(rejected)

    def _report_acknowledgements(self, now: float) -> None:
        """Report fully answered batches in the order in which they were sent."""
        while self.in_flight and not self.in_flight[0].nonces:
            completed = self.in_flight.pop(0)
            # A later acknowledgement must not cover a table that the proxy has rejected and still
            # does not hold.
            if completed.rejected or self.rejected_versions:
                continue
            for number, ordered_at in completed.ack_requests:
                self.callbacks.submit(Acknowledged(self.proxy, number, now - ordered_at))

    def end(self, status: Status, reason: str) -> None:
        """Finish the call with this status, and cancel the task that serves it."""
        self.call.finish(status, reason)
        self.call.scope.cancel()

    def forget_unused_rejections(self, used_tables: set[str]) -> None:
        """Forget rejections of tables that the proxy no longer uses."""
        remembered = {*used_tables, names.EJECTIONS_RESOURCE, names.ROUTES_RESOURCE}
        self.rejected_versions = {
            name: version for name, version in self.rejected_versions.items() if name in remembered
        }
