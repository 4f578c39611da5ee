"""Starts of workers, told in wall time, on the module's clock."""

from collections.abc import Container
from dataclasses import replace

from dunlinlug import interface as face


class Anchors:
    """Each start is reckoned once. Danger: a wall clock set back would otherwise make every start look fresh, and the
    whole fleet cold."""

    def __init__(self) -> None:
        self.starts: dict[
            str, tuple[float, float]
        ] = {}  # by worker: its start as told, and on our clock

    def anchored(self, worker: face.Worker, offset: float) -> face.Worker:
        """`offset`: the module's clock less the wall clock, in seconds, now."""
        if worker.since is None:
            return worker
        wall, since = self.starts.get(worker.id, (None, 0.0))
        if wall != worker.since:
            since = worker.since + offset
            self.starts[worker.id] = (worker.since, since)
        return replace(worker, since=since)

    def keep(self, workers: Container[str]) -> None:
        """All others are gone. Danger: over new ids for good they would pile up."""
        self.starts = {worker: start for worker, start in self.starts.items() if worker in workers}
