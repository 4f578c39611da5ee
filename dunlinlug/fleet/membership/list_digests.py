"""Whether the roster tells all managers the same: a short print of each one's list, told and
compared. Free of I/O.

A list's workers fall into parts by their names; a part's print is the same wherever the same
workers are in the same state. Where two differ, the workers of ours in those parts are the ones to
look at. Nothing is decided on it: each manager goes by its own list, and what others' proxies meet
at a worker is evidence anyway.
"""

from collections.abc import Mapping
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from dunlinlug.decision.events import Endpoint
from dunlinlug.fleet.membership.messages import MAX_MEMBERS, Broadcast

BUCKETS = 16  # of a list: few workers of a part are named, and all prints fit into one fact
BROADCAST_INTERVAL = 1.0  # seconds between tellings
# seconds that two lists may differ: a roster is asked each ten seconds, so news comes apart
DIVERGENCE_TOLERANCE = 15.0
STALE_AFTER = 10.0  # seconds after which what was told is not compared any more
MAX_NAMED_WORKERS = 8  # workers named of those to look at

Fingerprint = Annotated[int, Meta(ge=0, lt=2**32)]


class ListDigest(msgspec.Struct, frozen=True, array_like=True):
    """`workers` are listed, a `born` and `number` order what one manager tells."""

    start_epoch: Annotated[int, Meta(ge=0)]
    sequence: Annotated[int, Meta(ge=0)]
    workers: Annotated[int, Meta(ge=0)]
    fingerprints: Annotated[tuple[Fingerprint, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]


def bucket_of(worker: str) -> int:
    return xxhash.xxh32_intdigest(worker.encode()) % BUCKETS


def bucket_fingerprints(listed_workers: Mapping[str, Endpoint]) -> tuple[int, ...]:
    """By part, the exclusive or of its workers' prints, so that the order of a list makes no
    difference.
    """
    fingerprints = [0] * BUCKETS
    for worker in listed_workers.values():
        encoded = f"{worker.id} {worker.state} {worker.zone}"
        fingerprints[bucket_of(worker.id)] ^= xxhash.xxh32_intdigest(encoded.encode(), seed=1)
    return tuple(fingerprints)


class ListDigests:
    """What the roster told each manager, `me` among them."""

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.self_id = self_id
        self.start_epoch = start_epoch
        self.sequence = 0
        self.next_broadcast_at = 0.0
        self.digests: dict[str, tuple[ListDigest, float]] = {}
        self.divergent_since: dict[
            str, float
        ] = {}  # by manager, since when its list differs from ours
        self.reported = set[str]()  # of them, those that were said

    def due_broadcast(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> Broadcast | None:
        """What is to be told now; nothing while we follow no roster ourselves."""
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
        return Broadcast(f"list/{self.self_id}", msgspec.msgpack.encode(digest))

    def merge(self, now: float, broadcast: Broadcast) -> bool:
        """What another told; false if it is no news. Merges by start and number, in any order and
        any number.
        """
        try:
            digest = msgspec.msgpack.decode(broadcast.payload, type=ListDigest)
        except msgspec.DecodeError:
            return False
        name = broadcast.key.removeprefix("list/")
        if (
            name in ("", self.self_id)
            or name not in self.digests
            and len(self.digests) >= MAX_MEMBERS
        ):
            return False
        previous = self.digests.get(name)
        if previous is not None and (previous[0].start_epoch, previous[0].sequence) >= (
            digest.start_epoch,
            digest.sequence,
        ):
            return False
        self.digests[name] = (digest, now)
        return True

    def divergent(self, now: float) -> dict[str, ListDigest]:
        """Managers whose present list is not ours, at this moment."""
        local = self.digests.get(self.self_id)
        if local is None:
            return {}
        return {
            name: digest
            for name, (digest, received_at) in sorted(self.digests.items())
            if name != self.self_id
            and now - received_at < STALE_AFTER
            and digest.fingerprints != local[0].fingerprints
        }

    def divergence_changes(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> list[tuple[str, str]]:
        """Managers whose list has differed from ours for long, and those whose has no more, each
        once, in words.
        """
        divergent = self.divergent(now)
        lines = list[tuple[str, str]]()
        self.divergent_since = {name: self.divergent_since.get(name, now) for name in divergent}
        for name in sorted(self.reported - divergent.keys()):
            self.reported.discard(name)
            lines.append((name, "the same again, or not told any more"))
        for name, digest in divergent.items():
            if (
                name not in self.reported
                and now - self.divergent_since[name] >= DIVERGENCE_TOLERANCE
            ):
                self.reported.add(name)
                lines.append((name, self._describe_difference(digest, listed_workers or {})))
        return lines

    def _describe_difference(
        self, digest: ListDigest, listed_workers: Mapping[str, Endpoint]
    ) -> str:
        local = self.digests[self.self_id][0]
        buckets = {n for n in range(BUCKETS) if digest.fingerprints[n] != local.fingerprints[n]}
        workers = sorted(worker for worker in listed_workers if bucket_of(worker) in buckets)
        examples = ", ".join(workers[:MAX_NAMED_WORKERS]) + (
            f" and {len(workers) - MAX_NAMED_WORKERS} more"
            if len(workers) > MAX_NAMED_WORKERS
            else ""
        )
        return (
            f"it was told of {digest.workers} workers, we of {local.workers}; {len(buckets)} of {BUCKETS} parts differ, "
            f"among ours in them: {examples or 'none'}"
        )
