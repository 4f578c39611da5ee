"""A worker that answers no requests answers health checks with a figure that is out of range.

One manager of the xDS front, six workers and four proxies. One worker takes requests and answers
none, so that the manager shuts it out and checks its health. It answers each check with status 200
and a load report in which the queue is a whole number of 400 digits.
"""

import os
import sys
import tempfile
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import xds_managers as stand_ins

from dunlinlug.decision.events import Endpoint
from dunlinlug.net import http

PROXIES = 4
QUIET_S = 8.0
WATCHED_S = 20.0
PROBES = """
[probes]
allowed = yes
path = /probe
within = 400ms
at_once = 16
"""


class Case:
    """The manager, its other side and the verdict."""

    def __init__(self, record: stand_ins.Record, folder: Path) -> None:
        self.record = record
        self.manager = stand_ins.ManagerProcess(folder, "manager")
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.silent = ""  # the worker that answers no requests

    async def answer_check(self, request: http.Request) -> http.Response:
        """Answer a health check of the worker, with its load report."""
        queue = "1" + "0" * 399 if self.trouble else "3"
        body = f'{{"queue": {queue}, "service_s": 0.1}}'.encode()
        self.record.write("checked", path=request.path, answered=len(body))
        return http.Response(200, {}, body)

    async def run(self) -> int:
        """Play the case and return its exit status."""
        async with trio.open_nursery() as nursery:
            checked = await trio.open_tcp_listeners(0, host=stand_ins.HOST)
            nursery.start_soon(http.serve, self.answer_check, checked)
            ports = [checked[0].socket.getsockname()[1]]
            ports += [stand_ins.free_port() for _ in range(5)]
            workers = tuple(
                Endpoint(f"{stand_ins.HOST}:{port}", "north", "", 0, "ready", 1.0, None)
                for port in ports
            )
            roster = await trio.open_tcp_listeners(0, host=stand_ins.HOST)
            nursery.start_soon(http.serve, stand_ins.Roster(workers).answer, roster)
            listen = stand_ins.free_port()
            settings = stand_ins.SETTINGS.format(
                listen=listen,
                folder=self.folder,
                roster=roster[0].socket.getsockname()[1],
            )
            try:
                self.manager.start(settings + PROBES)
                proxies = [
                    stand_ins.CountingProxy(f"p{i}", [listen], lambda w: w != self.silent)
                    for i in range(PROXIES)
                ]
                for proxy in proxies:
                    nursery.start_soon(proxy.run)
                return await self._play(proxies, workers[0].id)
            finally:
                self.manager.end()
                nursery.cancel_scope.cancel()

    async def _play(self, proxies: list[stand_ins.CountingProxy], worker: str) -> int:
        await stand_ins.wait_until(
            lambda: all(len(proxy.usable()) == 6 for proxy in proxies), 30.0, "no tables"
        )
        self.record.write("tables", proxies=len(proxies))
        await trio.sleep(QUIET_S)
        self.silent = worker
        self.record.write("answers no requests", worker=worker)
        with trio.move_on_after(WATCHED_S):
            while self.manager.status() is None:
                await trio.sleep(0.05)
        status = self.manager.status()
        for line in self.manager.log_lines()[-14:]:
            self.record.write("log", line=line[:600])
        self.record.write("verdict", rule_broken=status is not None, exit_status=status)
        print(f"the manager ended with status {status}" if status is not None else "held")
        return 0 if status is None else 1


def main() -> int:
    """Play the case beside its record and return its exit status."""
    record = stand_ins.Record(Path(__file__).resolve().parent / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            return trio.run(Case(record, Path(temporary)).run)
    except* Exception as errors:  # whatever fails here says nothing of the managers
        record.write("could not run", why=repr(errors.exceptions))
        print(f"could not run: {errors.exceptions!r}", file=sys.stderr)
    finally:
        record.file.close()
    return 2


if __name__ == "__main__":
    sys.exit(main())
