"""The other side of the platform's protocol: a discovery that is steered, and a client that may
join as a proxy.
"""

import json
from typing import Any

import trio

from dunlinlug.net import http


class DiscoveryServer:
    """Watches as the protocol has them; hung, it takes calls and is silent. Give `answer` to
    `net.http.serve`.
    """

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.generation = 1
        self.instances = instances
        self.latest_changes = list[dict[str, Any]]()
        self.unresponsive = False
        self.received_queries = list[dict[str, str]]()
        self.changed = trio.Event()

    def update(self, *changed: dict[str, Any]) -> None:
        """A new version, with these entries."""
        self.generation = self.generation + 1
        self.latest_changes = list(changed)
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: http.Request) -> http.Response:
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
        return self._respond(
            False, self.latest_changes if requested_generation < self.generation else []
        )

    def _respond(self, reset: bool, instances: list[dict[str, Any]]) -> http.Response:
        return http.Response.json(
            {"generation": self.generation, "reset": reset, "instances": instances}
        )


class PlatformClient:
    """A connection that speaks lines; as a proxy it keeps one table for all products, and answers
    marks.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""
        self.proxy_id = 0
        self.weights = dict[str, float]()
        self.ejected = set[str]()

    async def send(self, message_type: str, **message: Any) -> None:
        await self.stream.send_all(json.dumps({"@type": message_type, **message}).encode() + b"\n")

    async def receive(self) -> dict[str, Any] | None:
        """The next message; None at the end."""
        while b"\n" not in self.buffer:
            try:
                data = await self.stream.receive_some()
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.buffer += data
        line, _, self.buffer = self.buffer.partition(b"\n")
        message: dict[str, Any] = json.loads(line)
        return message

    async def join(self, proxy_id: int, zone: str, new: bool = True) -> None:
        """Join as this proxy."""
        self.proxy_id = proxy_id
        await self.send(message_type="hello", id=proxy_id, site=zone, rps=2.0, new=new)

    async def wait_for_table(self, *excluded: str, **weights: float) -> dict[str, float]:
        """Read orders until the proxy may use these workers (or any) and not those."""
        while True:
            usable = {
                name: weight for name, weight in self.weights.items() if name not in self.ejected
            }
            if usable and usable.keys() >= weights.keys() and not usable.keys() & set(excluded):
                return usable
            order = await self.receive()
            if order is None or order["@type"] != "push":
                raise ConnectionError(f"no order came but {order}")
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
