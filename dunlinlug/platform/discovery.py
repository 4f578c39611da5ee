"""Follows discovery on trio: asks, tells the module, knows where workers listen."""

import time
from collections.abc import Callable

import trio

from dunlinlug import interface as face
from dunlinlug.manager.anchors import Anchors
from dunlinlug.net import http
from dunlinlug.platform import servers


class Discovery:
    """Follows discovery at `place`, which a reload may move."""

    def __init__(
        self,
        place: servers.Address,
        state: servers.Following,
        tell: Callable[[face.Event], None],
        note: Callable[..., None],
    ) -> None:
        self.state, self.tell, self.note = state, tell, note
        self.anchors, self.addresses = Anchors(), dict[str, servers.Address]()
        self.failing = False
        self.scope = trio.CancelScope()
        self.client = http.Client(*place, idle_most=1)

    def move(self, place: servers.Address) -> None:
        """Ask there from now on; what is under way at the old place is given up."""
        self.client = http.Client(*place, idle_most=1)
        self.state.moved()
        self.scope.cancel()

    def news(self, listed: face.Listed) -> None:
        """Tell of a list with its starts in Unix time."""
        offset = trio.current_time() - time.time()
        workers = tuple(self.anchors.anchored(worker, offset) for worker in listed.workers)
        self.anchors.keep(self.addresses)
        self.tell(face.Listed(listed.form, workers))

    def places(self, instances: list[servers.Instance], whole: bool) -> None:
        if whole:
            self.addresses.clear()
        for instance in instances:
            if instance.lifecycle == "gone":
                self.addresses.pop(instance.instance_id, None)
            else:
                self.addresses[instance.instance_id] = instance.address()

    async def follow(self) -> None:
        while True:
            client = self.client
            with trio.CancelScope() as self.scope:
                try:
                    asked = trio.current_time()
                    await self._look(client)
                    await trio.sleep_until(asked + self.state.pause)
                except servers.ServersFault as fault:
                    if not self.failing:
                        self.note("discovery.failed", why=str(fault))
                    self.failing = True
                    await client.close()
                    await trio.sleep(self.state.failed())
            if client is not self.client:
                await client.close()

    async def _look(self, client: http.Client) -> None:
        reply: http.Reply | None = None
        with trio.move_on_after(self.state.within()):
            try:
                reply = await client.ask("GET", self.state.query())
            except http.HttpFault as fault:
                raise servers.ServersFault(str(fault)) from None
        if client is not self.client:
            return  # Danger: come in the turn of a move, it would stand for the new place's
        if reply is None or reply.status != 200:
            raise servers.ServersFault(
                "no answer in time" if reply is None else f"status {reply.status}"
            )
        answer = servers.read(reply.body)
        news = self.state.came(answer)
        if self.failing:
            self.note("discovery.back", generation=answer.generation)
        self.failing = False
        if news is not None:
            self.places(answer.instances, answer.reset)
            self.news(news)
