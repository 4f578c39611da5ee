"""Protocol time: host time that never goes back, and pauses of the process.

Both are departures from SWIM, whose model has neither clocks that jump nor processes that stop.
"""

from math import inf

from dunlinlug.fleet.membership import local_health
from dunlinlug.fleet.membership.local_member import LocalMember
from dunlinlug.fleet.membership.messages import Order, ProcessPaused


def advance(member: LocalMember, host_time: float) -> None:
    """Set protocol time from the host's clock.

    Without the offset, a host clock set back by an hour would leave nothing due for that hour.
    """
    if host_time + member.clock_offset < member.now:
        member.clock_offset = member.now - host_time
    member.now = host_time + member.clock_offset


def detect_pause(member: LocalMember) -> list[Order]:
    """Drop what was begun before a pause: being called more than an interval late.

    Without this, a member that was stopped would count every answer that waits unread as never
    given, and suspect whom it had probed. Suspicions are moved on by the pause.
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
