"""Lifeguard's local health multiplier: longer timeouts while the local member may be at fault.

The score counts signs of a local fault, from 0 (healthy) to `MAX_LOCAL_HEALTH`. Probe intervals and
timeouts grow with it. Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (2018), "LHA-Probe".
"""

from dunlinlug.fleet.membership.local_member import LocalMember

# The paper's bound S: probe intervals grow to at most S + 1 times their length.
MAX_LOCAL_HEALTH = 8
# Highest score at which a member that receives no messages starts no suspicion. It is exceeded
# after three probe intervals of increasing length, which take about two seconds.
ISOLATED_LOCAL_HEALTH = 3


def degrade(member: LocalMember) -> None:
    """Raise the score after a process pause, a refutation, a missing nack or a lost ack."""
    member.local_health = min(MAX_LOCAL_HEALTH, member.local_health + 1)


def improve(member: LocalMember) -> None:
    """Lower the score after a direct ack of a scheduled probe."""
    member.local_health = max(0, member.local_health - 1)


def multiplier(member: LocalMember) -> int:
    """Factor by which probe intervals and timeouts are extended; 1 when healthy."""
    return 1 + member.local_health
