"""What all commands share."""

from pathlib import Path

import click

FILE_PATH = click.Path(path_type=Path)


class InvalidFileError(click.ClickException):
    """A file that cannot be used: one line, exit status 2."""

    exit_code = 2
