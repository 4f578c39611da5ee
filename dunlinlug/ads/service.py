"""The manager's gRPC service: ADS streams become sessions, load reports go to the aggregator.

Owns the proxies' numbers and whether calls are served or wait. Open sessions are in `delivery`.
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
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.state_of_the_world import StateOfTheWorldStream
from dunlinlug.xds.stream import DeltaStream, StreamProtocolError

# Nodes that a manager ever numbers: the decision module's proxy ids are below this.
MAX_PROXIES = 65535
Stream = DeltaStream | StateOfTheWorldStream


class XdsService:
    """Serves proxies' calls and numbers proxies by their node's name, for as long as it lives.

    Attributes:
        proxy_numbers: Proxy number by node name, of all nodes that ever connected.
        new_proxy_numbers: Those given since they were last replicated to followers.
        sessions: The open sessions by proxy number.
        leading: Not set while another manager leads; calls wait for it.
        term: The leader's term; 0 for a manager that elects none.
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
        self.split_streams = SplitStreams(self)
        self.leading = trio.Event()
        self.leading.set()
        self.control_plane_id = "dunlinlug"
        self.term = 0
        self._on_reports: Callable[[list[Event]], None] | None = None
        self._on_higher_term: Callable[[int], None] | None = None

    def register_report_observer(self, on_reports: Callable[[list[Event]], None]) -> None:
        """Call this with the events made of proxies' reports, before the module gets them."""
        self._on_reports = on_reports

    def register_term_observer(self, on_higher_term: Callable[[int], None]) -> None:
        """Call this with a term that a proxy knows and that is higher than ours."""
        self._on_higher_term = on_higher_term

    def close_streams(self, reason: str) -> None:
        """End every stream, and let new calls wait: another manager leads."""
        self.leading = trio.Event()
        for session in list(self.sessions.values()):
            self.close_session(session)
            session.end(Status.UNAVAILABLE, reason)

    async def handle_call(self, call: Call) -> None:
        """Serve one call to its end, by its method."""
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

    def register_node(self, stream: Stream, identity: str) -> None:
        """Check who a stream's first request says it is, and number the node.

        Raises:
            IdentityConflictError: `identity`, from its certificate, is another.
            StreamProtocolError: There is no room for another node.
        """
        require_identity(stream.node_id, identity)
        seen_term = stream.metadata.get("term", 0)
        if isinstance(seen_term, int | float) and seen_term > self.term:
            self._notify_higher_term(int(seen_term))
        self._assign_number(stream.node_id)

    def _notify_higher_term(self, term: int) -> None:
        if self._on_higher_term is not None:
            self._on_higher_term(term)

    def _assign_number(self, node_id: str) -> None:
        if node_id in self.proxy_numbers:
            return
        if len(self.proxy_numbers) >= MAX_PROXIES:
            raise StreamProtocolError("no room for more proxies")
        number = len(self.proxy_numbers)
        self.proxy_numbers[node_id] = number
        self.new_proxy_numbers[node_id] = number

    def open_delta_session(self, call: Call, stream: DeltaStream) -> DeltaSession:
        """Begin a proxy's session, in place of an earlier one of its node."""
        proxy = self.proxy_numbers[stream.node_id]
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
        """As `open_delta_session`; `calls_by_type` for a client with a stream for each type."""
        proxy = self.proxy_numbers[stream.node_id]
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
        """A new stream of the same node: the old one is dead, or about to be."""
        previous = self.sessions.get(proxy)
        if previous is not None:
            self.close_session(previous)
            previous.end(Status.CANCELLED, "another stream of this node has come")

    def _add_session(self, session: Session, supports_ejection_overlay: bool) -> None:
        """Make a session its proxy's, and notify the decision module of the proxy."""
        stream = session.stream
        held_tables = stream.acked_versions[names.ENDPOINTS_TYPE]
        self.sessions[session.proxy] = session
        self.installer.add_proxy(
            session.proxy,
            supports_ejection_overlay,
            held_tables,
            stream.is_state_of_the_world,
        )
        request_rate = stream.metadata.get("txns_per_s", 0.0)
        if not isinstance(request_rate, int | float):
            request_rate = 0.0
        self.loop.submit(
            ProxyConnected(
                session.proxy,
                stream.zone,
                float(request_rate),
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
        """End a session, if it is still its proxy's, and notify the decision module."""
        if self.sessions.get(session.proxy) is not session:
            return
        del self.sessions[session.proxy]
        self.installer.remove_proxy(session.proxy)
        self.loop.channel.remove_proxy(session.proxy)
        self.report_aggregator.remove_proxy(session.proxy)
        self.loop.submit(ProxyDisconnected(session.proxy))
        self.log_event("proxy.disconnected", proxy=session.stream.node_id, number=session.proxy)

    async def _serve_load_reports(self, call: Call) -> None:
        """Serve one LRS stream: its first report is answered with the reporting interval."""
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
            self._add_report(node_id, report)

    def _add_report(self, node_id: str, report: load_reports.LoadReport) -> None:
        """Aggregate a report of a connected proxy, as far as it is about listed workers."""
        # Without this, a peer could make up workers, and fill with them the aggregator and the
        # rate at which the module takes reports.
        report.workers = {
            worker: statistics
            for worker, statistics in report.workers.items()
            if worker in self.installer.zones
        }
        proxy = self.proxy_numbers.get(node_id)
        if proxy is None or proxy not in self.sessions:
            return
        zone = self.sessions[proxy].stream.zone
        self.report_aggregator.add_report(trio.current_time(), proxy, zone, report)

    async def submit_reports(self) -> None:
        """Every reporting interval, submit what the aggregator lets through, until cancelled."""
        while True:
            await trio.sleep(self.report_interval)
            events = self.report_aggregator.take_events(trio.current_time())
            if self._on_reports is not None:
                self._on_reports(events)
            for event in events:
                self.loop.submit(event)
