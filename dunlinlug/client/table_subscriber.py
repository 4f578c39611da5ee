"""Follows the leading manager: applies and acknowledges its tables, and sends it load reports.

The subscriber keeps a connection and a call open to each manager; only the leader answers its call.
"""

import ssl
from collections.abc import Callable, Sequence
from random import Random

import trio

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.net import grpc
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.decoding import DecodingError
from dunlinlug.xds.subscriber import AppliedResponse, DeltaSubscriber, ProxyState

Address = tuple[str, int]
# What ends a connection, to be opened anew: it broke, or the manager sent what is no message.
CONNECTION_ERRORS = (
    OSError,
    grpc.CallEndedError,
    trio.TooSlowError,
    DecodingError,
    load_reports.LoadReportError,
)


def _do_nothing(*_: object) -> None:
    return None


class TableSubscriber:
    """One proxy's subscription to its managers; `run` starts it.

    Attributes:
        node_id: The proxy's name.
        zone: The proxy's zone.
        managers: Addresses of all managers, one of which leads.
        proxy_state: The state that responses are applied to; it can outlive the subscription.
        accumulator: The source of load reports.
        request_rate: Requests per second that the proxy expects to receive.
        reconnect_interval: Mean seconds between attempts to connect to a manager.
        connect_timeout: Seconds allowed for an attempt to connect.
        random_uniform: The `uniform` method of `rng`, which is by default seeded with `node_id`.
        tls_context: None for plain text.
        current_manager: The manager that answers the subscription, or None.
        last_received_at: When a manager last sent anything (trio's clock), or None.
        resume_reading: While set to an event, nothing is read until that event is set.
        on_connected: Called when a manager starts to answer the subscription.
        on_disconnected: Called when that manager's subscription has ended.
        on_applied: Called with the outcome of each response.
        is_reachable: Whether managers are reachable; tests replace it to simulate a partition.
    """

    def __init__(  # noqa: PLR0913 - the proxy's identity, its state, and connection settings
        self,
        node_id: str,
        zone: str,
        managers: Sequence[Address],
        proxy_state: ProxyState,
        accumulator: ReportAccumulator,
        *,
        request_rate: float = 0.0,
        reconnect_interval: float = 0.5,
        connect_timeout: float = 1.0,
        rng: Random | None = None,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self.node_id = node_id
        self.zone = zone
        self.managers = managers
        self.request_rate = request_rate
        self.proxy_state = proxy_state
        self.accumulator = accumulator
        self.reconnect_interval = reconnect_interval
        self.connect_timeout = connect_timeout
        self.random_uniform = (rng or Random(node_id)).uniform
        self.tls_context = tls_context
        self.connections: dict[Address, grpc.GrpcConnection] = {}
        self.current_manager: Address | None = None
        self.last_received_at: float | None = None
        self.resume_reading: trio.Event | None = None
        self.on_connected: Callable[[], None] = _do_nothing
        self.on_disconnected: Callable[[], None] = _do_nothing
        self.on_applied: Callable[[AppliedResponse], None] = _do_nothing
        self.is_reachable: Callable[[], bool] = lambda: True

    def silence_duration(self) -> float | None:
        """Seconds since a manager last sent anything; None if none has sent anything yet."""
        if self.last_received_at is None:
            return None
        return trio.current_time() - self.last_received_at

    async def run(self) -> None:
        """Follow the managers until cancelled; without a leader the proxy keeps its tables."""
        async with trio.open_nursery() as nursery:
            for address in self.managers:
                nursery.start_soon(self._maintain_connection, address)

    async def _maintain_connection(self, address: Address) -> None:
        while True:
            try:
                if self.is_reachable():
                    async with grpc.connect(
                        *address, self.connect_timeout, tls_context=self.tls_context
                    ) as connection:
                        self.connections[address] = connection
                        connection.resume_reading = self.resume_reading
                        await self._run_calls(connection, address)
            except* CONNECTION_ERRORS:
                pass
            self.connections.pop(address, None)
            await trio.sleep(self.reconnect_interval * self.random_uniform(0.5, 1.5))

    async def _run_calls(self, connection: grpc.GrpcConnection, address: Address) -> None:
        """Make one call after another while the connection is open.

        A manager that loses leadership ends the call with a status and keeps the connection open.
        """
        while not connection.protocol.closed:
            try:
                await self._run_stream(connection, address)
            except* grpc.CallEndedError as group:
                if any(_ended_without_status(error) for error in group.exceptions):
                    raise
            finally:
                if self.current_manager == address:
                    self.current_manager = None
                    self.on_disconnected()
            await trio.sleep(0)

    async def _run_stream(self, connection: grpc.GrpcConnection, address: Address) -> None:
        """Subscribe to one manager; response headers without a status mean that it leads."""
        call = connection.start_call(names.DELTA_ADS_METHOD)
        await call.headers_received.wait()
        if call.ended is not None:
            raise call.ended
        subscriber = DeltaSubscriber(
            self.proxy_state, self.node_id, self.zone, {"txns_per_s": self.request_rate}
        )
        for request in subscriber.initial_requests():
            call.send(request)
        self._switch_manager(address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_reports, connection.start_call(names.LRS_METHOD))
            while True:
                acknowledgement, applied = subscriber.receive(await call.receive())
                self.last_received_at = trio.current_time()
                call.send(acknowledgement)
                self.on_applied(applied)

    def _switch_manager(self, address: Address) -> None:
        """Switch to a new leader, and end the calls to the previous one."""
        if self.current_manager is not None:
            self.on_disconnected()
            self.disconnect(self.current_manager)
        self.current_manager = address
        self.on_connected()

    async def _send_reports(self, call: grpc.Call) -> None:
        """Send load reports at about the interval that the manager sets in its first response."""
        first_report = load_reports.LoadReport(self.node_id, self.zone, 0.0)
        call.send(load_reports.encode_report(first_report, is_first=True))
        interval = load_reports.decode_response(await call.receive())
        while True:
            await trio.sleep(interval * self.random_uniform(0.9, 1.1))
            report = self.accumulator.take_report(trio.current_time())
            call.send(load_reports.encode_report(report, is_first=False))

    def disconnect(self, address: Address | None) -> None:
        """End the calls of a manager's connection as a broken network would."""
        if address in self.connections:
            for call in list(self.connections[address].calls.values()):
                call.end(None, "broken")

    def pause_reading(self, resume_reading: trio.Event | None) -> None:
        """Stop reading until this event is set; None resumes reading."""
        self.resume_reading = resume_reading
        for connection in self.connections.values():
            connection.resume_reading = resume_reading


def _ended_without_status(error: BaseException) -> bool:
    """Whether a call ended because its connection broke, not with a status of the manager."""
    return isinstance(error, grpc.CallEndedError) and error.status is None
