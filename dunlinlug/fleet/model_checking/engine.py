"""Explicit-state search over models of the fleet's machines: breadth first, drawn walks, shortest
traces.

A model is any world with steps to further worlds. States are known by a 128-bit number of their
form, so that millions fit in memory; nothing of it runs in service.
"""

import re
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

STEP_KIND_WEIGHTS = (0.02, 0.2, 1.0, 5.0)  # how much a walk may like a kind of step
Step = tuple[str, Callable[[], Any]]


class Model(Protocol):
    """What may happen in a world, and what must hold in it."""

    def steps(self, state: Any) -> Iterator[Step]:
        """All that may happen next, by name."""

    def check_invariants(self, state: Any) -> str:
        """The property that this state breaks, in words; empty if none."""

    def canonical_form(self, state: Any) -> int:
        """A state's number: equal for states between which nothing that comes can tell."""

    def within_limits(self, state: Any) -> bool:
        """Whether the state is within the bounds."""

    def recovers(self, state: Any) -> bool:
        """Whether, with no more trouble, all is well again after a while."""


@dataclass
class ExplorationResult:
    """`states` visited; `trace` of steps to the first state that breaks a property, and which;
    `whole` if all states within the bounds were visited; `revived` of those tried for it.
    """

    states: int
    trace: list[str]
    violation: str
    exhaustive: bool
    recoveries: tuple[int, int]

    def describe(self, method: str, recovery_label: str) -> str:
        """For people; `again` is what a revived state has."""
        recovery_text = (
            f"; {recovery_label} in {self.recoveries[0]} of {self.recoveries[1]} tried"
            if self.recoveries[1]
            else ""
        )
        summary = (
            f"{method}: {self.states} states{' (all within the bounds)' if self.exhaustive else ''}; "
            f"broken: {self.violation or 'nothing'}{recovery_text}"
        )
        return "\n".join([summary, *(f"{n:3d}  {step}" for n, step in enumerate(self.trace, 1))])


def follow_patterns(model: Model, state: Any, patterns: Iterable[str]) -> Any:
    """Take, for each pattern, the first step whose name it matches; raises LookupError if there is
    none.
    """
    for pattern in patterns:
        names = list(model.steps(state))
        step = next((step for name, step in names if re.match(pattern, name)), None)
        if step is None:
            raise LookupError(f"no step {pattern!r}; there are {[name for name, _ in names]}")
        state = step()
    return state


def explore_breadth_first(
    model: Model,
    initial_state: Any,
    max_states: int,
    max_seconds: float = 1e9,
    recovery_check_interval: int = 0,
) -> ExplorationResult:
    """Breadth first, so that the trace is a shortest one."""
    queue = deque([(initial_state, model.canonical_form(initial_state))])
    seen = {model.canonical_form(initial_state): (0, "")}
    deadline = time.monotonic() + max_seconds
    recovery_checks = 0
    recoveries = 0
    while queue:
        state, parent_form = queue.popleft()
        if len(seen) >= max_states or time.monotonic() > deadline:
            return ExplorationResult(len(seen), [], "", False, (recoveries, recovery_checks))
        for name, step in model.steps(state):
            successor = step()
            if not model.within_limits(successor):
                continue
            successor_form = model.canonical_form(successor)
            if successor_form in seen:
                continue
            seen[successor_form] = (parent_form, name)
            if violation := model.check_invariants(successor):
                return ExplorationResult(
                    len(seen),
                    _trace_to(seen, successor_form),
                    violation,
                    False,
                    (recoveries, recovery_checks),
                )
            queue.append((successor, successor_form))
            if recovery_check_interval and len(seen) % recovery_check_interval == 0:
                recovery_checks = recovery_checks + 1
                recoveries = recoveries + model.recovers(successor)
    return ExplorationResult(len(seen), [], "", True, (recoveries, recovery_checks))


def _trace_to(seen: dict[int, tuple[int, str]], form: int) -> list[str]:
    steps_back = []
    while seen[form][1]:
        form, name = seen[form][0], seen[form][1]
        steps_back.append(name)
    return steps_back[::-1]


# Walks: deeper than the breadth can reach.


def random_walk(
    model: Model, seed: str, length: int, initial_state: Any, seen: set[int] | None = None
) -> tuple[list[str], str]:
    """One run of drawn steps, to its length or to a state that breaks a property: the steps and
    what is broken. Each walk draws what it likes to do (swarm verification): evenly drawn steps
    come back to the same few states.
    """
    rng = Random(seed)
    state = initial_state
    trace = list[str]()
    weights = dict[str, float]()
    for _ in range(length):
        choices = list(model.steps(state))
        for kind in (_step_kind(name) for name, _ in choices):
            weights[kind] = weights.get(kind) or rng.choice(STEP_KIND_WEIGHTS)
        name, step = rng.choices(choices, [weights[_step_kind(name)] for name, _ in choices])[0]
        successor = step()
        if not model.within_limits(successor):
            continue
        state = successor
        trace.append(name)
        if seen is not None:
            seen.add(model.canonical_form(state))
        if violation := model.check_invariants(state):
            return trace, violation
    return trace, ""


def _step_kind(name: str) -> str:
    return re.sub(r"\d+", "", name)


def replay(model: Model, trace: list[str], initial_state: Any) -> str:
    """What these steps break; empty if nothing, or if one of them cannot be taken."""
    state = initial_state
    for step_name in trace:
        step = next((step for name, step in model.steps(state) if name == step_name), None)
        if step is None:
            return ""
        state = step()
        if violation := model.check_invariants(state):
            return violation
    return ""


def minimize_trace(model: Model, trace: list[str], initial_state: Any) -> list[str]:
    """The trace less all steps that it does not need; none of those left can be left out."""
    index = 0
    while index < len(trace):
        shorter = trace[:index] + trace[index + 1 :]
        if replay(model, shorter, initial_state):
            trace = shorter
            index = 0
        else:
            index += 1
    return trace


def swarm_search(
    model: Model,
    initial_state: Any,
    seconds: float,
    seed: int,
    length: int = 60,
    max_walks: int = 10**9,
) -> ExplorationResult:
    """Walks until one breaks a property; its trace is shortened."""
    seen = set[int]()
    deadline = time.monotonic() + seconds
    for walk_number in range(max_walks):
        if time.monotonic() > deadline:
            break
        trace, violation = random_walk(model, f"{seed} {walk_number}", length, initial_state, seen)
        if violation:
            minimal_trace = minimize_trace(model, trace, initial_state)
            return ExplorationResult(
                len(seen), minimal_trace, replay(model, minimal_trace, initial_state), False, (0, 0)
            )
    return ExplorationResult(len(seen), [], "", False, (0, 0))
