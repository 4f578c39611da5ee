"""The server's side of a state-of-the-world stream, without sockets."""

import pytest
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.xds import names, state_of_the_world
from dunlinlug.xds.stream import ResponseAcknowledged, ResponseRejected, StreamProtocolError
from tests.fixtures.discovery_requests import encode_request


def resources_of(
    table: str, *previous: str, weight: float = 1.0
) -> state_of_the_world.ResourcesByType:
    """All resources of one traffic class on `table`; clusters of `previous` tables remain."""
    resources: state_of_the_world.ResourcesByType = {
        type_url: {} for type_url in state_of_the_world.TYPE_ORDER
    }
    current_cluster = names.cluster_name(table, "book")
    resources[names.LISTENERS_TYPE]["book"] = state_of_the_world.encode_listener("book")
    resources[names.ROUTES_TYPE]["book"] = state_of_the_world.encode_routes("book", current_cluster)
    for cluster in [names.cluster_name(name, "book") for name in (*previous, table)]:
        resources[names.CLUSTERS_TYPE][cluster] = state_of_the_world.encode_cluster(cluster)
        resources[names.ENDPOINTS_TYPE][cluster] = state_of_the_world.encode_endpoints(
            cluster, {"10.0.0.1:80": weight}, {}, 1.0, ()
        )
    return resources


def pending(
    stream: state_of_the_world.StateOfTheWorldStream,
) -> dict[str, tuple[str, tuple[str, ...]]]:
    """The responses that are due: nonce and resource names by type."""
    responses = {}
    for response in stream.pending_responses():
        decoded = discovery_pb2.DiscoveryResponse.FromString(response.data)
        assert decoded.type_url == response.type_url
        responses[response.type_url] = (response.nonce, response.names)
    return responses


def converged_stream() -> state_of_the_world.StateOfTheWorldStream:
    """A stream whose client holds all resources of table 1/1."""
    stream = state_of_the_world.StateOfTheWorldStream()
    stream.resources = resources_of("1/1")
    for type_url, subscribed in (
        (names.LISTENERS_TYPE, ["book"]),
        (names.ROUTES_TYPE, ["book"]),
        (names.CLUSTERS_TYPE, ["1/1/book"]),
        (names.ENDPOINTS_TYPE, ["1/1/book"]),
    ):
        assert not stream.is_converged()
        stream.receive(encode_request(type_url, subscribed))
        nonce, resource_names = pending(stream)[type_url]
        assert list(resource_names) == subscribed
        stream.receive(encode_request(type_url, subscribed, nonce))
    assert stream.is_converged() and not pending(stream)
    return stream


def test_a_change_converges_only_once_the_endpoints_of_the_new_cluster_are_acknowledged() -> None:
    stream = converged_stream()
    stream.resources = resources_of("1/2", "1/1")
    due = pending(stream)
    assert set(due) == {names.ROUTES_TYPE} and not stream.is_converged(), (
        "the client has not yet subscribed to the new cluster"
    )
    stream.receive(encode_request(names.ROUTES_TYPE, ["book"], due[names.ROUTES_TYPE][0]))
    for type_url in (names.CLUSTERS_TYPE, names.ENDPOINTS_TYPE):
        stream.receive(encode_request(type_url, ["1/1/book", "1/2/book"]))
        nonce, resource_names = pending(stream)[type_url]
        assert resource_names == ("1/1/book", "1/2/book") and not stream.is_converged()
        stream.receive(encode_request(type_url, ["1/2/book"], nonce))
    assert stream.is_converged()


def test_an_answer_to_an_earlier_response_does_not_clear_a_rejection() -> None:
    stream = converged_stream()
    stream.resources = resources_of("1/1", weight=2.0)
    first = pending(stream)[names.ENDPOINTS_TYPE][0]
    stream.resources = resources_of("1/1", weight=3.0)
    second = pending(stream)[names.ENDPOINTS_TYPE][0]
    assert stream.receive(encode_request(names.ENDPOINTS_TYPE, ["1/1/book"], second, "no")) == [
        ResponseRejected(second, "no")
    ]
    assert (
        stream.receive(encode_request(names.ENDPOINTS_TYPE, ["1/1/book"], first)) == []
        and not stream.is_converged()
    )
    assert not pending(stream), "rejected resources are not sent again"
    stream.resources = resources_of("1/1", weight=4.0)
    third = pending(stream)[names.ENDPOINTS_TYPE][0]
    assert (
        stream.receive(encode_request(names.ENDPOINTS_TYPE, ["1/1/book"], third))
        == [ResponseAcknowledged(third)]
        and stream.is_converged()
    )


def test_an_answer_to_an_earlier_response_does_not_change_the_subscription() -> None:
    stream = converged_stream()
    stream.resources = resources_of("1/1", weight=2.0)
    old = pending(stream)[names.ENDPOINTS_TYPE][0]
    stream.resources = resources_of("1/1", weight=3.0)
    new = pending(stream)[names.ENDPOINTS_TYPE][0]
    stream.receive(encode_request(names.ENDPOINTS_TYPE, [], old))
    assert stream.subscribed[names.ENDPOINTS_TYPE] == {"1/1/book"}, (
        "an answer to a superseded response is ignored"
    )
    stream.receive(encode_request(names.ENDPOINTS_TYPE, ["1/1/book"], new))
    assert stream.is_converged()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff", "not a DiscoveryRequest"),
        (encode_request("type.googleapis.com/x", []), "is not served"),
        (encode_request(names.CLUSTERS_TYPE, ["x"] * 10_001), "more than"),
        (
            discovery_pb2.DiscoveryRequest(type_url=names.CLUSTERS_TYPE).SerializeToString(),
            "must name its node",
        ),
    ],
)
def test_an_invalid_request_ends_the_stream_with_the_reason(data: bytes, reason: str) -> None:
    with pytest.raises(StreamProtocolError, match=reason):
        state_of_the_world.StateOfTheWorldStream().receive(data)
