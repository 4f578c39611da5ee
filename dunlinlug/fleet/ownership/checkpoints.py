"""Checkpoints of this member's tasks, reported to the coordinator until they are committed."""

from itertools import islice

from dunlinlug.fleet.ownership import messages
from dunlinlug.fleet.ownership.lease import HeldLease
from dunlinlug.fleet.ownership.log import StoredCheckpoint
from dunlinlug.fleet.ownership.messages import CheckpointReport, TaskCheckpoint
from dunlinlug.fleet.ownership.replica import ShardReplica

MAX_CHECKPOINTS_PER_MESSAGE = 64  # keeps a typical frame near 10 kB


class PendingCheckpoints:
    """Checkpoints that are not known to be committed yet, by task, oldest first."""

    def __init__(self, replica: ShardReplica, lease: HeldLease) -> None:
        self.replica = replica
        self.lease = lease
        self.pending: dict[str, StoredCheckpoint] = {}

    def clone(self, replica: ShardReplica, lease: HeldLease) -> "PendingCheckpoints":
        """Returns an independent copy that uses copies of the replica and of the lease."""
        duplicate = PendingCheckpoints(replica, lease)
        duplicate.pending = dict(self.pending)
        return duplicate

    def add(self, task: str, token: int, body: bytes) -> None:
        """Adds a checkpoint to the reports; it replaces the task's pending checkpoint."""
        self.pending.pop(task, None)
        self.pending[task] = StoredCheckpoint(token, body)

    def contains(self, task: str) -> bool:
        """Returns whether the last checkpoint of a task may still be uncommitted."""
        return task in self.pending

    def next_report(self) -> tuple[TaskCheckpoint, ...]:
        """Drops resolved checkpoints and returns those to report now, at most one message of them.

        A checkpoint that was made under an earlier token of its shard would set the shard's next
        owner back. The log rejects it by its token, and it is dropped here.
        """
        resolved = [
            task for task, checkpoint in self.pending.items() if self._is_resolved(task, checkpoint)
        ]
        for task in resolved:
            del self.pending[task]
        first = islice(self.pending.items(), MAX_CHECKPOINTS_PER_MESSAGE)
        return tuple(
            TaskCheckpoint(task, checkpoint.token, checkpoint.body) for task, checkpoint in first
        )

    def _is_resolved(self, task: str, checkpoint: StoredCheckpoint) -> bool:
        """Returns whether the shard has another token, or the checkpoint is committed."""
        assignments = self.replica.assignments
        if assignments.tokens[assignments.shard_of(task)] != checkpoint.token:
            return True
        # An empty body deletes the task's checkpoint; the table holds none once that is applied.
        stored = assignments.checkpoints.get(task, StoredCheckpoint(checkpoint.token, b""))
        return stored == checkpoint and self.replica.log.position <= self.lease.committed()


def acceptable_items(replica: ShardReplica, report: CheckpointReport) -> tuple[TaskCheckpoint, ...]:
    """Returns the report's items to log: new checkpoints of the sender's tasks, current tokens."""
    return tuple(item for item in report.items if _is_acceptable(replica, report.sender, item))


def _is_acceptable(replica: ShardReplica, sender: str, item: TaskCheckpoint) -> bool:
    assignments = replica.assignments
    shard = assignments.shard_of(item.task)
    return (
        assignments.owners[shard] == sender
        and len(item.body) <= messages.MAX_CHECKPOINT_BYTES
        and assignments.tokens[shard] == item.token
        and assignments.checkpoints.get(item.task) != (item.token, item.body)
    )
