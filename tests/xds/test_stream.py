"""The server's side of delta ADS: an invalid request ends its stream with the reason."""

import pytest
from envoy.service.discovery.v3 import discovery_pb2

from dunlinlug.xds import names
from dunlinlug.xds.stream import DeltaStream, StreamProtocolError


def test_a_stream_that_does_not_follow_the_protocol_is_ended_with_the_reason() -> None:
    nameless = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE).SerializeToString()
    for data, reason in [
        (b"\xff\xff\xff", "not a DeltaDiscoveryRequest"),
        (nameless, "name its node"),
    ]:
        with pytest.raises(StreamProtocolError, match=reason):
            DeltaStream().receive(data)
    request = discovery_pb2.DeltaDiscoveryRequest(type_url="type.googleapis.com/other")
    request.node.id = "p"
    with pytest.raises(StreamProtocolError, match="is not served"):
        DeltaStream().receive(request.SerializeToString())


def test_a_stream_that_names_too_many_resources_is_ended() -> None:
    for field in ("subscribe", "held"):
        stream = DeltaStream()
        with pytest.raises(StreamProtocolError, match="more than 10000 resource names"):
            for batch in range(3):
                request = discovery_pb2.DeltaDiscoveryRequest(type_url=names.ROUTES_TYPE)
                request.node.id = "p"
                for number in range(4000):
                    if field == "held":
                        request.initial_resource_versions[f"{batch}/{number}"] = "1"
                    else:
                        request.resource_names_subscribe.append(f"{batch}/{number}")
                stream.receive(request.SerializeToString())
