"""One seed gives one course of faults: what happens to managers, lists and proxies, and when.

Nothing is executed here; `tests/soak/run.py` plays a course between processes.
"""

from dataclasses import dataclass, field
from random import Random

MANAGERS = 3
WORKERS = 8  # listed at the start
MIN_READY_WORKERS = 4
KILL_DELAY_S = 0.7  # after SIGTERM, the earliest that the platform's page allows

# Signals to one manager, each with the pause in seconds before the next one. A series that has no
# TERM leaves the manager running.
SIGNAL_SERIES = (
    (("TERM", 0.0),),
    (("HUP", 0.05), ("HUP", 0.05), ("TERM", 0.0)),
    (("TERM", 0.02), ("TERM", 0.0)),
    (("HUP", 0.01), ("TERM", 0.0)),
    (("HUP", 0.3), ("HUP", 0.0)),
    (("STOP", 0.4), ("CONT", 0.0)),
    (("KILL", 0.0),),
)
# Signals to a manager that is starting, with the pause in seconds before each, from when its
# interpreter handles signals.
START_SIGNALS = ((), (), (("HUP", 0.0),), (("HUP", 0.1), ("HUP", 0.01)), (("TERM", 0.05),))


@dataclass(frozen=True)
class SignalManager:
    """Send signals to a manager; one that ends is started again."""

    manager: int
    signals: tuple[tuple[str, float], ...]
    start_signals: tuple[tuple[str, float], ...]
    restart_after: float  # seconds from its end


@dataclass(frozen=True)
class ChangeWorker:
    """List a worker in another state at all discovery agents."""

    worker: int
    state: str


@dataclass(frozen=True)
class SilenceDiscovery:
    """Let the discovery agent of a manager accept queries and not answer for some seconds."""

    manager: int
    seconds: float


@dataclass(frozen=True)
class BreakDiscovery:
    """Let the discovery agent of a manager break off its next answers in the middle."""

    manager: int
    answers: int


@dataclass(frozen=True)
class MoveDiscovery:
    """Move a manager's discovery to its other agent by a new configuration file and SIGHUP."""

    manager: int


@dataclass(frozen=True)
class ReconnectProxies:
    """Break the connections of all proxies at once."""


@dataclass(frozen=True)
class RetryStorm:
    """Send requests at several times the usual rate for some seconds."""

    seconds: float


@dataclass(frozen=True)
class SilentConnections:
    """Open connections to a manager; some join and never speak again, others never speak."""

    manager: int
    count: int


Action = (
    SignalManager
    | ChangeWorker
    | SilenceDiscovery
    | BreakDiscovery
    | MoveDiscovery
    | ReconnectProxies
    | RetryStorm
    | SilentConnections
)


@dataclass(frozen=True)
class Course:
    """The actions of one run, by their time in seconds from the first joined proxy."""

    seed: int
    proxies: int
    length: float
    actions: tuple[tuple[float, Action], ...] = field(default=())


def draw_course(seed: int, length: float) -> Course:
    """Return the course of this seed; every third has a crowd of proxies."""
    random = Random(f"soak {seed}")
    actions: list[tuple[float, Action]] = []
    ready = set(range(WORKERS))
    at = 0.0
    while at < length:
        at += random.uniform(0.1, 0.8)
        actions.append((at, _draw_action(random, ready)))
    return Course(seed, 60 if seed % 3 == 0 else 12, length, tuple(actions))


def _draw_action(random: Random, ready: set[int]) -> Action:
    manager = random.randrange(MANAGERS)
    kind = random.choices(range(8), [5, 6, 1, 1, 4, 1, 1, 1])[0]
    if kind == 0:
        return SignalManager(
            manager,
            random.choice(SIGNAL_SERIES),
            random.choice(START_SIGNALS),
            random.uniform(0.0, 1.0),
        )
    if kind == 1:
        return _draw_worker_change(random, ready)
    other_actions: list[Action] = [
        SilenceDiscovery(manager, random.uniform(0.3, 1.5)),
        BreakDiscovery(manager, random.randrange(1, 4)),
        MoveDiscovery(manager),
        ReconnectProxies(),
        RetryStorm(random.uniform(0.3, 1.0)),
        SilentConnections(manager, random.randrange(10, 60)),
    ]
    return other_actions[kind - 2]


def _draw_worker_change(random: Random, ready: set[int]) -> ChangeWorker:
    """Let a worker drain, go or return; some stay ready."""
    worker = random.randrange(WORKERS)
    if worker not in ready:
        ready.add(worker)
        return ChangeWorker(worker, "ready")
    if len(ready) <= MIN_READY_WORKERS:
        worker = next(iter(sorted(set(range(WORKERS)) - ready)))
        ready.add(worker)
        return ChangeWorker(worker, "ready")
    ready.discard(worker)
    return ChangeWorker(worker, random.choice(["draining", "gone"]))
