"""The pre-shared keys by which managers authenticate each other's messages.

Two keys may be valid at a time, so that a key can be changed one member after the other: the first
signs, both verify.
"""

import re
from hashlib import blake2b
from pathlib import Path

from dunlinlug.errors import DunlinlugError

KEY_ID_BYTES = 4  # bytes of a key's identifier on the wire
MAX_KEYS = 2
KEY_PATTERN = re.compile("[0-9a-fA-F]{64}")
GROUP_AND_OTHERS = 0o077  # permission bits of everyone but the owner


class KeyFileError(DunlinlugError, ValueError):
    """A key file that cannot be used; the text says which file and why."""


def read_keys(path: Path) -> list[bytes]:
    """Reads one or two keys of 32 bytes, the signing key first.

    The file has a key of 64 hexadecimal digits on each line and is readable by its owner alone.

    Raises:
        KeyFileError: The file cannot be read, others may read it, or its content is not keys.
    """
    try:
        mode = path.stat().st_mode
        lines = path.read_text(encoding="ascii").split()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{path}: cannot be read: {error}") from None
    if mode & GROUP_AND_OTHERS:
        raise KeyFileError(f"{path}: others may read it; only its owner should (chmod 600)")
    well_formed = all(KEY_PATTERN.fullmatch(line) for line in lines)
    if not 1 <= len(lines) <= MAX_KEYS or not well_formed:
        raise KeyFileError(f"{path}: one or two keys of 64 hexadecimal figures, a line each")
    return [bytes.fromhex(line) for line in lines]


def key_id(key: bytes) -> bytes:
    """Identifies a key on the wire without giving it away: 4 bytes of a keyed BLAKE2b."""
    return blake2b(b"name", key=key, digest_size=KEY_ID_BYTES).digest()
