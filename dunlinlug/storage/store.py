"""A manager's store in lmdb: its start epoch, endpoint list, votes, overrides and rejections.

Keys and values must not change, as other versions of the program read them too: `epoch` and
`refusals` are decimal numbers, `list` is a response body of service discovery, `vote` and the votes
of other logs are JSON arrays, `pins` and each `refusal NNNNNNNN` are JSON.
"""

import fcntl
import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import lmdb

from dunlinlug.bounded_values import JsonDecoder, OutOfBoundsError
from dunlinlug.errors import DunlinlugError
from dunlinlug.storage.records import StoredOverride, StoredRejection, StoredVote

MAP_SIZE_BYTES = 2**26  # a list of 10 000 endpoints takes about 3 MB
EPOCH_KEY = b"epoch"
LIST_KEY = b"list"
OVERRIDES_KEY = b"pins"
REJECTION_COUNT_KEY = b"refusals"
REJECTION_KEY_PREFIX = b"refusal "
ELECTION_VOTE_KEY = "vote"
OWNERSHIP_VOTE_KEY = "owners"
MAX_NUMBER_DIGITS = 18  # of a stored number

_vote_decoder = JsonDecoder[StoredVote | None](StoredVote | None)
_overrides_decoder = JsonDecoder[list[StoredOverride]](list[StoredOverride])
_rejection_decoder = JsonDecoder[StoredRejection](StoredRejection)


class StoreError(DunlinlugError):
    """The store is unusable; the text names its folder and the reason."""


class Store:
    """A store in a folder, which only one process can have open.

    Every write is durable when its method returns.
    """

    def __init__(self, folder: Path) -> None:
        """Open the store; create it if it does not exist.

        Raises:
            StoreError: Another process has it open, lmdb cannot open it, or the vote in it is
                invalid.
        """
        self.folder = folder
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
        # A member that forgot its vote could vote twice in a term, so it does not start without it.
        for key in (ELECTION_VOTE_KEY, OWNERSHIP_VOTE_KEY):
            self.vote(key)

    def _get(self, key: bytes) -> bytes | None:
        with self.environment.begin() as transaction:
            value: bytes | None = transaction.get(key)
        return value

    def _put(self, key: bytes, value: bytes) -> None:
        with self.environment.begin(write=True) as transaction:
            transaction.put(key, value)

    def next_epoch(self) -> int:
        """Increment the start epoch and return it; the first start has epoch 1.

        Raises:
            StoreError: The stored value is not a number.
        """
        with self.environment.begin(write=True) as transaction:
            epoch = self._number(EPOCH_KEY, transaction.get(EPOCH_KEY)) + 1
            transaction.put(EPOCH_KEY, str(epoch).encode())
        return epoch

    def _number(self, key: bytes, value: bytes | None) -> int:
        """Decode a stored decimal number, 0 if there is none. Raises StoreError."""
        text = value or b"0"
        if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
            raise StoreError(f"{self.folder}: {key.decode()}: {text[:40]!r} is not a number")
        return int(text)

    def endpoint_list(self) -> bytes | None:
        """Return the last stored response body of service discovery; None if there is none."""
        return self._get(LIST_KEY)

    def put_endpoint_list(self, body: bytes) -> None:
        """Store a response body of service discovery, replacing the previous one."""
        self._put(LIST_KEY, body)

    def put_rejections(self, rejections: Sequence[Mapping[str, Any]], max_rejections: int) -> None:
        """Add rejections, given with the stored keys of `StoredRejection`.

        Beyond `max_rejections`, the oldest are overwritten.
        """
        with self.environment.begin(write=True) as transaction:
            count = self._number(REJECTION_COUNT_KEY, transaction.get(REJECTION_COUNT_KEY))
            for rejection in rejections:
                key = REJECTION_KEY_PREFIX + b"%08d" % (count % max(max_rejections, 1))
                transaction.put(key, json.dumps({"n": count, **rejection}).encode())
                count += 1
            transaction.put(REJECTION_COUNT_KEY, str(count).encode())

    def vote(self, key: str = ELECTION_VOTE_KEY) -> StoredVote | None:
        """Return the last vote stored under the key of the election or of another log, or None.

        Raises:
            StoreError: The stored value is not a vote.
        """
        body = self._get(key.encode())
        if body is None:
            return None
        try:
            return _vote_decoder.decode(body)
        except OutOfBoundsError as error:
            raise StoreError(f"{self.folder}: {key}: not a vote: {error}") from None

    def put_vote(
        self,
        term: int,
        voted_for: str,
        version: int,
        members: list[str],
        key: str = ELECTION_VOTE_KEY,
    ) -> None:
        """Store a `StoredVote`, replacing the previous one under the same key."""
        vote = StoredVote(term, voted_for, version, members)
        self._put(key.encode(), json.dumps(vote).encode())

    def overrides(self) -> list[StoredOverride]:
        """Return the last stored overrides.

        Raises:
            StoreError: The stored value is not a list of overrides.
        """
        try:
            return _overrides_decoder.decode(self._get(OVERRIDES_KEY) or b"[]")
        except OutOfBoundsError as error:
            raise StoreError(f"{self.folder}: pins: not a list of overrides: {error}") from None

    def put_overrides(self, overrides: Sequence[StoredOverride]) -> None:
        """Store all active overrides, replacing the previous ones."""
        plain_overrides = [override.to_plain() for override in overrides]
        self._put(OVERRIDES_KEY, json.dumps(plain_overrides).encode())

    def close(self) -> None:
        """Close the store, so that another process can open it."""
        self.environment.close()
        self.lock_file.close()


def read_rejections(folder: Path) -> list[StoredRejection]:
    """Return the rejections in a store, oldest first; a manager may have the store open.

    Raises:
        StoreError: There is no store, or it is unreadable.
    """
    if not (folder / "data.mdb").exists():
        raise StoreError(f"{folder}: there is no store in this folder")
    try:
        with (
            lmdb.open(str(folder), map_size=MAP_SIZE_BYTES, readonly=True) as environment,
            environment.begin() as transaction,
        ):
            rejections = [
                _rejection_decoder.decode(value)
                for key, value in transaction.cursor()
                if key.startswith(REJECTION_KEY_PREFIX)
            ]
    except (lmdb.Error, OutOfBoundsError) as error:
        raise StoreError(f"{folder}: {error}") from None
    return sorted(rejections, key=lambda rejection: rejection.number)
