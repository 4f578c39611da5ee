"""A claim that a member failed is checked before it is believed.

A departure from SWIM, which believes every confirmation of a failure: a member that hears nobody,
or that was stopped, would take its own silence for the failure of all others, and spread it.
"""

from dunlinlug.fleet.membership import merging, probes
from dunlinlug.fleet.membership.local_member import SMALL_CLUSTER, LocalMember
from dunlinlug.fleet.membership.messages import FAILED, SUSPECTED, MemberState, Order


def merge_claim(member: LocalMember, item: MemberState) -> list[Order]:
    """Merge what another says of a member; of a failure that is news, ask that member first."""
    if not _needs_check(member, item):
        return merging.merge_state(member, item, f"{item.reporter} says so")
    if probes.is_checking_claim(member, item.name):
        return []
    return probes.start_for_claim(member, item)


def _needs_check(member: LocalMember, item: MemberState) -> bool:
    """Whether it says that one has failed, in its present incarnation, that is well to us.

    Only in a small cluster: in a large one, failures must not cost a probe by every member.
    """
    known = member.table.members.get(item.name)
    if item.state != FAILED or item.name == member.self_id or known is None:
        return False
    if known.state > SUSPECTED or known.incarnation != item.incarnation:
        return False
    if known.precedence() >= item.precedence():
        return False
    return len(member.table.members) <= SMALL_CLUSTER
