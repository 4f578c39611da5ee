"""Recorded days: replays events of the operators' simulator through the decision module.

    lbsim replay SITE big-1 --tap FILE ...
    python -m bench.recorded_days FILE
    python -m bench.recorded_days --replies FILE

The first form counts the orders of the decision module that the guard would reject; the second
prints every reply on a line, so that two versions of the module can be compared. The guard only
counts rejections and blocks no order, so the module decides as on the recorded day. Prints the
number of orders, rejections by rule and kind of order, and one example of each.
"""

import argparse
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.guard import VALIDATED_ORDERS, OrderValidator
from dunlinlug.simulator import codec


class Instance:
    """One manager of the recorded day: its decision module, and a guard that blocks no order."""

    def __init__(self, name: str, settings: ManagerSettings) -> None:
        self.name, self.module, self.fields = name, Balancer(settings), settings.load_report_fields
        self.validator = OrderValidator(settings, enforced=False)


def batches(path: Path) -> Iterator[tuple[float, Instance, list[Event]]]:
    """Yield the events of each batch by instance, with the time in seconds."""
    instances: dict[str, Instance] = {}
    for line in path.read_bytes().splitlines():
        if not line.startswith(b"{") or b'"happened"' not in line[:100]:
            continue
        batch = codec.read_batch(line)
        events: dict[str, list[Event]] = {}
        for event in batch.events:
            manager, verb, body = event.manager, event.verb, event.body
            if verb == "Detach":
                instances.pop(manager, None)
                events.pop(manager, None)
            elif verb == "NewInstance":
                instances[manager] = Instance(manager, codec.read_settings_event(body))
                events[manager] = []
            elif manager in instances:
                events.setdefault(manager, []).append(
                    codec.read_event(verb, body, instances[manager].fields)
                )
        for manager, manager_events in events.items():
            yield batch.now, instances[manager], manager_events


def count_rejections(path: Path) -> None:
    """Print the orders of the decision module that the guard would reject."""
    orders, rejection_counts, examples = (
        0,
        Counter[tuple[str, str, bool]](),
        dict[tuple[str, str, bool], str](),
    )
    for now, instance, manager_events in batches(path):
        reply = instance.module.decide(now, manager_events)
        instance.validator.handle(now, manager_events)
        _, rejections = instance.validator.validate(now, reply)
        orders += sum(isinstance(order, VALIDATED_ORDERS) for order in reply)
        for rejection in rejections:
            key = (rejection.rule, type(rejection.order).__name__, rejection.allowed_anyway)
            rejection_counts[key] += 1
            examples.setdefault(
                key, f"{now:.2f} s, {instance.name}: {rejection.order}: {rejection.reason}"
            )
    print(
        f"{orders} orders validated, {sum(rejection_counts.values())} rejected or allowed as the "
        "lesser harm"
    )
    for key, count in rejection_counts.most_common():
        rule, kind, allowed = key
        print(
            f"  {count:6d}  {rule:7s} {kind:9s} {'allowed ' if allowed else 'rejected'} "
            f"{examples[key]}"
        )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--replies", action="store_true")
    parser.add_argument("tap", type=Path)
    options = parser.parse_args()
    if not options.replies:
        count_rejections(options.tap)
        return
    for now, instance, manager_events in batches(options.tap):
        print(f"{now:.3f} {instance.name} {instance.module.decide(now, manager_events)}")


if __name__ == "__main__":
    main()
