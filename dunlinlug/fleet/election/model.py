"""Model checking of the election protocol: three managers, two proxies and a faulty network.

python -m dunlinlug.fleet.election.model [--states 1000000] [--seconds 600] [--walkers 4]

The model runs the production class of the protocol. The search begins with a leader that both
other members follow. Steps: time passes; a clock misses a tick; a member acts on its timer; a
message is delivered, duplicated or lost; a member restarts with its persisted state; the leader
receives a drain from service discovery, admits an attempt, or transfers leadership; an order to a
proxy is sent once its entry is committed.

Invariants, checked in each state: a term has at most one leader; at most one member holds the lease
at a time; no proxy goes back to a lower term or accepts orders of two leaders in one term; every
later leader that holds the lease has the entry of a drain that a proxy received; at most one order
that allows the attempt takes effect.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import ClassVar

import msgpack

from dunlinlug.fleet.election import messages, model_state
from dunlinlug.fleet.election.model_state import (
    ATTEMPT_ENTRY,
    DRAIN_ENTRY,
    TERM_START_ENTRY,
    ElectionLimits,
    ElectionState,
    FollowedLeader,
    PendingOrder,
    ProxyOrder,
    TermLeader,
    local_time,
)
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.model_checking.cluster import (
    MEMBERS,
    RECOVERY_TIMEOUT,
    UNLIMITED_TERMS,
    ClusterModel,
    Delivery,
    ExplorationLimits,
    fixed_uniform,
    replace_item,
)
from dunlinlug.fleet.model_checking.command_line import run_swarm_command
from dunlinlug.fleet.model_checking.model import Step
from dunlinlug.xds.fencing_term import FencingTerm

# In ticks. The drift covers one missed tick per lease, which shortens a leader's lease to two.
LEASE_TICKS = 3
HEARTBEAT_TICKS = 1
DRIFT = 0.2
PROXIES = 2
RECOVERY_LEASES = 12
WALK_LENGTH = 60  # steps
DEFAULT_LIMITS = ElectionLimits()
DEEP_LIMITS = ElectionLimits(in_flight=8, losses=3, terms=4)
ElectionStep = Step[ElectionState]


@dataclass(frozen=True)
class ElectionModel(ClusterModel[ElectionState, ElectionProtocol]):
    """The election protocol as a model.

    Two safety rules outside the protocol can be turned off, to show the violations that they
    prevent: without `wait_for_commit`, a leader's service sends orders before their entries are
    committed; without `fenced`, proxies do not check terms.
    """

    protocol_factory: Callable[..., ElectionProtocol] = ElectionProtocol
    limits: ElectionLimits = DEFAULT_LIMITS
    wait_for_commit: bool = True
    fenced: bool = True

    settle_deliveries: ClassVar[int] = 40
    recovery_ticks: ClassVar[int] = RECOVERY_LEASES * LEASE_TICKS
    recovery_goal: ClassVar[str] = "led"

    def initial_state(self) -> ElectionState:
        """A leader that both other members follow, with its first entry committed."""
        persisted = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
        state = ElectionState(
            now=0,
            clock_lags=(0,) * len(MEMBERS),
            protocols=tuple(self._start_protocol(name, persisted, 0) for name in MEMBERS),
            disks=(persisted,) * len(MEMBERS),
            logs=((),) * len(MEMBERS),
            pending_orders=(frozenset(),) * len(MEMBERS),
            in_flight=(),
            followed_leaders=(FollowedLeader(0, ""),) * PROXIES,
            drained=(False,) * PROXIES,
            attempts_allowed=0,
            leaders=(),
            remaining=self.limits,
        )
        state = self.settle(replace(state, now=LEASE_TICKS), (0,))
        while not _is_replicated(state):
            state = self.settle(replace(state, now=state.now + 1), (0,))
        return state

    def _start_protocol(self, name: str, persisted: messages.Persist, now: int) -> ElectionProtocol:
        return self.protocol_factory(
            name,
            persisted,
            now,
            LEASE_TICKS,
            HEARTBEAT_TICKS,
            DRIFT,
            RECOVERY_TIMEOUT,
            fixed_uniform,
        )

    def local_time(self, state: ElectionState, index: int) -> int:
        """The time on a member's clock, in ticks."""
        return local_time(state, index)

    def timer_allowed(self, protocol: ElectionProtocol, limits: ExplorationLimits) -> bool:
        """Whether the member leads, or the limits allow it another term."""
        return protocol.is_leader or protocol.term < limits.terms

    def member_steps(self, state: ElectionState, index: int) -> Iterator[ElectionStep]:
        """A missed clock tick, an action on a timer, a restart, and the steps of a leader."""
        name = MEMBERS[index]
        if state.remaining.missed_ticks:
            yield Step(
                f"time passes, and {name}'s clock misses it", partial(_miss_tick, state, index)
            )
        yield from self.timer_steps(state, index)
        if state.remaining.restarts:
            yield Step(f"{name} restarts", partial(self._restart, state, index))
        if state.protocols[index].holds_lease(local_time(state, index)):
            yield from self._leader_steps(state, index)

    def _restart(self, state: ElectionState, index: int) -> ElectionState:
        now = local_time(state, index)
        restarted = self._start_protocol(MEMBERS[index], state.disks[index], now)
        return replace(
            state,
            protocols=replace_item(state.protocols, index, restarted),
            logs=replace_item(state.logs, index, ()),
            pending_orders=replace_item(state.pending_orders, index, frozenset()),
            remaining=replace(state.remaining, restarts=state.remaining.restarts - 1),
        )

    def _leader_steps(self, state: ElectionState, index: int) -> Iterator[ElectionStep]:
        protocol = state.protocols[index]
        name = MEMBERS[index]
        for entry in state.remaining.entries:
            if entry not in state.logs[index]:
                yield Step(
                    f"{name} appends the entry {entry.decode()}",
                    partial(self._append_entry, state, index, entry),
                )
        for pending in sorted(state.pending_orders[index]):
            if self.wait_for_commit and protocol.committed[1] < pending.log_index:
                continue
            for proxy in range(PROXIES) if pending.entry == DRAIN_ENTRY else (0,):
                yield Step(
                    f"{name} orders proxy {proxy}: {pending.entry.decode()}",
                    partial(_send_order, state, index, proxy, pending),
                )
        if state.remaining.transfers and protocol.term < state.remaining.terms:
            for recipient in MEMBERS:
                if protocol.match_positions.get(recipient) == protocol.position:
                    yield Step(
                        f"{name} transfers leadership to {recipient}",
                        partial(self._transfer, state, index, recipient),
                    )

    def _append_entry(self, state: ElectionState, index: int, entry: bytes) -> ElectionState:
        protocol = self.clone_protocol(state, index)
        orders = protocol.append(local_time(state, index), entry)
        successor = self.execute(state, index, protocol, orders)
        pending = successor.pending_orders[index] | {PendingOrder(entry, protocol.position[1])}
        return replace(
            successor,
            logs=replace_item(successor.logs, index, (*successor.logs[index], entry)),
            pending_orders=replace_item(successor.pending_orders, index, pending),
        )

    def _transfer(self, state: ElectionState, index: int, recipient: str) -> ElectionState:
        protocol = self.clone_protocol(state, index)
        orders = protocol.transfer_leadership(local_time(state, index), recipient)
        successor = self.execute(state, index, protocol, orders)
        limits = successor.remaining
        return replace(successor, remaining=replace(limits, transfers=limits.transfers - 1))

    def execute(
        self,
        state: ElectionState,
        index: int,
        protocol: ElectionProtocol,
        orders: Sequence[object],
    ) -> ElectionState:
        """The state after a member executed its orders, as its service would."""
        return _OrderExecution(state, index, protocol).run(local_time(state, index), orders)

    def deliver(self, state: ElectionState, delivery: Delivery, fenced: bool) -> ElectionState:
        """The state after a message was delivered to a member, or an order to a proxy."""
        if isinstance(delivery.message, ProxyOrder):
            return _deliver_to_proxy(state, delivery.message, fenced)
        index = MEMBERS.index(delivery.recipient)
        protocol = self.clone_protocol(state, index)
        orders = protocol.receive(local_time(state, index), delivery.message)
        return self.execute(state, index, protocol, orders)

    def describe_delivery(self, delivery: Delivery) -> str:
        """A message's name in traces."""
        message = delivery.message
        if isinstance(message, ProxyOrder):
            entry = message.entry.decode()
            order = f"order of term {message.term} ({entry})"
            return f"{message.sender}'s {order} for proxy {message.proxy}"
        sent = f", sent at {message.sent_at:g}," if hasattr(message, "sent_at") else ""
        pre_vote = " (pre-vote)" if getattr(message, "pre_vote", False) else ""
        return (
            f"{message.sender}'s {type(message).__name__}{pre_vote} of term {message.term}{sent} "
            f"for {delivery.recipient}"
        )

    def may_duplicate(self, delivery: Delivery) -> bool:
        """Whether the network may duplicate it: not the attempt, as streams to proxies do not."""
        message = delivery.message
        return not (isinstance(message, ProxyOrder) and message.entry == ATTEMPT_ENTRY)

    def without_faults(self, state: ElectionState) -> ElectionState:
        """The same state without further faults, and without a limit on terms."""
        fault_free_limits = replace(
            state.remaining,
            terms=UNLIMITED_TERMS,
            missed_ticks=0,
            restarts=0,
            duplications=0,
            losses=0,
            transfers=0,
        )
        return replace(state, remaining=fault_free_limits)

    def is_recovered(self, state: ElectionState) -> bool:
        """Whether a leader holds its lease."""
        return bool(_lease_holders(state))

    def check_invariants(self, state: ElectionState) -> str:
        """A description of the invariant that this state violates; empty if none."""
        if state.violation:
            return state.violation
        terms = [leader.term for leader in state.leaders]
        if len(set(terms)) < len(terms):
            leaders = tuple(tuple(leader) for leader in state.leaders)
            return f"two leaders in one term: {leaders}"
        holders = _lease_holders(state)
        if len(holders) > 1:
            return f"{' and '.join(MEMBERS[index] for index in holders)} hold the lease at one time"
        if any(state.drained) and any(DRAIN_ENTRY not in state.logs[index] for index in holders):
            holder = MEMBERS[holders[0]]
            return f"{holder} holds the lease without the entry of a drain that a proxy received"
        if state.attempts_allowed > 1:
            return "the attempt was allowed twice"
        return ""

    def canonical_form(self, state: ElectionState) -> int:
        """A digest, which is equal for states with the same possible futures."""
        return model_state.canonical_form(state)


def _is_replicated(state: ElectionState) -> bool:
    """Whether all members have the same log and the first one has committed an entry."""
    positions = {protocol.position for protocol in state.protocols}
    return len(positions) == 1 and state.protocols[0].committed != messages.NO_POSITION


def _lease_holders(state: ElectionState) -> list[int]:
    return [
        index
        for index, protocol in enumerate(state.protocols)
        if protocol.holds_lease(local_time(state, index))
    ]


class _OrderExecution:
    """Executes a member's orders of one step; owns the parts of the state that they change."""

    def __init__(self, state: ElectionState, index: int, protocol: ElectionProtocol) -> None:
        self.state = state
        self.index = index
        self.protocol = protocol
        self.log = state.logs[index]
        self.pending = state.pending_orders[index]
        self.disk = state.disks[index]
        self.in_flight = list(state.in_flight)
        self.leaders = state.leaders

    def run(self, now: int, orders: Sequence[object]) -> ElectionState:
        """The state after these orders, and those that result from them, are executed."""
        queue = deque(orders)
        while queue:
            queue.extend(self._execute(now, queue.popleft()))
        state = self.state
        return replace(
            state,
            protocols=replace_item(state.protocols, self.index, self.protocol),
            logs=replace_item(state.logs, self.index, self.log),
            pending_orders=replace_item(state.pending_orders, self.index, self.pending),
            disks=replace_item(state.disks, self.index, self.disk),
            in_flight=tuple(self.in_flight),
            leaders=self.leaders,
        )

    def _execute(self, now: int, order: object) -> Sequence[object]:
        """Execute one order, and return the orders that result from it."""
        match order:
            case messages.Send(recipient, message):
                delivery = Delivery(recipient, message)
                if delivery not in self.in_flight:
                    self.in_flight.append(delivery)
            case messages.Persist():
                self.disk = order
            case messages.BecomeLeader(term):
                return self._begin_term(now, term)
            case messages.StepDown():
                self.pending = frozenset()
            case messages.ApplyEntry(entry, _):
                self.log = (*self.log, entry)
            case messages.RestoreSnapshot(body, _):
                self.log = tuple(msgpack.unpackb(body))
            case messages.SnapshotNeeded(recipient):
                return self.protocol.send_snapshot(now, recipient, msgpack.packb(self.log))
        return ()

    def _begin_term(self, now: int, term: int) -> Sequence[object]:
        """Repeat the drain if it is in the log, once the first entry of the term is committed."""
        self.leaders = (*self.leaders, TermLeader(term, self.protocol.self_id))
        orders = self.protocol.append(now, TERM_START_ENTRY)
        self.pending = frozenset()
        if DRAIN_ENTRY in self.log:
            self.pending = frozenset({PendingOrder(DRAIN_ENTRY, self.protocol.position[1])})
        self.log = (*self.log, TERM_START_ENTRY)
        return orders


def _miss_tick(state: ElectionState, index: int) -> ElectionState:
    limits = state.remaining
    return replace(
        state,
        now=state.now + 1,
        clock_lags=replace_item(state.clock_lags, index, state.clock_lags[index] + 1),
        remaining=replace(limits, missed_ticks=limits.missed_ticks - 1),
    )


def _send_order(
    state: ElectionState, index: int, proxy: int, pending: PendingOrder
) -> ElectionState:
    order = ProxyOrder(proxy, state.protocols[index].term, MEMBERS[index], pending.entry)
    remaining_orders = state.pending_orders[index] - {pending}
    return replace(
        state,
        in_flight=(*state.in_flight, Delivery(f"proxy {proxy}", order)),
        pending_orders=replace_item(state.pending_orders, index, remaining_orders),
    )


def _deliver_to_proxy(state: ElectionState, order: ProxyOrder, fenced: bool) -> ElectionState:
    """The state after a proxy received an order, which its fencing term may make it reject."""
    before = state.followed_leaders[order.proxy]
    fence = FencingTerm()
    fence.term = before.term
    fence.member = before.member
    if fence.rejection_reason(order.term, order.sender) and fenced:
        return state
    other_leader = order.term == before.term and before.member != order.sender
    violation = ""
    if order.term < before.term or other_leader:
        violation = (
            f"proxy {order.proxy} accepts orders of {order.sender} in term {order.term} "
            f"after {before.member} in term {before.term}"
        )
    followed = FollowedLeader(order.term, order.sender)
    drained = state.drained[order.proxy] or order.entry == DRAIN_ENTRY
    return replace(
        state,
        followed_leaders=replace_item(state.followed_leaders, order.proxy, followed),
        drained=replace_item(state.drained, order.proxy, drained),
        attempts_allowed=state.attempts_allowed + (order.entry == ATTEMPT_ENTRY),
        violation=violation,
    )


def main() -> None:
    """Run the search from the command line."""
    run_swarm_command(
        ElectionModel(), ElectionModel(limits=DEEP_LIMITS), WALK_LENGTH, "a leader again"
    )


if __name__ == "__main__":
    main()
