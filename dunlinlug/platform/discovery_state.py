"""Decodes service discovery's responses into endpoints, and determines the next query.

Does no I/O and reads no clock. Times on the wire are Unix milliseconds. Start times are returned in
Unix seconds; the caller converts them to the decision module's clock.
"""

from collections.abc import Callable, Iterable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from dunlinlug.bounded_values import Name
from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, UpdateType
from dunlinlug.errors import DunlinlugError

# Seconds for which a watch may wait. The platform counts a change as delivered 2 s after the watch
# for it ends, or after 6 s without a watch. With a wait of 2 s, a silent connection is closed and
# the list queried again well before either limit.
WATCH_WAIT_S = 2.0
# Seconds to wait for a response beyond the watch's wait; short, as the discovery agent runs on the
# same machine.
ANSWER_TIMEOUT_S = 0.5
# Seconds between queries while the list's version does not advance; a quarter of the time after
# which a watch counts as ended.
MIN_QUERY_INTERVAL_S = 0.05
# Seconds to pause after a failure, doubled up to the maximum; short, as the agent answers cheaply.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
SERVERS_PATH = "/v1/servers"


class DiscoveryError(DunlinlugError):
    """An invalid response of service discovery, or none; the text states what was wrong."""


class AddressError(DiscoveryError):
    """A text that is not an address and port; `setting` names the setting that it was given for."""

    def __init__(self, setting: str, text: str) -> None:
        super().__init__(f"{setting} is {text!r}, not an address and a port")
        self.setting = setting
        self.text = text


Address = tuple[str, int]  # host and port


def parse_address(text: str, setting: str) -> Address:
    """Return the host and port in `text`; raises AddressError, which names `setting`."""
    host, _, port = text.rpartition(":")
    # `isdigit` also accepts digits of other scripts and superscripts; `int` rejects some of them.
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) < 65536:
        raise AddressError(setting, text)
    return host, int(port)


class Instance(msgspec.Struct, rename="camel", frozen=True):
    """One entry of the endpoint list, as on the wire."""

    instance_id: Name
    host_port: Annotated[str, Meta(min_length=3, max_length=128)]
    zone: Name
    lifecycle: Literal["ready", "draining", "gone"]
    machine_type: str = ""
    cell: Annotated[int, Meta(ge=-(2**53), le=2**53)] = 0
    weight: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    started_at_ms: Annotated[float, Meta(ge=0.0, le=1e14)] = 0.0

    def to_endpoint(self) -> Endpoint:
        """Return the decision module's record of it, with its start in Unix seconds."""
        return Endpoint(
            self.instance_id,
            self.zone,
            self.machine_type,
            self.cell,
            EndpointState(self.lifecycle),
            self.weight,
            self.started_at_ms / 1000.0 if self.started_at_ms else None,
        )

    def address(self) -> Address:
        """Return the address on which it listens; raises AddressError."""
        return parse_address(self.host_port, f"the place of {self.instance_id}")


class DiscoveryResponse(msgspec.Struct, frozen=True):
    """One response: the list's version, and all entries (`reset`) or only those that changed."""

    generation: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    reset: bool
    instances: list[Instance]


_response_decoder = msgspec.json.Decoder(DiscoveryResponse)


def decode_response(body: bytes) -> DiscoveryResponse:
    """Decode a response whose addresses are all valid; raises DiscoveryError otherwise."""
    try:
        response = _response_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DiscoveryError(str(error)) from None
    for instance in response.instances:
        instance.address()
    return response


def present_endpoints(instances: Iterable[Instance]) -> tuple[Endpoint, ...]:
    """Return the endpoints of all entries that are not gone."""
    return tuple(instance.to_endpoint() for instance in instances if instance.lifecycle != "gone")


class DiscoveryState:
    """The version of the list last received, which determines the next query.

    The complete list is queried after a start and after the version went back; otherwise a watch
    waits for changes since the last version. `random_uniform` draws a float between two bounds.
    """

    def __init__(self, random_uniform: Callable[[float, float], float]) -> None:
        self.random_uniform = random_uniform
        self.generation: int | None = None
        self.failure_count = 0
        self.min_pause = 0.0  # least seconds from the last query to the next

    def forget_version(self) -> None:
        """Query the complete list next, because the address of discovery has changed.

        The new address may count versions differently, so that a watch from the last version could
        miss changes.
        """
        self.generation = None

    def next_query(self) -> str:
        """Return the path of the next query."""
        if self.generation is None:
            return SERVERS_PATH
        return f"{SERVERS_PATH}?index={self.generation}&wait={round(WATCH_WAIT_S * 1000)}"

    def answer_timeout(self) -> float:
        """Return the seconds to wait for the response to the next query."""
        return ANSWER_TIMEOUT_S if self.generation is None else WATCH_WAIT_S + ANSWER_TIMEOUT_S

    def handle_response(self, response: DiscoveryResponse) -> EndpointsUpdated | None:
        """Apply a response and return the update for the decision module.

        Returns None if nothing changed, or if the complete list must be queried first. Raises
        DiscoveryError for a response with changes alone when the complete list was queried.
        """
        previous_generation = self.generation
        self.failure_count = 0
        # A discovery that keeps answering immediately with nothing new would otherwise occupy the
        # manager with queries alone.
        has_advanced = previous_generation is None or response.generation > previous_generation
        self.min_pause = 0.0 if has_advanced else MIN_QUERY_INTERVAL_S
        if response.reset:
            self.generation = response.generation
            return EndpointsUpdated(UpdateType.SNAPSHOT, present_endpoints(response.instances))
        if previous_generation is None:
            raise DiscoveryError("changes, though the whole list was asked for")
        if response.generation < previous_generation:
            # Discovery was reset to an older version: the changes apply to a different list.
            self.generation = None
            return None
        self.generation = response.generation
        if not response.instances:
            return None
        return EndpointsUpdated(
            UpdateType.CHANGES, tuple(instance.to_endpoint() for instance in response.instances)
        )

    def next_backoff(self) -> float:
        """Return the seconds to pause after a failure, with jitter between managers."""
        self.failure_count += 1
        max_delay = min(INITIAL_BACKOFF_S * 2.0 ** min(self.failure_count - 1, 10), MAX_BACKOFF_S)
        return self.random_uniform(max_delay / 2, max_delay)
