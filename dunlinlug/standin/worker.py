"""Stand-in workers of one zone: HTTP/1.1, a floor each, marks against repeats, and troubles on command."""

from collections.abc import Mapping
from pathlib import Path
from random import Random

import trio

from dunlinlug import terms as manager_terms
from dunlinlug.config import Book
from dunlinlug.day import terms
from dunlinlug.day.record import Record
from dunlinlug.net import http
from dunlinlug.standin.floor import Floor, Machine, Repeats
from dunlinlug.standin.stage import Command, play
from dunlinlug.xds import names


class Worker:
    """One worker at its address. `mode` is well, silent, voiding or answers_lost."""

    def __init__(
        self,
        name: str,
        floor: Floor,
        wares: dict[str, manager_terms.Ware],
        repeats: Repeats,
        record: Record,
        chance: Random,
    ) -> None:
        self.name, self.floor, self.wares, self.repeats = name, floor, wares, repeats
        self.record, self.chance = record, chance
        self.mode, self.fails, self.scope = "well", 1.0, trio.CancelScope()
        self.awake = trio.Event()

    async def run(self) -> None:
        """Listen until taken down; take up again with `back`."""
        while True:
            host, _, port = self.name.rpartition(":")
            with trio.CancelScope() as self.scope:
                await http.serve(self.answer, await trio.open_tcp_listeners(int(port), host=host))
            self.awake = trio.Event()
            await self.awake.wait()

    def down(self) -> None:
        self.record.write("down", worker=self.name)
        self.scope.cancel()

    def back(self) -> None:
        self.floor.start(trio.current_time())
        self.record.write("start", worker=self.name)
        self.mode = "well"
        self.awake.set()

    async def answer(self, request: http.Request) -> http.Reply:
        if self.mode == "silent" or self.floor.fallen:
            await trio.sleep_forever()
        if self.mode == "voiding" and self.chance.random() < self.fails:
            return http.Reply(500)
        if request.path != "/txn":
            return http.Reply.json({"queue": self.floor.held(trio.current_time())})
        return await self._txn(request)

    async def _txn(self, request: http.Request) -> http.Reply:
        said, now, was = request.headers, trio.current_time(), self.floor.fallen
        done = self.floor.arrive(now, float(said["x-work"]), said["x-proxy"])
        if self.floor.fallen:
            if not was:
                self.record.write("fell", worker=self.name, brought=self.floor.brought(now))
            await trio.sleep_forever()
        if done is None:
            return http.Reply(503, {names.NEVER_RAN: "1"})
        expires = now + float(said["x-left"])
        if done > expires and self.floor.held(now) and done - now > float(said["x-left"]):
            await trio.sleep_until(expires)
            return http.Reply(
                504, {names.NEVER_RAN: "1"}
            )  # its time-out passed before its turn: not begun
        await trio.sleep_until(done)
        self._effect(said)
        if self.mode == "answers_lost" and self.chance.random() < self.fails:
            raise http.NoAnswer
        load = f"queue={self.floor.held(trio.current_time())}, service_s={done - now:.4f}"
        return http.Reply(200, {"x-load": load})

    def _effect(self, said: Mapping[str, str]) -> None:
        ware = self.wares[said["x-product"]]
        if ware.repeats == "referenced" and not self.repeats.first(
            said["x-txn"], trio.current_time(), ware.window
        ):
            self.record.write("dropped", worker=self.name, txn=said["x-txn"])
            return
        self.record.write(
            "effect",
            worker=self.name,
            txn=said["x-txn"],
            product=said["x-product"],
            client=int(said["x-client"]),
        )


class Zone:
    """The workers of one zone in one process."""

    def __init__(self, book: Book, zone: str, record: Record) -> None:
        fleet, duties = book.one(terms.Fleet), book.one(manager_terms.Obligations)
        wares, repeats = book.many(manager_terms.Ware), Repeats()
        chance = Random(f"{book.one(terms.Day).seed} {zone}")
        self.workers = {
            name: Worker(
                name,
                Floor(
                    Machine(
                        place.cores,
                        place.speed,
                        place.cores * fleet.queue_per_core,
                        fleet.cold_from,
                        fleet.cold,
                        duties.fall_multiple,
                        duties.fall_after,
                    )
                ),
                wares,
                repeats,
                record,
                chance,
            )
            for name, place in book.many(terms.WorkerPlace).items()
            if place.zone == zone
        }

    async def obey(self, command: Command) -> None:
        worker = self.workers[command["worker"]]
        match command["do"]:
            case "down":
                worker.down()
            case "back":
                worker.back()
            case "slow":
                worker.floor.slow = float(command["size"])
            case mode:
                worker.mode, worker.fails = mode, float(command.get("size", 1.0))


def main(run_file: Path, zone: str, record_file: Path) -> None:
    record = Record(record_file)
    stand = Zone(terms.read(run_file), zone, record)
    trio.run(play, record, [worker.run for worker in stand.workers.values()], stand.obey)
