"""Operators' bans: a member that is taken out of the cluster, whatever it says of itself."""

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
    """Ban a member or let it in again. Raises ValueError for a name that is no known member."""
    table = member.table
    if name not in table.members:
        known = ", ".join(sorted(table.members))
        raise ValueError(f"{name!r} is no member known here; known are {known}")
    version = table.bans[name].version + 1 if name in table.bans else 1
    orders = merge_ban(member, MemberBan(name, version, banned), member.self_id)
    member.next_gossip_at = member.now
    if name != member.self_id:
        # A banned member gets no gossip any more, so the ban is sent to it directly.
        orders.append(member.send(name, Gossip(member.local_state, name, (table.bans[name],))))
    return orders


def merge_ban(member: LocalMember, ban: MemberBan, sender_name: str) -> list[Order]:
    """Merge a ban or its end; gives the change if there is one."""
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
    """We are banned, or may join again."""
    if member.state == Lifecycle.SUPERSEDED:
        return
    member.state = Lifecycle.BANNED if banned else Lifecycle.JOINING
    member.next_probe_at = member.now
    member.next_reconnect_at = member.now
    member.probes.clear()


def receive_from_banned(member: LocalMember, message: Message) -> list[Order]:
    """Take nothing of a banned member but the end of its ban, and send it the ban.

    The end of a ban may come from anyone, that member included.
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
