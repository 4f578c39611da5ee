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

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import EndpointsUpdated, Event, UpdateType
from dunlinlug.decision.orders import CheckHealth
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.manager.decision_loop import DecisionLoop, DecisionModule
from dunlinlug.manager.health_checks import HealthChecker
from dunlinlug.manager.signals import STOP_SIGNALS, SignalReceiver
from dunlinlug.platform import connections, discovery_state, server
from dunlinlug.platform import environment as platform_environment
from dunlinlug.platform.discovery import DiscoveryWatcher
from dunlinlug.platform.orders import PlatformTableInstaller, ProxyMessage

HEALTH_PATH = "/healthz"
LOAD_PATH = "/load"
# seconds: a worker that is well answers in a few milliseconds, one that is full in some hundred
HEALTH_CHECK_TIMEOUT_S = 0.4
# each is a descriptor; more workers than that are rarely in doubt at once
MAX_CONCURRENT_HEALTH_CHECKS = 16
# seconds to a file's next reading after a bad one, doubled
RELOAD_RETRY_S = 0.1
# so many times, 6 s in all
MAX_RELOAD_RETRIES = 6
SUMMARY_INTERVAL_S = 5.0  # seconds between summaries in the log
# descriptors for all but connections at our address: the interpreter's, discovery's, probes'
RESERVED_DESCRIPTORS = 32


def log_event(event: str, **fields: Any) -> None:
    """One line of the log, on standard error."""
    sys.stderr.write(
        json.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str) + "\n"
    )


class UnpacedChannel:
    """The platform's channel does the pacing: what is put leaves at once. Danger: paced here as
    well, messages would leave later than the module reckons, and its account of the channel
    would be wrong.
    """

    def __init__(self, deliver: Callable[[int, ProxyMessage], None]) -> None:
        self.deliver = deliver
        self.queued_entries = 0.0
        self.message_count = self.entry_count = 0.0

    def enqueue(self, now: float, proxy: int, message: ProxyMessage) -> list[str]:
        self.message_count += 1
        self.entry_count += message.lines
        self.deliver(proxy, message)
        return []

    def pop_due(self, now: float) -> list[tuple[int, ProxyMessage]]:
        return []

    def next_due_at(self) -> float | None:
        return None

    def remove_proxy(self, proxy: int) -> None:
        """Nothing waits here."""

    def clear(self) -> None:
        """Nothing waits here."""


class Manager:
    """One manager; `make` builds its decision module."""

    def __init__(
        self,
        config: platform_environment.PlatformConfig,
        environment: Mapping[str, str],
        make_module: Callable[[ManagerSettings], DecisionModule] = Balancer,
    ) -> None:
        self.config = config
        self.environment = environment
        traffic_classes = tuple(
            traffic_class.name for traffic_class in config.settings.traffic_classes
        )
        self.installer = PlatformTableInstaller(
            traffic_classes,
            config.settings.default_retry_policy,
            config.settings.channel.message_overhead,
            tuple(
                traffic_class.same_zone_only for traffic_class in config.settings.traffic_classes
            ),
        )
        self.peer_registry = connections.PeerRegistry(
            config.zones,
            config.proxy_count,
            traffic_classes,
            lambda worker: worker in self.installer.known_workers,
            self._submit,
        )
        # Danger: unjoined connections must leave a descriptor for every proxy and every collector.
        reserved_descriptors = (
            config.proxy_count
            + connections.MAX_COLLECTORS_PER_ZONE * len(config.zones)
            + RESERVED_DESCRIPTORS
        )
        self.server = server.ConnectionServer(
            self.peer_registry, max(config.limits.sockets - reserved_descriptors, 8), log_event
        )
        self.channel = UnpacedChannel(self.server.deliver)
        self.counts: Counter[str] = Counter()
        self.loop = DecisionLoop(
            make_module(config.settings),
            self.installer,
            self.channel,
            self.server.deliver,
            self._log_loop_event,
            min_batch_interval=config.min_batch_interval,
        )
        self.discovery = DiscoveryWatcher(
            config.discovery,
            discovery_state.DiscoveryState(Random(config.settings.seed).uniform),
            self._submit,
            log_event,
        )
        path = LOAD_PATH if config.settings.report_delivery != "none" else HEALTH_PATH
        self.health_checker = HealthChecker(
            path,
            HEALTH_CHECK_TIMEOUT_S,
            MAX_CONCURRENT_HEALTH_CHECKS,
            self._submit,
            self.discovery.addresses.__getitem__,
            connections.parse_text_report,
        )

    def _submit(self, event: Event) -> None:
        self.counts[type(event).__name__] += 1
        self.loop.submit(event)

    def _log_loop_event(self, event: str, **fields: Any) -> None:
        """The loop tells of every reply; the log gets their sums."""
        if event != "decided":
            log_event(event, **fields)
            return
        for kind, count in fields["orders"].items():
            self.counts[kind] += count

    async def run(self, signals: SignalReceiver) -> None:
        """Serve until SIGTERM; raises OSError if the address is taken."""
        listener = server.listen(*self.config.listen)
        async with trio.open_nursery() as nursery:
            self.discovery.update_addresses(self.config.initial_list.instances, True)
            self.discovery.publish(
                EndpointsUpdated(
                    UpdateType.RESTORED,
                    tuple(
                        instance.worker()
                        for instance in self.config.initial_list.instances
                        if instance.lifecycle != "gone"
                    ),
                )
            )
            self.loop.order_handlers = {
                CheckHealth: lambda order: nursery.start_soon(
                    self.health_checker.check, order.worker
                )
            }
            self.loop.run_batch(trio.current_time())
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self.discovery.run)
            nursery.start_soon(self.server.serve, listener)
            nursery.start_soon(self._log_summaries)
            gc.collect()
            gc.freeze()  # what stands from the start need not be gone through again
            log_event(
                "ready",
                name=self.config.name,
                listen=self.config.listen,
                workers=len(self.config.initial_list.instances),
                limits=msgspec.to_builtins(self.config.limits),
                channel=asdict(self.config.settings.channel),
                duties=asdict(self.config.settings.safety_limits),
            )
            for unmet in self.config.unsupported_settings:
                log_event("settings.unsupported", what=unmet)
            await self._wait_for_stop(signals)
            self.loop.stop()
            await self.server.finish()
            nursery.cancel_scope.cancel()
        log_event("stopped", batches=self.loop.batch_count)

    async def _wait_for_stop(self, signals: SignalReceiver) -> None:
        """Reloads as told. Danger: read while it is being written, the file would be refused and
        the place that it names never asked; so a file that can't be used is read again for a
        while.
        """
        attempts = 0  # since the last signal, of a file that can't be used
        while True:
            number = None
            with trio.move_on_after(RELOAD_RETRY_S * 2.0 ** (attempts - 1) if attempts else inf):
                number = await signals.receive()
            if number in STOP_SIGNALS:
                return
            attempts = 1 if number is not None else attempts + 1
            if self._reload(quiet=number is None) or attempts > MAX_RELOAD_RETRIES:
                attempts = 0

    def _reload(self, quiet: bool = False) -> bool:
        """Follow discovery where the file says now; a file that can't be read changes nothing.
        Tells whether it could be; `quiet` where that was said already.
        """
        try:
            new_config = platform_environment.reload_config(self.environment)
        except platform_environment.EnvironmentConfigError as error:
            if not quiet:
                log_event("reload.rejected", why=str(error))
            return False
        if new_config.discovery != self.config.discovery:
            self.discovery.set_address(new_config.discovery)
        restart_fields = [
            name
            for name in (
                "name",
                "listen",
                "limits",
                "settings",
                "zones",
                "proxy_count",
                "min_batch_interval",
            )
            if getattr(new_config, name) != getattr(self.config, name)
        ]
        self.config = platform_environment.with_discovery(self.config, new_config.discovery)
        log_event("reload.done", discovery=new_config.discovery, needs_restart=restart_fields)
        return True

    async def _log_summaries(self) -> None:
        """What happened since the last line, in sums."""
        previous_batches = 0
        while True:
            await trio.sleep(SUMMARY_INTERVAL_S)
            log_event(
                "summary",
                batches=self.loop.batch_count - previous_batches,
                joined=len(self.peer_registry.peer_by_proxy),
                collectors={
                    zone: len(zone_collectors)
                    for zone, zone_collectors in self.peer_registry.collectors.items()
                },
                unjoined=len(self.server.unjoined),
                accepted=self.server.accepted_count,
                workers=len(self.installer.listed_workers),
                out=len(self.installer.ejected),
                messages=round(self.channel.message_count),
                lines=round(self.channel.entry_count),
                cpu=round(time.process_time(), 2),
                counts=dict(self.counts),
                peers=dict(self.peer_registry.counts),
                samples=self.peer_registry.error_samples,
            )
            previous_batches = self.loop.batch_count
            self.counts.clear()
            self.peer_registry.counts.clear()
            self.peer_registry.error_samples.clear()


def serve(environment: Mapping[str, str]) -> int:
    """Run a manager as the environment says; gives the exit status: 2 for what can't be used, 1 for
    a fault.
    """
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        config = platform_environment.load_config(environment)
    except platform_environment.EnvironmentConfigError as error:
        print(f"dunlinlug: {error}", file=sys.stderr)
        return 2
    try:
        trio.run(Manager(config, environment).run, signals)
    except OSError as error:
        print(f"dunlinlug: cannot serve: {error}", file=sys.stderr)
        return 1
    except Exception:
        traceback.print_exc()
        return 1
    return 0


def main() -> None:
    status = serve(os.environ)
    sys.stderr.flush()
    os._exit(status)  # nothing is kept: an interpreter's tidying only takes time
