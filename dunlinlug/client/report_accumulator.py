"""What a proxy met since it last reported; plain sums."""

from dunlinlug.xds.load_reports import LoadReport, WorkerStatistics


class ReportAccumulator:
    """Times are the caller's clock in seconds."""

    def __init__(self, node_id: str, zone: str, now: float = 0.0) -> None:
        self.node_id = node_id
        self.zone = zone
        self.period_started_at = now
        self.report = LoadReport(node_id, zone, 0.0)

    def record_request(self, traffic_class: str, failed: bool) -> None:
        """A txn of a product that came, and whether it was voided (for another reason than its
        level).
        """
        requests, failures = self.report.traffic_classes.get(traffic_class, (0, 0))
        self.report.traffic_classes[traffic_class] = (requests + 1, failures + failed)

    def record_attempt(
        self, worker: str, succeeded: bool, latency: float, load_metrics: dict[str, float]
    ) -> None:
        statistics = self.report.workers.setdefault(worker, WorkerStatistics())
        statistics.attempts += 1
        statistics.failed += not succeeded
        statistics.total_latency += latency if succeeded else 0.0
        statistics.load_metrics.update(load_metrics)

    def take_report(self, now: float) -> LoadReport:
        """All since the last taking, which begins anew."""
        report = self.report
        self.report = LoadReport(self.node_id, self.zone, 0.0)
        report.window = now - self.period_started_at
        self.period_started_at = now
        return report
