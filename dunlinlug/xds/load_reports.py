"""Load reports (LRS): a proxy's sums to `LoadStatsRequest` and back to the module's events."""

from dataclasses import dataclass, field

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import names


class LoadReportError(DunlinlugError):
    """Not a load report as agreed."""


@dataclass
class WorkerStatistics:
    """A proxy's tries at a worker over a span: `took` sums the seconds of the settled ones, less
    `untimed` ones whose time is not told.
    """

    attempts: int = 0
    failed: int = 0
    total_latency: float = 0.0
    load_metrics: dict[str, float] = field(default_factory=dict)
    untimed_successes: int = 0


@dataclass
class LoadReport:
    """What a proxy met over a span: by worker, and by product the txns that came and those voided."""

    node_id: str
    zone: str
    window: float
    workers: dict[str, WorkerStatistics] = field(default_factory=dict)
    traffic_classes: dict[str, tuple[int, int]] = field(default_factory=dict)


def encode_report(report: LoadReport, is_first: bool) -> bytes:
    """One report; the first of a stream names its node."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = report.node_id
    request.node.locality.zone = report.zone
    if is_first:
        request.node.user_agent_name = "dunlinlug"
    worker_statistics = request.cluster_stats.add(cluster_name="workers")
    worker_statistics.load_report_interval.FromNanoseconds(round(report.window * 1e9))
    locality = worker_statistics.upstream_locality_stats.add()
    for worker, statistics in report.workers.items():
        entry = locality.upstream_endpoint_stats.add(
            total_issued_requests=statistics.attempts,
            total_error_requests=statistics.failed,
            total_successful_requests=statistics.attempts - statistics.failed,
        )
        host, _, port = worker.rpartition(":")
        entry.address.socket_address.address = host
        entry.address.socket_address.port_value = int(port)
        entry.load_metric_stats.add(
            metric_name=names.SUCCESS_LATENCY_METRIC,
            total_metric_value=statistics.total_latency,
            num_requests_finished_with_metric=statistics.attempts - statistics.failed,
        )
        for name, value in statistics.load_metrics.items():
            entry.load_metric_stats.add(
                metric_name=names.LOAD_METRIC_PREFIX + name,
                total_metric_value=value,
                num_requests_finished_with_metric=1,
            )
    for traffic_class, (requests, failures) in report.traffic_classes.items():
        class_statistics = request.cluster_stats.add(cluster_name=traffic_class)
        class_statistics.load_report_interval.FromNanoseconds(round(report.window * 1e9))
        class_locality = class_statistics.upstream_locality_stats.add()
        class_locality.load_metric_stats.add(
            metric_name=names.REQUESTS_METRIC, num_requests_finished_with_metric=requests
        )
        class_locality.load_metric_stats.add(
            metric_name=names.FAILED_REQUESTS_METRIC, num_requests_finished_with_metric=failures
        )
    encoded: bytes = request.SerializeToString()
    return encoded


def decode_report(data: bytes) -> LoadReport:
    """Raises LoadFault."""
    request = lrs_pb2.LoadStatsRequest()
    try:
        request.ParseFromString(data)
    except DecodeError as error:
        raise LoadReportError(f"not a LoadStatsRequest: {error}") from None
    report = LoadReport(request.node.id, request.node.locality.zone, 0.0)
    for cluster_statistics in request.cluster_stats:
        report.window = max(
            report.window, cluster_statistics.load_report_interval.ToNanoseconds() / 1e9
        )
        if traffic_class := names.traffic_class_of(cluster_statistics.cluster_name):
            _decode_locality_statistics(report, traffic_class, cluster_statistics)
            continue
        for locality in cluster_statistics.upstream_locality_stats:
            for entry in locality.upstream_endpoint_stats:
                _decode_worker_statistics(report, entry)
            metrics = {
                metric.metric_name: metric.num_requests_finished_with_metric
                for metric in locality.load_metric_stats
            }
            if names.REQUESTS_METRIC in metrics:
                report.traffic_classes[cluster_statistics.cluster_name] = (
                    metrics[names.REQUESTS_METRIC],
                    metrics.get(names.FAILED_REQUESTS_METRIC, 0),
                )
    return report


def _decode_locality_statistics(
    report: LoadReport, traffic_class: str, cluster_statistics: load_report_pb2.ClusterStats
) -> None:
    """A plain gRPC client's sums: a locality is a worker, and no time is told."""
    requests = cluster_statistics.total_dropped_requests
    total_failures = 0
    for locality in cluster_statistics.upstream_locality_stats:
        successes = locality.total_successful_requests
        failures = locality.total_error_requests
        if locality.locality.sub_zone:
            statistics = report.workers.setdefault(locality.locality.sub_zone, WorkerStatistics())
            statistics.attempts += successes + failures
            statistics.failed += failures
            statistics.untimed_successes += successes
        requests = requests + successes + failures
        total_failures = total_failures + failures
    previous = report.traffic_classes.get(traffic_class, (0, 0))
    report.traffic_classes[traffic_class] = (
        previous[0] + requests,
        previous[1] + total_failures + cluster_statistics.total_dropped_requests,
    )


def _decode_worker_statistics(
    report: LoadReport, entry: load_report_pb2.UpstreamEndpointStats
) -> None:
    address = entry.address.socket_address
    statistics = report.workers.setdefault(
        f"{address.address}:{address.port_value}", WorkerStatistics()
    )
    statistics.attempts += entry.total_issued_requests
    statistics.failed += entry.total_error_requests
    for metric in entry.load_metric_stats:
        if metric.metric_name == names.SUCCESS_LATENCY_METRIC:
            statistics.total_latency += metric.total_metric_value
        elif metric.metric_name.startswith(names.LOAD_METRIC_PREFIX):
            statistics.load_metrics[metric.metric_name.removeprefix(names.LOAD_METRIC_PREFIX)] = (
                metric.total_metric_value
            )


def encode_response(interval: float) -> bytes:
    """The server's word: report everything, every so many seconds."""
    response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    response.load_reporting_interval.FromNanoseconds(round(interval * 1e9))
    encoded: bytes = response.SerializeToString()
    return encoded


def decode_response(data: bytes) -> float:
    """Seconds between reports."""
    response = lrs_pb2.LoadStatsResponse()
    try:
        response.ParseFromString(data)
    except DecodeError as error:
        raise LoadReportError(f"not a LoadStatsResponse: {error}") from None
    return max(response.load_reporting_interval.ToNanoseconds() / 1e9, 0.05)
