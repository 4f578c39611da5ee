"""The endpoint's requests and answers: who may ask, what may be asked. No socket here; the manager
serves it.

GET /health                     no token needed GET /tables[?product=NAME]      what stands, by
product POST /pins/propose              what the guard would say of a pin; changes nothing PUT
/pins, DELETE /pins/NAME    set a pin, end one GET /fleet                      who leads, since when
and why, terms, who lags POST /fleet/hand-over           {"to": MEMBER}: another is to lead, without
a gap in orders PUT, DELETE /fleet/members/NAME one more member, one fewer GET /members
who is there; PUT, DELETE /members/bars/NAME GET /work                       who owns work of the
fleet POST /work/PIECE                {"to": MEMBER}: another is to own it; at the steward
"""

import hmac
import os
import stat
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import unquote

import trio

from dunlinlug.admin import schemas
from dunlinlug.admin.override_registry import OverrideRegistry, OverrideRejectedError
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.errors import DunlinlugError
from dunlinlug.guard import Override, OverrideError
from dunlinlug.net.http import Request, Response

MIN_TOKEN_LENGTH = 16  # characters of a token: fewer can be tried out


class TokenFileError(DunlinlugError, ValueError):
    """A token file that cannot be used; the text says why."""


def read_token(path: Path) -> str:
    """The token: one line of a file that only its owner may read. Raises TokenFault."""
    try:
        with path.open(encoding="utf-8") as file:
            mode = os.fstat(file.fileno()).st_mode
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFileError(f"{path}: cannot be read: {error}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise TokenFileError(f"{path}: others may read it; only its owner should (chmod 600)")
    if len(token) < MIN_TOKEN_LENGTH or not token.isascii() or len(token.split()) != 1:
        raise TokenFileError(
            f"{path}: a token is one word of at least {MIN_TOKEN_LENGTH} letters, figures and signs"
        )
    return token


def _error_response(status: int, message: str, **details: Any) -> Response:
    return Response.json({"error": message, **details}, status)


class LeadershipAdmin(Protocol):
    """What a member lets operators see and do; what can't be done raises ValueError, saying why."""

    def describe(self) -> dict[str, Any]: ...

    async def transfer_leadership(self, target: str) -> None: ...

    def change_voter(self, member: str, add: bool) -> None: ...


class MembershipAdmin(Protocol):
    """What a manager that knows others lets operators see and do; what can't be done raises
    ValueError.
    """

    def describe(self) -> dict[str, Any]: ...

    def set_banned(self, name: str, banned: bool) -> None: ...


class OwnershipAdmin(Protocol):
    """What a manager that owns work among others lets operators see and do; what can't be done
    raises ValueError.
    """

    def describe(self) -> dict[str, Any]: ...

    def move_task(self, task: str, target: str) -> None: ...


class OverrideCoordinator(Protocol):
    """Pins of the whole fleet: `decides` raises ValueError where another manager does."""

    def require_ownership(self, traffic_class: str) -> None: ...

    def publish(self, traffic_class: str) -> None: ...


class AdminApi:
    """`show` gives the tables of a product (or of all) as plain values; `fleet` is None for a
    manager alone.
    """

    leadership: "LeadershipAdmin | None" = None
    membership: "MembershipAdmin | None" = None
    ownership: "OwnershipAdmin | None" = None
    coordinator: "OverrideCoordinator | None" = None

    def __init__(
        self,
        token: str,
        traffic_classes: tuple[TrafficClass, ...],
        overrides: OverrideRegistry,
        list_tables: Callable[[], Sequence[Mapping[str, Any]]],
        get_health: Callable[[], Mapping[str, Any]],
    ) -> None:
        self.token = token
        self.traffic_classes = traffic_classes
        self.overrides = overrides
        self.list_tables = list_tables
        self.get_health = get_health
        self.traffic_class_names = [traffic_class.name for traffic_class in traffic_classes]

    def register_fleet(
        self,
        leadership: LeadershipAdmin | None,
        membership: MembershipAdmin | None,
        ownership: OwnershipAdmin | None,
        coordinator: OverrideCoordinator | None,
    ) -> None:
        """Serve what these parts of a manager among others offer; None for a part it has not."""
        self.leadership = leadership
        self.membership = membership
        self.ownership = ownership
        self.coordinator = coordinator

    def replace_token(self, token: str) -> None:
        """Accept this token from now on, and no longer the one before."""
        self.token = token

    def _is_authorized(self, request: Request) -> bool:
        authorization = request.headers.get("authorization", "")
        return hmac.compare_digest(authorization.encode(), f"Bearer {self.token}".encode())

    async def handle(self, request: Request) -> Response:
        """One request; a mistake of the caller's is an answer, never an end of the connection."""
        if (request.method, request.path) == ("GET", "/health"):
            return Response.json(self.get_health())
        if not self._is_authorized(request):
            return _error_response(
                401, "no token, or not the right one: say authorization: Bearer TOKEN"
            )
        try:
            return await self._route(request, trio.current_time())
        except (schemas.InvalidRequestError, OverrideError) as error:
            return _error_response(400, str(error))
        except OverrideRejectedError as rejected:
            return _error_response(
                409,
                "the guard refuses it",
                refusals=[
                    schemas.rejection_to_json(rejection) for rejection in rejected.rejections[:20]
                ],
            )

    async def _route(self, request: Request, now: float) -> Response:
        match request.method, request.path.strip("/").split("/"):
            case method, ["members", *subpath]:
                return self._handle_members(method, subpath)
            case method, ["work", *subpath]:
                return self._handle_work(method, subpath, request.body)
            case method, ["fleet", *subpath]:
                return await self._handle_fleet(method, subpath, request.body)
            case method, _ if (
                method != "GET"
                and self.leadership is not None
                and not self.leadership.describe()["leads"]
            ):
                return _error_response(
                    503,
                    f"another member leads: {self.leadership.describe()['master'] or 'nobody at the moment'}",
                )
            case "GET", ["tables"]:
                return self._handle_tables(unquote(request.query.get("product", "")))
            case "POST", ["pins", "propose"]:
                rejections, warnings = self.overrides.propose(
                    now, schemas.parse_override(request.body, self.traffic_classes, now)
                )
                return Response.json(
                    {
                        "passes": not rejections,
                        "cautions": warnings,
                        "refusals": [
                            schemas.rejection_to_json(rejection) for rejection in rejections[:20]
                        ],
                    }
                )
            case "PUT", ["pins"]:
                return self._activate_override(
                    schemas.parse_override(request.body, self.traffic_classes, now), now
                )
            case "DELETE", ["pins", name]:
                return self._end_override(unquote(name), now)
            case _, ["tables"] | ["pins"] | ["pins", _]:
                return _error_response(405, f"{request.method} is not served at {request.path}")
        return _error_response(404, f"nothing at {request.path}")

    async def _handle_fleet(self, method: str, subpath: list[str], body: bytes) -> Response:
        if self.leadership is None:
            return _error_response(404, "this manager stands alone: its file has no [succession]")
        try:
            match method, subpath:
                case "GET", []:
                    return Response.json(self.leadership.describe())
                case "POST", ["hand-over"]:
                    await self.leadership.transfer_leadership(schemas.parse_member(body))
                    return Response.json(self.leadership.describe())
                case "PUT" | "DELETE", ["members", name]:
                    self.leadership.change_voter(unquote(name), method == "PUT")
                    return Response.json(self.leadership.describe())
        except schemas.InvalidRequestError:
            raise
        except ValueError as error:
            return _error_response(409, str(error), master=self.leadership.describe()["master"])
        return _error_response(405, f"{method} is not served there")

    def _handle_members(self, method: str, subpath: list[str]) -> Response:
        if self.membership is None:
            return _error_response(
                404, "this manager knows of no others: its file has no [members]"
            )
        match method, subpath:
            case "GET", []:
                return Response.json(self.membership.describe())
            case "PUT" | "DELETE", ["bars", name]:
                try:
                    self.membership.set_banned(unquote(name), method == "PUT")
                except ValueError as error:
                    return _error_response(409, str(error))
                return Response.json(self.membership.describe())
        return _error_response(405, f"{method} is not served there")

    def _handle_work(self, method: str, subpath: list[str], body: bytes) -> Response:
        if self.ownership is None:
            return _error_response(
                404, "this manager owns no work among others: its file has no [owner] on = yes"
            )
        match method, subpath:
            case "GET", []:
                return Response.json(self.ownership.describe())
            case "POST", [task]:
                try:
                    self.ownership.move_task(unquote(task), schemas.parse_member(body))
                except schemas.InvalidRequestError:
                    raise
                except ValueError as error:
                    return _error_response(409, str(error))
                return Response.json(self.ownership.describe())
        return _error_response(405, f"{method} is not served there")

    def _handle_tables(self, traffic_class: str) -> Response:
        if traffic_class and traffic_class not in self.traffic_class_names:
            return _error_response(
                404,
                f"unknown product {traffic_class!r}; known are {', '.join(self.traffic_class_names)}",
            )
        return Response.json(
            [table for table in self.list_tables() if traffic_class in ("", table["product"])]
        )

    def _activate_override(self, override: Override, now: float) -> Response:
        name = self.traffic_class_names[override.traffic_class]
        try:
            if self.coordinator is not None:
                self.coordinator.require_ownership(name)
            warnings = self.overrides.activate(now, override)
            if self.coordinator is not None:
                self.coordinator.publish(name)
        except OverrideError:
            raise
        except ValueError as error:
            return _error_response(409, str(error))
        return Response.json(
            {
                "pin": schemas.override_to_json(override, self.traffic_classes, now),
                "cautions": warnings,
            }
        )

    def _end_override(self, name: str, now: float) -> Response:
        if name not in self.traffic_class_names:
            return _error_response(
                404, f"unknown product {name!r}; known are {', '.join(self.traffic_class_names)}"
            )
        if self.coordinator is not None:
            try:
                self.coordinator.require_ownership(name)
                ended = self.overrides.end(now, self.traffic_class_names.index(name))
                self.coordinator.publish(name)
            except ValueError as error:
                return _error_response(409, str(error))
            return (
                Response.json({"ended": name})
                if ended
                else _error_response(404, f"no pin stands for {name}")
            )
        if not self.overrides.end(now, self.traffic_class_names.index(name)):
            return _error_response(404, f"no pin stands for {name}")
        return Response.json({"ended": name})
