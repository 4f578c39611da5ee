"""Watches service discovery by blocking queries; submits changes and stores the endpoint list."""

from collections.abc import Callable
from dataclasses import replace

import trio

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, Event, UpdateType
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import INDEX_HEADER, MIN_QUERY_INTERVAL, BlockingQuery
from dunlinlug.errors import DunlinlugError
from dunlinlug.manager.start_times import StartTimes
from dunlinlug.net import http


class DiscoveryError(DunlinlugError):
    """Service discovery gave no answer or an invalid one; the message describes the fault."""


class EndpointWatcher:
    """Queries service discovery and submits `EndpointsUpdated` for each change.

    `timeout` is the time in seconds that an answer may take beyond the query's own wait.
    `clock_offset` returns the module's clock minus the wall clock, in seconds. `store_list` gets
    each list in encoded form, with start times in wall time.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - one argument for each collaborator
        self,
        client: http.Client,
        state: BlockingQuery,
        timeout: float,
        clock_offset: Callable[[], float],
        submit: Callable[[Event], None],
        store_list: Callable[[bytes], None],
        log_event: Callable[..., None],
    ) -> None:
        self.client = client
        self.state = state
        self.timeout = timeout
        self.clock_offset = clock_offset
        self.submit = submit
        self.store_list = store_list
        self.log_event = log_event
        self.last_list: dict[str, Endpoint] | None = None
        self.start_times = StartTimes()
        self.failing = False

    def forget_list(self) -> None:
        """Submit the next list as a snapshot instead of its changes."""
        self.last_list = None

    async def watch(self, retry_failures: bool) -> None:
        """Watch the list until cancelled.

        With `retry_failures` false, the first failure is submitted and ends the watch.
        """
        while True:
            try:
                await self._query_once()
            except DiscoveryError as error:
                if not self.failing:
                    self.log_event("discovery.failed", why=str(error))
                self.failing = True
                pause = self.state.next_backoff()
                if not retry_failures:
                    self.submit(EndpointsUpdated(UpdateType.FAILED))
                    return
                await trio.sleep(pause)

    async def list_endpoints(self) -> None:
        """Query the complete list once; a failure is submitted as an event."""
        self.state.index = 0
        try:
            await self._query_once()
        except DiscoveryError as error:
            self.log_event("discovery.failed", why=str(error))
            self.submit(EndpointsUpdated(UpdateType.FAILED))

    async def _query_once(self) -> None:
        reply = await self._request()
        try:
            workers, duplicates = entries.decode_workers(reply.body, 0.0)
            has_changed = self.state.record_index(reply.headers.get(INDEX_HEADER))
        except (entries.DiscoveryResponseError, ValueError) as error:
            raise DiscoveryError(str(error)) from None
        if self.failing:
            self.log_event("discovery.recovered")
        self.failing = False
        if duplicates:
            self.log_event("discovery.duplicate_entries", workers=duplicates)
        if has_changed:
            self._publish_list(workers)
        await trio.sleep(MIN_QUERY_INTERVAL)

    async def _request(self) -> http.Response:
        """Return the answer to one query; raises DiscoveryError unless its status is 200."""
        reply: http.Response | None = None
        with trio.move_on_after(self.timeout + self.state.wait):
            try:
                reply = await self.client.request("GET", self.state.request_path())
            except http.HttpError as error:
                raise DiscoveryError(str(error)) from None
        if reply is None:
            raise DiscoveryError("no answer within the timeout")
        if reply.status != 200:
            raise DiscoveryError(f"answered with HTTP status {reply.status}, expected 200")
        return reply

    def _publish_list(self, entries_read: list[Endpoint]) -> None:
        """Submit the first list as a snapshot, later ones as changes; a missing entry is gone."""
        self.store_list(entries.encode_workers(entries_read))
        workers = [
            self.start_times.to_module_clock(worker, self.clock_offset()) for worker in entries_read
        ]
        current = {worker.id: worker for worker in workers}
        if self.last_list is None:
            self.submit(EndpointsUpdated(UpdateType.SNAPSHOT, tuple(workers)))
        else:
            self._submit_changes(self.last_list, current)
        self.last_list = current

    def _submit_changes(self, previous: dict[str, Endpoint], current: dict[str, Endpoint]) -> None:
        changed = [worker for worker in current.values() if worker != previous.get(worker.id)]
        removed = [
            replace(worker, state=EndpointState.GONE)
            for key, worker in previous.items()
            if key not in current
        ]
        if not changed and not removed:
            return
        self.submit(EndpointsUpdated(UpdateType.CHANGES, (*changed, *removed)))
        self.log_event(
            "discovery.endpoints_changed",
            changed=[f"{worker.id} {worker.state}" for worker in (*changed, *removed)],
        )
