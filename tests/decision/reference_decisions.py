"""Same decisions: the former decision module and the present one over the same generated histories.

python -m tests.decision.reference_decisions --seeds 100:200 [--turns 2.0] [--shrink]

A history is drawn from its seed alone: what a manager is told at its start, then turns of events.
The former text (`tests/reference_model`) drives it in simulated time, as answers, probes, refusals
and timers follow its orders; its orders are kept beside the events, and the present text gets the
very same turns and must give the very same orders. Where only floats differ, by no more than a part
in 1e9, that counts as rounding and the comparison goes on.
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
from tests.decision.histories import Surroundings

Orders = list[Order]
Decides = Any  # a Balancer of either text
ROUNDING = 1e-9
NUMBER = re.compile(r"\d+\.?\d*")


@dataclass
class Turn:
    """One call: the clock in seconds, its events, and the former text's orders."""

    now: float
    events: list[Event]
    orders: Orders


@dataclass
class History:
    seed: int
    trade: ManagerSettings
    turns: list[Turn]
    counts: Counter[str]


@dataclass
class Difference:
    """The first one that is not of rounding, at this turn of the history."""

    history: History
    place: int
    present: Orders | str

    def report(self) -> str:
        turn = self.history.turns[self.place]
        lines = [
            f"seed {self.history.seed}, turn {self.place} of {len(self.history.turns)}, {turn.now:.3f} s",
            f"trade: {told(self.history.trade)}",
        ]
        for earlier in self.history.turns[max(0, self.place - 3) : self.place]:
            lines += [f"  before, {earlier.now:.3f} s: {event}" for event in earlier.events[-6:]]
        lines += [f"  event: {event}" for event in turn.events[:12]]
        if isinstance(self.present, str):
            return "\n".join([*lines, f"  present text raised {self.present}"])
        pairs = zip([*turn.orders, None], [*self.present, None], strict=False)
        first = next(
            (n for n, (a, b) in enumerate(pairs) if a is None or b is None or not alike(a, b)), 0
        )
        lines.append(
            f"  {len(turn.orders)} orders by the former, {len(self.present)} by the present; from {first} on:"
        )
        lines += [f"  former:  {order}" for order in turn.orders[first : first + 6]]
        lines += [f"  present: {order}" for order in self.present[first : first + 6]]
        return "\n".join(lines)


@dataclass
class Verdict:
    turns: int = 0
    rounding: list[str] = field(
        default_factory=list
    )  # one line for each turn whose orders differ by rounding
    difference: Difference | None = None


def told(trade: ManagerSettings) -> str:
    return (
        str(replace(trade, traffic_classes=trade.traffic_classes[:2]))
        + f" and {len(trade.traffic_classes)} products in all"
    )


def alike(former: Any, present: Any) -> bool:
    """Equal but for rounding."""
    if former == present:
        return True
    if type(former) is not type(present):
        return False
    if isinstance(former, float):
        return math.isclose(former, present, rel_tol=ROUNDING, abs_tol=ROUNDING)
    if isinstance(
        former, LogMessage
    ):  # its figures are printed to two places, so a last one may tip over
        mine, other = (NUMBER.findall(note.text) for note in (former, present))
        return NUMBER.sub("#", former.text) == NUMBER.sub("#", present.text) and all(
            abs(float(a) - float(b)) <= (0.0100001 if "." in a else 1.0)
            for a, b in zip(mine, other, strict=True)
        )
    return hasattr(former, "__dataclass_fields__") and all(
        alike(getattr(former, f.name), getattr(present, f.name)) for f in fields(former)
    )


def record(
    seed: int, scale: float = 1.0, make: Callable[[ManagerSettings], Decides] | None = None
) -> History:
    """Play a history with the former text, its blocks counted unless `make` gives it."""
    counts, around, turns = Counter[str](), Surroundings(seed, scale), []
    former, blocks, ran = counted()
    module = (make or former)(around.trade)
    for now, events in around.turns():
        orders = module.decide(now, events)
        around.obey(now, orders, module)
        turns.append(Turn(now, events, orders))
        counts.update(f"event {type(event).__name__}" for event in events)
        counts.update(map(kind, orders))
    counts["turns"] = len(turns)
    return History(
        seed,
        around.trade,
        turns,
        counts + around.said + Counter(dict(zip(blocks, ran, strict=True))),
    )


def kind(order: Order) -> str:
    name = type(order).__name__
    match order:
        case SetEjected(_, out):
            return f"order {name} {'out' if out else 'back'}"
        case SetWeight(_, _, weight):
            return f"order {name} {'taken away' if not weight else 'set'}"
        case RequestAcknowledgement(_, everyone):
            return f"order {name} {'to all' if everyone else 'to some'}"
        case AssignTable(_, products, _) if len(products) > 1:
            return f"order {name} of several products"
    return f"order {name}"


def replay(history: History, make: Callable[[ManagerSettings], Decides] = Balancer) -> Verdict:
    """Give the present text the history's turns, up to the first difference that is not of
    rounding.
    """
    module, verdict = make(history.trade), Verdict()
    for place, turn in enumerate(history.turns):
        try:
            orders = module.decide(turn.now, turn.events)
        except Exception as error:  # whatever it is, it is a difference, and told with its history
            verdict.difference = Difference(history, place, f"{type(error).__name__}: {error}")
            return verdict
        verdict.turns += 1
        if orders == turn.orders:
            continue
        if len(orders) != len(turn.orders) or not all(map(alike, turn.orders, orders)):
            verdict.difference = Difference(history, place, orders)
            return verdict
        first = next(pair for pair in zip(turn.orders, orders, strict=True) if pair[0] != pair[1])
        verdict.rounding.append(
            f"seed {history.seed}, {turn.now:.3f} s: {first[0]} became {first[1]}"
        )
    return verdict


def shrink(
    difference: Difference, make: Callable[[ManagerSettings], Decides] = Balancer, tries: int = 200
) -> Difference:
    """Cut turns, then events, for as long as the two texts still differ, each with this many tries.
    The rest stays as it was, so a cut history may hold answers to marks that were never given;
    both texts pass over those.
    """
    from tests.reference_model.balance import Balancer as Former

    def differs(cut: list[tuple[float, tuple[Event, ...]]]) -> bool:
        nonlocal best
        former, turns = Former(difference.history.trade), []
        try:
            for now, part in itertools.groupby(cut, lambda piece: piece[0]):
                events = [event for _, each in part for event in each]
                turns.append(Turn(now, events, former.decide(now, events)))
        except Exception:  # cut so that the model itself breaks: no cut at all
            return False
        found = replay(replace(best.history, turns=turns), make).difference
        best = found or best
        return found is not None

    turns = difference.history.turns[: difference.place + 1]
    best = replace(difference, history=replace(difference.history, turns=turns))
    less([(turn.now, tuple(turn.events)) for turn in turns], differs, tries)
    less(
        [(turn.now, (event,)) for turn in best.history.turns for event in turn.events],
        differs,
        tries,
    )
    return best


def less(pieces: list[Any], fits: Callable[[list[Any]], bool], tries: int) -> None:
    """Leave out ever smaller parts, as long as what is left fits."""
    size = len(pieces) // 2
    while size and tries > 0:
        begin = 0
        while begin < len(pieces) and tries > 0:
            tries -= 1
            rest = pieces[:begin] + pieces[begin + size :]
            if fits(rest):
                pieces = rest
            else:
                begin += size
        size //= 2


# Counting what of the former text ran: a counter at the head of each block and of each arm of a
# conditional.


class _Blocks(ast.NodeTransformer):
    def __init__(self) -> None:
        self.names, self.within = list[str](), ""

    def _number(self, node: ast.AST, what: str) -> int:
        self.names.append(f"{self.within}:{node.lineno}:{node.col_offset} {what}")  # type: ignore[attr-defined]
        return len(self.names) - 1

    def _block(self, body: list[ast.stmt], what: str) -> list[ast.stmt]:
        call = ast.parse(f"_ran[{self._number(body[0], what)}] += 1").body[0]
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
                ast.Name("_passed", ast.Load()),
                [ast.Constant(self._number(inner, what)), inner],
                [],
            )
            setattr(node, arm, ast.copy_location(call, inner))
        return node


def counted() -> tuple[Callable[[ManagerSettings], Decides], list[str], list[int]]:
    """The former Balancer with its blocks counted: their names, by function, line and column of
    `tests/reference_model/balance.py`, and how often each has run."""
    former, blocks, ran = (
        importlib.import_module("tests.reference_model.balance"),
        _Blocks(),
        list[int](),
    )
    tree = ast.fix_missing_locations(blocks.visit(ast.parse(inspect.getsource(former))))
    ran.extend([0] * len(blocks.names))

    def passed(number: int, value: Any) -> Any:
        ran[number] += 1
        return value

    return (
        made(compile(tree, str(former.__file__), "exec"), {"_ran": ran, "_passed": passed}),
        blocks.names,
        ran,
    )


def made(code: types.CodeType, given: dict[str, Any]) -> Callable[[ManagerSettings], Decides]:
    """The Balancer of a text of its own."""
    module = types.ModuleType("a_text_of_its_own")
    module.__dict__.update(given)
    sys.modules[module.__name__] = module  # dataclasses look their module up
    exec(code, module.__dict__)
    return module.Balancer


def seeds(text: str) -> range:
    """`7`, `100:200` or `17:1000:20`."""
    first, *rest = map(int, text.split(":"))
    return range(first, *rest) if rest else range(first, first + 1)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="0:20")
    parser.add_argument(
        "--turns", type=float, default=1.0, help="times the usual length of a history"
    )
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--counts", action="store_true", help="print what was covered")
    args = parser.parse_args()
    counts, events, turns, found, rounding = Counter[str](), 0, 0, 0, 0
    for place, seed in enumerate(seeds(args.seeds), 1):
        history = record(seed, args.turns)
        verdict = replay(history)
        counts.update(history.counts)
        events += sum(len(turn.events) for turn in history.turns)
        turns, rounding = turns + verdict.turns, rounding + len(verdict.rounding)
        print(*verdict.rounding[:3], sep="\n", end="\n" if verdict.rounding else "", flush=True)
        if verdict.difference:
            found += 1
            difference = shrink(verdict.difference) if args.shrink else verdict.difference
            print(difference.report(), flush=True)
        if place % 100 == 0:
            print(
                f"to seed {seed}: {turns} turns, {events} events, {found} differences",
                file=sys.stderr,
                flush=True,
            )
    if args.counts:
        print(*(f"{n:9d} {name}" for name, n in sorted(counts.items())), sep="\n")
    print(
        f"seeds {args.seeds}: {turns} turns, {events} events, {found} differences, {rounding} turns of rounding"
    )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
