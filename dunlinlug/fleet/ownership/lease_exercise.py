"""A synthetic workload that exercises leases in drills and scenarios.

The owner of each task sends effects to all members. Executors log the effects that they execute and
reject, and `history.py` checks those logs. A new owner continues from the task's checkpoint.
"""

from contextlib import suppress

import trio

from dunlinlug.fleet.ownership.errors import CheckpointError
from dunlinlug.fleet.ownership.messages import Effect
from dunlinlug.fleet.ownership.service import Ownership

TASK_KIND = "exercise"
CHECKPOINT_STEPS = 10  # steps between checkpoints: about two seconds, at one step per heartbeat


def step_of(body: bytes) -> int:
    """Returns the step number in the body of an effect or a checkpoint; 0 if there is none."""
    return int(body) if body.isdigit() else 0


async def run_exercise(ownership: Ownership, task_count: int) -> None:
    """Takes one step in each heartbeat interval for each of `task_count` tasks that is held."""
    tasks = [f"{TASK_KIND}/{number}" for number in range(task_count)]
    steps = dict.fromkeys(tasks, 0)
    ownership.handle_effects(TASK_KIND, lambda effect: _record_step(steps, effect))
    while tasks:
        await trio.sleep(ownership.protocol.heartbeat_interval)
        for task in tasks:
            if ownership.held_token(task) is not None:
                _take_step(ownership, task, steps[task])


def _take_step(ownership: Ownership, task: str, executed: int) -> None:
    """Sends the step that follows the last one executed on this member or checkpointed."""
    step = max(executed, step_of(ownership.checkpoint(task))) + 1
    body = str(step).encode()
    for member in (ownership.self_id, *ownership.other_members()):
        ownership.send_effect(member, task, body)
    if step % CHECKPOINT_STEPS == 0:
        # The lease may have expired since it was checked. The next owner then continues from the
        # previous checkpoint.
        with suppress(CheckpointError):
            ownership.store_checkpoint(task, body)


def _record_step(steps: dict[str, int], effect: Effect) -> None:
    steps[effect.task] = max(steps[effect.task], step_of(effect.body))
