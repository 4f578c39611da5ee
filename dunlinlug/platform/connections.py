"""Protocol state of the manager's connections: collectors, proxies, and peers not yet joined.

Turns received bytes into events for the decision module, replies to the peer, and decisions to
close connections. Does no I/O; times are seconds on the caller's clock.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.errors import DunlinlugError
from dunlinlug.net.peer_limits import ByteBudget
from dunlinlug.platform import messages
from dunlinlug.platform.load_metrics import convert_metrics
from dunlinlug.platform.messages import (
    Acknowledgement,
    CollectorHello,
    DemandReport,
    EndpointReport,
    InvalidMessageError,
    MalformedMessageError,
    ProxyHello,
)

# Kinds of error sampled for one summary, so that many different errors fill neither log nor memory.
MAX_SAMPLES = 8
# Collector connections kept for each zone: the current one, its successor, and one that only claims
# to be a collector.
MAX_COLLECTORS_PER_ZONE = 3
# Seconds by which the response time that a proxy measured may exceed the time since the request was
# sent, as the machines' clocks differ.
MAX_CLOCK_DIFFERENCE_S = 0.25
# Bytes of incomplete messages kept for all peers together.
MAX_PARTIAL_BYTES = 2**23


@dataclass(eq=False)
class Peer:
    """Protocol state of one connection.

    `end` closes the connection; it is called with the reason when another peer replaces this one.
    Once `ended` is set, data received from the peer is ignored.
    """

    end: Callable[[str], None]
    ended: bool = False
    line_splitter: messages.LineSplitter = field(default_factory=messages.LineSplitter)
    zone: str = ""  # zone of the collector or proxy; empty until it has joined
    proxy: int | None = None
    # time of each acknowledgement request by acknowledgement number, oldest first
    pending_acks: dict[int, float] = field(default_factory=dict)
    reported_at: float = -1.0  # time of a collector's last report; -1 if none

    @property
    def joined(self) -> bool:
        """Whether the peer has sent a valid hello."""
        return bool(self.zone)


class ConnectionRejectedError(DunlinlugError):
    """The connection must be closed; a peer that has not joined is first sent an `error` message.

    This exception's text is the reason given in that message.
    """


class PeerRegistry:
    """All joined peers, by proxy and by collector zone.

    `submit` receives the events made from messages; `is_known_worker` returns whether a worker is
    listed or was listed recently.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        proxy_count: int,
        traffic_classes: tuple[str, ...],
        is_known_worker: Callable[[str], bool],
        submit: Callable[[Event], None],
    ) -> None:
        self.zones = frozenset(zones)
        self.proxy_count = proxy_count
        self.traffic_classes = frozenset(traffic_classes)
        self.is_known_worker = is_known_worker
        self.submit = submit
        self.peer_by_proxy: dict[int, Peer] = {}
        self.collectors: dict[str, list[Peer]] = {zone: [] for zone in zones}
        self.partial_messages = ByteBudget[Peer](MAX_PARTIAL_BYTES)
        self.counts: Counter[str] = Counter()
        self.error_samples: dict[str, str] = {}  # one for each kind since the last summary

    def receive(self, peer: Peer, data: bytes, now: float) -> bytes:
        """Handle bytes received from a peer and return the reply to write.

        Raises ConnectionRejectedError if the connection must be closed.
        """
        # An ended connection may become readable in the same iteration of the event loop. If its
        # data were handled, messages on a proxy's replaced connection would be attributed to the
        # new one, and a rejected peer could join.
        if peer.ended:
            return b""
        answer = b""
        try:
            for line in peer.line_splitter.feed(data):
                answer += self._handle_line(peer, line, now)
            peer.line_splitter.check_partial_line()
        except MalformedMessageError as error:
            peer.ended = True
            raise ConnectionRejectedError(str(error)) from None
        finally:
            if peer.ended:
                peer.line_splitter.clear()
        self._limit_partial_bytes(peer)
        return answer

    def _limit_partial_bytes(self, peer: Peer) -> None:
        """End peers while the incomplete messages of all are too large, the largest one first.

        A peer that sends messages as they should be has a few hundred bytes of one at most.
        Raises ConnectionRejectedError if this peer is ended.
        """
        self.partial_messages.set_bytes(peer, len(peer.line_splitter.buffer))
        while (largest := self.partial_messages.take_largest()) is not None:
            largest.line_splitter.clear()
            reason = "incomplete messages are too large in sum"
            if largest is peer:
                peer.ended = True
                raise ConnectionRejectedError(reason)
            self._end_replaced(largest, reason)

    def remove_peer(self, peer: Peer) -> None:
        """Remove a peer whose connection has ended."""
        self.partial_messages.set_bytes(peer, 0)
        if peer.proxy is not None:
            if self.peer_by_proxy.get(peer.proxy) is peer:
                del self.peer_by_proxy[peer.proxy]
                self.submit(ProxyDisconnected(peer.proxy))
        elif peer.joined and peer in self.collectors[peer.zone]:
            self.collectors[peer.zone].remove(peer)

    def add_sample(self, reason: str, data: bytes) -> None:
        """Keep the first sample of each kind of error for the next summary."""
        if len(self.error_samples) < MAX_SAMPLES:
            self.error_samples.setdefault(reason[:60], data[:200].decode("utf-8", "replace"))

    def clear_statistics(self) -> None:
        """Reset counts and samples after they have been logged."""
        self.counts.clear()
        self.error_samples.clear()

    def _end_replaced(self, peer: Peer, reason: str) -> None:
        peer.ended = True
        peer.end(reason)

    def _handle_line(self, peer: Peer, line: bytes, now: float) -> bytes:
        if len(line) > peer.line_splitter.max_bytes:
            raise MalformedMessageError(
                f"a message is longer than {peer.line_splitter.max_bytes} bytes"
            )
        try:
            message = messages.decode(line)
            if isinstance(message, messages.LivenessProbe):
                return messages.encode_alive()
            if peer.joined:
                self._handle_message(peer, message, now)
            else:
                self._handle_join(peer, message)
        except InvalidMessageError as error:
            if not peer.joined:
                peer.ended = True
                raise ConnectionRejectedError(str(error)) from None
            self.counts["spoilt"] += 1
            self.add_sample(str(error), line)
        return b""

    # Joining.

    def _handle_join(self, peer: Peer, message: messages.Message) -> None:
        if isinstance(message, ProxyHello | CollectorHello) and message.zone not in self.zones:
            raise InvalidMessageError(f"there is no site {message.zone!r}")
        if isinstance(message, CollectorHello):
            self._add_collector(peer, message.zone)
        elif isinstance(message, ProxyHello):
            self._add_proxy(peer, message)
        else:
            raise InvalidMessageError("nobody has joined on this connection")
        peer.line_splitter.max_bytes = messages.MAX_JOINED_LINE_BYTES

    def _add_proxy(self, peer: Peer, hello: ProxyHello) -> None:
        """Make the peer its proxy's connection; an earlier connection of the proxy ends."""
        if hello.proxy >= self.proxy_count:
            raise InvalidMessageError(f"there is no proxy {hello.proxy}")
        previous = self.peer_by_proxy.get(hello.proxy)
        self.peer_by_proxy[hello.proxy] = peer
        if previous is not None:
            self.submit(ProxyDisconnected(hello.proxy))
            self._end_replaced(previous, "its proxy has a new stream")
        peer.proxy = hello.proxy
        peer.zone = hello.zone
        self.submit(
            ProxyConnected(
                hello.proxy, hello.zone, hello.requests_per_second, hello.first_connection
            )
        )

    def _add_collector(self, peer: Peer, zone: str) -> None:
        """Add a collector to those of its zone; beyond the limit, the most idle one is ended.

        Several are kept because a new collector that never reports must not displace the one that
        does.
        """
        peer.zone = zone
        others = self.collectors[zone]
        if len(others) >= MAX_COLLECTORS_PER_ZONE:
            idle = min(others, key=lambda other: other.reported_at)
            others.remove(idle)
            self._end_replaced(idle, "others of its zone bring reports")
        others.append(peer)

    # Messages of joined peers.

    def _handle_message(self, peer: Peer, message: messages.Message, now: float) -> None:
        match message:
            case Acknowledgement() if peer.proxy is not None:
                self._handle_ack(peer, message, now)
            case DemandReport():
                self._handle_demand_report(peer, message)
            case EndpointReport() if peer.proxy is None:
                self._handle_endpoint_report(message)
            case _:
                raise InvalidMessageError(
                    f"a {type(message).__struct_config__.tag} does not belong on this connection"
                )
        if peer.proxy is None:
            peer.reported_at = now

    def _handle_ack(self, peer: Peer, ack: Acknowledgement, now: float) -> None:
        if ack.proxy != peer.proxy:
            raise InvalidMessageError("an answer of another proxy")
        requested_at = peer.pending_acks.get(ack.ack_number)
        if requested_at is None:
            # Acknowledgements that were never requested, and duplicates, are ignored.
            self.counts["unasked"] += 1
            return
        response_time = ack.response_time_ms / 1000.0
        # A single wrong response time would make the channel look slow for a long time.
        if response_time > now - requested_at + MAX_CLOCK_DIFFERENCE_S:
            raise InvalidMessageError("the response time exceeds the time since the request")
        for ack_number in list(peer.pending_acks):
            del peer.pending_acks[ack_number]
            if ack_number == ack.ack_number:
                break
        self.submit(Acknowledged(ack.proxy, ack.ack_number, response_time))

    def _handle_demand_report(self, peer: Peer, report: DemandReport) -> None:
        if report.traffic_class not in self.traffic_classes:
            raise InvalidMessageError("there is no such lane")
        if report.proxy >= self.proxy_count or peer.proxy not in (None, report.proxy):
            raise InvalidMessageError("usage of another proxy")
        # Failures may outnumber requests, as a request may have arrived in the previous window.
        self.submit(
            DemandReported(
                report.proxy,
                report.traffic_class,
                report.requests,
                report.failed,
                report.window_ms / 1000.0,
            )
        )

    def _handle_endpoint_report(self, report: EndpointReport) -> None:
        if report.zone not in self.zones:
            raise InvalidMessageError("there is no such site")
        if not self.is_known_worker(report.worker):
            raise InvalidMessageError("there is no such target")
        if report.failed > report.attempts:
            raise InvalidMessageError("more failed than were tried")
        self.submit(
            EndpointReported(
                report.zone,
                report.worker,
                report.attempts,
                report.failed,
                report.mean_latency_ms / 1000.0,
                report.window_ms / 1000.0,
                convert_metrics(report.load_metrics or {}),
            )
        )
