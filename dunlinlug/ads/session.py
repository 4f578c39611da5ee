"""One proxy's ADS stream at the manager: what is owed to it, what is in flight, what it refused."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.decision.events import Acknowledged, Event
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fencing_term, names
from dunlinlug.xds.encoding import EncodedResource
from dunlinlug.xds.stream import DeltaStream, ResponseAcknowledged, ResponseRejected

# sets sent and not yet answered; what comes after is merged, so that a mute proxy piles nothing up
MAX_IN_FLIGHT = 8


@dataclass
class InFlightResponses:
    """A set on its way: its nonces not yet answered, and whether one was refused."""

    nonces: set[str]
    ack_requests: list[tuple[int, float]]
    rejected: bool = False


class DeltaSession:
    """Feed `owe` and `said`; run `send`. Events for the module go to `tell`, log lines to `note`."""

    def __init__(
        self,
        proxy: int,
        call: Call,
        stream: DeltaStream,
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
        self.pending_batch: ResponseBatch | None = None
        self.in_flight: list[InFlightResponses] = []
        self.by_nonce: dict[str, tuple[InFlightResponses, tuple[EncodedResource, ...]]] = {}
        self.rejected_versions: dict[
            str, str
        ] = {}  # resource to the version that the proxy would not take
        self.send_blocked = trio.Event()
        self.on_higher_term: Callable[[int], None] = lambda term: None

    def enqueue(self, batch: ResponseBatch) -> None:
        """Add a parcel; with one still unsent the two become one."""
        if self.pending_batch is None:
            self.pending_batch = batch
        else:
            self.pending_batch.merge(batch)
        self._send_pending()

    def _send_pending(self) -> None:
        """Send what is owed if the peer has taken what went before; else it waits, and what comes
        is merged.
        """
        if self.pending_batch is None or len(self.in_flight) >= MAX_IN_FLIGHT:
            return
        if self.call.unsent_bytes:
            self.send_blocked.set()
            return
        batch = self.pending_batch
        self.pending_batch = None
        self._send_batch(batch)

    async def run_sender(self) -> None:
        """Push again whenever the peer has taken what was held back, for as long as the stream
        stands.
        """
        while True:
            await self.send_blocked.wait()
            self.send_blocked = trio.Event()
            await self.call.wait_sent()
            self._send_pending()

    def _send_batch(self, batch: ResponseBatch) -> None:
        tables = tuple(
            resource
            for resource in batch.tables.values()
            if self.rejected_versions.get(resource.name) != resource.version
        )
        routes = (
            (batch.routes,)
            if batch.routes
            and self.rejected_versions.get(names.ROUTES_RESOURCE) != batch.routes.version
            else ()
        )
        removed_tables = tuple(sorted(batch.removed_tables))
        responses: list[tuple[str, tuple[EncodedResource, ...], tuple[str, ...]]]
        # Danger: a response is refused whole; who is withdrawn travels apart from tables that may
        # be refused.
        resource_groups = [
            tuple(resource for resource in tables if resource.name == names.EJECTIONS_RESOURCE),
            tuple(resource for resource in tables if resource.name != names.EJECTIONS_RESOURCE),
        ]
        responses = [(names.ENDPOINTS_TYPE, group, ()) for group in resource_groups if group]
        responses += [(names.ROUTES_TYPE, routes, ())] if routes else []
        responses += [(names.ENDPOINTS_TYPE, (), removed_tables)] if removed_tables else []
        responses_in_flight = InFlightResponses(set(), batch.ack_requests)
        ordered_at = (
            batch.ordered_at - trio.current_time() + time.monotonic()
        )  # a clock that records share
        responses = responses or [(names.ENDPOINTS_TYPE, (), ())]
        for position, (type_url, resources, removed) in enumerate(responses, 1):
            # The tag lets a proxy's record show when the first of it was ordered, and how many
            # lines it is.
            tag = (
                f"{ordered_at:.6f} {batch.entry_count:g} {batch.reply_count}"
                if not responses_in_flight.nonces
                else ""
            )
            nonce, data = self.stream.respond(type_url, resources, removed, tag)
            responses_in_flight.nonces.add(nonce)
            self.by_nonce[nonce] = (responses_in_flight, resources)
            self.call.send(data, buffered=position < len(responses))
        self.in_flight.append(responses_in_flight)

    def handle_answer(self, answer: ResponseAcknowledged | ResponseRejected, now: float) -> None:
        """Take an answer. Danger: a later mark would settle a refused one, so none is told while
        one stands.
        """
        answered, resources = self.by_nonce.pop(answer.nonce)
        answered.nonces.discard(answer.nonce)
        if isinstance(answer, ResponseRejected):
            answered.rejected = True
            if term := fencing_term.superseding_term(answer.reason):
                self.on_higher_term(term)
                return
            rejected = {resource.name: resource.version for resource in resources}
            if any(
                self.rejected_versions.get(name) != version for name, version in rejected.items()
            ):
                self.log_event(
                    "proxy.response_rejected",
                    proxy=self.stream.node_id,
                    resources=sorted(rejected),
                    why=answer.reason,
                )
            self.rejected_versions.update(rejected)
        else:
            for resource in resources:
                self.rejected_versions.pop(resource.name, None)
        while self.in_flight and not self.in_flight[0].nonces:
            completed = self.in_flight.pop(0)
            if not completed.rejected and not self.rejected_versions:
                for number, ordered_at in completed.ack_requests:
                    self.submit(Acknowledged(self.proxy, number, now - ordered_at))
        self._send_pending()

    def end(self, status: Status, reason: str) -> None:
        self.call.finish(status, reason)
        self.call.scope.cancel()

    def forget_unused_rejections(self, used_tables: set[str]) -> None:
        """Forget refusals of tables that the proxy is no longer to go by."""
        self.rejected_versions = {
            name: version
            for name, version in self.rejected_versions.items()
            if name in used_tables or name in (names.EJECTIONS_RESOURCE, names.ROUTES_RESOURCE)
        }
