"""Shards that this member no longer acts for although the log still lists it as their owner.

A planned move is a revocation: a log entry instructs the owner to release the shard, the owner
stops acting for it and reports the release, and a second entry assigns the shard to another member.
"""

from collections.abc import Iterable

from dunlinlug.fleet.ownership.messages import ShardToken
from dunlinlug.fleet.ownership.replica import ShardReplica


class ShardReleases:
    """Tracks shards that this member released, and shards whose tokens executors rejected.

    Attributes:
        released: By shard, the token that this member held when it released the shard.
        outdated_tokens: By shard, the highest token reported in an executor's rejection.
    """

    def __init__(self, self_id: str, replica: ShardReplica) -> None:
        self.self_id = self_id
        self.replica = replica
        self.released: dict[int, int] = {}
        self.outdated_tokens: dict[int, int] = {}

    def clone(self, replica: ShardReplica) -> "ShardReleases":
        """Returns an independent copy that uses a copy of the replica."""
        duplicate = ShardReleases(self.self_id, replica)
        duplicate.released = dict(self.released)
        duplicate.outdated_tokens = dict(self.outdated_tokens)
        return duplicate

    def allows(self, shard: int, token: int) -> bool:
        """Returns whether the shard was not released under this token and the token is valid.

        A token is outdated if an executor has reported one that it does not exceed.
        """
        if self.released.get(shard) == token:
            return False
        return self.outdated_tokens.get(shard, -1) < token

    def revoked_shards(self) -> list[int]:
        """Returns this member's shards that it was asked to release and has not released yet."""
        assignments = self.replica.assignments
        return [
            shard
            for shard in assignments.revoking
            if assignments.owners[shard] == self.self_id
            and self.released.get(shard) != assignments.tokens[shard]
        ]

    def release(self, shards: Iterable[int]) -> None:
        """Releases shards; this member never acts for them again under their current tokens."""
        assignments = self.replica.assignments
        for shard in shards:
            if assignments.owners[shard] == self.self_id:
                self.released[shard] = assignments.tokens[shard]

    def record_outdated(self, shard: int, token: int) -> None:
        """Records the token of an executor's rejection, which this member's must exceed."""
        self.outdated_tokens[shard] = max(self.outdated_tokens.get(shard, 0), token)

    def forget_reassigned(self) -> None:
        """Drops records of shards that now have another owner or a higher token."""
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
        """Returns the released shards with their tokens, by shard."""
        return tuple(sorted(self.released.items()))

    def outdated(self) -> tuple[ShardToken, ...]:
        """Returns the tokens from executors' rejections, by shard."""
        return tuple(sorted(self.outdated_tokens.items()))
