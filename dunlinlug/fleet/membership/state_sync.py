"""Push/pull synchronisation of all that two members know, as a safety net beside gossip.

Gossip is sent a bounded number of times, so that some of it is lost to some members. Not part of
the SWIM paper; memberlist has the same exchange. It runs with a random member now and then, with a
member whose table digest stays different from ours, and with the first member that is heard.
"""

from math import inf

from dunlinlug.fleet.membership.local_member import LocalMember
from dunlinlug.fleet.membership.messages import Order, Send, StateSync, TableDigest

SYNC_INTERVALS = 50.0  # probe intervals between exchanges with a random member
# Probe intervals for which a peer's digest may differ from ours before we synchronise with it.
DIVERGENCE_INTERVALS = 10.0


def schedule_first(member: LocalMember) -> None:
    """Set the first exchange, spread out so that a fleet started at once does not do it at once."""
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
    """Send a member all that we know, and ask for all that it knows."""
    return member.send(name, _make_sync(member, name, reply_requested=True))


def answer(member: LocalMember, sync: StateSync) -> list[Order]:
    """Send back all that we know, where that was asked for.

    It goes to the address in the message, which may be another than the one in our table.
    """
    if not sync.reply_requested:
        return []
    sender = sync.sender
    return [Send(sender.address, _make_sync(member, sender.name, reply_requested=False))]


def _make_sync(member: LocalMember, target: str, *, reply_requested: bool) -> StateSync:
    return StateSync(member.local_state, target, reply_requested, member.table.full_state())


def join_message(member: LocalMember, target: str) -> StateSync:
    """What we send to a seed whose name may not be known, while nobody else is."""
    return _make_sync(member, target, reply_requested=True)


def compare_digest(member: LocalMember, name: str, digest: TableDigest) -> list[Order]:
    """Synchronise with a peer whose digest has stayed different from ours for long."""
    peer = member.peers[name]
    if digest == member.table.digest():
        peer.diverged_since = inf
        return []
    peer.diverged_since = min(peer.diverged_since, member.now)
    if member.now < peer.diverged_since + DIVERGENCE_INTERVALS * member.probe_interval:
        return []
    peer.diverged_since = inf
    return [request(member, name)]
