"""Work of no consequence, for drills and days: pieces whose owner sends an effect to each member, each beat.

Carriers log what they did and refused, and `history.py` judges those logs; whoever owns a piece goes on from its
record.
"""

from contextlib import suppress

import trio

from dunlinlug.fleet.owner.host import Ownership
from dunlinlug.fleet.owner.words import Effect

EACH = 10  # effects between two records: about two seconds of beats


def step_of(body: bytes) -> int:
    return int(body) if body.isdigit() else 0


async def exercise(owners: Ownership, pieces: int) -> None:
    names = [f"exercise/{n}" for n in range(pieces)]
    steps = dict.fromkeys(names, 0)
    owners.carry["exercise"] = lambda effect: _done(steps, effect)
    while names:
        await trio.sleep(owners.machine.beat)
        for name in names:
            if owners.may(name) is None:
                continue
            step = max(steps[name], step_of(owners.record(name))) + 1
            for member in (owners.me, *owners.others()):
                owners.order(member, name, str(step).encode())
            if step % EACH == 0:
                with suppress(
                    ValueError
                ):  # our lease has ended since we looked: the next owner counts from before
                    owners.put_record(name, str(step).encode())


def _done(steps: dict[str, int], effect: Effect) -> None:
    steps[effect.piece] = max(steps[effect.piece], step_of(effect.body))
