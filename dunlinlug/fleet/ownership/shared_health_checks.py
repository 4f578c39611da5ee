"""Probes for the fleet over what owns them: wishes to owners, one probe for all, the result to
everybody.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.fleet.ownership import health_check_assignment
from dunlinlug.fleet.ownership.health_check_assignment import HealthCheckResult, SharedHealthChecks
from dunlinlug.fleet.ownership.messages import Effect, WorkRequest
from dunlinlug.fleet.ownership.service import Ownership

# seconds between looks at wishes that nobody answers: a part of a probe's time limit
POLL_INTERVAL = 0.1


class HealthCheckBroadcast(msgspec.Struct, frozen=True, array_like=True):
    """A result on its way: `age` seconds old as it left."""

    worker: str
    healthy: bool
    result: str
    duration: float
    age: float


class HealthCheckCoordinator:
    """`probe` makes one probe and ends in a `Probed` given to `done`; `tell` is the module's ear."""

    def __init__(
        self,
        ownership: Ownership,
        timeout: float,
        check: Callable[[str], Awaitable[None]],
        submit: Callable[[Event], None],
        start_task: Callable[..., Any],
    ) -> None:
        self.ownership = ownership
        self.check = check
        self.submit = submit
        self.start_task = start_task
        self.shared_checks = SharedHealthChecks(timeout)
        self.checks_started = 0
        ownership.request_handlers["probe"], ownership.executors["probe"] = (
            self._handle_request,
            self._handle_result,
        )

    async def run(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL)
            members = len(self.ownership.protocol.log.voter_set.members)
            for worker in self.shared_checks.overdue(self.ownership.clock(), members):
                self._start_check(worker)

    def request(self, worker: str) -> None:
        """Our module orders a probe."""
        fresh_result = self.shared_checks.request(self.ownership.clock(), worker)
        if fresh_result is not None:
            self.submit(
                HealthCheckCompleted(
                    worker, fresh_result.healthy, fresh_result.result, fresh_result.duration
                )
            )
        else:
            self.ownership.request_work(health_check_assignment.task_of(worker), worker.encode())

    def _handle_request(self, request: WorkRequest) -> None:
        worker = request.body.decode(errors="replace")
        if self.ownership.held_token(
            health_check_assignment.task_of(worker)
        ) is None or request.task != health_check_assignment.task_of(worker):
            return  # not ours any more, or for the moment: who wishes it looks after itself
        decision = self.shared_checks.request_as_owner(self.ownership.clock(), worker)
        if isinstance(decision, HealthCheckResult):
            self._broadcast(decision)
        elif decision:
            self._start_check(worker)

    def _start_check(self, worker: str) -> None:
        self.checks_started += 1
        self.start_task(self.check, worker)

    def check_completed(self, event: Event) -> None:
        """A probe of ours has ended."""
        assert isinstance(event, HealthCheckCompleted)
        result = HealthCheckResult(
            event.worker, event.healthy, event.result, event.latency, self.ownership.clock()
        )
        if self.shared_checks.record_own_result(result):
            self.submit(event)
        self._broadcast(result)

    def _broadcast(self, result: HealthCheckResult) -> None:
        body = msgspec.msgpack.encode(
            HealthCheckBroadcast(
                result.worker,
                result.healthy,
                result.result,
                result.duration,
                self.ownership.clock() - result.completed_at,
            )
        )
        for member in self.ownership.other_members():
            self.ownership.send_effect(member, health_check_assignment.task_of(result.worker), body)

    def _handle_result(self, effect: Effect) -> None:
        """Another's result. What it says is a fact with an age, which may come twice and do no
        harm.
        """
        try:
            broadcast = msgspec.msgpack.decode(effect.body, type=HealthCheckBroadcast)
        except msgspec.DecodeError:
            return
        if broadcast.age > health_check_assignment.MAX_RESULT_AGE:
            return
        now = self.ownership.clock()
        result = HealthCheckResult(
            broadcast.worker,
            broadcast.healthy,
            broadcast.result,
            broadcast.duration,
            now - broadcast.age,
        )
        awaited = self.shared_checks.record_remote_result(
            result, now, len(self.ownership.protocol.log.voter_set.members)
        )
        if awaited is None:
            self._start_check(broadcast.worker)
        elif awaited:
            self.submit(
                HealthCheckCompleted(
                    broadcast.worker, broadcast.healthy, broadcast.result, broadcast.duration
                )
            )
