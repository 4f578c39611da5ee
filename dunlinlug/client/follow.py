"""Follows whichever manager leads: a call open at each, the master's is answered; applies, answers, reports."""

import ssl
from collections.abc import Callable, Sequence
from random import Random

import trio

from dunlinlug.client.tally import Tally
from dunlinlug.net import grpc
from dunlinlug.xds import loads, names
from dunlinlug.xds.subscriber import Applied, Holdings, Subscriber

Place = tuple[str, int]


def _nothing(*_: object) -> None:
    return None


class Follower:
    """`joined` and `left` are called as streams to a master come and go, `applied` for each response. `reaches` says
    whether managers are in reach at all (a test may cut them off)."""

    def __init__(
        self,
        node: str,
        zone: str,
        managers: Sequence[Place],
        holdings: Holdings,
        tally: Tally,
        rate: float = 0.0,
        redial: float = 0.5,
        within: float = 1.0,
        chance: Random | None = None,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.node, self.zone, self.managers, self.rate = node, zone, managers, rate
        self.holdings, self.tally, self.redial, self.within = holdings, tally, redial, within
        self.uniform, self.context = (chance or Random(node)).uniform, context
        self.links: dict[Place, grpc.Link] = {}
        self.current: Place | None = None  # the manager that answers us
        self.heard_at: float | None = None
        self.gate: trio.Event | None = None  # set to stop reading until the event is set
        self.joined: Callable[[], None] = _nothing
        self.left: Callable[[], None] = _nothing
        self.applied: Callable[[Applied], None] = _nothing
        self.reaches: Callable[[], bool] = lambda: True

    def silence(self) -> float | None:
        """Seconds since the last word of a manager; None if there was none yet."""
        return None if self.heard_at is None else trio.current_time() - self.heard_at

    async def run(self) -> None:
        """Until cancelled; without a manager, all goes on by what is held."""
        async with trio.open_nursery() as nursery:
            for place in self.managers:
                nursery.start_soon(self._follow, place)

    async def _follow(self, place: Place) -> None:
        while True:
            try:
                if self.reaches():
                    async with grpc.dial(*place, self.within, context=self.context) as link:
                        self.links[place] = link
                        link.gate = self.gate
                        await self._calls(link, place)
            except* (OSError, grpc.CallEnded, trio.TooSlowError):
                pass
            self.links.pop(place, None)
            await trio.sleep(self.redial * self.uniform(0.5, 1.5))

    async def _calls(self, link: grpc.Link, place: Place) -> None:
        """One call after another on a link that stands: a manager that leads no more ends the call, not the link."""
        while not link.connection.closed:
            try:
                await self._stream(link, place)
            except* grpc.CallEnded as ends:
                if any(
                    isinstance(end, grpc.CallEnded) and end.status is None
                    for end in ends.exceptions
                ):
                    raise
            finally:
                if self.current == place:
                    self.current = None
                    self.left()
            await trio.sleep(0)

    async def _stream(self, link: grpc.Link, place: Place) -> None:
        call = link.call(names.ADS)
        await call.opened.wait()
        if call.ended is not None:
            raise call.ended
        subscriber = Subscriber(self.holdings, self.node, self.zone, {"txns_per_s": self.rate})
        for request in subscriber.greet():
            call.send(request)
        self._answered(place)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report, link.call(names.LRS))
            while True:
                answer, done = subscriber.receive(await call.receive())
                self.heard_at = trio.current_time()
                call.send(answer)
                self.applied(done)

    def _answered(self, place: Place) -> None:
        """This manager leads now: what stood to another is over."""
        if self.current is not None:
            self.left()
            self.break_off(self.current)
        self.current = place
        self.joined()

    async def _report(self, call: grpc.Call) -> None:
        call.send(loads.write(loads.Loads(self.node, self.zone, 0.0), greeting=True))
        cycle = loads.read_answer(await call.receive())
        while True:
            await trio.sleep(cycle * self.uniform(0.9, 1.1))
            call.send(loads.write(self.tally.take(trio.current_time()), greeting=False))

    def break_off(self, place: Place | None) -> None:
        """End the calls on a link, as if the network had."""
        if place in self.links:
            for call in list(self.links[place].calls.values()):
                call.end(None, "broken")

    def stop_reading(self, gate: trio.Event | None) -> None:
        """Read nothing more until the gate is set; None: read on."""
        self.gate = gate
        for link in self.links.values():
            link.gate = gate
