"""Watches service discovery on trio and submits changes of the endpoint list as events."""

import time
from collections.abc import Callable, Iterable

import trio

from dunlinlug.decision.events import EndpointsUpdated, Event, UpdateType
from dunlinlug.manager.start_times import StartTimes
from dunlinlug.net import http
from dunlinlug.platform import discovery_state


class DiscoveryWatcher:
    """Watches discovery at an address that a reload may change, and keeps the workers' addresses.

    Each change is submitted as `EndpointsUpdated`, with start times on the decision module's clock.
    """

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
        self.addresses = dict[str, discovery_state.Address]()  # by worker
        self.failing = False
        self.query_scope = trio.CancelScope()
        self.client = http.Client(*address, max_idle_connections=1)

    def set_address(self, address: discovery_state.Address) -> None:
        """Query this address from now on, and cancel a running query at the old one."""
        self.client = http.Client(*address, max_idle_connections=1)
        self.state.forget_version()
        self.query_scope.cancel()

    def resolve_address(self, worker: str) -> discovery_state.Address:
        """Return the address of a worker; raises KeyError if it is not listed."""
        return self.addresses[worker]

    def publish_stored_list(self, instances: list[discovery_state.Instance]) -> None:
        """Submit the endpoint list that was known before this process started."""
        self._update_addresses(instances, is_snapshot=True)
        self._publish(
            EndpointsUpdated(UpdateType.RESTORED, discovery_state.present_endpoints(instances))
        )

    async def run(self) -> None:
        """Query repeatedly until cancelled."""
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
            # The address changed in the same iteration of the event loop in which the response
            # arrived: it must not be handled as a response from the new address.
            return
        if reply is None:
            raise discovery_state.DiscoveryError("no answer within the timeout")
        if reply.status != 200:
            raise discovery_state.DiscoveryError(f"status {reply.status}")
        response = discovery_state.decode_response(reply.body)
        update = self.state.handle_response(response)
        if self.failing:
            self.log_event("discovery.recovered", generation=response.generation)
        self.failing = False
        if update is not None:
            self._update_addresses(response.instances, response.reset)
            self._publish(update)

    def _update_addresses(
        self, instances: Iterable[discovery_state.Instance], is_snapshot: bool
    ) -> None:
        if is_snapshot:
            self.addresses.clear()
        for instance in instances:
            if instance.lifecycle == "gone":
                self.addresses.pop(instance.instance_id, None)
            else:
                self.addresses[instance.instance_id] = instance.address()

    def _publish(self, update: EndpointsUpdated) -> None:
        """Submit an update whose start times are Unix time."""
        clock_offset = trio.current_time() - time.time()
        workers = tuple(
            self.start_times.to_module_clock(worker, clock_offset) for worker in update.endpoints
        )
        self.start_times.retain_only(self.addresses)
        self.submit(EndpointsUpdated(update.update_type, workers))
