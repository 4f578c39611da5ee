"""The timeout of a suspicion, after which the member counts as failed.

SWIM lets a suspected member refute for a fixed time (Das, Gupta, Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002, section 4.2). Lifeguard
starts with a long timeout, which each independent confirmation shortens by the logarithm of their
number (Dadgar, Phillips, Currey 2018, "LHA-Suspicion").
"""

from math import log, log10

from dunlinlug.fleet.membership.local_member import LocalMember
from dunlinlug.fleet.membership.messages import MemberState

# The paper's K: confirmations by others with which the timeout reaches its minimum.
MAX_CONFIRMATIONS = 3
# Timeout in probe intervals, with all confirmations and with none; multiplied by the decimal
# logarithm of the cluster's size.
MIN_SUSPICION_INTERVALS = 2.0
MAX_SUSPICION_INTERVALS = 12.0


def deadline(member: LocalMember, name: str) -> float:
    """Protocol time at which this suspicion times out.

    A small cluster has few members that could confirm, so fewer confirmations suffice there.
    """
    suspicion = member.suspicions[name]
    size = len(member.table.live_members())
    scale = member.probe_interval * max(1.0, log10(max(size, 1)))
    confirmed_fraction = _confirmed_fraction(len(suspicion.confirmed_by), size)
    intervals = (
        MAX_SUSPICION_INTERVALS
        - (MAX_SUSPICION_INTERVALS - MIN_SUSPICION_INTERVALS) * confirmed_fraction
    )
    return suspicion.started_at + scale * intervals * (1 + member.local_health / 2)


def _confirmed_fraction(reporters: int, cluster_size: int) -> float:
    """Fraction of the range by which the timeout has shrunk; the first reporter does not count."""
    max_confirmations = min(MAX_CONFIRMATIONS, cluster_size - 2)
    if max_confirmations <= 0 or not reporters:
        return 0.0
    return log(min(reporters, max_confirmations + 1)) / log(max_confirmations + 1)


def confirm(member: LocalMember, item: MemberState) -> None:
    """Record another report of a suspicion; that of a new reporter is gossiped, up to the bound."""
    suspicion = member.suspicions[item.name]
    if item.reporter in suspicion.confirmed_by:
        return
    if len(suspicion.confirmed_by) > MAX_CONFIRMATIONS:
        return
    suspicion.confirmed_by.add(item.reporter)
    member.table.queue_broadcast(item)


def is_known(member: LocalMember, item: MemberState) -> bool:
    """Whether the item reports the current suspicion of its subject, and so may confirm it."""
    known = member.table.members.get(item.name)
    return (
        known is not None
        and known.precedence() == item.precedence()
        and item.name in member.suspicions
    )
