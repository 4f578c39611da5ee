"""The proxy's side of delta ADS: an invalid response is rejected and changes nothing."""

import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.xds import encoding, names
from dunlinlug.xds.stream import ResponseRejected, UnacknowledgedResponse
from tests.fixtures.proxy_stream import StreamedProxy

WORKERS = ["127.0.0.1:7000", "127.0.0.1:7001"]


def invalid_response(defect: str) -> discovery_pb2.DeltaDiscoveryResponse:
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=names.ENDPOINTS_TYPE, nonce="7")
    resource = response.resources.add(name="1/1", version="x")
    table = endpoint_pb2.ClusterLoadAssignment(cluster_name="1/1")
    for _ in range(2 if defect == "duplicate worker" else 1):
        entry = table.endpoints.add().lb_endpoints.add()
        entry.endpoint.address.socket_address.address = "127.0.0.1"
        entry.endpoint.address.socket_address.port_value = 70_000 if defect == "port" else 9
        entry.load_balancing_weight.value = 0 if defect == "no weight" else 5
    if defect in ("fraction", "denominator"):
        # A negative fraction admitted nothing, an unknown denominator raised an IndexError.
        drop = table.policy.drop_overloads.add(category="read").drop_percentage
        drop.numerator = 101
        drop.denominator = 0 if defect == "fraction" else 7
    resource.resource.value = (
        b"\xff\xff" if defect == "not a message" else table.SerializeToString()
    )
    if defect == "unknown table":
        response.type_url = names.ROUTES_TYPE
        route = encoding.Route("read", "4/4", encoding.RetryPolicy(0))
        response.resources[0].ParseFromString(encoding.encode_routes((route,)).encoded)
    if defect == "table in use":
        del response.resources[:]
        response.removed_resources.append("1/1")
    return response


@pytest.mark.parametrize(
    ("defect", "reason"),
    [
        ("duplicate worker", "named twice"),
        ("no weight", "no weight above 0"),
        ("unknown table", "which is not held"),
        ("not a message", "not a ClusterLoadAssignment"),
        ("table in use", "in use and cannot be taken away"),
        ("port", "port 70000"),
        ("fraction", "a fraction of 101 in 100"),
        ("denominator", "a fraction of 101 in None"),
    ],
)
def test_a_proxy_rejects_an_invalid_response_and_keeps_its_state(defect: str, reason: str) -> None:
    proxy = StreamedProxy(0)
    table = encoding.encode_table("1/1", {WORKERS[0]: 1.0, WORKERS[1]: 0.5}, {}, {"read": 0.5})
    route = encoding.Route("read", "1/1", encoding.RetryPolicy(1))
    proxy.enqueue(ResponseBatch({table.name: table}, encoding.encode_routes((route,))))
    proxy.apply_pending()
    before = (dict(proxy.state.tables), dict(proxy.state.routes))
    response = invalid_response(defect)
    proxy.stream.unacknowledged["7"] = UnacknowledgedResponse(response.type_url, (), ())
    answer, applied = proxy.subscriber.receive(response.SerializeToString())
    assert reason in applied.rejection_reason
    assert (proxy.state.tables, proxy.state.routes) == before
    events = proxy.stream.receive(answer)
    assert isinstance(events[0], ResponseRejected) and reason in events[0].reason
