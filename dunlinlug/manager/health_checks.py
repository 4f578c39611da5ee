"""Active health checks over HTTP with limited concurrency; each result is submitted as an event."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from dunlinlug.bounded_values import (
    JsonDecoder,
    LoadMetrics,
    OutOfBoundsError,
    require_bounds,
)
from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.net import http

# A load report has a few hundred bytes. The limit keeps endless answers to concurrent checks from
# filling the memory.
MAX_REPORT_BYTES = 2**16

_report_decoder = JsonDecoder[dict[str, float]](LoadMetrics)


class HealthCheckResult(StrEnum):
    """The result of a health check; the values are those in `HealthCheckCompleted`."""

    OK = "ok"
    OVERLOADED = "full"
    ERROR = "error"
    RESET = "reset"
    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"


@dataclass(frozen=True)
class _Answer:
    result: HealthCheckResult
    load: dict[str, float] = field(default_factory=dict)


def address_from_id(worker: str) -> tuple[str, int]:
    """Return the host and port of a worker whose id is its address."""
    host, _, port = worker.rpartition(":")
    return host, int(port)


def parse_json_report(body: bytes) -> dict[str, float]:
    """Return a load report's metrics by name.

    Raises OutOfBoundsError if the body is not a JSON object of metrics within their bounds.
    """
    return _report_decoder.decode(body or b"{}")


class HealthChecker:
    """Checks workers and submits a `HealthCheckCompleted` for each check.

    `timeout` is in seconds. `resolve_address` returns a worker's address or raises KeyError;
    `parse_report` returns the load report in an answer's body, or raises OutOfBoundsError.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one argument for each collaborator
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
        """Send results to `submit` from now on instead of the previous handler."""
        self.submit = submit

    async def check(self, worker: str) -> None:
        """Check one worker once; always submits one result."""
        async with self.limit:
            started_at = trio.current_time()
            answer = _Answer(HealthCheckResult.TIMEOUT)
            with trio.move_on_after(self.timeout):
                answer = await self._request(worker)
            self.submit(
                HealthCheckCompleted(
                    worker,
                    answer.result is HealthCheckResult.OK,
                    answer.result.value,
                    trio.current_time() - started_at,
                    answer.load,
                )
            )

    async def _request(self, worker: str) -> _Answer:
        try:
            client = http.Client(
                *self.resolve_address(worker),
                max_idle_connections=0,
                max_body_size=MAX_REPORT_BYTES,
            )
        except KeyError:
            return _Answer(HealthCheckResult.CONNECT_FAILED)
        try:
            reply = await client.request("GET", self.path)
        except http.HttpError as error:
            if error.request_sent:
                return _Answer(HealthCheckResult.RESET)
            return _Answer(HealthCheckResult.CONNECT_FAILED)
        if reply.status == 503:
            return _Answer(HealthCheckResult.OVERLOADED)
        if reply.status != 200:
            return _Answer(HealthCheckResult.ERROR)
        return _Answer(HealthCheckResult.OK, self._read_load(reply.body))

    def _read_load(self, body: bytes) -> dict[str, float]:
        """Return the load report's metrics; none if the report is invalid."""
        try:
            load: dict[str, float] = require_bounds(self.parse_report(body), LoadMetrics)
        except OutOfBoundsError:
            return {}
        return load
