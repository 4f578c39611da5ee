"""Sums of what proxies report, given on at the rate that the module is told of: the oldest first, the rest adds up."""

from dataclasses import dataclass, field

from dunlinlug import interface as face
from dunlinlug.xds.loads import Loads


@dataclass
class _Met:
    since: float
    tries: int = 0
    voided: int = 0
    took: float = 0.0
    untimed: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass
class _Came:
    since: float
    txns: int = 0
    voided: int = 0


class Ledger:
    """`lines_per_s` events at most leave each second; times are the caller's clock."""

    def __init__(self, lines_per_s: float, products: frozenset[str]) -> None:
        self.lines_per_s, self.products = lines_per_s, products
        self.met: dict[tuple[str, str], _Met] = {}
        self.came: dict[tuple[int, str], _Came] = {}
        self.pace: dict[str, float] = {}  # by worker, seconds that a settled try took, as told last
        self.allowed, self.last = 0.0, None  # type: float, float | None

    def add(self, now: float, proxy: int, zone: str, loads: Loads) -> None:
        """Take one proxy's report; products that are not ours are passed over."""
        start = now - loads.span
        for worker, at in loads.workers.items():
            met = self.met.setdefault((zone, worker), _Met(start))
            met.tries += at.tries
            met.voided += at.voided
            met.took += at.took
            met.untimed += at.untimed
            met.load.update(at.load)
        for product, (txns, voided) in loads.products.items():
            if product in self.products:
                came = self.came.setdefault((proxy, product), _Came(start))
                came.txns += txns
                came.voided += voided

    def forget(self, proxy: int) -> None:
        self.came = {key: came for key, came in self.came.items() if key[0] != proxy}

    def take(self, now: float) -> list[face.Event]:
        """What may be told now."""
        span = now - self.last if self.last is not None else 1.0
        self.last = now
        self.allowed = min(self.allowed + span * self.lines_per_s, max(self.lines_per_s, 1.0))
        met = [(m.since, 0, key[0], key[1]) for key, m in self.met.items()]
        came = [(c.since, 1, str(key[0]), key[1]) for key, c in self.came.items()]
        chosen = sorted(met + came)[: int(self.allowed)]
        self.allowed -= len(chosen)
        return [
            self._met(now, a, b) if not kind else self._came(now, int(a), b)
            for _, kind, a, b in chosen
        ]

    def _met(self, now: float, zone: str, worker: str) -> face.Event:
        met = self.met.pop((zone, worker))
        timed = met.tries - met.voided - met.untimed
        if timed > 0:
            self.pace[worker] = met.took / timed
        # What was met without its time counts at the worker's pace as last told; not known at all, it is none.
        took = self.pace.get(worker, 0.0) if met.tries > met.voided else 0.0
        return face.Met(zone, worker, met.tries, met.voided, took, now - met.since, met.load)

    def _came(self, now: float, proxy: int, product: str) -> face.Event:
        came = self.came.pop((proxy, product))
        return face.Asked(proxy, product, came.txns, came.voided, now - came.since)
