"""Key files: one or two keys, without access by group or others."""

from pathlib import Path

import pytest

from dunlinlug.fleet import shared_keys
from tests.fixtures.manager_set import KEYS


def test_a_key_file_is_one_or_two_keys_that_others_cannot_read(tmp_path: Path) -> None:
    path = tmp_path / "key"
    for text, mode, error in (
        ("\n".join(KEYS), 0o600, ""),
        (KEYS[0], 0o640, "chmod 600"),
        ("abc", 0o600, "64 hex"),
        ("\n".join([*KEYS, KEYS[0]]), 0o600, "one or two"),
    ):
        path.write_text(text)
        path.chmod(mode)
        if error:
            with pytest.raises(shared_keys.KeyFileError, match=error):
                shared_keys.read_keys(path)
        else:
            assert len(shared_keys.read_keys(path)) == 2
