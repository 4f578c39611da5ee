"""Discovery agents of each manager: they can fall silent, break off an answer, and be replaced.

What an agent has answered counts as told to its manager, as on the platform.
"""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import trio

from tests.fixtures.platform_process import instance
from tests.race_conditions.processes import (
    DiscoverySource,
    ScriptedDiscovery,
    http_response,
    list_body,
)


@dataclass
class Told:
    """What one manager's process has been told, by worker, with the time of the first such word."""

    unready_since: dict[str, float] = field(default_factory=dict)
    ready_since: dict[str, float] = field(default_factory=dict)

    def record(self, worker: str, is_ready: bool) -> None:
        """Record a list entry."""
        if is_ready:
            self.unready_since.pop(worker, None)
            self.ready_since.setdefault(worker, trio.current_time())
        else:
            self.ready_since.pop(worker, None)
            self.unready_since.setdefault(worker, trio.current_time())


class Agent(DiscoverySource):
    """A discovery agent of one manager, with the faults of a course."""

    def __init__(self, told: Told, *instances: dict[str, Any]) -> None:
        super().__init__(*instances)
        self.told = told
        self.silent_until = 0.0
        self.answers_to_break = 0
        self.server = ScriptedDiscovery(self.respond_with_faults)
        self.address = ""
        self.known_workers = {entry["instanceId"] for entry in instances}

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen on an address of its own."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self.server.serve, listeners)

    def update(self, *entries: dict[str, Any]) -> None:
        """Publish changed entries."""
        self.known_workers |= {entry["instanceId"] for entry in entries}
        super().update(*entries)

    async def respond_with_faults(self, stream: trio.SocketStream, target: str) -> None:
        """Answer a query as `DiscoverySource` does, late or in part if the course says so."""
        await trio.sleep_until(max(self.silent_until, trio.current_time()))
        if self.answers_to_break:
            self.answers_to_break -= 1
            whole = http_response(list_body(self.version, *self.instances.values()))
            await stream.send_all(whole[: len(whole) // 2])
            await stream.aclose()
            return
        await self.respond(stream, target)
        self._record_told(target)

    def _record_told(self, target: str) -> None:
        if "index=" in target:
            index = int(target.partition("index=")[2].partition("&")[0])
            entries = [entry for version, entry in self.changes if version > index]
            states = {entry["instanceId"]: entry["lifecycle"] == "ready" for entry in entries}
        else:
            states = {
                worker: self.instances.get(worker, {}).get("lifecycle") == "ready"
                for worker in self.known_workers
            }
        for worker, is_ready in states.items():
            self.told.record(worker, is_ready)


def changed_instance(worker: int, state: str) -> dict[str, Any]:
    """Return a list entry; a worker that is ready again has just started."""
    started_at = int(time.time() * 1000) if state == "ready" else 0
    return instance(worker, lifecycle=state, startedAtMs=started_at)


def config_with_address(text: str, address: str) -> str:
    """Return a configuration file's text with another address of discovery."""
    return json.dumps({**json.loads(text), "discovery": address})
