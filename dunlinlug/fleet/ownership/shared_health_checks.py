"""Health checks shared by all managers: a worker's owner checks it and broadcasts the result."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from dunlinlug.bounded_values import Name, OutOfBoundsError, Seconds, decode_msgpack
from dunlinlug.decision.events import Event, HealthCheckCompleted
from dunlinlug.fleet.ownership.health_check_assignment import (
    MAX_RESULT_AGE,
    HealthCheckResult,
    OwnerAction,
    RemoteResultUse,
    SharedHealthChecks,
    task_of,
)
from dunlinlug.fleet.ownership.messages import Effect, WorkRequest
from dunlinlug.fleet.ownership.service import Ownership

TASK_KIND = "probe"
# Seconds between polls of unanswered requests. A delay of this process is noticed only where it
# outlasts a poll.
POLL_INTERVAL = 0.01


class HealthCheckBroadcast(msgspec.Struct, frozen=True, array_like=True):
    """A result that is sent to another member."""

    worker: Name
    healthy: bool
    result: Name
    duration: Seconds
    age: Seconds  # from the end of the check to the sending of this message


class HealthCheckCoordinator:
    """Routes the decision module's check orders to owners, and results back to the module.

    Attributes:
        check: Makes one health check and passes its result to `check_completed`.
        submit: Submits an event to the decision module.
        start_task: Starts a task in the manager's nursery.
        checks_started: The number of checks that this member started.
    """

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
        self.requested = trio.Event()  # set by the first request after a time without any
        self.first_requested_at = 0.0  # seconds on this member's clock
        ownership.handle_requests(TASK_KIND, self._handle_request)
        ownership.handle_unfenced_effects(TASK_KIND, self._handle_result)

    async def run(self) -> None:
        """Starts fallback checks for requests that no owner answers.

        Time in which this process did not run, or was busy, is not the owner's silence: results
        that arrived meanwhile have not been read yet.
        """
        while True:
            delay = await self._wait_for_poll()
            self.shared_checks.postpone_fallbacks(delay)
            members = self.ownership.member_count()
            for worker in self.shared_checks.overdue(self.ownership.clock(), members):
                self._start_check(worker)

    async def _wait_for_poll(self) -> float:
        """Waits until the next poll is due; returns by how many seconds this process is late.

        While there are no unanswered requests, the next poll is due with the first request.
        """
        if self.shared_checks.pending_requests:
            due_at = self.ownership.clock() + POLL_INTERVAL
            await trio.sleep(POLL_INTERVAL)
        else:
            self.requested = trio.Event()
            await self.requested.wait()
            due_at = self.first_requested_at
        return self.ownership.clock() - due_at

    def request(self, worker: str) -> None:
        """Handles a check order of the decision module."""
        result = self.shared_checks.request(self.ownership.clock(), worker)
        if result is not None:
            self.submit(_completed(result))
            return
        self._start_polling()
        self.ownership.request_work(task_of(worker), worker.encode())

    def _start_polling(self) -> None:
        if not self.requested.is_set():
            self.first_requested_at = self.ownership.clock()
            self.requested.set()

    def _handle_request(self, request: WorkRequest) -> None:
        """Handles a member's request to the owner of a worker's group.

        Ignored if this member does not own the task: the sender then makes a fallback check.
        """
        worker = request.body.decode(errors="replace")
        task = task_of(worker)
        if request.task != task or not self.ownership.is_assigned(task):
            return
        now = self.ownership.clock()
        if self.ownership.held_token(task) is not None:
            answer = self.shared_checks.request_as_owner(now, worker)
        else:
            members = self.ownership.member_count()
            answer = self.shared_checks.request_between_leases(now, worker, members)
        if isinstance(answer, HealthCheckResult):
            self._send_result(answer, [request.sender])
        elif answer is OwnerAction.START_CHECK:
            self._start_check(worker)

    def _start_check(self, worker: str) -> None:
        self.checks_started += 1
        self.start_task(self.check, worker)

    def check_completed(self, event: Event) -> None:
        """Handles the result of a check that this member made."""
        assert isinstance(event, HealthCheckCompleted)
        now = self.ownership.clock()
        result = HealthCheckResult(event.worker, event.healthy, event.result, event.latency, now)
        if self.shared_checks.record_own_result(result):
            self.submit(event)
        self._send_result(result, self.ownership.other_members())

    def _send_result(self, result: HealthCheckResult, recipients: list[str]) -> None:
        """Sends a result to other members, whether or not this member holds a lease.

        Only an owner sends a failed check: from others it would not save an own check.
        """
        task = task_of(result.worker)
        if not result.healthy and not self.ownership.is_assigned(task):
            return
        age = self.ownership.clock() - result.completed_at
        broadcast = HealthCheckBroadcast(
            result.worker, result.healthy, result.result, result.duration, age
        )
        body = msgspec.msgpack.encode(broadcast)
        for member in recipients:
            self.ownership.send_unfenced_effect(member, task, body)

    def _handle_result(self, effect: Effect) -> None:
        """Handles another member's result; handling the same result twice is harmless."""
        try:
            broadcast: HealthCheckBroadcast = decode_msgpack(effect.body, HealthCheckBroadcast)
        except OutOfBoundsError:
            return
        if broadcast.age > MAX_RESULT_AGE:
            return
        now = self.ownership.clock()
        result = HealthCheckResult(
            broadcast.worker,
            broadcast.healthy,
            broadcast.result,
            broadcast.duration,
            now - broadcast.age,
        )
        members = self.ownership.member_count()
        use = self.shared_checks.record_remote_result(result, now, members)
        if use is RemoteResultUse.CHECK_FIRST:
            self._start_check(result.worker)
        elif use is RemoteResultUse.SUBMIT:
            self.submit(_completed(result))


def _completed(result: HealthCheckResult) -> HealthCheckCompleted:
    return HealthCheckCompleted(result.worker, result.healthy, result.result, result.duration)
