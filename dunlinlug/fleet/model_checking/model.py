"""The interface of models for the model checker, and the results of searches."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

StateT = TypeVar("StateT")


class Step(NamedTuple, Generic[StateT]):
    """A possible step: its name in traces, and a function that returns the successor state.

    Names are unique among the steps of one state, as traces are replayed by names.
    """

    name: str
    take: Callable[[], StateT]


class Model(Protocol[StateT]):
    """The possible steps of a system, and the invariants of its states.

    A state is never changed in place: each step makes its successor from a copy.
    """

    def initial_state(self) -> StateT:
        """Returns the state in which each search starts."""

    def steps(self, state: StateT) -> Iterator[Step[StateT]]:
        """Yields all possible next steps, always in the same order."""

    def check_invariants(self, state: StateT) -> str:
        """Describes the invariant that this state violates; empty if none."""

    def canonical_form(self, state: StateT) -> int:
        """Returns a 128-bit number that is equal for states with the same possible futures."""

    def within_limits(self, state: StateT) -> bool:
        """Returns whether the state is within the limits of the exploration."""

    def check_recovery(self, state: StateT) -> str:
        """Describes what is still wrong some time after the last fault; empty if nothing is."""


class RecoveryCounts(NamedTuple):
    """The number of states whose recovery was checked, and how many of them recovered."""

    recovered: int = 0
    checked: int = 0


NO_RECOVERY_CHECKS = RecoveryCounts()


@dataclass(frozen=True)
class ExplorationResult:
    """The result of one search.

    Attributes:
        states: The number of different canonical forms visited.
        trace: The names of the steps to the violation.
        violation: The violation that ended the search; empty if none was found.
        exhaustive: Whether all states within the limits were visited.
        recoveries: The results of recovery checks in a breadth-first search.
        paths: The paths of the whole length that a depth-first search took.
        revisits: Steps of a depth-first search that led to a state visited before.
        walks: Random walks of the whole length.
        step_counts: The steps of random walks by kind.
    """

    states: int
    trace: list[str] = field(default_factory=list)
    violation: str = ""
    exhaustive: bool = False
    recoveries: RecoveryCounts = NO_RECOVERY_CHECKS
    paths: int = 0
    revisits: int = 0
    walks: int = 0
    step_counts: Counter[str] = field(default_factory=Counter)

    def describe(self, method: str, recovery_label: str) -> str:
        """Formats the result for printing: one line, and then the trace.

        `recovery_label` names what holds in a recovered state.
        """
        recovery_text = ""
        if self.recoveries.checked:
            recovered, checked = self.recoveries
            recovery_text = f"; {recovery_label} in {recovered} of {checked} checks"
        coverage = " (all within the limits)" if self.exhaustive else ""
        violation = self.violation or "none"
        summary = f"{method}: {self.states} states{coverage}; violation: {violation}{recovery_text}"
        return "\n".join([summary, *(f"{n:3d}  {step}" for n, step in enumerate(self.trace, 1))])
