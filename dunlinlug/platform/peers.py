"""Who stands at the manager's address: collectors, proxies, and who has not joined. Bytes in; events for the module,
bytes for the peer and its end out. No socket; times are the caller's clock in seconds."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from dunlinlug import interface as face
from dunlinlug.platform import messages
from dunlinlug.platform.messages import Ack, Agent, Demand, Hello, Outcomes, Unfit, Unreadable
from dunlinlug.told import IN_MILLIS, LOADS

SAMPLES_MOST = (
    8  # kinds of fault shown in one summary: a flood of different ones must not fill log and memory
)
COLLECTORS_MOST = (
    3  # streams kept for each zone: the old one, its successor and one that only says so
)
EARLY = 0.25  # seconds by which an answer's own time may be longer than we saw: clocks of machines
IN_WORDS = {
    "queue": "queue",
    "latency_ms": "service_s",
    "inflight": "held",
    "util": "busy",
    "qps": "settled_per_s",
    "eps": "voided_per_s",
    **LOADS,
}


@dataclass(eq=False)
class Peer:
    """One connection. `end` closes it; it is called for a peer that another takes the place of. Once `over`, nothing
    that it says counts any more."""

    end: Callable[[str], None]
    over: bool = False
    lines: messages.Lines = field(default_factory=messages.Lines)
    zone: str = ""  # of a collector or a proxy
    proxy: int | None = None
    marks: dict[int, float] = field(default_factory=dict)  # asked and not answered, with when
    reported_at: float = -1.0  # when a collector last brought a report

    @property
    def joined(self) -> bool:
        return bool(self.zone)


class Turned(Exception):
    """The peer is to be closed; if it has not joined, it is sent the message `error` with this text first."""


class Peers:
    """`tell` hears events; `listed` says whether a worker is or was listed."""

    def __init__(
        self,
        zones: tuple[str, ...],
        proxies: int,
        products: tuple[str, ...],
        listed: Callable[[str], bool],
        tell: Callable[[face.Event], None],
    ) -> None:
        self.zones, self.proxies, self.products = frozenset(zones), proxies, frozenset(products)
        self.listed, self.tell = listed, tell
        self.streams: dict[int, Peer] = {}
        self.collectors: dict[str, list[Peer]] = {zone: [] for zone in zones}
        self.counts: Counter[str] = Counter()
        self.samples: dict[str, str] = {}  # by kind of fault, one since the last summary

    def take(self, peer: Peer, data: bytes, now: float) -> bytes:
        """What came from a peer; gives what to answer. Raises Turned."""
        # Danger: a connection that is ended may be readable in that very turn. What the old stream of a proxy says then
        # would be believed of its new one, and who was turned away could join.
        if peer.over:
            return b""
        answer = b""
        try:
            for line in peer.lines.take(data):
                answer += self._line(peer, line, now)
            peer.lines.check()
        except Unreadable as fault:
            peer.over = True
            raise Turned(str(fault)) from None
        return answer

    def _replaced(self, peer: Peer, why: str) -> None:
        peer.over = True
        peer.end(why)

    def _line(self, peer: Peer, line: bytes, now: float) -> bytes:
        if len(line) > peer.lines.most:
            raise Unreadable(f"a message is longer than {peer.lines.most} bytes")
        try:
            message = messages.read(line)
            if isinstance(message, messages.Probe):
                return messages.alive()
            if peer.joined:
                self._said(peer, message, now)
            else:
                self._joins(peer, message)
        except Unfit as fault:
            if not peer.joined:
                peer.over = True
                raise Turned(str(fault)) from None
            self._spoil(str(fault), line)
        return b""

    def _spoil(self, why: str, line: bytes) -> None:
        self.counts["spoilt"] += 1
        self.sample(why, line)

    def sample(self, why: str, data: bytes) -> None:
        """Keep one of each kind of fault for the next summary."""
        if len(self.samples) < SAMPLES_MOST:
            self.samples.setdefault(why[:60], data[:200].decode("utf-8", "replace"))

    # Joining.

    def _joins(self, peer: Peer, message: messages.Message) -> None:
        if isinstance(message, Hello | Agent) and message.site not in self.zones:
            raise Unfit(f"there is no site {message.site!r}")
        if isinstance(message, Agent):
            self._collector(peer, message.site)
        elif isinstance(message, Hello):
            if message.id >= self.proxies:
                raise Unfit(f"there is no proxy {message.id}")
            former = self.streams.get(message.id)
            self.streams[message.id] = peer
            if former is not None:
                self.tell(face.Left(message.id))
                self._replaced(former, "its proxy has a new stream")
            peer.proxy, peer.zone = message.id, message.site
            self.tell(face.Joined(message.id, message.site, message.rps, message.new))
        else:
            raise Unfit("nobody has joined on this connection")
        peer.lines.most = messages.JOINED_MOST

    def _collector(self, peer: Peer, zone: str) -> None:
        """Danger: a newcomer need not be the one that will bring reports, so the former stays beside it."""
        peer.zone = zone
        others = self.collectors[zone]
        if len(others) >= COLLECTORS_MOST:
            idle = min(others, key=lambda other: other.reported_at)
            others.remove(idle)
            self._replaced(idle, "others of its zone bring reports")
        others.append(peer)

    def left(self, peer: Peer) -> None:
        """Its connection has ended."""
        if peer.proxy is not None:
            if self.streams.get(peer.proxy) is peer:
                del self.streams[peer.proxy]
                self.tell(face.Left(peer.proxy))
        elif peer.joined and peer in self.collectors[peer.zone]:
            self.collectors[peer.zone].remove(peer)

    # What the joined say.

    def _said(self, peer: Peer, message: messages.Message, now: float) -> None:
        match message:
            case Ack() if peer.proxy is not None:
                self._ack(peer, message, now)
            case Demand():
                self._demand(peer, message)
            case Outcomes() if peer.proxy is None:
                self._outcomes(peer, message)
            case _:
                raise Unfit(
                    f"a {type(message).__name__.lower()} does not belong on this connection"
                )
        if peer.proxy is None:
            peer.reported_at = now

    def _ack(self, peer: Peer, said: Ack, now: float) -> None:
        if said.id != peer.proxy:
            raise Unfit("an answer of another proxy")
        asked = peer.marks.get(said.seq)
        if asked is None:
            self.counts["unasked"] += (
                1  # an answer to a mark never asked, or answered already, is nothing
            )
            return
        took = said.ms / 1000.0
        if (
            took > now - asked + EARLY
        ):  # Danger: one spoilt time would make the channel look slow for long
            raise Unfit("an answer that took longer than it has been asked for")
        for mark in list(peer.marks):
            del peer.marks[mark]
            if mark == said.seq:
                break
        self.tell(face.Answered(said.id, said.seq, took))

    def _demand(self, peer: Peer, said: Demand) -> None:
        if said.lane not in self.products:
            raise Unfit("there is no such lane")
        if said.id >= self.proxies or peer.proxy not in (None, said.id):
            raise Unfit("usage of another proxy")
        # More may have failed than came: what failed in this span may have come in the one before.
        self.tell(face.Asked(said.id, said.lane, said.count, said.fail, said.over / 1000.0))

    def _outcomes(self, peer: Peer, said: Outcomes) -> None:
        if said.site not in self.zones:
            raise Unfit("there is no such site")
        if not self.listed(said.target):
            raise Unfit("there is no such target")
        if said.fail > said.count:
            raise Unfit("more failed than were tried")
        load = {IN_WORDS.get(key, key): value for key, value in (said.util or {}).items()}
        load = {key: value / 1000.0 if key in IN_MILLIS else value for key, value in load.items()}
        self.tell(
            face.Met(
                said.site,
                said.target,
                said.count,
                said.fail,
                said.mean / 1000.0,
                said.over / 1000.0,
                load,
            )
        )


def read_report(body: bytes) -> dict[str, float]:
    """A probe's load report in TEXT form. Raises ValueError."""
    text = body.decode("ascii", "strict").strip()
    head, _, rest = text.partition(" ")
    if head != "TEXT":
        raise ValueError("no report")
    load = {}
    for pair in rest.split(","):
        name, _, value = pair.strip().partition("=")
        word = IN_WORDS.get(name, name)
        load[word] = float(value) / (1000.0 if word in IN_MILLIS else 1.0)
    return load
