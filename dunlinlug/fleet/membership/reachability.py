"""The reachability report: members that this one does not reach itself, though others may.

SWIM distinguishes only live and failed members. That is not enough on a network with broken links:
two members may be alive to all others and disconnected from each other. Each member therefore
gossips a report of the members that do not answer its probes, and of those from which it receives
no messages.
"""

from dunlinlug.fleet.membership import local_health
from dunlinlug.fleet.membership.local_member import SMALL_CLUSTER_SIZE, Lifecycle, LocalMember
from dunlinlug.fleet.membership.messages import MAX_REPORTED_NAMES, SUSPECTED, ReachabilityReport
from dunlinlug.fleet.membership.suspicions import MAX_SUSPICION_INTERVALS


def update_report(member: LocalMember) -> None:
    """Recompute the local report, and queue it for gossip if it has changed."""
    others = member.other_live_members()
    not_answering = _first_names(
        [name for name in others if not member.peers[name].directly_reachable]
    )
    silent = _first_names(_silent_members(member, others))
    if (not_answering, silent) == _last_reported(member):
        return
    member.report_version += 1
    version = (member.local_state.incarnation[0], member.report_version)
    member.table.merge(ReachabilityReport(member.self_id, version, not_answering, silent))


def _first_names(names: list[str]) -> tuple[str, ...]:
    return tuple(sorted(names)[:MAX_REPORTED_NAMES])


def _silent_members(member: LocalMember, others: list[str]) -> list[str]:
    """Members silent for three rounds of probes and a suspicion; none in a large cluster."""
    if len(others) >= SMALL_CLUSTER_SIZE:
        return []
    intervals = 3 * len(others) + MAX_SUSPICION_INTERVALS
    silence = intervals * member.probe_interval * local_health.multiplier(member)
    accepted_since = member.now - silence
    return [
        name
        for name in others
        if max(member.peers[name].last_received_at, member.peers[name].since) < accepted_since
    ]


def _last_reported(member: LocalMember) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The members not answering and the silent ones in the last local report."""
    report = member.table.reachability_reports.get(member.self_id)
    return (report.not_answering, report.silent) if report else ((), ())


def is_reported_not_answering(member: LocalMember, name: str) -> bool:
    """Whether the last local report lists this member as not answering."""
    not_answering, _ = _last_reported(member)
    return name in not_answering


def is_reachable(member: LocalMember, name: str) -> bool:
    """Whether the local member and this one reach each other, directly or through others."""
    if name == member.self_id:
        return member.state in (Lifecycle.ALIVE, Lifecycle.JOINING)
    known = member.table.members.get(name)
    if known is None or known.state > SUSPECTED or member.table.is_banned(name):
        return False
    return not member.peers[name].unresponsive
