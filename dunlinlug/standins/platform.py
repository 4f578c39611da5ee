"""Stand-ins for the platform's protocol: service discovery, and a client such as a proxy."""

import json
from typing import Any

import trio

from dunlinlug.net import http

JsonObject = dict[str, Any]  # a decoded message


class DiscoveryServer:
    """Service discovery with watches; pass `handle` to `net.http.serve`.

    Attributes:
        generation: The version of the list.
        instances: The entries of the whole list.
        latest_changes: The entries of the last update.
        unresponsive: Whether queries are accepted and never answered.
    """

    def __init__(self, instances: list[JsonObject]) -> None:
        self.generation = 1
        self.instances = instances
        self.latest_changes = list[JsonObject]()
        self.unresponsive = False
        self.received_queries = list[dict[str, str]]()
        self.changed = trio.Event()

    def update(self, *changed: JsonObject) -> None:
        """Publish a new version, in which these entries have changed."""
        self.generation = self.generation + 1
        self.latest_changes = list(changed)
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: http.Request) -> http.Response:
        """Answer a query with the whole list, or wait for changes after an index."""
        if request.path != "/v1/servers":
            return http.Response(404)
        self.received_queries.append(dict(request.query))
        if self.unresponsive:
            await trio.sleep_forever()
        if "index" not in request.query:
            return self._respond(True, self.instances)
        requested_generation = int(request.query["index"])
        changed = self.changed
        with trio.move_on_after(int(request.query["wait"]) / 1000):
            while requested_generation >= self.generation:
                await changed.wait()
        changes = self.latest_changes if requested_generation < self.generation else []
        return self._respond(False, changes)

    def _respond(self, reset: bool, instances: list[JsonObject]) -> http.Response:
        return http.Response.json(
            {"generation": self.generation, "reset": reset, "instances": instances}
        )


class PlatformClient:
    """A connection with JSON lines; as a proxy it has one table and acknowledges updates.

    Attributes:
        weights: Its table (weight by endpoint), for all traffic classes.
        ejected: Ids of ejected endpoints.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""
        self.proxy_id = 0
        self.weights = dict[str, float]()
        self.ejected = set[str]()

    async def send(self, message_type: str, **message: object) -> None:
        """Send a message with this type and these fields."""
        await self.stream.send_all(json.dumps({"@type": message_type, **message}).encode() + b"\n")

    async def receive(self) -> JsonObject | None:
        """Receive the next message; None if the connection has ended."""
        while b"\n" not in self.buffer:
            try:
                data = await self.stream.receive_some()
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\n")
        message: JsonObject = json.loads(line)
        return message

    async def join(self, proxy_id: int, zone: str, new: bool = True) -> None:
        """Register as a proxy."""
        self.proxy_id = proxy_id
        await self.send(message_type="hello", id=proxy_id, site=zone, rps=2.0, new=new)

    async def wait_for_table(self, *excluded: str, **weights: float) -> dict[str, float]:
        """Receive updates until the table has all given endpoints and none of the excluded ones.

        Returns the usable weights; an empty table does not count.

        Raises:
            ConnectionError: The connection ended, or a message other than an update arrived.
        """
        while True:
            usable = {
                name: weight for name, weight in self.weights.items() if name not in self.ejected
            }
            if usable and usable.keys() >= weights.keys() and not usable.keys() & set(excluded):
                return usable
            order = await self.receive()
            if order is None or order["@type"] != "push":
                raise ConnectionError(f"expected a push message, got {order}")
            self.weights = {} if order.get("full") else self.weights
            self.weights.update(order.get("endpoints", ()))
            self.weights = {name: weight for name, weight in self.weights.items() if weight}
            self.ejected = (self.ejected | set(order.get("eject", ()))) - set(
                order.get("restore", ())
            )
            if "nonce_out" in order:
                await self.send(
                    message_type="ack", id=self.proxy_id, seq=order["nonce_out"], ms=1.0
                )
