"""What outlives a kill: the list as last heard, and how many lives this manager has had (lmdb)."""

import fcntl
import json
from pathlib import Path
from typing import Any

import lmdb

from dunlinlug.errors import DunlinlugError

MAP_SIZE_BYTES = 2**26  # bytes of map: a list of ten thousand workers takes some three million


class StoreError(DunlinlugError):
    """The store cannot be used; the text says why."""


class Store:
    """One writer at a time; a second process that opens the same store is refused."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.lock_file = (folder / "lock").open("w")
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise StoreError(f"{folder}: another manager has this store open") from None
        try:
            self.environment = lmdb.open(str(folder), map_size=MAP_SIZE_BYTES)
        except lmdb.Error as error:
            raise StoreError(f"{folder}: {error}") from None

    def next_epoch(self) -> int:
        """Count one more life; on disk before it is told."""
        with self.environment.begin(write=True) as transaction:
            epoch = int(transaction.get(b"epoch") or b"0") + 1
            transaction.put(b"epoch", str(epoch).encode())
        return epoch

    def endpoint_list(self) -> bytes | None:
        """The roster's body as last put."""
        with self.environment.begin() as transaction:
            body: bytes | None = transaction.get(b"list")
        return body

    def put_endpoint_list(self, body: bytes) -> None:
        with self.environment.begin(write=True) as transaction:
            transaction.put(b"list", body)

    def put_rejections(self, rejections: list[dict[str, Any]], max_rejections: int) -> None:
        """Add to a ring of so many; the oldest make room."""
        with self.environment.begin(write=True) as transaction:
            count = int(transaction.get(b"refusals") or b"0")
            for rejection in rejections:
                transaction.put(
                    b"refusal %08d" % (count % max(max_rejections, 1)),
                    json.dumps({"n": count, **rejection}).encode(),
                )
                count += 1
            transaction.put(b"refusals", str(count).encode())

    def vote(self, key: str = "vote") -> tuple[int, str, int, list[str]] | None:
        """Term, vote, and the roll's version and members, as last put; `of` succession, or of the
        owners' log.
        """
        with self.environment.begin() as transaction:
            found = json.loads(transaction.get(key.encode()) or b"null")
        return tuple(found) if found else None

    def put_vote(
        self, term: int, voted_for: str, version: int, members: list[str], key: str = "vote"
    ) -> None:
        """On disk before it is said."""
        with self.environment.begin(write=True) as transaction:
            transaction.put(key.encode(), json.dumps([term, voted_for, version, members]).encode())

    def overrides(self) -> list[dict[str, Any]]:
        with self.environment.begin() as transaction:
            found: list[dict[str, Any]] = json.loads(transaction.get(b"pins") or b"[]")
        return found

    def put_overrides(self, overrides: list[dict[str, Any]]) -> None:
        """On disk before an operator is told that they stand."""
        with self.environment.begin(write=True) as transaction:
            transaction.put(b"pins", json.dumps(overrides).encode())

    def close(self) -> None:
        self.environment.close()
        self.lock_file.close()


def read_rejections(folder: Path) -> list[dict[str, Any]]:
    """The refusals kept in a store, oldest first, also while a manager has it open."""
    if not (folder / "data.mdb").exists():
        raise StoreError(f"{folder}: no store here")
    try:
        with (
            lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, readonly=True) as environment,
            environment.begin() as transaction,
        ):
            rejections = [
                json.loads(value)
                for key, value in transaction.cursor()
                if key.startswith(b"refusal ")
            ]
    except lmdb.Error as error:
        raise StoreError(f"{folder}: {error}") from None
    return sorted(rejections, key=lambda rejection: int(rejection["n"]))
