"""One txn by the tables held: level, worker by weight, further tries as the way allows. The tries
are the caller's.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.xds.encoding import RetryPolicy
from dunlinlug.xds.subscriber import ProxyState

MAX_RETRIES = (0, 1, 1, 2)  # tries beyond the first by way of trying again


@dataclass(frozen=True)
class AttemptResult:
    """What came of one try: settled or not; whether the txn may have run there; the worker's own
    load report.
    """

    succeeded: bool
    may_have_run: bool
    load_report: dict[str, float] = field(default_factory=dict)
    response: object = None


@dataclass(frozen=True)
class RequestResult:
    """What came of a txn. `proof`: it surely ran nowhere, so that whoever asked may ask again.
    `why` if it was not even tried: starting (nothing is held yet), level (not let in), nobody
    (no worker may be used).
    """

    succeeded: bool
    not_executed: bool
    reason: str = ""
    last_attempt: AttemptResult | None = None


AttemptFunction = Callable[
    [str, float, int], Awaitable[AttemptResult]
]  # worker, seconds for this try, which try it is


class RequestDispatcher:
    def __init__(
        self, proxy_state: ProxyState, accumulator: ReportAccumulator, rng: Random
    ) -> None:
        self.proxy_state = proxy_state
        self.accumulator = accumulator
        self.rng = rng

    async def dispatch(
        self, traffic_class: str, deadline: float, attempt: AttemptFunction
    ) -> RequestResult:
        """At `ends` (trio's clock) it is given up, and what is known by then is told at once."""
        if traffic_class not in self.proxy_state.routes:
            return RequestResult(False, True, "starting")
        if self.rng.random() >= self.proxy_state.admitted_fraction(traffic_class):
            self.accumulator.record_request(traffic_class, False)
            return RequestResult(False, True, "level")
        not_executed = True
        last_attempt = None
        attempted: set[str] = set()
        retry_policy = self.proxy_state.routes[traffic_class][1]
        for attempt_number in range(1 + MAX_RETRIES[retry_policy.mode]):
            worker = self._pick_worker(traffic_class, attempted)
            if not worker or trio.current_time() >= deadline:
                break
            attempted.add(worker)
            last_attempt = await self._attempt(
                worker, retry_policy, attempt_number, deadline, attempt
            )
            not_executed = not_executed and not last_attempt.may_have_run
            # Danger: an effect twice. Way 1 goes on only with proof that this try was not begun.
            if last_attempt.succeeded or retry_policy.mode == 1 and last_attempt.may_have_run:
                break
        succeeded = last_attempt is not None and last_attempt.succeeded
        self.accumulator.record_request(traffic_class, not succeeded)
        return RequestResult(
            succeeded,
            not_executed and not succeeded,
            "" if last_attempt else "nobody",
            last_attempt,
        )

    def _pick_worker(self, traffic_class: str, attempted: set[str]) -> str:
        weights = {
            worker: weight
            for worker, weight in self.proxy_state.usable_weights(traffic_class).items()
            if worker not in attempted
        }
        return self.rng.choices(list(weights), list(weights.values()))[0] if weights else ""

    async def _attempt(
        self,
        worker: str,
        retry_policy: RetryPolicy,
        attempt_number: int,
        deadline: float,
        attempt: AttemptFunction,
    ) -> AttemptResult:
        # given up: it may have run
        started = trio.current_time()
        result = AttemptResult(False, True)
        remaining = min(deadline - started, retry_policy.attempt_timeout or deadline - started)
        with trio.move_on_after(remaining):
            result = await attempt(worker, remaining, attempt_number)
        self.accumulator.record_attempt(
            worker, result.succeeded, trio.current_time() - started, result.load_report
        )
        return result
