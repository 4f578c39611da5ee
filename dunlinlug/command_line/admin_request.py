"""Sends the requests of commands to a running manager, and raises its errors as click errors."""

from pathlib import Path
from typing import TypeVar

import click

from dunlinlug.admin.client import AdminRequestError, parse_answer, send_request
from dunlinlug.command_line import answer_text
from dunlinlug.command_line.common import InvalidFileError
from dunlinlug.config.reader import ConfigError

Answer = TypeVar("Answer")


def request_json(file: Path, method: str, path: str, payload: object = None) -> object:
    """Send a request and return the decoded JSON of the manager's answer.

    Raises:
        InvalidFileError: The INI file cannot be used.
        click.ClickException: The request failed; the guard's rejections are printed before.
    """
    try:
        return send_request(file, method, path, payload)
    except ConfigError as error:
        raise InvalidFileError(str(error)) from None
    except AdminRequestError as error:
        for rejection in error.rejections:
            click.echo(answer_text.rejection(rejection))
        raise click.ClickException(str(error)) from None


def read_answer(answer: object, answer_type: type[Answer]) -> Answer:
    """The record of an answer's JSON. Raises click.ClickException if it does not match."""
    try:
        return parse_answer(answer, answer_type)
    except AdminRequestError as error:
        raise click.ClickException(str(error)) from None


def request(
    file: Path, method: str, path: str, answer_type: type[Answer], payload: object = None
) -> Answer:
    """Send a request and return the record of its answer; raises as the functions above do."""
    return read_answer(request_json(file, method, path, payload), answer_type)
