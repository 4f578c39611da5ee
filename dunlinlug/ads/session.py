"""One proxy's ADS stream at the manager: what is owed to it, what is in flight, what it refused."""

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

from dunlinlug import interface as face
from dunlinlug.ads.parcel import Parcel
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fence, names
from dunlinlug.xds.render import Resource
from dunlinlug.xds.stream import Acked, DeltaStream, Refused

AHEAD = 8  # sets sent and not yet answered; what comes after is merged, so that a mute proxy piles nothing up


@dataclass
class Flight:
    """A set on its way: its nonces not yet answered, and whether one was refused."""

    nonces: set[str]
    marks: list[tuple[int, float]]
    refused: bool = False


class Session:
    """Feed `owe` and `said`; run `send`. Events for the module go to `tell`, log lines to `note`."""

    def __init__(
        self,
        proxy: int,
        call: Call,
        stream: DeltaStream,
        now: float,
        tell: Callable[[face.Event], None],
        note: Callable[..., None],
    ) -> None:
        self.proxy, self.call, self.stream, self.joined_at = proxy, call, stream, now
        self.tell, self.note = tell, note
        self.owed: Parcel | None = None
        self.flights: list[Flight] = []
        self.by_nonce: dict[str, tuple[Flight, tuple[Resource, ...]]] = {}
        self.refused: dict[str, str] = {}  # resource to the version that the proxy would not take
        self.wake = trio.Event()
        self.fenced: Callable[[int], None] = lambda term: None

    def owe(self, parcel: Parcel) -> None:
        """Add a parcel; with one still unsent the two become one."""
        if self.owed is None:
            self.owed = parcel
        else:
            self.owed.merge(parcel)
        self._push()

    def _push(self) -> None:
        """Send what is owed if the peer has taken what went before; else it waits, and what comes is merged."""
        if self.owed is None or len(self.flights) >= AHEAD:
            return
        if self.call.unsent:
            self.wake.set()
            return
        parcel, self.owed = self.owed, None
        self._send(parcel)

    async def send(self) -> None:
        """Push again whenever the peer has taken what was held back, for as long as the stream stands."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            await self.call.drained()
            self._push()

    def _send(self, parcel: Parcel) -> None:
        tables = tuple(r for r in parcel.tables.values() if self.refused.get(r.name) != r.version)
        routes = (
            (parcel.routes,)
            if parcel.routes and self.refused.get(names.ROUTE) != parcel.routes.version
            else ()
        )
        gone = tuple(sorted(parcel.gone))
        steps: list[tuple[str, tuple[Resource, ...], tuple[str, ...]]]
        # Danger: a response is refused whole; who is withdrawn travels apart from tables that may be refused.
        parts = [
            tuple(r for r in tables if r.name == names.OUT),
            tuple(r for r in tables if r.name != names.OUT),
        ]
        steps = [(names.ENDPOINTS, part, ()) for part in parts if part]
        steps += [(names.ROUTES, routes, ())] if routes else []
        steps += [(names.ENDPOINTS, (), gone)] if gone else []
        flight = Flight(set(), parcel.marks)
        ordered = (
            parcel.ordered - trio.current_time() + time.monotonic()
        )  # a clock that records share
        steps = steps or [(names.ENDPOINTS, (), ())]
        for n, (type_url, resources, removed) in enumerate(steps, 1):
            # The tag lets a proxy's record show when the first of it was ordered, and how many lines it is.
            tag = f"{ordered:.6f} {parcel.lines:g} {parcel.replies}" if not flight.nonces else ""
            nonce, data = self.stream.respond(type_url, resources, removed, tag)
            flight.nonces.add(nonce)
            self.by_nonce[nonce] = (flight, resources)
            self.call.send(data, more=n < len(steps))
        self.flights.append(flight)

    def said(self, word: Acked | Refused, now: float) -> None:
        """Take an answer. Danger: a later mark would settle a refused one, so none is told while one stands."""
        flight, resources = self.by_nonce.pop(word.nonce)
        flight.nonces.discard(word.nonce)
        if isinstance(word, Refused):
            flight.refused = True
            if term := fence.refused_for(word.why):
                self.fenced(term)
                return
            fresh = {r.name: r.version for r in resources}
            if any(self.refused.get(name) != version for name, version in fresh.items()):
                self.note(
                    "proxy.refused", proxy=self.stream.node, resources=sorted(fresh), why=word.why
                )
            self.refused.update(fresh)
        else:
            for resource in resources:
                self.refused.pop(resource.name, None)
        while self.flights and not self.flights[0].nonces:
            done = self.flights.pop(0)
            if not done.refused and not self.refused:
                for number, ordered in done.marks:
                    self.tell(face.Answered(self.proxy, number, now - ordered))
        self._push()

    def end(self, status: Status, why: str) -> None:
        self.call.finish(status, why)
        self.call.scope.cancel()

    def unused(self, used: set[str]) -> None:
        """Forget refusals of tables that the proxy is no longer to go by."""
        self.refused = {
            n: v for n, v in self.refused.items() if n in used or n in (names.OUT, names.ROUTE)
        }
