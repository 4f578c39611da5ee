"""Answers to pings, and indirect probes on behalf of other members.

From SWIM (Das, Gupta, Motivala 2002), section 3.1, ping-req. The nack, which shows that a helper
itself is reachable while the member probed is silent, is from Lifeguard (Dadgar, Phillips, Currey
2018).
"""

from collections.abc import Iterable

from dunlinlug.fleet.membership import claims, probes
from dunlinlug.fleet.membership.local_member import IndirectProbe, LocalMember
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    Ack,
    GossipItem,
    MemberState,
    Nack,
    Order,
    Ping,
    PingRequest,
    Send,
)

MAX_INDIRECT_PROBES = 64  # open probes on behalf of others


def answer_ping(member: LocalMember, ping: Ping) -> Send:
    """Return the ack of a ping; a suspected sender receives that state first, and can refute it."""
    known = member.table.members[ping.sender.name]
    priority_items = (known,) if known.state != ALIVE else ()
    return _make_ack(member, ping.sender, ping.sequence, priority_items)


def _make_ack(
    member: LocalMember,
    requester: MemberState,
    sequence: int,
    priority_items: Iterable[GossipItem] = (),
) -> Send:
    ack = Ack(
        member.local_state,
        requester.name,
        sequence,
        member.self_id,
        member.local_state.incarnation[0],
        member.table.digest(),
        member.table.take_gossip(priority_items),
    )
    return Send(requester.address, ack)


def handle_request(member: LocalMember, request: PingRequest) -> list[Order]:
    """Probe a member on behalf of another; a probe of this member is acked at once."""
    subject = request.subject
    if subject.name == member.self_id:
        return [_make_ack(member, request.sender, request.sequence)]
    orders = claims.merge_claim(member, subject)
    if subject.name not in member.table.members:
        return orders
    if len(member.indirect_probes) >= MAX_INDIRECT_PROBES:
        return orders
    member.sequence += 1
    member.indirect_probes[member.sequence] = IndirectProbe(
        request.sequence,
        request.sender,
        deadline=member.now + probes.DIRECT_PROBE_FRACTION * member.probe_interval,
    )
    return [*orders, probes.make_ping(member, subject.name, member.sequence)]


def forward_ack(member: LocalMember, ack: Ack) -> list[Order]:
    """Forward a direct ack to the requester of an indirect probe; no orders if there is none."""
    indirect_probe = member.indirect_probes.pop(ack.sequence, None)
    if indirect_probe is None:
        return []
    requester = indirect_probe.requester
    forwarded = Ack(
        member.local_state,
        requester.name,
        indirect_probe.sequence,
        ack.subject,
        ack.subject_start_epoch,
        member.table.digest(),
        (member.table.members[ack.subject],),
    )
    return [Send(requester.address, forwarded)]


def expire(member: LocalMember) -> list[Order]:
    """Send a nack for every indirect probe that was not answered in time."""
    expired = [
        sequence
        for sequence, indirect_probe in member.indirect_probes.items()
        if indirect_probe.deadline <= member.now
    ]
    orders: list[Order] = []
    for sequence in expired:
        indirect_probe = member.indirect_probes.pop(sequence)
        requester = indirect_probe.requester
        nack = Nack(member.local_state, requester.name, indirect_probe.sequence)
        orders.append(Send(requester.address, nack))
    return orders
