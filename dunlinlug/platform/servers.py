"""Discovery's lists: answers to the module's workers, and what to ask next. No socket and no clock.

Times on the wire are Unix milliseconds; starts leave here in Unix seconds and are put on the module's clock by whoever
has one.
"""

from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from dunlinlug import interface as face
from dunlinlug.platform.messages import Name

# Seconds that a call may wait. What a waiting call is to tell counts as told 2 s after its end, without one after 6 s:
# with 2 s a silent connection is left, and the list asked for anew, well before either.
WAIT = 2.0
WITHIN = 0.5  # seconds beyond the wait for an answer: the agent is on our own machine
LEAST = 0.05  # seconds from one query to the next where the version did not move on; a quarter of what ends a watch
FIRST, MOST = (
    0.05,
    0.5,
)  # seconds to pause after a failure, doubled up to the most: the agent answers without cost
PATH = "/v1/servers"


class ServersFault(Exception):
    """An answer that is not a list as agreed."""


Address = tuple[str, int]


def address(text: str, what: str) -> Address:
    """Raises ServersFault, which says that `what` is not an address and a port."""
    host, _, port = text.rpartition(":")
    # Danger: other scripts' digits and superscripts are digits too, and not all of them make a number.
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ServersFault(f"{what} is {text!r}, not an address and a port")
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

    def worker(self) -> face.Worker:
        """As the module knows it, the start in Unix seconds."""
        return face.Worker(
            self.instance_id,
            self.zone,
            self.machine_type,
            self.cell,
            self.lifecycle,
            self.weight,
            self.started_at_ms / 1000.0 if self.started_at_ms else None,
        )

    def address(self) -> Address:
        """Raises ServersFault."""
        return address(self.host_port, f"the place of {self.instance_id}")


class Servers(msgspec.Struct, frozen=True):
    generation: Annotated[int, Meta(ge=0)]
    reset: bool
    instances: list[Instance]


_decoder = msgspec.json.Decoder(Servers)


def read(body: bytes) -> Servers:
    """Raises ServersFault."""
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ServersFault(str(error)) from None
    for instance in found.instances:
        instance.address()
    return found


class Following:
    """Which version is held and what to ask: the whole list after a start or a version that went back, else a watch."""

    def __init__(self, uniform: Callable[[float, float], float]) -> None:
        self.uniform = uniform
        self.generation: int | None = None
        self.failures = 0
        self.pause = 0.0  # seconds that the next query follows the last one by, at least

    def moved(self) -> None:
        """Another place is asked from now on. Danger: its versions need not be those of the old one, so that a watch
        from the one held could miss what is not in our list."""
        self.generation = None

    def query(self) -> str:
        if self.generation is None:
            return PATH
        return f"{PATH}?index={self.generation}&wait={round(WAIT * 1000)}"

    def within(self) -> float:
        """Seconds for the answer to the next query."""
        return WITHIN if self.generation is None else WAIT + WITHIN

    def came(self, answer: Servers) -> face.Listed | None:
        """News for the module; None where nothing changed, or where the whole list is to be asked for first.

        Raises ServersFault for changes to a list that is not held."""
        before, self.failures = self.generation, 0
        # Danger: answered at once and again and again with what is known, we would do nothing else but ask.
        self.pause = 0.0 if before is None or answer.generation > before else LEAST
        if answer.reset:
            self.generation = answer.generation
            return face.Listed(
                "whole", tuple(i.worker() for i in answer.instances if i.lifecycle != "gone")
            )
        if before is None:
            raise ServersFault("changes, though the whole list was asked for")
        if answer.generation < before:
            self.generation = (
                None  # Danger: discovery was put back; its changes are to another list than ours
            )
            return None
        self.generation = answer.generation
        return (
            face.Listed("changes", tuple(i.worker() for i in answer.instances))
            if answer.instances
            else None
        )

    def failed(self) -> float:
        """Seconds to pause before the next query, drawn so that managers spread."""
        self.failures += 1
        most = min(FIRST * 2.0 ** min(self.failures - 1, 10), MOST)
        return self.uniform(most / 2, most)
