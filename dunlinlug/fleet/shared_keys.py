"""The keys by which managers prove to each other who they are. Two are valid at a time: the first
signs.
"""

import re
from hashlib import blake2b
from pathlib import Path

from dunlinlug.errors import DunlinlugError

KEY_ID_BYTES = 4  # bytes of a key's short name on the wire


class KeyFileError(DunlinlugError, ValueError):
    """A key file that cannot be used; the text says why."""


def read_keys(path: Path) -> list[bytes]:
    """One or two lines of 64 hexadecimal figures; the first signs, both are accepted. Raises
    KeyFault.
    """
    try:
        mode = path.stat().st_mode
        lines = path.read_text(encoding="ascii").split()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{path}: cannot be read: {error}") from None
    if mode & 0o077:
        raise KeyFileError(f"{path}: others may read it; only its owner should (chmod 600)")
    if not 1 <= len(lines) <= 2 or not all(re.fullmatch("[0-9a-fA-F]{64}", line) for line in lines):
        raise KeyFileError(f"{path}: one or two keys of 64 hexadecimal figures, a line each")
    return [bytes.fromhex(line) for line in lines]


def key_id(key: bytes) -> bytes:
    return blake2b(b"name", key=key, digest_size=KEY_ID_BYTES).digest()
