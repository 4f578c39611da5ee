"""The election status of a member, as operators see it."""

from typing import Any

import trio

from dunlinlug.fleet.election.protocol import ElectionProtocol


class LeadershipStatus:
    """Records the last change of our role, for the admin API.

    Attributes:
        change_reason: Why we last became leader or stepped down.
        changed_at: The time of that change.
        takeovers: How often we became leader since the start of the process.
    """

    def __init__(self, protocol: ElectionProtocol) -> None:
        self.protocol = protocol
        self.change_reason = "started"
        self.changed_at = trio.current_time()
        self.takeovers = 0

    def record_change(self, reason: str) -> None:
        """Records a change of our role."""
        self.change_reason = reason
        self.changed_at = trio.current_time()

    def describe(self) -> dict[str, Any]:
        """Returns the JSON for the admin API: leader, term, last change of role, and lag."""
        protocol = self.protocol
        now = trio.current_time()
        return {
            "member": protocol.self_id,
            "members": list(protocol.voter_set.members),
            "term": protocol.term,
            "master": protocol.leader or None,
            "leads": protocol.holds_lease(now),
            "since": round(now - protocol.leader_since, 3),
            "changed": self.change_reason,
            "changed_ago": round(now - self.changed_at, 3),
            "position": protocol.position[1],
            "behind": None if protocol.is_leader else protocol.missing_entries,
            "lags": protocol.replication_lag() if protocol.is_leader else None,
            "takeovers": self.takeovers,
        }
