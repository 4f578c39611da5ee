"""Operators' pins for the whole fleet: one change at a time, whichever manager an operator speaks to.

The owner of `pin/PRODUCT` judges a change and writes it into the members' log; what the log says is wanted, and each
manager emits the difference to what stands with it. An end is written as well: no record at all would not tell an end
from a log that was lost, after which an owner writes down again what stands.
"""

import json
from collections.abc import Callable
from typing import Any, Protocol

import trio

from dunlinlug.fleet.owner.host import Ownership

ENDED = b"-"
LOOK = 0.2  # seconds between looks at what the log wants: a beat


class Board(Protocol):
    """The pins that stand with a manager, as plain values with wall times."""

    names: list[str]

    def plain(self) -> list[dict[str, Any]]: ...

    def put_plain(self, now: float, said: dict[str, Any]) -> None:
        """Raises an exception of the guard's if it may not stand here."""

    def take(self, now: float, product: int) -> bool: ...


def piece_of(product: str) -> str:
    return f"pin/{product}"


class NotOurs(ValueError):
    """Another decides on this product's pin, or nobody at the moment; the text says who."""


class SharedPins:
    """`faults` are the guard's kinds of refusal; `wall` is the wall clock."""

    def __init__(
        self,
        owners: Ownership,
        board: Board,
        faults: tuple[type[Exception], ...],
        note: Callable[..., None],
        wall: Callable[[], float],
    ) -> None:
        self.owners, self.board, self.faults, self.note, self.wall = (
            owners,
            board,
            faults,
            note,
            wall,
        )
        self.taken: dict[str, bytes] = {}  # by product, what of the log was taken last

    def decides(self, product: str) -> None:
        """Raises NotOurs. Asked before an operator's change is made here, in the same turn."""
        if self.owners.may(piece_of(product)) is None:
            owner = self.owners.owner_of(piece_of(product))
            said = (
                f"{owner} decides on pins of {product}; say it there"
                if owner not in ("", self.owners.me)
                else (
                    f"nobody decides on pins of {product} at the moment: "
                    "no majority of the members, or a change under way"
                )
            )
            raise NotOurs(said)

    def changed(self, product: str) -> None:
        """What stands with us, who decide on it, is what all are to have. Raises ValueError if it is too large, or our
        lease has just ended: then it stands here no more either."""
        body = self._standing(product) or ENDED
        try:
            self.owners.put_record(piece_of(product), body)
        except ValueError:
            self.board.take(trio.current_time(), self.board.names.index(product))
            self.taken.pop(product, None)  # what the log has is taken anew
            raise
        self.taken[product] = body

    def _standing(self, product: str) -> bytes:
        found = [said for said in self.board.plain() if said["product"] == product]
        return json.dumps(found[0]).encode() if found else b""

    async def run(self) -> None:
        while True:
            await trio.sleep(LOOK)
            for product in self.board.names:
                self._look(product)

    def _look(self, product: str) -> None:
        record = self.owners.record(piece_of(product))
        if not record:
            if self.owners.may(piece_of(product)) is not None and self._standing(product):
                try:
                    self.changed(product)  # the log was lost, or has just begun
                except ValueError as fault:
                    self.note("pin.not_shared", product=product, why=str(fault))
            return
        if record == self.taken.get(product):
            return
        self.taken[product] = record
        now, index = trio.current_time(), self.board.names.index(product)
        said = json.loads(record) if record != ENDED else None
        if said is None or said["until"] <= self.wall():
            self.board.take(now, index)
        elif record != self._standing(product):
            try:
                self.board.put_plain(now, said)
            except self.faults as fault:  # what the guard refuses here may stand elsewhere
                self.note("pin.not_here", product=product, why=str(fault))
