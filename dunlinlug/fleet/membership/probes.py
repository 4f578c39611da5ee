"""Sends probes: the ping itself, and the record of the open probe.

From SWIM (Das, Gupta, Motivala 2002), section 3.1: a ping, and after a part of the interval
requests to others. Acks and timeouts are handled in `failure_detection`.
"""

from dunlinlug.fleet.membership import local_health
from dunlinlug.fleet.membership.local_member import LocalMember, Probe
from dunlinlug.fleet.membership.messages import ALIVE, GossipItem, MemberState, Order, Ping, Send

# Fraction of a probe interval to wait for a direct ack before others are asked: about a hundred
# times the latency within a site.
DIRECT_PROBE_FRACTION = 0.4


def _direct_timeout(member: LocalMember) -> float:
    """Seconds to wait for a direct ack."""
    return DIRECT_PROBE_FRACTION * member.probe_interval * local_health.multiplier(member)


def start(member: LocalMember, name: str, *, unscheduled: bool = False) -> list[Order]:
    """Probe a member; others are asked if no direct ack arrives in time."""
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
    """Probe a member claimed to have failed: once, directly, with a short timeout."""
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
    """Return the order to ping a known member, with gossip.

    A member that is suspected or claimed to have failed receives that state first, so that it can
    refute it: Lifeguard's "buddy system" (Dadgar, Phillips, Currey 2018).
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
