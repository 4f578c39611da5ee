"""Model checker of the membership protocol: three members, deliveries in any order, and faults.

python -m dunlinlug.fleet.membership.model [--depth 5] [--walks 2000] [--seed 1]

Explores all sequences of `--depth` steps from a converged cluster, without continuing from a state
visited before, then `--walks` random walks of forty steps. Faults are lost and duplicated messages,
a kill, a restart and a partition. After each sequence, messages flow without faults for a while.
Then each running member must be alive in all views, with its newest start epoch; each stopped one
must have failed; and all views must agree. In no state may a member hold a start epoch that never
existed.
The protocol class is the one used in production; its random number generator has fixed results.
"""

import pickle
from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import partial
from random import Random
from typing import Any, NamedTuple

import xxhash

from dunlinlug.fleet.membership.messages import ALIVE, FAILED, MemberState, Message, Send, StateSync
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.model_checking.command_line import run_path_command
from dunlinlug.fleet.model_checking.model import Step

NAMES = ("a", "b", "c")
PROBE_INTERVAL = 0.2  # seconds
# Seconds of delivery without faults: enough for a reconnect, a suspicion and a full sync.
RECOVERY_SECONDS = 14.0
DELIVERABLE_MESSAGES = 4  # only the oldest messages in flight are delivered, lost or duplicated
NEVER = 1e9  # seconds; a later time counts as never


class Fault(StrEnum):
    """Faults; `FAULT_BUDGET` limits how often each occurs. The values are also kinds of steps."""

    LOSE = "lose"
    DUPLICATE = "double"
    KILL = "kill"
    RESTART = "restart"
    PARTITION = "cut"


FAULT_BUDGET = {
    Fault.LOSE: 3,
    Fault.DUPLICATE: 2,
    Fault.KILL: 1,
    Fault.RESTART: 1,
    Fault.PARTITION: 1,
}


class FixedRandom(Random):
    """A random number generator with fixed results, so that a run depends on its steps alone."""

    def random(self) -> float:
        """Return the middle."""
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        """Return the middle."""
        return (a + b) / 2

    def shuffle(self, x: Any) -> None:
        """Keep the order."""

    def sample(self, population: Any, k: int, **_counts: Any) -> Any:
        """Return the first `k`."""
        return list(population)[:k]

    def choice(self, seq: Any) -> Any:
        """Return the first."""
        return seq[0]


class Delivery(NamedTuple):
    """A message in flight between members."""

    sender: str
    recipient: str
    message: Message


@dataclass
class MembershipState:
    """All running members, and the network between them."""

    now: float = 0.0
    protocols: dict[str, MembershipProtocol] = field(default_factory=dict)
    start_epochs: dict[str, int] = field(default_factory=dict)
    in_flight: list[Delivery] = field(default_factory=list)
    isolated_member: str = ""  # empty if there is no partition
    remaining_faults: dict[Fault, int] = field(default_factory=lambda: dict(FAULT_BUDGET))

    def clone(self) -> "MembershipState":
        """An independent copy."""
        return replace(
            self,
            protocols={name: clone_protocol(protocol) for name, protocol in self.protocols.items()},
            start_epochs=dict(self.start_epochs),
            in_flight=list(self.in_flight),
            remaining_faults=dict(self.remaining_faults),
        )

    def start(self, name: str) -> None:
        """Start a member's process, without any state of an earlier one."""
        self.start_epochs[name] = self.start_epochs.get(name, 0) + 1
        seeds = [(other, 1) for other in NAMES]
        self.protocols[name] = MembershipProtocol(
            name, self.start_epochs[name], (name, 1), seeds, self.now, PROBE_INTERVAL, FixedRandom()
        )

    def execute(self, name: str, orders: list[Any]) -> None:
        """Add a member's messages to those in flight; its other orders have no effect here."""
        for order in orders:
            if isinstance(order, Send) and order.address[0] in NAMES:
                self.in_flight.append(Delivery(name, order.address[0], order.message))

    def tick(self) -> None:
        """Advance to the next deadline of a member, and run the timers that are due."""
        next_deadline = min(protocol.next_deadline() for protocol in self.protocols.values())
        self.now = max(self.now, next_deadline)
        for name, protocol in self.protocols.items():
            if protocol.next_deadline() <= self.now:
                self.execute(name, protocol.tick(self.now))

    def deliver(self, index: int) -> None:
        """Remove a message from the network and deliver it; see `arrive`."""
        self.arrive(self.in_flight.pop(index))

    def arrive(self, delivery: Delivery) -> None:
        """Deliver a message, whether or not it stays on the network as a duplicate.

        It is lost if its recipient is stopped or a partition separates sender and recipient.
        """
        sender, recipient, message = delivery
        if recipient in self.protocols and self.isolated_member not in (sender, recipient):
            self.execute(recipient, self.protocols[recipient].receive(self.now, message))

    def recover(self) -> None:
        """Deliver all messages for `RECOVERY_SECONDS`, without faults."""
        self.isolated_member = ""
        until = self.now + RECOVERY_SECONDS
        while self.now < until:
            self._deliver_all()
            self.tick()
        self._deliver_all()

    def _deliver_all(self) -> None:
        while self.in_flight:
            self.deliver(0)


class MembershipModel:
    """The membership protocol as a model for the search."""

    def initial_state(self) -> MembershipState:
        """Three members that have joined each other."""
        state = MembershipState()
        for name in NAMES:
            state.start(name)
        for protocol in state.protocols.values():
            protocol.next_deadline()  # sets the due time by which the protocol detects pauses
        state.recover()
        return state

    def steps(self, state: MembershipState) -> Iterator[Step[MembershipState]]:
        """All possible next steps."""
        remaining = state.remaining_faults
        yield _step("tick", 0, state, MembershipState.tick)
        for index, delivery in enumerate(state.in_flight[:DELIVERABLE_MESSAGES]):
            yield _step("deliver", index, state, partial(_deliver, index=index))
            if remaining[Fault.LOSE] and not isinstance(delivery.message, StateSync):
                yield _step(Fault.LOSE, index, state, partial(_lose, index=index))
            if remaining[Fault.DUPLICATE]:
                yield _step(Fault.DUPLICATE, index, state, partial(_duplicate, index=index))
        for index, name in enumerate(NAMES):
            all_run = len(state.protocols) == len(NAMES)
            if name in state.protocols and remaining[Fault.KILL] and all_run:
                yield _step(Fault.KILL, index, state, partial(_kill, name=name))
            if remaining[Fault.RESTART]:
                yield _step(Fault.RESTART, index, state, partial(_restart, name=name))
            if remaining[Fault.PARTITION] and not state.isolated_member:
                yield _step(Fault.PARTITION, index, state, partial(_isolate, name=name))
        if state.isolated_member:
            yield _step("heal", 0, state, partial(_isolate, name=""))

    def check_invariants(self, state: MembershipState) -> str:
        """Describe a start epoch in some view that never existed; empty if there is none."""
        for name, protocol in state.protocols.items():
            for subject, member_state in protocol.table.members.items():
                if member_state.incarnation[0] > state.start_epochs[subject]:
                    return f"{name} holds a start epoch of {subject} that never existed"
        return ""

    def check_recovery(self, state: MembershipState) -> str:
        """Describe what is wrong after a recovery; empty if nothing."""
        recovered = state.clone()
        recovered.recover()
        return _check_convergence(recovered) or self.check_invariants(recovered)

    def within_limits(self, state: MembershipState) -> bool:
        """Always true: steps beyond the fault budget are not offered."""
        return min(state.remaining_faults.values()) >= 0

    def canonical_form(self, state: MembershipState) -> int:
        """Return a hash that is equal for states with the same future behaviour."""
        forms = [
            _protocol_form(name, protocol, state.now)
            for name, protocol in sorted(state.protocols.items())
        ]
        faults = sorted((str(fault), count) for fault, count in state.remaining_faults.items())
        body = pickle.dumps((forms, state.in_flight, state.isolated_member, faults))
        number: int = xxhash.xxh3_128_intdigest(body)
        return number


def _step(
    kind: str, index: int, state: MembershipState, change: Callable[[MembershipState], object]
) -> Step[MembershipState]:
    return Step(f"{kind} {index}", partial(_successor, state, kind, change))


def _successor(
    state: MembershipState, kind: str, change: Callable[[MembershipState], object]
) -> MembershipState:
    """Return a copy of the state after a change; a fault is deducted from its budget."""
    successor = state.clone()
    if kind in set(Fault):
        successor.remaining_faults[Fault(kind)] -= 1
    change(successor)
    return successor


def _deliver(state: MembershipState, index: int) -> None:
    state.deliver(index)


def _lose(state: MembershipState, index: int) -> None:
    state.in_flight.pop(index)


def _duplicate(state: MembershipState, index: int) -> None:
    state.arrive(state.in_flight[index])


def _kill(state: MembershipState, name: str) -> None:
    del state.protocols[name]


def _restart(state: MembershipState, name: str) -> None:
    state.start(name)


def _isolate(state: MembershipState, name: str) -> None:
    state.isolated_member = name


def _check_convergence(state: MembershipState) -> str:
    """Describe what is wrong with the members' views; empty if they agree and are right."""
    for name, protocol in state.protocols.items():
        if protocol.state != "alive":
            return f"{name} is {protocol.state}"
        for subject in NAMES:
            fault = _check_view(state, subject, protocol.table.members.get(subject))
            if fault:
                return f"{name} has {subject} as {fault}"
    if len({protocol.table.digest() for protocol in state.protocols.values()}) > 1:
        return "views differ"
    return ""


def _check_view(state: MembershipState, subject: str, member_state: MemberState | None) -> str:
    """Describe a wrong view of the subject; empty if it is right."""
    if subject not in state.protocols:
        right = member_state is None or member_state.state == FAILED
        return "" if right else f"{member_state}, which is stopped"
    start_epoch = state.start_epochs[subject]
    if member_state is not None:
        known = (member_state.state, member_state.incarnation[0])
        if known == (ALIVE, start_epoch):
            return ""
    return f"{member_state}, which is running with start epoch {start_epoch}"


def _protocol_form(name: str, protocol: MembershipProtocol, now: float) -> tuple[Any, ...]:
    """Return the part of a protocol's state that its future depends on, with relative times."""

    def relative(at: float) -> float:
        return round(at - now, 3)

    return (
        name,
        protocol.local_state,
        protocol.local_health,
        protocol.state,
        sorted(protocol.table.members.items()),
        sorted(protocol.table.pending_broadcasts.items()),
        relative(protocol.next_probe_at),
        relative(min(protocol.next_reconnect_at, NEVER)),
        protocol.probe_order,
        sorted(
            (probe.name, relative(probe.deadline), probe.nacks)
            for probe in protocol.probes.values()
        ),
        sorted(
            (subject, relative(suspicion.started_at), sorted(suspicion.confirmed_by))
            for subject, suspicion in protocol.suspicions.items()
        ),
    )


def clone_protocol(protocol: MembershipProtocol) -> MembershipProtocol:
    """Return an independent copy of a member's protocol state."""
    duplicate = copy(protocol)
    duplicate.table = copy(protocol.table)
    for name in ("members", "bans", "reachability_reports", "pending_broadcasts", "tombstones"):
        setattr(duplicate.table, name, dict(getattr(protocol.table, name)))
    for name in ("peers", "probes", "indirect_probes"):
        copies = {key: copy(value) for key, value in getattr(protocol, name).items()}
        setattr(duplicate, name, copies)
    duplicate.suspicions = {
        name: replace(suspicion, confirmed_by=set(suspicion.confirmed_by))
        for name, suspicion in protocol.suspicions.items()
    }
    duplicate.probe_order = list(protocol.probe_order)
    return duplicate


def main() -> None:
    """Run the search from the command line."""
    run_path_command(MembershipModel())


if __name__ == "__main__":
    main()
