"""Follows whichever manager leads: a call open at each, the master's is answered; applies, answers,
reports.
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
    """`joined` and `left` are called as streams to a master come and go, `applied` for each
    response. `reaches` says whether managers are in reach at all (a test may cut them off).
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        managers: Sequence[Address],
        proxy_state: ProxyState,
        accumulator: ReportAccumulator,
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
        self.current_manager: Address | None = None  # the manager that answers us
        self.last_received_at: float | None = None
        self.resume_reading: trio.Event | None = None  # set to stop reading until the event is set
        self.on_connected: Callable[[], None] = _do_nothing
        self.on_disconnected: Callable[[], None] = _do_nothing
        self.on_applied: Callable[[AppliedResponse], None] = _do_nothing
        self.is_reachable: Callable[[], bool] = lambda: True

    def silence_duration(self) -> float | None:
        """Seconds since the last word of a manager; None if there was none yet."""
        return (
            None if self.last_received_at is None else trio.current_time() - self.last_received_at
        )

    async def run(self) -> None:
        """Until cancelled; without a manager, all goes on by what is held."""
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
        """One call after another on a link that stands: a manager that leads no more ends the call,
        not the link.
        """
        while not connection.protocol.closed:
            try:
                await self._run_stream(connection, address)
            except* grpc.CallEndedError as group:
                if any(
                    isinstance(call_ended, grpc.CallEndedError) and call_ended.status is None
                    for call_ended in group.exceptions
                ):
                    raise
            finally:
                if self.current_manager == address:
                    self.current_manager = None
                    self.on_disconnected()
            await trio.sleep(0)

    async def _run_stream(self, connection: grpc.GrpcConnection, address: Address) -> None:
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
        """This manager leads now: what stood to another is over."""
        if self.current_manager is not None:
            self.on_disconnected()
            self.disconnect(self.current_manager)
        self.current_manager = address
        self.on_connected()

    async def _send_reports(self, call: grpc.Call) -> None:
        call.send(
            load_reports.encode_report(
                load_reports.LoadReport(self.node_id, self.zone, 0.0), is_first=True
            )
        )
        interval = load_reports.decode_response(await call.receive())
        while True:
            await trio.sleep(interval * self.random_uniform(0.9, 1.1))
            call.send(
                load_reports.encode_report(
                    self.accumulator.take_report(trio.current_time()), is_first=False
                )
            )

    def disconnect(self, address: Address | None) -> None:
        """End the calls on a link, as if the network had."""
        if address in self.connections:
            for call in list(self.connections[address].calls.values()):
                call.end(None, "broken")

    def pause_reading(self, resume_reading: trio.Event | None) -> None:
        """Read nothing more until the gate is set; None: read on."""
        self.resume_reading = resume_reading
        for connection in self.connections.values():
            connection.resume_reading = resume_reading
