"""What a proxy met since it last reported; plain sums."""

from dunlinlug.xds.loads import AtWorker, Loads


class Tally:
    """Times are the caller's clock in seconds."""

    def __init__(self, node: str, zone: str, now: float = 0.0) -> None:
        self.node, self.zone, self.since = node, zone, now
        self.loads = Loads(node, zone, 0.0)

    def came(self, product: str, voided: bool) -> None:
        """A txn of a product that came, and whether it was voided (for another reason than its level)."""
        txns, before = self.loads.products.get(product, (0, 0))
        self.loads.products[product] = (txns + 1, before + voided)

    def tried(self, worker: str, settled: bool, took: float, load: dict[str, float]) -> None:
        at = self.loads.workers.setdefault(worker, AtWorker())
        at.tries += 1
        at.voided += not settled
        at.took += took if settled else 0.0
        at.load.update(load)

    def take(self, now: float) -> Loads:
        """All since the last taking, which begins anew."""
        taken, self.loads = self.loads, Loads(self.node, self.zone, 0.0)
        taken.span, self.since = now - self.since, now
        return taken
