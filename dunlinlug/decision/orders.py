"""What the decision module orders its host to do, in the order in which it takes effect.

Times are float seconds; table and acknowledgement numbers are the module's own.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class SetWeight:
    """Set one line of a table; weight 0 takes it away."""

    table_id: int
    worker: str
    weight: float


@dataclass(frozen=True)
class DeleteTable:
    table_id: int


@dataclass(frozen=True)
class AssignTable:
    """Send a proxy a whole table for some products, told by their places in `Trade.products`."""

    proxy: int
    traffic_classes: tuple[int, ...]
    table_id: int


@dataclass(frozen=True)
class SetEjected:
    worker: str
    ejected: bool


@dataclass(frozen=True)
class SetAdmission:
    """How much of a product a table lets in, and when its proxies try again (0 never to 3 twice)."""

    table_id: int
    traffic_class: int
    retry_policy: int
    admitted_fraction: float


@dataclass(frozen=True)
class RequestAcknowledgement:
    ack_number: int
    all_proxies: bool


@dataclass(frozen=True)
class WatchEndpoints:
    """Ask for the list's changes from now on."""

    enabled: bool = True


@dataclass(frozen=True)
class ListEndpoints:
    """Ask for the whole list once."""


@dataclass(frozen=True)
class CheckHealth:
    worker: str


@dataclass(frozen=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True)
class SendToPeers:
    peer: int | None
    payload: str


@dataclass(frozen=True)
class LogMessage:
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
