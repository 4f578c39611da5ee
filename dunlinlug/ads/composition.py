"""Builds the components of a manager from its configuration, before the event loop runs.

No component is started and no socket is opened. The store is opened, as its epoch is part of table
names. Components that need the running event loop are built in `fleet_composition`.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from dunlinlug.ads.delivery import ResponseDelivery
from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.service import XdsService
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.discovery.blocking_query import BlockingQuery
from dunlinlug.guard import OrderValidator
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.endpoint_watcher import EndpointWatcher
from dunlinlug.manager.health_checks import HealthChecker
from dunlinlug.manager.interfaces import DecisionModule
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.net import http
from dunlinlug.storage.store import Store

ModuleFactory = Callable[[ManagerSettings], DecisionModule]
ValidatorFactory = Callable[[ManagerSettings, bool], OrderValidator]


@dataclass(frozen=True)
class ManagerComponents:
    """The components that every manager has, in a fleet or alone.

    Attributes:
        config: The configuration that was read at startup.
        settings: The decision module's settings, made from the configuration.
        log_event: Writes one structured log line: event name and fields.
        make_validator: Builds a validator from the settings and whether rejections are enforced.
        epoch: Number of this start of the process, counted in the store.
        validation: None if the guard is off.
    """

    config: ConfigFile
    settings: ManagerSettings
    log_event: Callable[..., None]
    make_validator: ValidatorFactory
    store: Store
    epoch: int
    installer: XdsTableInstaller
    channel: PacedChannel
    report_aggregator: ReportAggregator
    validation: RecordingOrderValidation | None
    loop: DecisionLoop
    delivery: ResponseDelivery
    service: XdsService
    endpoint_watcher: EndpointWatcher
    health_checker: HealthChecker


def module_clock_offset() -> float:
    """Return the seconds to add to a wall-clock time to convert it to the event loop's clock."""
    return trio.current_time() - time.time()


def build_components(
    config: ConfigFile,
    make_module: ModuleFactory,
    make_validator: ValidatorFactory,
    log_event: Callable[..., None],
) -> ManagerComponents:
    """Open the store and build all components.

    Raises:
        ConfigError: The configuration's values do not form valid settings.
        StoreError: The store cannot be used.
    """
    settings = manager_config.manager_settings(config)
    store = Store(Path(config.section(manager_config.ServerConfig).store))
    epoch = store.next_epoch()
    installer = _create_installer(config, settings, epoch)
    channel = _create_channel(config)
    report_aggregator = _create_report_aggregator(config, settings)
    validation = _create_validation(config, settings, store, make_validator, log_event)
    delivery = ResponseDelivery(installer)
    loop = DecisionLoop(
        make_module(settings), installer, channel, delivery.deliver, log_event, validation
    )
    return ManagerComponents(
        config=config,
        settings=settings,
        log_event=log_event,
        make_validator=make_validator,
        store=store,
        epoch=epoch,
        installer=installer,
        channel=channel,
        report_aggregator=report_aggregator,
        validation=validation,
        loop=loop,
        delivery=delivery,
        service=_create_service(config, loop, delivery, report_aggregator, log_event),
        endpoint_watcher=_create_endpoint_watcher(config, store, loop, log_event),
        health_checker=_create_health_checker(config, loop),
    )


def _create_installer(
    config: ConfigFile, settings: ManagerSettings, epoch: int
) -> XdsTableInstaller:
    return XdsTableInstaller(
        epoch,
        settings.traffic_classes,
        settings.default_retry_policy,
        config.section(manager_config.ChannelConfig).message_lines,
        config.section(manager_config.ServerConfig).try_aims,
    )


def _create_report_aggregator(config: ConfigFile, settings: ManagerSettings) -> ReportAggregator:
    class_names = frozenset(traffic_class.name for traffic_class in settings.traffic_classes)
    return ReportAggregator(config.section(manager_config.ReportConfig).lines_per_s, class_names)


def channel_rate(config: ConfigFile) -> float:
    """Return the channel's rate in entries per second: `pace`, or `lines_per_s` if it is unset."""
    channel = config.section(manager_config.ChannelConfig)
    return channel.pace or channel.lines_per_s


def _create_channel(config: ConfigFile) -> PacedChannel:
    channel = config.section(manager_config.ChannelConfig)
    return PacedChannel(
        channel_rate(config), channel.waiting_most, channel.messages_most, channel.messages_span
    )


def _create_validation(
    config: ConfigFile,
    settings: ManagerSettings,
    store: Store,
    make_validator: ValidatorFactory,
    log_event: Callable[..., None],
) -> RecordingOrderValidation | None:
    guard = config.section(manager_config.GuardConfig)
    if guard.mode == "off":
        return None
    enforced = guard.mode == "on"
    return RecordingOrderValidation(
        make_validator(settings, enforced),
        enforced,
        log_event,
        lambda rejections: store.put_rejections(rejections, guard.remember),
    )


def _create_service(
    config: ConfigFile,
    loop: DecisionLoop,
    delivery: ResponseDelivery,
    report_aggregator: ReportAggregator,
    log_event: Callable[..., None],
) -> XdsService:
    report_interval = config.section(manager_config.ReportConfig).cycle
    return XdsService(loop, delivery, report_aggregator, report_interval, log_event)


def _create_endpoint_watcher(
    config: ConfigFile, store: Store, loop: DecisionLoop, log_event: Callable[..., None]
) -> EndpointWatcher:
    discovery = config.section(manager_config.DiscoveryConfig)
    rng = Random(config.section(manager_config.ServerConfig).seed)
    return EndpointWatcher(
        http.Client(*discovery.address, max_idle_connections=1),
        BlockingQuery(discovery.service, discovery.wait, rng.uniform),
        discovery.within,
        lambda: module_clock_offset() + loop.clock_offset,
        loop.submit,
        store.put_endpoint_list,
        log_event,
    )


def _create_health_checker(config: ConfigFile, loop: DecisionLoop) -> HealthChecker:
    health_checks = config.section(manager_config.HealthCheckConfig)
    return HealthChecker(
        health_checks.path, health_checks.within, health_checks.at_once, loop.submit
    )
