"""`dunlinlug day` and `dunlinlug audit`: run a scenario on loopback, and check its records."""

import sys
import tempfile
from pathlib import Path

import click
import trio

from dunlinlug.audit.records import RecordError
from dunlinlug.audit.report import report
from dunlinlug.command_line.common import FILE_PATH, InvalidFileError
from dunlinlug.config.reader import ConfigError
from dunlinlug.scenarios.runner import ScenarioError, ScenarioRunner


@click.group()
def day() -> None:
    """Run a scenario of faults on loopback."""


@day.command("play")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--records",
    type=FILE_PATH,
    help="Folder for the records (default: a new temporary folder).",
)
def run_scenario(file: Path, records: Path | None) -> None:
    """Run a scenario and check its rules; exit status 1 if a rule was broken."""
    folder = records or Path(tempfile.mkdtemp(prefix="dunlinlug-day-"))
    try:
        trio.run(ScenarioRunner(file, folder).run)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    except ScenarioError as error:
        raise click.ClickException(f"{error}; records in {folder}") from None
    click.echo(f"records in {folder}")
    _print_report(folder)


@click.command()
@click.argument("folder", type=FILE_PATH)
def audit(folder: Path) -> None:
    """Check the records of a scenario; exit status 1 if a rule was broken."""
    _print_report(folder)


def _print_report(folder: Path) -> None:
    try:
        text, is_clean = report(folder)
    except RecordError as error:
        raise InvalidFileError(str(error)) from None
    click.echo(text)
    sys.exit(0 if is_clean else 1)
