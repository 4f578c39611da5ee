"""Operators' pins: what one may say, whether it may stand, and when it ends. Free of I/O; times are the caller's clock.

A pin gives a product other weights, a subset or an exclusion for a while. The module keeps ramp, health and withdrawals
under it, and the staged change that brings it in; the judge sees every order that comes of it. What is weighed here is
the table as all proxies would hold it, before the module hears of the pin.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, isfinite

from dunlinlug import interface as face
from dunlinlug.guard.judge import HEAVIEST, Judge, Refusal

TRIAL = -1  # the number of the table that is weighed; the module's begin at 1


class PinFault(ValueError):
    """A pin that says nothing sensible; the text names the mistake and what would be right."""


@dataclass(frozen=True)
class Pin:
    """`weights` by worker stand in place of the listed ones (0: not to be used; None: as listed); workers not named
    keep theirs if `others`, else they are not used. `until` is the end."""

    product: int
    weights: Mapping[str, float | None]
    others: bool
    until: float

    def event(self) -> face.Pinned:
        return face.Pinned(self.product, tuple(self.weights.items()), self.others)


@dataclass(frozen=True)
class Ended:
    """`lifted` if the guard ended it, else its time was up."""

    pin: Pin
    why: str
    lifted: bool


def _brings_to(order: face.Order) -> str:
    """The worker that the order would have brought something to, if any."""
    match order:
        case face.Share(_, worker, weight) if weight:
            return worker
        case face.Withdraw(worker, False):
            return worker
    return ""


class Pins:
    def __init__(self, judge: Judge, longest: float) -> None:
        """No pin stands longer than `longest` seconds."""
        self.judge, self.longest = judge, longest
        self.standing: dict[int, Pin] = {}

    def check(self, pin: Pin, now: float) -> None:
        """Raises PinFault for what no state of the fleet could make right."""
        names = [product.name for product in self.judge.trade.products]
        if not 0 <= pin.product < len(names):
            raise PinFault(f"unknown product; known are {', '.join(names)}")
        if not now < pin.until <= now + self.longest:
            raise PinFault(
                f"lasts {pin.until - now:g} s; more than 0 and at most {self.longest:g} s"
            )
        if not pin.weights:
            raise PinFault("names no worker; a pin gives weights, a subset or an exclusion")
        for worker, weight in pin.weights.items():
            if weight is not None and not (isfinite(weight) and 0.0 <= weight <= HEAVIEST):
                raise PinFault(f"weight {weight} for {worker}; 0 to a million")
            if worker not in self.judge.listed:
                raise PinFault(f"{worker} was never listed")

    def weigh(self, now: float, pin: Pin) -> tuple[list[Refusal], list[str]]:
        """What the judge would refuse of the pinned table if all proxies held it beside what they hold now, and
        cautions: no rule keeps an operator from overloading a warm worker."""
        lines = [
            face.Share(TRIAL, worker, weight) for worker, weight in self._lines(now, pin).items()
        ]
        binds = [face.Bind(proxy, (pin.product,), TRIAL) for proxy in self.judge.holdings.held]
        if not any(self._may_be_used(worker) for worker in self._workers(pin)):
            return [
                Refusal(
                    face.Bind(0, (pin.product,), TRIAL),
                    "bare",
                    "none of its workers may be used",
                    "a ready worker that is not withdrawn",
                    tuple(self.judge.holdings.held),
                )
            ], []
        # Danger: one kept out for now would meet its pinned weight on the day it is let in.
        letting = [
            face.Withdraw(worker, False)
            for worker, weight in pin.weights.items()
            if weight and worker in self.judge.holdings.out and self.judge.ready(worker)
        ]
        refusals = [
            refusal
            for refusal in self.judge.would(now, [*lines, *binds, *letting])
            if not refusal.passed
        ]
        return refusals, [] if refusals else self._cautions(now, [line.worker for line in lines])

    def _cautions(self, now: float, workers: list[str]) -> list[str]:
        """By the readings: who would be sent a multiple of what it settled of late, as would push a cold one over."""
        said, reading = [], self.judge.reading
        for worker in workers:
            brought, settled = self.judge.trial.load(worker), reading.settles(worker, now)
            if settled and brought > reading.duties.fall_multiple * settled:
                said.append(
                    f"{worker} would be sent {brought:.1f} txns a second by all proxies; of late it settled "
                    f"{settled:.1f}"
                )
        return said

    def put(self, pin: Pin) -> face.Pinned:
        self.standing[pin.product] = pin
        return pin.event()

    def take(self, product: int) -> face.Pinned | None:
        """Ends a pin by an operator's word; None if none stands."""
        return face.Pinned(product) if self.standing.pop(product, None) else None

    def next_end(self) -> float:
        return min((pin.until for pin in self.standing.values()), default=inf)

    def review(self, now: float, refusals: Iterable[Refusal] = ()) -> list[Ended]:
        """Ends what is over or has become bad: no worker of it may be used, or a line that it weighs was refused."""
        refused = {_brings_to(r.order): r for r in refusals if not r.passed}
        ended = []
        for pin in list(self.standing.values()):
            bad = next(
                (refused[worker] for worker, n in pin.weights.items() if n and worker in refused),
                None,
            )
            if now >= pin.until:
                ended.append(Ended(pin, "its time is up", False))
            elif not any(self._may_be_used(worker) for worker in self._workers(pin)):
                ended.append(Ended(pin, "none of its workers may be used any more", True))
            elif bad is not None:
                ended.append(Ended(pin, f"what it weighs was refused: {bad.said}", True))
        for end in ended:
            del self.standing[end.pin.product]
        return ended

    def _workers(self, pin: Pin) -> Iterable[str]:
        """Those that the pin would have used."""
        if not pin.others:
            return (worker for worker, weight in pin.weights.items() if weight != 0.0)
        return (worker for worker in self.judge.listed if pin.weights.get(worker) != 0.0)

    def _may_be_used(self, worker: str) -> bool:
        return self.judge.ready(worker) and worker not in self.judge.holdings.out

    def _lines(self, now: float, pin: Pin) -> dict[str, float]:
        """The pinned table: listed weights by what each worker can do at its age, and the pin's over them."""
        listed = self.judge.listed
        known = [w.weight for w in listed.values() if w.state == "ready" and w.weight]
        usual = sum(known) / len(known) if known else 1.0
        lines = {}
        for worker in self._workers(pin):
            if self.judge.ready(worker):
                weight = pin.weights.get(worker)
                weight = (listed[worker].weight or usual) if weight is None else weight
                lines[worker] = weight * self.judge.reading.part(now, self.judge.since[worker])
        return lines
