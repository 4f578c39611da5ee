"""The assignment table, built from entries and from snapshots."""

from random import Random

import pytest

from dunlinlug.fleet.ownership import log
from dunlinlug.fleet.ownership.messages import TaskCheckpoint, term_of, token_at


def random_entry(rng: Random, number: int, table: log.AssignmentTable) -> log.AnyLogEntry:
    task = f"p{number % 9}"
    shard = rng.randrange(16)
    checkpoint = TaskCheckpoint(task, table.tokens[table.shard_of(task)], b"x" * (number % 3))
    return rng.choice(
        [
            log.Assign(((shard, rng.choice("abc")),), "test"),
            log.Revoke(((shard, "a"),)),
            log.MemberRestarted(rng.choice("abc"), number),
            log.Checkpoint((checkpoint,)),
        ]
    )


def test_entries_and_snapshots_build_the_same_table_and_late_checkpoints_are_ignored() -> None:
    table = log.AssignmentTable(16)
    rng = Random(2)
    for number in range(1, 200):
        entry = random_entry(rng, number, table)
        before = list(table.tokens)
        table.apply(log.decode_entry(log.encode_entry(entry)), (1 + number // 50, number))
        assert all(new >= old for new, old in zip(table.tokens, before, strict=True)), (
            "tokens never decrease"
        )
        assert vars(log.decode_snapshot(table.snapshot(), 16)) == vars(table)
    checkpoints = dict(table.checkpoints)
    late = TaskCheckpoint("p1", table.tokens[table.shard_of("p1")] - 1, b"late")
    table.apply(log.Checkpoint((late,)), (9, 999))
    assert table.checkpoints == checkpoints
    for invalid in (b"", b"\xff", b"\x91\xa1z"):
        with pytest.raises(log.LogFormatError):
            log.decode_entry(invalid)
        with pytest.raises(log.LogFormatError):
            log.decode_snapshot(invalid, 16)
    with pytest.raises(log.LogFormatError, match="16 shards, expected 8"):
        log.decode_snapshot(table.snapshot(), 8)
    assert term_of(token_at((7, 12))) == 7
