"""What outlives a kill: the list as last heard, and how many lives this manager has had (lmdb)."""

import fcntl
from pathlib import Path

import lmdb

SIZE = 2**26  # bytes of map: a list of ten thousand workers takes some three million


class KeptFault(Exception):
    """The store cannot be used; the text says why."""


class Kept:
    """One writer at a time; a second process that opens the same store is refused."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = (folder / "lock").open("w")
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise KeptFault(f"{folder}: another manager has this store open") from None
        try:
            self.env = lmdb.open(str(folder), map_size=SIZE)
        except lmdb.Error as error:
            raise KeptFault(f"{folder}: {error}") from None

    def next_epoch(self) -> int:
        """Count one more life; on disk before it is told."""
        with self.env.begin(write=True) as change:
            epoch = int(change.get(b"epoch") or b"0") + 1
            change.put(b"epoch", str(epoch).encode())
        return epoch

    def list(self) -> bytes | None:
        """The roster's body as last put."""
        with self.env.begin() as view:
            body: bytes | None = view.get(b"list")
        return body

    def put_list(self, body: bytes) -> None:
        with self.env.begin(write=True) as change:
            change.put(b"list", body)

    def close(self) -> None:
        self.env.close()
        self.lock.close()
