"""`dunlinlug table`: what an operator sees and says of tables."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from dunlinlug.commands import FILE, BadFile


@click.group()
def table() -> None:
    """Tables, and what was refused of them."""


@table.command("explain")
@click.argument("file", type=FILE)
@click.option("--last", default=20, help="How many refusals, the newest.")
def table_explain(file: Path, last: int) -> None:
    """What the guard of a manager refused, by the manager's INI file; the manager may be running or not."""
    from dunlinlug import terms
    from dunlinlug.config import ConfigFault
    from dunlinlug.kept import KeptFault, refusals

    try:
        found = refusals(Path(terms.read(file).one(terms.Desk).store))
    except (ConfigFault, KeptFault) as fault:
        raise BadFile(str(fault)) from None
    if not found:
        click.echo("nothing was refused")
    for refusal in found[-last:]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(refusal["wall"]))
        click.echo(
            f"{at}  {refusal.get('source', 'module')}, {refusal['done']}: {refusal['order']}\n"
            f"    {_refusal_line(refusal)}; proxies: {refusal['proxies'] or 'all that use it'}"
        )


def _asked(file: Path, method: str, path: str, word: object = None) -> Any:
    """The manager's answer; what it refuses is shown, with exit status 1."""
    from dunlinlug.config import ConfigFault
    from dunlinlug.operators.client import AskFault, ask

    try:
        return ask(file, method, path, word)
    except ConfigFault as fault:
        raise BadFile(str(fault)) from None
    except AskFault as fault:
        for refusal in (fault.said or {}).get("refusals", ()):
            click.echo(_refusal_line(refusal))
        raise click.ClickException(str(fault)) from None


def _refusal_line(refusal: dict[str, Any]) -> str:
    return f"{refusal['rule']}: {refusal['why']}; would pass: {refusal['would_pass']}"


def _pin_options(command: Callable[..., None]) -> Callable[..., None]:
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
        click.argument("file", type=FILE),
    ):
        command = option(command)
    return command


def _word(
    product: str,
    weight: tuple[str, ...],
    only: tuple[str, ...],
    without: tuple[str, ...],
    lasts: str,
) -> dict[str, object]:
    from dunlinlug.config import units

    weights = dict[str, float]()
    for said in weight:
        worker, _, value = said.rpartition("=")
        if not worker or worker in weights:
            raise click.UsageError(f"--weight {said}: it is WORKER=WEIGHT, once for each worker")
        try:
            weights[worker] = float(value)
        except ValueError:
            raise click.UsageError(f"--weight {said}: {value!r} is not a number") from None
    try:
        span = units.seconds(lasts)
    except units.ValueFault as fault:
        raise click.UsageError(f"--for: {fault}") from None
    return {
        "product": product,
        "weights": weights,
        "only": list(only),
        "without": list(without),
        "lasts": span,
    }


@table.command("propose")
@_pin_options
def table_propose(file: Path, **said: Any) -> None:
    """Ask what the guard would say of a pin; nothing changes. Exit status 1 if it would be refused."""
    answer = _asked(file, "POST", "/pins/propose", _word(**said))
    for refusal in answer["refusals"]:
        click.echo(_refusal_line(refusal))
    for caution in answer["cautions"]:
        click.echo(f"caution: {caution}")
    click.echo("would pass" if answer["passes"] else "would be refused")
    sys.exit(0 if answer["passes"] else 1)


@table.command("pin")
@_pin_options
def table_pin(file: Path, **said: Any) -> None:
    """Pin a product's weights, a subset, or an exclusion for a while; the guard may refuse it (exit status 1)."""
    answer = _asked(file, "PUT", "/pins", _word(**said))
    for caution in answer["cautions"]:
        click.echo(f"caution: {caution}")
    click.echo(f"pinned {answer['pin']['product']} for {answer['pin']['ends_in']:g} s")


@table.command("unpin")
@click.argument("file", type=FILE)
@click.argument("product")
def table_unpin(file: Path, product: str) -> None:
    """End a product's pin before its time."""

    answer = _asked(file, "DELETE", f"/pins/{quote(product, safe='')}")
    click.echo(f"ended the pin of {answer['ended']}")


@table.command("show")
@click.argument("file", type=FILE)
@click.argument("product", default="")
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
def table_show(file: Path, product: str, as_json: bool) -> None:
    """The tables that stand, by product."""

    found = _asked(file, "GET", f"/tables?product={quote(product, safe='')}")
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for said in found:
        pin = said["pin"]
        click.echo(
            f"{said['product']}: {said['proxies']} proxies, {said['without_table']} without a table, "
            f"{said['in_change']} in a change"
            + (f"; pinned for {pin['ends_in']:.0f} s" if pin else "")
        )
        for held in said["tables"]:
            click.echo(
                f"  {held['table']} at {held['proxies']} proxies, lets in {held['share_let_in']:g}, "
                f"way of trying again {held['retry']}"
            )
            for line in held["lines"]:
                state = "withdrawn" if line["withdrawn"] else line["state"]
                click.echo(
                    f"    {line['worker']:<22} {line['weight']:<9g} {line['zone']:<10} {state}"
                )


@click.group()
def fleet() -> None:
    """Managers that take over from each other. FILE is the INI of a member; changes are the master's to make."""


def _shown(state: dict[str, Any]) -> None:
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


def _members_shown(state: dict[str, Any]) -> None:
    """Who is there, who sees whom, and the last verdicts."""
    click.echo(
        f"{state['member']}: {state['state']}, standing {state['standing']} for {state['since']:.1f} s "
        f"of {', '.join(state['set'])}; view {state['digest']}"
        + (f"; distrusts itself by {state['distrust']}" if state["distrust"] else "")
    )
    names = [row["member"] for row in state["members"]]
    wide = max(map(len, names), default=1)
    for row in state["members"]:
        between = f"; {row['between']}" if row["between"] not in ("", "in touch") else ""
        load = state["burdens"].get(row["member"])
        carries = (
            ""
            if load is None
            else (
                f"  {load['proxies']} proxies, {load['txns_per_s']:g} txns/s, channel "
                f"{load['channel']:.0%}, processor {load['processor']:.0%}"
            )
        )
        click.echo(
            f"  {row['member']:<{wide}}  {row['state']:<9} start {row['start']}, word {row['word']}  "
            f"{row['place']}{carries}{between}"
        )
    if any(seen not in ("yes", "-") for row in state["members"] for seen in row["sees"].values()):
        click.echo("  who has whom:")
        for row in state["members"]:
            missing = [
                f"{other}: {seen}"
                for other, seen in row["sees"].items()
                if seen not in ("yes", "-")
            ]
            click.echo(f"    {row['member']:<{wide}}  " + ("; ".join(missing) or "all"))
    for name, apart in state["lists"].items():
        click.echo(
            f"  {name} has another list of workers ({apart['workers']}) for {apart['for']:.0f} s"
        )
    for said in state["verdicts"][-5:]:
        click.echo(
            f"  {said['ago']:.1f} s ago: {said['member']} {said['before']} -> {said['now']}: {said['why']}"
        )


@fleet.command("show")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
@click.option("--watch", is_flag=True, help="Again each second, until interrupted.")
@click.option("--times", default=0, hidden=True)
def fleet_show(file: Path, as_json: bool, watch: bool, times: int) -> None:
    """Who leads and who lags; who is there, who sees whom, our standing, and why the last verdicts fell."""
    from dunlinlug import terms
    from dunlinlug.config import ConfigFault

    try:
        known = bool(terms.read(file).one(terms.Members).me)
        leads = bool(terms.read(file).one(terms.Succession).member) or not known
    except ConfigFault as fault:
        raise BadFile(str(fault)) from None
    while True:
        state = _asked(file, "GET", "/fleet") if leads else None
        members = _asked(file, "GET", "/members") if known else None
        if as_json:
            both = {**(state or {}), **({"membership": members} if members else {})}
            click.echo(json.dumps(both, indent=None if watch else 2))
        else:
            if state:
                _shown(state)
            if members:
                _members_shown(members)
        times -= 1
        if not watch or times == 0:
            return
        time.sleep(1.0)


@fleet.command("bar")
@click.argument("file", type=FILE)
@click.argument("member")
def fleet_bar(file: Path, member: str) -> None:
    """Count this member out, whatever it says, until it is let in again."""
    _members_shown(_asked(file, "PUT", f"/members/bars/{quote(member, safe='')}"))


@fleet.command("unbar")
@click.argument("file", type=FILE)
@click.argument("member")
def fleet_unbar(file: Path, member: str) -> None:
    """Let a barred member in again."""
    _members_shown(_asked(file, "DELETE", f"/members/bars/{quote(member, safe='')}"))


@fleet.command("hand-over")
@click.argument("file", type=FILE)
@click.argument("to")
def fleet_hand_over(file: Path, to: str) -> None:
    """Let another member lead from now on, without a gap in orders."""
    _asked(file, "POST", "/fleet/hand-over", {"to": to})
    click.echo(f"handed over to {to}")


@fleet.command("enrol")
@click.argument("file", type=FILE)
@click.argument("member")
def fleet_enrol(file: Path, member: str) -> None:
    """Make the set larger by one member, which has its section in every member's file."""
    _shown(_asked(file, "PUT", f"/fleet/members/{quote(member, safe='')}"))


@fleet.command("dismiss")
@click.argument("file", type=FILE)
@click.argument("member")
def fleet_dismiss(file: Path, member: str) -> None:
    """Make the set smaller by one member."""
    _shown(_asked(file, "DELETE", f"/fleet/members/{quote(member, safe='')}"))


def _work_shown(state: dict[str, Any]) -> None:
    click.echo(
        f"{state['member']}: steward {state['steward'] or 'none'} of term {state['term']}; "
        f"holds {state['holds']} of {state['slots']} slots"
    )
    click.echo(
        "  owners: " + ", ".join(f"{owner} {count}" for owner, count in state["owners"].items())
    )
    for slot, to in state["moving"].items():
        click.echo(f"  slot {slot} is on its way to {to}")
    for said in state["records"]:
        click.echo(
            f"  {said['piece']}: {said['owner'] or 'nobody'}, number {said['number']:#x}, slot {said['slot']}; "
            f"as far as {said['body']} under {said['under']:#x}"
        )
    for said in state["changes"][-5:]:
        click.echo(
            f"  {said['ago']:.1f} s ago: slot {said['slot']} {said['owner'] or 'nobody'} {said['number']:#x}: "
            f"{said['why']}"
        )
    if state["counts"]:
        click.echo(
            "  " + ", ".join(f"{name} {count}" for name, count in sorted(state["counts"].items()))
        )


@fleet.command("work")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
def fleet_work(file: Path, as_json: bool) -> None:
    """Who owns which work of the fleet, how far it has come, and the last changes with their reasons."""
    state = _asked(file, "GET", "/work")
    if as_json:
        click.echo(json.dumps(state, indent=2))
    else:
        _work_shown(state)


@fleet.command("move")
@click.argument("file", type=FILE)
@click.argument("piece")
@click.argument("member")
def fleet_move(file: Path, piece: str, member: str) -> None:
    """Let another member own a piece of work, with all of its slot. FILE is the steward's."""
    _asked(file, "POST", f"/work/{quote(piece, safe='')}", {"to": member})
    click.echo(f"{piece} is on its way to {member}")
