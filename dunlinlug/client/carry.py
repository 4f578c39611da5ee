"""One txn by the tables held: level, worker by weight, further tries as the way allows. The tries are the caller's."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from dunlinlug.client.tally import Tally
from dunlinlug.xds.render import Way
from dunlinlug.xds.subscriber import Holdings

FURTHER = (0, 1, 1, 2)  # tries beyond the first by way of trying again


@dataclass(frozen=True)
class Tried:
    """What came of one try: settled or not; whether the txn may have run there; the worker's own load report."""

    settled: bool
    ran: bool
    load: dict[str, float] = field(default_factory=dict)
    answer: object = None


@dataclass(frozen=True)
class Carried:
    """What came of a txn. `proof`: it surely ran nowhere, so that whoever asked may ask again. `why` if it was not
    even tried: starting (nothing is held yet), level (not let in), nobody (no worker may be used)."""

    settled: bool
    proof: bool
    why: str = ""
    last: Tried | None = None


Attempt = Callable[
    [str, float, int], Awaitable[Tried]
]  # worker, seconds for this try, which try it is


class Carrier:
    def __init__(self, holdings: Holdings, tally: Tally, chance: Random) -> None:
        self.holdings, self.tally, self.chance = holdings, tally, chance

    async def carry(self, product: str, ends: float, attempt: Attempt) -> Carried:
        """At `ends` (trio's clock) it is given up, and what is known by then is told at once."""
        if product not in self.holdings.routes:
            return Carried(False, True, "starting")
        if self.chance.random() >= self.holdings.level(product):
            self.tally.came(product, False)
            return Carried(False, True, "level")
        proof, last = True, None
        tried: set[str] = set()
        way = self.holdings.routes[product][1]
        for n in range(1 + FURTHER[way.retry]):
            worker = self._draw(product, tried)
            if not worker or trio.current_time() >= ends:
                break
            tried.add(worker)
            last = await self._try(worker, way, n, ends, attempt)
            proof = proof and not last.ran
            # Danger: an effect twice. Way 1 goes on only with proof that this try was not begun.
            if last.settled or way.retry == 1 and last.ran:
                break
        settled = last is not None and last.settled
        self.tally.came(product, not settled)
        return Carried(settled, proof and not settled, "" if last else "nobody", last)

    def _draw(self, product: str, tried: set[str]) -> str:
        lines = {w: weight for w, weight in self.holdings.lines(product).items() if w not in tried}
        return self.chance.choices(list(lines), list(lines.values()))[0] if lines else ""

    async def _try(self, worker: str, way: Way, n: int, ends: float, attempt: Attempt) -> Tried:
        started, done = trio.current_time(), Tried(False, True)  # given up: it may have run
        left = min(ends - started, way.per_try or ends - started)
        with trio.move_on_after(left):
            done = await attempt(worker, left, n)
        self.tally.tried(worker, done.settled, trio.current_time() - started, done.load)
        return done
