"""Types for values that other processes send, with their bounds, and a JSON decoder that uses them.

A value outside its bounds fails the decoding of the message that holds it. Arithmetic on values
within the bounds neither overflows nor produces a NaN.
"""

import json
from collections.abc import Callable, Mapping
from itertools import islice
from typing import Annotated, Any, Generic, TypeVar

import msgspec
from msgspec import Meta

from dunlinlug.errors import DunlinlugError

MAX_METRICS = 64  # metrics in one load report
MAX_NAME_LENGTH = 128
MAX_METRIC = 1e15  # a metric may be a number of bytes

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Host = Annotated[str, Meta(min_length=1, max_length=255)]  # a DNS name or an address
Port = Annotated[int, Meta(ge=0, lt=2**16)]
Uint16 = Annotated[int, Meta(ge=0, lt=2**16)]
Count = Annotated[int, Meta(ge=0, le=10**7)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
# The limit of ten minutes exceeds every duration that peers measure.
Milliseconds = Annotated[float, Meta(ge=0.0, le=600_000.0)]
UnixSeconds = Annotated[float, Meta(ge=0.0, le=1e11)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]
# Of a proxy that had no manager for days.
ReportedCount = Annotated[int, Meta(ge=0, le=10**12)]
ReportedSeconds = Annotated[float, Meta(ge=0.0, le=1e15)]  # summed over that many attempts
MetricValue = Annotated[float, Meta(ge=0.0, le=MAX_METRIC)]
# A node or a resource of xDS; longer than any name of a certificate.
XdsName = Annotated[str, Meta(max_length=512)]
LoadMetrics = Annotated[dict[Name, MetricValue], Meta(max_length=MAX_METRICS)]

Value = TypeVar("Value")


class OutOfBoundsError(DunlinlugError, ValueError):
    """A received value of another type than expected or outside its bounds, or not JSON at all."""


class JsonDecoder(Generic[Value]):
    """Decodes JSON bytes to a bounded type."""

    def __init__(self, value_type: Any) -> None:
        self._decoder = msgspec.json.Decoder(value_type)

    def decode(self, data: bytes) -> Value:
        """Return the value. Raises OutOfBoundsError, whatever the bytes."""
        try:
            value: Value = self._decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise OutOfBoundsError(str(error)) from None
        return value


def decode_msgpack(data: bytes, value_type: Any) -> Any:
    """Decode msgpack bytes to a bounded type. Raises OutOfBoundsError, whatever the bytes."""
    try:
        return msgspec.msgpack.decode(data, type=value_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise OutOfBoundsError(str(error)) from None


def require_bounds(value: object, value_type: Any) -> Any:
    """Convert a value that was decoded by other means to a bounded type.

    Raises:
        OutOfBoundsError: The value is not of the type, or a part of it is outside its bounds.
    """
    try:
        return msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        raise OutOfBoundsError(str(error)) from None


def parse_json(
    data: bytes | str,
    object_pairs_hook: Callable[[list[tuple[str, Any]]], Any] | None = None,
) -> Any:
    """Return the plain values of a JSON text, of any type and size.

    Raises:
        OutOfBoundsError: Not JSON, nested too deeply, or a number with too many digits.
        DunlinlugError: One that `object_pairs_hook` raises.
    """
    try:
        return json.loads(data, object_pairs_hook=object_pairs_hook)
    except DunlinlugError:
        raise
    except (ValueError, RecursionError) as error:
        raise OutOfBoundsError(str(error)) from None


def metrics_within_bounds(metrics: Mapping[str, float]) -> dict[str, float]:
    """Return the metrics that are within the bounds of `LoadMetrics`, as many as it may have."""
    valid = (
        (name, value)
        for name, value in metrics.items()
        if 0 < len(name) <= MAX_NAME_LENGTH and 0.0 <= value <= MAX_METRIC
    )
    return dict(islice(valid, MAX_METRICS))
