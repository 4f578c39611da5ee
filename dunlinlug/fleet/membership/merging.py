"""Merges reported member states, and refutes false reports about the local member.

Each member's state carries an incarnation; the higher (incarnation, state) wins, as in SWIM (Das,
Gupta, Motivala 2002, section 4.2). An incarnation here is (start epoch, refutations), so a restart
of the process does not refute the failure of the previous process.
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

# Gossip of a change is delayed by the probe interval divided by this, so that changes go out
# together.
GOSSIP_DELAY_DIVISOR = 8
# Expected number of members that probe a suspected member as soon as they receive the suspicion:
# all of a small cluster, without a burst of probes in a large one.
EXPECTED_CONFIRMING_PROBES = 8


def merge_state(member: LocalMember, item: MemberState, reason: str) -> list[Order]:
    """Merge one reported state; returns the resulting orders.

    Args:
        member: The local member.
        item: The reported state.
        reason: Explanation for operators, included in the logged change.
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
        full_reason = f"restarted: {reason}" if restarted else reason
        orders.append(MemberStateChanged(item.name, before, after, full_reason))
    return orders


def _suspect(member: LocalMember, item: MemberState) -> list[Order]:
    """Start a suspicion; some members, at random, probe at once if another member reported it."""
    member.suspicions[item.name] = Suspicion(member.now, {item.reporter})
    others = len(member.other_live_members())
    probe_now = member.rng.random() * max(others, 1) < EXPECTED_CONFIRMING_PROBES
    if item.reporter == member.self_id or not probe_now:
        return []
    if probes.is_probing(member, item.name):
        return []
    return probes.start(member, item.name, unscheduled=True)


def with_state(member: LocalMember, name: str, state: int) -> MemberState:
    """Return a state of a known member in its current incarnation, reported by the local member."""
    known = member.table.members[name]
    return MemberState(name, known.incarnation, state, known.address, member.self_id)


def refute(member: LocalMember, item: MemberState) -> list[Order]:
    """Handle a reported state of the local member: refute a false one, yield to a later start."""
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
        return [_local_change(member, item.state, f"refuted the report of {item.reporter}")]
    return []


def _handle_later_start(member: LocalMember, item: MemberState) -> list[Order]:
    """Handle a later start epoch of this member's name: a past one, or of another process."""
    start_epoch = member.local_state.incarnation[0]
    claimed_epoch = item.incarnation[0]
    if item.state > SUSPECTED and member.state != Lifecycle.LEFT:
        # The process of the later start has ended. The local epoch is lower because the store or
        # the clock was lost, so continue above the later one.
        member.set_local_state((claimed_epoch + 1, 0), ALIVE)
        reason = f"start epoch {start_epoch} raised to {claimed_epoch + 1}"
        return [_local_change(member, item.state, reason)]
    if member.state in (Lifecycle.LEFT, Lifecycle.SUPERSEDED):
        return []
    # Another process uses this name. The later start wins, which needs no negotiation.
    member.state = Lifecycle.SUPERSEDED
    member.probes.clear()
    return [
        Superseded(claimed_epoch),
        MemberStateChanged(
            member.self_id, "alive", Lifecycle.SUPERSEDED.value, "a later start uses this name"
        ),
    ]


def _local_change(member: LocalMember, claimed_state: int, reason: str) -> MemberStateChanged:
    """Return the change of the local member back to alive."""
    return MemberStateChanged(member.self_id, STATE_NAMES[claimed_state], "alive", reason)
