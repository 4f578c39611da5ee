"""The other side of the platform's protocol: a discovery that is steered, and a client that may join as a proxy."""

import json
from typing import Any

import trio

from dunlinlug.net import http


class Discovery:
    """Watches as the protocol has them; hung, it takes calls and is silent. Give `answer` to `net.http.serve`."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self.generation, self.instances, self.fresh = 1, instances, list[dict[str, Any]]()
        self.hung, self.calls, self.changed = False, list[dict[str, str]](), trio.Event()

    def tell(self, *changed: dict[str, Any]) -> None:
        """A new version, with these entries."""
        self.generation, self.fresh = self.generation + 1, list(changed)
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, request: http.Request) -> http.Reply:
        if request.path != "/v1/servers":
            return http.Reply(404)
        self.calls.append(dict(request.query))
        if self.hung:
            await trio.sleep_forever()
        if "index" not in request.query:
            return self._list(True, self.instances)
        before, changed = int(request.query["index"]), self.changed
        with trio.move_on_after(int(request.query["wait"]) / 1000):
            while before >= self.generation:
                await changed.wait()
        return self._list(False, self.fresh if before < self.generation else [])

    def _list(self, reset: bool, instances: list[dict[str, Any]]) -> http.Reply:
        return http.Reply.json(
            {"generation": self.generation, "reset": reset, "instances": instances}
        )


class Client:
    """A connection that speaks lines; as a proxy it keeps one table for all products, and answers marks."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.rest, self.number = stream, b"", 0
        self.held, self.shut = dict[str, float](), set[str]()

    async def say(self, kind: str, **message: Any) -> None:
        await self.stream.send_all(json.dumps({"@type": kind, **message}).encode() + b"\n")

    async def hear(self) -> dict[str, Any] | None:
        """The next message; None at the end."""
        while b"\n" not in self.rest:
            try:
                data = await self.stream.receive_some()
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.rest += data
        line, _, self.rest = self.rest.partition(b"\n")
        found: dict[str, Any] = json.loads(line)
        return found

    async def hello(self, number: int, zone: str, new: bool = True) -> None:
        """Join as this proxy."""
        self.number = number
        await self.say(kind="hello", id=number, site=zone, rps=2.0, new=new)

    async def table(self, *without: str, **weights: float) -> dict[str, float]:
        """Read orders until the proxy may use these workers (or any) and not those."""
        while True:
            usable = {name: weight for name, weight in self.held.items() if name not in self.shut}
            if usable and usable.keys() >= weights.keys() and not usable.keys() & set(without):
                return usable
            order = await self.hear()
            if order is None or order["@type"] != "push":
                raise ConnectionError(f"no order came but {order}")
            self.held = {} if order.get("full") else self.held
            self.held.update(order.get("endpoints", ()))
            self.held = {name: weight for name, weight in self.held.items() if weight}
            self.shut = (self.shut | set(order.get("eject", ()))) - set(order.get("restore", ()))
            if "nonce_out" in order:
                await self.say(kind="ack", id=self.number, seq=order["nonce_out"], ms=1.0)
