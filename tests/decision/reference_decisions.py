"""Compares the decision module with the reference model on generated histories.

python -m tests.decision.reference_decisions --seeds 100:200 [--turns 2.0] [--shrink]

A history is generated from its seed alone and consists of a manager's settings and turns with
events. The reference model (`tests/reference_model`) drives the history in simulated time:
acknowledgements, health check results, rejections and timers follow from its orders, which are
recorded with the events. The decision module then gets the same turns and must return the same
orders. Floats may differ by a relative error of 1e-9; such turns are counted as rounding and the
comparison continues.
"""

import argparse
import ast
import importlib
import inspect
import itertools
import math
import re
import sys
import types
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from typing import Any

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import (
    AssignTable,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SetEjected,
    SetWeight,
)
from dunlinlug.decision.settings import ManagerSettings
from tests.decision.histories import SimulatedEnvironment

Orders = list[Order]
DecisionModule = Any  # a Balancer, of the decision module or of the reference model
ROUNDING_TOLERANCE = 1e-9
NUMBER = re.compile(r"\d+\.?\d*")


@dataclass
class Turn:
    """One call of `decide`: the clock in seconds, the events, and the reference model's orders."""

    now: float
    events: list[Event]
    orders: Orders


@dataclass
class History:
    """A generated history; `counts` has how often each kind of event, order and block occurred."""

    seed: int
    settings: ManagerSettings
    turns: list[Turn]
    counts: Counter[str]


@dataclass
class Difference:
    """The first turn of a history whose orders differ by more than rounding.

    `actual` has the decision module's orders or, if it raised an exception, its description.
    """

    history: History
    turn_index: int
    actual: Orders | str

    def report(self) -> str:
        turn = self.history.turns[self.turn_index]
        lines = [
            f"seed {self.history.seed}, turn {self.turn_index} of {len(self.history.turns)}, {turn.now:.3f} s",
            f"settings: {summarize(self.history.settings)}",
        ]
        for earlier in self.history.turns[max(0, self.turn_index - 3) : self.turn_index]:
            lines += [f"  before, {earlier.now:.3f} s: {event}" for event in earlier.events[-6:]]
        lines += [f"  event: {event}" for event in turn.events[:12]]
        if isinstance(self.actual, str):
            return "\n".join([*lines, f"  decision module raised {self.actual}"])
        pairs = zip([*turn.orders, None], [*self.actual, None], strict=False)
        first = next(
            (
                n
                for n, (a, b) in enumerate(pairs)
                if a is None or b is None or not equal_up_to_rounding(a, b)
            ),
            0,
        )
        lines.append(
            f"  {len(turn.orders)} orders expected, {len(self.actual)} returned; from order {first} on:"
        )
        lines += [f"  expected: {order}" for order in turn.orders[first : first + 6]]
        lines += [f"  actual:   {order}" for order in self.actual[first : first + 6]]
        return "\n".join(lines)


@dataclass
class ComparisonResult:
    """The result of replaying a history; `difference` is None if the orders are the same."""

    turns: int = 0
    rounding: list[str] = field(
        default_factory=list
    )  # one line for each turn whose orders differ by rounding
    difference: Difference | None = None


def summarize(settings: ManagerSettings) -> str:
    return (
        str(replace(settings, traffic_classes=settings.traffic_classes[:2]))
        + f" and {len(settings.traffic_classes)} traffic classes in total"
    )


def equal_up_to_rounding(reference: Any, actual: Any) -> bool:
    """Whether two values are equal except for rounding of floats."""
    if reference == actual:
        return True
    if type(reference) is not type(actual):
        return False
    if isinstance(reference, float):
        return math.isclose(
            reference, actual, rel_tol=ROUNDING_TOLERANCE, abs_tol=ROUNDING_TOLERANCE
        )
    if isinstance(
        reference, LogMessage
    ):  # numbers are printed with two decimals, so the last digit may be rounded differently
        mine, other = (NUMBER.findall(message.text) for message in (reference, actual))
        return NUMBER.sub("#", reference.text) == NUMBER.sub("#", actual.text) and all(
            abs(float(a) - float(b)) <= (0.0100001 if "." in a else 1.0)
            for a, b in zip(mine, other, strict=True)
        )
    return hasattr(reference, "__dataclass_fields__") and all(
        equal_up_to_rounding(getattr(reference, f.name), getattr(actual, f.name))
        for f in fields(reference)
    )


def record(
    seed: int, scale: float = 1.0, make: Callable[[ManagerSettings], DecisionModule] | None = None
) -> History:
    """Generate a history with the reference model, counting its blocks unless `make` is given."""
    counts, environment, turns = Counter[str](), SimulatedEnvironment(seed, scale), []
    reference, blocks, block_counts = instrumented_reference_model()
    module = (make or reference)(environment.settings)
    for now, events in environment.turns():
        orders = module.decide(now, events)
        environment.apply_orders(now, orders, module)
        turns.append(Turn(now, events, orders))
        counts.update(f"event {type(event).__name__}" for event in events)
        counts.update(map(order_kind, orders))
    counts["turns"] = len(turns)
    return History(
        seed,
        environment.settings,
        turns,
        counts + environment.counts + Counter(dict(zip(blocks, block_counts, strict=True))),
    )


def order_kind(order: Order) -> str:
    name = type(order).__name__
    match order:
        case SetEjected(_, ejected):
            return f"order {name} {'start' if ejected else 'end'}"
        case SetWeight(_, _, weight):
            return f"order {name} {'removed' if not weight else 'set'}"
        case RequestAcknowledgement(_, all_proxies):
            return f"order {name} {'to all' if all_proxies else 'to some'}"
        case AssignTable(_, traffic_classes, _) if len(traffic_classes) > 1:
            return f"order {name} of several classes"
    return f"order {name}"


def replay(
    history: History, make: Callable[[ManagerSettings], DecisionModule] = Balancer
) -> ComparisonResult:
    """Pass the history's turns to the decision module, up to the first difference."""
    module, result = make(history.settings), ComparisonResult()
    for turn_index, turn in enumerate(history.turns):
        try:
            orders = module.decide(turn.now, turn.events)
        except Exception as error:  # any exception counts as a difference and is reported
            result.difference = Difference(history, turn_index, f"{type(error).__name__}: {error}")
            return result
        result.turns += 1
        if orders == turn.orders:
            continue
        if len(orders) != len(turn.orders) or not all(
            map(equal_up_to_rounding, turn.orders, orders)
        ):
            result.difference = Difference(history, turn_index, orders)
            return result
        first = next(pair for pair in zip(turn.orders, orders, strict=True) if pair[0] != pair[1])
        result.rounding.append(
            f"seed {history.seed}, {turn.now:.3f} s: {first[0]} became {first[1]}"
        )
    return result


def shrink(
    difference: Difference,
    make: Callable[[ManagerSettings], DecisionModule] = Balancer,
    max_attempts: int = 200,
) -> Difference:
    """Remove turns, then events, while the two modules still differ, with `max_attempts` each.

    The remaining events are unchanged, so a shortened history may contain acknowledgements of
    numbers that were never requested. Both modules ignore those.
    """
    from tests.reference_model.balance import Balancer as ReferenceBalancer

    def differs(shortened: list[tuple[float, tuple[Event, ...]]]) -> bool:
        nonlocal best
        reference, turns = ReferenceBalancer(difference.history.settings), []
        try:
            for now, part in itertools.groupby(shortened, lambda piece: piece[0]):
                events = [event for _, each in part for event in each]
                turns.append(Turn(now, events, reference.decide(now, events)))
        except Exception:  # the reference model fails on this shortened history, so reject it
            return False
        found = replay(replace(best.history, turns=turns), make).difference
        best = found or best
        return found is not None

    turns = difference.history.turns[: difference.turn_index + 1]
    best = replace(difference, history=replace(difference.history, turns=turns))
    reduce_pieces([(turn.now, tuple(turn.events)) for turn in turns], differs, max_attempts)
    reduce_pieces(
        [(turn.now, (event,)) for turn in best.history.turns for event in turn.events],
        differs,
        max_attempts,
    )
    return best


def reduce_pieces(pieces: list[Any], fits: Callable[[list[Any]], bool], max_attempts: int) -> None:
    """Remove parts of decreasing size while `fits` accepts the remaining pieces."""
    size = len(pieces) // 2
    while size and max_attempts > 0:
        begin = 0
        while begin < len(pieces) and max_attempts > 0:
            max_attempts -= 1
            rest = pieces[:begin] + pieces[begin + size :]
            if fits(rest):
                pieces = rest
            else:
                begin += size
        size //= 2


class _BlockCounter(ast.NodeTransformer):
    """Inserts a counter into each block and each arm of a conditional expression."""

    def __init__(self) -> None:
        self.names, self.within = list[str](), ""

    def _number(self, node: ast.AST, what: str) -> int:
        self.names.append(f"{self.within}:{node.lineno}:{node.col_offset} {what}")  # type: ignore[attr-defined]
        return len(self.names) - 1

    def _block(self, body: list[ast.stmt], what: str) -> list[ast.stmt]:
        call = ast.parse(f"_counts[{self._number(body[0], what)}] += 1").body[0]
        head = 1 if isinstance(body[0], ast.Expr) and isinstance(body[0].value, ast.Constant) else 0
        return body[:head] + [ast.copy_location(call, body[0])] + body[head:]

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:
        self.within = node.name
        self.generic_visit(node)
        node.body = self._block(node.body, "function")
        return node

    def visit_If(self, node: ast.If) -> ast.AST:
        self.generic_visit(node)
        node.body = self._block(node.body, "then")
        if node.orelse and not isinstance(node.orelse[0], ast.If):
            node.orelse = self._block(node.orelse, "else")
        return node

    def visit_For(self, node: ast.For) -> ast.AST:
        self.generic_visit(node)
        node.body = self._block(node.body, "loop")
        return node

    def visit_match_case(self, node: ast.match_case) -> ast.AST:
        self.generic_visit(node)
        node.body = self._block(node.body, "case")
        return node

    def visit_IfExp(self, node: ast.IfExp) -> ast.AST:
        self.generic_visit(node)
        for arm, what in (("body", "arm"), ("orelse", "other arm")):
            inner = getattr(node, arm)
            call = ast.Call(
                ast.Name("_count", ast.Load()),
                [ast.Constant(self._number(inner, what)), inner],
                [],
            )
            setattr(node, arm, ast.copy_location(call, inner))
        return node


def instrumented_reference_model() -> tuple[
    Callable[[ManagerSettings], DecisionModule], list[str], list[int]
]:
    """Return the reference model's Balancer with counted blocks, the block names and the counts.

    A block's name has its function, line and column in `tests/reference_model/balance.py`.
    """
    reference, blocks, block_counts = (
        importlib.import_module("tests.reference_model.balance"),
        _BlockCounter(),
        list[int](),
    )
    tree = ast.fix_missing_locations(blocks.visit(ast.parse(inspect.getsource(reference))))
    block_counts.extend([0] * len(blocks.names))

    def count(number: int, value: Any) -> Any:
        block_counts[number] += 1
        return value

    return (
        execute_module(
            compile(tree, str(reference.__file__), "exec"),
            {"_counts": block_counts, "_count": count},
        ),
        blocks.names,
        block_counts,
    )


def execute_module(
    code: types.CodeType, namespace: dict[str, Any]
) -> Callable[[ManagerSettings], DecisionModule]:
    """Execute a module's code and return its Balancer class."""
    module = types.ModuleType("instrumented_reference_model")
    module.__dict__.update(namespace)
    sys.modules[module.__name__] = module  # dataclasses look up their module by name
    exec(code, module.__dict__)
    return module.Balancer


def parse_seeds(text: str) -> range:
    """Parse a range of seeds: `7`, `100:200` or `17:1000:20`."""
    first, *rest = map(int, text.split(":"))
    return range(first, *rest) if rest else range(first, first + 1)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0:20")
    parser.add_argument(
        "--turns", type=float, default=1.0, help="factor on the default length of a history"
    )
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument(
        "--counts", action="store_true", help="print counts of events, orders and blocks"
    )
    args = parser.parse_args()
    counts, events, turns, found, rounding = Counter[str](), 0, 0, 0, 0
    for seed_count, seed in enumerate(parse_seeds(args.seeds), 1):
        history = record(seed, args.turns)
        result = replay(history)
        counts.update(history.counts)
        events += sum(len(turn.events) for turn in history.turns)
        turns, rounding = turns + result.turns, rounding + len(result.rounding)
        print(*result.rounding[:3], sep="\n", end="\n" if result.rounding else "", flush=True)
        if result.difference:
            found += 1
            difference = shrink(result.difference) if args.shrink else result.difference
            print(difference.report(), flush=True)
        if seed_count % 100 == 0:
            print(
                f"up to seed {seed}: {turns} turns, {events} events, {found} differences",
                file=sys.stderr,
                flush=True,
            )
    if args.counts:
        print(*(f"{n:9d} {name}" for name, n in sorted(counts.items())), sep="\n")
    print(
        f"seeds {args.seeds}: {turns} turns, {events} events, {found} differences, {rounding} turns with rounding"
    )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
