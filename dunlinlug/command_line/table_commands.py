"""`dunlinlug table`: the tables in use, operator overrides, and rejected orders."""

import json
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypedDict, TypeVar, Unpack
from urllib.parse import quote

import click

from dunlinlug.admin.schemas import (
    ActivationAnswer,
    EndAnswer,
    ProposalAnswer,
    TrafficClassStatus,
)
from dunlinlug.command_line import answer_text
from dunlinlug.command_line.admin_request import read_answer, request, request_json
from dunlinlug.command_line.common import FILE_PATH, InvalidFileError
from dunlinlug.config import manager_config, units
from dunlinlug.config.reader import ConfigError
from dunlinlug.storage.store import StoreError, read_rejections

Command = TypeVar("Command", bound=Callable[..., None])


@click.group()
def table() -> None:
    """The tables in use, operator overrides of them, and rejected orders."""


@table.command("explain")
@click.argument("file", type=FILE_PATH)
@click.option("--last", default=20, help="Number of rejections to show, the newest.")
def table_explain(file: Path, last: int) -> None:
    """Show the orders that a manager's guard rejected, with reasons.

    They are read from the store, so the manager need not be running.
    """
    try:
        config = manager_config.load_manager_config(file).section(manager_config.ServerConfig)
        rejections = read_rejections(Path(config.store))
    except (ConfigError, StoreError) as error:
        raise InvalidFileError(str(error)) from None
    if not rejections:
        click.echo("nothing was refused")
    for rejection in rejections[-last:]:
        click.echo(answer_text.stored_rejection(rejection))


class OverrideOptions(TypedDict):
    """The values of the parameters that `_override_options` adds to a command."""

    product: str
    weight: tuple[str, ...]
    only: tuple[str, ...]
    without: tuple[str, ...]
    lasts: str


def _override_options(command: Command) -> Command:
    """Add the parameters of an override to a command: file, traffic class and options."""
    for option in (
        click.option(
            "--for", "lasts", required=True, help="Duration with its unit, such as 10min."
        ),
        click.option("--without", multiple=True, help="A worker to exclude; can be repeated."),
        click.option(
            "--only", multiple=True, help="Restrict the product to this worker; can be repeated."
        ),
        click.option(
            "--weight",
            multiple=True,
            help="WORKER=WEIGHT, replaces the listed weight; can be repeated.",
        ),
        click.argument("product"),
        click.argument("file", type=FILE_PATH),
    ):
        command = option(command)
    return command


def _override_payload(options: OverrideOptions) -> dict[str, object]:
    """Return the body of a request, in the form of `admin.requests.OverrideRequest`."""
    weights = _parse_weights(options["weight"])
    try:
        duration = units.parse_seconds(options["lasts"])
    except units.InvalidValueError as error:
        raise click.UsageError(f"--for: {error}") from None
    return {
        "product": options["product"],
        "weights": weights,
        "only": list(options["only"]),
        "without": list(options["without"]),
        "lasts": duration,
    }


def _parse_weights(assignments: Sequence[str]) -> dict[str, float]:
    weights = dict[str, float]()
    for assignment in assignments:
        worker, _, value = assignment.rpartition("=")
        if not worker or worker in weights:
            raise click.UsageError(
                f"--weight {assignment}: expected WORKER=WEIGHT, once for each worker"
            )
        try:
            weights[worker] = float(value)
        except ValueError:
            raise click.UsageError(f"--weight {assignment}: {value!r} is not a number") from None
    return weights


def _echo_warnings(warnings: Sequence[str]) -> None:
    for warning in warnings:
        click.echo(f"caution: {warning}")


@table.command("propose")
@_override_options
def table_propose(file: Path, **options: Unpack[OverrideOptions]) -> None:
    """Validate an override without activating it; exit status 1 if it would be rejected."""
    payload = _override_payload(options)
    answer = request(file, "POST", "/pins/propose", ProposalAnswer, payload)
    for rejection in answer.rejections:
        click.echo(answer_text.rejection(rejection))
    _echo_warnings(answer.warnings)
    click.echo("would pass" if answer.is_valid else "would be refused")
    sys.exit(0 if answer.is_valid else 1)


@table.command("pin")
@_override_options
def table_activate_override(file: Path, **options: Unpack[OverrideOptions]) -> None:
    """Temporarily override a product's weights, restrict it to some workers, or exclude some.

    The exit status is 1 if the guard rejects it.
    """
    payload = _override_payload(options)
    answer = request(file, "PUT", "/pins", ActivationAnswer, payload)
    _echo_warnings(answer.warnings)
    click.echo(f"pinned {answer.override.product} for {answer.override.expires_in:g} s")


@table.command("unpin")
@click.argument("file", type=FILE_PATH)
@click.argument("product")
def table_end_override(file: Path, product: str) -> None:
    """End a product's override before it expires."""
    answer = request(file, "DELETE", f"/pins/{quote(product, safe='')}", EndAnswer)
    click.echo(f"ended the pin of {answer.traffic_class}")


@table.command("show")
@click.argument("file", type=FILE_PATH)
@click.argument("product", default="")
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as JSON.")
def table_show(file: Path, product: str, as_json: bool) -> None:
    """Show the tables in use, by product."""
    answer = request_json(file, "GET", f"/tables?product={quote(product, safe='')}")
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    for status in read_answer(answer, list[TrafficClassStatus]):
        click.echo(answer_text.traffic_class(status))
