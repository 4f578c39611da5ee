"""Joining, and recovery from partitions: pings to failed members and to seeds.

SWIM sends nothing to a failed member, so the two sides of a partition would stay apart after it has
healed. Each member therefore pings a failed member or a silent seed periodically.
"""

from dunlinlug.fleet.membership import state_sync
from dunlinlug.fleet.membership.local_member import Lifecycle, LocalMember
from dunlinlug.fleet.membership.messages import (
    FAILED,
    UNKNOWN_NAME,
    Address,
    GossipItem,
    Order,
    Ping,
    Send,
)

RECONNECT_INTERVALS = 4.0  # probe intervals between attempts, plus or minus a quarter


def run_periodic(member: LocalMember) -> list[Order]:
    """Schedule the next attempt, and make one now."""
    delay = RECONNECT_INTERVALS * member.probe_interval * member.rng.uniform(0.75, 1.25)
    member.next_reconnect_at = member.now + delay
    return reconnect(member)


def reconnect(member: LocalMember) -> list[Order]:
    """Ping a random failed member, or a seed at whose address no live member is known.

    While no other member is known, a request for a full synchronisation is sent too, to join.
    """
    failed_names = _failed_names_by_address(member)
    live_addresses = {member.address_of(name) for name in member.table.live_members()}
    silent_seeds = {seed for seed in member.seeds if seed not in live_addresses}
    candidates = sorted({*failed_names, *silent_seeds})
    if not candidates:
        return []
    address = member.rng.choice(candidates)
    name = failed_names.get(address)
    target = name or UNKNOWN_NAME
    priority_items: tuple[GossipItem, ...] = (member.table.members[name],) if name else ()
    digest = member.table.digest()
    gossip = member.table.take_gossip(priority_items)
    ping = Ping(member.local_state, target, 0, digest, gossip)
    orders: list[Order] = [Send(address, ping)]
    if member.state == Lifecycle.JOINING or not member.other_live_members():
        orders.append(Send(address, state_sync.join_message(member, target)))
    return orders


def _failed_names_by_address(member: LocalMember) -> dict[Address, str]:
    """Members that failed and are not banned, by address; excludes those that left."""
    table = member.table
    return {
        table.members[name].address: name
        for name in table.departed_members()
        if table.members[name].state == FAILED and not table.is_banned(name)
    }
