"""The command line. Each command imports what it needs, so that stand-ins start quickly."""

import os
import sys
import tempfile
import threading
from pathlib import Path

import click

from dunlinlug.commands import FILE, BadFile
from dunlinlug.operators.commands import fleet, table


@click.group()
@click.version_option(package_name="dunlinlug")
def main() -> None:
    """dunlinlug: a control service that hands plain proxies their tables."""


main.add_command(table)
main.add_command(fleet)


def end_with_input() -> None:
    """End this process when standard input closes: whoever started it is gone."""

    def watch() -> None:
        while os.read(0, 4096):
            pass
        os.kill(os.getpid(), 15)

    threading.Thread(target=watch, daemon=True).start()


@main.command()
@click.argument("file", type=FILE)
@click.option("--until-input-closes", is_flag=True, help="Stop when standard input closes.")
@click.option(
    "--clock-rate",
    type=click.FloatRange(0.5, 2.0),
    default=1.0,
    hidden=True,
    help="For days: seconds of its clock for one true second.",
)
def manager(file: Path, until_input_closes: bool, clock_rate: float) -> None:
    """Run a manager by its INI file until SIGTERM; SIGHUP reloads what may change."""
    from dunlinlug.ads.main import serve

    if until_input_closes:
        end_with_input()
    sys.exit(serve(file, clock_rate=clock_rate))


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check a manager's INI file."""
    from dunlinlug import terms
    from dunlinlug.config import ConfigFault

    try:
        terms.read(file)
    except ConfigFault as fault:
        raise BadFile(str(fault)) from None
    click.echo(f"{file}: in order")


@main.group()
def day() -> None:
    """Play a bad day on loopback."""


@day.command("play")
@click.argument("file", type=FILE)
@click.option(
    "--records",
    type=FILE,
    help="Folder for the records (default: a new one in the temporary folder).",
)
def day_play(file: Path, records: Path | None) -> None:
    """Play a day and judge it; exit status 1 if a rule was broken."""
    import trio

    from dunlinlug.config import ConfigFault
    from dunlinlug.day.play import DayFault, Player

    folder = records or Path(tempfile.mkdtemp(prefix="dunlinlug-day-"))
    try:
        trio.run(Player(file, folder).play)
    except ConfigFault as fault:
        raise BadFile(str(fault)) from None
    except DayFault as fault:
        raise click.ClickException(f"{fault}; records in {folder}") from None
    click.echo(f"records in {folder}")
    _audit(folder)


@main.command()
@click.argument("folder", type=FILE)
def audit(folder: Path) -> None:
    """Judge the records of a played day; exit status 1 if a rule was broken."""
    _audit(folder)


def _audit(folder: Path) -> None:
    from dunlinlug.audit.records import RecordFault
    from dunlinlug.audit.report import report

    try:
        text, kept = report(folder)
    except RecordFault as fault:
        raise BadFile(str(fault)) from None
    click.echo(text)
    sys.exit(0 if kept else 1)


@main.group("stand-in")
def stand_in() -> None:
    """Plain stand-ins for a day; they read the day's run file and obey standard input."""


RECORD = click.option("--record", type=FILE, required=True, help="The record file to append to.")


@stand_in.command("worker")
@click.argument("run", type=FILE)
@click.option("--zone", required=True)
@RECORD
def stand_in_worker(run: Path, zone: str, record: Path) -> None:
    """The workers of one zone."""
    from dunlinlug.standin import worker

    worker.main(run, zone, record)


@stand_in.command("proxy")
@click.argument("run", type=FILE)
@click.option("--group", type=int, required=True)
@RECORD
def stand_in_proxy(run: Path, group: int, record: Path) -> None:
    """One group of proxies."""
    from dunlinlug.standin import proxy

    proxy.main(run, group, record)


@stand_in.command("roster")
@click.argument("run", type=FILE)
@RECORD
def stand_in_roster(run: Path, record: Path) -> None:
    """The roster."""
    from dunlinlug.standin import roster

    roster.main(run, record)


@stand_in.command("callers")
@click.argument("run", type=FILE)
@RECORD
def stand_in_callers(run: Path, record: Path) -> None:
    """The clients."""
    from dunlinlug.standin import callers

    callers.main(run, record)
