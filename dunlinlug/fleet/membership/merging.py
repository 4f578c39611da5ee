"""Merging what is said of members, and refuting what is said wrongly of ourselves.

Each member's state carries an incarnation; the higher (incarnation, state) wins, as in SWIM (Das,
Gupta, Motivala 2002, section 4.2). An incarnation here is (start epoch, refutations): a restart of
the process is no refutation of the death of the one before.
"""

from dunlinlug.fleet.membership import local_health, probes, suspicions
from dunlinlug.fleet.membership.local_member import Lifecycle, LocalMember, PeerState, Suspicion
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    STATE_NAMES,
    SUSPECTED,
    MemberState,
    MemberStateChanged,
    Order,
    Superseded,
)

# Gossip of a change waits for this part of a probe interval, so that changes go out together.
GOSSIP_DELAY_DIVISOR = 8
# Of the members that hear of a suspicion, so many as expected probe the suspected one at once: all
# of a small cluster, and no storm in a large one.
EXPECTED_CONFIRMING_PROBES = 8


def merge_state(member: LocalMember, item: MemberState, reason: str) -> list[Order]:
    """Merge one statement on a member; gives what follows from it.

    Args:
        member: Who merges.
        item: What is said.
        reason: Why, for people; it goes into the change that is logged.
    """
    if item.name == member.self_id:
        return refute(member, item)
    if item.state == SUSPECTED and suspicions.is_known(member, item):
        suspicions.confirm(member, item)
        return []
    previous = member.table.members.get(item.name)
    if not member.table.merge(item):
        return []
    gossip_at = member.now + member.probe_interval / GOSSIP_DELAY_DIVISOR
    member.next_gossip_at = min(member.next_gossip_at, gossip_at)
    before = STATE_NAMES[previous.state] if previous is not None else "unknown"
    restarted = previous is not None and previous.incarnation[0] != item.incarnation[0]
    peer = member.peers.setdefault(item.name, PeerState(member.now))
    if previous is None or previous.state != item.state or restarted:
        peer.since = member.now
    orders: list[Order] = []
    if item.state == SUSPECTED:
        orders += _suspect(member, item)
    else:
        member.suspicions.pop(item.name, None)
    after = STATE_NAMES[item.state]
    if before != after or restarted:
        stated_reason = f"started again: {reason}" if restarted else reason
        orders.append(MemberStateChanged(item.name, before, after, stated_reason))
    return orders


def _suspect(member: LocalMember, item: MemberState) -> list[Order]:
    """Begin a suspicion; one that we only heard of is checked at once by some, by chance."""
    member.suspicions[item.name] = Suspicion(member.now, {item.reporter})
    others = len(member.other_live_members())
    probe_now = member.rng.random() * max(others, 1) < EXPECTED_CONFIRMING_PROBES
    if item.reporter == member.self_id or not probe_now:
        return []
    if probes.is_probing(member, item.name):
        return []
    return probes.start(member, item.name, unscheduled=True)


def with_state(member: LocalMember, name: str, state: int) -> MemberState:
    """Our own statement on a known member, within its present incarnation."""
    known = member.table.members[name]
    return MemberState(name, known.incarnation, state, known.address, member.self_id)


def refute(member: LocalMember, item: MemberState) -> list[Order]:
    """Answer what is said of ourselves: outbid what is wrong, and give way to a later start."""
    start_epoch, refutations = member.local_state.incarnation
    claimed_epoch, claimed_refutations = item.incarnation
    if claimed_epoch > start_epoch:
        return _handle_later_start(member, item)
    if (
        claimed_epoch == start_epoch
        and item.state != ALIVE
        and claimed_refutations >= refutations
        and member.state != Lifecycle.LEFT
    ):
        member.set_local_state((start_epoch, claimed_refutations + 1), ALIVE)
        local_health.degrade(member)
        return [_local_change(member, item.state, f"we speak against {item.reporter}")]
    return []


def _handle_later_start(member: LocalMember, item: MemberState) -> list[Order]:
    """A start of our name that is later than ours is known: of the past, or of another process."""
    start_epoch = member.local_state.incarnation[0]
    claimed_epoch = item.incarnation[0]
    if item.state > SUSPECTED and member.state != Lifecycle.LEFT:
        # The later start is over: our store or our clock was lost, and we go on above it.
        member.set_local_state((claimed_epoch + 1, 0), ALIVE)
        reason = f"start {start_epoch} goes on as {claimed_epoch + 1}"
        return [_local_change(member, item.state, reason)]
    if member.state in (Lifecycle.LEFT, Lifecycle.SUPERSEDED):
        return []
    # Another process runs under our name. The later start stays, which needs no negotiation.
    member.state = Lifecycle.SUPERSEDED
    member.probes.clear()
    return [
        Superseded(claimed_epoch),
        MemberStateChanged(
            member.self_id, "alive", Lifecycle.SUPERSEDED.value, "a later start has our name"
        ),
    ]


def _local_change(member: LocalMember, claimed_state: int, reason: str) -> MemberStateChanged:
    """We are alive, whatever was said."""
    return MemberStateChanged(member.self_id, STATE_NAMES[claimed_state], "alive", reason)
