"""Observations of workers by the proxies of other managers, as evidence for outlier detection.

Each manager counts what its own proxies reported of each worker since its process start: attempts,
failures and seconds of successes. The counts only grow, so copies merge by the larger one and may
be duplicated, delayed or lost. The increase in a copy is evidence for the time since the previous
copy, and its weight falls with its age. Only outliers are broadcast. Free of I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import Seconds, decode_msgpack
from dunlinlug.decision.events import EndpointReported, Event
from dunlinlug.fleet.membership.messages import Broadcast

KEY_PREFIX = "met"  # of broadcast keys; manager, start epoch and worker follow, between slashes
# Seconds; a fraction of a report cycle, so that broadcasts add little to the delay of reports.
BROADCAST_INTERVAL = 0.25
MAX_WORKERS_PER_BROADCAST = 16  # as many as one datagram carries
# Seconds for which a worker is broadcast after it was last an outlier, so that its recovery is
# broadcast too.
OUTLIER_REPORT_WINDOW = 8.0
# Seconds in which evidence loses half its weight, as in outlier detection itself.
WEIGHT_HALF_LIFE = 0.8
# Attempts in the newest local report from which remote counts are not used: they also cover the
# time before it and would dilute it.
SUFFICIENT_LOCAL_ATTEMPTS = 8.0
# Most attempts in the first copy of a count for it to be used: a larger one was collected over a
# long and unknown time.
MAX_FIRST_ATTEMPTS = 50
MAX_OBSERVATION_AGE = 8.0  # seconds, ten half-lives; older evidence is not used
MAX_COUNT = 1e15  # of a manager that never restarts
MAX_WORKERS = 4096  # workers counted, and remote counts kept; the oldest are dropped first


class ObservationCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one worker since a manager's process start; encoded as an array in field order.

    Attributes:
        attempts: Requests sent to the worker.
        failures: Those of them that failed.
        success_seconds: Sum of the durations of those that succeeded.
        age: Seconds since the newest report that is counted.
    """

    attempts: Annotated[float, Meta(ge=0, le=MAX_COUNT)]
    failures: Annotated[float, Meta(ge=0, le=MAX_COUNT)]
    success_seconds: Annotated[float, Meta(ge=0.0, le=MAX_COUNT)]
    age: Seconds


NO_COUNTS = ObservationCounts(0, 0, 0.0, 0.0)


@dataclass
class WorkerObservation:
    """Local counts of one worker since the process start; times in seconds.

    Attributes:
        broadcast_attempts: Attempts at the time of the last broadcast.
        latest_report_attempts: Attempts in the newest report alone.
    """

    attempts: float = 0
    failures: float = 0
    success_seconds: float = 0.0
    observed_at: float = 0.0
    last_outlier_at: float = -inf
    broadcast_attempts: float = 0
    latest_report_attempts: float = 0

    def record(self, now: float, report: EndpointReported) -> None:
        """Count one report; failures mark the worker as an outlier."""
        self.attempts += report.attempts
        self.failures += report.failed
        self.success_seconds += report.latency * (report.attempts - report.failed)
        self.observed_at = now
        self.latest_report_attempts = report.attempts
        if report.failed:
            self.last_outlier_at = now

    def is_due(self, now: float) -> bool:
        """Whether the counts of a recent outlier have changed since the last broadcast."""
        if self.attempts == self.broadcast_attempts:
            return False
        return now - self.last_outlier_at < OUTLIER_REPORT_WINDOW

    def failure_fraction(self) -> float:
        """Fraction of all attempts that failed."""
        return self.failures / max(self.attempts, 1)

    def counts(self, now: float) -> ObservationCounts:
        """Return the counts in the form that is broadcast."""
        return ObservationCounts(
            self.attempts, self.failures, self.success_seconds, now - self.observed_at
        )


class ReceivedCounts(NamedTuple):
    """The newest counts under a key, and their time of receipt in seconds."""

    counts: ObservationCounts
    received_at: float


class SharedObservations:
    """Local counts by worker, and the newest counts of other managers by broadcast key.

    Args:
        self_id: Name of the local manager.
        start_epoch: Number of its process start; each start counts from zero under another key.
    """

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.key_prefix = f"{KEY_PREFIX}/{self_id}/{start_epoch}"
        self.observations: dict[str, WorkerObservation] = {}
        self.remote_counts: dict[str, ReceivedCounts] = {}
        self.next_broadcast_at = 0.0

    def record_reports(self, now: float, events: Iterable[Event]) -> None:
        """Count the reports of local proxies among these events."""
        for event in events:
            if isinstance(event, EndpointReported) and event.local:
                self._observation_of(event.worker).record(now, event)

    def _observation_of(self, worker: str) -> WorkerObservation:
        observation = self.observations.get(worker)
        if observation is None:
            while len(self.observations) >= MAX_WORKERS:
                oldest = next(iter(self.observations))
                del self.observations[oldest]
            observation = WorkerObservation()
            self.observations[worker] = observation
        return observation

    def due_broadcasts(self, now: float) -> list[Broadcast]:
        """Return the counts of outliers, highest failure fraction first, if a broadcast is due."""
        if now < self.next_broadcast_at:
            return []
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        due = [
            (worker, observation)
            for worker, observation in self.observations.items()
            if observation.is_due(now)
        ]
        due.sort(key=lambda pair: (-pair[1].failure_fraction(), pair[0]))
        broadcasts: list[Broadcast] = []
        for worker, observation in due[:MAX_WORKERS_PER_BROADCAST]:
            observation.broadcast_attempts = observation.attempts
            payload = msgspec.msgpack.encode(observation.counts(now))
            broadcasts.append(Broadcast(f"{self.key_prefix}/{worker}", payload))
        return broadcasts

    def merge(self, now: float, broadcast: Broadcast) -> list[Event]:
        """Merge another manager's counts.

        Returns their increase as a report weighted by its age, or nothing if the counts are old,
        known, local or malformed.
        """
        try:
            counts: ObservationCounts = decode_msgpack(broadcast.payload, ObservationCounts)
            kind, reporter, start_epoch, worker = broadcast.key.split("/", 3)
        except ValueError:  # OutOfBoundsError is one
            return []
        if f"{kind}/{reporter}/{start_epoch}" == self.key_prefix:
            return []
        previous = self.remote_counts.get(broadcast.key)
        known = previous.counts if previous is not None else NO_COUNTS
        attempts = counts.attempts - known.attempts
        failures = counts.failures - known.failures
        if attempts <= 0 or not 0 <= failures <= attempts:
            return []
        self._store_remote(broadcast.key, ReceivedCounts(counts, now))
        if previous is None and attempts > MAX_FIRST_ATTEMPTS:
            return []
        # A later copy covers at most the time since the previous one; the first an unknown time.
        since_last = now - previous.received_at if previous is not None else 0.0
        age = counts.age + since_last / 2
        if age > MAX_OBSERVATION_AGE or self._has_sufficient_evidence(worker):
            return []
        # Weighted counts are not rounded: one failure of three attempts could become one of one,
        # and a healthy worker would be ejected.
        weight = 0.5 ** (age / WEIGHT_HALF_LIFE)
        report = EndpointReported(
            "",
            worker,
            attempts * weight,
            failures * weight,
            _mean_latency(counts, known),
            since_last,
            local=False,
        )
        return [report]

    def _store_remote(self, key: str, received: ReceivedCounts) -> None:
        """Store the newest counts; their key becomes the last to be dropped."""
        self.remote_counts.pop(key, None)
        while len(self.remote_counts) >= MAX_WORKERS:
            oldest = next(iter(self.remote_counts))
            del self.remote_counts[oldest]
        self.remote_counts[key] = received

    def _has_sufficient_evidence(self, worker: str) -> bool:
        local = self.observations.get(worker)
        return local is not None and local.latest_report_attempts >= SUFFICIENT_LOCAL_ATTEMPTS


def _mean_latency(counts: ObservationCounts, known: ObservationCounts) -> float:
    """Mean seconds of the successes that are new in a copy; 0 if there are none."""
    successes = (counts.attempts - known.attempts) - (counts.failures - known.failures)
    if not successes:
        return 0.0
    return max(counts.success_seconds - known.success_seconds, 0.0) / successes
