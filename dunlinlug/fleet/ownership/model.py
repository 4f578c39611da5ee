"""Model checking of ownership: three members, two shards, two executors.

python -m dunlinlug.fleet.ownership.model [--states 1000000] [--seconds 600] [--walkers 4]

The model runs the protocol class that runs in service. The search starts with an elected
coordinator, both shards assigned, and clock rates as far apart as the drift allows: the first clock
is fast, the second slow.

Steps: time passes; a member acts on its timer; an owner decides an effect; it checks its lease
again and sends the effect; a message or an effect is delivered, is delivered and stays in flight,
or is lost; a member restarts with its disk or with an empty one.

Invariants of each state: no two members hold one shard; no executor executes an effect under a
lower token, under another owner's token, or out of order. Recovery is checked from some states:
each shard is held again once a majority can communicate.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import ClassVar

from dunlinlug.fleet.election import messages
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
from dunlinlug.fleet.ownership import model_state
from dunlinlug.fleet.ownership.fencing import DUPLICATE_REASON, FencingGuard
from dunlinlug.fleet.ownership.messages import Effect, EffectResult, SendMessage
from dunlinlug.fleet.ownership.model_state import (
    HighestToken,
    OwnershipLimits,
    OwnershipState,
    PendingEffect,
    local_time,
)
from dunlinlug.fleet.ownership.options import LeaseTiming, OwnershipOptions
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

# In clock units; see `CLOCK_UNITS_PER_TICK` for the members' clock rates.
LEASE_UNITS = 15
HEARTBEAT_UNITS = 5
DRIFT = 0.2
TIMING = LeaseTiming(LEASE_UNITS, HEARTBEAT_UNITS, DRIFT, RECOVERY_TIMEOUT)
FIRST_TERM_LEASES = 4  # leases within which all shards are held at the start
RECOVERY_LEASES = 8  # leases within which all shards must be held again after the last fault
TASKS = ("p", "q")  # one for each shard
EXECUTORS = ("x", "y")
WALK_LENGTH = 80  # steps
DEFAULT_LIMITS = OwnershipLimits()
DEEP_LIMITS = OwnershipLimits(
    terms=4, in_flight=8, effects=6, losses=4, duplications=2, restarts=2, disk_losses=0
)
OwnershipStep = Step[OwnershipState]


@dataclass(frozen=True)
class OwnershipModel(ClusterModel[OwnershipState, OwnershipProtocol]):
    """The model of the ownership protocol.

    Attributes:
        protocol_factory: Creates a member's protocol.
        limits: The bounds of the search.
        fenced: Whether executors check tokens. False shows the violations that fencing prevents.
        recheck: Whether owners check their lease again right before they send an effect. False
            shows the violations that this prevents.
    """

    protocol_factory: Callable[..., OwnershipProtocol] = OwnershipProtocol
    limits: OwnershipLimits = DEFAULT_LIMITS
    fenced: bool = True
    recheck: bool = True

    settle_deliveries: ClassVar[int] = 80
    recovery_ticks: ClassVar[int] = RECOVERY_LEASES * LEASE_UNITS
    recovery_goal: ClassVar[str] = "all shards held"

    def initial_state(self) -> OwnershipState:
        """Returns a state with a coordinator that both others follow, and all shards held."""
        persisted = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
        state = OwnershipState(
            now=0,
            protocols=tuple(
                self._start_protocol(index, persisted, 0, 1) for index in range(len(MEMBERS))
            ),
            disks=(persisted,) * len(MEMBERS),
            incarnations=(1,) * len(MEMBERS),
            pending_effects=(None,) * len(MEMBERS),
            effect_sequences=(0,) * len(MEMBERS),
            in_flight=(),
            highest_tokens=((),) * len(EXECUTORS),
            remaining=self.limits,
        )
        state = self.settle(replace(state, now=LEASE_UNITS // HEARTBEAT_UNITS), (0,))
        for _ in range(FIRST_TERM_LEASES * LEASE_UNITS):
            state = self.settle(replace(state, now=state.now + 1), (0, 1, 2))
            if self.is_recovered(state):
                return state
        raise AssertionError("initial state: no coordinator was elected, or not all shards held")

    def _start_protocol(
        self, index: int, persisted: messages.Persist, now: int, incarnation: int
    ) -> OwnershipProtocol:
        options = OwnershipOptions(TIMING, incarnation, len(TASKS))
        return self.protocol_factory(MEMBERS[index], persisted, now, options, fixed_uniform)

    def local_time(self, state: OwnershipState, index: int) -> int:
        """Returns the time on a member's clock, in units."""
        return local_time(state, index)

    def timer_allowed(self, protocol: OwnershipProtocol, limits: ExplorationLimits) -> bool:
        """Returns whether the member leads the log, or the limits allow it another term."""
        return protocol.log.is_leader or protocol.log.term < limits.terms

    def member_steps(self, state: OwnershipState, index: int) -> Iterator[OwnershipStep]:
        """Yields the member's timer, its restarts, and the effects that it may decide and send."""
        name = MEMBERS[index]
        yield from self.timer_steps(state, index)
        if state.remaining.restarts:
            yield Step(f"{name} restarts", partial(self._restart, state, index))
        if state.remaining.disk_losses:
            yield Step(
                f"{name} restarts with an empty disk",
                partial(self._restart_without_disk, state, index),
            )
        pending = state.pending_effects[index]
        if pending is not None:
            yield from self._send_steps(state, index, pending)
        elif state.remaining.effects:
            yield from self._decision_steps(state, index)

    def _decision_steps(self, state: OwnershipState, index: int) -> Iterator[OwnershipStep]:
        now = local_time(state, index)
        for shard, task in enumerate(TASKS):
            token = state.protocols[index].held_token(now, shard)
            if token is not None:
                yield Step(
                    f"{MEMBERS[index]} decides for {task}",
                    partial(_decide_effect, state, index, PendingEffect(shard, token)),
                )

    def _send_steps(
        self, state: OwnershipState, index: int, pending: PendingEffect
    ) -> Iterator[OwnershipStep]:
        held = state.protocols[index].held_token(local_time(state, index), pending.shard)
        if self.recheck and held != pending.token:
            return
        for executor in EXECUTORS:
            yield Step(
                f"{MEMBERS[index]}'s effect for {TASKS[pending.shard]} leaves for {executor}",
                partial(_send_effect, state, index, pending, executor),
            )

    def _restart(self, state: OwnershipState, index: int) -> OwnershipState:
        limits = replace(state.remaining, restarts=state.remaining.restarts - 1)
        return self._restarted(replace(state, remaining=limits), index, state.disks[index])

    def _restart_without_disk(self, state: OwnershipState, index: int) -> OwnershipState:
        empty = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
        limits = replace(state.remaining, disk_losses=state.remaining.disk_losses - 1)
        return self._restarted(replace(state, remaining=limits), index, empty)

    def _restarted(
        self, state: OwnershipState, index: int, persisted: messages.Persist
    ) -> OwnershipState:
        incarnation = state.incarnations[index] + 1
        now = local_time(state, index)
        restarted = self._start_protocol(index, persisted, now, incarnation)
        return replace(
            state,
            protocols=replace_item(state.protocols, index, restarted),
            disks=replace_item(state.disks, index, persisted),
            incarnations=replace_item(state.incarnations, index, incarnation),
            pending_effects=replace_item(state.pending_effects, index, None),
            effect_sequences=replace_item(state.effect_sequences, index, 0),
        )

    def execute(
        self,
        state: OwnershipState,
        index: int,
        protocol: OwnershipProtocol,
        orders: Sequence[object],
    ) -> OwnershipState:
        """Returns the state after a member executed its orders, as its service would.

        The member releases revoked shards at once.
        """
        disk = state.disks[index]
        in_flight = list(state.in_flight)
        queue = deque(orders)
        while queue:
            order = queue.popleft()
            if isinstance(order, messages.Send | SendMessage):
                delivery = Delivery(order.recipient, order.message)
                if delivery not in in_flight:
                    in_flight.append(delivery)
            elif isinstance(order, messages.Persist):
                disk = order
        successor = replace(
            state,
            protocols=replace_item(state.protocols, index, protocol),
            disks=replace_item(state.disks, index, disk),
            in_flight=tuple(in_flight),
        )
        revoked = protocol.revoked_shards()
        if not revoked:
            return successor
        released = protocol.release(local_time(state, index), revoked)
        return self.execute(successor, index, protocol, released)

    def deliver(self, state: OwnershipState, delivery: Delivery, fenced: bool) -> OwnershipState:
        """Returns the state after a message reached a member, or an effect an executor."""
        message = delivery.message
        if isinstance(message, Effect):
            return _deliver_to_executor(state, delivery.recipient, message, fenced)
        index = MEMBERS.index(delivery.recipient)
        protocol = self.clone_protocol(state, index)
        now = local_time(state, index)
        if isinstance(message, EffectResult):
            shard = TASKS.index(message.task)
            orders = protocol.token_rejected(now, shard, message.highest_token)
        else:
            orders = protocol.receive(now, message)
        return self.execute(state, index, protocol, orders)

    def describe_delivery(self, delivery: Delivery) -> str:
        """Returns a message's name in traces; unique, as traces are replayed by names."""
        message = delivery.message
        if isinstance(message, Effect):
            return (
                f"{message.sender}'s effect {message.sequence} for {message.task} "
                f"under {message.token:#x} at {delivery.recipient}"
            )
        details = " ".join(
            f"{name}={len(value) if name in ('entries', 'body') else value}"
            for name, value in vars(message).items()
            if name not in ("sender", "term", "voter_set")
        )
        return (
            f"{message.sender}'s {type(message).__name__} of term {message.term} "
            f"for {delivery.recipient} ({details})"
        )

    def without_faults(self, state: OwnershipState) -> OwnershipState:
        """Returns the same state with no further faults allowed and unlimited terms."""
        fault_free_limits = replace(
            state.remaining,
            terms=UNLIMITED_TERMS,
            restarts=0,
            duplications=0,
            losses=0,
            disk_losses=0,
        )
        return replace(state, remaining=fault_free_limits)

    def is_recovered(self, state: OwnershipState) -> bool:
        """Returns whether each shard is held by a member."""
        return all(_holders(state, shard) for shard in range(len(TASKS)))

    def check_invariants(self, state: OwnershipState) -> str:
        """Describes the invariant that this state violates; empty if none."""
        if state.violation:
            return state.violation
        for shard, task in enumerate(TASKS):
            holders = _holders(state, shard)
            if len(holders) > 1:
                return f"{' and '.join(holders)} hold the shard of {task} at the same time"
        return ""

    def canonical_form(self, state: OwnershipState) -> int:
        """Returns a number that is equal for states with the same possible futures."""
        return model_state.canonical_form(state)


def _holders(state: OwnershipState, shard: int) -> list[str]:
    """Returns the members that may act for a shard."""
    return [
        protocol.self_id
        for index, protocol in enumerate(state.protocols)
        if protocol.held_token(local_time(state, index), shard) is not None
    ]


def _decide_effect(state: OwnershipState, index: int, pending: PendingEffect) -> OwnershipState:
    return replace(
        state,
        pending_effects=replace_item(state.pending_effects, index, pending),
        remaining=replace(state.remaining, effects=state.remaining.effects - 1),
    )


def _send_effect(
    state: OwnershipState, index: int, pending: PendingEffect, executor: str
) -> OwnershipState:
    sequence = state.effect_sequences[index] + 1
    effect = Effect(0, MEMBERS[index], TASKS[pending.shard], pending.token, sequence, b"")
    return replace(
        state,
        pending_effects=replace_item(state.pending_effects, index, None),
        effect_sequences=replace_item(state.effect_sequences, index, sequence),
        in_flight=(*state.in_flight, Delivery(executor, effect)),
    )


def _deliver_to_executor(
    state: OwnershipState, executor: str, effect: Effect, fenced: bool
) -> OwnershipState:
    """Returns the state after an executor received an effect, which its fencing may reject."""
    index = EXECUTORS.index(executor)
    shard = TASKS.index(effect.task)
    guard = FencingGuard()
    guard.highest_tokens = {entry.shard: entry.token for entry in state.highest_tokens[index]}
    highest = guard.highest_token(shard)
    reason = guard.check(shard, effect.token, effect.sender, effect.sequence)
    if reason and fenced:
        if reason == DUPLICATE_REASON:
            return state
        rejection = EffectResult.rejection(executor, effect, highest)
        return replace(state, in_flight=(*state.in_flight, Delivery(effect.sender, rejection)))
    violation = f"{executor} executes {effect.sender}'s effect although {reason}" if reason else ""
    tokens = tuple(HighestToken(*item) for item in sorted(guard.highest_tokens.items()))
    return replace(
        state,
        highest_tokens=replace_item(state.highest_tokens, index, tokens),
        violation=violation,
    )


def main() -> None:
    """Runs the search from the command line."""
    run_swarm_command(
        OwnershipModel(), OwnershipModel(limits=DEEP_LIMITS), WALK_LENGTH, "all shards held again"
    )


if __name__ == "__main__":
    main()
