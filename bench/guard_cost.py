"""Guard cost: microseconds per validated order, and its share of the decision loop's CPU time.

    python -m bench.guard_cost [--seconds 30]

The same simulation as `bench.decision_loop_cost`, with the guard handling every event and
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
CHANNEL_LINES_PER_S_PER_PROXY = 20.0  # as on the deployments


class GuardedFleet(Fleet):
    """A fleet whose manager has a guard; the guard's CPU time is subtracted from the module's."""

    def __init__(self, proxies: int, workers: int) -> None:
        super().__init__(
            (2, proxies, workers, CHANNEL_LINES_PER_S_PER_PROXY * proxies, 4.0, 0, 160.0)
        )
        self.validator, self.order_count, self.rejected_count = OrderValidator(self.settings), 0, 0
        self.cpu_seconds["guard"] = 0.0

    def effective_orders(self, now: float, events: list[Event], orders: list[Order]) -> list[Order]:
        """Validate the orders and add the CPU time of the guard to `cpu_seconds`."""
        began = time.process_time()
        self.validator.handle(now, events)
        accepted, rejections = self.validator.validate(now, orders)
        validation_seconds = time.process_time() - began
        self.cpu_seconds["guard"] += validation_seconds
        self.cpu_seconds["module"] -= validation_seconds
        kinds = (SetWeight, AssignTable, SetEjected, SetAdmission, DeleteTable)
        self.order_count += sum(isinstance(order, kinds) for order in orders)
        self.rejected_count += len(rejections)
        return accepted


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30)
    seconds = parser.parse_args().seconds
    for proxies, workers in SIZES:
        fleet = GuardedFleet(proxies, workers)
        fleet.run(seconds)
        guard, module = fleet.cpu_seconds["guard"], fleet.cpu_seconds["module"]
        total = guard + module + fleet.cpu_seconds["installer"]
        print(
            f"{proxies:4d} x {workers:3d}: {1e6 * guard / max(fleet.order_count, 1):7.1f} us "
            f"per order, {fleet.order_count} "
            f"orders, {fleet.rejected_count} rejected; CPU per simulated second "
            f"{guard / seconds:.4f} s "
            "guard, "
            f"{module / seconds:.4f} s module, guard {guard / total:.1%} of the loop",
            flush=True,
        )


if __name__ == "__main__":
    main()
