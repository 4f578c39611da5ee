"""The manager on the platform as a process: puts the parts together, and does as signals say."""

import gc
import json
import os
import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict
from math import inf
from random import Random
from typing import Any

import msgspec
import trio

from dunlinlug import interface as face
from dunlinlug.balance import Balancer
from dunlinlug.manager.loop import Decider, Loop
from dunlinlug.manager.probes import Prober
from dunlinlug.manager.signals import STOPS, Signals
from dunlinlug.platform import front, peers, servers, terms
from dunlinlug.platform.discovery import Discovery
from dunlinlug.platform.orders import Orders, Parcel

HEALTH, LOAD = "/healthz", "/load"
PROBE_WITHIN = 0.4  # seconds: a worker that is well answers in a few milliseconds, one that is full in some hundred
PROBES_AT_ONCE = 16  # each is a descriptor; more workers than that are rarely in doubt at once
AGAIN, AGAIN_MOST = (
    0.1,
    6,
)  # seconds to a file's next reading after a bad one, doubled; so many times, 6 s in all
SUMMARY = 5.0  # seconds between summaries in the log
OWN_FILES = 32  # descriptors for all but connections at our address: the interpreter's, discovery's, probes'


def say(event: str, **said: Any) -> None:
    """One line of the log, on standard error."""
    sys.stderr.write(
        json.dumps({"at": round(time.time(), 3), "event": event, **said}, default=str) + "\n"
    )


class Unpaced:
    """The platform's channel does the pacing: what is put leaves at once. Danger: paced here as well, messages would
    leave later than the module reckons, and its account of the channel would be wrong."""

    def __init__(self, deliver: Callable[[int, Parcel], None]) -> None:
        self.deliver, self.waiting = deliver, 0.0
        self.messages = self.lines = 0.0

    def put(self, now: float, proxy: int, parcel: Parcel) -> list[str]:
        self.messages += 1
        self.lines += parcel.lines
        self.deliver(proxy, parcel)
        return []

    def due(self, now: float) -> list[tuple[int, Parcel]]:
        return []

    def next_at(self) -> float | None:
        return None

    def forget(self, proxy: int) -> None:
        """Nothing waits here."""

    def clear(self) -> None:
        """Nothing waits here."""


class Manager:
    """One manager; `make` builds its decision module."""

    def __init__(
        self,
        told: terms.Terms,
        environment: Mapping[str, str],
        make: Callable[[face.Trade], Decider] = Balancer,
    ) -> None:
        self.told, self.environment = told, environment
        products = tuple(product.name for product in told.trade.products)
        self.orders = Orders(
            products,
            told.trade.usual_retry,
            told.trade.channel.message_lines,
            tuple(product.home_only for product in told.trade.products),
        )
        self.peers = peers.Peers(
            told.zones,
            told.proxies,
            products,
            lambda worker: worker in self.orders.known,
            self._tell,
        )
        # Danger: unjoined connections must leave a descriptor for every proxy and every collector.
        joined = told.proxies + peers.COLLECTORS_MOST * len(told.zones) + OWN_FILES
        self.front = front.Front(self.peers, max(told.limits.sockets - joined, 8), say)
        self.channel = Unpaced(self.front.deliver)
        self.counts: Counter[str] = Counter()
        self.loop = Loop(
            make(told.trade),
            self.orders,
            self.channel,
            self.front.deliver,
            self._note,
            least=told.turn,
        )
        self.discovery = Discovery(
            told.discovery, servers.Following(Random(told.trade.seed).uniform), self._tell, say
        )
        path = LOAD if told.trade.reports_in != "none" else HEALTH
        self.prober = Prober(
            path,
            PROBE_WITHIN,
            PROBES_AT_ONCE,
            self._tell,
            self.discovery.addresses.__getitem__,
            peers.read_report,
        )

    def _tell(self, event: face.Event) -> None:
        self.counts[type(event).__name__] += 1
        self.loop.tell(event)

    def _note(self, event: str, **said: Any) -> None:
        """The loop tells of every reply; the log gets their sums."""
        if event != "decided":
            say(event, **said)
            return
        for kind, count in said["orders"].items():
            self.counts[kind] += count

    async def run(self, signals: Signals) -> None:
        """Serve until SIGTERM; raises OSError if the address is taken."""
        listener = front.listen(*self.told.listen)
        async with trio.open_nursery() as nursery:
            self.discovery.places(self.told.known.instances, True)
            self.discovery.news(
                face.Listed(
                    "kept",
                    tuple(i.worker() for i in self.told.known.instances if i.lifecycle != "gone"),
                )
            )
            self.loop.others = {
                face.Probe: lambda order: nursery.start_soon(self.prober.probe, order.worker)
            }
            self.loop.turn(trio.current_time())
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self.discovery.follow)
            nursery.start_soon(self.front.serve, listener)
            nursery.start_soon(self._summaries)
            gc.collect()
            gc.freeze()  # what stands from the start need not be gone through again
            say(
                "ready",
                name=self.told.name,
                listen=self.told.listen,
                workers=len(self.told.known.instances),
                limits=msgspec.to_builtins(self.told.limits),
                channel=asdict(self.told.trade.channel),
                duties=asdict(self.told.trade.duties),
            )
            for unmet in self.told.unmet:
                say("settings.unmet", what=unmet)
            await self._until_stopped(signals)
            self.loop.stop()
            await self.front.finish()
            nursery.cancel_scope.cancel()
        say("stopped", batches=self.loop.batches)

    async def _until_stopped(self, signals: Signals) -> None:
        """Reloads as told. Danger: read while it is being written, the file would be refused and the place that it
        names never asked; so a file that can't be used is read again for a while."""
        tries = 0  # since the last signal, of a file that can't be used
        while True:
            number = None
            with trio.move_on_after(AGAIN * 2.0 ** (tries - 1) if tries else inf):
                number = await signals.receive()
            if number in STOPS:
                return
            tries = 1 if number is not None else tries + 1
            if self._reload(quiet=number is None) or tries > AGAIN_MOST:
                tries = 0

    def _reload(self, quiet: bool = False) -> bool:
        """Follow discovery where the file says now; a file that can't be read changes nothing. Tells whether it could
        be; `quiet` where that was said already."""
        try:
            fresh = terms.reread(self.environment)
        except terms.TermsFault as fault:
            if not quiet:
                say("reload.refused", why=str(fault))
            return False
        if fresh.discovery != self.told.discovery:
            self.discovery.move(fresh.discovery)
        fixed = [
            name
            for name in ("name", "listen", "limits", "trade", "zones", "proxies", "turn")
            if getattr(fresh, name) != getattr(self.told, name)
        ]
        self.told = terms.moved(self.told, fresh.discovery)
        say("reload.done", discovery=fresh.discovery, needs_restart=fixed)
        return True

    async def _summaries(self) -> None:
        """What happened since the last line, in sums."""
        batches = 0
        while True:
            await trio.sleep(SUMMARY)
            say(
                "summary",
                batches=self.loop.batches - batches,
                joined=len(self.peers.streams),
                collectors={zone: len(kept) for zone, kept in self.peers.collectors.items()},
                unjoined=len(self.front.unjoined),
                accepted=self.front.accepted,
                workers=len(self.orders.listed),
                out=len(self.orders.out),
                messages=round(self.channel.messages),
                lines=round(self.channel.lines),
                cpu=round(time.process_time(), 2),
                counts=dict(self.counts),
                peers=dict(self.peers.counts),
                samples=self.peers.samples,
            )
            batches = self.loop.batches
            self.counts.clear()
            self.peers.counts.clear()
            self.peers.samples.clear()


def serve(environment: Mapping[str, str]) -> int:
    """Run a manager as the environment says; gives the exit status: 2 for what can't be used, 1 for a fault."""
    signals = Signals()
    signals.take()
    try:
        told = terms.read(environment)
    except terms.TermsFault as fault:
        print(f"dunlinlug: {fault}", file=sys.stderr)
        return 2
    try:
        trio.run(Manager(told, environment).run, signals)
    except OSError as fault:
        print(f"dunlinlug: cannot serve: {fault}", file=sys.stderr)
        return 1
    except Exception:
        traceback.print_exc()
        return 1
    return 0


def main() -> None:
    status = serve(os.environ)
    sys.stderr.flush()
    os._exit(status)  # nothing is kept: an interpreter's tidying only takes time
