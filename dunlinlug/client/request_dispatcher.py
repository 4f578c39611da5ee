"""Dispatches a request by the current tables: admission, weighted choice of a worker, retries.

The caller makes the attempts; this module decides whether, where and how often to attempt.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.xds.encoding import RetryPolicy
from dunlinlug.xds.subscriber import ProxyState

MAX_RETRIES = (0, 1, 1, 2)  # attempts beyond the first, by the mode of the retry policy
RETRY_IF_NOT_EXECUTED = 1  # the mode that retries only if the request certainly did not run

# Reasons why a request was not attempted.
NO_TABLE = "starting"
NOT_ADMITTED = "level"
NO_ENDPOINT = "nobody"


@dataclass(frozen=True)
class AttemptResult:
    """The result of one attempt.

    Attributes:
        succeeded: Whether the worker executed the request successfully.
        may_have_run: Whether the worker may have executed the request, regardless of its response.
        load_report: The worker's own load metrics, from its response.
        response: The response, for the caller.
    """

    succeeded: bool
    may_have_run: bool
    load_report: dict[str, float] = field(default_factory=dict)
    response: object = None


@dataclass(frozen=True)
class RequestResult:
    """The result of a request with all its attempts.

    Attributes:
        succeeded: Whether an attempt succeeded.
        not_executed: Whether no worker can have executed the request, so that it is safe to repeat.
        reason: Why it was not attempted (`NO_TABLE`, `NOT_ADMITTED`, `NO_ENDPOINT`), or empty.
        last_attempt: The result of the last attempt; None if there was none.
    """

    succeeded: bool
    not_executed: bool
    reason: str = ""
    last_attempt: AttemptResult | None = None


# Makes one attempt. Arguments: the worker, the seconds left, and the attempt's number from 0.
AttemptFunction = Callable[[str, float, int], Awaitable[AttemptResult]]


class RequestDispatcher:
    """Dispatches requests by a proxy's tables, and records the results for its load reports."""

    def __init__(
        self, proxy_state: ProxyState, accumulator: ReportAccumulator, rng: Random
    ) -> None:
        self.proxy_state = proxy_state
        self.accumulator = accumulator
        self.rng = rng

    async def dispatch(
        self, traffic_class: str, deadline: float, attempt: AttemptFunction
    ) -> RequestResult:
        """Send one request; it is abandoned at `deadline` (trio's clock)."""
        route = self.proxy_state.routes.get(traffic_class)
        if route is None:
            return RequestResult(False, True, NO_TABLE)
        if self.rng.random() >= self.proxy_state.admitted_fraction(traffic_class):
            self.accumulator.record_request(traffic_class, False)
            return RequestResult(False, True, NOT_ADMITTED)
        result = await self._attempt_all(traffic_class, route[1], deadline, attempt)
        self.accumulator.record_request(traffic_class, not result.succeeded)
        return result

    async def _attempt_all(
        self,
        traffic_class: str,
        retry_policy: RetryPolicy,
        deadline: float,
        attempt: AttemptFunction,
    ) -> RequestResult:
        """Make attempts at one worker after another, within the retry policy and the deadline."""
        not_executed = True
        last_attempt: AttemptResult | None = None
        attempted: set[str] = set()
        for attempt_number in range(1 + MAX_RETRIES[retry_policy.mode]):
            worker = self._pick_worker(traffic_class, attempted)
            if not worker or trio.current_time() >= deadline:
                break
            attempted.add(worker)
            time_limit = self._time_limit(retry_policy, deadline)
            last_attempt = await self._attempt(worker, time_limit, attempt_number, attempt)
            not_executed = not_executed and not last_attempt.may_have_run
            if last_attempt.succeeded:
                return RequestResult(True, False, "", last_attempt)
            # A request that must not be repeated could take effect twice if it were retried here.
            if retry_policy.mode == RETRY_IF_NOT_EXECUTED and last_attempt.may_have_run:
                break
        reason = NO_ENDPOINT if last_attempt is None else ""
        return RequestResult(False, not_executed, reason, last_attempt)

    def _pick_worker(self, traffic_class: str, attempted: set[str]) -> str:
        """Draw a worker by weight among those not attempted yet; empty if there is none."""
        weights = {
            worker: weight
            for worker, weight in self.proxy_state.usable_weights(traffic_class).items()
            if worker not in attempted
        }
        if not weights:
            return ""
        return self.rng.choices(list(weights), list(weights.values()))[0]

    @staticmethod
    def _time_limit(retry_policy: RetryPolicy, deadline: float) -> float:
        """Time limit in seconds for an attempt that starts now."""
        remaining = deadline - trio.current_time()
        return min(remaining, retry_policy.attempt_timeout or remaining)

    async def _attempt(
        self, worker: str, time_limit: float, attempt_number: int, attempt: AttemptFunction
    ) -> AttemptResult:
        """Make one attempt; an attempt that exceeds its time limit may have been executed."""
        started = trio.current_time()
        result = AttemptResult(succeeded=False, may_have_run=True)
        with trio.move_on_after(time_limit):
            result = await attempt(worker, time_limit, attempt_number)
        latency = trio.current_time() - started
        self.accumulator.record_attempt(worker, result.succeeded, latency, result.load_report)
        return result
