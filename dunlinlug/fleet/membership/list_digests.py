"""Detects managers whose endpoint list from service discovery differs from the local one.

Each manager broadcasts a digest of its list and compares the digests of others with its own.
Workers are divided into buckets by name. A bucket's fingerprint is equal on two managers if both
list the same workers in the same state, so a difference narrows down the workers to check. The
result is for operators only: each manager uses its own list. Free of I/O.
"""

from collections.abc import Mapping
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Meta

from dunlinlug.bounded_values import OutOfBoundsError, decode_msgpack
from dunlinlug.decision.events import Endpoint
from dunlinlug.fleet.membership.messages import MAX_MEMBERS, Broadcast

KEY_PREFIX = "list/"  # of broadcast keys; the manager's name follows
BUCKETS = 16  # of a list: few workers share one, and all fingerprints fit in one broadcast
BROADCAST_INTERVAL = 1.0  # seconds
# Seconds for which two lists may differ: discovery is polled every ten seconds, so managers see a
# change at different times.
DIVERGENCE_TOLERANCE = 15.0
STALE_AFTER = 10.0  # seconds after which a received digest is no longer compared
MAX_NAMED_WORKERS = 8  # workers named in the description of a difference

Fingerprint = Annotated[int, Meta(ge=0, lt=2**32)]


class ListDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of one manager's list; encoded as an array in field order.

    Attributes:
        start_epoch: Number of the manager's process start.
        sequence: Increases within a start; orders the digests of one start.
        workers: Number of workers in the list.
        fingerprints: One for each bucket.
    """

    start_epoch: Annotated[int, Meta(ge=0)]
    sequence: Annotated[int, Meta(ge=0)]
    workers: Annotated[int, Meta(ge=0)]
    fingerprints: Annotated[tuple[Fingerprint, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]

    def version(self) -> tuple[int, int]:
        """Sort key among the digests of one manager."""
        return self.start_epoch, self.sequence


class DivergenceChange(NamedTuple):
    """A manager's list has differed for too long, or no longer differs; described for operators."""

    manager: str
    description: str


def bucket_of(worker: str) -> int:
    """Return the bucket, 0 to `BUCKETS` - 1, of a worker's id."""
    return xxhash.xxh32_intdigest(worker.encode()) % BUCKETS


def bucket_fingerprints(listed_workers: Mapping[str, Endpoint]) -> tuple[int, ...]:
    """Return the fingerprint of each bucket: an XOR over its workers, whose order is irrelevant."""
    fingerprints = [0] * BUCKETS
    for worker in listed_workers.values():
        encoded = f"{worker.id} {worker.state} {worker.zone}"
        fingerprints[bucket_of(worker.id)] ^= xxhash.xxh32_intdigest(encoded.encode(), seed=1)
    return tuple(fingerprints)


class ListDigests:
    """Digests of all managers by name, the local one included, and since when each has differed.

    Args:
        self_id: Name of the local manager.
        start_epoch: Number of its process start.
    """

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.self_id = self_id
        self.start_epoch = start_epoch
        self.sequence = 0
        self.next_broadcast_at = 0.0
        self.digests: dict[str, tuple[ListDigest, float]] = {}  # with the time of receipt
        self.divergent_since: dict[str, float] = {}
        self.reported = set[str]()  # managers whose divergence was reported

    def due_broadcast(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> Broadcast | None:
        """Return the local digest as a broadcast if one is due; None while there is no list."""
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        if listed_workers is None:
            self.digests.pop(self.self_id, None)
            return None
        self.sequence += 1
        digest = ListDigest(
            self.start_epoch,
            self.sequence,
            len(listed_workers),
            bucket_fingerprints(listed_workers),
        )
        self.digests[self.self_id] = (digest, now)
        return Broadcast(f"{KEY_PREFIX}{self.self_id}", msgspec.msgpack.encode(digest))

    def merge(self, now: float, broadcast: Broadcast) -> bool:
        """Merge another manager's digest, in any order and any number of times.

        Returns whether it was newer than the known one.
        """
        try:
            digest: ListDigest = decode_msgpack(broadcast.payload, ListDigest)
        except OutOfBoundsError:
            return False
        name = broadcast.key.removeprefix(KEY_PREFIX)
        if name in {"", self.self_id}:
            return False
        if name not in self.digests:
            if len(self.digests) >= MAX_MEMBERS:
                return False
        elif self.digests[name][0].version() >= digest.version():
            return False
        self.digests[name] = (digest, now)
        return True

    def divergent(self, now: float) -> dict[str, ListDigest]:
        """Managers whose current list differs from the local one."""
        local = self.digests.get(self.self_id)
        if local is None:
            return {}
        local_fingerprints = local[0].fingerprints
        return {
            name: digest
            for name, (digest, received_at) in sorted(self.digests.items())
            if name != self.self_id
            and now - received_at < STALE_AFTER
            and digest.fingerprints != local_fingerprints
        }

    def divergence_changes(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> list[DivergenceChange]:
        """Managers whose list has differed for too long, or no longer does, since the last call."""
        divergent = self.divergent(now)
        self.divergent_since = {name: self.divergent_since.get(name, now) for name in divergent}
        changes: list[DivergenceChange] = []
        for name in sorted(self.reported - divergent.keys()):
            self.reported.discard(name)
            changes.append(DivergenceChange(name, "no longer differs, or has no current digest"))
        for name, digest in divergent.items():
            if name in self.reported or now - self.divergent_since[name] < DIVERGENCE_TOLERANCE:
                continue
            self.reported.add(name)
            description = self._describe_difference(digest, listed_workers or {})
            changes.append(DivergenceChange(name, description))
        return changes

    def _describe_difference(
        self, digest: ListDigest, listed_workers: Mapping[str, Endpoint]
    ) -> str:
        """Describe how many buckets differ and which local workers are in them."""
        local = self.digests[self.self_id][0]
        buckets = {n for n in range(BUCKETS) if digest.fingerprints[n] != local.fingerprints[n]}
        workers = sorted(worker for worker in listed_workers if bucket_of(worker) in buckets)
        examples = ", ".join(workers[:MAX_NAMED_WORKERS])
        if len(workers) > MAX_NAMED_WORKERS:
            examples += f" and {len(workers) - MAX_NAMED_WORKERS} more"
        return (
            f"it lists {digest.workers} workers, this manager {local.workers}; {len(buckets)} of "
            f"{BUCKETS} buckets differ, local workers in them: {examples or 'none'}"
        )
