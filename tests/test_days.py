"""Whole days through real sockets, judged from the stand-ins' records."""

import sys
from collections.abc import Sequence
from pathlib import Path

import pytest
import trio

from dunlinlug.audit import figures, records, rules
from dunlinlug.day.play import MANAGER, DayFault, Player
from dunlinlug.manager.kept import refusals

DAYS = Path(__file__).parent.parent / "days"
SHIPPED = sorted(path.stem for path in DAYS.glob("*.ini"))


async def play(day: Path, folder: Path, manager: Sequence[str] = MANAGER) -> records.Records:
    await Player(day, folder, manager).play()
    return records.read(folder)


async def test_the_shipped_days_keep_the_rules(tmp_path: Path) -> None:
    """All at once: a busy machine is one more trouble."""
    found: dict[str, records.Records] = {}

    async def one(name: str) -> None:
        found[name] = await play(DAYS / f"{name}.ini", tmp_path / name)

    async with trio.open_nursery() as nursery:
        for name in SHIPPED:
            nursery.start_soon(one, name)
    assert {name: rules.judge(found[name]) for name in SHIPPED} == {name: [] for name in SHIPPED}
    for name in SHIPPED:
        sums = figures.figures(found[name])
        assert sums.served > 0.3 and sum(sums.outcomes.values()) > 300, (name, sums)


# A day on which each broken way shows: a short grace, cold workers far below their size, an unrepeatable product,
# lost answers, a slow channel. The unbroken manager keeps the rules on it, with room: what a cold worker is brought
# within fall_after is a sum of many small txns, so that chance alone does not push it over.
CHANGES = (
    ("length = 12s", "length = 10s"), ("lines_per_s = 1200/s", "lines_per_s = 150/s"), ("bare = 4s", "bare = 1.5s"),
    ("drain_grace = 3s", "drain_grace = 1.2s"),
    ("cold_share = 30%", "cold_share = 5%"),
    ("cold_from = 30%\ncold = 5s", "cold_from = 5%\ncold = 20s"), ("warm_after = 6s", "warm_after = 21s"),
    ("fall_after = 2s", "fall_after = 1500ms"),
    ("repeats = referenced\ngroup = zone\nwindow = 1200ms", "repeats = once-only"),
    ("txns_per_s = 40/s", "txns_per_s = 200/s"), ("work = 60ms", "work = 50ms"),
    ("part = 30%\nsize = 2", "part = 30%\nsize = 2\n\n[trouble lost]\nkind = answers_lost\nat = 1s\nlasts = 6s\n"
                             "part = 30%\nsize = 1"),
)
GUARDED = ("", "ramp", "retries", "tables")  # what the guard must stop; it hears the list itself, not the module's lie
CAUGHT = {"": "", "withdrawals": "drain", "ramp": "pushed", "retries": "twice", "tables": "bare", "pace": "queue"}


async def hard_days(folder: Path, guard: str, ways: Sequence[str]) -> dict[str, set[str]]:
    """The rules broken on the hard day, by the way in which its manager is broken."""
    text = (DAYS / "first.ini").read_text() + f"\n[guard]\nmode = {guard}\n"
    for old, new in CHANGES:
        assert old in text, old
        text = text.replace(old, new)
    (folder / "hard.ini").write_text(text)
    broken: dict[str, set[str]] = {}

    async def one(way: str) -> None:
        script = (sys.executable, str(Path(__file__).parent / "broken_manager.py"), way)
        found = await play(folder / "hard.ini", folder / f"way-{way}", script if way else MANAGER)
        broken[way] = {item.rule for item in rules.judge(found)}

    async with trio.open_nursery() as nursery:
        for way in ways:
            nursery.start_soon(one, way)
    return broken


async def test_a_manager_broken_on_purpose_is_caught(tmp_path: Path) -> None:
    broken = await hard_days(tmp_path, "off", list(CAUGHT))
    assert broken[""] == set()
    for way, rule in CAUGHT.items():
        assert not rule or rule in broken[way], (way, broken)


async def test_the_guard_stops_what_a_careless_module_orders(tmp_path: Path) -> None:
    """The same ways and the same day as above, but for the guard."""
    broken = await hard_days(tmp_path, "on", GUARDED)
    assert broken == dict.fromkeys(GUARDED, set())
    for way in GUARDED[1:]:
        said = refusals(tmp_path / f"way-{way}" / "store")
        assert CAUGHT[way] in {refusal["rule"] for refusal in said}, (way, said[:3])
        assert all(refusal["why"] and refusal["would_pass"] for refusal in said)


async def test_a_day_whose_manager_cannot_start_fails_and_says_so(tmp_path: Path) -> None:
    with pytest.raises(DayFault, match="manager ended during the day"):
        await play(DAYS / "first.ini", tmp_path, (sys.executable, "-c", "raise SystemExit(3)"))
    with pytest.raises(records.RecordFault, match="cannot be judged"):
        records.read(tmp_path)
