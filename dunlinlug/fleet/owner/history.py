"""What carriers saw of owners, and whether it is in order: judged from the carriers' records alone.

Each piece at each carrier is a fenced register. What was done there may never go back to a lower number, a number is
one owner's, and under one number counts only grow. Owners are not asked: a broken one would say that all is well.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path


@dataclass(frozen=True)
class Seen:
    """An effect at a carrier, done or refused, at a time of the carrier's."""

    at: float
    carrier: str
    piece: str
    number: int
    count: int
    owner: str
    done: bool


@dataclass(frozen=True)
class Break:
    said: str
    before: Seen
    after: Seen


def judge(seen: Iterable[Seen], slot_of: dict[str, int] | None = None) -> list[Break]:
    """What is out of order, in the order in which carriers saw it. With `slot_of` pieces of one slot count as one."""
    last, owners, broken = (
        dict[tuple[str, str], Seen](),
        dict[tuple[str, int], Seen](),
        list[Break](),
    )
    for one in seen:
        if not one.done:
            continue
        what = str(slot_of[one.piece]) if slot_of is not None else one.piece
        before = last.get((one.carrier, what))
        if before is not None and one.number < before.number:
            broken.append(Break("a lower number after a higher", before, one))
        elif before is not None and (one.number, one.count) <= (before.number, before.count):
            broken.append(Break("done again, or out of order within a number", before, one))
        other = owners.setdefault((what, one.number), one)
        if other.owner != one.owner:
            broken.append(Break("two owners under one number", other, one))
        last[one.carrier, what] = one
    return broken


def gaps(seen: Iterable[Seen], began: float) -> dict[str, float]:
    """By piece, seconds from `began` to the first effect that was done anywhere after it."""
    found = dict[str, float]()
    for one in seen:
        if one.done and one.at >= began:
            found.setdefault(one.piece, one.at - began)
    return found


def of_logs(folder: Path) -> list[Seen]:
    """What the managers of a day did and refused as carriers, from their logs, in the order of their writing. A manager
    that began anew is another carrier to the judge: it remembers no numbers but the log's."""
    found = list[Seen]()
    for path in sorted(folder.glob("manager-*.log")):
        member, life = path.stem.removeprefix("manager-"), 0
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                said = json.loads(line)
            except ValueError:
                continue  # the last line of a process that was killed
            if said.get("event") == "members.ready":
                life += 1
            if said.get("event") in ("owner.carried", "owner.refused"):
                at = datetime.fromisoformat(said["timestamp"]).timestamp()
                found.append(
                    Seen(
                        at,
                        f"{member} {life}",
                        said["piece"],
                        said["number"],
                        said["count"],
                        said["owner"],
                        said["event"] == "owner.carried",
                    )
                )
    return found
