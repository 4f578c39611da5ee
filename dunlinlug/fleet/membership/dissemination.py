"""Dissemination: gossip in messages of its own, and merging of the gossip on any message.

Changes are piggybacked on pings and acks, each a bounded number of times (SWIM's infection-style
dissemination, Das, Gupta, Motivala 2002, section 4.1; the queue is `MembershipTable`'s). A change
that was never sent also goes to a few random members at once in a separate message, as in
memberlist.
"""

from math import inf

from dunlinlug.fleet.membership import bans, claims
from dunlinlug.fleet.membership.local_member import SMALL_CLUSTER_SIZE, LocalMember
from dunlinlug.fleet.membership.messages import (
    Broadcast,
    BroadcastReceived,
    Gossip,
    GossipItem,
    MemberBan,
    MemberState,
    Message,
    Order,
    ReachabilityReport,
    gossip_of,
)

GOSSIP_FANOUT = 3  # random members that receive a new change at once


def send_new_gossip(member: LocalMember) -> list[Order]:
    """Send new changes to a few random members at once; the others receive them with pings."""
    member.next_gossip_at = inf
    if not member.table.has_unsent():
        return []
    others = member.other_live_members()
    orders: list[Order] = []
    for name in member.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
        items = member.table.take_gossip()
        if items:
            orders.append(member.send(name, Gossip(member.local_state, name, items)))
    return orders


def broadcast(member: LocalMember, broadcasts: tuple[Broadcast, ...]) -> list[Order]:
    """Send short-lived data directly to all other members, or to a sample of a large cluster."""
    recipients = member.other_live_members()
    if len(recipients) >= SMALL_CLUSTER_SIZE:
        recipients = member.rng.sample(recipients, SMALL_CLUSTER_SIZE)
    if not broadcasts:
        return []
    return [member.send(name, Gossip(member.local_state, name, broadcasts)) for name in recipients]


def merge_gossip(member: LocalMember, message: Message) -> list[Order]:
    """Merge all gossip items of a message."""
    orders: list[Order] = []
    for item in gossip_of(message):
        orders += _merge_item(member, item, message.sender.name)
    return orders


def _merge_item(member: LocalMember, item: GossipItem, sender_name: str) -> list[Order]:
    match item:
        case MemberState():
            return claims.merge_claim(member, item)
        case MemberBan():
            return bans.merge_ban(member, item, sender_name)
        case ReachabilityReport():
            member.table.merge(item)
            return []
        case Broadcast():
            return [BroadcastReceived(item)]
