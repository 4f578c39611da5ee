"""What the decision module orders its host to do, in the order in which it takes effect.

Times are float seconds; table and acknowledgement numbers are the module's own. A traffic class is
its index in `ManagerSettings.traffic_classes`.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class SetWeight:
    """Set an endpoint's entry in a table, which it creates; weight 0 takes the entry away."""

    table_id: int
    worker: str
    weight: float


@dataclass(frozen=True)
class DeleteTable:
    """Delete a table that no proxy uses."""

    table_id: int


@dataclass(frozen=True)
class AssignTable:
    """Send a proxy a whole table, to be used for these classes."""

    proxy: int
    traffic_classes: tuple[int, ...]
    table_id: int


@dataclass(frozen=True)
class SetEjected:
    """Have all proxies stop using an endpoint at once, whatever their tables say, or end that."""

    worker: str
    ejected: bool


@dataclass(frozen=True)
class SetAdmission:
    """Set how much of a class a table admits, and when its proxies retry (0 never to 3 twice)."""

    table_id: int
    traffic_class: int
    retry_policy: int
    admitted_fraction: float


@dataclass(frozen=True)
class RequestAcknowledgement:
    """Ask the proxies that this reply goes to, or all, to acknowledge what they were sent."""

    ack_number: int
    all_proxies: bool


@dataclass(frozen=True)
class WatchEndpoints:
    """Ask for the changes of the endpoint list from now on."""

    enabled: bool = True


@dataclass(frozen=True)
class ListEndpoints:
    """Ask for the whole endpoint list once."""


@dataclass(frozen=True)
class CheckHealth:
    """Check an endpoint's health once."""

    worker: str


@dataclass(frozen=True)
class SetTimer:
    """Have `TimerFired` come with this token after so many seconds."""

    delay: float
    token: int


@dataclass(frozen=True)
class SendToPeers:
    """Send this to the module of another manager, or of all."""

    peer: int | None
    payload: str


@dataclass(frozen=True)
class LogMessage:
    """Write a line to the log."""

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
