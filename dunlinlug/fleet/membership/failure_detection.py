"""Failure detection: the rounds of probes, indirect probes, and handling of timeouts and acks.

From SWIM (Das, Gupta, Motivala 2002): members are probed in rounds of random order (section 4.3),
one in each interval, directly and then through others (section 3.1); a member is suspected if no
ack arrives either way (section 4.2). From Lifeguard (Dadgar, Phillips, Currey 2018): nacks and the
local health multiplier ("LHA-Probe"). Two departures, each covered by tests: a member that leaves a
probe unanswered is not suspected while its own messages arrive, and a member that receives no
messages at all starts no suspicion for a while.
"""

from math import inf

from dunlinlug.fleet.membership import (
    local_health,
    merging,
    probes,
    reachability,
    suspicions,
)
from dunlinlug.fleet.membership.local_member import LocalMember, Probe
from dunlinlug.fleet.membership.messages import (
    FAILED,
    STATE_NAMES,
    SUSPECTED,
    Ack,
    MemberStateChanged,
    Nack,
    Order,
    PingRequest,
)

INDIRECT_PROBES = 3  # SWIM's k: members that are asked for an indirect probe
# Probe intervals until a failed or departed member is forgotten: longer than any message is in
# flight.
RETENTION_INTERVALS = 600.0


def run_probe_interval(member: LocalMember) -> list[Order]:
    """Start a probe interval: forget long departed members, and probe the next of the round."""
    member.next_probe_at = member.now + member.probe_interval * local_health.multiplier(member)
    orders = _forget_departed(member)
    name = _next_in_round(member)
    if name is not None:
        orders += probes.start(member, name)
    reachability.update_report(member)
    return orders


def _forget_departed(member: LocalMember) -> list[Order]:
    retention = RETENTION_INTERVALS * member.probe_interval
    orders: list[Order] = []
    for name in list(member.table.departed_members()):
        if name == member.self_id or member.now < member.peers[name].since + retention:
            continue
        before = STATE_NAMES[member.table.members[name].state]
        orders.append(MemberStateChanged(name, before, "gone", "failed or left long ago"))
        member.table.forget(name)
        del member.peers[name]
    return orders


def _next_in_round(member: LocalMember) -> str | None:
    """Return the next member in random order; each is probed once per round."""
    known = set(member.other_live_members())
    while member.probe_order and member.probe_order[-1] not in known:
        member.probe_order.pop()
    if not member.probe_order:
        member.probe_order = sorted(known)
        member.rng.shuffle(member.probe_order)
    return member.probe_order.pop() if member.probe_order else None


def handle_timeouts(member: LocalMember) -> list[Order]:
    """Request indirect probes or handle the timeout for every probe that is due."""
    orders: list[Order] = []
    for sequence in [n for n, probe in member.probes.items() if probe.indirect_at <= member.now]:
        orders += request_indirect_probes(member, sequence)
    for sequence in [n for n, probe in member.probes.items() if probe.deadline <= member.now]:
        orders += handle_probe_timeout(member, member.probes.pop(sequence))
    return orders


def request_indirect_probes(member: LocalMember, sequence: int) -> list[Order]:
    """Ask some other members to probe one that has not answered directly."""
    probe = member.probes[sequence]
    probe.indirect_at = inf
    others = [name for name in member.other_live_members() if name != probe.name]
    helpers = member.rng.sample(others, min(INDIRECT_PROBES, len(others)))
    probe.indirect_count = len(helpers)
    subject = member.table.members[probe.name]
    orders: list[Order] = []
    for name in helpers:
        gossip = member.table.take_gossip()
        request = PingRequest(member.local_state, name, sequence, subject, gossip)
        orders.append(member.send(name, request))
    return orders


def handle_probe_timeout(member: LocalMember, probe: Probe) -> list[Order]:
    """Suspect a member that left a probe unanswered, unless the fault may be local.

    If the probe was to check a claim that the member failed, the claim is accepted.
    """
    known = member.table.members.get(probe.name)
    peer = member.peers.get(probe.name)
    if known is None or peer is None or known.state > SUSPECTED:
        return []
    if known.incarnation[0] != probe.start_epoch:
        return []
    if probe.claim is not None:
        reason = f"reported by {probe.claim.reporter}, and it does not answer this member's probe"
        return merging.merge_state(member, probe.claim, reason)
    peer.directly_reachable = False
    peer.unresponsive = True
    if peer.last_received_at >= probe.started_at:
        # Its messages arrive, so it is alive; the messages sent to it are lost.
        local_health.degrade(member)
        reachability.update_report(member)
        return []
    isolated = member.last_received_at < probe.started_at
    if probe.nacks < probe.indirect_count or isolated:
        # Helpers are silent as well, so messages to this member may be lost.
        local_health.degrade(member)
    if isolated and member.local_health <= local_health.ISOLATED_LOCAL_HEALTH:
        return []
    reason = (
        f"no ack in {member.now - probe.started_at:.2f} s, directly or through "
        f"{probe.indirect_count} others ({probe.nacks} sent a nack)"
    )
    return merging.merge_state(member, merging.with_state(member, probe.name, SUSPECTED), reason)


def handle_ack(member: LocalMember, ack: Ack) -> None:
    """Handle an ack for an open probe of this member, direct or forwarded by a helper."""
    probe = member.probes.get(ack.sequence)
    if probe is None or probe.name != ack.subject:
        return
    if probe.start_epoch != ack.subject_start_epoch:
        return
    del member.probes[ack.sequence]
    direct = ack.subject == ack.sender.name
    peer = member.peers[probe.name]
    peer.unresponsive = False
    peer.directly_reachable = direct
    if direct and not probe.unscheduled:
        local_health.improve(member)
    if not direct or reachability.is_reported_not_answering(member, probe.name):
        reachability.update_report(member)


def handle_nack(member: LocalMember, nack: Nack) -> None:
    """Count a nack: messages from this helper arrive, but it has no ack of the member probed."""
    if nack.sequence in member.probes:
        member.probes[nack.sequence].nacks += 1


def expire_suspicions(member: LocalMember) -> list[Order]:
    """Mark members as failed whose suspicion timed out without a refutation."""
    expired = [
        name for name in member.suspicions if suspicions.deadline(member, name) <= member.now
    ]
    orders: list[Order] = []
    for name in expired:
        suspicion = member.suspicions[name]
        duration = member.now - suspicion.started_at
        reporters = ", ".join(sorted(suspicion.confirmed_by))
        reason = f"suspected for {duration:.2f} s, confirmed by {reporters}"
        orders += merging.merge_state(member, merging.with_state(member, name, FAILED), reason)
    return orders
