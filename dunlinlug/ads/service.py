"""The manager's gRPC service: opens sessions for ADS streams and aggregates load reports.

Owns the proxy numbers and the event that holds calls back until this manager leads. The open
sessions belong to `delivery`.
"""

from collections.abc import Callable

import trio

from dunlinlug.ads.aggregated_stream import AggregatedStream
from dunlinlug.ads.delivery import ResponseDelivery, Session
from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.session_callbacks import SessionCallbacks
from dunlinlug.ads.split_streams import SplitStreams
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.ads.stream_host import require_identity
from dunlinlug.decision.events import Event, ProxyConnected, ProxyDisconnected
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.proxy_numbers import NoProxyNumberError, merge_numbers, number_of
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.net.grpc import Call
from dunlinlug.net.peer_limits import TokenBucket
from dunlinlug.rpc import Status
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import DeltaStream, StreamProtocolError

# Nodes that are not known may join in such a burst, which is a fleet that starts, and then at this
# rate. A join costs some milliseconds, and drains must not wait for those of ever new names.
MAX_NEW_NODES_AT_ONCE = 512
NEW_NODES_PER_SECOND = 25.0
Stream = DeltaStream | StateOfTheWorldStream


class XdsService:
    """Serves proxies' calls; a node name keeps its proxy number while it is among the last ones.

    Attributes:
        proxy_numbers: Proxy number by node name, of the nodes that connected last; see
            `manager/proxy_numbers.py`.
        new_proxy_numbers: Numbers assigned since the last replication to followers.
        sessions: The open sessions by proxy number.
        leading: Not set while another manager leads; calls wait for it.
        term: The leader's term; 0 without leader election.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        delivery: ResponseDelivery,
        report_aggregator: ReportAggregator,
        report_interval: float,
        log_event: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.installer = delivery.installer
        self.sessions = delivery.sessions
        self.report_aggregator = report_aggregator
        self.report_interval = report_interval
        self.log_event = log_event
        self.proxy_numbers: dict[str, int] = {}
        self.new_proxy_numbers: dict[str, int] = {}
        self.new_nodes = TokenBucket(MAX_NEW_NODES_AT_ONCE, NEW_NODES_PER_SECOND)
        self.new_node_turn = trio.Lock()
        self.split_streams = SplitStreams(self)
        self.leading = trio.Event()
        self.leading.set()
        self.control_plane_id = "dunlinlug"
        self.term = 0
        self._on_reports: Callable[[list[Event]], None] | None = None
        self._on_higher_term: Callable[[int], None] | None = None

    def register_report_observer(self, on_reports: Callable[[list[Event]], None]) -> None:
        """Call this with the events made from load reports, before they are submitted."""
        self._on_reports = on_reports

    def register_term_observer(self, on_higher_term: Callable[[int], None]) -> None:
        """Call this with a term seen by a proxy that is higher than this manager's."""
        self._on_higher_term = on_higher_term

    def close_streams(self, reason: str) -> None:
        """End every stream and keep new calls waiting, as another manager leads."""
        self.leading = trio.Event()
        for session in list(self.sessions.values()):
            self.close_session(session)
            session.end(Status.UNAVAILABLE, reason)

    async def handle_call(self, call: Call) -> None:
        """Serve one call until it ends, according to its method."""
        if call.path == names.STATE_OF_THE_WORLD_ADS_METHOD:
            await AggregatedStream(self, call, StateOfTheWorldStream()).serve()
        elif call.path == names.DELTA_ADS_METHOD:
            await AggregatedStream(self, call, DeltaStream()).serve()
        elif call.path in names.SINGLE_TYPE_METHODS:
            await self.split_streams.serve(call, names.SINGLE_TYPE_METHODS[call.path])
        elif call.path == names.LRS_METHOD:
            await self._serve_load_reports(call)
        else:
            served = ", ".join(
                (
                    names.DELTA_ADS_METHOD,
                    names.STATE_OF_THE_WORLD_ADS_METHOD,
                    *names.SINGLE_TYPE_METHODS,
                    names.LRS_METHOD,
                )
            )
            call.finish(Status.UNIMPLEMENTED, f"{call.path} is not served; served are {served}")

    async def register_node(self, stream: Stream, call: Call) -> None:
        """Check the node name in a stream's first request, and assign the node a number.

        Waits if very many nodes that are not known have come.

        Raises:
            IdentityConflictError: The peer has another name, as in `require_identity`.
            StreamProtocolError: All proxy numbers belong to connected nodes.
        """
        require_identity(stream.node_id, call.connection)
        if stream.node_id not in self.proxy_numbers:
            # A call that ends while it waits takes no place.
            async with self.new_node_turn:
                await trio.sleep(self.new_nodes.seconds_until_free(trio.current_time()))
                self.new_nodes.take(trio.current_time())
        if stream.reported_term > self.term:
            self._notify_higher_term(stream.reported_term)
        self._assign_number(stream.node_id)

    def _notify_higher_term(self, term: int) -> None:
        if self._on_higher_term is not None:
            self._on_higher_term(term)

    def _assign_number(self, node_id: str) -> int:
        """Return a node's proxy number; raises StreamProtocolError if there is none left."""
        is_known = node_id in self.proxy_numbers
        try:
            number = number_of(self.proxy_numbers, node_id, self.sessions)
        except NoProxyNumberError:
            raise StreamProtocolError("no room for more proxies") from None
        if not is_known:
            merge_numbers(self.new_proxy_numbers, {node_id: number})
        return number

    def open_delta_session(self, call: Call, stream: DeltaStream) -> DeltaSession:
        """Open a proxy's session, replacing an earlier session of the same node."""
        proxy = self._assign_number(stream.node_id)
        now = trio.current_time()
        self._end_previous_session(proxy)
        session = DeltaSession(proxy, call, stream, now, self._session_callbacks())
        self._add_session(session, names.EJECTION_OVERLAY_FEATURE in stream.features)
        return session

    def open_state_of_the_world_session(
        self,
        call: Call,
        stream: StateOfTheWorldStream,
        calls_by_type: dict[str, Call] | None = None,
    ) -> StateOfTheWorldSession:
        """As `open_delta_session`; `calls_by_type` is for clients with a stream for each type."""
        proxy = self._assign_number(stream.node_id)
        now = trio.current_time()
        self._end_previous_session(proxy)
        session = StateOfTheWorldSession(
            proxy, call, stream, now, self._session_callbacks(), calls_by_type=calls_by_type
        )
        self._add_session(session, names.EJECTION_OVERLAY_FEATURE in stream.features)
        return session

    def _session_callbacks(self) -> SessionCallbacks:
        return SessionCallbacks(self.loop.submit, self.log_event, self._notify_higher_term)

    def _end_previous_session(self, proxy: int) -> None:
        """End the session of the node's earlier stream, if it is still open.

        A node has one session at a time: if it opens another, the stream of the earlier one is
        broken or about to end.
        """
        previous = self.sessions.get(proxy)
        if previous is not None:
            self.close_session(previous)
            previous.end(Status.CANCELLED, "another stream of this node has come")

    def _add_session(self, session: Session, supports_ejection_overlay: bool) -> None:
        """Register a proxy's session, and notify the decision module of the proxy."""
        stream = session.stream
        held_tables = stream.acked_versions[names.ENDPOINTS_TYPE]
        self.sessions[session.proxy] = session
        session.call.connection.establish()
        self.installer.add_proxy(
            session.proxy,
            supports_ejection_overlay,
            held_tables,
            stream.is_state_of_the_world,
        )
        self.loop.submit(
            ProxyConnected(
                session.proxy,
                stream.zone,
                stream.request_rate,
                not held_tables,
            )
        )
        self.log_event(
            "proxy.connected",
            proxy=stream.node_id,
            number=session.proxy,
            zone=stream.zone,
            tables_held=len(held_tables),
        )

    def close_session(self, session: Session) -> None:
        """Remove a session if it is its proxy's current one, and notify the decision module."""
        if self.sessions.get(session.proxy) is not session:
            return
        del self.sessions[session.proxy]
        self.installer.remove_proxy(session.proxy)
        self.loop.channel.remove_proxy(session.proxy)
        self.report_aggregator.remove_proxy(session.proxy)
        self.loop.submit(ProxyDisconnected(session.proxy))
        self.log_event("proxy.disconnected", proxy=session.stream.node_id, number=session.proxy)

    async def _serve_load_reports(self, call: Call) -> None:
        """Serve one LRS stream; the response to its first report has the reporting interval."""
        await self.leading.wait()
        call.accept()
        node_id = ""
        while True:
            try:
                report = load_reports.decode_report(await call.receive())
            except load_reports.LoadReportError as error:
                self.log_event("report.invalid", proxy=node_id, why=str(error))
                call.finish(Status.INVALID_ARGUMENT, str(error))
                return
            if not node_id:
                node_id = report.node_id
                identity = call.connection.identity
                if identity not in ("", node_id):
                    call.finish(Status.PERMISSION_DENIED, f"{node_id} is not {identity}")
                    return
                call.send(load_reports.encode_response(self.report_interval))
            self._add_report(call, node_id, report)

    def _add_report(self, call: Call, node_id: str, report: load_reports.LoadReport) -> None:
        """Aggregate a connected proxy's report, without workers that were never listed."""
        # A peer could otherwise report invented workers, filling the aggregator and using up the
        # rate at which the decision module receives reports.
        report.workers = {
            worker: statistics
            for worker, statistics in report.workers.items()
            if worker in self.installer.zones
        }
        proxy = self.proxy_numbers.get(node_id)
        if proxy is None or proxy not in self.sessions:
            return
        call.connection.establish()
        zone = self.sessions[proxy].stream.zone
        self.report_aggregator.add_report(trio.current_time(), proxy, zone, report)

    async def submit_reports(self) -> None:
        """Submit the aggregator's events once per reporting interval, until cancelled."""
        while True:
            await trio.sleep(self.report_interval)
            events = self.report_aggregator.take_events(trio.current_time())
            if self._on_reports is not None:
                self._on_reports(events)
            for event in events:
                self.loop.submit(event)
