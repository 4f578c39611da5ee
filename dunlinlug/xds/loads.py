"""Load reports (LRS): a proxy's sums to `LoadStatsRequest` and back to the module's events."""

from dataclasses import dataclass, field

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from dunlinlug.xds import names


class LoadFault(Exception):
    """Not a load report as agreed."""


@dataclass
class AtWorker:
    """A proxy's tries at a worker over a span: `took` sums the seconds of the settled ones, less `untimed` ones whose
    time is not told."""

    tries: int = 0
    voided: int = 0
    took: float = 0.0
    load: dict[str, float] = field(default_factory=dict)
    untimed: int = 0


@dataclass
class Loads:
    """What a proxy met over a span: by worker, and by product the txns that came and those voided."""

    node: str
    zone: str
    span: float
    workers: dict[str, AtWorker] = field(default_factory=dict)
    products: dict[str, tuple[int, int]] = field(default_factory=dict)


def write(loads: Loads, greeting: bool) -> bytes:
    """One report; the first of a stream names its node."""
    made = lrs_pb2.LoadStatsRequest()
    made.node.id, made.node.locality.zone = loads.node, loads.zone
    if greeting:
        made.node.user_agent_name = "dunlinlug"
    met = made.cluster_stats.add(cluster_name="workers")
    met.load_report_interval.FromNanoseconds(round(loads.span * 1e9))
    group = met.upstream_locality_stats.add()
    for worker, at in loads.workers.items():
        entry = group.upstream_endpoint_stats.add(
            total_issued_requests=at.tries,
            total_error_requests=at.voided,
            total_successful_requests=at.tries - at.voided,
        )
        host, _, port = worker.rpartition(":")
        entry.address.socket_address.address = host
        entry.address.socket_address.port_value = int(port)
        entry.load_metric_stats.add(
            metric_name=names.SETTLE_S,
            total_metric_value=at.took,
            num_requests_finished_with_metric=at.tries - at.voided,
        )
        for name, value in at.load.items():
            entry.load_metric_stats.add(
                metric_name=names.LOAD + name,
                total_metric_value=value,
                num_requests_finished_with_metric=1,
            )
    for product, (txns, voided) in loads.products.items():
        stats = made.cluster_stats.add(cluster_name=product)
        stats.load_report_interval.FromNanoseconds(round(loads.span * 1e9))
        own = stats.upstream_locality_stats.add()
        own.load_metric_stats.add(metric_name=names.TXNS, num_requests_finished_with_metric=txns)
        own.load_metric_stats.add(
            metric_name=names.TXNS_VOIDED, num_requests_finished_with_metric=voided
        )
    whole: bytes = made.SerializeToString()
    return whole


def read(data: bytes) -> Loads:
    """Raises LoadFault."""
    made = lrs_pb2.LoadStatsRequest()
    try:
        made.ParseFromString(data)
    except DecodeError as error:
        raise LoadFault(f"not a LoadStatsRequest: {error}") from None
    loads = Loads(made.node.id, made.node.locality.zone, 0.0)
    for stats in made.cluster_stats:
        loads.span = max(loads.span, stats.load_report_interval.ToNanoseconds() / 1e9)
        if product := names.product_of(stats.cluster_name):
            _read_plain(loads, product, stats)
            continue
        for group in stats.upstream_locality_stats:
            for entry in group.upstream_endpoint_stats:
                _read_worker(loads, entry)
            sums = {
                m.metric_name: m.num_requests_finished_with_metric for m in group.load_metric_stats
            }
            if names.TXNS in sums:
                loads.products[stats.cluster_name] = (
                    sums[names.TXNS],
                    sums.get(names.TXNS_VOIDED, 0),
                )
    return loads


def _read_plain(loads: Loads, product: str, stats: load_report_pb2.ClusterStats) -> None:
    """A plain gRPC client's sums: a locality is a worker, and no time is told."""
    came, failed = stats.total_dropped_requests, 0
    for group in stats.upstream_locality_stats:
        settled, voided = group.total_successful_requests, group.total_error_requests
        if group.locality.sub_zone:
            at = loads.workers.setdefault(group.locality.sub_zone, AtWorker())
            at.tries += settled + voided
            at.voided += voided
            at.untimed += settled
        came, failed = came + settled + voided, failed + voided
    before = loads.products.get(product, (0, 0))
    loads.products[product] = (before[0] + came, before[1] + failed + stats.total_dropped_requests)


def _read_worker(loads: Loads, entry: load_report_pb2.UpstreamEndpointStats) -> None:
    address = entry.address.socket_address
    at = loads.workers.setdefault(f"{address.address}:{address.port_value}", AtWorker())
    at.tries += entry.total_issued_requests
    at.voided += entry.total_error_requests
    for metric in entry.load_metric_stats:
        if metric.metric_name == names.SETTLE_S:
            at.took += metric.total_metric_value
        elif metric.metric_name.startswith(names.LOAD):
            at.load[metric.metric_name.removeprefix(names.LOAD)] = metric.total_metric_value


def answer(cycle: float) -> bytes:
    """The server's word: report everything, every so many seconds."""
    made = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    made.load_reporting_interval.FromNanoseconds(round(cycle * 1e9))
    whole: bytes = made.SerializeToString()
    return whole


def read_answer(data: bytes) -> float:
    """Seconds between reports."""
    made = lrs_pb2.LoadStatsResponse()
    try:
        made.ParseFromString(data)
    except DecodeError as error:
        raise LoadFault(f"not a LoadStatsResponse: {error}") from None
    return max(made.load_reporting_interval.ToNanoseconds() / 1e9, 0.05)
