"""The model of a small cluster of protocol state machines with clocks, disks and a faulty network.

It holds what the models of the election and of ownership have in common: time passes; a member acts
when its timer is due; a message arrives, arrives and stays to arrive again, or is lost. A member
that is frozen is one that takes no step while time passes: what it has decided waits, and messages
to it are late.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from math import ceil
from typing import Any, ClassVar, Generic, NamedTuple, Protocol, Self, TypeVar, cast

import msgpack
import xxhash

from dunlinlug.fleet.model_checking.model import Step

MEMBERS = ("a", "b", "c")
UNLIMITED_TERMS = 99  # for the time in which a state may recover
RECOVERY_TIMEOUT = 10**6  # longer than any run, so that no recovering member votes again
ItemT = TypeVar("ItemT")


class StateMachine(Protocol):
    """What a member runs: free of I/O, driven by times and messages, with orders as its answers."""

    @property
    def self_id(self) -> str:
        """The name of the member."""

    def clone(self) -> Self:
        """An independent copy."""

    def next_deadline(self) -> float:
        """When `tick` is due, on the member's clock."""

    def tick(self, now: float) -> list[Any]:
        """What is to be done at this time."""


class Delivery(NamedTuple):
    """A message on its way."""

    recipient: str
    message: Any  # of one of the classes that the model's members and executors exchange


@dataclass(frozen=True, kw_only=True)
class ExplorationLimits:
    """How much may happen in one run: bounds of the state, and the faults that may still come."""

    terms: int = 3  # highest term in which a member that does not lead may act on its timer
    in_flight: int = 3  # messages on their way
    losses: int = 1
    duplications: int = 1
    restarts: int = 1


MachineT_co = TypeVar("MachineT_co", bound=StateMachine, covariant=True)
LimitsT_co = TypeVar("LimitsT_co", bound=ExplorationLimits, covariant=True)


@dataclass(frozen=True, kw_only=True)
class SystemState(Generic[MachineT_co, LimitsT_co]):
    """A state of the whole cluster; `protocols` are in the order of `MEMBERS`."""

    now: int  # ticks of the true clock
    protocols: tuple[MachineT_co, ...]
    in_flight: tuple[Delivery, ...]
    remaining: LimitsT_co
    violation: str = ""  # what the last step did that must never be done


ClusterStateT = TypeVar("ClusterStateT", bound=SystemState[StateMachine, ExplorationLimits])
MachineT = TypeVar("MachineT", bound=StateMachine)


class ClusterModel(ABC, Generic[ClusterStateT, MachineT]):
    """Steps and checks that each model of a cluster has; a subclass says what its members do."""

    settle_deliveries: ClassVar[int]  # messages that may arrive at once when the cluster settles
    recovery_ticks: ClassVar[int]  # in which the cluster has to recover once faults end
    recovery_goal: ClassVar[str]  # what is to be so then
    fenced: bool  # whether receivers of commands check terms or tokens

    @abstractmethod
    def local_time(self, state: ClusterStateT, index: int) -> int:
        """The time on a member's clock."""

    @abstractmethod
    def timer_allowed(self, protocol: MachineT, limits: ExplorationLimits) -> bool:
        """Whether a member whose timer is due may act within the limits."""

    @abstractmethod
    def member_steps(self, state: ClusterStateT, index: int) -> Iterator[Step[ClusterStateT]]:
        """What one member may do next."""

    @abstractmethod
    def execute(
        self, state: ClusterStateT, index: int, protocol: MachineT, orders: Sequence[object]
    ) -> ClusterStateT:
        """The state after a member, whose new protocol state is given, carried out its orders."""

    @abstractmethod
    def deliver(self, state: ClusterStateT, delivery: Delivery, fenced: bool) -> ClusterStateT:
        """The state after a message arrived; the caller has taken it off the network."""

    @abstractmethod
    def describe_delivery(self, delivery: Delivery) -> str:
        """A message's name in traces; different for messages that differ."""

    def may_duplicate(self, delivery: Delivery) -> bool:  # noqa: ARG002 - for models to narrow
        """Whether the network may deliver this message twice."""
        return True

    @abstractmethod
    def without_faults(self, state: ClusterStateT) -> ClusterStateT:
        """The same state with no faults to come, and terms without a limit."""

    @abstractmethod
    def is_recovered(self, state: ClusterStateT) -> bool:
        """Whether the cluster does its work."""

    @abstractmethod
    def check_invariants(self, state: ClusterStateT) -> str:
        """The invariant that this state violates, in words; empty if none."""

    def within_limits(self, state: ClusterStateT) -> bool:
        """Whether no more messages are on their way than the limits allow."""
        return len(state.in_flight) <= state.remaining.in_flight

    def steps(self, state: ClusterStateT) -> Iterator[Step[ClusterStateT]]:
        """All that may happen next: time passes, a member acts, a message is delivered or lost."""
        yield Step("time passes", lambda: replace(state, now=state.now + 1))
        for index in range(len(MEMBERS)):
            yield from self.member_steps(state, index)
        for index, delivery in enumerate(state.in_flight):
            yield from self._delivery_steps(state, index, delivery)

    def timer_steps(self, state: ClusterStateT, index: int) -> Iterator[Step[ClusterStateT]]:
        """The member's step by its timer, if that is due."""
        protocol = cast(MachineT, state.protocols[index])
        due = protocol.next_deadline() <= self.local_time(state, index)
        if due and self.timer_allowed(protocol, state.remaining):
            yield Step(f"{MEMBERS[index]} acts on its time", partial(self.run_timer, state, index))

    def run_timer(self, state: ClusterStateT, index: int) -> ClusterStateT:
        """The state after a member acted on its timer."""
        protocol = self.clone_protocol(state, index)
        return self.execute(state, index, protocol, protocol.tick(self.local_time(state, index)))

    def clone_protocol(self, state: ClusterStateT, index: int) -> MachineT:
        """A copy of a member's protocol state, which a step may change."""
        return cast(MachineT, state.protocols[index].clone())

    def _delivery_steps(
        self, state: ClusterStateT, index: int, delivery: Delivery
    ) -> Iterator[Step[ClusterStateT]]:
        limits = state.remaining
        taken = replace(state, in_flight=without_item(state.in_flight, index))
        name = self.describe_delivery(delivery)
        yield Step(f"{name} arrives", partial(self.deliver, taken, delivery, self.fenced))
        if limits.duplications and self.may_duplicate(delivery):
            fewer = replace(limits, duplications=limits.duplications - 1)
            still_there = replace(state, remaining=fewer)
            yield Step(
                f"{name} arrives, and will again",
                partial(self.deliver, still_there, delivery, self.fenced),
            )
        if limits.losses:
            fewer = replace(limits, losses=limits.losses - 1)
            yield Step(f"{name} is lost", partial(replace, taken, remaining=fewer))

    def settle(self, state: ClusterStateT, members: tuple[int, ...]) -> ClusterStateT:
        """These members act if their timers are due; after each, messages arrive in order."""
        for index in members:
            if state.protocols[index].next_deadline() <= self.local_time(state, index):
                state = self.run_timer(state, index)
            for _ in range(self.settle_deliveries):
                if not state.in_flight:
                    break
                delivery = state.in_flight[0]
                taken = replace(state, in_flight=state.in_flight[1:])
                state = self.deliver(taken, delivery, fenced=True)
        return state

    def check_recovery(self, state: ClusterStateT) -> str:
        """What is wrong after the cluster had time to recover; empty if it has recovered."""
        state = self.without_faults(state)
        for _ in range(self.recovery_ticks):
            state = self.settle(state, tuple(range(len(MEMBERS))))
            if self.is_recovered(state):
                return self.check_invariants(state)
            state = replace(state, now=state.now + 1)
        return f"not {self.recovery_goal} within {self.recovery_ticks} ticks"


def replace_item(items: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    """The tuple with another item in this place."""
    return (*items[:index], item, *items[index + 1 :])


def without_item(items: tuple[ItemT, ...], index: int) -> tuple[ItemT, ...]:
    """The tuple without the item in this place."""
    return (*items[:index], *items[index + 1 :])


def fixed_uniform(low: float, high: float) -> float:  # noqa: ARG001 - stands for Random.uniform
    """In place of `Random.uniform`: the search chooses whether a member acts early or late."""
    return int(low)


def relative_time(value: float, now: int, earliest: int) -> int:
    """Ticks from `now` to a time, no less than `earliest`, from which on all past is the same.

    What is due between two ticks is due at the later.
    """
    return max(ceil(value) - now, earliest)


def digest(canonical: object) -> int:
    """The 128-bit number of a canonical form: of plain values, lists, tuples and bytes."""
    number: int = xxhash.xxh3_128_intdigest(msgpack.packb(canonical))
    return number
