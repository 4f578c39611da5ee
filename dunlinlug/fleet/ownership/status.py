"""The state of ownership for `dunlinlug fleet work`; the keys are part of the JSON interface."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from dunlinlug.fleet.ownership.messages import OwnershipChanged
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol


class RecentChange(NamedTuple):
    """A change of an assignment and the time at which it was applied."""

    at: float  # seconds on this member's clock
    change: OwnershipChanged


def describe_protocol(protocol: OwnershipProtocol) -> dict[str, Any]:
    """Describes the coordinator, the shard counts of owners, moving shards, and checkpoints."""
    owners = Counter(protocol.assignments.owners)
    revoking = sorted(protocol.assignments.revoking.items())
    return {
        "member": protocol.self_id,
        "steward": protocol.log.leader or None,
        "term": protocol.log.term,
        "leads": protocol.log.is_leader,
        "holds": len(protocol.held_shards),
        "slots": protocol.shards,
        "owners": {owner or "nobody": shards for owner, shards in sorted(owners.items())},
        "moving": {str(shard): target for shard, target in revoking},
        "records": _describe_checkpoints(protocol),
    }


def _describe_checkpoints(protocol: OwnershipProtocol) -> list[dict[str, Any]]:
    rows = []
    for task, (checkpoint_token, body) in sorted(protocol.assignments.checkpoints.items()):
        owner, token = protocol.owner_of(task)
        rows.append(
            {
                "piece": task,
                "slot": protocol.assignments.shard_of(task),
                "owner": owner,
                "number": token,
                "under": checkpoint_token,
                "body": body.decode(errors="replace"),
            }
        )
    return rows


def describe_changes(changes: Iterable[RecentChange], now: float) -> list[dict[str, Any]]:
    """Describes recent changes of assignments, oldest first."""
    return [
        {
            "ago": round(now - at, 3),
            "slot": change.shard,
            "owner": change.owner,
            "number": change.token,
            "why": change.reason,
        }
        for at, change in changes
    ]
