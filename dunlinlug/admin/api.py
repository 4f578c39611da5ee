"""The administration endpoint: authorization of requests, routing, and answers.

This module opens no socket; the manager serves `AdminApi.handle` on a loopback address.

    GET /health                        counters; the only request that needs no token
    GET /tables[?product=NAME]         the tables in use, by traffic class
    POST /pins/propose                 validate an override without activating it
    PUT /pins, DELETE /pins/NAME       activate an override, end an override
    GET /fleet                         the leader, its term, the last change, lag by member
    POST /fleet/hand-over              {"to": MEMBER}: transfer leadership without a gap in orders
    PUT, DELETE /fleet/members/NAME    add a voter, remove a voter
    GET /members                       the members of the fleet
    PUT, DELETE /members/bars/NAME     ban a member, lift the ban
    GET /work                          the owner of each task of the fleet
    POST /work/TASK                    {"to": MEMBER}: move a task; only at the coordinator
"""

import hmac
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import unquote

import msgspec
import trio

from dunlinlug.admin import requests, schemas
from dunlinlug.admin.interfaces import (
    LeadershipAdmin,
    MembershipAdmin,
    OverrideCoordinator,
    OwnershipAdmin,
)
from dunlinlug.admin.override_registry import OverrideRegistry, OverrideRejectedError
from dunlinlug.admin.token import TokenFileError, read_token
from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard import Override, OverrideError
from dunlinlug.net.http import Request, Response

__all__ = ["AdminApi", "TokenFileError", "read_token"]


class AdminApi:
    """Answers operators' requests.

    Attributes:
        token: The bearer token that requests must have.
        overrides: The operator overrides of this manager.
        leadership, membership, ownership, coordinator: The parts of a manager that is a member of a
            fleet; None for each part that is not configured.
    """

    def __init__(
        self,
        token: str,
        traffic_classes: tuple[TrafficClass, ...],
        overrides: OverrideRegistry,
        list_tables: Callable[[], Sequence[Mapping[str, object]]],
        get_health: Callable[[], Mapping[str, object]],
    ) -> None:
        """Create the endpoint of a manager.

        Args:
            token: The bearer token that requests must have.
            traffic_classes: In the order of their indexes.
            overrides: The operator overrides of this manager.
            list_tables: Returns the answer to `GET /tables`, one item for each traffic class with
                the fields of `schemas.TrafficClassStatus`.
            get_health: Returns the answer to `GET /health`.
        """
        self.token = token
        self.traffic_classes = traffic_classes
        self.overrides = overrides
        self.list_tables = list_tables
        self.get_health = get_health
        self.traffic_class_names = [traffic_class.name for traffic_class in traffic_classes]
        self.leadership: LeadershipAdmin | None = None
        self.membership: MembershipAdmin | None = None
        self.ownership: OwnershipAdmin | None = None
        self.coordinator: OverrideCoordinator | None = None

    def register_fleet(
        self,
        leadership: LeadershipAdmin | None,
        membership: MembershipAdmin | None,
        ownership: OwnershipAdmin | None,
        coordinator: OverrideCoordinator | None,
    ) -> None:
        """Serve requests to these parts of a fleet member; None for a part not configured."""
        self.leadership = leadership
        self.membership = membership
        self.ownership = ownership
        self.coordinator = coordinator

    def replace_token(self, token: str) -> None:
        """Accept this token from now on, and the previous one no longer."""
        self.token = token

    def is_authorized(self, request: Request) -> bool:
        """Return whether a request has the token.

        Tokens are compared in constant time, so that timing does not reveal them byte by byte.
        """
        authorization = request.headers.get("authorization", "")
        return hmac.compare_digest(authorization.encode(), f"Bearer {self.token}".encode())

    def check_token(self, request: Request) -> Response | None:
        """Return the answer to a request without the token that it needs, else None.

        The body is not read, so that it need not have been received.
        """
        if _needs_no_token(request) or self.is_authorized(request):
            return None
        return _error_response(
            401, "no token, or not the right one: say authorization: Bearer TOKEN"
        )

    async def handle(self, request: Request) -> Response:
        """Answer one request; an invalid one gets an error answer and keeps the connection open."""
        if _needs_no_token(request):
            return Response.json(self.get_health())
        rejection = self.check_token(request)
        if rejection is not None:
            return rejection
        try:
            return await self._route(request, trio.current_time())
        except (requests.InvalidRequestError, OverrideError) as error:
            return _error_response(400, str(error))
        except OverrideRejectedError as error:
            reports = schemas.rejection_reports(error.rejections)
            return _error_response(
                409, "the guard refuses it", refusals=msgspec.to_builtins(reports)
            )

    async def _route(self, request: Request, now: float) -> Response:
        segments = request.path.strip("/").split("/")
        subpath = segments[1:]
        if segments[0] == "members":
            return self._handle_members(request.method, subpath)
        if segments[0] == "work":
            return self._handle_work(request.method, subpath, request.body)
        if segments[0] == "fleet":
            return await self._handle_fleet(request.method, subpath, request.body)
        if request.method != "GET" and self.leadership is not None:
            status = self.leadership.describe()
            if not status["leads"]:
                leader = status["master"] or "nobody at the moment"
                return _error_response(503, f"another member leads: {leader}")
        return self._handle_tables_and_overrides(request, segments, now)

    def _handle_tables_and_overrides(
        self, request: Request, segments: list[str], now: float
    ) -> Response:
        match request.method, segments:
            case "GET", ["tables"]:
                return self._list_tables(unquote(request.query.get("product", "")))
            case "POST", ["pins", "propose"]:
                return self._propose_override(self._parse_override(request, now), now)
            case "PUT", ["pins"]:
                return self._activate_override(self._parse_override(request, now), now)
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
                    pass
                case "POST", ["hand-over"]:
                    await self.leadership.transfer_leadership(requests.parse_member(body))
                case "PUT" | "DELETE", ["members", name]:
                    self.leadership.change_voter(unquote(name), method == "PUT")
                case _:
                    return _error_response(405, f"{method} is not served there")
        except requests.InvalidRequestError:
            raise
        except ValueError as error:
            return _error_response(409, str(error), master=self.leadership.describe()["master"])
        return Response.json(self.leadership.describe())

    def _handle_members(self, method: str, subpath: list[str]) -> Response:
        if self.membership is None:
            return _error_response(
                404, "this manager knows of no others: its file has no [members]"
            )
        try:
            match method, subpath:
                case "GET", []:
                    pass
                case "PUT" | "DELETE", ["bars", name]:
                    self.membership.set_banned(unquote(name), method == "PUT")
                case _:
                    return _error_response(405, f"{method} is not served there")
        except ValueError as error:
            return _error_response(409, str(error))
        return Response.json(self.membership.describe())

    def _handle_work(self, method: str, subpath: list[str], body: bytes) -> Response:
        if self.ownership is None:
            return _error_response(
                404, "this manager owns no work among others: its file has no [owner] on = yes"
            )
        try:
            match method, subpath:
                case "GET", []:
                    pass
                case "POST", [task]:
                    self.ownership.move_task(unquote(task), requests.parse_member(body))
                case _:
                    return _error_response(405, f"{method} is not served there")
        except requests.InvalidRequestError:
            raise
        except ValueError as error:
            return _error_response(409, str(error))
        return Response.json(self.ownership.describe())

    def _list_tables(self, traffic_class: str) -> Response:
        if traffic_class and traffic_class not in self.traffic_class_names:
            return self._unknown_traffic_class(traffic_class)
        return Response.json(
            [tables for tables in self.list_tables() if traffic_class in ("", tables["product"])]
        )

    def _parse_override(self, request: Request, now: float) -> Override:
        return requests.parse_override(request.body, self.traffic_classes, now)

    def _propose_override(self, override: Override, now: float) -> Response:
        evaluation = self.overrides.propose(now, override)
        answer = schemas.ProposalAnswer(
            is_valid=not evaluation.rejections,
            warnings=evaluation.warnings,
            rejections=schemas.rejection_reports(evaluation.rejections),
        )
        return Response.json(msgspec.to_builtins(answer))

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
        status = schemas.override_status(override, self.traffic_classes, now)
        answer = schemas.ActivationAnswer(override=status, warnings=warnings)
        return Response.json(msgspec.to_builtins(answer))

    def _end_override(self, name: str, now: float) -> Response:
        if name not in self.traffic_class_names:
            return self._unknown_traffic_class(name)
        try:
            if self.coordinator is not None:
                self.coordinator.require_ownership(name)
            was_active = self.overrides.end(now, self.traffic_class_names.index(name))
            if self.coordinator is not None:
                self.coordinator.publish(name)
        except ValueError as error:
            return _error_response(409, str(error))
        if not was_active:
            return _error_response(404, f"no pin stands for {name}")
        return Response.json(msgspec.to_builtins(schemas.EndAnswer(traffic_class=name)))

    def _unknown_traffic_class(self, name: str) -> Response:
        return _error_response(
            404, f"unknown product {name!r}; known are {', '.join(self.traffic_class_names)}"
        )


def _needs_no_token(request: Request) -> bool:
    return (request.method, request.path) == ("GET", "/health")


def _error_response(status: int, message: str, **details: object) -> Response:
    return Response.json({"error": message, **details}, status)
