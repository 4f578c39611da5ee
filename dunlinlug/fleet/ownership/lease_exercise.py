"""Work of no consequence, for drills and days: pieces whose owner sends an effect to each member,
each beat.

Carriers log what they did and refused, and `history.py` judges those logs; whoever owns a piece
goes on from its record.
"""

from contextlib import suppress

import trio

from dunlinlug.fleet.ownership.messages import Effect
from dunlinlug.fleet.ownership.service import Ownership

CHECKPOINT_EVERY = 10  # effects between two records: about two seconds of beats


def step_of(body: bytes) -> int:
    return int(body) if body.isdigit() else 0


async def run_exercise(ownership: Ownership, task_count: int) -> None:
    names = [f"exercise/{n}" for n in range(task_count)]
    steps = dict.fromkeys(names, 0)
    ownership.executors["exercise"] = lambda effect: _record_step(steps, effect)
    while names:
        await trio.sleep(ownership.protocol.heartbeat_interval)
        for name in names:
            if ownership.held_token(name) is None:
                continue
            step = max(steps[name], step_of(ownership.checkpoint(name))) + 1
            for member in (ownership.self_id, *ownership.other_members()):
                ownership.send_effect(member, name, str(step).encode())
            if step % CHECKPOINT_EVERY == 0:
                with suppress(
                    ValueError
                ):  # our lease has ended since we looked: the next owner counts from before
                    ownership.store_checkpoint(name, str(step).encode())


def _record_step(steps: dict[str, int], effect: Effect) -> None:
    steps[effect.task] = max(steps[effect.task], step_of(effect.body))
