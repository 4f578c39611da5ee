"""Stand-in roster: Consul's health list with blocking queries, and the ways in which a roster fails."""

import time
from dataclasses import replace
from pathlib import Path

import trio

from dunlinlug import interface as face
from dunlinlug import terms as manager_terms
from dunlinlug.config import Book
from dunlinlug.day import terms
from dunlinlug.day.record import Record
from dunlinlug.net import http
from dunlinlug.roster import entries
from dunlinlug.standin.stage import Command, play

FIRST_INDEX = 100


class Roster:
    """`fault` is '', stale, gone or cut_short."""

    def __init__(self, book: Book, record: Record) -> None:
        self.record, self.fault, self.index, self.double = record, "", FIRST_INDEX, False
        self.address = book.one(manager_terms.Source).address
        self.workers = {
            name: face.Worker(name, place.zone, "", 0, "ready", place.weight, None)
            for name, place in book.many(terms.WorkerPlace).items()
        }
        self.shown, self.changed = dict(self.workers), trio.Event()

    async def run(self) -> None:
        await http.serve(
            self.answer, await trio.open_tcp_listeners(self.address[1], host=self.address[0])
        )

    async def answer(self, request: http.Request) -> http.Reply:
        if self.fault == "gone":
            raise http.NoAnswer
        asked = int(request.query.get("index", "0"))
        if asked == self.index:
            with trio.move_on_after(
                int(request.query.get("wait", "1000ms").removesuffix("ms")) / 1000
            ):
                while asked == self.index and self.fault != "gone":
                    await self.changed.wait()
        if self.fault == "gone":
            raise http.NoAnswer
        body = entries.write([*self._second(), *self.shown.values()])
        if self.fault == "cut_short":  # told as long as it was, but broken off: no list at all
            return http.Reply(200, {"x-consul-index": str(self.index)}, body[: len(body) // 2])
        if request.headers.get("x-reader", "manager") == "manager":
            self.record.write(
                "served",
                index=self.index,
                states={
                    w.id: [w.state, w.since and w.since - time.time() + time.monotonic()]
                    for w in self.shown.values()
                },
            )
        return http.Reply(
            200, {"x-consul-index": str(self.index), "content-type": "application/json"}, body
        )

    def _second(self) -> list[face.Worker]:
        """The same address under a second, older entry."""
        return (
            [replace(w, state="draining", since=None) for w in list(self.shown.values())[:1]]
            if self.double
            else []
        )

    async def obey(self, command: Command) -> None:
        match command["do"]:
            case "state":
                for name in command["workers"]:
                    worker = replace(self.workers[name], state=command["state"])
                    self.workers[name] = (
                        replace(worker, since=time.time()) if command.get("started") else worker
                    )
            case "fault":
                self.fault = command["fault"]
            case "double":
                self.double = command["on"]
            case "index":
                self.index = 1  # a roster restored from an old copy counts from low again
        if self.fault != "stale":
            self.shown = {name: w for name, w in self.workers.items() if w.state != "gone"}
            self.index += 1
        self.changed.set()
        self.changed = trio.Event()


def main(run_file: Path, record_file: Path) -> None:
    record = Record(record_file)
    stand = Roster(terms.read(run_file), record)
    trio.run(play, record, [stand.run], stand.obey)
