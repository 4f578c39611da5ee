"""What all commands share: files as arguments, and the error for one that cannot be used."""

from pathlib import Path

import click

FILE_PATH = click.Path(path_type=Path)


class InvalidFileError(click.ClickException):
    """A file that cannot be used: one line on standard error, exit status 2."""

    exit_code = 2
