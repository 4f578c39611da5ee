"""One client's stream of the state-of-the-world form: what it should hold, what it was sent, what it has taken."""

from collections.abc import Callable

import trio

from dunlinlug import interface as face
from dunlinlug.ads.parcel import Parcel
from dunlinlug.net.grpc import Call
from dunlinlug.rpc import Status
from dunlinlug.xds import fence
from dunlinlug.xds.full import FullStream
from dunlinlug.xds.stream import Acked, Refused


class WideSession:
    """As `Session`, for the other form. A mark is answered once the client holds all that was offered with it, down to
    the endpoints of each product that it asks for."""

    def __init__(
        self,
        proxy: int,
        call: Call,
        stream: FullStream,
        now: float,
        tell: Callable[[face.Event], None],
        note: Callable[..., None],
    ) -> None:
        self.proxy, self.call, self.stream, self.joined_at = proxy, call, stream, now
        self.tell, self.note = tell, note
        self.calls: dict[str, Call] = {}  # by type, where each has a stream of its own
        self.marks: list[tuple[int, float]] = []
        self.sent: dict[str, tuple[str, ...]] = {}  # names by nonce
        self.wake = trio.Event()
        self.fenced: Callable[[int], None] = lambda term: None

    def owe(self, parcel: Parcel) -> None:
        """The newest offer stands for all before it."""
        self.marks += parcel.marks
        if parcel.full is not None:
            self.stream.offered = parcel.full
        self.push()

    def push(self) -> None:
        """Send what is due, unless the peer has not taken what went before; then the newest goes later."""
        if any(call.unsent for call in (self.call, *self.calls.values())):
            self.wake.set()
            return
        for type_url, nonce, named, data in self.stream.responses():
            self.sent[nonce] = named
            self.calls.get(type_url, self.call).send(data)
        # Danger: answers to what is no longer the newest are passed over, so that those nonces would pile up.
        newest = set(self.stream.nonces.values())
        self.sent = {nonce: named for nonce, named in self.sent.items() if nonce in newest}
        self._settle(trio.current_time())

    async def send(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            for call in (self.call, *self.calls.values()):
                await call.drained()
            self.push()

    def end(self, status: Status, why: str) -> None:
        for call in (self.call, *self.calls.values()):
            call.finish(status, why)
            call.scope.cancel()

    def said(self, word: Acked | Refused, now: float) -> None:
        named = self.sent.pop(word.nonce, ())
        if isinstance(word, Refused):
            if term := fence.refused_for(word.why):
                self.fenced(term)
            self.note(
                "proxy.refused", proxy=self.stream.node, resources=sorted(named), why=word.why
            )
        self.push()

    def _settle(self, now: float) -> None:
        if self.marks and self.stream.settled():
            marks, self.marks = self.marks, []
            for number, ordered in marks:
                self.tell(face.Answered(self.proxy, number, now - ordered))

    def unused(self, used: set[str]) -> None:
        """Nothing is kept by table here."""
