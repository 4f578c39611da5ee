"""Accumulates a proxy's observations since its last load report."""

from dunlinlug.bounded_values import metrics_within_bounds
from dunlinlug.xds.load_reports import LoadReport, WorkerStatistics


class ReportAccumulator:
    """Counts requests by traffic class and attempts by worker; `now` is the caller's clock."""

    def __init__(self, node_id: str, zone: str, now: float = 0.0) -> None:
        self.node_id = node_id
        self.zone = zone
        self.period_started_at = now
        self.report = LoadReport(node_id, zone, 0.0)

    def record_request(self, traffic_class: str, failed: bool) -> None:
        """Count a request; `failed` is false for one that was not admitted."""
        requests, failures = self.report.traffic_classes.get(traffic_class, (0, 0))
        self.report.traffic_classes[traffic_class] = (requests + 1, failures + failed)

    def record_attempt(
        self, worker: str, succeeded: bool, latency: float, load_metrics: dict[str, float]
    ) -> None:
        """Count an attempt at a worker; its latency (seconds) counts only if it succeeded.

        `load_metrics` is the worker's own load from its response; the newest value of each metric
        is reported. Metrics out of bounds are ignored: the manager would end the proxy's stream for
        them, though a worker sent them.
        """
        statistics = self.report.workers.setdefault(worker, WorkerStatistics())
        statistics.attempts += 1
        statistics.failed += not succeeded
        statistics.total_latency += latency if succeeded else 0.0
        statistics.load_metrics = metrics_within_bounds({**statistics.load_metrics, **load_metrics})

    def take_report(self, now: float) -> LoadReport:
        """Return the report since the last call, and start a new one."""
        report = self.report
        self.report = LoadReport(self.node_id, self.zone, 0.0)
        report.window = now - self.period_started_at
        self.period_started_at = now
        return report
