"""Guard cost: microseconds a validated order, and the guard's part of the decision loop's CPU.

    python -m bench.guard_cost [--seconds 30]

The same surroundings as `bench.decision_loop_cost`, with the guard handling every event and
validating every reply.
"""

import argparse
import time

from bench.decision_loop_cost import Fleet
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import (
    AssignTable,
    DeleteTable,
    Order,
    SetAdmission,
    SetEjected,
    SetWeight,
)
from dunlinlug.guard import OrderValidator

SIZES = ((18, 18), (150, 112), (500, 200))  # proxies x workers
LINES = 20.0  # lines a second of the channel for each proxy: as on the deployments


class Guarded(Fleet):
    """A fleet whose manager has a guard; `spent['guard']` is taken out of the module's time."""

    def __init__(self, proxies: int, workers: int) -> None:
        super().__init__((2, proxies, workers, LINES * proxies, 4.0, 0, 160.0))
        self.judge, self.orders, self.refused = OrderValidator(self.trade), 0, 0
        self.spent["guard"] = 0.0

    def judged(self, now: float, events: list[Event], orders: list[Order]) -> list[Order]:
        """Validate the orders and add the guard's CPU to `spent`."""
        began = time.process_time()
        self.judge.handle(now, events)
        passed, refusals = self.judge.validate(now, orders)
        span = time.process_time() - began
        self.spent["guard"] += span
        self.spent["module"] -= span
        kinds = (SetWeight, AssignTable, SetEjected, SetAdmission, DeleteTable)
        self.orders += sum(isinstance(order, kinds) for order in orders)
        self.refused += len(refusals)
        return passed


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30)
    seconds = parser.parse_args().seconds
    for proxies, workers in SIZES:
        fleet = Guarded(proxies, workers)
        fleet.run(seconds)
        guard, module = fleet.spent["guard"], fleet.spent["module"]
        total = guard + module + fleet.spent["desk"]
        print(
            f"{proxies:4d} x {workers:3d}: {1e6 * guard / max(fleet.orders, 1):7.1f} us an order, "
            f"{fleet.orders} "
            f"orders, {fleet.refused} refused; CPU a simulated second {guard / seconds:.4f} s "
            "guard, "
            f"{module / seconds:.4f} s module, guard {guard / total:.1%} of the loop",
            flush=True,
        )


if __name__ == "__main__":
    main()
