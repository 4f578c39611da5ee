"""Names used in xDS messages; `docs/protocol.md` documents the extensions."""

ENDPOINTS_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES_TYPE = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
LISTENERS_TYPE = "type.googleapis.com/envoy.config.listener.v3.Listener"
CLUSTERS_TYPE = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

DELTA_ADS_METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
STATE_OF_THE_WORLD_ADS_METHOD = (
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
)
# Methods of the state-of-the-world form with a stream for each type.
SINGLE_TYPE_METHODS = {
    "/envoy.service.listener.v3.ListenerDiscoveryService/StreamListeners": LISTENERS_TYPE,
    "/envoy.service.route.v3.RouteDiscoveryService/StreamRoutes": ROUTES_TYPE,
    "/envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters": CLUSTERS_TYPE,
    "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints": ENDPOINTS_TYPE,
}
LRS_METHOD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"

# The ClusterLoadAssignment whose endpoints are ejected from every table.
EJECTIONS_RESOURCE = "out"
ROUTES_RESOURCE = "routes"  # the only RouteConfiguration of a proxy
# Client feature: the proxy applies the ejections resource to all its tables.
EJECTION_OVERLAY_FEATURE = "dunlinlug.out"
NOT_EXECUTED_HEADER = "x-never-ran"  # response header: the request was not executed
PREVIOUS_HOSTS_PREDICATE = "envoy.retry_host_predicates.previous_hosts"

# Keys of a node's metadata: the requests per second that it expects, and the highest term it saw.
REQUEST_RATE_KEY = "txns_per_s"
TERM_KEY = "term"

# Load metrics by traffic class, reported by a proxy.
REQUESTS_METRIC = "dunlinlug.txns"
FAILED_REQUESTS_METRIC = "dunlinlug.txns_voided"
# Load metric by worker: seconds, summed over successful attempts.
SUCCESS_LATENCY_METRIC = "dunlinlug.settle_s"
LOAD_METRIC_PREFIX = "dunlinlug.load."  # prefix of the metrics that a worker reports itself


def cluster_name(table: str, traffic_class: str) -> str:
    """Return the cluster name of one traffic class in the state-of-the-world form.

    Each class has a separate cluster, so that its drop policy applies to that class only.
    """
    return f"{table}/{traffic_class}"


def traffic_class_of(cluster: str) -> str:
    """Return the traffic class in a name made by `cluster_name`; empty for other names."""
    segments = cluster.split("/", 2)
    return segments[2] if len(segments) == 3 else ""


def table_name(epoch: int, number: int) -> str:
    """Return a table's resource name; the epoch distinguishes it from tables before a restart."""
    return f"{epoch}/{number}"
