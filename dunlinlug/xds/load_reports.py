"""Encodes and decodes load reports (LRS), which contain the attempts observed by a proxy."""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError
from msgspec import Meta

from dunlinlug.bounded_values import (
    LoadMetrics,
    OutOfBoundsError,
    ReportedCount,
    ReportedSeconds,
    Seconds,
    XdsName,
    require_bounds,
)
from dunlinlug.errors import DunlinlugError
from dunlinlug.xds import names

MIN_REPORT_INTERVAL = 0.05  # seconds; used in place of a shorter requested interval
MAX_REPORT_INTERVAL = 60.0  # seconds; used in place of a longer one
MAX_REPORTED_WORKERS = 10_000  # workers in one report
MAX_REPORTED_CLASSES = 1_000  # traffic classes in one report
# Clusters, localities, endpoints and metrics in one report; an empty one takes two bytes.
MAX_REPORT_ELEMENTS = 50_000


class LoadReportError(DunlinlugError):
    """A message that is not valid in LRS."""


@dataclass
class WorkerStatistics:
    """A proxy's attempts at one worker over the window of a report.

    Attributes:
        attempts: Number of all attempts.
        failed: Number of attempts that did not succeed.
        total_latency: Seconds, summed over successful attempts except `untimed_successes`.
        load_metrics: Load reported by the worker itself, by metric.
        untimed_successes: Number of successful attempts of clients that report no latency.
    """

    attempts: ReportedCount = 0
    failed: ReportedCount = 0
    total_latency: ReportedSeconds = 0.0
    load_metrics: LoadMetrics = field(default_factory=dict)
    untimed_successes: ReportedCount = 0


@dataclass
class LoadReport:
    """The attempts and requests observed by a proxy during `window` seconds.

    Attributes:
        node_id: The proxy's name.
        zone: The proxy's zone.
        window: Seconds since the last report.
        workers: Statistics by worker (`host:port`).
        traffic_classes: Number of requests and of failed requests, by traffic class.
    """

    node_id: XdsName
    zone: XdsName
    window: Seconds
    workers: Annotated[dict[XdsName, WorkerStatistics], Meta(max_length=MAX_REPORTED_WORKERS)] = (
        field(default_factory=dict)
    )
    traffic_classes: Annotated[
        dict[XdsName, tuple[ReportedCount, ReportedCount]], Meta(max_length=MAX_REPORTED_CLASSES)
    ] = field(default_factory=dict)


def encode_report(report: LoadReport, is_first: bool) -> bytes:
    """Encode one report; the first of a stream contains the user agent name."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = report.node_id
    request.node.locality.zone = report.zone
    if is_first:
        request.node.user_agent_name = "dunlinlug"
    window = round(report.window * 1e9)
    worker_statistics = request.cluster_stats.add(cluster_name="workers")
    worker_statistics.load_report_interval.FromNanoseconds(window)
    _encode_workers(report, worker_statistics.upstream_locality_stats.add())
    for traffic_class, (requests, failures) in report.traffic_classes.items():
        class_statistics = request.cluster_stats.add(cluster_name=traffic_class)
        class_statistics.load_report_interval.FromNanoseconds(window)
        class_locality = class_statistics.upstream_locality_stats.add()
        class_locality.load_metric_stats.add(
            metric_name=names.REQUESTS_METRIC, num_requests_finished_with_metric=requests
        )
        class_locality.load_metric_stats.add(
            metric_name=names.FAILED_REQUESTS_METRIC, num_requests_finished_with_metric=failures
        )
    encoded: bytes = request.SerializeToString()
    return encoded


def _encode_workers(report: LoadReport, locality: load_report_pb2.UpstreamLocalityStats) -> None:
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


def decode_report(data: bytes) -> LoadReport:
    """Decode a report of a dunlinlug client or of a plain gRPC client.

    Raises:
        LoadReportError: `data` is not a `LoadStatsRequest`, it has too many elements, or a value is
            out of bounds.
    """
    request = lrs_pb2.LoadStatsRequest()
    try:
        request.ParseFromString(data)
    except DecodeError as error:
        raise LoadReportError(f"not a LoadStatsRequest: {error}") from None
    _require_element_count(request)
    report = LoadReport(request.node.id, request.node.locality.zone, 0.0)
    for cluster_statistics in request.cluster_stats:
        report.window = max(
            report.window, cluster_statistics.load_report_interval.ToNanoseconds() / 1e9
        )
        traffic_class = names.traffic_class_of(cluster_statistics.cluster_name)
        if traffic_class:
            _decode_locality_statistics(report, traffic_class, cluster_statistics)
            continue
        for locality in cluster_statistics.upstream_locality_stats:
            _decode_endpoint_statistics(report, cluster_statistics.cluster_name, locality)
    _require_report_bounds(report)
    return report


def _require_element_count(request: lrs_pb2.LoadStatsRequest) -> None:
    """Raise LoadReportError if a request has too many elements to be decoded in one go."""
    count = len(request.cluster_stats)
    clusters = request.cluster_stats if count <= MAX_REPORT_ELEMENTS else ()
    for cluster_statistics in clusters:
        count += len(cluster_statistics.upstream_locality_stats)
        if count > MAX_REPORT_ELEMENTS:
            break
        for locality in cluster_statistics.upstream_locality_stats:
            count += len(locality.load_metric_stats) + len(locality.upstream_endpoint_stats)
            if count > MAX_REPORT_ELEMENTS:
                break
            count += sum(len(entry.load_metric_stats) for entry in locality.upstream_endpoint_stats)
    if count > MAX_REPORT_ELEMENTS:
        raise LoadReportError(f"more than {MAX_REPORT_ELEMENTS} elements")


def _require_report_bounds(report: LoadReport) -> None:
    """Raise LoadReportError if a value of the report is out of bounds.

    The fields of a protobuf message have no bounds: a double may be a NaN, and a duration negative.
    """
    try:
        require_bounds(msgspec.to_builtins(report), LoadReport)
    except OutOfBoundsError as error:
        raise LoadReportError(f"a value is out of bounds: {error}") from None


def _decode_endpoint_statistics(
    report: LoadReport, cluster_name: str, locality: load_report_pb2.UpstreamLocalityStats
) -> None:
    """Add a dunlinlug client's report: workers as endpoints, requests of a class as metrics."""
    for entry in locality.upstream_endpoint_stats:
        _decode_worker_statistics(report, entry)
    metrics = {
        metric.metric_name: metric.num_requests_finished_with_metric
        for metric in locality.load_metric_stats
    }
    if names.REQUESTS_METRIC in metrics:
        report.traffic_classes[cluster_name] = (
            metrics[names.REQUESTS_METRIC],
            metrics.get(names.FAILED_REQUESTS_METRIC, 0),
        )


def _decode_locality_statistics(
    report: LoadReport, traffic_class: str, cluster_statistics: load_report_pb2.ClusterStats
) -> None:
    """Add a plain gRPC client's report: each locality is a worker, and there is no latency."""
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
        requests += successes + failures
        total_failures += failures
    previous_requests, previous_failures = report.traffic_classes.get(traffic_class, (0, 0))
    report.traffic_classes[traffic_class] = (
        previous_requests + requests,
        previous_failures + total_failures + cluster_statistics.total_dropped_requests,
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
            name = metric.metric_name.removeprefix(names.LOAD_METRIC_PREFIX)
            statistics.load_metrics[name] = metric.total_metric_value


def encode_response(interval: float) -> bytes:
    """Encode the server's response, which requests a full report every `interval` seconds."""
    response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    response.load_reporting_interval.FromNanoseconds(round(interval * 1e9))
    encoded: bytes = response.SerializeToString()
    return encoded


def decode_response(data: bytes) -> float:
    """Decode the server's response; returns the seconds between reports.

    Raises:
        LoadReportError: `data` is not a `LoadStatsResponse`.
    """
    response = lrs_pb2.LoadStatsResponse()
    try:
        response.ParseFromString(data)
    except DecodeError as error:
        raise LoadReportError(f"not a LoadStatsResponse: {error}") from None
    interval = response.load_reporting_interval.ToNanoseconds() / 1e9
    return min(max(interval, MIN_REPORT_INTERVAL), MAX_REPORT_INTERVAL)
