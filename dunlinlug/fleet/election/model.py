"""An explicit-state search over the very machine: three managers, two proxies, messages late,
doubled, lost, any order.

python -m dunlinlug.fleet.election.model [--states 1000000] [--seconds 600] [--walkers 4]

A state is all machines, what is on its way, clocks and proxies; it is known by a 128-bit xxhash of
its canonical form, in which times count from the present. It begins with a master that both others
follow. Steps: time passes; a clock misses a tick; a member acts on its time; a message arrives,
arrives and stays to arrive again, or is lost; a member restarts with what it had on disk; the
roster tells the master of a drain; the master lets a try in, or hands over; an order to a proxy
leaves once it may. A member that is frozen is one that takes no step while time passes; what it had
decided and not written is a message that is late.

Checked in each state: one master a term; no two members that may order at one time; no proxy that
goes back to a lower term or obeys two in one; a drain that a proxy was told is known to each later
master that may order; one allowance of the try at most takes effect. Bounds: terms, messages on
their way, and how often each trouble strikes.
"""

import argparse
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from math import ceil
from typing import Any

import msgpack
import xxhash

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.model_checking.engine import (
    ExplorationResult,
    Step,
    explore_breadth_first,
    follow_patterns,
)
from dunlinlug.fleet.model_checking.engine import swarm_search as swarmed
from dunlinlug.xds.fencing_term import FencingTerm

# ticks; the drift lets a clock miss one tick in a lease: own leases are two ticks
LEASE_TICKS = 3
HEARTBEAT_TICKS = 1
DRIFT = 0.2
MEMBERS = ("a", "b", "c")
EARLIEST_TICK = -5  # ticks from which on a time is past for every purpose: more than a lease
DRAIN_ENTRY = b"drain"
ATTEMPT_ENTRY = b"try"
TERM_START_ENTRY = b"begin"


@dataclass(frozen=True)
class ExplorationLimits:
    """How much may happen in one run: highest term, messages on their way, and strikes of each
    trouble.
    """

    terms: int = 3
    in_flight: int = 3
    losses: int = 1
    duplications: int = 1
    missed_ticks: int = 1
    restarts: int = 1
    transfers: int = 1
    entries: tuple[bytes, ...] = (DRAIN_ENTRY, ATTEMPT_ENTRY)


@dataclass(frozen=True)
class ProxyOrder:
    """An order on its way to a proxy."""

    proxy: int
    term: int
    sender: str
    entry: bytes


@dataclass(frozen=True)
class SystemState:
    """All of a state. Machines are never changed in place: each step works on a clone of one."""

    now: int
    clock_lags: tuple[int, ...]  # ticks missed by each member
    protocols: tuple[ElectionProtocol, ...]
    disks: tuple[messages.Persist, ...]
    logs: tuple[tuple[bytes, ...], ...]
    pending_orders: tuple[
        frozenset[tuple[bytes, int]], ...
    ]  # by member: what it may tell once its entry is committed
    in_flight: tuple[Any, ...]  # (receiver, message) and Toward, in order of their canonical form
    fences: tuple[tuple[int, str], ...]
    drained: tuple[bool, ...]
    attempts_allowed: int
    leaders: tuple[tuple[int, str], ...]  # who has led which term
    remaining: ExplorationLimits
    violation: str = ""


def fixed_uniform(low: float, high: float) -> float:
    """Whether a member acts at once or later is the search's to choose."""
    return int(low)


def initial_state(
    protocol_factory: Callable[..., ElectionProtocol], limits: ExplorationLimits
) -> SystemState:
    persisted = messages.Persist(0, "", messages.VoterSet(1, MEMBERS))
    machines = tuple(
        protocol_factory(m, persisted, 0, LEASE_TICKS, HEARTBEAT_TICKS, DRIFT, 10**6, fixed_uniform)
        for m in MEMBERS
    )
    state = SystemState(
        0,
        (0, 0, 0),
        machines,
        (persisted,) * 3,
        ((),) * 3,
        (frozenset(),) * 3,
        (),
        ((0, ""),) * 2,
        (False,) * 2,
        0,
        (),
        limits,
    )
    state = _settle(replace(state, now=LEASE_TICKS), (0,))
    while (
        len({m.position for m in state.protocols}) > 1
        or state.protocols[0].committed == messages.NO_POSITION
    ):
        state = _settle(replace(state, now=state.now + 1), (0,))
    return state


def _settle(state: SystemState, members: tuple[int, ...]) -> SystemState:
    """These members act on their time, and all messages arrive, in order."""
    for index in members:
        protocol = clone_protocol(state.protocols[index])
        if protocol.next_deadline() <= _local_time(state, index):
            state = execute(state, index, protocol, protocol.tick(_local_time(state, index)))
        for _ in range(40):
            if not state.in_flight:
                break
            state = next(_delivery_steps(state, True))[1]()
    return state


def clone_protocol(protocol: ElectionProtocol) -> ElectionProtocol:
    duplicate = protocol.clone()
    duplicate.__dict__.pop("form", None)
    return duplicate


def relative(value: float, now: int, earliest: int = EARLIEST_TICK) -> int:
    return max(ceil(value) - now, earliest)  # what is due between two ticks is due at the later


def protocol_form(
    protocol: ElectionProtocol, now: int, earliest: int = EARLIEST_TICK
) -> tuple[Any, ...]:
    cached: tuple[int, tuple[Any, ...]] | None = protocol.__dict__.get("form")
    if cached is not None and cached[0] == now:
        return cached[1]
    relative_time = partial(relative, now=now, earliest=earliest)
    canonical = (
        protocol.term,
        protocol.voted_for,
        protocol.voter_set.version,
        protocol.position,
        protocol.committed,
        relative_time(protocol.promised_until),
        relative_time(protocol.election_at),
        protocol.leader,
        protocol.is_leader,
        protocol.pending_election,
        sorted((k, a.granted, a.recovering) for k, a in protocol.votes.items()),
        sorted((k, relative_time(v)) for k, v in protocol.acknowledged_at.items()),
        sorted(protocol.match_positions.items()),
        sorted((k, relative_time(v)) for k, v in protocol.snapshots_sent_at.items()),
        relative_time(protocol.next_heartbeat_at) if protocol.is_leader else 0,
        list(protocol.recent_entries),
        relative_time(protocol.leader_since) if protocol.is_leader else 0,
    )
    protocol.__dict__["form"] = (now, canonical)
    return canonical


def _message_form(state: SystemState, delivery: Any) -> tuple[Any, ...]:
    if isinstance(delivery, ProxyOrder):
        return ("~", delivery.proxy, delivery.term, delivery.sender, delivery.entry)
    recipient, message = delivery
    values = vars(message).copy()
    if "sent_at" in values:
        values["sent_at"] = relative(
            message.sent_at, _local_time(state, MEMBERS.index(_clock_owner(recipient, message)))
        )
    values.pop("voter_set", None)
    return (recipient, type(message).__name__, *values.values())


def _clock_owner(recipient: str, message: messages.Message) -> str:
    return recipient if isinstance(message, messages.AppendResponse) else message.sender


def _local_time(state: SystemState, index: int) -> int:
    return state.now - state.clock_lags[index]


def canonical_form(state: SystemState) -> int:
    """A state's number: equal for states between which nothing that comes can tell."""
    in_flight = sorted(map(repr, (_message_form(state, f) for f in state.in_flight)))
    canonical = (
        [protocol_form(m, _local_time(state, n)) for n, m in enumerate(state.protocols)],
        state.logs,
        [sorted(d) for d in state.pending_orders],
        in_flight,
        state.fences,
        state.drained,
        state.attempts_allowed,
        state.leaders,
        [tuple(vars(d).values())[:2] for d in state.disks],
        tuple(vars(state.remaining).values()),
    )
    number: int = xxhash.xxh3_128_intdigest(msgpack.packb(canonical))
    return number


# Steps.


def replace_at(parts: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*parts[:index], value, *parts[index + 1 :])


def execute(
    state: SystemState, index: int, protocol: ElectionProtocol, orders: list[messages.Order]
) -> SystemState:
    """A member's orders carried out."""
    now = _local_time(state, index)
    log = state.logs[index]
    due = state.pending_orders[index]
    disk = state.disks[index]
    in_flight = list(state.in_flight)
    leaders = state.leaders
    queue = deque(orders)
    while queue:
        order = queue.popleft()
        match order:
            case messages.Send(recipient, message):
                if (recipient, message) not in in_flight:
                    in_flight.append((recipient, message))
            case messages.Persist():
                disk = order
            case messages.BecomeLeader(term):
                leaders = (*leaders, (term, protocol.self_id))
                queue.extend(protocol.append(now, TERM_START_ENTRY))
                # What it knows it tells again, once its own beginning is with a majority.
                due = frozenset({(DRAIN_ENTRY, protocol.position[1])} if DRAIN_ENTRY in log else ())
                log = (*log, TERM_START_ENTRY)
            case messages.StepDown():
                due = frozenset()
            case messages.ApplyEntry(entry, _):
                log = (*log, entry)
            case messages.RestoreSnapshot(body, _):
                log = tuple(msgpack.unpackb(body))
            case messages.SnapshotNeeded(recipient):
                queue.extend(protocol.send_snapshot(now, recipient, msgpack.packb(log)))
    return replace(
        state,
        protocols=replace_at(state.protocols, index, protocol),
        logs=replace_at(state.logs, index, log),
        pending_orders=replace_at(state.pending_orders, index, due),
        disks=replace_at(state.disks, index, disk),
        in_flight=tuple(in_flight),
        leaders=leaders,
    )


def steps(state: SystemState, wait_for_commit: bool, fenced: bool) -> Iterator[Step]:
    """All that may happen next, by name. `commits` and `fenced` are false to see what comes of a
    host that does not wait for commits, and of proxies without a fence.
    """
    remaining = state.remaining
    yield "time passes", lambda: replace(state, now=state.now + 1)
    for index, self_id in enumerate(MEMBERS):
        protocol = state.protocols[index]
        now = _local_time(state, index)
        if remaining.missed_ticks:
            yield f"time passes, and {self_id}'s clock misses it", partial(_miss_tick, state, index)
        if protocol.next_deadline() <= now and (
            protocol.is_leader or protocol.term < remaining.terms
        ):
            yield f"{self_id} acts on its time", partial(_run_timer, state, index)
        if remaining.restarts:
            yield f"{self_id} restarts", partial(_restart, state, index)
        if protocol.holds_lease(now):
            yield from _leader_steps(state, index, wait_for_commit)
    yield from _delivery_steps(state, fenced)


def _miss_tick(state: SystemState, index: int) -> SystemState:
    return replace(
        state,
        now=state.now + 1,
        clock_lags=replace_at(state.clock_lags, index, state.clock_lags[index] + 1),
        remaining=replace(state.remaining, missed_ticks=state.remaining.missed_ticks - 1),
    )


def _run_timer(state: SystemState, index: int) -> SystemState:
    protocol = clone_protocol(state.protocols[index])
    return execute(state, index, protocol, protocol.tick(_local_time(state, index)))


def _restart(state: SystemState, index: int) -> SystemState:
    restarted = type(state.protocols[index])(
        MEMBERS[index],
        state.disks[index],
        _local_time(state, index),
        LEASE_TICKS,
        HEARTBEAT_TICKS,
        DRIFT,
        10**6,
        fixed_uniform,
    )
    return replace(
        state,
        protocols=replace_at(state.protocols, index, restarted),
        logs=replace_at(state.logs, index, ()),
        pending_orders=replace_at(state.pending_orders, index, frozenset()),
        remaining=replace(state.remaining, restarts=state.remaining.restarts - 1),
    )


def _leader_steps(state: SystemState, index: int, wait_for_commit: bool) -> Iterator[Step]:
    protocol = state.protocols[index]
    self_id = MEMBERS[index]
    for entry in state.remaining.entries:
        if entry not in state.logs[index]:
            yield (
                f"{self_id} is told of the {entry.decode()}",
                partial(_append_entry, state, index, entry),
            )
    for due in sorted(state.pending_orders[index]):
        if not wait_for_commit or protocol.committed[1] >= due[1]:
            for proxy in (0, 1) if due[0] == DRAIN_ENTRY else (0,):
                yield (
                    f"{self_id} orders proxy {proxy}: {due[0].decode()}",
                    partial(_send_order, state, index, proxy, due),
                )
    if state.remaining.transfers and protocol.term < state.remaining.terms:
        for recipient in MEMBERS:
            if protocol.match_positions.get(recipient) == protocol.position:
                yield (
                    f"{self_id} hands over to {recipient}",
                    partial(_transfer, state, index, recipient),
                )


def _append_entry(state: SystemState, index: int, entry: bytes) -> SystemState:
    protocol = clone_protocol(state.protocols[index])
    successor = execute(state, index, protocol, protocol.append(_local_time(state, index), entry))
    return replace(
        successor,
        logs=replace_at(successor.logs, index, (*successor.logs[index], entry)),
        pending_orders=replace_at(
            successor.pending_orders,
            index,
            successor.pending_orders[index] | {(entry, protocol.position[1])},
        ),
    )


def _send_order(state: SystemState, index: int, proxy: int, due: tuple[bytes, int]) -> SystemState:
    order = ProxyOrder(proxy, state.protocols[index].term, MEMBERS[index], due[0])
    return replace(
        state,
        in_flight=(*state.in_flight, order),
        pending_orders=replace_at(state.pending_orders, index, state.pending_orders[index] - {due}),
    )


def _transfer(state: SystemState, index: int, recipient: str) -> SystemState:
    protocol = clone_protocol(state.protocols[index])
    successor = execute(
        state, index, protocol, protocol.transfer_leadership(_local_time(state, index), recipient)
    )
    return replace(
        successor,
        remaining=replace(successor.remaining, transfers=successor.remaining.transfers - 1),
    )


def _delivery_steps(state: SystemState, fenced: bool) -> Iterator[Step]:
    remaining = state.remaining
    for index, delivery in enumerate(state.in_flight):
        without_message = replace(
            state, in_flight=(*state.in_flight[:index], *state.in_flight[index + 1 :])
        )
        name = _message_name(delivery)
        yield f"{name} arrives", partial(_deliver, without_message, delivery, fenced)
        if remaining.duplications and not (
            isinstance(delivery, ProxyOrder) and delivery.entry == ATTEMPT_ENTRY
        ):  # a stream does not double
            yield (
                f"{name} arrives, and will again",
                partial(
                    _deliver,
                    replace(
                        state, remaining=replace(remaining, duplications=remaining.duplications - 1)
                    ),
                    delivery,
                    fenced,
                ),
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


def _deliver(state: SystemState, delivery: Any, fenced: bool) -> SystemState:
    if isinstance(delivery, ProxyOrder):
        return _deliver_to_proxy(state, delivery, fenced)
    position = MEMBERS.index(delivery[0])
    protocol = clone_protocol(state.protocols[position])
    return execute(
        state, position, protocol, protocol.receive(_local_time(state, position), delivery[1])
    )


def _message_name(delivery: Any) -> str:
    if isinstance(delivery, ProxyOrder):
        return f"{delivery.sender}'s order of term {delivery.term} ({delivery.entry.decode()}) for proxy {delivery.proxy}"
    recipient, message = delivery
    sent = f", sent at {message.sent_at:g}," if hasattr(message, "sent_at") else ""
    pre_vote = " (probe)" if getattr(message, "pre_vote", False) else ""
    return f"{message.sender}'s {type(message).__name__}{pre_vote} of term {message.term}{sent} for {recipient}"


def _deliver_to_proxy(state: SystemState, order: ProxyOrder, fenced: bool) -> SystemState:
    fence = FencingTerm()
    fence.term, fence.member = before = state.fences[order.proxy]
    if fence.rejection_reason(order.term, order.sender) and fenced:
        return state
    violation = ""
    if order.term < before[0] or order.term == before[0] and before[1] != order.sender:
        violation = f"proxy {order.proxy} obeys {order.sender} of term {order.term} after {before[1]} of term {before[0]}"
    return replace(
        state,
        fences=replace_at(state.fences, order.proxy, (order.term, order.sender)),
        drained=replace_at(
            state.drained, order.proxy, state.drained[order.proxy] or order.entry == DRAIN_ENTRY
        ),
        attempts_allowed=state.attempts_allowed + (order.entry == ATTEMPT_ENTRY),
        violation=violation,
    )


# What must hold.


def check_invariants(state: SystemState) -> str:
    """The property that this state breaks, in words; empty if none."""
    if state.violation:
        return state.violation
    terms = [term for term, _ in state.leaders]
    if len(set(terms)) < len(terms):
        return f"two masters of one term: {state.leaders}"
    lease_holders = [
        n for n, m in enumerate(state.protocols) if m.holds_lease(_local_time(state, n))
    ]
    if len(lease_holders) > 1:
        return f"{' and '.join(MEMBERS[n] for n in lease_holders)} may order at one time"
    if any(state.drained) and any(DRAIN_ENTRY not in state.logs[n] for n in lease_holders):
        return f"{MEMBERS[lease_holders[0]]} may order and does not know of the drain that a proxy was told"
    if state.attempts_allowed > 1:
        return "the try was allowed twice"
    return ""


def recovers(state: SystemState) -> bool:
    """Whether, with no more trouble, somebody becomes master: all messages arrive and everybody
    acts on its time.
    """
    state = replace(
        state,
        remaining=replace(
            state.remaining,
            terms=99,
            missed_ticks=0,
            restarts=0,
            duplications=0,
            losses=0,
            transfers=0,
        ),
    )
    for _ in range(12 * LEASE_TICKS):
        state = _settle(state, (0, 1, 2))
        if any(m.holds_lease(_local_time(state, n)) for n, m in enumerate(state.protocols)):
            return True
        state = replace(state, now=state.now + 1)
    return False


class ElectionModel:
    """This model for the search; `commits` and `fenced` are false to see what comes of a host that
    does not wait for commits, and of proxies without a fence.
    """

    def __init__(self, wait_for_commit: bool = True, fenced: bool = True) -> None:
        self.wait_for_commit = wait_for_commit
        self.fenced = fenced

    def steps(self, state: SystemState) -> Iterator[Step]:
        return steps(state, self.wait_for_commit, self.fenced)

    def check_invariants(self, state: SystemState) -> str:
        return check_invariants(state)

    def canonical_form(self, state: SystemState) -> int:
        return canonical_form(state)

    def within_limits(self, state: SystemState) -> bool:
        return len(state.in_flight) <= state.remaining.in_flight

    def recovers(self, state: SystemState) -> bool:
        return recovers(state)


def explore(
    states: int,
    seconds: float = 1e9,
    protocol_factory: Callable[..., ElectionProtocol] = ElectionProtocol,
    limits: ExplorationLimits | None = None,
    wait_for_commit: bool = True,
    fenced: bool = True,
    recovery_check_interval: int = 0,
    prefix: Iterable[str] = (),
) -> ExplorationResult:
    """Breadth first, so that the trace is a shortest one (from where `prefix` leads, if it does)."""
    model = ElectionModel(wait_for_commit, fenced)
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
    protocol_factory: Callable[..., ElectionProtocol] = ElectionProtocol,
    limits: ExplorationLimits | None = None,
    length: int = 60,
    walks: int = 10**9,
) -> ExplorationResult:
    """Walks until one breaks a property; its trace is shortened."""
    return swarmed(
        ElectionModel(),
        initial_state(protocol_factory, limits or ExplorationLimits(in_flight=6)),
        seconds,
        seed,
        length,
        walks,
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
        walks = {
            seed: pool.submit(
                explore_randomly,
                arguments.seconds,
                seed,
                limits=ExplorationLimits(in_flight=8, losses=3, terms=4),
            )
            for seed in range(arguments.walkers)
        }
        for seed, result in walks.items():
            print(result.result().describe(f"walks of seed {seed}", ""), flush=True)
        print(breadth_first.result().describe("breadth first", "a master again"), flush=True)


if __name__ == "__main__":
    main()
