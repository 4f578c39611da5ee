"""The endpoint's requests and answers: who may ask, what may be asked. No socket here; the manager serves it.

GET /health                     no token needed
GET /tables[?product=NAME]      what stands, by product
POST /pins/propose              what the guard would say of a pin; changes nothing
PUT /pins, DELETE /pins/NAME    set a pin, end one
GET /fleet                      who leads, since when and why, terms, who lags
POST /fleet/hand-over           {"to": MEMBER}: another is to lead, without a gap in orders
PUT, DELETE /fleet/members/NAME one more member, one fewer
GET /members                    who is there; PUT, DELETE /members/bars/NAME
GET /work                       who owns work of the fleet
POST /work/PIECE                {"to": MEMBER}: another is to own it; at the steward
"""

import hmac
import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import unquote

import trio

from dunlinlug import interface as face
from dunlinlug.guard import Pin, PinFault
from dunlinlug.net.http import Reply, Request
from dunlinlug.operators import words
from dunlinlug.operators.board import Board, Refused

SHORTEST = 16  # characters of a token: fewer can be tried out


class TokenFault(ValueError):
    """A token file that cannot be used; the text says why."""


def read_token(path: Path) -> str:
    """The token: one line of a file that only its owner may read. Raises TokenFault."""
    try:
        with path.open(encoding="utf-8") as file:
            mode, token = os.fstat(file.fileno()).st_mode, file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFault(f"{path}: cannot be read: {error}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise TokenFault(f"{path}: others may read it; only its owner should (chmod 600)")
    if len(token) < SHORTEST or not token.isascii() or len(token.split()) != 1:
        raise TokenFault(
            f"{path}: a token is one word of at least {SHORTEST} letters, figures and signs"
        )
    return token


def _fault(status: int, said: str, **more: Any) -> Reply:
    return Reply.json({"error": said, **more}, status)


class Fleet(Protocol):
    """What a member lets operators see and do; what can't be done raises ValueError, saying why."""

    def state(self) -> dict[str, Any]: ...

    async def hand_over(self, to: str) -> None: ...

    def enrol(self, member: str, on: bool) -> None: ...


class Members(Protocol):
    """What a manager that knows others lets operators see and do; what can't be done raises ValueError."""

    def state(self) -> dict[str, Any]: ...

    def bar(self, name: str, on: bool) -> None: ...


class Owners(Protocol):
    """What a manager that owns work among others lets operators see and do; what can't be done raises ValueError."""

    def state(self) -> dict[str, Any]: ...

    def move(self, piece: str, to: str) -> None: ...


class Shared(Protocol):
    """Pins of the whole fleet: `decides` raises ValueError where another manager does."""

    def decides(self, product: str) -> None: ...

    def changed(self, product: str) -> None: ...


class Office:
    """`show` gives the tables of a product (or of all) as plain values; `fleet` is None for a manager alone."""

    fleet: "Fleet | None" = None
    members: "Members | None" = None
    owners: "Owners | None" = None
    shared: "Shared | None" = None

    def __init__(
        self,
        token: str,
        products: tuple[face.Product, ...],
        board: Board,
        show: Callable[[], list[dict[str, Any]]],
        health: Callable[[], dict[str, Any]],
    ) -> None:
        self.token, self.products, self.board, self.show, self.health = (
            token,
            products,
            board,
            show,
            health,
        )
        self.names = [product.name for product in products]

    def _known(self, request: Request) -> bool:
        given = request.headers.get("authorization", "")
        return hmac.compare_digest(given.encode(), f"Bearer {self.token}".encode())

    async def answer(self, request: Request) -> Reply:
        """One request; a mistake of the caller's is an answer, never an end of the connection."""
        if (request.method, request.path) == ("GET", "/health"):
            return Reply.json(self.health())
        if not self._known(request):
            return _fault(401, "no token, or not the right one: say authorization: Bearer TOKEN")
        try:
            return await self._serve(request, trio.current_time())
        except (words.WordFault, PinFault) as fault:
            return _fault(400, str(fault))
        except Refused as refused:
            return _fault(
                409,
                "the guard refuses it",
                refusals=[words.refusal_said(r) for r in refused.refusals[:20]],
            )

    async def _serve(self, request: Request, now: float) -> Reply:
        match request.method, request.path.strip("/").split("/"):
            case method, ["members", *rest]:
                return self._members(method, rest)
            case method, ["work", *rest]:
                return self._work(method, rest, request.body)
            case method, ["fleet", *rest]:
                return await self._fleet(method, rest, request.body)
            case method, _ if (
                method != "GET" and self.fleet is not None and not self.fleet.state()["leads"]
            ):
                return _fault(
                    503,
                    f"another member leads: {self.fleet.state()['master'] or 'nobody at the moment'}",
                )
            case "GET", ["tables"]:
                return self._tables(unquote(request.query.get("product", "")))
            case "POST", ["pins", "propose"]:
                refusals, cautions = self.board.propose(
                    now, words.read_pin(request.body, self.products, now)
                )
                return Reply.json(
                    {
                        "passes": not refusals,
                        "cautions": cautions,
                        "refusals": [words.refusal_said(r) for r in refusals[:20]],
                    }
                )
            case "PUT", ["pins"]:
                return self._pin(words.read_pin(request.body, self.products, now), now)
            case "DELETE", ["pins", name]:
                return self._unpin(unquote(name), now)
            case _, ["tables"] | ["pins"] | ["pins", _]:
                return _fault(405, f"{request.method} is not served at {request.path}")
        return _fault(404, f"nothing at {request.path}")

    async def _fleet(self, method: str, rest: list[str], body: bytes) -> Reply:
        if self.fleet is None:
            return _fault(404, "this manager stands alone: its file has no [succession]")
        try:
            match method, rest:
                case "GET", []:
                    return Reply.json(self.fleet.state())
                case "POST", ["hand-over"]:
                    await self.fleet.hand_over(words.read_member(body))
                    return Reply.json(self.fleet.state())
                case "PUT" | "DELETE", ["members", name]:
                    self.fleet.enrol(unquote(name), method == "PUT")
                    return Reply.json(self.fleet.state())
        except words.WordFault:
            raise
        except ValueError as fault:
            return _fault(409, str(fault), master=self.fleet.state()["master"])
        return _fault(405, f"{method} is not served there")

    def _members(self, method: str, rest: list[str]) -> Reply:
        if self.members is None:
            return _fault(404, "this manager knows of no others: its file has no [members]")
        match method, rest:
            case "GET", []:
                return Reply.json(self.members.state())
            case "PUT" | "DELETE", ["bars", name]:
                try:
                    self.members.bar(unquote(name), method == "PUT")
                except ValueError as fault:
                    return _fault(409, str(fault))
                return Reply.json(self.members.state())
        return _fault(405, f"{method} is not served there")

    def _work(self, method: str, rest: list[str], body: bytes) -> Reply:
        if self.owners is None:
            return _fault(
                404, "this manager owns no work among others: its file has no [owner] on = yes"
            )
        match method, rest:
            case "GET", []:
                return Reply.json(self.owners.state())
            case "POST", [piece]:
                try:
                    self.owners.move(unquote(piece), words.read_member(body))
                except words.WordFault:
                    raise
                except ValueError as fault:
                    return _fault(409, str(fault))
                return Reply.json(self.owners.state())
        return _fault(405, f"{method} is not served there")

    def _tables(self, product: str) -> Reply:
        if product and product not in self.names:
            return _fault(404, f"unknown product {product!r}; known are {', '.join(self.names)}")
        return Reply.json([said for said in self.show() if product in ("", said["product"])])

    def _pin(self, pin: Pin, now: float) -> Reply:
        name = self.names[pin.product]
        try:
            if self.shared is not None:
                self.shared.decides(name)
            cautions = self.board.put(now, pin)
            if self.shared is not None:
                self.shared.changed(name)
        except PinFault:
            raise
        except ValueError as fault:
            return _fault(409, str(fault))
        return Reply.json({"pin": words.pin_said(pin, self.products, now), "cautions": cautions})

    def _unpin(self, name: str, now: float) -> Reply:
        if name not in self.names:
            return _fault(404, f"unknown product {name!r}; known are {', '.join(self.names)}")
        if self.shared is not None:
            try:
                self.shared.decides(name)
                ended = self.board.take(now, self.names.index(name))
                self.shared.changed(name)
            except ValueError as fault:
                return _fault(409, str(fault))
            return (
                Reply.json({"ended": name}) if ended else _fault(404, f"no pin stands for {name}")
            )
        if not self.board.take(now, self.names.index(name)):
            return _fault(404, f"no pin stands for {name}")
        return Reply.json({"ended": name})
