"""`dunlinlug stand-in`: the processes of a scenario other than managers.

Each command imports only the stand-in that it runs: a scenario has many of these processes, and
their imports determine how long it takes to start.
"""

from pathlib import Path

import click

from dunlinlug.command_line.common import FILE_PATH


@click.group("stand-in")
def stand_in() -> None:
    """Processes of a scenario; they read its run file, and commands on standard input."""


RECORD_OPTION = click.option(
    "--record", type=FILE_PATH, required=True, help="The record file to append to."
)


@stand_in.command("worker")
@click.argument("run", type=FILE_PATH)
@click.option("--zone", required=True)
@RECORD_OPTION
def stand_in_worker(run: Path, zone: str, record: Path) -> None:
    """The workers of one zone."""
    from dunlinlug.standins import worker  # noqa: PLC0415  # see the module's docstring

    worker.main(run, zone, record)


@stand_in.command("proxy")
@click.argument("run", type=FILE_PATH)
@click.option("--group", type=int, required=True)
@RECORD_OPTION
def stand_in_proxy(run: Path, group: int, record: Path) -> None:
    """One group of proxies."""
    from dunlinlug.standins import proxy  # noqa: PLC0415  # see the module's docstring

    proxy.main(run, group, record)


@stand_in.command("roster")
@click.argument("run", type=FILE_PATH)
@RECORD_OPTION
def stand_in_discovery(run: Path, record: Path) -> None:
    """Service discovery."""
    from dunlinlug.standins import discovery  # noqa: PLC0415  # see the module's docstring

    discovery.main(run, record)


@stand_in.command("callers")
@click.argument("run", type=FILE_PATH)
@RECORD_OPTION
def stand_in_load_generator(run: Path, record: Path) -> None:
    """The clients: a load generator."""
    from dunlinlug.standins import load_generator  # noqa: PLC0415  # see the module's docstring

    load_generator.main(run, record)
