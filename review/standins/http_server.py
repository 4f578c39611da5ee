"""A minimal HTTP/1.1 server with kept connections, for discovery and workers."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

Answer = tuple[int, bytes]  # status and body
Handler = Callable[[str, str, dict[str, str]], Awaitable[Answer]]  # method, path, query


def json_answer(value: object) -> Answer:
    """Return a 200 with this value as JSON."""
    return 200, json.dumps(value).encode()


class HttpServer:
    """Serves one handler at a free port of 127.0.0.1; `on_sent` is told of each answer written."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.on_sent: Callable[[str, bytes], None] = lambda _path, _body: None
        self.writers: set[asyncio.StreamWriter] = set()
        self.busy: set[asyncio.StreamWriter] = set()  # those whose request is under way
        self.stopped = False
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Open the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse new connections, reset idle ones, and finish the requests under way."""
        self.stopped = True
        if self.server is not None:
            self.server.close()
        for writer in self.writers - self.busy:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while not self.stopped:
                await self._serve_request(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over; this task waits for nothing else
        finally:
            self.writers.discard(writer)
            self.busy.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.busy.add(writer)
        method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ", 2)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        status, body = await self.handler(method, parts.path, query)
        writer.write(f"HTTP/1.1 {status} -\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        self.busy.discard(writer)
        self.on_sent(target, body)
