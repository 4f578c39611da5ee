"""What this member no longer acts for, though the log still has it as the owner.

A planned move is a revocation: the coordinator asks the owner by a log entry, the owner stops and
releases the shard, and the next entry assigns it to another.
"""

from collections.abc import Iterable

from dunlinlug.fleet.ownership.messages import ShardToken
from dunlinlug.fleet.ownership.replica import ShardReplica


class ShardReleases:
    """Shards that we gave up, and shards of which an executor has seen a token above ours."""

    def __init__(self, self_id: str, replica: ShardReplica) -> None:
        self.self_id = self_id
        self.replica = replica
        self.released: dict[int, int] = {}  # shards with the tokens under which they were ours
        self.outdated_tokens: dict[int, int] = {}  # shards with the highest token seen of them

    def clone(self, replica: ShardReplica) -> "ShardReleases":
        """An independent copy, over a copy of the replica."""
        duplicate = ShardReleases(self.self_id, replica)
        duplicate.released = dict(self.released)
        duplicate.outdated_tokens = dict(self.outdated_tokens)
        return duplicate

    def allows(self, shard: int, token: int) -> bool:
        """Whether we have neither released a shard under this token nor learned of a higher one."""
        if self.released.get(shard) == token:
            return False
        return self.outdated_tokens.get(shard, -1) < token

    def revoked_shards(self) -> list[int]:
        """Shards of ours that we are asked to release, and have not released yet."""
        assignments = self.replica.assignments
        return [
            shard
            for shard in assignments.revoking
            if assignments.owners[shard] == self.self_id
            and self.released.get(shard) != assignments.tokens[shard]
        ]

    def release(self, shards: Iterable[int]) -> None:
        """We have stopped acting for these, and never will again under the tokens they have."""
        assignments = self.replica.assignments
        for shard in shards:
            if assignments.owners[shard] == self.self_id:
                self.released[shard] = assignments.tokens[shard]

    def record_outdated(self, shard: int, token: int) -> None:
        """An executor goes by this token, which ours does not exceed, or which is another's."""
        self.outdated_tokens[shard] = max(self.outdated_tokens.get(shard, 0), token)

    def forget_reassigned(self) -> None:
        """Drop what the log has reassigned: the shard has another owner, or a higher token."""
        for records in (self.released, self.outdated_tokens):
            reassigned = [
                shard for shard, token in records.items() if self._reassigned(shard, token)
            ]
            for shard in reassigned:
                del records[shard]

    def _reassigned(self, shard: int, token: int) -> bool:
        assignments = self.replica.assignments
        return assignments.owners[shard] != self.self_id or assignments.tokens[shard] > token

    def released_tokens(self) -> tuple[ShardToken, ...]:
        """What we have released, by shard."""
        return tuple(sorted(self.released.items()))

    def outdated(self) -> tuple[ShardToken, ...]:
        """The tokens that executors have seen above ours, by shard."""
        return tuple(sorted(self.outdated_tokens.items()))
