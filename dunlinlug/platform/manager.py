"""The platform's manager: builds its components, runs them and shuts them down in order."""

import gc
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict
from random import Random
from typing import Any

import msgspec
import trio

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import CheckHealth
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.health_checks import HealthChecker
from dunlinlug.manager.interfaces import DecisionModule
from dunlinlug.manager.signals import SignalReceiver
from dunlinlug.platform.channel import UnpacedChannel
from dunlinlug.platform.connections import MAX_COLLECTORS_PER_ZONE, PeerRegistry
from dunlinlug.platform.discovery import DiscoveryWatcher
from dunlinlug.platform.discovery_state import DiscoveryState
from dunlinlug.platform.environment import PlatformConfig
from dunlinlug.platform.event_log import log_event
from dunlinlug.platform.load_metrics import parse_text_report
from dunlinlug.platform.orders import PlatformTableInstaller
from dunlinlug.platform.reload import ConfigReloader
from dunlinlug.platform.server import ConnectionServer, listen
from dunlinlug.platform.summary import SummaryLog

HEALTH_PATH = "/healthz"
LOAD_PATH = "/load"
# A healthy worker answers within a few milliseconds, an overloaded one within a few hundred.
HEALTH_CHECK_TIMEOUT_S = 0.4
# Each check uses one descriptor; more workers are rarely suspected at the same time.
MAX_CONCURRENT_HEALTH_CHECKS = 16
# Descriptors reserved for the interpreter, discovery and health checks.
RESERVED_DESCRIPTORS = 32
MIN_UNJOINED = 8


class Manager:
    """One manager; `make_module` creates its decision module.

    Owns all components, and passes each its dependencies through the constructor.
    """

    def __init__(
        self,
        config: PlatformConfig,
        environment: Mapping[str, str],
        make_module: Callable[[ManagerSettings], DecisionModule] = Balancer,
    ) -> None:
        self.config = config
        self.counts: Counter[str] = Counter()  # events and orders by kind, since the last summary
        self.installer = _make_installer(config.settings)
        self.peer_registry = PeerRegistry(
            config.zones,
            config.proxy_count,
            self.installer.class_names,
            self.installer.workers.is_known,
            self._submit,
        )
        self.server = ConnectionServer(self.peer_registry, _max_unjoined(config), log_event)
        self.channel = UnpacedChannel(self.server.deliver)
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
            DiscoveryState(Random(config.settings.seed).uniform),
            self._submit,
            log_event,
        )
        self.health_checker = _make_health_checker(config.settings, self._submit, self.discovery)
        self.reloader = ConfigReloader(config, environment, self.discovery.set_address, log_event)
        self.summary_log = SummaryLog(
            self.loop,
            self.peer_registry,
            self.server,
            self.installer,
            self.channel,
            self.counts,
            log_event,
        )

    async def run(self, signals: SignalReceiver) -> None:
        """Serve until SIGTERM; raises OSError if the listen address is in use."""
        listener = listen(*self.config.listen)
        async with trio.open_nursery() as nursery:
            self.discovery.publish_stored_list(self.config.initial_list.instances)
            self.loop.handle_orders(
                CheckHealth,
                lambda order: nursery.start_soon(self.health_checker.check, order.worker),
            )
            self.loop.run_batch(trio.current_time())
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self.discovery.run)
            nursery.start_soon(self.server.serve, listener)
            nursery.start_soon(self.summary_log.run)
            gc.collect()
            gc.freeze()  # excludes the objects made at the start from later collections
            self._log_ready()
            await self.reloader.reload_until_stopped(signals)
            self.loop.stop()
            await self.server.finish()
            nursery.cancel_scope.cancel()
        log_event("stopped", batches=self.loop.batch_count)

    def _submit(self, event: Event) -> None:
        self.counts[type(event).__name__] += 1
        self.loop.submit(event)

    def _log_loop_event(self, event: str, **fields: Any) -> None:
        """Log an event of the loop; its orders are only counted, for the summary."""
        if event != "decided":
            log_event(event, **fields)
            return
        for kind, count in fields["orders"].items():
            self.counts[kind] += count

    def _log_ready(self) -> None:
        config = self.config
        log_event(
            "ready",
            name=config.name,
            listen=config.listen,
            workers=len(config.initial_list.instances),
            limits=msgspec.to_builtins(config.limits),
            channel=asdict(config.settings.channel),
            duties=asdict(config.settings.safety_limits),
        )
        for unsupported in config.unsupported_settings:
            log_event("settings.unsupported", what=unsupported)


def _make_installer(settings: ManagerSettings) -> PlatformTableInstaller:
    traffic_classes = settings.traffic_classes
    return PlatformTableInstaller(
        tuple(traffic_class.name for traffic_class in traffic_classes),
        settings.default_retry_policy,
        settings.channel.message_overhead,
        tuple(traffic_class.same_zone_only for traffic_class in traffic_classes),
    )


def _make_health_checker(
    settings: ManagerSettings, submit: Callable[[Event], None], discovery: DiscoveryWatcher
) -> HealthChecker:
    """Return a health checker, which reads load reports if workers are configured to send them."""
    return HealthChecker(
        HEALTH_PATH if settings.report_delivery == "none" else LOAD_PATH,
        HEALTH_CHECK_TIMEOUT_S,
        MAX_CONCURRENT_HEALTH_CHECKS,
        submit,
        discovery.resolve_address,
        parse_text_report,
    )


def _max_unjoined(config: PlatformConfig) -> int:
    """Return the maximum number of connections that have not joined.

    It leaves a descriptor for every proxy and every collector.
    """
    reserved_descriptors = (
        config.proxy_count + MAX_COLLECTORS_PER_ZONE * len(config.zones) + RESERVED_DESCRIPTORS
    )
    return max(config.limits.sockets - reserved_descriptors, MIN_UNJOINED)
