"""Sending a probe: the ping itself, and the record of what it waits for.

Source: SWIM (Das, Gupta, Motivala 2002), section 3.1: a ping, and after a part of the interval
requests to others. What follows on answers and timeouts is `failure_detection`'s.
"""

from dunlinlug.fleet.membership import local_health
from dunlinlug.fleet.membership.local_member import LocalMember, Probe
from dunlinlug.fleet.membership.messages import ALIVE, GossipItem, MemberState, Order, Ping, Send

# Part of a probe interval for which a direct answer is awaited before others are asked: some
# hundred times the way of a message within a site.
DIRECT_PROBE_FRACTION = 0.4


def _direct_timeout(member: LocalMember) -> float:
    """Seconds for which a direct answer is awaited."""
    return DIRECT_PROBE_FRACTION * member.probe_interval * local_health.multiplier(member)


def start(member: LocalMember, name: str, *, unscheduled: bool = False) -> list[Order]:
    """Probe a member; others are asked after a while without an answer."""
    member.sequence += 1
    member.probes[member.sequence] = Probe(
        name,
        member.table.members[name].incarnation[0],
        member.now,
        deadline=member.now + member.probe_interval * local_health.multiplier(member),
        indirect_at=member.now + _direct_timeout(member),
        unscheduled=unscheduled,
    )
    return [make_ping(member, name, member.sequence)]


def start_for_claim(member: LocalMember, claim: MemberState) -> list[Order]:
    """Probe a member of which another claims that it failed: once, directly, for a short time."""
    member.sequence += 1
    member.probes[member.sequence] = Probe(
        claim.name,
        member.table.members[claim.name].incarnation[0],
        member.now,
        deadline=member.now + _direct_timeout(member),
        claim=claim,
    )
    return [make_ping(member, claim.name, member.sequence, claim)]


def make_ping(
    member: LocalMember, name: str, sequence: int, claim: MemberState | None = None
) -> Send:
    """The order to ping a known member, with gossip.

    Who is suspected or claimed to have failed hears that first, so that it can refute it:
    Lifeguard's "buddy system" (Dadgar, Phillips, Currey 2018).
    """
    known = member.table.members[name]
    priority_items: tuple[GossipItem, ...] = ()
    if claim is not None:
        priority_items = (claim,)
    elif known.state != ALIVE:
        priority_items = (known,)
    digest = member.table.digest()
    gossip = member.table.take_gossip(priority_items)
    return Send(known.address, Ping(member.local_state, name, sequence, digest, gossip))


def is_probing(member: LocalMember, name: str) -> bool:
    """Whether a probe of this member is open."""
    return any(probe.name == name for probe in member.probes.values())


def is_checking_claim(member: LocalMember, name: str) -> bool:
    """Whether a claim that this member failed is being checked."""
    return any(probe.name == name and probe.claim for probe in member.probes.values())
