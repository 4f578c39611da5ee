"""States of the election model, and the canonical forms by which a search identifies them."""

from dataclasses import dataclass
from functools import partial
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.model_checking.cluster import (
    MEMBERS,
    Delivery,
    ExplorationLimits,
    SystemState,
    digest,
    relative_time,
)

EARLIEST_TICK = -5  # ticks; all times before it are equivalent, as they are more than a lease ago
DRAIN_ENTRY = b"drain"
ATTEMPT_ENTRY = b"try"
TERM_START_ENTRY = b"begin"


@dataclass(frozen=True, kw_only=True)
class ElectionLimits(ExplorationLimits):
    """Limits of one run, which also cover clock faults, leadership transfers and log entries."""

    missed_ticks: int = 1
    transfers: int = 1
    entries: tuple[bytes, ...] = (DRAIN_ENTRY, ATTEMPT_ENTRY)


@dataclass(frozen=True)
class ProxyOrder:
    """An order in flight to a proxy."""

    proxy: int
    term: int
    sender: str
    entry: bytes


class PendingOrder(NamedTuple):
    """An order that a leader may send once its entry is committed."""

    entry: bytes
    log_index: int


class FollowedLeader(NamedTuple):
    """The leader whose order a proxy accepted last."""

    term: int
    member: str


class TermLeader(NamedTuple):
    """A member that became the leader of a term."""

    term: int
    member: str


@dataclass(frozen=True, kw_only=True)
class ElectionState(SystemState[ElectionProtocol, ElectionLimits]):
    """A state of members, network, clocks and proxies. Tuples are by member or by proxy."""

    clock_lags: tuple[int, ...]  # ticks that each member's clock has missed
    disks: tuple[messages.Persist, ...]
    logs: tuple[tuple[bytes, ...], ...]  # entries that each member's service has applied
    pending_orders: tuple[frozenset[PendingOrder], ...]
    followed_leaders: tuple[FollowedLeader, ...]  # by proxy
    drained: tuple[bool, ...]  # by proxy, whether it has received the drain
    attempts_allowed: int
    leaders: tuple[TermLeader, ...]  # of all terms so far


def local_time(state: ElectionState, index: int) -> int:
    """The time on a member's clock, in ticks."""
    return state.now - state.clock_lags[index]


def canonical_form(state: ElectionState) -> int:
    """A digest, which is equal for states with the same possible futures."""
    in_flight = sorted(repr(_delivery_form(state, delivery)) for delivery in state.in_flight)
    forms = [
        protocol_form(protocol, local_time(state, index), EARLIEST_TICK)
        for index, protocol in enumerate(state.protocols)
    ]
    limits = state.remaining
    return digest(
        (
            forms,
            state.logs,
            [sorted(pending) for pending in state.pending_orders],
            in_flight,
            state.followed_leaders,
            state.drained,
            state.attempts_allowed,
            state.leaders,
            [(disk.term, disk.voted_for) for disk in state.disks],
            list(vars(limits).values()),
        )
    )


def _delivery_form(state: ElectionState, delivery: Delivery) -> tuple[Any, ...]:
    message = delivery.message
    if isinstance(message, ProxyOrder):
        return ("~", message.proxy, message.term, message.sender, message.entry)
    clock = delivery.recipient if isinstance(message, messages.AppendResponse) else message.sender
    return message_form(delivery, local_time(state, MEMBERS.index(clock)), EARLIEST_TICK)


def message_form(delivery: Delivery, now: int, earliest: int) -> tuple[Any, ...]:
    """The canonical form of a message between members, with its send time relative to `now`.

    `now` is on the clock that stamped the message. The voter set is omitted, as no model changes
    it.
    """
    values = vars(delivery.message).copy()
    if "sent_at" in values:
        values["sent_at"] = relative_time(values["sent_at"], now, earliest)
    values.pop("voter_set", None)
    return (delivery.recipient, type(delivery.message).__name__, *values.values())


class _CachedForm(NamedTuple):
    """A protocol state's canonical form, computed at a time on the member's clock."""

    now: int
    form: tuple[Any, ...]


# Consecutive states share the protocol states of the members that did not act in between.
_form_cache: WeakKeyDictionary[ElectionProtocol, _CachedForm] = WeakKeyDictionary()


def protocol_form(protocol: ElectionProtocol, now: int, earliest: int) -> tuple[Any, ...]:
    """The canonical form of one member, with times relative to its clock.

    It is cached, so the protocol state must not change after the first call.
    """
    cached = _form_cache.get(protocol)
    if cached is not None and cached.now == now:
        return cached.form
    relative = partial(relative_time, now=now, earliest=earliest)
    form = (
        protocol.term,
        protocol.voted_for,
        protocol.voter_set.version,
        protocol.position,
        protocol.committed,
        relative(protocol.promised_until),
        relative(protocol.election_at),
        protocol.leader,
        protocol.is_leader,
        protocol.pending_election,
        sorted((name, vote.granted, vote.recovering) for name, vote in protocol.votes.items()),
        sorted((name, relative(at)) for name, at in protocol.acknowledged_at.items()),
        sorted(protocol.match_positions.items()),
        sorted((name, relative(at)) for name, at in protocol.snapshots_sent_at.items()),
        relative(protocol.next_heartbeat_at) if protocol.is_leader else 0,
        list(protocol.recent_entries),
        relative(protocol.leader_since) if protocol.is_leader else 0,
    )
    _form_cache[protocol] = _CachedForm(now, form)
    return form
