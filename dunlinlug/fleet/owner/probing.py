"""Probes for the fleet over what owns them: wishes to owners, one probe for all, the result to everybody."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from dunlinlug import interface as face
from dunlinlug.fleet.owner import probes
from dunlinlug.fleet.owner.host import Ownership
from dunlinlug.fleet.owner.probes import Result, Shared
from dunlinlug.fleet.owner.words import Effect, Want

LOOK = 0.1  # seconds between looks at wishes that nobody answers: a part of a probe's time limit


class Told(msgspec.Struct, frozen=True, array_like=True):
    """A result on its way: `age` seconds old as it left."""

    worker: str
    ok: bool
    result: str
    took: float
    age: float


class Probing:
    """`probe` makes one probe and ends in a `Probed` given to `done`; `tell` is the module's ear."""

    def __init__(
        self,
        owners: Ownership,
        within: float,
        probe: Callable[[str], Awaitable[None]],
        tell: Callable[[face.Event], None],
        start: Callable[..., Any],
    ) -> None:
        self.owners, self.probe, self.tell, self.start = owners, probe, tell, start
        self.shared, self.probed = Shared(within), 0
        owners.wanted["probe"], owners.carry["probe"] = self._wanted, self._carried

    async def run(self) -> None:
        while True:
            await trio.sleep(LOOK)
            members = len(self.owners.machine.log.roll.members)
            for worker in self.shared.overdue(self.owners.clock(), members):
                self._begin(worker)

    def wish(self, worker: str) -> None:
        """Our module orders a probe."""
        young = self.shared.wished(self.owners.clock(), worker)
        if young is not None:
            self.tell(face.Probed(worker, young.ok, young.result, young.took))
        else:
            self.owners.ask(probes.piece_of(worker), worker.encode())

    def _wanted(self, want: Want) -> None:
        worker = want.body.decode(errors="replace")
        if self.owners.may(probes.piece_of(worker)) is None or want.piece != probes.piece_of(
            worker
        ):
            return  # not ours any more, or for the moment: who wishes it looks after itself
        found = self.shared.asked(self.owners.clock(), worker)
        if isinstance(found, Result):
            self._share(found)
        elif found:
            self._begin(worker)

    def _begin(self, worker: str) -> None:
        self.probed += 1
        self.start(self.probe, worker)

    def done(self, event: face.Event) -> None:
        """A probe of ours has ended."""
        assert isinstance(event, face.Probed)
        result = Result(event.worker, event.ok, event.result, event.took, self.owners.clock())
        if self.shared.came(result):
            self.tell(event)
        self._share(result)

    def _share(self, result: Result) -> None:
        body = msgspec.msgpack.encode(
            Told(
                result.worker,
                result.ok,
                result.result,
                result.took,
                self.owners.clock() - result.at,
            )
        )
        for member in self.owners.others():
            self.owners.order(member, probes.piece_of(result.worker), body)

    def _carried(self, effect: Effect) -> None:
        """Another's result. What it says is a fact with an age, which may come twice and do no harm."""
        try:
            told = msgspec.msgpack.decode(effect.body, type=Told)
        except msgspec.DecodeError:
            return
        if told.age > probes.OLDEST:
            return
        now = self.owners.clock()
        result = Result(told.worker, told.ok, told.result, told.took, now - told.age)
        heard = self.shared.told(result, now, len(self.owners.machine.log.roll.members))
        if heard is None:
            self._begin(told.worker)
        elif heard:
            self.tell(face.Probed(told.worker, told.ok, told.result, told.took))
