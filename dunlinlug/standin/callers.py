"""Stand-in clients: an open-loop load, so that a slow fleet does not slow the load, with retries and deadlines."""

import base64
from itertools import accumulate
from pathlib import Path
from random import Random

import trio
from hdrh.histogram import HdrHistogram

from dunlinlug import terms as manager_terms
from dunlinlug.config import Book
from dunlinlug.day import terms
from dunlinlug.day.record import Record
from dunlinlug.net import http
from dunlinlug.standin.stage import Command, play
from dunlinlug.xds import names

UNDERWAY = (
    4000  # txns at once: beyond it the machine is the limit, and the txn is recorded as not sent
)


class Callers:
    def __init__(self, book: Book, record: Record) -> None:
        self.record, self.load = record, book.one(terms.Load)
        self.lead, self.length = book.one(terms.Day).lead, book.one(terms.Day).length
        self.chance = Random(f"{book.one(terms.Day).seed} callers")
        self.wares, mixes = book.many(manager_terms.Ware), book.many(terms.Mix)
        self.products = list(self.wares)
        self.mix = list(
            accumulate(mixes[name].share if name in mixes else 1.0 for name in self.products)
        )
        places = book.many(terms.ProxyPlace)
        self.rates = list(accumulate(place.rate for place in places.values()))
        self.doors = [http.Client(*place.address) for place in places.values()]
        self.times = {
            name: HdrHistogram(1, 60_000_000, 3) for name in self.products
        }  # microseconds
        self.underway = self.sent = 0

    async def run(self) -> None:
        """Poisson arrivals at the day's rate, from the lead's end to the day's."""
        await trio.sleep(self.lead)
        start = at = trio.current_time()
        async with trio.open_nursery() as nursery:
            while at < start + self.length:
                rise = min(1.0, 0.1 + (at - start) / self.load.ramp) if self.load.ramp else 1.0
                at += self.chance.expovariate(self.load.txns_per_s * rise)
                await trio.sleep_until(at)
                product = self.chance.choices(self.products, cum_weights=self.mix)[0]
                door = self.chance.choices(self.doors, cum_weights=self.rates)[0]
                self.sent += 1
                if self.underway >= UNDERWAY:
                    self.record.write(
                        "txn", product=product, outcome="unsent", took=0.0, txn=str(self.sent)
                    )
                    continue
                nursery.start_soon(self._txn, str(self.sent), product, door, self._work())
        self._sum_up()

    def _work(self) -> float:
        spread = self.load.spread
        return self.load.work * self.chance.lognormvariate(-spread * spread / 2, spread)

    def _sum_up(self) -> None:
        for product, times in self.times.items():
            self.record.write(
                "times",
                product=product,
                count=times.get_total_count(),
                p50=times.get_value_at_percentile(50) / 1e6,
                p99=times.get_value_at_percentile(99) / 1e6,
                histogram=base64.b64encode(times.encode()).decode(),
            )
        self.record.write("done", sent=self.sent)
        self.record.file.flush()

    async def _txn(self, txn: str, product: str, door: http.Client, work: float) -> None:
        ware, started, outcome = self.wares[product], trio.current_time(), "voided"
        self.underway += 1
        with trio.move_on_after(ware.deadline):
            for client in range(1 + self.load.retries):
                outcome, proof = await self._call(
                    txn, product, door, work, client, started + ware.deadline
                )
                if outcome == "settled" or not (proof or ware.repeats == "idempotent"):
                    break
                await trio.sleep(self.load.backoff)
        self.underway -= 1
        took = trio.current_time() - started
        if outcome == "settled":
            self.times[product].record_value(max(1, int(took * 1e6)))
            outcome = "settled" if took <= ware.sla else "late"
        self.record.write("txn", txn=txn, product=product, outcome=outcome, took=round(took, 4))

    async def _call(
        self, txn: str, product: str, door: http.Client, work: float, client: int, ends: float
    ) -> tuple[str, bool]:
        """The outcome, and whether it is proven that nothing ran."""
        headers = {
            "x-txn": txn,
            "x-product": product,
            "x-work": f"{work:.5f}",
            "x-client": str(client),
            "x-left": f"{max(ends - trio.current_time(), 0.001):.4f}",
        }
        try:
            reply = await door.ask("POST", "/txn", headers)
        except http.HttpFault as fault:
            return "voided", not fault.sent
        if reply.status == 200:
            return "settled", False
        proof = names.NEVER_RAN in reply.headers
        return ("declined" if proof else "voided"), proof


async def _nothing(command: Command) -> None:
    return


def main(run_file: Path, record_file: Path) -> None:
    record = Record(record_file)
    callers = Callers(terms.read(run_file), record)
    trio.run(play, record, [callers.run], _nothing)
