"""Names on the xDS wire, each in one place; `docs/protocol.md` tells what each extension means."""

ENDPOINTS_TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES_TYPE = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
LISTENERS_TYPE = "type.googleapis.com/envoy.config.listener.v3.Listener"
CLUSTERS_TYPE = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

DELTA_ADS_METHOD = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
STATE_OF_THE_WORLD_ADS_METHOD = (
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
)
SINGLE_TYPE_METHODS = {  # the full form on a stream for each type
    "/envoy.service.listener.v3.ListenerDiscoveryService/StreamListeners": LISTENERS_TYPE,
    "/envoy.service.route.v3.RouteDiscoveryService/StreamRoutes": ROUTES_TYPE,
    "/envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters": CLUSTERS_TYPE,
    "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints": ENDPOINTS_TYPE,
}
LRS_METHOD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"

# the ClusterLoadAssignment whose endpoints are withdrawn from every table
EJECTIONS_RESOURCE = "out"
ROUTES_RESOURCE = "routes"  # the one RouteConfiguration of each proxy
# client feature: the proxy applies OUT over all its tables
EJECTION_OVERLAY_FEATURE = "dunlinlug.out"
NOT_EXECUTED_HEADER = "x-never-ran"  # response header: proof that a txn was not begun
PREVIOUS_HOSTS_PREDICATE = "envoy.retry_host_predicates.previous_hosts"

# load metrics by product, from a proxy
REQUESTS_METRIC = "dunlinlug.txns"
FAILED_REQUESTS_METRIC = "dunlinlug.txns_voided"
# load metric by worker: seconds, summed over settled tries
SUCCESS_LATENCY_METRIC = "dunlinlug.settle_s"
LOAD_METRIC_PREFIX = "dunlinlug.load."  # prefix of a worker's own load report


def cluster_name(table: str, traffic_class: str) -> str:
    """What a client of the full form goes by: a table for one product alone, so that drops are that
    product's.
    """
    return f"{table}/{traffic_class}"


def traffic_class_of(cluster: str) -> str:
    """The product of such a name; empty if it is none."""
    segments = cluster.split("/", 2)
    return segments[2] if len(segments) == 3 else ""


def table_name(epoch: int, number: int) -> str:
    """A table's resource name; the epoch keeps a restarted manager's numbers apart from its former
    ones.
    """
    return f"{epoch}/{number}"
