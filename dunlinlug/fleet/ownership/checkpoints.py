"""How far tasks of ours have come: reported until the record is committed in the log."""

from itertools import islice

from dunlinlug.fleet.ownership import messages
from dunlinlug.fleet.ownership.lease import HeldLease
from dunlinlug.fleet.ownership.log import StoredCheckpoint
from dunlinlug.fleet.ownership.messages import CheckpointReport, TaskCheckpoint
from dunlinlug.fleet.ownership.replica import ShardReplica

MAX_CHECKPOINTS_PER_MESSAGE = 64  # a frame of some ten thousand bytes


class PendingCheckpoints:
    """Checkpoints on their way into the log, by task, the oldest first."""

    def __init__(self, replica: ShardReplica, lease: HeldLease) -> None:
        self.replica = replica
        self.lease = lease
        self.pending: dict[str, StoredCheckpoint] = {}

    def clone(self, replica: ShardReplica, lease: HeldLease) -> "PendingCheckpoints":
        """An independent copy, over copies of the replica and of the lease."""
        duplicate = PendingCheckpoints(replica, lease)
        duplicate.pending = dict(self.pending)
        return duplicate

    def add(self, task: str, token: int, body: bytes) -> None:
        """Report this from now on; it replaces what was pending for the task."""
        self.pending.pop(task, None)
        self.pending[task] = StoredCheckpoint(token, body)

    def contains(self, task: str) -> bool:
        """Whether the last checkpoint of a task may not be committed yet."""
        return task in self.pending

    def next_report(self) -> tuple[TaskCheckpoint, ...]:
        """What to report now, as much as one message holds; what is resolved is dropped.

        A checkpoint that was made while the shard moved on would set its next owner back: the log
        ignores it by its token, and here it is dropped.
        """
        resolved = [task for task, made in self.pending.items() if self._is_resolved(task, made)]
        for task in resolved:
            del self.pending[task]
        first = islice(self.pending.items(), MAX_CHECKPOINTS_PER_MESSAGE)
        return tuple(TaskCheckpoint(task, made.token, made.body) for task, made in first)

    def _is_resolved(self, task: str, made: StoredCheckpoint) -> bool:
        """Whether the shard has another token, or the checkpoint is committed."""
        assignments = self.replica.assignments
        if assignments.tokens[assignments.shard_of(task)] != made.token:
            return True
        # An empty body ends a record: once that is done, the log has none.
        stored = assignments.checkpoints.get(task, StoredCheckpoint(made.token, b""))
        return stored == made and self.replica.log.position <= self.lease.committed()


def acceptable_items(replica: ShardReplica, report: CheckpointReport) -> tuple[TaskCheckpoint, ...]:
    """What of a member's report goes into the log: its own tasks, under their present tokens."""
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
