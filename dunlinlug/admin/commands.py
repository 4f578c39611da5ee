"""`dunlinlug table`: what an operator sees and says of tables."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from dunlinlug.command_line.common import FILE_PATH, InvalidFileError


@click.group()
def table() -> None:
    """Tables, and what was refused of them."""


@table.command("explain")
@click.argument("file", type=FILE_PATH)
@click.option("--last", default=20, help="How many refusals, the newest.")
def table_explain(file: Path, last: int) -> None:
    """What the guard of a manager refused, by the manager's INI file; the manager may be running or
    not.
    """
    from dunlinlug.config import manager_config
    from dunlinlug.config.reader import ConfigError
    from dunlinlug.storage.store import StoreError, read_rejections

    try:
        rejections = read_rejections(
            Path(
                manager_config.load_manager_config(file).section(manager_config.ServerConfig).store
            )
        )
    except (ConfigError, StoreError) as error:
        raise InvalidFileError(str(error)) from None
    if not rejections:
        click.echo("nothing was refused")
    for rejection in rejections[-last:]:
        rejected_at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(rejection["wall"]))
        click.echo(
            f"{rejected_at}  {rejection.get('source', 'module')}, {rejection['done']}: {rejection['order']}\n"
            f"    {_format_rejection(rejection)}; proxies: {rejection['proxies'] or 'all that use it'}"
        )


def _request(file: Path, method: str, path: str, payload: object = None) -> Any:
    """The manager's answer; what it refuses is shown, with exit status 1."""
    from dunlinlug.admin.client import AdminRequestError, send_request
    from dunlinlug.config.reader import ConfigError

    try:
        return send_request(file, method, path, payload)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    except AdminRequestError as error:
        for rejection in (error.response or {}).get("refusals", ()):
            click.echo(_format_rejection(rejection))
        raise click.ClickException(str(error)) from None


def _format_rejection(rejection: dict[str, Any]) -> str:
    return f"{rejection['rule']}: {rejection['why']}; would pass: {rejection['would_pass']}"


def _override_options(command: Callable[..., None]) -> Callable[..., None]:
    """PRODUCT and what is pinned of it."""
    for option in (
        click.option("--for", "lasts", required=True, help="How long, with its unit: 10min."),
        click.option("--without", multiple=True, help="A worker not to be used; may be repeated."),
        click.option("--only", multiple=True, help="The workers to be used; may be repeated."),
        click.option(
            "--weight",
            multiple=True,
            help="WORKER=WEIGHT in place of the listed one; may be repeated.",
        ),
        click.argument("product"),
        click.argument("file", type=FILE_PATH),
    ):
        command = option(command)
    return command


def _override_payload(
    product: str,
    weight: tuple[str, ...],
    only: tuple[str, ...],
    without: tuple[str, ...],
    lasts: str,
) -> dict[str, object]:
    from dunlinlug.config import units

    weights = dict[str, float]()
    for assignment in weight:
        worker, _, value = assignment.rpartition("=")
        if not worker or worker in weights:
            raise click.UsageError(
                f"--weight {assignment}: it is WORKER=WEIGHT, once for each worker"
            )
        try:
            weights[worker] = float(value)
        except ValueError:
            raise click.UsageError(f"--weight {assignment}: {value!r} is not a number") from None
    try:
        duration = units.parse_seconds(lasts)
    except units.InvalidValueError as error:
        raise click.UsageError(f"--for: {error}") from None
    return {
        "product": product,
        "weights": weights,
        "only": list(only),
        "without": list(without),
        "lasts": duration,
    }


@table.command("propose")
@_override_options
def table_propose(file: Path, **options: Any) -> None:
    """Ask what the guard would say of a pin; nothing changes. Exit status 1 if it would be refused."""
    answer = _request(file, "POST", "/pins/propose", _override_payload(**options))
    for rejection in answer["refusals"]:
        click.echo(_format_rejection(rejection))
    for warning in answer["cautions"]:
        click.echo(f"caution: {warning}")
    click.echo("would pass" if answer["passes"] else "would be refused")
    sys.exit(0 if answer["passes"] else 1)


@table.command("pin")
@_override_options
def table_pin(file: Path, **options: Any) -> None:
    """Pin a product's weights, a subset, or an exclusion for a while; the guard may refuse it (exit
    status 1).
    """
    answer = _request(file, "PUT", "/pins", _override_payload(**options))
    for warning in answer["cautions"]:
        click.echo(f"caution: {warning}")
    click.echo(f"pinned {answer['pin']['product']} for {answer['pin']['ends_in']:g} s")


@table.command("unpin")
@click.argument("file", type=FILE_PATH)
@click.argument("product")
def table_unpin(file: Path, product: str) -> None:
    """End a product's pin before its time."""

    answer = _request(file, "DELETE", f"/pins/{quote(product, safe='')}")
    click.echo(f"ended the pin of {answer['ended']}")


@table.command("show")
@click.argument("file", type=FILE_PATH)
@click.argument("product", default="")
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
def table_show(file: Path, product: str, as_json: bool) -> None:
    """The tables that stand, by product."""

    traffic_classes = _request(file, "GET", f"/tables?product={quote(product, safe='')}")
    if as_json:
        click.echo(json.dumps(traffic_classes, indent=2))
        return
    for traffic_class in traffic_classes:
        override = traffic_class["pin"]
        click.echo(
            f"{traffic_class['product']}: {traffic_class['proxies']} proxies, {traffic_class['without_table']} without a table, "
            f"{traffic_class['in_change']} in a change"
            + (f"; pinned for {override['ends_in']:.0f} s" if override else "")
        )
        for table_state in traffic_class["tables"]:
            click.echo(
                f"  {table_state['table']} at {table_state['proxies']} proxies, lets in {table_state['share_let_in']:g}, "
                f"way of trying again {table_state['retry']}"
            )
            for line in table_state["lines"]:
                state = "withdrawn" if line["withdrawn"] else line["state"]
                click.echo(
                    f"    {line['worker']:<22} {line['weight']:<9g} {line['zone']:<10} {state}"
                )


@click.group()
def fleet() -> None:
    """Managers that take over from each other. FILE is the INI of a member; changes are the
    master's to make.
    """


def _print_leadership(state: dict[str, Any]) -> None:
    click.echo(
        f"{state['member']}: term {state['term']}, master {state['master'] or 'none'} "
        f"for {state['since']:.1f} s; last change {state['changed_ago']:.1f} s ago: {state['changed']}"
        + (
            ""
            if state["leads"]
            else f"; behind by {state['behind'] if state['behind'] is not None else 'all'}"
        )
    )
    for member in state["members"]:
        lag = (
            ""
            if state["lags"] is None or member == state["member"]
            else (
                ", lags by all"
                if state["lags"][member] is None
                else f", lags by {state['lags'][member]} batches"
            )
        )
        click.echo(f"  {member}{lag}")


def _print_membership(state: dict[str, Any]) -> None:
    """Who is there, who sees whom, and the last verdicts."""
    click.echo(
        f"{state['member']}: {state['state']}, standing {state['standing']} for {state['since']:.1f} s "
        f"of {', '.join(state['set'])}; view {state['digest']}"
        + (f"; distrusts itself by {state['distrust']}" if state["distrust"] else "")
    )
    names = [row["member"] for row in state["members"]]
    name_width = max(map(len, names), default=1)
    for row in state["members"]:
        reachability = f"; {row['between']}" if row["between"] not in ("", "in touch") else ""
        member_load = state["burdens"].get(row["member"])
        load_text = (
            ""
            if member_load is None
            else (
                f"  {member_load['proxies']} proxies, {member_load['txns_per_s']:g} txns/s, channel "
                f"{member_load['channel']:.0%}, processor {member_load['processor']:.0%}"
            )
        )
        click.echo(
            f"  {row['member']:<{name_width}}  {row['state']:<9} start {row['start']}, word {row['word']}  "
            f"{row['place']}{load_text}{reachability}"
        )
    if any(view not in ("yes", "-") for row in state["members"] for view in row["sees"].values()):
        click.echo("  who has whom:")
        for row in state["members"]:
            missing = [
                f"{other}: {view}"
                for other, view in row["sees"].items()
                if view not in ("yes", "-")
            ]
            click.echo(f"    {row['member']:<{name_width}}  " + ("; ".join(missing) or "all"))
    for name, difference in state["lists"].items():
        click.echo(
            f"  {name} has another list of workers ({difference['workers']}) for {difference['for']:.0f} s"
        )
    for verdict in state["verdicts"][-5:]:
        click.echo(
            f"  {verdict['ago']:.1f} s ago: {verdict['member']} {verdict['before']} -> {verdict['now']}: {verdict['why']}"
        )


@fleet.command("show")
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
@click.option("--watch", is_flag=True, help="Again each second, until interrupted.")
@click.option("--times", default=0, hidden=True)
def fleet_show(file: Path, as_json: bool, watch: bool, times: int) -> None:
    """Who leads and who lags; who is there, who sees whom, our standing, and why the last verdicts
    fell.
    """
    from dunlinlug.config import manager_config
    from dunlinlug.config.reader import ConfigError

    try:
        has_membership = bool(
            manager_config.load_manager_config(file).section(manager_config.MembershipConfig).me
        )
        has_leadership = (
            bool(
                manager_config.load_manager_config(file)
                .section(manager_config.ElectionConfig)
                .member
            )
            or not has_membership
        )
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    while True:
        state = _request(file, "GET", "/fleet") if has_leadership else None
        members = _request(file, "GET", "/members") if has_membership else None
        if as_json:
            combined = {**(state or {}), **({"membership": members} if members else {})}
            click.echo(json.dumps(combined, indent=None if watch else 2))
        else:
            if state:
                _print_leadership(state)
            if members:
                _print_membership(members)
        times -= 1
        if not watch or times == 0:
            return
        time.sleep(1.0)


@fleet.command("bar")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_bar(file: Path, member: str) -> None:
    """Count this member out, whatever it says, until it is let in again."""
    _print_membership(_request(file, "PUT", f"/members/bars/{quote(member, safe='')}"))


@fleet.command("unbar")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_unbar(file: Path, member: str) -> None:
    """Let a barred member in again."""
    _print_membership(_request(file, "DELETE", f"/members/bars/{quote(member, safe='')}"))


@fleet.command("hand-over")
@click.argument("file", type=FILE_PATH)
@click.argument("to")
def fleet_hand_over(file: Path, to: str) -> None:
    """Let another member lead from now on, without a gap in orders."""
    _request(file, "POST", "/fleet/hand-over", {"to": to})
    click.echo(f"handed over to {to}")


@fleet.command("enrol")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_enrol(file: Path, member: str) -> None:
    """Make the set larger by one member, which has its section in every member's file."""
    _print_leadership(_request(file, "PUT", f"/fleet/members/{quote(member, safe='')}"))


@fleet.command("dismiss")
@click.argument("file", type=FILE_PATH)
@click.argument("member")
def fleet_dismiss(file: Path, member: str) -> None:
    """Make the set smaller by one member."""
    _print_leadership(_request(file, "DELETE", f"/fleet/members/{quote(member, safe='')}"))


def _print_ownership(state: dict[str, Any]) -> None:
    click.echo(
        f"{state['member']}: steward {state['steward'] or 'none'} of term {state['term']}; "
        f"holds {state['holds']} of {state['slots']} slots"
    )
    click.echo(
        "  owners: " + ", ".join(f"{owner} {count}" for owner, count in state["owners"].items())
    )
    for shard, target in state["moving"].items():
        click.echo(f"  slot {shard} is on its way to {target}")
    for entry in state["records"]:
        click.echo(
            f"  {entry['piece']}: {entry['owner'] or 'nobody'}, number {entry['number']:#x}, slot {entry['slot']}; "
            f"as far as {entry['body']} under {entry['under']:#x}"
        )
    for entry in state["changes"][-5:]:
        click.echo(
            f"  {entry['ago']:.1f} s ago: slot {entry['slot']} {entry['owner'] or 'nobody'} {entry['number']:#x}: "
            f"{entry['why']}"
        )
    if state["counts"]:
        click.echo(
            "  " + ", ".join(f"{name} {count}" for name, count in sorted(state["counts"].items()))
        )


@fleet.command("work")
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
def fleet_work(file: Path, as_json: bool) -> None:
    """Who owns which work of the fleet, how far it has come, and the last changes with their
    reasons.
    """
    state = _request(file, "GET", "/work")
    if as_json:
        click.echo(json.dumps(state, indent=2))
    else:
        _print_ownership(state)


@fleet.command("move")
@click.argument("file", type=FILE_PATH)
@click.argument("piece")
@click.argument("member")
def fleet_move(file: Path, piece: str, member: str) -> None:
    """Let another member own a piece of work, with all of its slot. FILE is the steward's."""
    _request(file, "POST", f"/work/{quote(piece, safe='')}", {"to": member})
    click.echo(f"{piece} is on its way to {member}")
