"""Model checking of ownership: three members, two shards, two executors.

python -m dunlinlug.fleet.ownership.model [--states 1000000] [--seconds 600] [--walkers 4]

The protocol is the class that runs in service. The search begins with a coordinator, both shards
assigned, and clocks that go as far apart as the drift allows: the first fast, the second slow.
Steps: time passes; a member acts on its timer; an owner decides an effect, and sends it, after a
second check of its lease; a message or an effect arrives, arrives and stays to arrive again, or is
lost; a member restarts with what its disk holds, or with none.

Checked in each state: no two members hold one shard; no executor executes an effect under a lower
token, another owner's token, or out of order. From some states: each shard is held again once a
majority can communicate.
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
    Fence,
    OwnershipLimits,
    OwnershipState,
    PendingEffect,
    local_time,
)
from dunlinlug.fleet.ownership.options import LeaseTiming, OwnershipOptions
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

# In units of the true clock.
LEASE_UNITS = 15
HEARTBEAT_UNITS = 5
DRIFT = 0.2
TIMING = LeaseTiming(LEASE_UNITS, HEARTBEAT_UNITS, DRIFT, RECOVERY_TIMEOUT)
FIRST_TERM_LEASES = 4  # within which all shards are held at the beginning
RECOVERY_LEASES = 8  # within which all shards have to be held again once faults end
TASKS = ("p", "q")  # one of each shard
EXECUTORS = ("x", "y")
WALK_LENGTH = 80  # steps
DEFAULT_LIMITS = OwnershipLimits()
DEEP_LIMITS = OwnershipLimits(
    terms=4, in_flight=8, effects=6, losses=4, duplications=2, restarts=2, disk_losses=0
)
OwnershipStep = Step[OwnershipState]


@dataclass(frozen=True)
class OwnershipModel(ClusterModel[OwnershipState, OwnershipProtocol]):
    """Ownership as a model.

    Without `fenced` executors do not check tokens; without `recheck` owners do not check their
    lease again right before an effect leaves. Both show what these rules are for.
    """

    protocol_factory: Callable[..., OwnershipProtocol] = OwnershipProtocol
    limits: OwnershipLimits = DEFAULT_LIMITS
    fenced: bool = True
    recheck: bool = True

    settle_deliveries: ClassVar[int] = 80
    recovery_ticks: ClassVar[int] = RECOVERY_LEASES * LEASE_UNITS
    recovery_goal: ClassVar[str] = "all owned"

    def initial_state(self) -> OwnershipState:
        """A coordinator that both others follow, and all shards assigned and held."""
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
            fences=((),) * len(EXECUTORS),
            remaining=self.limits,
        )
        state = self.settle(replace(state, now=LEASE_UNITS // HEARTBEAT_UNITS), (0,))
        for _ in range(FIRST_TERM_LEASES * LEASE_UNITS):
            state = self.settle(replace(state, now=state.now + 1), (0, 1, 2))
            if self.is_recovered(state):
                return state
        raise AssertionError("no coordinator, or shards that nobody holds, before the search")

    def _start_protocol(
        self, index: int, persisted: messages.Persist, now: int, incarnation: int
    ) -> OwnershipProtocol:
        options = OwnershipOptions(TIMING, incarnation, len(TASKS))
        return self.protocol_factory(MEMBERS[index], persisted, now, options, fixed_uniform)

    def local_time(self, state: OwnershipState, index: int) -> int:
        """The time on a member's clock, in units."""
        return local_time(state, index)

    def timer_allowed(self, protocol: OwnershipProtocol, limits: ExplorationLimits) -> bool:
        """Whether the member leads the log, or may still begin a term."""
        return protocol.log.is_leader or protocol.log.term < limits.terms

    def member_steps(self, state: OwnershipState, index: int) -> Iterator[OwnershipStep]:
        """A timer, restarts, and effects that the member decides and sends."""
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
        return self._started_again(replace(state, remaining=limits), index, state.disks[index])

    def _restart_without_disk(self, state: OwnershipState, index: int) -> OwnershipState:
        empty = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
        limits = replace(state.remaining, disk_losses=state.remaining.disk_losses - 1)
        return self._started_again(replace(state, remaining=limits), index, empty)

    def _started_again(
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
        """The state after a member carried out its orders, as its service would.

        A shard that it is asked to give up it releases at once.
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
        """The state after a message came to a member, or an effect to an executor."""
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
        """A message's name in traces, which tells apart what differs, as traces are replayed."""
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
        """The same state with no faults to come, and terms without a limit."""
        calm = replace(
            state.remaining,
            terms=UNLIMITED_TERMS,
            restarts=0,
            duplications=0,
            losses=0,
            disk_losses=0,
        )
        return replace(state, remaining=calm)

    def is_recovered(self, state: OwnershipState) -> bool:
        """Whether each shard is held by somebody."""
        return all(_holders(state, shard) for shard in range(len(TASKS)))

    def check_invariants(self, state: OwnershipState) -> str:
        """The invariant that this state violates, in words; empty if none."""
        if state.violation:
            return state.violation
        for shard, task in enumerate(TASKS):
            holders = _holders(state, shard)
            if len(holders) > 1:
                return f"{' and '.join(holders)} may act for {task} at one time"
        return ""

    def canonical_form(self, state: OwnershipState) -> int:
        """A state's number: equal for states between which no later event can tell."""
        return model_state.canonical_form(state)


def _holders(state: OwnershipState, shard: int) -> list[str]:
    """The members that may act for a shard."""
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
    """The state after an executor got an effect, which its fence may reject."""
    index = EXECUTORS.index(executor)
    shard = TASKS.index(effect.task)
    fence = FencingGuard()
    fence.highest_tokens = {entry.shard: entry.token for entry in state.fences[index]}
    highest = fence.highest_token(shard)
    reason = fence.check(shard, effect.token, effect.sender, effect.sequence)
    if reason and fenced:
        if reason == DUPLICATE_REASON:
            return state
        rejection = EffectResult.rejection(executor, effect, highest)
        return replace(state, in_flight=(*state.in_flight, Delivery(effect.sender, rejection)))
    violation = f"{executor} does {effect.sender}'s effect, though {reason}" if reason else ""
    fences = tuple(Fence(*item) for item in sorted(fence.highest_tokens.items()))
    return replace(state, fences=replace_item(state.fences, index, fences), violation=violation)


def main() -> None:
    """Search from the command line."""
    run_swarm_command(
        OwnershipModel(), OwnershipModel(limits=DEEP_LIMITS), WALK_LENGTH, "all owned again"
    )


if __name__ == "__main__":
    main()
