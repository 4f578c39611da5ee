"""An explicit-state search over the very machine: three members, two pieces of work, two carriers.

python -m dunlinlug.fleet.ownership.model [--states 1000000] [--seconds 600] [--walkers 4]

It begins with a steward, both pieces dealt, and clocks that go as far apart as the drift allows:
the first fast, the second slow. Steps: time passes; a member acts on its time; an owner decides an
effect, and lets it leave, after a second look; a message or an effect arrives, arrives and stays to
arrive again, or is lost; a member restarts with what its disk holds, or with none. A frozen member
is one that takes no step while time passes: its decision waits, and messages to it are late.

Checked in each state: no two members may act for one piece; no carrier does an effect under a lower
number, a number of another owner's, or out of order. From each so-manieth state each piece is owned
again once a majority can talk.
"""

import argparse
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from math import inf
from typing import Any

import msgpack
import xxhash

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.model import (
    MEMBERS,
    fixed_uniform,
    protocol_form,
    relative,
    replace_at,
)
from dunlinlug.fleet.model_checking.engine import (
    ExplorationResult,
    Step,
    explore_breadth_first,
    follow_patterns,
    swarm_search,
)
from dunlinlug.fleet.ownership.fencing import FencingGuard, FencingToken
from dunlinlug.fleet.ownership.messages import Effect, EffectResult, LeaseGranted
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

# units of a true clock ...
LEASE_UNITS = 15
HEARTBEAT_UNITS = 5
DRIFT = 0.2
CLOCK_UNITS_PER_TICK = (
    6,
    4,
    5,
)  # ... of which each member's clock counts so many in a tick: as far apart as the drift allows
EARLIEST_UNIT = (
    -20
)  # units from which on a time is past for every purpose: more than a lease on any clock
SHARDS = 2
EXECUTORS = ("x", "y")
TASKS = {0: "p", 1: "q"}  # pieces are their slots here
# ticks within which work is to be owned again, for the search to be done with a state
RECOVERY_LEASES = 8


@dataclass(frozen=True)
class ExplorationLimits:
    """How much may happen in one run: highest term, messages on their way, effects, and strikes of
    each trouble.
    """

    terms: int = 2
    in_flight: int = 3
    effects: int = 2
    losses: int = 1
    duplications: int = 1
    restarts: int = 1
    disk_losses: int = 0


@dataclass(frozen=True)
class SystemState:
    """All of a state. Machines are never changed in place: each step works on a clone of one."""

    now: int
    protocols: tuple[OwnershipProtocol, ...]
    disks: tuple[messages.Persist, ...]
    incarnations: tuple[int, ...]
    pending_effects: tuple[
        tuple[int, int] | None, ...
    ]  # by member: slot and number, waiting to leave
    effect_sequences: tuple[int, ...]
    in_flight: tuple[tuple[str, Any], ...]
    fences: tuple[tuple[tuple[int, FencingToken], ...], ...]
    remaining: ExplorationLimits
    violation: str = ""


def _local_time(state: SystemState, index: int) -> int:
    return state.now * CLOCK_UNITS_PER_TICK[index]


def _start_protocol(
    protocol_factory: Callable[..., OwnershipProtocol],
    index: int,
    persisted: messages.Persist,
    now: int,
    incarnation: int,
) -> OwnershipProtocol:
    return protocol_factory(
        MEMBERS[index],
        persisted,
        now,
        LEASE_UNITS,
        HEARTBEAT_UNITS,
        DRIFT,
        10**6,
        fixed_uniform,
        incarnation,
        SHARDS,
    )


def initial_state(
    protocol_factory: Callable[..., OwnershipProtocol], limits: ExplorationLimits
) -> SystemState:
    """A steward that both others follow, and all work dealt and held."""
    persisted = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
    machines = tuple(_start_protocol(protocol_factory, n, persisted, 0, 1) for n in range(3))
    state = SystemState(
        0, machines, (persisted,) * 3, (1,) * 3, (None,) * 3, (0,) * 3, (), ((),) * 2, limits
    )
    state = _settle(replace(state, now=LEASE_UNITS // HEARTBEAT_UNITS), (0,))
    for _ in range(4 * LEASE_UNITS):
        state = _settle(replace(state, now=state.now + 1), (0, 1, 2))
        if all(_lease_holders(state, shard) for shard in range(SHARDS)):
            return state
    raise RuntimeError("no steward, or nothing is dealt")


def _settle(state: SystemState, members: tuple[int, ...]) -> SystemState:
    """These members act on their time, and all messages arrive, in order."""
    for index in members:
        protocol = state.protocols[index].clone()
        if protocol.next_deadline() <= _local_time(state, index):
            state = execute(state, index, protocol, protocol.tick(_local_time(state, index)))
        for _ in range(80):
            if not state.in_flight:
                break
            recipient, message = state.in_flight[0]
            state = _deliver(
                replace(state, in_flight=state.in_flight[1:]), recipient, message, True
            )
    return state


def _lease_holders(state: SystemState, shard: int) -> list[str]:
    return [
        m.self_id
        for n, m in enumerate(state.protocols)
        if m.held_token(_local_time(state, n), shard) is not None
    ]


def execute(
    state: SystemState, index: int, protocol: OwnershipProtocol, orders: list[object]
) -> SystemState:
    disk = state.disks[index]
    in_flight = list(state.in_flight)
    queue = deque(orders)
    while queue:
        match queue.popleft():
            case messages.Send(recipient, message):
                if (recipient, message) not in in_flight:
                    in_flight.append((recipient, message))
            case messages.Persist() as persisted:
                disk = persisted
    revoked = [
        shard
        for shard in protocol.assignments.revoking
        if protocol.assignments.owners[shard] == protocol.self_id and shard not in protocol.released
    ]
    successor = replace(
        state,
        protocols=replace_at(state.protocols, index, protocol),
        disks=replace_at(state.disks, index, disk),
        in_flight=tuple(in_flight),
    )
    return (
        execute(successor, index, protocol, protocol.release(_local_time(state, index), revoked))
        if revoked
        else successor
    )


# Steps.


@dataclass(frozen=True)
class OwnershipModel:
    """Without `fenced` or `looks`: what comes of carriers without a fence, and of owners that do
    not look again.
    """

    fenced: bool = True
    recheck: bool = True

    def steps(self, state: SystemState) -> Iterator[Step]:
        remaining = state.remaining
        yield "time passes", lambda: replace(state, now=state.now + 1)
        for index, self_id in enumerate(MEMBERS):
            protocol = state.protocols[index]
            now = _local_time(state, index)
            if protocol.next_deadline() <= now and (
                protocol.log.is_leader or protocol.log.term < remaining.terms
            ):
                yield f"{self_id} acts on its time", partial(_run_timer, state, index)
            if remaining.restarts:
                yield f"{self_id} restarts", partial(_restart, state, index, False)
            if remaining.disk_losses:
                yield (
                    f"{self_id} restarts with an empty disk",
                    partial(_restart, state, index, True),
                )
            pending = state.pending_effects[index]
            for shard in range(SHARDS) if remaining.effects and pending is None else ():
                if (token := protocol.held_token(now, shard)) is not None:
                    yield (
                        f"{self_id} decides for {TASKS[shard]}",
                        partial(_decide_effect, state, index, (shard, token)),
                    )
            if pending is not None and (
                not self.recheck or protocol.held_token(now, pending[0]) == pending[1]
            ):
                for executor in EXECUTORS:
                    yield (
                        f"{self_id}'s effect for {TASKS[pending[0]]} leaves for {executor}",
                        partial(_send_effect, state, index, pending, executor),
                    )
        yield from self._delivery_steps(state)

    def _delivery_steps(self, state: SystemState) -> Iterator[Step]:
        remaining = state.remaining
        for index, (recipient, message) in enumerate(state.in_flight):
            without_message = replace(
                state, in_flight=(*state.in_flight[:index], *state.in_flight[index + 1 :])
            )
            name = _message_name(recipient, message)
            yield (
                f"{name} arrives",
                partial(_deliver, without_message, recipient, message, self.fenced),
            )
            if remaining.duplications:
                duplicated = replace(
                    state, remaining=replace(remaining, duplications=remaining.duplications - 1)
                )
                yield (
                    f"{name} arrives, and will again",
                    partial(_deliver, duplicated, recipient, message, self.fenced),
                )
            if remaining.losses:
                yield (
                    f"{name} is lost",
                    partial(
                        replace,
                        without_message,
                        remaining=replace(remaining, losses=remaining.losses - 1),
                    ),
                )

    def check_invariants(self, state: SystemState) -> str:
        if state.violation:
            return state.violation
        for shard in range(SHARDS):
            lease_holders = _lease_holders(state, shard)
            if len(lease_holders) > 1:
                return f"{' and '.join(lease_holders)} may act for {TASKS[shard]} at one time"
        return ""

    def canonical_form(self, state: SystemState) -> int:
        return canonical_form(state)

    def within_limits(self, state: SystemState) -> bool:
        return len(state.in_flight) <= state.remaining.in_flight

    def recovers(self, state: SystemState) -> bool:
        state = replace(
            state,
            remaining=replace(
                state.remaining, terms=99, restarts=0, duplications=0, losses=0, disk_losses=0
            ),
        )
        for _ in range(RECOVERY_LEASES * LEASE_UNITS):
            state = _settle(state, (0, 1, 2))
            if all(_lease_holders(state, shard) for shard in range(SHARDS)):
                return not self.check_invariants(state)
            state = replace(state, now=state.now + 1)
        return False


def _run_timer(state: SystemState, index: int) -> SystemState:
    protocol = state.protocols[index].clone()
    return execute(state, index, protocol, protocol.tick(_local_time(state, index)))


def _restart(state: SystemState, index: int, disk_lost: bool) -> SystemState:
    persisted = (
        messages.Persist(0, "", messages.VoterSet(1, MEMBERS)) if disk_lost else state.disks[index]
    )
    remaining = state.remaining
    incarnation = state.incarnations[index] + 1
    remaining = (
        replace(remaining, disk_losses=remaining.disk_losses - 1)
        if disk_lost
        else replace(remaining, restarts=remaining.restarts - 1)
    )
    restarted = _start_protocol(
        type(state.protocols[index]), index, persisted, _local_time(state, index), incarnation
    )
    return replace(
        state,
        protocols=replace_at(state.protocols, index, restarted),
        disks=replace_at(state.disks, index, persisted),
        incarnations=replace_at(state.incarnations, index, incarnation),
        pending_effects=replace_at(state.pending_effects, index, None),
        effect_sequences=replace_at(state.effect_sequences, index, 0),
        remaining=remaining,
    )


def _decide_effect(state: SystemState, index: int, shard_and_token: tuple[int, int]) -> SystemState:
    return replace(
        state,
        pending_effects=replace_at(state.pending_effects, index, shard_and_token),
        remaining=replace(state.remaining, effects=state.remaining.effects - 1),
    )


def _send_effect(
    state: SystemState, index: int, pending: tuple[int, int], executor: str
) -> SystemState:
    sequence = state.effect_sequences[index] + 1
    effect = Effect(0, MEMBERS[index], TASKS[pending[0]], pending[1], sequence, b"")
    return replace(
        state,
        pending_effects=replace_at(state.pending_effects, index, None),
        effect_sequences=replace_at(state.effect_sequences, index, sequence),
        in_flight=(*state.in_flight, (executor, effect)),
    )


def _deliver(state: SystemState, recipient: str, message: Any, fenced: bool) -> SystemState:
    if recipient in EXECUTORS:
        return _deliver_to_executor(state, EXECUTORS.index(recipient), message, fenced)
    at = MEMBERS.index(recipient)
    protocol = state.protocols[at].clone()
    now = _local_time(state, at)
    if isinstance(message, EffectResult):
        shard = next(shard for shard, task in TASKS.items() if task == message.task)
        return execute(
            state, at, protocol, protocol.token_rejected(now, shard, message.highest_token)
        )
    return execute(state, at, protocol, protocol.receive(now, message))


def _deliver_to_executor(
    state: SystemState, index: int, effect: Effect, fenced: bool
) -> SystemState:
    shard = next(shard for shard, task in TASKS.items() if task == effect.task)
    fence = FencingGuard()
    fence.highest_tokens = dict(state.fences[index])
    highest = fence.highest_token(shard)
    reason = fence.check(shard, effect.token, effect.sender, effect.sequence)
    if reason and fenced:
        rejection = EffectResult(
            0,
            EXECUTORS[index],
            effect.task,
            effect.token,
            effect.sequence,
            False,
            highest.number,
            highest.owner,
        )
        return (
            state
            if reason == "it came before"
            else replace(state, in_flight=(*state.in_flight, (effect.sender, rejection)))
        )
    violation = (
        f"{EXECUTORS[index]} does {effect.sender}'s effect, though {reason}" if reason else ""
    )
    return replace(
        state,
        fences=replace_at(state.fences, index, tuple(sorted(fence.highest_tokens.items()))),
        violation=violation,
    )


def _message_name(recipient: str, message: Any) -> str:
    if isinstance(message, Effect):
        return f"{message.sender}'s effect {message.sequence} for {message.task} under {message.token:#x} at {recipient}"
    # A trace is gone through again by its names, so they tell apart what differs.
    details = {
        key: len(value) if key in ("entries", "body") else value
        for key, value in vars(message).items()
        if key not in ("sender", "term", "voter_set")
    }
    description = " ".join(f"{key}={value}" for key, value in details.items())
    return f"{message.sender}'s {type(message).__name__} of term {message.term} for {recipient} ({description})"


# What a state is known by.


def _protocol_form(protocol: OwnershipProtocol, now: int) -> tuple[Any, ...]:
    def rel(value: float) -> int:
        return (
            relative(min(value, now + 100), now, EARLIEST_UNIT) if value != -inf else EARLIEST_UNIT
        )

    pending = (
        (
            protocol.pending_lease.term,
            rel(protocol.pending_lease.sent_at),
            protocol.pending_lease.duration,
            protocol.pending_lease.log_position,
            protocol.pending_lease.committed,
            protocol.pending_lease.incarnation,
        )
        if protocol.pending_lease
        else ()
    )
    coordinator_form = (
        (
            sorted((k, rel(v)) for k, v in protocol.granted_until.items()),
            sorted((k, rel(s), rel(h)) for k, (s, h) in protocol.last_renewals.items()),
            sorted(protocol.incarnations.items()),
            rel(protocol.term_started_at),
            rel(protocol.next_review_at),
            sorted(
                (
                    k,
                    min(now - v, int(protocol.stability.required_leases[k] * LEASE_UNITS)),
                    protocol.stability.required_leases[k],
                )
                for k, v in protocol.stability.present_since.items()
            ),
        )
        if protocol.log.is_leader
        else ()
    )
    return (
        protocol_form(protocol.log, now, EARLIEST_UNIT),
        protocol.assignments.owners,
        protocol.assignments.tokens,
        sorted(protocol.assignments.revoking.items()),
        sorted(protocol.assignments.incarnations.items()),
        rel(protocol.lease_until),
        protocol.lease_term,
        protocol.committed_position,
        rel(protocol.next_renewal_at),
        protocol.coordinator,
        sorted(protocol.released.items()),
        sorted(protocol.outdated_tokens.items()),
        pending,
        coordinator_form,
    )


def _message_form(state: SystemState, recipient: str, message: Any) -> tuple[Any, ...]:
    values = vars(message).copy()
    if "sent_at" in values:
        clock = (
            recipient
            if isinstance(message, messages.AppendResponse | LeaseGranted)
            else message.sender
        )
        values["sent_at"] = relative(
            message.sent_at, _local_time(state, MEMBERS.index(clock)), EARLIEST_UNIT
        )
    values.pop("voter_set", None)
    return (recipient, type(message).__name__, *values.values())


def canonical_form(state: SystemState) -> int:
    canonical = (
        [_protocol_form(m, _local_time(state, n)) for n, m in enumerate(state.protocols)],
        state.incarnations,
        state.pending_effects,
        state.effect_sequences,
        sorted(repr(_message_form(state, *delivery)) for delivery in state.in_flight),
        [[(shard, *vars(mark).values()) for shard, mark in fence] for fence in state.fences],
        [tuple(vars(d).values())[:2] for d in state.disks],
        tuple(vars(state.remaining).values()),
    )
    token: int = xxhash.xxh3_128_intdigest(msgpack.packb(canonical))
    return token


def explore(
    states: int,
    seconds: float = 1e9,
    protocol_factory: Callable[..., OwnershipProtocol] = OwnershipProtocol,
    limits: ExplorationLimits | None = None,
    model: OwnershipModel | None = None,
    recovery_check_interval: int = 0,
    prefix: Iterable[str] = (),
) -> ExplorationResult:
    """Breadth first, from where `prefix` leads."""
    model = model or OwnershipModel()
    return explore_breadth_first(
        model,
        follow_patterns(
            model, initial_state(protocol_factory, limits or ExplorationLimits()), prefix
        ),
        states,
        seconds,
        recovery_check_interval,
    )


def explore_randomly(
    seconds: float,
    seed: int,
    protocol_factory: Callable[..., OwnershipProtocol] = OwnershipProtocol,
    limits: ExplorationLimits | None = None,
    model: OwnershipModel | None = None,
    length: int = 80,
    max_walks: int = 10**9,
) -> ExplorationResult:
    return swarm_search(
        model or OwnershipModel(),
        initial_state(protocol_factory, limits or DEEP_LIMITS),
        seconds,
        seed,
        length,
        max_walks,
    )


DEEP_LIMITS = ExplorationLimits(
    terms=4, in_flight=8, effects=6, losses=4, duplications=2, restarts=2, disk_losses=0
)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument(
        "--seconds", type=float, default=600, help="for the breadth, and for each of the walks"
    )
    parser.add_argument(
        "--walkers", type=int, default=4, help="processes that walk, with seeds of their own"
    )
    arguments = parser.parse_args()
    with ProcessPoolExecutor(arguments.walkers + 1) as pool:
        breadth_first = pool.submit(
            explore, arguments.states, arguments.seconds, recovery_check_interval=997
        )
        random_walks = {
            seed: pool.submit(explore_randomly, arguments.seconds, seed)
            for seed in range(arguments.walkers)
        }
        for seed, result in random_walks.items():
            print(result.result().describe(f"walks of seed {seed}", ""), flush=True)
        print(breadth_first.result().describe("breadth first", "all owned again"), flush=True)


if __name__ == "__main__":
    main()
