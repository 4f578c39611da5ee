"""Verifies a claim that a member has failed before accepting it.

Departs from SWIM, which accepts every confirmation of a failure: a member that receives no
messages, or whose process was paused, would report all others as failed for a fault of its own.
"""

from dunlinlug.fleet.membership import merging, probes
from dunlinlug.fleet.membership.local_member import SMALL_CLUSTER_SIZE, LocalMember
from dunlinlug.fleet.membership.messages import FAILED, SUSPECTED, MemberState, Order


def merge_claim(member: LocalMember, item: MemberState) -> list[Order]:
    """Merge a state reported by another member; if it newly claims a failure, probe the subject."""
    if not _needs_check(member, item):
        return merging.merge_state(member, item, f"reported by {item.reporter}")
    if probes.is_checking_claim(member, item.name):
        return []
    return probes.start_for_claim(member, item)


def _needs_check(member: LocalMember, item: MemberState) -> bool:
    """Whether the item claims the failure of a live member in its current incarnation.

    Only in a small cluster: in a large one, each failure would cost a probe by every member.
    """
    known = member.table.members.get(item.name)
    if item.state != FAILED or item.name == member.self_id or known is None:
        return False
    if known.state > SUSPECTED or known.incarnation != item.incarnation:
        return False
    if known.precedence() >= item.precedence():
        return False
    return len(member.table.members) <= SMALL_CLUSTER_SIZE
