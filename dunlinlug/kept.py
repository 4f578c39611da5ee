"""What outlives a kill: the list as last heard, and how many lives this manager has had (lmdb)."""

import fcntl
import json
from pathlib import Path
from typing import Any

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

    def body(self) -> bytes | None:
        """The roster's body as last put."""
        with self.env.begin() as view:
            body: bytes | None = view.get(b"list")
        return body

    def put_list(self, body: bytes) -> None:
        with self.env.begin(write=True) as change:
            change.put(b"list", body)

    def put_refusals(self, refusals: list[dict[str, Any]], most: int) -> None:
        """Add to a ring of so many; the oldest make room."""
        with self.env.begin(write=True) as change:
            count = int(change.get(b"refusals") or b"0")
            for refusal in refusals:
                change.put(
                    b"refusal %08d" % (count % max(most, 1)),
                    json.dumps({"n": count, **refusal}).encode(),
                )
                count += 1
            change.put(b"refusals", str(count).encode())

    def vote(self, of: str = "vote") -> tuple[int, str, int, list[str]] | None:
        """Term, vote, and the roll's version and members, as last put; `of` succession, or of the owners' log."""
        with self.env.begin() as view:
            found = json.loads(view.get(of.encode()) or b"null")
        return tuple(found) if found else None

    def put_vote(
        self, term: int, voted: str, version: int, members: list[str], of: str = "vote"
    ) -> None:
        """On disk before it is said."""
        with self.env.begin(write=True) as change:
            change.put(of.encode(), json.dumps([term, voted, version, members]).encode())

    def pins(self) -> list[dict[str, Any]]:
        with self.env.begin() as view:
            found: list[dict[str, Any]] = json.loads(view.get(b"pins") or b"[]")
        return found

    def put_pins(self, pins: list[dict[str, Any]]) -> None:
        """On disk before an operator is told that they stand."""
        with self.env.begin(write=True) as change:
            change.put(b"pins", json.dumps(pins).encode())

    def close(self) -> None:
        self.env.close()
        self.lock.close()


def refusals(folder: Path) -> list[dict[str, Any]]:
    """The refusals kept in a store, oldest first, also while a manager has it open."""
    if not (folder / "data.mdb").exists():
        raise KeptFault(f"{folder}: no store here")
    try:
        with lmdb.open(str(folder), map_size=SIZE, readonly=True) as env, env.begin() as view:
            found = [
                json.loads(value) for key, value in view.cursor() if key.startswith(b"refusal ")
            ]
    except lmdb.Error as error:
        raise KeptFault(f"{folder}: {error}") from None
    return sorted(found, key=lambda refusal: int(refusal["n"]))
