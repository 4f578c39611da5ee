"""`dunlinlug manager` and `dunlinlug check`: run a manager, or check its INI file."""

import sys
from pathlib import Path

import click

from dunlinlug.ads.main import serve
from dunlinlug.command_line.common import FILE_PATH, InvalidFileError
from dunlinlug.command_line.parent_process import exit_when_input_closes
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError


@click.command()
@click.argument("file", type=FILE_PATH)
@click.option("--until-input-closes", is_flag=True, help="Stop when standard input closes.")
@click.option(
    "--clock-rate",
    type=click.FloatRange(0.5, 2.0),
    default=1.0,
    hidden=True,
    help="For scenarios: seconds of the manager's clock per real second.",
)
def manager(file: Path, until_input_closes: bool, clock_rate: float) -> None:
    """Run a manager until SIGTERM; SIGHUP reloads the settings that need no restart."""
    if until_input_closes:
        exit_when_input_closes()
    sys.exit(serve(file, clock_rate=clock_rate))


@click.command()
@click.argument("file", type=FILE_PATH)
def check(file: Path) -> None:
    """Check a manager's INI file."""
    try:
        manager_config.load_manager_config(file)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    click.echo(f"{file}: in order")
