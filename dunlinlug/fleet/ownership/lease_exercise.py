"""Work of no consequence, for drills and scenarios: its owner sends effects to all members.

Executors log what they did and rejected, and `history.py` judges those logs; whoever owns a task
goes on from its checkpoint.
"""

from contextlib import suppress

import trio

from dunlinlug.fleet.ownership.errors import CheckpointError
from dunlinlug.fleet.ownership.messages import Effect
from dunlinlug.fleet.ownership.service import Ownership

TASK_KIND = "exercise"
CHECKPOINT_STEPS = 10  # effects from one checkpoint to the next: about two seconds of heartbeats


def step_of(body: bytes) -> int:
    """The step that an effect or a checkpoint speaks of; 0 if there is none."""
    return int(body) if body.isdigit() else 0


async def run_exercise(ownership: Ownership, task_count: int) -> None:
    """Act for so many tasks, each heartbeat, as long as they are ours."""
    tasks = [f"{TASK_KIND}/{number}" for number in range(task_count)]
    steps = dict.fromkeys(tasks, 0)
    ownership.handle_effects(TASK_KIND, lambda effect: _record_step(steps, effect))
    while tasks:
        await trio.sleep(ownership.protocol.heartbeat_interval)
        for task in tasks:
            if ownership.held_token(task) is not None:
                _take_step(ownership, task, steps[task])


def _take_step(ownership: Ownership, task: str, executed: int) -> None:
    """Send the step after the last one that was executed here or checkpointed."""
    step = max(executed, step_of(ownership.checkpoint(task))) + 1
    body = str(step).encode()
    for member in (ownership.self_id, *ownership.other_members()):
        ownership.send_effect(member, task, body)
    if step % CHECKPOINT_STEPS == 0:
        # Our lease may have ended since we looked: the next owner counts from the one before.
        with suppress(CheckpointError):
            ownership.store_checkpoint(task, body)


def _record_step(steps: dict[str, int], effect: Effect) -> None:
    steps[effect.task] = max(steps[effect.task], step_of(effect.body))
