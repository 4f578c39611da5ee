"""Orders from the decision module to its host, which take effect in the sequence returned.

Times are floats in seconds. Table and acknowledgement numbers are assigned by the decision module.
A traffic class is given as its index in `ManagerSettings.traffic_classes`.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class SetWeight:
    """Set a table entry of an endpoint, creating the table if needed; weight 0 removes it."""

    table_id: int
    worker: str
    weight: float


@dataclass(frozen=True)
class DeleteTable:
    """Delete a table that no proxy uses."""

    table_id: int


@dataclass(frozen=True)
class AssignTable:
    """Send a proxy a full table and assign the proxy to it for these classes."""

    proxy: int
    traffic_classes: tuple[int, ...]
    table_id: int


@dataclass(frozen=True)
class SetEjected:
    """Start or end an ejection: no proxy may use an ejected endpoint, even if tables contain it."""

    worker: str
    ejected: bool


@dataclass(frozen=True)
class SetAdmission:
    """Set a class's admission level and retry policy, 0 (never) to 3 (twice), in a table."""

    table_id: int
    traffic_class: int
    retry_policy: int
    admitted_fraction: float


@dataclass(frozen=True)
class RequestAcknowledgement:
    """Request an acknowledgement from the proxies that this reply is sent to, or from all."""

    ack_number: int
    all_proxies: bool


@dataclass(frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""

    enabled: bool = True


@dataclass(frozen=True)
class ListEndpoints:
    """Request the full endpoint list once."""


@dataclass(frozen=True)
class CheckHealth:
    """Run one health check of an endpoint."""

    worker: str


@dataclass(frozen=True)
class SetTimer:
    """Send a `TimerFired` event with this token after `delay` seconds."""

    delay: float
    token: int


@dataclass(frozen=True)
class SendToPeers:
    """Send a message to the decision module of one other manager, or of all if `peer` is None."""

    peer: int | None
    payload: str


@dataclass(frozen=True)
class LogMessage:
    """Write a message to the log."""

    text: str


Order = (
    SetWeight
    | DeleteTable
    | AssignTable
    | SetEjected
    | SetAdmission
    | RequestAcknowledgement
    | WatchEndpoints
    | ListEndpoints
    | CheckHealth
    | SetTimer
    | SendToPeers
    | LogMessage
)
