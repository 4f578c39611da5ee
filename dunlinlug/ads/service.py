"""The manager's gRPC port: ADS streams to sessions, LRS streams to the ledger."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.decision.events import Event, ProxyConnected, ProxyDisconnected
from dunlinlug.errors import DunlinlugError
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.net.grpc import Call, CallEndedError
from dunlinlug.rpc import Status
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import (
    DeltaStream,
    NodeIdentified,
    ResponseAcknowledged,
    ResponseRejected,
    StreamProtocolError,
)

MAX_PROXIES = 65535  # proxies that this manager ever numbers: the module's ids are below it


class IdentityConflictError(DunlinlugError):
    """A peer that claims another's identity."""


@dataclass
class SplitStreamClient:
    """A client with a stream for each type."""

    stream: StateOfTheWorldStream
    session: StateOfTheWorldSession | None = None
    calls: dict[str, Call] = field(default_factory=dict)


class XdsService:
    """Numbers proxies by their node's name, for as long as the process lives."""

    def __init__(
        self,
        loop: DecisionLoop,
        installer: XdsTableInstaller,
        report_aggregator: ReportAggregator,
        report_interval: float,
        log_event: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.installer = installer
        self.report_aggregator = report_aggregator
        self.report_interval = report_interval
        self.log_event = log_event
        self.proxy_numbers: dict[str, int] = {}
        self.new_proxy_numbers: dict[str, int] = {}  # numbers given since they were last taken
        self.sessions: dict[int, DeltaSession | StateOfTheWorldSession] = {}
        self.split_stream_clients: dict[
            str, SplitStreamClient
        ] = {}  # by node, of clients with a stream for each type
        self.leading = trio.Event()  # while not set, calls wait: another manager is master
        self.leading.set()
        self.control_plane_id = "dunlinlug"
        self.term = 0
        self.on_reports: Callable[[list[Event]], None] = lambda events: (
            None
        )  # of reports that the module hears
        self.on_higher_term: Callable[[int], None] = lambda term: (
            None
        )  # told of a higher term than ours

    def close_streams(self, reason: str) -> None:
        """Another is master: every stream ends, and new ones wait."""
        self.leading = trio.Event()
        for session in list(self.sessions.values()):
            self._close_session(session)
            session.end(Status.UNAVAILABLE, reason)

    async def handle_call(self, call: Call) -> None:
        """One call, to its end."""
        if call.path in (names.DELTA_ADS_METHOD, names.STATE_OF_THE_WORLD_ADS_METHOD):
            await self._serve_aggregated(
                call,
                StateOfTheWorldStream()
                if call.path == names.STATE_OF_THE_WORLD_ADS_METHOD
                else DeltaStream(),
            )
        elif call.path in names.SINGLE_TYPE_METHODS:
            await self._serve_split(call, names.SINGLE_TYPE_METHODS[call.path])
        elif call.path == names.LRS_METHOD:
            await self._serve_load_reports(call)
        else:
            call.finish(
                Status.UNIMPLEMENTED,
                f"{call.path} is not served; served are {names.DELTA_ADS_METHOD}, "
                f"{names.STATE_OF_THE_WORLD_ADS_METHOD}, {', '.join(names.SINGLE_TYPE_METHODS)}, {names.LRS_METHOD}",
            )

    def deliver(self, proxy: int, batch: ResponseBatch) -> None:
        """Hand a parcel that has left the channel to its stream; one for an earlier stream is lost."""
        session = self.sessions.get(proxy)
        if session is not None and batch.ordered_at >= session.joined_at:
            if batch.routes is not None and proxy in self.installer.proxies:
                proxy_state = self.installer.proxies[proxy]
                session.forget_unused_rejections(
                    {
                        names.table_name(self.installer.epoch, table_id)
                        for table_id in proxy_state.table_by_class.values()
                    }
                )
            session.enqueue(batch)

    async def _serve_aggregated(
        self, call: Call, stream: DeltaStream | StateOfTheWorldStream
    ) -> None:
        await self.leading.wait()  # the first headers tell a proxy that this manager leads
        session = None
        stream.control_plane_id = self.control_plane_id
        call.accept()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await call.receive()
                    for message in stream.receive(data):
                        if isinstance(message, NodeIdentified):
                            self._check_identity_and_term(
                                message.node_id, stream, call.connection.identity
                            )
                        elif session is not None:
                            session.handle_answer(message, trio.current_time())
                    if session is None and stream.is_ready():
                        session = self._open_session(call, stream)
                        nursery.start_soon(session.run_sender)
                    elif isinstance(session, StateOfTheWorldSession):
                        session.send_pending()  # what it asks for may have changed
        except* IdentityConflictError as errors:
            self.log_event(
                "proxy.protocol_error", proxy=stream.node_id, why=str(errors.exceptions[0])
            )
            call.finish(Status.PERMISSION_DENIED, str(errors.exceptions[0]))
        except* StreamProtocolError as errors:
            reason = str(errors.exceptions[0])
            self.log_event("proxy.protocol_error", proxy=stream.node_id, why=reason)
            call.finish(Status.INVALID_ARGUMENT, reason)
        except* CallEndedError as ends:
            if session is not None:
                self.log_event(
                    "proxy.stream_ended", proxy=stream.node_id, why=str(ends.exceptions[0])
                )
        finally:
            if session is not None:
                self._close_session(session)

    async def _serve_split(self, call: Call, type_url: str) -> None:
        """One type's stream of a client that has one for each: together they are one proxy."""
        await self.leading.wait()
        call.accept()
        client: SplitStreamClient | None = None
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await call.receive()
                    if client is None:
                        client = self._get_or_create_client(data, call, type_url)
                    for message in client.stream.receive(data, type_url):
                        if client.session is not None and isinstance(
                            message, ResponseAcknowledged | ResponseRejected
                        ):
                            client.session.handle_answer(message, trio.current_time())
                    if client.session is None and client.stream.is_ready():
                        session = self._open_session(call, client.stream)
                        assert isinstance(session, StateOfTheWorldSession)
                        client.session = session
                        session.calls_by_type = client.calls
                        nursery.start_soon(session.run_sender)
                    elif client.session is not None:
                        client.session.send_pending()
        except* (StreamProtocolError, IdentityConflictError) as errors:
            reason = str(errors.exceptions[0])
            self.log_event(
                "proxy.protocol_error", proxy=client.stream.node_id if client else "", why=reason
            )
            call.finish(Status.INVALID_ARGUMENT, reason)
        except* CallEndedError:
            pass
        finally:
            if client is not None and client.calls.get(type_url) is call:
                self._remove_split_stream(client, type_url)

    def _get_or_create_client(self, data: bytes, call: Call, type_url: str) -> "SplitStreamClient":
        """The group of the node that this first request names."""
        first_stream = StateOfTheWorldStream()
        first_stream.receive(data, type_url)
        first_stream.control_plane_id = self.control_plane_id
        client = self.split_stream_clients.get(first_stream.node_id)
        if client is None:
            self._check_identity_and_term(
                first_stream.node_id, first_stream, call.connection.identity
            )
            shared_stream = StateOfTheWorldStream()
            shared_stream.node_id = first_stream.node_id
            shared_stream.zone = first_stream.zone
            shared_stream.metadata = first_stream.metadata
            shared_stream.control_plane_id = self.control_plane_id
            client = self.split_stream_clients[first_stream.node_id] = SplitStreamClient(
                shared_stream
            )
        elif call.connection.identity not in ("", first_stream.node_id):
            raise IdentityConflictError(
                f"{first_stream.node_id} is not who its certificate names: {call.connection.identity}"
            )
        client.stream.close_type(type_url)
        client.calls[type_url] = call
        return client

    def _remove_split_stream(self, client: "SplitStreamClient", type_url: str) -> None:
        """A stream of the group has ended; without the listeners' it is no proxy any more."""
        del client.calls[type_url]
        client.stream.close_type(type_url)
        if client.session is not None and type_url == names.LISTENERS_TYPE:
            self._close_session(client.session)
            client.session = None
        if not client.calls and self.split_stream_clients.get(client.stream.node_id) is client:
            del self.split_stream_clients[client.stream.node_id]

    def _check_identity_and_term(
        self, node: str, stream: DeltaStream | StateOfTheWorldStream, identity: str
    ) -> None:
        if identity and identity != node:
            raise IdentityConflictError(f"{node} is not who its certificate names: {identity}")
        seen_term = stream.metadata.get("term", 0)
        if isinstance(seen_term, int | float) and seen_term > self.term:
            self.on_higher_term(int(seen_term))
        self._assign_number(node)

    def _assign_number(self, node: str) -> None:
        if node not in self.proxy_numbers:
            if len(self.proxy_numbers) >= MAX_PROXIES:
                raise StreamProtocolError("no room for more proxies")
            self.proxy_numbers[node] = self.new_proxy_numbers[node] = len(self.proxy_numbers)

    def _open_session(
        self, call: Call, stream: DeltaStream | StateOfTheWorldStream
    ) -> DeltaSession | StateOfTheWorldSession:
        proxy = self.proxy_numbers[stream.node_id]
        now = trio.current_time()
        previous = self.sessions.get(proxy)
        if (
            previous is not None
        ):  # a new stream of the same node: the old one is dead, or about to be
            self._close_session(previous)
            previous.end(Status.CANCELLED, "another stream of this node has come")
        held_tables = stream.acked_versions[names.ENDPOINTS_TYPE]
        session: DeltaSession | StateOfTheWorldSession
        if isinstance(stream, StateOfTheWorldStream):
            session = StateOfTheWorldSession(
                proxy, call, stream, now, self.loop.submit, self.log_event
            )
        else:
            session = DeltaSession(proxy, call, stream, now, self.loop.submit, self.log_event)
        self.sessions[proxy], session.on_higher_term = session, self.on_higher_term
        self.installer.add_proxy(
            proxy,
            names.EJECTION_OVERLAY_FEATURE in stream.features,
            held_tables,
            stream.is_state_of_the_world,
        )
        requests_per_s = stream.metadata.get("txns_per_s", 0.0)
        self.loop.submit(
            ProxyConnected(
                proxy,
                stream.zone,
                float(requests_per_s) if isinstance(requests_per_s, int | float) else 0.0,
                not held_tables,
            )
        )
        self.log_event(
            "proxy.connected",
            proxy=stream.node_id,
            number=proxy,
            zone=stream.zone,
            tables_held=len(held_tables),
        )
        return session

    def _close_session(self, session: DeltaSession | StateOfTheWorldSession) -> None:
        if self.sessions.get(session.proxy) is session:
            del self.sessions[session.proxy]
            self.installer.remove_proxy(session.proxy)
            self.loop.channel.remove_proxy(session.proxy)
            self.report_aggregator.remove_proxy(session.proxy)
            self.loop.submit(ProxyDisconnected(session.proxy))
            self.log_event("proxy.disconnected", proxy=session.stream.node_id, number=session.proxy)

    async def _serve_load_reports(self, call: Call) -> None:
        await self.leading.wait()
        call.accept()
        node = ""
        while True:
            try:
                report = load_reports.decode_report(await call.receive())
            except load_reports.LoadReportError as error:
                self.log_event("report.invalid", proxy=node, why=str(error))
                call.finish(Status.INVALID_ARGUMENT, str(error))
                return
            if not node:
                node = report.node_id
                if call.connection.identity not in ("", node):
                    call.finish(
                        Status.PERMISSION_DENIED, f"{node} is not {call.connection.identity}"
                    )
                    return
                call.send(load_reports.encode_response(self.report_interval))
            proxy = self.proxy_numbers.get(node)
            # Danger: a peer could make up workers and fill the ledger, and the module's share of
            # reports, with them.
            report.workers = {
                worker: endpoint_load
                for worker, endpoint_load in report.workers.items()
                if worker in self.installer.zones
            }
            if proxy in self.sessions:
                assert proxy is not None
                self.report_aggregator.add_report(
                    trio.current_time(), proxy, self.sessions[proxy].stream.zone, report
                )

    async def submit_reports(self) -> None:
        """Each cycle, what the ledger lets the module hear."""
        while True:
            await trio.sleep(self.report_interval)
            events = self.report_aggregator.take_events(trio.current_time())
            self.on_reports(events)
            for event in events:
                self.loop.submit(event)
