"""States of the ownership model, and the canonical forms by which a search identifies them."""

from dataclasses import dataclass
from math import inf
from typing import Any, NamedTuple

from dunlinlug.fleet.election import messages
from dunlinlug.fleet.election.model_state import message_form, protocol_form
from dunlinlug.fleet.model_checking.cluster import (
    MEMBERS,
    Delivery,
    ExplorationLimits,
    SystemState,
    digest,
    relative_time,
)
from dunlinlug.fleet.ownership.coordinator import LeaseCoordinator
from dunlinlug.fleet.ownership.fencing import FencingToken
from dunlinlug.fleet.ownership.messages import LeaseGranted
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

# Units by which each member's clock advances per tick of the true clock, in the order of the
# members. The rates are as far apart as the drift allows.
CLOCK_UNITS_PER_TICK = (6, 4, 5)
# Relative times before this, in units, are equivalent: it is further back than a lease on any
# clock.
EARLIEST_UNIT = -20
LATEST_UNIT = 100  # relative times from this on, in units, are equivalent to never


@dataclass(frozen=True, kw_only=True)
class OwnershipLimits(ExplorationLimits):
    """Limits of one run, including the numbers of effects and of lost disks."""

    terms: int = 2
    effects: int = 2
    disk_losses: int = 0


class PendingEffect(NamedTuple):
    """An effect that its owner has decided under a token but not sent yet."""

    shard: int
    token: int


class HighestToken(NamedTuple):
    """The highest fencing token that an executor has executed for a shard."""

    shard: int
    token: FencingToken


@dataclass(frozen=True, kw_only=True)
class OwnershipState(SystemState[OwnershipProtocol, OwnershipLimits]):
    """The members, the executors and the messages in flight.

    Each tuple has one item per member; `highest_tokens` has one per executor.
    """

    disks: tuple[messages.Persist, ...]
    incarnations: tuple[int, ...]
    pending_effects: tuple[PendingEffect | None, ...]
    effect_sequences: tuple[int, ...]
    highest_tokens: tuple[tuple[HighestToken, ...], ...]


def local_time(state: OwnershipState, index: int) -> int:
    """Returns the time on a member's clock, in units."""
    return state.now * CLOCK_UNITS_PER_TICK[index]


def canonical_form(state: OwnershipState) -> int:
    """Returns a number that is equal for states with the same possible futures."""
    forms = [
        _protocol_form(protocol, local_time(state, index))
        for index, protocol in enumerate(state.protocols)
    ]
    highest_tokens = [
        [(highest.shard, *vars(highest.token).values()) for highest in tokens]
        for tokens in state.highest_tokens
    ]
    limits = state.remaining
    return digest(
        (
            forms,
            state.incarnations,
            state.pending_effects,
            state.effect_sequences,
            sorted(repr(_delivery_form(state, delivery)) for delivery in state.in_flight),
            highest_tokens,
            [(disk.term, disk.voted_for) for disk in state.disks],
            list(vars(limits).values()),
        )
    )


def _delivery_form(state: OwnershipState, delivery: Delivery) -> tuple[Any, ...]:
    message = delivery.message
    if not hasattr(message, "sent_at"):
        return message_form(delivery, 0, EARLIEST_UNIT)
    # An answer repeats the time of the request, which is on its recipient's clock.
    answer = isinstance(message, messages.AppendResponse | LeaseGranted)
    clock = delivery.recipient if answer else message.sender
    return message_form(delivery, local_time(state, MEMBERS.index(clock)), EARLIEST_UNIT)


def _relative(value: float, now: int) -> int:
    if value == -inf:
        return EARLIEST_UNIT
    return relative_time(min(value, now + LATEST_UNIT), now, EARLIEST_UNIT)


def _protocol_form(protocol: OwnershipProtocol, now: int) -> tuple[Any, ...]:
    assignments = protocol.assignments
    return (
        protocol_form(protocol.log, now, EARLIEST_UNIT),
        assignments.owners,
        assignments.tokens,
        sorted(assignments.revoking.items()),
        sorted(assignments.incarnations.items()),
        _relative(protocol.lease.until, now),
        protocol.lease.term,
        protocol.lease.committed_position,
        _relative(protocol.renewals.next_at, now),
        protocol.renewals.coordinator,
        protocol.releases.released_tokens(),
        protocol.releases.outdated(),
        _pending_lease_form(protocol.lease.pending, now),
        _coordinator_form(protocol.coordinator, now) if protocol.log.is_leader else (),
    )


def _pending_lease_form(lease: LeaseGranted | None, now: int) -> tuple[Any, ...]:
    if lease is None:
        return ()
    return (
        lease.term,
        _relative(lease.sent_at, now),
        lease.duration,
        lease.log_position,
        lease.committed,
        lease.incarnation,
    )


def _coordinator_form(coordinator: LeaseCoordinator, now: int) -> tuple[Any, ...]:
    grants = coordinator.grants
    stability = coordinator.stability
    renewals = [
        (member, _relative(renewal.sent_at, now), _relative(renewal.received_at, now))
        for member, renewal in grants.last_renewals.items()
    ]
    presence = [
        (
            member,
            min(now - since, int(stability.required_leases[member] * stability.lease)),
            stability.required_leases[member],
        )
        for member, since in stability.present_since.items()
    ]
    return (
        sorted((member, _relative(until, now)) for member, until in grants.granted_until.items()),
        sorted(renewals),
        sorted(grants.incarnations.items()),
        _relative(coordinator.term_started_at, now),
        _relative(coordinator.next_review_at, now),
        sorted(presence),
    )
