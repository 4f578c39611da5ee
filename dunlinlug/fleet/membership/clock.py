"""Protocol time, which is monotonic, and detection of process pauses.

Both depart from SWIM, whose model has neither clock jumps nor process pauses.
"""

from math import inf

from dunlinlug.fleet.membership import local_health
from dunlinlug.fleet.membership.local_member import LocalMember
from dunlinlug.fleet.membership.messages import Order, ProcessPaused


def advance(member: LocalMember, host_time: float) -> None:
    """Set protocol time from the host's clock.

    The offset compensates for backward jumps of the host's clock. Otherwise no timer would fire for
    an hour after that clock is set back by an hour.
    """
    if host_time + member.clock_offset < member.now:
        member.clock_offset = member.now - host_time
    member.now = host_time + member.clock_offset


def detect_pause(member: LocalMember) -> list[Order]:
    """Discard open probes after a process pause, which is a call more than an interval late.

    Acks that arrive during a pause wait unread, so the open probes would time out and every member
    probed would be suspected. Suspicions are extended by the length of the pause.
    """
    delay = member.now - member.next_due_at
    if delay <= member.probe_interval:
        return []
    member.probes.clear()
    member.indirect_probes.clear()
    for suspicion in member.suspicions.values():
        suspicion.started_at += delay
    for peer in member.peers.values():
        peer.diverged_since = inf
    local_health.degrade(member)
    return [ProcessPaused(delay)]
