"""Lifeguard's local health multiplier: a member that has reason to doubt itself takes more time.

The score counts such reasons, from 0 (healthy) to `MAX_LOCAL_HEALTH`. Probe intervals and timeouts
are stretched by it. Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (2018), "LHA-Probe".
"""

from dunlinlug.fleet.membership.local_member import LocalMember

# The paper's bound S: probe intervals grow to this many times plus one of their length.
MAX_LOCAL_HEALTH = 8
# A member that hears nobody suspects nobody up to this score: three probe intervals, each longer
# than the one before, which is about two seconds.
ISOLATED_LOCAL_HEALTH = 3


def degrade(member: LocalMember) -> None:
    """Count one more reason for doubt: a pause, a refutation, a missed nack, a lost answer."""
    member.local_health = min(MAX_LOCAL_HEALTH, member.local_health + 1)


def improve(member: LocalMember) -> None:
    """Count one reason less: a scheduled probe was answered directly."""
    member.local_health = max(0, member.local_health - 1)


def multiplier(member: LocalMember) -> int:
    """By how much probe intervals and timeouts are longer at present; 1 when healthy."""
    return 1 + member.local_health
