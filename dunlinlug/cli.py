"""The command line. Each command imports what it needs, so that stand-ins start quickly."""

import os
import sys
import tempfile
import threading
from pathlib import Path

import click

from dunlinlug.admin.commands import fleet, table
from dunlinlug.command_line.common import FILE_PATH, InvalidFileError


@click.group()
@click.version_option(package_name="dunlinlug")
def main() -> None:
    """dunlinlug: a control service that hands plain proxies their tables."""


main.add_command(table)
main.add_command(fleet)


def exit_when_input_closes() -> None:
    """End this process when standard input closes: whoever started it is gone."""

    def wait_for_end_of_input() -> None:
        while os.read(0, 4096):
            pass
        os.kill(os.getpid(), 15)

    threading.Thread(target=wait_for_end_of_input, daemon=True).start()


@main.command()
@click.argument("file", type=FILE_PATH)
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
        exit_when_input_closes()
    sys.exit(serve(file, clock_rate=clock_rate))


@main.command()
@click.argument("file", type=FILE_PATH)
def check(file: Path) -> None:
    """Check a manager's INI file."""
    from dunlinlug.config import manager_config
    from dunlinlug.config.reader import ConfigError

    try:
        manager_config.load_manager_config(file)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    click.echo(f"{file}: in order")


@main.group()
def day() -> None:
    """Play a bad day on loopback."""


@day.command("play")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--records",
    type=FILE_PATH,
    help="Folder for the records (default: a new one in the temporary folder).",
)
def day_play(file: Path, records: Path | None) -> None:
    """Play a day and judge it; exit status 1 if a rule was broken."""
    import trio

    from dunlinlug.config.reader import ConfigError
    from dunlinlug.scenarios.runner import ScenarioError, ScenarioRunner

    folder = records or Path(tempfile.mkdtemp(prefix="dunlinlug-day-"))
    try:
        trio.run(ScenarioRunner(file, folder).run)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    except ScenarioError as error:
        raise click.ClickException(f"{error}; records in {folder}") from None
    click.echo(f"records in {folder}")
    _print_audit(folder)


@main.command()
@click.argument("folder", type=FILE_PATH)
def audit(folder: Path) -> None:
    """Judge the records of a played day; exit status 1 if a rule was broken."""
    _print_audit(folder)


def _print_audit(folder: Path) -> None:
    from dunlinlug.audit.records import RecordError
    from dunlinlug.audit.report import report

    try:
        text, rules_kept = report(folder)
    except RecordError as error:
        raise InvalidFileError(str(error)) from None
    click.echo(text)
    sys.exit(0 if rules_kept else 1)


@main.group("stand-in")
def stand_in() -> None:
    """Plain stand-ins for a day; they read the day's run file and obey standard input."""


RECORD_OPTION = click.option(
    "--record", type=FILE_PATH, required=True, help="The record file to append to."
)


@stand_in.command("worker")
@click.argument("run", type=FILE_PATH)
@click.option("--zone", required=True)
@RECORD_OPTION
def stand_in_worker(run: Path, zone: str, record: Path) -> None:
    """The workers of one zone."""
    from dunlinlug.standins import worker

    worker.main(run, zone, record)


@stand_in.command("proxy")
@click.argument("run", type=FILE_PATH)
@click.option("--group", type=int, required=True)
@RECORD_OPTION
def stand_in_proxy(run: Path, group: int, record: Path) -> None:
    """One group of proxies."""
    from dunlinlug.standins import proxy

    proxy.main(run, group, record)


@stand_in.command("roster")
@click.argument("run", type=FILE_PATH)
@RECORD_OPTION
def stand_in_roster(run: Path, record: Path) -> None:
    """The roster."""
    from dunlinlug.standins import discovery

    discovery.main(run, record)


@stand_in.command("callers")
@click.argument("run", type=FILE_PATH)
@RECORD_OPTION
def stand_in_callers(run: Path, record: Path) -> None:
    """The clients."""
    from dunlinlug.standins import load_generator

    load_generator.main(run, record)
