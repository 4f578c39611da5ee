"""Entry point of the command line, `dunlinlug` or `python -m dunlinlug`."""

import click

from dunlinlug.command_line.lazy_group import LazyGroup
from dunlinlug.command_line.parent_process import exit_when_input_closes

__all__ = ["exit_when_input_closes", "main"]


@click.group(
    cls=LazyGroup,
    lazy_commands={
        "audit": "dunlinlug.command_line.scenario_commands:audit",
        "check": "dunlinlug.command_line.manager_commands:check",
        "day": "dunlinlug.command_line.scenario_commands:day",
        "fleet": "dunlinlug.command_line.fleet_commands:fleet",
        "manager": "dunlinlug.command_line.manager_commands:manager",
        "stand-in": "dunlinlug.command_line.standin_commands:stand_in",
        "table": "dunlinlug.command_line.table_commands:table",
    },
)
@click.version_option(package_name="dunlinlug")
def main() -> None:
    """dunlinlug: a traffic director that sends sidecar proxies their routing tables."""
