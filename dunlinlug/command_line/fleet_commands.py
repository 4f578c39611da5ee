"""`dunlinlug fleet`: leadership, membership, and ownership of tasks in a fleet of managers."""

import json
import time
from pathlib import Path
from urllib.parse import quote

import click

from dunlinlug.admin.schemas import LeadershipStatus, MembershipStatus, OwnershipStatus
from dunlinlug.command_line import answer_text
from dunlinlug.command_line.admin_request import read_answer, request, request_json
from dunlinlug.command_line.common import FILE_PATH, InvalidFileError
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError

WATCH_INTERVAL = 1.0  # seconds


@click.group()
def fleet() -> None:
    """A fleet of managers. FILE is a member's INI file; changes are made at the leader."""


@fleet.command("show")
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as JSON.")
@click.option("--watch", is_flag=True, help="Repeat every second until interrupted.")
@click.option("--times", default=0, hidden=True)
def fleet_show(file: Path, as_json: bool, watch: bool, times: int) -> None:
    """Show the leader, lag, members and their reachability, and the last changes."""
    try:
        config = manager_config.load_manager_config(file)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    has_membership = bool(config.section(manager_config.MembershipConfig).me)
    has_election = bool(config.section(manager_config.ElectionConfig).member)
    has_leadership = has_election or not has_membership
    while True:
        leadership = request_json(file, "GET", "/fleet") if has_leadership else None
        membership = request_json(file, "GET", "/members") if has_membership else None
        if as_json:
            _echo_json(leadership, membership, indent=None if watch else 2)
        else:
            _echo_text(leadership, membership)
        times -= 1
        if not watch or times == 0:
            return
        time.sleep(WATCH_INTERVAL)


def _echo_json(leadership: object, membership: object, indent: int | None) -> None:
    combined = dict[str, object]()
    if isinstance(leadership, dict):
        combined.update(leadership)
    if membership:
        combined["membership"] = membership
    click.echo(json.dumps(combined, indent=indent))


def _echo_text(leadership: object, membership: object) -> None:
    if leadership:
        click.echo(answer_text.leadership(read_answer(leadership, LeadershipStatus)))
    if membership:
        click.echo(answer_text.membership(read_answer(membership, MembershipStatus)))


@fleet.command("bar")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_ban(file: Path, member: str) -> None:
    """Ban a member until it is admitted again; its own messages do not lift the ban."""
    path = f"/members/bars/{quote(member, safe='')}"
    click.echo(answer_text.membership(request(file, "PUT", path, MembershipStatus)))


@fleet.command("unbar")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_unban(file: Path, member: str) -> None:
    """Admit a banned member again."""
    path = f"/members/bars/{quote(member, safe='')}"
    click.echo(answer_text.membership(request(file, "DELETE", path, MembershipStatus)))


@fleet.command("hand-over")
@click.argument("file", type=FILE_PATH)
@click.argument("to")
def fleet_transfer_leadership(file: Path, to: str) -> None:
    """Transfer leadership to another member, without a gap in orders."""
    request_json(file, "POST", "/fleet/hand-over", {"to": to})
    click.echo(f"handed over to {to}")


@fleet.command("enrol")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_add_voter(file: Path, member: str) -> None:
    """Add a voter; every member's INI file must have its section."""
    path = f"/fleet/members/{quote(member, safe='')}"
    click.echo(answer_text.leadership(request(file, "PUT", path, LeadershipStatus)))


@fleet.command("dismiss")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_remove_voter(file: Path, member: str) -> None:
    """Remove a voter."""
    path = f"/fleet/members/{quote(member, safe='')}"
    click.echo(answer_text.leadership(request(file, "DELETE", path, LeadershipStatus)))


@fleet.command("work")
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as JSON.")
def fleet_show_tasks(file: Path, as_json: bool) -> None:
    """Show the owner and progress of each task of the fleet, and the last changes."""
    answer = request_json(file, "GET", "/work")
    if as_json:
        click.echo(json.dumps(answer, indent=2))
    else:
        click.echo(answer_text.ownership(read_answer(answer, OwnershipStatus)))


@fleet.command("move")
@click.argument("file", type=FILE_PATH)
@click.argument("task", metavar="PIECE")
@click.argument("member")
def fleet_move_task(file: Path, task: str, member: str) -> None:
    """Move a task, with its whole shard, to another member. FILE is the coordinator's."""
    request_json(file, "POST", f"/work/{quote(task, safe='')}", {"to": member})
    click.echo(f"{task} is on its way to {member}")
