"""Probes by HTTP, so many at a time; what came of each goes to the module."""

import json
from collections.abc import Callable
from math import inf

import trio

from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.net import http

MAX_REPORT_BYTES = (
    2**16
)  # bytes of an answer: a report has some hundred. Danger: one without end, times those at once


def address_from_id(worker: str) -> tuple[str, int]:
    """Where a worker listens whose id is its address."""
    host, _, port = worker.rpartition(":")
    return host, int(port)


def parse_json_report(body: bytes) -> dict[str, float]:
    """Raises ValueError, TypeError or AttributeError."""
    return {str(metric): float(value) for metric, value in json.loads(body or b"{}").items()}


class HealthChecker:
    """`where` gives a worker's address, or raises KeyError; `read` its report from an answer's
    body.
    """

    def __init__(
        self,
        path: str,
        timeout: float,
        max_concurrent: int,
        submit: Callable[[Event], None],
        resolve_address: Callable[[str], tuple[str, int]] = address_from_id,
        parse_report: Callable[[bytes], dict[str, float]] = parse_json_report,
    ) -> None:
        self.path = path
        self.timeout = timeout
        self.submit = submit
        self.resolve_address = resolve_address
        self.parse_report = parse_report
        self.limit = trio.CapacityLimiter(max(max_concurrent, 1))

    def register_result_handler(self, submit: Callable[[Event], None]) -> None:
        """Send results to `submit` from now on, in place of where they went before."""
        self.submit = submit

    async def check(self, worker: str) -> None:
        """One probe of one worker; always ends in one `Probed`."""
        async with self.limit:
            started = trio.current_time()
            result = "timeout"
            load = dict[str, float]()
            with trio.move_on_after(self.timeout):
                result, load = await self._request(worker)
            self.submit(
                HealthCheckCompleted(
                    worker, result == "ok", result, trio.current_time() - started, load
                )
            )

    async def _request(self, worker: str) -> tuple[str, dict[str, float]]:
        try:
            client = http.Client(
                *self.resolve_address(worker),
                max_idle_connections=0,
                max_body_size=MAX_REPORT_BYTES,
            )
        except KeyError:
            return "connect_failed", {}
        try:
            reply = await client.request("GET", self.path)
        except http.HttpError as error:
            return ("reset" if error.request_sent else "connect_failed"), {}
        if reply.status == 503:
            return "full", {}
        if reply.status != 200:
            return "error", {}
        try:
            load = self.parse_report(reply.body)
        except (ValueError, AttributeError, TypeError):
            return "ok", {}
        return "ok", load if all(0.0 <= value < inf for value in load.values()) else {}
