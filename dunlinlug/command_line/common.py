"""Shared by all commands: the type of file arguments, and the error for an invalid file."""

from pathlib import Path

import click

FILE_PATH = click.Path(path_type=Path)


class InvalidFileError(click.ClickException):
    """A file that cannot be used: one line on standard error, exit status 2."""

    exit_code = 2
