"""The secret that admits an operator to a manager's administration endpoint."""

import os
import stat
from pathlib import Path

from dunlinlug.errors import DunlinlugError

MIN_TOKEN_LENGTH = 16  # characters; a shorter one could be found by trying
OTHERS_MAY_ACCESS = 0o077  # mode bits for the group and for everybody


class TokenFileError(DunlinlugError, ValueError):
    """A token file that cannot be used; the text names the file and says why."""


def read_token(path: Path) -> str:
    """The token: the one word of a file that only its owner may read.

    Raises:
        TokenFileError: The file cannot be read, others may read it, or it holds no usable token.
    """
    try:
        with path.open(encoding="utf-8") as file:
            mode = os.fstat(file.fileno()).st_mode
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFileError(f"{path}: cannot be read: {error}") from None
    if stat.S_IMODE(mode) & OTHERS_MAY_ACCESS:
        raise TokenFileError(f"{path}: others may read it; only its owner should (chmod 600)")
    if len(token) < MIN_TOKEN_LENGTH or not token.isascii() or len(token.split()) != 1:
        raise TokenFileError(
            f"{path}: a token is one word of at least {MIN_TOKEN_LENGTH} letters, figures and signs"
        )
    return token
