"""Operators' bans: a banned member is excluded from the cluster in any state that it reports."""

from dunlinlug.fleet.membership.local_member import Lifecycle, LocalMember
from dunlinlug.fleet.membership.messages import (
    Gossip,
    MemberBan,
    MemberStateChanged,
    Message,
    Order,
    Ping,
    Send,
    gossip_of,
)


def set_banned(member: LocalMember, name: str, banned: bool) -> list[Order]:
    """Ban a member or end its ban. Raises ValueError if the name is not a known member."""
    table = member.table
    if name not in table.members:
        known = ", ".join(sorted(table.members))
        raise ValueError(f"{name!r} is no member known here; known are {known}")
    version = table.bans[name].version + 1 if name in table.bans else 1
    orders = merge_ban(member, MemberBan(name, version, banned), member.self_id)
    member.next_gossip_at = member.now
    if name != member.self_id:
        # Regular gossip goes to live members only, so the banned member is sent its ban directly.
        orders.append(member.send(name, Gossip(member.local_state, name, (table.bans[name],))))
    return orders


def merge_ban(member: LocalMember, ban: MemberBan, sender_name: str) -> list[Order]:
    """Merge a ban or its end; returns the state change, if any."""
    was_banned = member.table.is_banned(ban.name)
    if not member.table.merge(ban) or was_banned == ban.banned:
        return []
    if ban.name == member.self_id:
        _handle_local_ban(member, ban.banned)
    member.suspicions.pop(ban.name, None)
    before = "barred" if was_banned else "unbarred"
    after = "barred" if ban.banned else "unbarred"
    reason = f"an operator's word, heard of {sender_name}"
    return [MemberStateChanged(ban.name, before, after, reason)]


def _handle_local_ban(member: LocalMember, banned: bool) -> None:
    """Update the local lifecycle state after a ban of this member, or after the end of one."""
    if member.state == Lifecycle.SUPERSEDED:
        return
    member.state = Lifecycle.BANNED if banned else Lifecycle.JOINING
    member.next_probe_at = member.now
    member.next_reconnect_at = member.now
    member.probes.clear()


def receive_from_banned(member: LocalMember, message: Message) -> list[Order]:
    """Merge only the sender's own ban or its end, and answer a ping with the ban.

    The end of a ban is accepted from any member, the banned one included.
    """
    name = message.sender.name
    orders: list[Order] = []
    for item in gossip_of(message):
        if isinstance(item, MemberBan) and item.name == name:
            orders += merge_ban(member, item, name)
    if member.table.is_banned(name) and isinstance(message, Ping):
        ban = member.table.bans[name]
        orders.append(Send(message.sender.address, Gossip(member.local_state, name, (ban,))))
    return orders
