"""What proxies of other managers met, as evidence for our module: weighed by age, never an order.
Free of I/O.

Each manager counts up what was met at a worker since its start: tries, voided ones, seconds of the
settled. Counts that only grow merge by the larger one, so that facts may come twice, late or never;
what is new in one is evidence on the time since the last that came. Told are workers that stand
out, as those alone are worth the room.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta

from dunlinlug.decision.events import EndpointReported, Event
from dunlinlug.fleet.membership.messages import Broadcast

# seconds between tellings: a part of a report cycle, so that they add little to its delay
BROADCAST_INTERVAL = 0.25
MAX_WORKERS_PER_BROADCAST = 16  # workers told of in one telling: what one datagram carries
# seconds that a worker is told of after it stood out last, so that its recovery is told as well
OUTLIER_REPORT_WINDOW = 8.0
# seconds in which evidence from others loses half its weight, as the module's own does
WEIGHT_HALF_LIFE = 0.8
# tries in our own newest report from which it tells enough: others' thin out what it says of now
SUFFICIENT_LOCAL_ATTEMPTS = 8.0
MAX_OBSERVATION_AGE = 8.0  # seconds beyond which what came is not used: ten halvings
MAX_WORKERS = 4096  # workers counted, and facts of others kept, the oldest out first


class ObservationCounts(msgspec.Struct, frozen=True, array_like=True):
    """Since a start of that manager: `tries`, `voided` of them, `took` seconds of the settled;
    `age` of the newest.
    """

    attempts: Annotated[float, Meta(ge=0)]
    failures: Annotated[float, Meta(ge=0)]
    success_seconds: Annotated[float, Meta(ge=0.0)]
    age: Annotated[float, Meta(ge=0.0)]


@dataclass
class WorkerObservation:
    attempts: float = 0
    failures: float = 0
    success_seconds: float = 0.0
    observed_at: float = 0.0
    last_outlier_at: float = -1e18
    broadcast_attempts: float = 0  # tries as told last
    latest_report_attempts: float = 0  # tries in the report that came last


class SharedObservations:
    """`me` and `born` name our counts; another start of ours begins anew under other names."""

    def __init__(self, self_id: str, start_epoch: int) -> None:
        self.key_prefix = f"met/{self_id}/{start_epoch}"
        self.observations: dict[str, WorkerObservation] = {}
        self.remote_counts: dict[
            str, tuple[ObservationCounts, float]
        ] = {}  # by key, the largest count and when it came
        self.next_broadcast_at = 0.0

    def record_reports(self, now: float, events: Iterable[Event]) -> None:
        """Our own proxies' reports, as the module is told them."""
        for event in events:
            if isinstance(event, EndpointReported) and event.local:
                observation = self.observations.get(event.worker)
                if observation is None:
                    while len(self.observations) >= MAX_WORKERS:
                        del self.observations[next(iter(self.observations))]
                    observation = self.observations[event.worker] = WorkerObservation()
                observation.attempts += event.attempts
                observation.failures += event.failed
                observation.success_seconds += event.latency * (event.attempts - event.failed)
                observation.observed_at = now
                observation.latest_report_attempts = event.attempts
                if event.failed:
                    observation.last_outlier_at = now

    def due_broadcasts(self, now: float) -> list[Broadcast]:
        """What is to be told to all others now: who stood out, the most voided first."""
        if now < self.next_broadcast_at:
            return []
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        changed = [
            (worker, observation)
            for worker, observation in self.observations.items()
            if observation.attempts != observation.broadcast_attempts
            and now - observation.last_outlier_at < OUTLIER_REPORT_WINDOW
        ]
        changed.sort(key=lambda pair: (-pair[1].failures / max(pair[1].attempts, 1), pair[0]))
        broadcasts = []
        for worker, observation in changed[:MAX_WORKERS_PER_BROADCAST]:
            observation.broadcast_attempts = observation.attempts
            body = msgspec.msgpack.encode(
                ObservationCounts(
                    observation.attempts,
                    observation.failures,
                    observation.success_seconds,
                    now - observation.observed_at,
                )
            )
            broadcasts.append(Broadcast(f"{self.key_prefix}/{worker}", body))
        return broadcasts

    def merge(self, now: float, broadcast: Broadcast) -> list[Event]:
        """What another told: the news in it, weighed by its age; nothing if it is old, known, or no
        fact of ours.
        """
        try:
            count = msgspec.msgpack.decode(broadcast.payload, type=ObservationCounts)
            kind, reporter, start_epoch, worker = broadcast.key.split("/", 3)
        except (msgspec.DecodeError, ValueError):
            return []
        previous, previous_at = self.remote_counts.get(
            broadcast.key, (ObservationCounts(0, 0, 0.0, 0.0), now)
        )
        attempts = count.attempts - previous.attempts
        failures = count.failures - previous.failures
        if (
            attempts <= 0
            or not 0 <= failures <= attempts
            or f"{kind}/{reporter}/{start_epoch}" == self.key_prefix
        ):
            return []
        first = broadcast.key not in self.remote_counts
        self.remote_counts.pop(broadcast.key, None)
        while len(self.remote_counts) >= MAX_WORKERS:
            del self.remote_counts[next(iter(self.remote_counts))]
        self.remote_counts[broadcast.key] = (count, now)
        # Of the first count that comes we don't know over how long it was met; of others at most
        # since the last.
        age = count.age + (0.0 if first else (now - previous_at) / 2)
        local = self.observations.get(worker)
        if (
            first
            and attempts > 50
            or age > MAX_OBSERVATION_AGE
            or local is not None
            and local.latest_report_attempts >= SUFFICIENT_LOCAL_ATTEMPTS
        ):
            return []
        weight = 0.5 ** (age / WEIGHT_HALF_LIFE)
        successes = attempts - failures
        mean_latency = (
            max(count.success_seconds - previous.success_seconds, 0.0) / successes
            if successes
            else 0.0
        )
        # Danger: rounded, one void of three tries becomes one of one, and a healthy worker is
        # condemned.
        return [
            EndpointReported(
                "",
                worker,
                attempts * weight,
                failures * weight,
                mean_latency,
                now - previous_at,
                local=False,
            )
        ]
