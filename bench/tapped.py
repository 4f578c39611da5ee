"""What the guard would refuse of the module's own orders on a tapped day of the operators' bench.

    lbsim replay SITE big-1 --tap FILE ... ; python -m bench.tapped FILE

The tap's batches are played to modules again, which order the same as on the day, and each reply is judged; the judge's
word is counted and nothing is held back. Told are orders, refusals by rule and kind of order, and one example of each.
"""

import sys
from collections import Counter
from pathlib import Path

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.drill import codec
from dunlinlug.guard import Judge


class Instance:
    def __init__(self, trade: face.Trade) -> None:
        self.module, self.judge, self.fields = Balancer(trade), Judge(trade, obeyed=False), trade.report_fields


def main() -> None:
    instances: dict[str, Instance] = {}
    orders, refused, examples = 0, Counter[tuple[str, str, bool]](), dict[tuple[str, str, bool], str]()
    for line in Path(sys.argv[1]).read_bytes().splitlines():
        if not line.startswith(b"{") or b'"happened"' not in line[:100]:
            continue
        batch = codec.read_batch(line)
        events: dict[str, list[face.Event]] = {}
        for manager, verb, body in batch.happened:
            if verb == "Detach":
                instances.pop(manager, None)
                events.pop(manager, None)
            elif verb == "NewInstance":
                instances[manager] = Instance(codec.read_trade(body))
                events[manager] = []
            elif manager in instances:
                events.setdefault(manager, []).append(codec.read_event(verb, body, instances[manager].fields))
        for manager, happened in events.items():
            it = instances[manager]
            reply = it.module.decide(batch.now, happened)
            it.judge.hear(batch.now, happened)
            _, refusals = it.judge.judge(batch.now, reply)
            orders += sum(type(order) in it.judge.judges for order in reply)
            for refusal in refusals:
                key = (refusal.rule, type(refusal.order).__name__, refusal.passed)
                refused[key] += 1
                examples.setdefault(key, f"{batch.now:.2f} s, {manager}: {refusal.order}: {refusal.said}")
    print(f"{orders} orders judged, {sum(refused.values())} refused or passed as the lesser harm")
    for key, count in refused.most_common():
        rule, kind, passed = key
        print(f"  {count:6d}  {rule:7s} {kind:9s} {'passed  ' if passed else 'refused '} {examples[key]}")


if __name__ == "__main__":
    main()
