"""Push/pull synchronisation of two members' full states, as a fallback to gossip.

Gossip is sent a bounded number of times, so some members may miss an item. Not part of the SWIM
paper; memberlist has the same exchange. It takes place periodically with a random member, with a
member whose table digest stays different from the local one, and with the first member from which a
message arrives.
"""

from math import inf

from dunlinlug.fleet.membership.local_member import LocalMember
from dunlinlug.fleet.membership.messages import Order, Send, StateSync, TableDigest

SYNC_INTERVALS = 50.0  # probe intervals between exchanges with a random member
# Probe intervals for which a peer's digest may differ before a synchronisation with it.
DIVERGENCE_INTERVALS = 10.0


def schedule_first(member: LocalMember) -> None:
    """Schedule the first exchange, with jitter so that a fleet started at once is spread out."""
    delay = member.rng.uniform(0.5, 1.0) * SYNC_INTERVALS * member.probe_interval
    member.next_sync_at = member.now + delay


def run_periodic(member: LocalMember) -> list[Order]:
    """Synchronise with a random live member."""
    delay = member.rng.uniform(0.75, 1.25) * SYNC_INTERVALS * member.probe_interval
    member.next_sync_at = member.now + delay
    others = member.other_live_members()
    if not others:
        return []
    return [request(member, member.rng.choice(others))]


def request(member: LocalMember, name: str) -> Order:
    """Return the order to send a member the full local state and request its own."""
    return member.send(name, _make_sync(member, name, reply_requested=True))


def answer(member: LocalMember, sync: StateSync) -> list[Order]:
    """Send back the full local state, if requested.

    It is sent to the address in the message, which may differ from the one in the local table.
    """
    if not sync.reply_requested:
        return []
    sender = sync.sender
    return [Send(sender.address, _make_sync(member, sender.name, reply_requested=False))]


def _make_sync(member: LocalMember, target: str, *, reply_requested: bool) -> StateSync:
    return StateSync(member.local_state, target, reply_requested, member.table.full_state())


def join_message(member: LocalMember, target: str) -> StateSync:
    """Return the request for a seed, possibly of unknown name, while no other member is known."""
    return _make_sync(member, target, reply_requested=True)


def compare_digest(member: LocalMember, name: str, digest: TableDigest) -> list[Order]:
    """Synchronise with a peer whose digest has differed from the local one for too long."""
    peer = member.peers[name]
    if digest == member.table.digest():
        peer.diverged_since = inf
        return []
    peer.diverged_since = min(peer.diverged_since, member.now)
    if member.now < peer.diverged_since + DIVERGENCE_INTERVALS * member.probe_interval:
        return []
    peer.diverged_since = inf
    return [request(member, name)]
