"""Digests of the decision module's orders in generated histories, recorded days and a session.

    python -m tests.recorded.record_decisions --check    # all seeds; exit status 1 if one differs
    python -m tests.recorded.record_decisions            # write all digests; for intended changes
    python -m tests.recorded.record_decisions --day days/first.ini   # run a day, record its events

A history follows the orders of the reference model (`tests/reference_model`), so that its events do
not depend on the module under test, which receives the same batches. A digest covers the settings,
and of every batch the clock, the events and the orders. The session is the simulator's.
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
from tests.reference_model.balance import Balancer as ReferenceBalancer

DATA = Path(__file__).parent / "data" / "decisions"
DIGESTS = DATA / "digests.json"
DAY_ENDING = ".day.jsonl.gz"
SESSION = DATA / "session.jsonl.gz"
SEEDS = range(220)
SCALE = 0.2  # times the usual number of batches in a history

Batches = Iterable[tuple[float, list[Event]]]


def digest_of(lines: Iterable[str]) -> str:
    digest = hashlib.sha256()
    for line in lines:
        digest.update(line.encode() + b"\n")
    return digest.hexdigest()


def history_lines(seed: int) -> Iterator[str]:
    """The settings, then each batch of a history with the orders of the module under test."""
    around = SimulatedEnvironment(seed, SCALE)
    reference, module = ReferenceBalancer(around.settings), Balancer(around.settings)
    yield text_of(neutral_settings(around.settings))
    for now, events in around.turns():
        around.apply_orders(now, reference.decide(now, events), reference)
        yield batch_line(module, now, events)


def batch_line(module: Balancer, now: float, events: list[Event]) -> str:
    neutral_events = [neutral_event(event) for event in events]
    orders = [neutral_order(order) for order in module.decide(now, events)]
    return text_of([now, neutral_events, orders])


def history_digest(seed: int) -> str:
    return digest_of(history_lines(seed))


def day_files() -> list[Path]:
    return sorted(DATA.glob("*" + DAY_ENDING))


def read_day(file: Path) -> tuple[ManagerSettings, list[tuple[float, list[Event]]]]:
    settings, *batches = map(json.loads, gzip.decompress(file.read_bytes()).splitlines())
    return settings_from(settings), [
        (batch["now"], [event_from(line) for line in batch["happened"]]) for batch in batches
    ]


def day_digest(file: Path) -> str:
    settings, batches = read_day(file)
    module = Balancer(settings)
    return digest_of(
        [
            text_of(neutral_settings(settings)),
            *(batch_line(module, now, events) for now, events in batches),
        ]
    )


def session_digest() -> str:
    """The digest of the bytes that the adapter writes in reply to a simulator's lines."""
    out = io.BytesIO()
    serve(io.BytesIO(gzip.decompress(SESSION.read_bytes())), out)
    return hashlib.sha256(out.getvalue()).hexdigest()


def digests(seeds: Iterable[int]) -> dict[str, str]:
    computed = {f"seed {seed}": history_digest(seed) for seed in seeds}
    computed |= {f"day {file.name}": day_digest(file) for file in day_files()}
    if SESSION.exists():
        computed["session"] = session_digest()
    return computed


def record_day(day: Path) -> None:
    """Run a day with a manager that records the events of its decision module."""
    import trio

    from dunlinlug.scenarios.runner import ScenarioRunner

    with tempfile.TemporaryDirectory() as folder:
        events_file = Path(folder) / "heard.jsonl"
        command = (sys.executable, "-m", "tests.recorded.recording_manager", str(events_file))
        trio.run(ScenarioRunner(day, Path(folder) / "day", command).run)
        packed = gzip.compress(events_file.read_bytes(), mtime=0)
    (DATA / (day.stem + DAY_ENDING)).write_bytes(packed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--day", type=Path)
    args = parser.parse_args()
    if args.day:
        record_day(args.day)
        return
    computed = digests(SEEDS)
    if not args.check:
        DIGESTS.write_text(json.dumps(computed, indent=1) + "\n")
        return
    recorded = json.loads(DIGESTS.read_text())
    differing = sorted(
        name
        for name in recorded.keys() | computed.keys()
        if recorded.get(name) != computed.get(name)
    )
    print(f"{len(computed)} digests, {len(differing)} differ", *differing, sep="\n")
    sys.exit(1 if differing else 0)


if __name__ == "__main__":
    main()
