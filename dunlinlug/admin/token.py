"""The bearer token of a manager's administration endpoint."""

import os
import stat
from pathlib import Path

from dunlinlug.errors import DunlinlugError

MIN_TOKEN_LENGTH = 16  # characters; a shorter token could be guessed
GROUP_AND_OTHER_PERMISSIONS = 0o077  # file mode bits


class TokenFileError(DunlinlugError, ValueError):
    """A token file that cannot be used; the message names the file and the fault."""


def read_token(path: Path) -> str:
    """Read the token from a file that contains nothing else and only its owner can access.

    Raises:
        TokenFileError: The file cannot be read, its mode gives others access, or its token is
            invalid.
    """
    try:
        with path.open(encoding="utf-8") as file:
            mode = os.fstat(file.fileno()).st_mode
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFileError(f"{path}: cannot be read: {error}") from None
    if stat.S_IMODE(mode) & GROUP_AND_OTHER_PERMISSIONS:
        raise TokenFileError(f"{path}: others may read it; only its owner should (chmod 600)")
    if len(token) < MIN_TOKEN_LENGTH or not token.isascii() or len(token.split()) != 1:
        raise TokenFileError(
            f"{path}: a token is one word of at least {MIN_TOKEN_LENGTH} letters, figures and signs"
        )
    return token
