"""How what is not known is read, all in one place: what a worker carries, what a proxy brings, what repeats add.

Demand and work are in txns a second. Nothing here is told by a worker itself; `docs/guard.md` says where it fails.
"""

from collections.abc import Iterable
from math import inf

from dunlinlug import interface as face

HALF = 4.0  # seconds in which the best settled rate loses half: a few report cycles, shorter than a ramp
SMOOTH = 0.5  # of each report goes into a proxy's demand: two or three cycles to follow a rise
SILENT = 5.0  # seconds without a report from which a proxy counts as silent
UNHEARD = (
    1.25  # times its last demand that a silent proxy is taken to bring: it may have grown unseen
)
SPARE = 1.1  # times its limit that a cold worker may be promised: the reading of its capacity is a lower bound


class Reading:
    """Hears the events that the module hears; asked by the judge."""

    def __init__(self, duties: face.Duties, products: tuple[face.Product, ...]) -> None:
        self.duties, self.names = duties, {product.name: k for k, product in enumerate(products)}
        self.demand: dict[tuple[int, int], float] = {}  # by proxy and product
        self.heard_at: dict[tuple[int, int], float] = {}
        self.usual: dict[int, float] = {}  # by proxy, as told at its joining
        # By worker and the zone of the proxies that met it: the best settled rate of late, and when it was told.
        self.settled: dict[str, dict[str, tuple[float, float]]] = {}
        self.tries = self.voids = 0.0
        self.moved: dict[int, None] = {}  # proxies heard of since the sums were last made

    def hear(self, now: float, event: face.Event) -> None:
        match event:
            case face.Joined(proxy, _, rate, _):
                self._forget(proxy)
                self.usual[proxy] = rate
            case face.Left(proxy):
                self._forget(proxy)
            case face.Asked(proxy, product, txns, _, span) if (
                proxy is not None and product in self.names and span > 0
            ):
                key = (proxy, self.names[product])
                before = self.demand.get(key, txns / span)
                self.demand[key] = before + SMOOTH * (txns / span - before)
                self.heard_at[key] = now
                self.moved[proxy] = None
            case face.Met(zone, worker, tries, voided, _, span) if span > 0:
                rate, zones = (tries - voided) / span, self.settled.setdefault(worker, {})
                before, at = zones.get(zone, (0.0, now))
                zones[zone] = (max(rate, before * 0.5 ** ((now - at) / HALF)), now)
                self.tries, self.voids = 0.9 * self.tries + tries, 0.9 * self.voids + voided

    def _forget(self, proxy: int) -> None:
        self.usual.pop(proxy, None)
        for key in [key for key in self.demand if key[0] == proxy]:
            del self.demand[key], self.heard_at[key]

    def settles(self, worker: str, now: float) -> float:
        """Txns a second that it settled of late, over all zones."""
        zones = self.settled.get(worker, {}).values()
        return float(sum(rate * 0.5 ** ((now - at) / HALF) for rate, at in zones))

    def brings(self, now: float, proxy: int, product: int) -> float:
        """What a proxy may bring of a product: as heard; more if it is silent; its usual rate, evenly, if unheard."""
        heard = self.demand.get((proxy, product))
        if heard is None:
            return self.usual.get(proxy, 0.0) / len(self.names)
        return heard * (UNHEARD if now > self.heard_at[proxy, product] + SILENT else 1.0)

    def repeats(self, retry: int) -> float:
        """Tries for each txn: further tries follow the share of tries voided of late (way 1: on proof, so at most
        as many)."""
        return 1.0 + (0, 1, 1, 2)[retry] * (self.voids / self.tries if self.tries else 0.0)

    def part(self, now: float, since: float) -> float:
        """What part of its size a worker can do at its age: evenly from the cold share, as it may not be sooner."""
        age = max(now - since, 0.0)
        if age >= self.duties.warm_after:
            return 1.0
        return (
            self.duties.cold_share + (1.0 - self.duties.cold_share) * age / self.duties.warm_after
        )

    def size(self, now: float, warm: Iterable[tuple[str, float]]) -> float:
        """What a warm worker carries at least for each unit of weight: what warm ones settled of late over theirs.
        `warm` are their ids and weights. Infinite while none has settled anything, as nothing is known."""
        rates, weights = 0.0, 0.0
        for worker, own in warm:
            rate = self.settles(worker, now)
            if rate:
                rates, weights = rates + rate, weights + own
        return rates / weights if rates else inf

    def most(self, now: float, since: float, size: float) -> float:
        """The txns a second beyond which a worker that started at `since` falls over."""
        return SPARE * self.duties.fall_multiple * self.part(now, since) * size
