"""The node of a stream's first request, within bounds.

A stream keeps the fields for as long as it is open, so that they must be small, and the decision
module calculates with the numbers.
"""

from typing import Annotated, Any

import msgspec
from envoy.config.core.v3 import base_pb2
from google.protobuf.json_format import MessageToDict, SerializeToJsonError
from msgspec import Meta

from dunlinlug.bounded_values import Amount, OutOfBoundsError, XdsName, require_bounds
from dunlinlug.xds import names
from dunlinlug.xds.fencing_term import MAX_REPORTED_TERM

MAX_FEATURES = 256
MAX_METADATA_BYTES = 2**14

Term = Annotated[float, Meta(ge=0.0, le=float(MAX_REPORTED_TERM))]


class ProxyNode(msgspec.Struct, frozen=True):
    """A proxy as it names itself: its expected request rate (0 if unknown) and highest term seen.

    `metadata` has all values of the node's metadata, the rate and the term among them.
    """

    node_id: Annotated[XdsName, Meta(min_length=1)]
    zone: XdsName
    features: Annotated[frozenset[XdsName], Meta(max_length=MAX_FEATURES)]
    request_rate: Amount
    reported_term: Term
    metadata: dict[str, Any]


def decode_node(node: base_pb2.Node) -> ProxyNode:
    """Return the fields that are used. Raises OutOfBoundsError."""
    plain_node = {
        "node_id": node.id,
        "zone": node.locality.zone,
        "features": list(node.client_features),
        "request_rate": _number(node, names.REQUEST_RATE_KEY),
        "reported_term": _number(node, names.TERM_KEY),
        "metadata": _metadata(node),
    }
    decoded: ProxyNode = require_bounds(plain_node, ProxyNode)
    return decoded


def _metadata(node: base_pb2.Node) -> dict[str, Any]:
    if node.metadata.ByteSize() > MAX_METADATA_BYTES:
        raise OutOfBoundsError(f"metadata of more than {MAX_METADATA_BYTES} bytes")
    try:
        metadata: dict[str, Any] = MessageToDict(node.metadata)
    except (SerializeToJsonError, ValueError) as error:  # a number that JSON does not have
        raise OutOfBoundsError(f"metadata: {error}") from None
    return metadata


def _number(node: base_pb2.Node, key: str) -> float:
    """Return a number of the node's metadata; 0 if there is none under this key."""
    if key not in node.metadata.fields:
        return 0.0
    number: float = node.metadata.fields[key].number_value
    return number
