"""Tapped days of the operators' bench, played to modules again, which order the same as on the day.

    lbsim replay SITE big-1 --tap FILE ...
    python -m bench.recorded_days FILE              what the guard would refuse of the module's own orders on that day
    python -m bench.recorded_days --replies FILE    every reply on a line, so that two texts of the module can be compared

The judge's word is counted and nothing is held back. Told are orders, refusals by rule and kind of
order, and one example of each.
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
    def __init__(self, name: str, trade: ManagerSettings) -> None:
        self.name, self.module, self.fields = name, Balancer(trade), trade.load_report_fields
        self.judge = OrderValidator(trade, enforced=False)


def batches(path: Path) -> Iterator[tuple[float, Instance, list[Event]]]:
    """Each instance's part of each batch, with the time in seconds."""
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
        for manager, happened in events.items():
            yield batch.now, instances[manager], happened


def judge(path: Path) -> None:
    orders, refused, examples = (
        0,
        Counter[tuple[str, str, bool]](),
        dict[tuple[str, str, bool], str](),
    )
    for now, it, happened in batches(path):
        reply = it.module.decide(now, happened)
        it.judge.handle(now, happened)
        _, refusals = it.judge.validate(now, reply)
        orders += sum(isinstance(order, VALIDATED_ORDERS) for order in reply)
        for refusal in refusals:
            key = (refusal.rule, type(refusal.order).__name__, refusal.allowed_anyway)
            refused[key] += 1
            examples.setdefault(key, f"{now:.2f} s, {it.name}: {refusal.order}: {refusal.reason}")
    print(f"{orders} orders judged, {sum(refused.values())} refused or passed as the lesser harm")
    for key, count in refused.most_common():
        rule, kind, passed = key
        print(
            f"  {count:6d}  {rule:7s} {kind:9s} {'passed  ' if passed else 'refused '} {examples[key]}"
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--replies", action="store_true")
    parser.add_argument("tap", type=Path)
    told = parser.parse_args()
    if not told.replies:
        judge(told.tap)
        return
    for now, it, happened in batches(told.tap):
        print(f"{now:.3f} {it.name} {it.module.decide(now, happened)}")


if __name__ == "__main__":
    main()
