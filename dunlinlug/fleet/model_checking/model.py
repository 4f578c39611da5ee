"""What a model checker needs to know of a system, and what a search reports."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

StateT = TypeVar("StateT")


class Step(NamedTuple, Generic[StateT]):
    """Something that may happen next: its name in traces, and what gives the successor.

    Names are unique among the steps of one state, as traces are replayed by them.
    """

    name: str
    take: Callable[[], StateT]


class Model(Protocol[StateT]):
    """What may happen in a system, and what must hold in each of its states.

    A state is never changed in place: each step makes its successor from a copy.
    """

    def initial_state(self) -> StateT:
        """The state that each search begins with."""

    def steps(self, state: StateT) -> Iterator[Step[StateT]]:
        """All that may happen next, always in the same order."""

    def check_invariants(self, state: StateT) -> str:
        """The invariant that this state violates, in words; empty if none."""

    def canonical_form(self, state: StateT) -> int:
        """A 128-bit number, equal for states between which no later event can tell."""

    def within_limits(self, state: StateT) -> bool:
        """Whether the state is within the limits of the exploration."""

    def check_recovery(self, state: StateT) -> str:
        """What is still wrong some time after the last fault, in words; empty if all is well."""


class RecoveryCounts(NamedTuple):
    """How many of the states from which recovery was tried did recover."""

    recovered: int = 0
    checked: int = 0


NO_RECOVERY_CHECKS = RecoveryCounts()


@dataclass(frozen=True)
class ExplorationResult:
    """What one search visited, and the violation that it ended with."""

    states: int  # different canonical forms visited
    trace: list[str] = field(default_factory=list)  # names of the steps to the violation
    violation: str = ""  # empty if none was found
    exhaustive: bool = False  # whether all states within the limits were visited
    recoveries: RecoveryCounts = NO_RECOVERY_CHECKS
    courses: int = 0  # sequences of steps of the whole length, of a depth-first search
    revisits: int = 0  # steps of a depth-first search that led to a state visited before
    walks: int = 0  # random walks of the whole length
    step_counts: Counter[str] = field(default_factory=Counter)  # steps of random walks, by kind

    def describe(self, method: str, recovery_label: str) -> str:
        """The result for people, one line and the trace; `recovery_label` says what recovered."""
        recovery_text = ""
        if self.recoveries.checked:
            recovered, checked = self.recoveries
            recovery_text = f"; {recovery_label} in {recovered} of {checked} tried"
        coverage = " (all within the bounds)" if self.exhaustive else ""
        violation = self.violation or "nothing"
        summary = f"{method}: {self.states} states{coverage}; broken: {violation}{recovery_text}"
        return "\n".join([summary, *(f"{n:3d}  {step}" for n, step in enumerate(self.trace, 1))])
