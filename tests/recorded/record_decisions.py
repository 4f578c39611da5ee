"""Digests of what the decision module orders, over drawn histories, days that were played, and a
simulator's session.

    python -m tests.recorded.record_decisions --check    # all seeds; ends with 1 if one differs
    python -m tests.recorded.record_decisions            # write the digests anew: only for a change that is meant
    python -m tests.recorded.record_decisions --day days/first.ini   # play a day and keep what was heard

A history is driven by the former text (`tests/former`), so that its events do not hang on the
module under test, which hears the same turns. A digest covers the settings, every turn's clock and
events, and the orders.
"""

import argparse
import gzip
import hashlib
import io
import json
import sys
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.simulator.host import serve
from tests.decision.histories import SimulatedEnvironment
from tests.recorded.neutral_decisions import (
    event_from,
    neutral_event,
    neutral_order,
    neutral_settings,
    settings_from,
    text_of,
)
from tests.reference_model.balance import Balancer as Former

DATA = Path(__file__).parent / "data" / "decisions"
DIGESTS = DATA / "digests.json"
DAY_ENDING = ".day.jsonl.gz"
SESSION = DATA / "session.jsonl.gz"
SEEDS = range(220)
SCALE = 0.2  # times the usual number of a history's turns

Turns = Iterable[tuple[float, list[Event]]]


def digest_of(lines: Iterable[str]) -> str:
    found = hashlib.sha256()
    for line in lines:
        found.update(line.encode() + b"\n")
    return found.hexdigest()


def history_lines(seed: int) -> Iterator[str]:
    """The settings, and then each turn of a drawn history with the orders of the module under test."""
    around = SimulatedEnvironment(seed, SCALE)
    former, module = Former(around.settings), Balancer(around.settings)
    yield text_of(neutral_settings(around.settings))
    for now, events in around.turns():
        around.apply_orders(now, former.decide(now, events), former)
        yield turn_line(module, now, events)


def turn_line(module: Balancer, now: float, events: list[Event]) -> str:
    happened = [neutral_event(event) for event in events]
    orders = [neutral_order(order) for order in module.decide(now, events)]
    return text_of([now, happened, orders])


def history_digest(seed: int) -> str:
    return digest_of(history_lines(seed))


def day_files() -> list[Path]:
    return sorted(DATA.glob("*" + DAY_ENDING))


def read_day(file: Path) -> tuple[ManagerSettings, list[tuple[float, list[Event]]]]:
    settings, *turns = map(json.loads, gzip.decompress(file.read_bytes()).splitlines())
    return settings_from(settings), [
        (turn["now"], [event_from(line) for line in turn["happened"]]) for turn in turns
    ]


def day_digest(file: Path) -> str:
    settings, turns = read_day(file)
    module = Balancer(settings)
    return digest_of(
        [
            text_of(neutral_settings(settings)),
            *(turn_line(module, now, events) for now, events in turns),
        ]
    )


def session_digest() -> str:
    """Of the adapter's answers, as bytes, to a simulator's lines."""
    out = io.BytesIO()
    serve(io.BytesIO(gzip.decompress(SESSION.read_bytes())), out)
    return hashlib.sha256(out.getvalue()).hexdigest()


def digests(seeds: Iterable[int]) -> dict[str, str]:
    found = {f"seed {seed}": history_digest(seed) for seed in seeds}
    found |= {f"day {file.name}": day_digest(file) for file in day_files()}
    if SESSION.exists():
        found["session"] = session_digest()
    return found


def play_day(day: Path) -> None:
    """Play a day with a manager that writes down what its module hears."""
    import trio

    from dunlinlug.scenarios.runner import ScenarioRunner

    with tempfile.TemporaryDirectory() as folder:
        heard = Path(folder) / "heard.jsonl"
        command = (sys.executable, "-m", "tests.recorded.recording_manager", str(heard))
        trio.run(ScenarioRunner(day, Path(folder) / "day", command).run)
        packed = gzip.compress(heard.read_bytes(), mtime=0)
    (DATA / (day.stem + DAY_ENDING)).write_bytes(packed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--day", type=Path)
    args = parser.parse_args()
    if args.day:
        play_day(args.day)
        return
    found = digests(SEEDS)
    if not args.check:
        DIGESTS.write_text(json.dumps(found, indent=1) + "\n")
        return
    kept = json.loads(DIGESTS.read_text())
    differing = sorted(
        name for name in kept.keys() | found.keys() if kept.get(name) != found.get(name)
    )
    print(f"{len(found)} digests, {len(differing)} differ", *differing, sep="\n")
    sys.exit(1 if differing else 0)


if __name__ == "__main__":
    main()
