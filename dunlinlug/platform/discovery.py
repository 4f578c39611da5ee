"""Follows discovery on trio: asks, tells the module, knows where workers listen."""

import time
from collections.abc import Callable

import trio

from dunlinlug.decision.events import EndpointsUpdated, Event
from dunlinlug.manager.start_times import StartTimes
from dunlinlug.net import http
from dunlinlug.platform import discovery_state


class DiscoveryWatcher:
    """Follows discovery at `place`, which a reload may move."""

    def __init__(
        self,
        address: discovery_state.Address,
        state: discovery_state.DiscoveryState,
        submit: Callable[[Event], None],
        log_event: Callable[..., None],
    ) -> None:
        self.state = state
        self.submit = submit
        self.log_event = log_event
        self.start_times = StartTimes()
        self.addresses = dict[str, discovery_state.Address]()
        self.failing = False
        self.query_scope = trio.CancelScope()
        self.client = http.Client(*address, max_idle_connections=1)

    def set_address(self, address: discovery_state.Address) -> None:
        """Ask there from now on; what is under way at the old place is given up."""
        self.client = http.Client(*address, max_idle_connections=1)
        self.state.forget_version()
        self.query_scope.cancel()

    def publish(self, update: EndpointsUpdated) -> None:
        """Tell of a list with its starts in Unix time."""
        offset = trio.current_time() - time.time()
        workers = tuple(
            self.start_times.to_module_clock(worker, offset) for worker in update.endpoints
        )
        self.start_times.retain_only(self.addresses)
        self.submit(EndpointsUpdated(update.update_type, workers))

    def update_addresses(
        self, instances: list[discovery_state.Instance], is_snapshot: bool
    ) -> None:
        if is_snapshot:
            self.addresses.clear()
        for instance in instances:
            if instance.lifecycle == "gone":
                self.addresses.pop(instance.instance_id, None)
            else:
                self.addresses[instance.instance_id] = instance.address()

    async def run(self) -> None:
        while True:
            client = self.client
            with trio.CancelScope() as self.query_scope:
                try:
                    queried_at = trio.current_time()
                    await self._query_once(client)
                    await trio.sleep_until(queried_at + self.state.min_pause)
                except discovery_state.DiscoveryError as error:
                    if not self.failing:
                        self.log_event("discovery.failed", why=str(error))
                    self.failing = True
                    await client.close()
                    await trio.sleep(self.state.next_backoff())
            if client is not self.client:
                await client.close()

    async def _query_once(self, client: http.Client) -> None:
        reply: http.Response | None = None
        with trio.move_on_after(self.state.answer_timeout()):
            try:
                reply = await client.request("GET", self.state.next_query())
            except http.HttpError as error:
                raise discovery_state.DiscoveryError(str(error)) from None
        if client is not self.client:
            return  # Danger: come in the turn of a move, it would stand for the new place's
        if reply is None or reply.status != 200:
            raise discovery_state.DiscoveryError(
                "no answer in time" if reply is None else f"status {reply.status}"
            )
        answer = discovery_state.decode_response(reply.body)
        update = self.state.handle_response(answer)
        if self.failing:
            self.log_event("discovery.recovered", generation=answer.generation)
        self.failing = False
        if update is not None:
            self.update_addresses(answer.instances, answer.reset)
            self.publish(update)
