"""Follows the roster: blocking queries, news to the module, the list to the store."""

from collections.abc import Callable
from dataclasses import replace

import trio

from dunlinlug.decision.events import Endpoint, EndpointsUpdated, Event
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import INDEX_HEADER, MIN_QUERY_INTERVAL, BlockingQuery
from dunlinlug.errors import DunlinlugError
from dunlinlug.manager.start_times import StartTimes
from dunlinlug.net import http


class DiscoveryError(DunlinlugError):
    """The roster did not answer as agreed."""


class EndpointWatcher:
    """`tell` hears each change as `Listed`; `keep` gets the list's body with wall-clock starts."""

    def __init__(
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
        """Report the next list as a snapshot, whatever was reported before."""
        self.last_list = None

    async def watch(self, retry_failures: bool) -> None:
        """Follow on and on. `patient`: wait out failures here; else the first is told and ends the
        following.
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
                    self.submit(EndpointsUpdated("failed"))
                    return
                await trio.sleep(pause)

    async def list_endpoints(self) -> None:
        """The whole list once."""
        self.state.index = 0
        try:
            await self._query_once()
        except DiscoveryError as error:
            self.log_event("discovery.failed", why=str(error))
            self.submit(EndpointsUpdated("failed"))

    async def _query_once(self) -> None:
        reply: http.Response | None = None
        with trio.move_on_after(self.timeout + self.state.wait):
            try:
                reply = await self.client.request("GET", self.state.request_path())
            except http.HttpError as error:
                raise DiscoveryError(str(error)) from None
        if reply is None or reply.status != 200:
            raise DiscoveryError(
                "no answer in time" if reply is None else f"answered with status {reply.status}"
            )
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

    def _publish_list(self, entries_read: list[Endpoint]) -> None:
        """The first list whole, then what changed; an entry that is missing now is gone. Starts are
        wall time.
        """
        self.store_list(entries.encode_workers(entries_read))
        workers = [
            self.start_times.to_module_clock(worker, self.clock_offset()) for worker in entries_read
        ]
        current = {worker.id: worker for worker in workers}
        if self.last_list is None:
            self.submit(EndpointsUpdated("whole", tuple(workers)))
        else:
            changed = [worker for worker in workers if worker != self.last_list.get(worker.id)]
            removed = [
                replace(worker, state="gone")
                for key, worker in self.last_list.items()
                if key not in current
            ]
            if changed or removed:
                self.submit(EndpointsUpdated("changes", (*changed, *removed)))
                self.log_event(
                    "discovery.endpoints_changed",
                    changed=[f"{worker.id} {worker.state}" for worker in (*changed, *removed)],
                )
        self.last_list = current
