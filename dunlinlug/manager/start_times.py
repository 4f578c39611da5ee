"""Starts of workers, told in wall time, on the module's clock."""

from collections.abc import Container
from dataclasses import replace

from dunlinlug.decision.events import Endpoint


class StartTimes:
    """Each start is reckoned once. Danger: a wall clock set back would otherwise make every start
    look fresh, and the whole fleet cold.
    """

    def __init__(self) -> None:
        self.known_starts: dict[
            str, tuple[float, float]
        ] = {}  # by worker: its start as told, and on our clock

    def to_module_clock(self, worker: Endpoint, clock_offset: float) -> Endpoint:
        """`offset`: the module's clock less the wall clock, in seconds, now."""
        if worker.started_at is None:
            return worker
        wall_start, module_start = self.known_starts.get(worker.id, (None, 0.0))
        if wall_start != worker.started_at:
            module_start = worker.started_at + clock_offset
            self.known_starts[worker.id] = (worker.started_at, module_start)
        return replace(worker, started_at=module_start)

    def retain_only(self, workers: Container[str]) -> None:
        """All others are gone. Danger: over new ids for good they would pile up."""
        self.known_starts = {
            worker: start for worker, start in self.known_starts.items() if worker in workers
        }
