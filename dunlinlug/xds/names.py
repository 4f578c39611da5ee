"""Names on the xDS wire, each in one place; `docs/protocol.md` tells what each extension means."""

ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
LISTENERS = "type.googleapis.com/envoy.config.listener.v3.Listener"
CLUSTERS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
FULL = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
APART = {  # the full form on a stream for each type
    "/envoy.service.listener.v3.ListenerDiscoveryService/StreamListeners": LISTENERS,
    "/envoy.service.route.v3.RouteDiscoveryService/StreamRoutes": ROUTES,
    "/envoy.service.cluster.v3.ClusterDiscoveryService/StreamClusters": CLUSTERS,
    "/envoy.service.endpoint.v3.EndpointDiscoveryService/StreamEndpoints": ENDPOINTS,
}
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"

OUT = "out"  # the ClusterLoadAssignment whose endpoints are withdrawn from every table
ROUTE = "routes"  # the one RouteConfiguration of each proxy
OVERLAY = "dunlinlug.out"  # client feature: the proxy applies OUT over all its tables
NEVER_RAN = "x-never-ran"  # response header: proof that a txn was not begun
OTHER_HOST = "envoy.retry_host_predicates.previous_hosts"

TXNS, TXNS_VOIDED = (
    "dunlinlug.txns",
    "dunlinlug.txns_voided",
)  # load metrics by product, from a proxy
SETTLE_S = "dunlinlug.settle_s"  # load metric by worker: seconds, summed over settled tries
LOAD = "dunlinlug.load."  # prefix of a worker's own load report


def cluster_name(table: str, product: str) -> str:
    """What a client of the full form goes by: a table for one product alone, so that drops are that product's."""
    return f"{table}/{product}"


def product_of(cluster: str) -> str:
    """The product of such a name; empty if it is none."""
    parts = cluster.split("/", 2)
    return parts[2] if len(parts) == 3 else ""


def table_name(epoch: int, number: int) -> str:
    """A table's resource name; the epoch keeps a restarted manager's numbers apart from its former ones."""
    return f"{epoch}/{number}"
