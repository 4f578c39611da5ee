"""Searches over the states of a model: breadth first, depth first, random walks, minimal traces.

Visited states are stored as their canonical forms, 128-bit numbers, so that millions fit in memory.
"""

import re
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf
from random import Random
from typing import Generic, NamedTuple, Protocol

from dunlinlug.fleet.model_checking.model import (
    ExplorationResult,
    Model,
    RecoveryCounts,
    StateT,
    Step,
)

UNLIMITED = 10**9
RECOVERY_WALK_LENGTH = 40  # steps of a walk before recovery is checked
STEP_KIND_WEIGHTS = (0.02, 0.2, 1.0, 5.0)  # relative weights that a walk draws for kinds of steps


def follow_patterns(model: Model[StateT], state: StateT, patterns: Iterable[str]) -> StateT:
    """Takes one step per regular expression: the first step whose name matches from its start.

    Raises:
        LookupError: No step of the current state matches the next pattern.
    """
    for pattern in patterns:
        steps = list(model.steps(state))
        matching = next((step for step in steps if re.match(pattern, step.name)), None)
        if matching is None:
            raise LookupError(
                f"no step matches {pattern!r}; available: {[step.name for step in steps]}"
            )
        state = matching.take()
    return state


# Breadth first.


class _Origin(NamedTuple):
    """How a state was first reached: the canonical form of its parent, and the step."""

    parent_form: int
    step_name: str  # empty for the initial state


def explore_breadth_first(
    model: Model[StateT],
    max_states: int,
    max_seconds: float = UNLIMITED,
    recovery_check_interval: int = 0,
    prefix: Iterable[str] = (),
) -> ExplorationResult:
    """Visits states in the order of their distance from the start, so that traces are shortest.

    Args:
        model: The model.
        max_states: Ends the search once this many states were visited; checked between states.
        max_seconds: Ends the search after this time; checked between states.
        recovery_check_interval: Checks recovery from each state whose number is a multiple of this;
            0 for no checks.
        prefix: Patterns of the steps that lead from the initial state to the start of the search.
    """
    first_state = follow_patterns(model, model.initial_state(), prefix)
    first_form = model.canonical_form(first_state)
    queue = deque([(first_state, first_form)])
    origins = {first_form: _Origin(0, "")}
    deadline = time.monotonic() + max_seconds
    recoveries = RecoveryCounts()
    while queue:
        state, form = queue.popleft()
        if len(origins) >= max_states or time.monotonic() > deadline:
            return ExplorationResult(len(origins), recoveries=recoveries)
        for step in model.steps(state):
            successor = step.take()
            if not model.within_limits(successor):
                continue
            successor_form = model.canonical_form(successor)
            if successor_form in origins:
                continue
            origins[successor_form] = _Origin(form, step.name)
            violation = model.check_invariants(successor)
            if violation:
                trace = _trace_to(origins, successor_form)
                return ExplorationResult(len(origins), trace, violation, recoveries=recoveries)
            queue.append((successor, successor_form))
            if recovery_check_interval and len(origins) % recovery_check_interval == 0:
                recoveries = _count_recovery(recoveries, model.check_recovery(successor))
    return ExplorationResult(len(origins), exhaustive=True, recoveries=recoveries)


def _count_recovery(counts: RecoveryCounts, fault: str) -> RecoveryCounts:
    recovered = counts.recovered if fault else counts.recovered + 1
    return RecoveryCounts(recovered, counts.checked + 1)


def _trace_to(origins: dict[int, _Origin], form: int) -> list[str]:
    names = []
    origin = origins[form]
    while origin.step_name:
        names.append(origin.step_name)
        origin = origins[origin.parent_form]
    return names[::-1]


# Depth first.


def explore_depth_first(
    model: Model[StateT], depth: int, max_paths: int = UNLIMITED
) -> ExplorationResult:
    """Explores all paths of `depth` steps, and checks after each that the system recovers.

    A path ends early at a state that was visited before. The search ends with the first violation,
    or after `max_paths` paths of the whole length.
    """
    visited = set[int]()
    paths = 0
    revisits = 0
    trace = list[str]()
    violation = ""
    stack = [(model.initial_state(), trace)]
    while stack and paths < max_paths and not violation:
        state, trace = stack.pop()
        if len(trace) == depth:
            paths += 1
            violation = model.check_recovery(state)
            continue
        for step in model.steps(state):
            successor = step.take()
            violation = model.check_invariants(successor)
            if violation:
                trace = [*trace, step.name]
                break
            form = model.canonical_form(successor)
            if form in visited:
                revisits += 1
                continue
            visited.add(form)
            stack.append((successor, [*trace, step.name]))
    return ExplorationResult(
        len(visited),
        trace if violation else [],
        violation,
        exhaustive=not stack and not violation,
        paths=paths,
        revisits=revisits,
    )


# Random walks, which reach deeper states than an exhaustive search.


class StepChooser(Protocol[StateT]):
    """Draws the next step of one random walk."""

    def choose(self, rng: Random, steps: list[Step[StateT]]) -> Step[StateT]:
        """Returns one of these steps."""


class SwarmChooser(Generic[StateT]):
    """Prefers different kinds of steps in each walk (swarm verification, Holzmann et al., 2011).

    Walks with uniformly drawn steps keep returning to the same few states.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}  # by kind of step, drawn when it is first possible

    def choose(self, rng: Random, steps: list[Step[StateT]]) -> Step[StateT]:
        """Returns one of these steps, drawn by the weights of their kinds."""
        kinds = [step_kind(step.name) for step in steps]
        for kind in kinds:
            if kind not in self.weights:
                self.weights[kind] = rng.choice(STEP_KIND_WEIGHTS)
        return rng.choices(steps, [self.weights[kind] for kind in kinds])[0]


class EvenKindChooser(Generic[StateT]):
    """Gives each kind of step the same probability, regardless of the number of its steps."""

    def choose(self, rng: Random, steps: list[Step[StateT]]) -> Step[StateT]:
        """Returns one of these steps; the kind is drawn first."""
        kind = rng.choice(sorted({step_kind(step.name) for step in steps}))
        return rng.choice([step for step in steps if step_kind(step.name) == kind])


def step_kind(name: str) -> str:
    """Returns the name of a step without its numbers."""
    return re.sub(r"\d+", "", name).strip()


@dataclass(frozen=True)
class WalkOptions(Generic[StateT]):
    """Options of random walks.

    Attributes:
        seed: The seed of all walks.
        length: Steps drawn for one walk.
        max_walks: The maximum number of walks.
        max_seconds: The time limit, checked between walks.
        make_chooser: Creates the step chooser of one walk.
        check_recovery: Whether to check recovery after each walk.
    """

    seed: int
    length: int = 60
    max_walks: int = UNLIMITED
    max_seconds: float = inf
    make_chooser: Callable[[], StepChooser[StateT]] = SwarmChooser
    check_recovery: bool = False


class _Walker(Generic[StateT]):
    """Takes random walks over a model, and records the states that they visit."""

    def __init__(self, model: Model[StateT], options: WalkOptions[StateT]) -> None:
        self.model = model
        self.options = options
        self.initial_state = model.initial_state()
        self.visited = set[int]()
        self.step_counts = Counter[str]()

    def walk(self, number: int) -> ExplorationResult:
        """Takes one walk, up to its length or to a state that violates an invariant."""
        rng = Random(f"{self.options.seed} {number}")
        chooser = self.options.make_chooser()
        state = self.initial_state
        trace = list[str]()
        for _ in range(self.options.length):
            step = chooser.choose(rng, list(self.model.steps(state)))
            successor = step.take()
            if not self.model.within_limits(successor):
                continue
            state = successor
            trace.append(step.name)
            self.step_counts[step_kind(step.name)] += 1
            self.visited.add(self.model.canonical_form(state))
            violation = self.model.check_invariants(state)
            if violation:
                return self._minimal_result(trace)
        fault = self.model.check_recovery(state) if self.options.check_recovery else ""
        return ExplorationResult(len(self.visited), trace if fault else [], fault, walks=1)

    def _minimal_result(self, trace: list[str]) -> ExplorationResult:
        minimal_trace = minimize_trace(self.model, trace, self.initial_state)
        violation = replay(self.model, minimal_trace, self.initial_state)
        return ExplorationResult(len(self.visited), minimal_trace, violation)


def swarm_search(model: Model[StateT], options: WalkOptions[StateT]) -> ExplorationResult:
    """Takes random walks until one finds a violation or a limit of the options is reached.

    The trace to a violated invariant is minimized. A trace after which the system does not recover
    is returned as it was walked.
    """
    walker = _Walker(model, options)
    deadline = time.monotonic() + options.max_seconds
    walks = 0
    result = ExplorationResult(0)
    while walks < options.max_walks and time.monotonic() <= deadline and not result.violation:
        result = walker.walk(walks)
        walks += 1
    return replace(
        result,
        states=len(walker.visited),
        walks=walks if result.walks or not walks else walks - 1,
        step_counts=walker.step_counts,
    )


def explore_recovery_randomly(
    model: Model[StateT], walks: int, seed: int, length: int = RECOVERY_WALK_LENGTH
) -> ExplorationResult:
    """Takes random walks with equally likely kinds of steps, and checks recovery after each."""
    return swarm_search(
        model,
        WalkOptions(
            seed, length, max_walks=walks, make_chooser=EvenKindChooser, check_recovery=True
        ),
    )


def replay(model: Model[StateT], trace: list[str], initial_state: StateT) -> str:
    """Returns the invariant that a trace violates; empty if none, or if a step is not possible."""
    state = initial_state
    for name in trace:
        matching = next((step for step in model.steps(state) if step.name == name), None)
        if matching is None:
            return ""
        state = matching.take()
        violation = model.check_invariants(state)
        if violation:
            return violation
    return ""


def minimize_trace(model: Model[StateT], trace: list[str], initial_state: StateT) -> list[str]:
    """Removes steps from a violating trace until no further step can be removed."""
    index = 0
    while index < len(trace):
        shorter = trace[:index] + trace[index + 1 :]
        if replay(model, shorter, initial_state):
            trace = shorter
            index = 0
        else:
            index += 1
    return trace
