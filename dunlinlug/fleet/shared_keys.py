"""The pre-shared keys with which managers authenticate each other's messages.

Two keys can be valid at a time, so that the members can change keys one after the other: the first
key signs, both verify.
"""

import re
from hashlib import blake2b
from pathlib import Path

from dunlinlug.errors import DunlinlugError

KEY_ID_BYTES = 4  # length of a key id on the wire
MAX_KEYS = 2
KEY_PATTERN = re.compile("[0-9a-fA-F]{64}")
GROUP_AND_OTHERS = 0o077  # permission bits of everyone but the owner


class KeyFileError(DunlinlugError, ValueError):
    """A key file that cannot be used; the text names the file and the reason."""


def read_keys(path: Path) -> list[bytes]:
    """Reads one or two keys of 32 bytes, the signing key first.

    Each line of the file holds one key as 64 hexadecimal digits. The file must be accessible to its
    owner alone.

    Raises:
        KeyFileError: The file cannot be read, its permissions allow access by group or others, or
            it does not hold one or two valid keys.
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
        raise KeyFileError(f"{path}: needs one or two keys of 64 hexadecimal digits, one per line")
    return [bytes.fromhex(line) for line in lines]


def key_id(key: bytes) -> bytes:
    """Returns a key's id on the wire: 4 bytes of a keyed BLAKE2b, which do not reveal the key."""
    return blake2b(b"name", key=key, digest_size=KEY_ID_BYTES).digest()
