"""Follows whichever manager leads: applies its tables, acknowledges them, sends it load reports.

A connection and a call stand open at each manager; only the leader answers its call.
"""

import ssl
from collections.abc import Callable, Sequence
from random import Random

import trio

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.net import grpc
from dunlinlug.xds import load_reports, names
from dunlinlug.xds.subscriber import AppliedResponse, DeltaSubscriber, ProxyState

Address = tuple[str, int]


def _do_nothing(*_: object) -> None:
    return None


class TableSubscriber:
    """One proxy's subscription to its managers; `run` starts it.

    Attributes:
        node_id: The proxy's name, `zone` its zone.
        managers: Addresses of all managers, of which one leads.
        proxy_state: What responses are applied to; it may outlive subscriptions.
        accumulator: Where load reports are taken from.
        request_rate: Requests a second that the proxy expects to get.
        reconnect_interval: Mean seconds between connections to one manager; `connect_timeout`
            seconds for one.
        random_uniform: Draws by `rng`, by default one seeded with the node's name.
        tls_context: None for plain text.
        current_manager: The manager that answers, or None.
        last_received_at: When a manager last sent anything (trio's clock), or None.
        on_connected: Called when a manager begins to answer.
        on_disconnected: Called when it no longer does.
        on_applied: Called with what became of each response.
        is_reachable: Whether managers can be reached; a test may cut them off.
    """

    def __init__(  # noqa: PLR0913 - who the proxy is, what it fills, and how it connects
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
        self.resume_reading: trio.Event | None = None  # nothing is read until it is set
        self.on_connected: Callable[[], None] = _do_nothing
        self.on_disconnected: Callable[[], None] = _do_nothing
        self.on_applied: Callable[[AppliedResponse], None] = _do_nothing
        self.is_reachable: Callable[[], bool] = lambda: True

    def silence_duration(self) -> float | None:
        """Seconds since a manager last sent anything; None if none has yet."""
        if self.last_received_at is None:
            return None
        return trio.current_time() - self.last_received_at

    async def run(self) -> None:
        """Follow the managers until cancelled; without one the proxy keeps what it has."""
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
            except* (OSError, grpc.CallEndedError, trio.TooSlowError):
                pass
            self.connections.pop(address, None)
            await trio.sleep(self.reconnect_interval * self.random_uniform(0.5, 1.5))

    async def _run_calls(self, connection: grpc.GrpcConnection, address: Address) -> None:
        """One call after another while the connection lasts.

        A manager that no longer leads ends the call with a status, not the connection.
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
        """Subscribe at one manager; its response headers tell that it leads."""
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
        """This manager leads now; end the calls at the one before."""
        if self.current_manager is not None:
            self.on_disconnected()
            self.disconnect(self.current_manager)
        self.current_manager = address
        self.on_connected()

    async def _send_reports(self, call: grpc.Call) -> None:
        """Send load reports at about the interval that the manager answers the first one with."""
        first_report = load_reports.LoadReport(self.node_id, self.zone, 0.0)
        call.send(load_reports.encode_report(first_report, is_first=True))
        interval = load_reports.decode_response(await call.receive())
        while True:
            await trio.sleep(interval * self.random_uniform(0.9, 1.1))
            report = self.accumulator.take_report(trio.current_time())
            call.send(load_reports.encode_report(report, is_first=False))

    def disconnect(self, address: Address | None) -> None:
        """End the calls of a manager's connection, as if the network had."""
        if address in self.connections:
            for call in list(self.connections[address].calls.values()):
                call.end(None, "broken")

    def pause_reading(self, resume_reading: trio.Event | None) -> None:
        """Read nothing more until this event is set; None to read on."""
        self.resume_reading = resume_reading
        for connection in self.connections.values():
            connection.resume_reading = resume_reading


def _ended_without_status(error: BaseException) -> bool:
    """Whether a call ended because its connection broke, not by the manager's word."""
    return isinstance(error, grpc.CallEndedError) and error.status is None
