"""Service discovery's lists: answers into the module's endpoints, and what to query next.

No socket and no clock. Times on the wire are Unix milliseconds; start times leave here in Unix
seconds, and who has a clock puts them on the module's.
"""

from collections.abc import Callable, Iterable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, UpdateType
from dunlinlug.errors import DunlinlugError
from dunlinlug.platform.messages import Name

# Seconds that a watch may wait. What a watch is to bring counts as delivered 2 s after its end,
# without one after 6 s: with 2 s, a silent connection is given up and the list queried anew well
# before either.
WATCH_WAIT_S = 2.0
# Seconds beyond the wait for an answer: discovery's agent is on our own machine.
ANSWER_TIMEOUT_S = 0.5
# Seconds from one query to the next where the version did not move on; a quarter of the time
# after which a watch counts as ended.
MIN_QUERY_INTERVAL_S = 0.05
# Seconds to pause after a failure, doubled up to the maximum: for the agent an answer is cheap.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
SERVERS_PATH = "/v1/servers"


class DiscoveryError(DunlinlugError):
    """An answer of service discovery that is not as agreed; the text says how."""


class AddressError(DiscoveryError):
    """A text that is no address and port; `setting` is what it was to be the address of."""

    def __init__(self, setting: str, text: str) -> None:
        super().__init__(f"{setting} is {text!r}, not an address and a port")
        self.setting = setting
        self.text = text


Address = tuple[str, int]  # host and port


def parse_address(text: str, setting: str) -> Address:
    """Return the host and port that `text` gives; raises AddressError, which names `setting`."""
    host, _, port = text.rpartition(":")
    # Digits of other scripts and superscripts are digits too, and not all of them make a number.
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) < 65536:
        raise AddressError(setting, text)
    return host, int(port)


class Instance(msgspec.Struct, rename="camel", frozen=True):
    """One entry of the list, as on the wire."""

    instance_id: Name
    host_port: Annotated[str, Meta(min_length=3, max_length=128)]
    zone: Name
    lifecycle: Literal["ready", "draining", "gone"]
    machine_type: str = ""
    cell: int = 0
    weight: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    started_at_ms: Annotated[float, Meta(ge=0.0)] = 0.0

    def worker(self) -> Endpoint:
        """Return it as the module knows it, its start in Unix seconds."""
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
        """Return where it listens; raises AddressError."""
        return parse_address(self.host_port, f"the place of {self.instance_id}")


class DiscoveryResponse(msgspec.Struct, frozen=True):
    """One answer: the list's version, and all of its entries (`reset`) or those that changed."""

    generation: Annotated[int, Meta(ge=0)]
    reset: bool
    instances: list[Instance]


_response_decoder = msgspec.json.Decoder(DiscoveryResponse)


def decode_response(body: bytes) -> DiscoveryResponse:
    """Return a body's answer, whose addresses are all usable; raises DiscoveryError."""
    try:
        response = _response_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DiscoveryError(str(error)) from None
    for instance in response.instances:
        instance.address()
    return response


def present_workers(instances: Iterable[Instance]) -> tuple[Endpoint, ...]:
    """Return the entries that are not gone, as the module knows them."""
    return tuple(instance.worker() for instance in instances if instance.lifecycle != "gone")


class DiscoveryState:
    """Which version of the list is held, and so what to query next.

    The complete list is queried after a start and after a version that went back, else a watch
    from the version held. `random_uniform` draws a float between two bounds.
    """

    def __init__(self, random_uniform: Callable[[float, float], float]) -> None:
        self.random_uniform = random_uniform
        self.generation: int | None = None
        self.failure_count = 0
        self.min_pause = 0.0  # least seconds from the last query to the next

    def forget_version(self) -> None:
        """Query the complete list next, as another address is queried from now on.

        Its versions need not be those of the old one. Without this, a watch from the version held
        could miss what is not in our list.
        """
        self.generation = None

    def next_query(self) -> str:
        """Return the path of the next query."""
        if self.generation is None:
            return SERVERS_PATH
        return f"{SERVERS_PATH}?index={self.generation}&wait={round(WATCH_WAIT_S * 1000)}"

    def answer_timeout(self) -> float:
        """Return the seconds to wait for the answer to the next query."""
        return ANSWER_TIMEOUT_S if self.generation is None else WATCH_WAIT_S + ANSWER_TIMEOUT_S

    def handle_response(self, response: DiscoveryResponse) -> EndpointsUpdated | None:
        """Take an answer and return the update for the module.

        Returns None where nothing changed, or where the complete list is to be queried first.
        Raises DiscoveryError for changes to a list that is not held.
        """
        previous_generation = self.generation
        self.failure_count = 0
        # Without this pause, a discovery that answers at once, again and again, with what is known
        # would keep the manager busy with queries alone.
        has_advanced = previous_generation is None or response.generation > previous_generation
        self.min_pause = 0.0 if has_advanced else MIN_QUERY_INTERVAL_S
        if response.reset:
            self.generation = response.generation
            return EndpointsUpdated(UpdateType.SNAPSHOT, present_workers(response.instances))
        if previous_generation is None:
            raise DiscoveryError("changes, though the whole list was asked for")
        if response.generation < previous_generation:
            # Discovery was put back: its changes are to another list than ours.
            self.generation = None
            return None
        self.generation = response.generation
        if not response.instances:
            return None
        return EndpointsUpdated(
            UpdateType.CHANGES, tuple(instance.worker() for instance in response.instances)
        )

    def next_backoff(self) -> float:
        """Return the seconds to pause after a failure, drawn so that managers spread."""
        self.failure_count += 1
        max_delay = min(INITIAL_BACKOFF_S * 2.0 ** min(self.failure_count - 1, 10), MAX_BACKOFF_S)
        return self.random_uniform(max_delay / 2, max_delay)
