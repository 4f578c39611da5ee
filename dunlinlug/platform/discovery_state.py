"""Discovery's lists: answers to the module's workers, and what to ask next. No socket and no clock.

Times on the wire are Unix milliseconds; starts leave here in Unix seconds and are put on the
module's clock by whoever has one.
"""

from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from dunlinlug.decision.events import Endpoint, EndpointState, EndpointsUpdated, UpdateType
from dunlinlug.errors import DunlinlugError
from dunlinlug.platform.messages import Name

# Seconds that a call may wait. What a waiting call is to tell counts as told 2 s after its end,
# without one after 6 s: with 2 s a silent connection is left, and the list asked for anew, well
# before either.
WATCH_WAIT_S = 2.0
ANSWER_TIMEOUT_S = 0.5  # seconds beyond the wait for an answer: the agent is on our own machine
# seconds from one query to the next where the version did not move on; a quarter of what ends a
# watch
MIN_QUERY_INTERVAL_S = 0.05
# seconds to pause after a failure, doubled up to the most: the agent answers without cost
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
SERVERS_PATH = "/v1/servers"


class DiscoveryError(DunlinlugError):
    """An answer that is not a list as agreed."""


Address = tuple[str, int]


def parse_address(text: str, setting: str) -> Address:
    """Raises ServersFault, which says that `what` is not an address and a port."""
    host, _, port = text.rpartition(":")
    # Danger: other scripts' digits and superscripts are digits too, and not all of them make a
    # number.
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise DiscoveryError(f"{setting} is {text!r}, not an address and a port")
    return host, int(port)


class Instance(msgspec.Struct, rename="camel", frozen=True):
    instance_id: Name
    host_port: Annotated[str, Meta(min_length=3, max_length=128)]
    zone: Name
    lifecycle: Literal["ready", "draining", "gone"]
    machine_type: str = ""
    cell: int = 0
    weight: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    started_at_ms: Annotated[float, Meta(ge=0.0)] = 0.0

    def worker(self) -> Endpoint:
        """As the module knows it, the start in Unix seconds."""
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
        """Raises ServersFault."""
        return parse_address(self.host_port, f"the place of {self.instance_id}")


class DiscoveryResponse(msgspec.Struct, frozen=True):
    generation: Annotated[int, Meta(ge=0)]
    reset: bool
    instances: list[Instance]


_response_decoder = msgspec.json.Decoder(DiscoveryResponse)


def decode_response(body: bytes) -> DiscoveryResponse:
    """Raises ServersFault."""
    try:
        response = _response_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DiscoveryError(str(error)) from None
    for instance in response.instances:
        instance.address()
    return response


class DiscoveryState:
    """Which version is held and what to ask: the whole list after a start or a version that went
    back, else a watch.
    """

    def __init__(self, random_uniform: Callable[[float, float], float]) -> None:
        self.random_uniform = random_uniform
        self.generation: int | None = None
        self.failure_count = 0
        self.min_pause = 0.0  # seconds that the next query follows the last one by, at least

    def forget_version(self) -> None:
        """Another place is asked from now on. Danger: its versions need not be those of the old
        one, so that a watch from the one held could miss what is not in our list.
        """
        self.generation = None

    def next_query(self) -> str:
        if self.generation is None:
            return SERVERS_PATH
        return f"{SERVERS_PATH}?index={self.generation}&wait={round(WATCH_WAIT_S * 1000)}"

    def answer_timeout(self) -> float:
        """Seconds for the answer to the next query."""
        return ANSWER_TIMEOUT_S if self.generation is None else WATCH_WAIT_S + ANSWER_TIMEOUT_S

    def handle_response(self, response: DiscoveryResponse) -> EndpointsUpdated | None:
        """News for the module; None where nothing changed, or where the whole list is to be asked
        for first.

        Raises ServersFault for changes to a list that is not held.
        """
        previous_generation = self.generation
        self.failure_count = 0
        # Danger: answered at once and again and again with what is known, we would do nothing else
        # but ask.
        self.min_pause = (
            0.0
            if previous_generation is None or response.generation > previous_generation
            else MIN_QUERY_INTERVAL_S
        )
        if response.reset:
            self.generation = response.generation
            return EndpointsUpdated(
                UpdateType.SNAPSHOT,
                tuple(
                    instance.worker()
                    for instance in response.instances
                    if instance.lifecycle != "gone"
                ),
            )
        if previous_generation is None:
            raise DiscoveryError("changes, though the whole list was asked for")
        if response.generation < previous_generation:
            # Danger: discovery was put back; its changes are to another list than ours
            self.generation = None
            return None
        self.generation = response.generation
        return (
            EndpointsUpdated(
                UpdateType.CHANGES, tuple(instance.worker() for instance in response.instances)
            )
            if response.instances
            else None
        )

    def next_backoff(self) -> float:
        """Seconds to pause before the next query, drawn so that managers spread."""
        self.failure_count += 1
        max_delay = min(INITIAL_BACKOFF_S * 2.0 ** min(self.failure_count - 1, 10), MAX_BACKOFF_S)
        return self.random_uniform(max_delay / 2, max_delay)
