"""Who stands at the manager's address: collectors, proxies, and who has not joined. Bytes in;
events for the module, bytes for the peer and its end out. No socket; times are the caller's
clock in seconds.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from dunlinlug.config.settings_json import LOAD_FIELD_NAMES, MILLISECOND_FIELDS
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    Event,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.errors import DunlinlugError
from dunlinlug.platform import messages
from dunlinlug.platform.messages import (
    Acknowledgement,
    CollectorHello,
    DemandReport,
    EndpointReport,
    InvalidMessageError,
    MalformedMessageError,
    ProxyHello,
)

# kinds of fault shown in one summary: a flood of different ones must not fill log and memory
MAX_SAMPLES = 8
# streams kept for each zone: the old one, its successor and one that only says so
MAX_COLLECTORS_PER_ZONE = 3
# seconds by which an answer's own time may be longer than we saw: clocks of machines
MAX_CLOCK_DIFFERENCE_S = 0.25
METRIC_NAMES = {
    "queue": "queue",
    "latency_ms": "service_s",
    "inflight": "held",
    "util": "busy",
    "qps": "settled_per_s",
    "eps": "voided_per_s",
    **LOAD_FIELD_NAMES,
}


@dataclass(eq=False)
class Peer:
    """One connection. `end` closes it; it is called for a peer that another takes the place of.
    Once `over`, nothing that it says counts any more.
    """

    end: Callable[[str], None]
    ended: bool = False
    line_splitter: messages.LineSplitter = field(default_factory=messages.LineSplitter)
    zone: str = ""  # of a collector or a proxy
    proxy: int | None = None
    pending_acks: dict[int, float] = field(
        default_factory=dict
    )  # asked and not answered, with when
    reported_at: float = -1.0  # when a collector last brought a report

    @property
    def joined(self) -> bool:
        return bool(self.zone)


class ConnectionRejectedError(DunlinlugError):
    """The peer is to be closed; if it has not joined, it is sent the message `error` with this text
    first.
    """


class PeerRegistry:
    """`tell` hears events; `listed` says whether a worker is or was listed."""

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
        self.counts: Counter[str] = Counter()
        self.error_samples: dict[str, str] = {}  # by kind of fault, one since the last summary

    def receive(self, peer: Peer, data: bytes, now: float) -> bytes:
        """What came from a peer; gives what to answer. Raises Turned."""
        # Danger: a connection that is ended may be readable in that very turn. What the old stream
        # of a proxy says then would be believed of its new one, and who was turned away could join.
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
        return answer

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
            self._count_invalid(str(error), line)
        return b""

    def _count_invalid(self, reason: str, line: bytes) -> None:
        self.counts["spoilt"] += 1
        self.add_sample(reason, line)

    def add_sample(self, reason: str, data: bytes) -> None:
        """Keep one of each kind of fault for the next summary."""
        if len(self.error_samples) < MAX_SAMPLES:
            self.error_samples.setdefault(reason[:60], data[:200].decode("utf-8", "replace"))

    # Joining.

    def _handle_join(self, peer: Peer, message: messages.Message) -> None:
        if isinstance(message, ProxyHello | CollectorHello) and message.site not in self.zones:
            raise InvalidMessageError(f"there is no site {message.site!r}")
        if isinstance(message, CollectorHello):
            self._add_collector(peer, message.site)
        elif isinstance(message, ProxyHello):
            if message.id >= self.proxy_count:
                raise InvalidMessageError(f"there is no proxy {message.id}")
            previous = self.peer_by_proxy.get(message.id)
            self.peer_by_proxy[message.id] = peer
            if previous is not None:
                self.submit(ProxyDisconnected(message.id))
                self._end_replaced(previous, "its proxy has a new stream")
            peer.proxy = message.id
            peer.zone = message.site
            self.submit(ProxyConnected(message.id, message.site, message.rps, message.new))
        else:
            raise InvalidMessageError("nobody has joined on this connection")
        peer.line_splitter.max_bytes = messages.MAX_JOINED_LINE_BYTES

    def _add_collector(self, peer: Peer, zone: str) -> None:
        """Danger: a newcomer need not be the one that will bring reports, so the former stays
        beside it.
        """
        peer.zone = zone
        others = self.collectors[zone]
        if len(others) >= MAX_COLLECTORS_PER_ZONE:
            idle = min(others, key=lambda other: other.reported_at)
            others.remove(idle)
            self._end_replaced(idle, "others of its zone bring reports")
        others.append(peer)

    def remove_peer(self, peer: Peer) -> None:
        """Its connection has ended."""
        if peer.proxy is not None:
            if self.peer_by_proxy.get(peer.proxy) is peer:
                del self.peer_by_proxy[peer.proxy]
                self.submit(ProxyDisconnected(peer.proxy))
        elif peer.joined and peer in self.collectors[peer.zone]:
            self.collectors[peer.zone].remove(peer)

    # What the joined say.

    def _handle_message(self, peer: Peer, message: messages.Message, now: float) -> None:
        match message:
            case Acknowledgement() if peer.proxy is not None:
                self._handle_ack(peer, message, now)
            case DemandReport():
                self._handle_demand_report(peer, message)
            case EndpointReport() if peer.proxy is None:
                self._handle_endpoint_report(peer, message)
            case _:
                raise InvalidMessageError(
                    f"a {type(message).__struct_config__.tag} does not belong on this connection"
                )
        if peer.proxy is None:
            peer.reported_at = now

    def _handle_ack(self, peer: Peer, ack: Acknowledgement, now: float) -> None:
        if ack.id != peer.proxy:
            raise InvalidMessageError("an answer of another proxy")
        requested_at = peer.pending_acks.get(ack.seq)
        if requested_at is None:
            self.counts["unasked"] += (
                1  # an answer to a mark never asked, or answered already, is nothing
            )
            return
        response_time = ack.ms / 1000.0
        if (
            response_time > now - requested_at + MAX_CLOCK_DIFFERENCE_S
        ):  # Danger: one spoilt time would make the channel look slow for long
            raise InvalidMessageError("an answer that took longer than it has been asked for")
        for ack_number in list(peer.pending_acks):
            del peer.pending_acks[ack_number]
            if ack_number == ack.seq:
                break
        self.submit(Acknowledged(ack.id, ack.seq, response_time))

    def _handle_demand_report(self, peer: Peer, report: DemandReport) -> None:
        if report.lane not in self.traffic_classes:
            raise InvalidMessageError("there is no such lane")
        if report.id >= self.proxy_count or peer.proxy not in (None, report.id):
            raise InvalidMessageError("usage of another proxy")
        # More may have failed than came: what failed in this span may have come in the one before.
        self.submit(
            DemandReported(report.id, report.lane, report.count, report.fail, report.over / 1000.0)
        )

    def _handle_endpoint_report(self, peer: Peer, report: EndpointReport) -> None:
        if report.site not in self.zones:
            raise InvalidMessageError("there is no such site")
        if not self.is_known_worker(report.target):
            raise InvalidMessageError("there is no such target")
        if report.fail > report.count:
            raise InvalidMessageError("more failed than were tried")
        load = {METRIC_NAMES.get(key, key): value for key, value in (report.util or {}).items()}
        load = {
            key: value / 1000.0 if key in MILLISECOND_FIELDS else value
            for key, value in load.items()
        }
        self.submit(
            EndpointReported(
                report.site,
                report.target,
                report.count,
                report.fail,
                report.mean / 1000.0,
                report.over / 1000.0,
                load,
            )
        )


def parse_text_report(body: bytes) -> dict[str, float]:
    """A probe's load report in TEXT form. Raises ValueError."""
    text = body.decode("ascii", "strict").strip()
    format_name, _, rest = text.partition(" ")
    if format_name != "TEXT":
        raise ValueError("no report")
    load = {}
    for metric_text in rest.split(","):
        name, _, value = metric_text.strip().partition("=")
        metric = METRIC_NAMES.get(name, name)
        load[metric] = float(value) / (1000.0 if metric in MILLISECOND_FIELDS else 1.0)
    return load
