"""Follows the roster: blocking queries, news to the module, the list to the store."""

from collections.abc import Callable
from dataclasses import replace

import trio

from dunlinlug import interface as face
from dunlinlug.manager.anchors import Anchors
from dunlinlug.net import http
from dunlinlug.roster import entries
from dunlinlug.roster.follow import BETWEEN, INDEX, Following


class RosterFault(Exception):
    """The roster did not answer as agreed."""


class Follower:
    """`tell` hears each change as `Listed`; `keep` gets the list's body with wall-clock starts."""

    def __init__(
        self,
        client: http.Client,
        state: Following,
        within: float,
        wall_offset: Callable[[], float],
        tell: Callable[[face.Event], None],
        keep: Callable[[bytes], None],
        note: Callable[..., None],
    ) -> None:
        self.client, self.state, self.within, self.offset = client, state, within, wall_offset
        self.tell, self.keep, self.note = tell, keep, note
        self.known: dict[str, face.Worker] | None = None
        self.anchors = Anchors()
        self.failing = False

    async def follow(self, patient: bool) -> None:
        """Follow on and on. `patient`: wait out failures here; else the first is told and ends the following."""
        while True:
            try:
                await self.look()
            except RosterFault as fault:
                if not self.failing:
                    self.note("roster.failed", why=str(fault))
                self.failing = True
                pause = self.state.failed()
                if not patient:
                    self.tell(face.Listed("failed"))
                    return
                await trio.sleep(pause)

    async def fetch(self) -> None:
        """The whole list once."""
        self.state.index = 0
        try:
            await self.look()
        except RosterFault as fault:
            self.note("roster.failed", why=str(fault))
            self.tell(face.Listed("failed"))

    async def look(self) -> None:
        reply: http.Reply | None = None
        with trio.move_on_after(self.within + self.state.wait):
            try:
                reply = await self.client.ask("GET", self.state.query())
            except http.HttpFault as fault:
                raise RosterFault(str(fault)) from None
        if reply is None or reply.status != 200:
            raise RosterFault(
                "no answer in time" if reply is None else f"answered with status {reply.status}"
            )
        try:
            workers, double = entries.read(reply.body, 0.0)
            fresh = self.state.came(reply.headers.get(INDEX))
        except (entries.RosterFault, ValueError) as fault:
            raise RosterFault(str(fault)) from None
        if self.failing:
            self.note("roster.back")
        self.failing = False
        if double:
            self.note("roster.double", workers=double)
        if fresh:
            self._news(workers)
        await trio.sleep(BETWEEN)

    def _news(self, listed: list[face.Worker]) -> None:
        """The first list whole, then what changed; an entry that is missing now is gone. Starts are wall time."""
        self.keep(entries.write(listed))
        workers = [self.anchors.anchored(worker, self.offset()) for worker in listed]
        known = {worker.id: worker for worker in workers}
        if self.known is None:
            self.tell(face.Listed("whole", tuple(workers)))
        else:
            changed = [w for w in workers if w != self.known.get(w.id)]
            gone = [replace(w, state="gone") for key, w in self.known.items() if key not in known]
            if changed or gone:
                self.tell(face.Listed("changes", (*changed, *gone)))
                self.note("roster.news", changed=[f"{w.id} {w.state}" for w in (*changed, *gone)])
        self.known = known
