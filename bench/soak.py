"""Soak: whether the memory of a manager stays flat under load with frequent broken streams.

    python -m bench.soak [--minutes 10] [--proxies 30]

Plays a day made from `days/first.ini`: every 2 s half of all streams break at once, every 20 s a
rolling deploy. Prints the resident memory of the manager by minute and the violated rules.
"""

import argparse
import tempfile
from pathlib import Path

import trio

from dunlinlug.audit import records, rules
from dunlinlug.scenarios.runner import ScenarioRunner

DAY = Path(__file__).parent.parent / "days" / "first.ini"
BREAK_INTERVAL_SECONDS, DEPLOY_INTERVAL_SECONDS = 2, 20


def day(seconds: int, proxies: int) -> str:
    """Return the configuration of a day with broken streams and rolling deploys."""
    text = DAY.read_text().split("[trouble one out]")[0]
    for old, new in (
        ("length = 12s", f"length = {seconds}s"),
        ("count = 4", f"count = {proxies}"),
        ("waiting_most = 2000", "waiting_most = 4000"),
        ("messages_most = 30", "messages_most = 0"),
    ):
        assert old in text
        text = text.replace(old, new)
    for at in range(3, seconds, BREAK_INTERVAL_SECONDS):
        text += f"\n[trouble break {at}]\nkind = reconnect\nat = {at}s\npart = 50%\n"
    for at in range(5, seconds - DEPLOY_INTERVAL_SECONDS, DEPLOY_INTERVAL_SECONDS):
        text += (
            f"\n[trouble roll {at}]\nkind = deploy\nat = {at}s\nlasts = 6s\nevery = 3s\n"
            "part = 30%\nsize = 2\n"
        )
    return text


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def soak(seconds: int, proxies: int, folder: Path) -> None:
    """Run the day, and print the memory of the manager meanwhile."""
    (folder / "soak.ini").write_text(day(seconds, proxies))
    runner, samples = ScenarioRunner(folder / "soak.ini", folder / "records"), list[float]()

    async def sample() -> None:
        while runner.manager is None:
            await trio.sleep(0.5)
        while runner.manager.process.poll() is None:
            samples.append(resident_mb(runner.manager.process.pid))
            if len(samples) % 6 == 1:
                print(f"{len(samples) // 6:3d} min  {samples[-1]:7.1f} MB", flush=True)
            await trio.sleep(10)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(sample)
        await runner.run()
        nursery.cancel_scope.cancel()
    recorded = records.read_records(folder / "records")
    joins = len(recorded.lines_of("joined"))
    half = samples[len(samples) // 2 :]
    print(
        f"{joins} joins in {seconds} s; second half: min {min(half):.1f} MB, max "
        f"{max(half):.1f} MB; "
        f"violated rules: {sorted({v.rule for v in rules.find_violations(recorded)}) or 'none'}"
    )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=10)
    parser.add_argument("--proxies", type=int, default=30)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="dunlinlug-soak-") as folder:
        trio.run(soak, int(options.minutes * 60), options.proxies, Path(folder))


if __name__ == "__main__":
    main()
