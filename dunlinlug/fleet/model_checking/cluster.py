"""The model of a small cluster of protocol state machines with clocks, disks and a faulty network.

It contains the steps that the models of the election and of ownership share: time passes; a member
acts when its timer is due; a message is delivered, is delivered and stays in flight, or is lost. A
frozen member needs no step of its own: it is a member that takes no step while time passes, so that
its decisions stay pending and messages to it are delayed.
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
UNLIMITED_TERMS = 99  # more terms than a recovery check can reach
RECOVERY_TIMEOUT = 10**6  # longer than any run, so that no recovering member votes again
ItemT = TypeVar("ItemT")


class StateMachine(Protocol):
    """A member's protocol: free of I/O, with times and messages as input and orders as output."""

    @property
    def self_id(self) -> str:
        """The name of the member."""

    def clone(self) -> Self:
        """Returns an independent copy."""

    def next_deadline(self) -> float:
        """Returns when `tick` is due, on the member's clock."""

    def tick(self, now: float) -> list[Any]:
        """Acts on due timers and returns the orders to execute."""


class Delivery(NamedTuple):
    """A message in flight."""

    recipient: str
    message: Any  # of one of the classes that the model's members and executors exchange


@dataclass(frozen=True, kw_only=True)
class ExplorationLimits:
    """Limits of one run: bounds of the state, and how many faults of each kind may still occur.

    Attributes:
        terms: The term from which on only a leader may act on its timer.
        in_flight: The maximum number of messages in flight.
        losses: How many messages may be lost.
        duplications: How many messages may be delivered twice.
        restarts: How often members may restart.
    """

    terms: int = 3
    in_flight: int = 3
    losses: int = 1
    duplications: int = 1
    restarts: int = 1


MachineT_co = TypeVar("MachineT_co", bound=StateMachine, covariant=True)
LimitsT_co = TypeVar("LimitsT_co", bound=ExplorationLimits, covariant=True)


@dataclass(frozen=True, kw_only=True)
class SystemState(Generic[MachineT_co, LimitsT_co]):
    """A state of the whole cluster.

    Attributes:
        now: Ticks of the true clock.
        protocols: The members' protocols, in the order of `MEMBERS`.
        in_flight: Messages in flight.
        remaining: The limits that remain for further steps.
        violation: The forbidden action of the last step; empty if there was none.
    """

    now: int
    protocols: tuple[MachineT_co, ...]
    in_flight: tuple[Delivery, ...]
    remaining: LimitsT_co
    violation: str = ""


ClusterStateT = TypeVar("ClusterStateT", bound=SystemState[StateMachine, ExplorationLimits])
MachineT = TypeVar("MachineT", bound=StateMachine)


class ClusterModel(ABC, Generic[ClusterStateT, MachineT]):
    """The steps and checks common to all cluster models; subclasses define the members' actions.

    Attributes:
        settle_deliveries: The maximum number of messages delivered after each member's turn in
            `settle`.
        recovery_ticks: Ticks within which the cluster must recover after the last fault.
        recovery_goal: What must hold after recovery, as a phrase for the violation text.
        fenced: Whether receivers of commands check terms or tokens.
    """

    settle_deliveries: ClassVar[int]
    recovery_ticks: ClassVar[int]
    recovery_goal: ClassVar[str]
    fenced: bool

    @abstractmethod
    def local_time(self, state: ClusterStateT, index: int) -> int:
        """Returns the time on a member's clock."""

    @abstractmethod
    def timer_allowed(self, protocol: MachineT, limits: ExplorationLimits) -> bool:
        """Returns whether a member whose timer is due may act within the limits."""

    @abstractmethod
    def member_steps(self, state: ClusterStateT, index: int) -> Iterator[Step[ClusterStateT]]:
        """Yields the steps that one member may take next."""

    @abstractmethod
    def execute(
        self, state: ClusterStateT, index: int, protocol: MachineT, orders: Sequence[object]
    ) -> ClusterStateT:
        """Returns the state after a member, whose new state is `protocol`, executed orders."""

    @abstractmethod
    def deliver(self, state: ClusterStateT, delivery: Delivery, fenced: bool) -> ClusterStateT:
        """Returns the state after a delivery, which the caller has removed from those in flight."""

    @abstractmethod
    def describe_delivery(self, delivery: Delivery) -> str:
        """Returns a message's name in traces; different messages have different names."""

    def may_duplicate(self, delivery: Delivery) -> bool:  # noqa: ARG002 - for models to narrow
        """Returns whether the network may deliver this message twice."""
        return True

    @abstractmethod
    def without_faults(self, state: ClusterStateT) -> ClusterStateT:
        """Returns the same state with no further faults allowed and unlimited terms."""

    @abstractmethod
    def is_recovered(self, state: ClusterStateT) -> bool:
        """Returns whether the cluster is operational."""

    @abstractmethod
    def check_invariants(self, state: ClusterStateT) -> str:
        """Describes the invariant that this state violates; empty if none."""

    def within_limits(self, state: ClusterStateT) -> bool:
        """Returns whether the number of messages in flight is within the limits."""
        return len(state.in_flight) <= state.remaining.in_flight

    def steps(self, state: ClusterStateT) -> Iterator[Step[ClusterStateT]]:
        """Yields all next steps: time passes, a member acts, a message is delivered or lost."""
        yield Step("time passes", lambda: replace(state, now=state.now + 1))
        for index in range(len(MEMBERS)):
            yield from self.member_steps(state, index)
        for index, delivery in enumerate(state.in_flight):
            yield from self._delivery_steps(state, index, delivery)

    def timer_steps(self, state: ClusterStateT, index: int) -> Iterator[Step[ClusterStateT]]:
        """Yields the step of the member's timer if that is due and within the limits."""
        protocol = cast(MachineT, state.protocols[index])
        due = protocol.next_deadline() <= self.local_time(state, index)
        if due and self.timer_allowed(protocol, state.remaining):
            yield Step(f"{MEMBERS[index]} acts on its timer", partial(self.run_timer, state, index))

    def run_timer(self, state: ClusterStateT, index: int) -> ClusterStateT:
        """Returns the state after a member acted on its timer."""
        protocol = self.clone_protocol(state, index)
        return self.execute(state, index, protocol, protocol.tick(self.local_time(state, index)))

    def clone_protocol(self, state: ClusterStateT, index: int) -> MachineT:
        """Returns a copy of a member's protocol state, which a step may change."""
        return cast(MachineT, state.protocols[index].clone())

    def _delivery_steps(
        self, state: ClusterStateT, index: int, delivery: Delivery
    ) -> Iterator[Step[ClusterStateT]]:
        limits = state.remaining
        after_removal = replace(state, in_flight=without_item(state.in_flight, index))
        name = self.describe_delivery(delivery)
        yield Step(f"{name} arrives", partial(self.deliver, after_removal, delivery, self.fenced))
        if limits.duplications and self.may_duplicate(delivery):
            reduced_limits = replace(limits, duplications=limits.duplications - 1)
            still_in_flight = replace(state, remaining=reduced_limits)
            yield Step(
                f"{name} arrives, and will again",
                partial(self.deliver, still_in_flight, delivery, self.fenced),
            )
        if limits.losses:
            reduced_limits = replace(limits, losses=limits.losses - 1)
            yield Step(f"{name} is lost", partial(replace, after_removal, remaining=reduced_limits))

    def settle(self, state: ClusterStateT, members: tuple[int, ...]) -> ClusterStateT:
        """Runs the due timers of these members, and delivers messages in order after each."""
        for index in members:
            if state.protocols[index].next_deadline() <= self.local_time(state, index):
                state = self.run_timer(state, index)
            for _ in range(self.settle_deliveries):
                if not state.in_flight:
                    break
                delivery = state.in_flight[0]
                after_removal = replace(state, in_flight=state.in_flight[1:])
                state = self.deliver(after_removal, delivery, fenced=True)
        return state

    def check_recovery(self, state: ClusterStateT) -> str:
        """Describes what is wrong after the cluster had time to recover; empty if it recovered."""
        state = self.without_faults(state)
        for _ in range(self.recovery_ticks):
            state = self.settle(state, tuple(range(len(MEMBERS))))
            if self.is_recovered(state):
                return self.check_invariants(state)
            state = replace(state, now=state.now + 1)
        return f"not {self.recovery_goal} within {self.recovery_ticks} ticks"


def replace_item(items: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    """Returns the tuple with the item at an index replaced."""
    return (*items[:index], item, *items[index + 1 :])


def without_item(items: tuple[ItemT, ...], index: int) -> tuple[ItemT, ...]:
    """Returns the tuple without the item at an index."""
    return (*items[:index], *items[index + 1 :])


def fixed_uniform(low: float, high: float) -> float:  # noqa: ARG001 - same signature as Random's
    """Replaces `Random.uniform` by its lower bound.

    The steps of the search, not random delays, determine whether a member acts early or late.
    """
    return int(low)


def relative_time(value: float, now: int, earliest: int) -> int:
    """Returns the ticks from `now` to a time, rounded up to whole ticks.

    The result is at least `earliest`: all times before that are equivalent.
    """
    return max(ceil(value) - now, earliest)


def digest(canonical: object) -> int:
    """Returns a 128-bit hash of a canonical form of plain values, lists, tuples and bytes."""
    number: int = xxhash.xxh3_128_intdigest(msgpack.packb(canonical))
    return number
