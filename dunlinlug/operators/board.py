"""The pins that stand in a manager: weighed, kept on disk, told to the module, ended by time, word or the guard."""

import time
from collections.abc import Callable
from typing import Any

import trio

from dunlinlug import interface as face
from dunlinlug.guard import Ended, Pin, Pins, Refusal


class Refused(Exception):
    """The guard would refuse the pinned table."""

    def __init__(self, refusals: list[Refusal]) -> None:
        super().__init__(refusals[0].said)
        self.refusals = refusals


class Board:
    """`obeyed` is false where the guard only watches; `keep` gets all pins, plain, whenever one comes or goes."""

    def __init__(
        self,
        pins: Pins,
        obeyed: bool,
        tell: Callable[[face.Event], None],
        note: Callable[..., None],
        keep: Callable[[list[dict[str, Any]]], None],
        record: Callable[[list[Refusal], str], None],
    ) -> None:
        self.pins, self.obeyed, self.tell, self.note = pins, obeyed, tell, note
        self.keep, self.record = keep, record
        self.names = [product.name for product in pins.judge.trade.products]
        self.changed = trio.Event()

    def propose(self, now: float, pin: Pin) -> tuple[list[Refusal], list[str]]:
        """What would be refused of it, and cautions; raises PinFault. Changes nothing."""
        self.pins.check(pin, now)
        return self.pins.weigh(now, pin)

    def put(self, now: float, pin: Pin) -> list[str]:
        """Raises PinFault or Refused; gives the cautions. On disk before it is told."""
        refusals, cautions = self.propose(now, pin)
        if refusals:
            self.record(refusals[:20], "operator")
            if self.obeyed:
                raise Refused(refusals)
        event = self.pins.put(pin)
        self._keep(now)
        self.tell(event)
        self.note(
            "pin.stands",
            product=self.names[pin.product],
            lasts=round(pin.until - now, 1),
            others=pin.others,
            weights=dict(pin.weights),
            cautions=cautions,
        )
        return cautions

    def take(self, now: float, product: int) -> bool:
        """Ends a pin by an operator's word; false if none stands."""
        event = self.pins.take(product)
        if event is None:
            return False
        self._keep(now)
        self.tell(event)
        self.note("pin.ended", product=self.names[product], why="an operator's word")
        return True

    def review(self, now: float, refusals: list[Refusal]) -> None:
        """After each reply: what is over or has become bad ends."""
        ended = self.pins.review(now, refusals)
        for end in ended:
            self.tell(face.Pinned(end.pin.product))
            self.note(
                "pin.lifted" if end.lifted else "pin.ended",
                product=self.names[end.pin.product],
                why=end.why,
            )
        if ended:
            self._keep(now)
            self.record(
                [self._as_refusal(end) for end in ended if end.lifted], "guard, lifting a pin"
            )

    def _as_refusal(self, end: Ended) -> Refusal:
        return Refusal(
            face.Bind(0, (end.pin.product,), 0),
            "bare",
            f"the pin of {self.names[end.pin.product]} was lifted: {end.why}",
            "a pin that names workers which may be used",
        )

    def plain(self) -> list[dict[str, Any]]:
        """All that stand, with wall times, which outlive a process."""
        wall = time.time() - trio.current_time()
        return [
            {
                "product": self.names[pin.product],
                "weights": dict(pin.weights),
                "others": pin.others,
                "until": round(pin.until + wall, 1),
            }
            for pin in self.pins.standing.values()
        ]

    def _keep(self, now: float) -> None:
        self.keep(self.plain())
        self.changed.set()

    def take_over(self, kept: list[dict[str, Any]]) -> None:
        """Those of another manager, whose module has told ours already."""
        self.pins.standing.clear()
        wall = time.time() - trio.current_time()
        for said in kept:
            if said["product"] in self.names:
                self.pins.put(
                    Pin(
                        self.names.index(said["product"]),
                        said["weights"],
                        said["others"],
                        said["until"] - wall,
                    )
                )
        self.keep(kept)
        self.changed.set()

    def put_plain(self, now: float, said: dict[str, Any]) -> None:
        """As another manager of the fleet has it. Raises PinFault or Refused, as our own guard says."""
        until = min(said["until"] - (time.time() - now), now + self.pins.longest)
        self.put(
            now, Pin(self.names.index(said["product"]), said["weights"], said["others"], until)
        )

    def restore(self, now: float, kept: list[dict[str, Any]]) -> None:
        """Pins of an earlier life that still have time; the judge sees all that comes of them."""
        wall = time.time() - now
        for said in kept:
            until = min(
                said["until"] - wall, now + self.pins.longest
            )  # a clock set back prolongs nothing
            if said["product"] in self.names and until > now:
                pin = Pin(self.names.index(said["product"]), said["weights"], said["others"], until)
                self.tell(self.pins.put(pin))
                self.note("pin.kept", product=said["product"], lasts=round(until - now, 1))

    async def run(self) -> None:
        """Ends pins whose time is up, also while the loop is idle."""
        while True:
            self.changed = trio.Event()
            with trio.move_on_at(self.pins.next_end()):
                await self.changed.wait()
            self.review(trio.current_time(), [])
