"""The manager as a process: puts the parts together, starts and stops them, reloads what may
change.
"""

import ssl
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import attrs
import trio

from dunlinlug.admin.api import AdminApi, TokenFileError, read_token
from dunlinlug.admin.override_registry import OverrideRegistry, OverrideRejectedError
from dunlinlug.ads import table_view
from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.service import XdsService
from dunlinlug.balance import Balancer
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError, ConfigFile
from dunlinlug.decision.events import Endpoint, EndpointsUpdated, PartitionLimitsChanged, UpdateType
from dunlinlug.decision.orders import CheckHealth, ListEndpoints, WatchEndpoints
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.discovery import entries
from dunlinlug.discovery.blocking_query import BlockingQuery
from dunlinlug.fleet.election.leadership import Leadership
from dunlinlug.fleet.election.replicated_state import listed_workers
from dunlinlug.fleet.membership.load import ManagerLoad
from dunlinlug.fleet.membership.messages import MemberStateChanged
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.ownership.lease_exercise import run_exercise
from dunlinlug.fleet.ownership.options import LeaseTiming
from dunlinlug.fleet.ownership.service import Ownership, OwnershipConfig
from dunlinlug.fleet.ownership.shared_health_checks import HealthCheckCoordinator
from dunlinlug.fleet.ownership.shared_overrides import SharedOverrides
from dunlinlug.fleet.shared_keys import KeyFileError, read_keys
from dunlinlug.guard import OrderValidator, OverrideError, Overrides
from dunlinlug.manager import structured_logging
from dunlinlug.manager.channel import PacedChannel
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.endpoint_watcher import EndpointWatcher
from dunlinlug.manager.health_checks import HealthChecker
from dunlinlug.manager.interfaces import DecisionModule
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.manager.report_aggregator import ReportAggregator
from dunlinlug.manager.signals import STOP_SIGNALS, SignalReceiver
from dunlinlug.manager.skewed_clock import SkewedClock
from dunlinlug.net import grpc, http, tls
from dunlinlug.net.tls import TlsConfigError
from dunlinlug.storage.store import Store, StoreError

# seconds from a stop for operators' requests under way, most of which take a few milliseconds
ADMIN_SHUTDOWN_GRACE_S = 1.0


def module_clock_offset() -> float:
    """The loop's clock less the wall clock: adds to a wall time to give the module's."""
    return trio.current_time() - time.time()


class Manager:
    """One manager; `make` builds its decision module."""

    def __init__(
        self,
        path: Path,
        config: ConfigFile,
        make_module: Callable[[ManagerSettings], DecisionModule] = Balancer,
    ) -> None:
        self.path = path
        self.config = config
        self.settings = manager_config.manager_settings(config)
        self.log_event: Any = structured_logging.get_logger("manager").info
        self.store = Store(Path(config.section(manager_config.ServerConfig).store))
        server = config.section(manager_config.ServerConfig)
        channel = config.section(manager_config.ChannelConfig)
        reports = config.section(manager_config.ReportConfig)
        self.epoch = self.store.next_epoch()
        self.installer = XdsTableInstaller(
            self.epoch,
            self.settings.traffic_classes,
            self.settings.default_retry_policy,
            channel.message_lines,
            server.try_aims,
        )
        self.channel = PacedChannel(
            channel.pace or channel.lines_per_s,
            channel.waiting_most,
            channel.messages_most,
            channel.messages_span,
        )
        self.report_aggregator = ReportAggregator(
            reports.lines_per_s,
            frozenset(traffic_class.name for traffic_class in self.settings.traffic_classes),
        )
        self.validation = self._create_validation()
        self.loop = DecisionLoop(
            make_module(self.settings),
            self.installer,
            self.channel,
            self._deliver,
            self.log_event,
            self.validation,
        )
        self.service = XdsService(
            self.loop, self.installer, self.report_aggregator, reports.cycle, self.log_event
        )
        self.endpoint_watcher = self._create_endpoint_watcher(
            config.section(manager_config.DiscoveryConfig), Random(server.seed)
        )
        health_checks = config.section(manager_config.HealthCheckConfig)
        self.health_checker = HealthChecker(
            health_checks.path, health_checks.within, health_checks.at_once, self.loop.submit
        )
        self.admin_config = config.section(manager_config.AdminConfig)
        self.admin_api = self._create_admin_api()
        self.tls_context = self._load_tls_context()
        self.election_config = config.section(manager_config.ElectionConfig)
        self.leadership: Leadership | None = None
        self.election_keys = (
            read_keys(Path(self.election_config.key_file)) if self.election_config.member else []
        )
        self.membership_config = config.section(manager_config.MembershipConfig)
        self.membership: Membership | None = None
        self.member_keys = (
            read_keys(Path(manager_config.member_key_file(config)))
            if self.membership_config.me
            else []
        )
        self.ownership: Ownership | None = None
        self.shared_health_checks: HealthCheckCoordinator | None = None
        self.shared_overrides: SharedOverrides | None = None
        self.last_cpu_sample = (
            0.0,
            0.0,
        )  # when the processor's time was read last, and what it was
        self.leader_scopes = set[trio.CancelScope]()  # of what only a master does

    def _deliver(self, proxy: int, batch: Any) -> None:
        # Danger: frozen since it was decided; the lease is looked at right before the bytes leave.
        if self.leadership is not None and not self.leadership.holds_lease(trio.current_time()):
            return
        self.service.deliver(proxy, batch)

    def _create_validation(self) -> RecordingOrderValidation | None:
        guard = self.config.section(manager_config.GuardConfig)
        if guard.mode == "off":
            return None
        enforced = guard.mode == "on"
        return RecordingOrderValidation(
            OrderValidator(self.settings, enforced),
            enforced,
            self.log_event,
            lambda rejections: self.store.put_rejections(rejections, guard.remember),
        )

    def _create_leadership(self, election: manager_config.ElectionConfig) -> Leadership:
        """Our part in a set of managers; its clocks begin now."""
        rng = Random(f"{self.config.section(manager_config.ServerConfig).seed} {election.member}")
        members = self.config.sections(manager_config.MemberConfig)
        addresses: dict[str, tuple[str, int]] = {
            name: member.peers for name, member in members.items()
        }
        timing = {
            "lease": election.lease,
            "heartbeat_interval": election.beat,
            "drift": election.drift,
            "recovery_timeout": election.forgets,
        }
        leadership = Leadership(
            election.member,
            addresses,
            self.election_keys,
            timing,
            election.first,
            self.store,
            self.settings,
            self.loop,
            self.installer,
            self.service,
            rng,
            lambda event, **fields: self.log_event(event, **fields),
        )
        leadership.on_become_leader = self._on_leadership_gained
        leadership.on_step_down = self._on_leadership_lost
        if self.admin_api is not None:
            board = self.admin_api.overrides
            leadership.current_overrides = board.to_plain
            leadership.on_overrides = board.replace_all
        return leadership

    def _create_membership(self, config: manager_config.MembershipConfig) -> Membership:
        """Our part among managers that know each other. The set agreed is succession's, where there
        is one.
        """
        addresses: dict[str, tuple[str, int]] = {
            name: member.knows
            for name, member in self.config.sections(manager_config.MemberConfig).items()
        }
        leadership = self.leadership

        def voters() -> tuple[str, ...]:
            return (
                leadership.protocol.voter_set.members
                if leadership is not None
                else tuple(addresses)
            )

        membership = Membership(
            config.me,
            self.epoch,
            addresses,
            self.member_keys,
            config.beat,
            Random(f"{self.config.section(manager_config.ServerConfig).seed} members {config.me}"),
            lambda event, **fields: self.log_event(event, **fields),
            voters,
            bind_address=config.binds if config.binds[1] else None,
        )
        membership.on_partition_change = lambda name, means: self._submit_partition_limits()
        membership.on_event = self.loop.submit
        membership.listed_workers = lambda: self.endpoint_watcher.last_list
        self.service.on_reports = membership.record_reports
        membership.current_load = self._measure_load
        # One detector, one list of addresses, one door.
        ownership = self.ownership = self._create_ownership(config.me, addresses)
        for service in (leadership, ownership):
            if service is not None:
                transport = service.transport
                transport.register_membership_addresses(membership.address_of)
                membership.transport.register_connection_handler(
                    transport.preface_tag, transport.accept_shared
                )

        def on_member_changed(change: MemberStateChanged) -> None:
            reachable = {name for name in voters() if membership.protocol.is_reachable(name)}
            if leadership is not None and change.after == "failed":
                leadership.member_failure_detected(change.name, reachable)
            if ownership is not None:
                ownership.member_status_changed(change.name, change.after == "failed", reachable)

        membership.on_member_change = on_member_changed
        return membership

    def _create_ownership(
        self, self_id: str, addresses: dict[str, tuple[str, int]]
    ) -> Ownership | None:
        """Our part in owning fleet-wide work, and its users."""
        config = self.config.section(manager_config.LeaseConfig)
        if not config.on:
            return None
        timing = LeaseTiming(config.lease, config.beat, config.drift, config.forgets)
        ownership = Ownership(
            OwnershipConfig(self_id, addresses, self.member_keys, timing),
            self.store,
            Random(
                f"{self.config.section(manager_config.ServerConfig).seed} owners {self_id} {self.epoch}"
            ),
            lambda event, **fields: self.log_event(event, **fields),
        )
        self.shared_health_checks = HealthCheckCoordinator(
            ownership,
            self.health_checker.timeout,
            self.health_checker.check,
            self.loop.submit,
            self.nursery.start_soon,
        )
        self.health_checker.submit = self.shared_health_checks.check_completed
        if self.admin_api is not None:
            self.admin_api.ownership = ownership
            if self.leadership is None:  # with succession the master's pins go with its batches
                self.admin_api.coordinator = self.shared_overrides = SharedOverrides(
                    ownership,
                    self.admin_api.overrides,
                    (OverrideError, OverrideRejectedError),
                    lambda event, **fields: self.log_event(event, **fields),
                    time.time,
                )
        return ownership

    def _check_health(self, worker: str) -> None:
        if self.shared_health_checks is not None:
            self.shared_health_checks.request(worker)
        else:
            self.nursery.start_soon(self.health_checker.check, worker)

    def _submit_partition_limits(self) -> None:
        """The module goes by our standing. Danger: one that took over would go by that of the
        former master.
        """
        if self.membership is not None:
            means = self.membership.partition_limits
            self.loop.submit(
                PartitionLimitsChanged(
                    means.max_ejected_fraction, means.may_start_changes, means.may_ramp_up
                )
            )

    def _measure_load(self) -> ManagerLoad:
        """What we carry now, for the others. The processor's part is that since the last call."""
        now = trio.current_time()
        cpu_time = time.process_time()
        (previous_time, previous_cpu_time), self.last_cpu_sample = (
            self.last_cpu_sample,
            (now, cpu_time),
        )
        max_queued_entries = self.config.section(manager_config.ChannelConfig).waiting_most
        module = self.loop.module
        rates = (
            [proxy.request_rate for proxy in module.state.assignments.proxies.values()]
            if isinstance(module, Balancer)
            else []
        )
        return ManagerLoad(
            len(self.installer.proxies),
            sum(rates),
            self.channel.queued_entries / max_queued_entries if max_queued_entries else 0.0,
            (cpu_time - previous_cpu_time) / (now - previous_time) if now > previous_time else 0.0,
        )

    def _on_leadership_gained(self, starts_empty: bool) -> None:
        """We lead: judge anew by what stands, follow the roster, and go on where the former master
        was.
        """
        if self.validation is not None:
            validator = OrderValidator(self.settings, self.validation.enforced)
            workers = (
                listed_workers(self.loop.module.state.fleet)
                if isinstance(self.loop.module, Balancer)
                else []
            )
            validator.restore(
                self.loop.clock_offset + trio.current_time(),
                workers,
                {
                    tbl: (laid.weights, laid.admissions)
                    for tbl, laid in self.installer.tables.items()
                },
                self.installer.ejected,
            )
            self.validation.validator = validator
            if self.admin_api is not None:
                self.admin_api.overrides.overrides.validator = validator
        if starts_empty:
            self._submit_stored_list()
            if self.admin_api is not None:
                self.admin_api.overrides.restore(trio.current_time(), self.store.overrides())
        self._submit_partition_limits()
        self.endpoint_watcher.last_list = None
        if self.config.section(manager_config.DiscoveryConfig).mode == "pushed":
            self.nursery.start_soon(self._run_while_leading, self.endpoint_watcher.watch, True)
        elif not starts_empty:
            self.loop.submit(
                EndpointsUpdated(UpdateType.FAILED)
            )  # what the former master asked for does not come to us

    def _on_leadership_lost(self) -> None:
        for scope in self.leader_scopes:
            scope.cancel()

    async def _run_while_leading(self, task: Callable[..., Any], *arguments: Any) -> None:
        with trio.CancelScope() as scope:
            self.leader_scopes.add(scope)
            await task(*arguments)
        self.leader_scopes.discard(scope)

    def _load_tls_context(self) -> ssl.SSLContext | None:
        """For new connections; None where ADS and LRS are plain text. Raises TlsFault."""
        config = self.config.section(manager_config.TlsConfig)
        return (
            tls.server_context(Path(config.cert), Path(config.key), Path(config.clients))
            if config.cert
            else None
        )

    def _create_admin_api(self) -> AdminApi | None:
        """The operators' endpoint; none without a token, nor without a judge. Raises TokenFault."""
        if not self.admin_config.token_file or self.validation is None:
            return None
        validation = self.validation
        overrides = Overrides(self.validation.validator, self.admin_config.longest)
        registry = OverrideRegistry(
            overrides,
            validation.enforced,
            self.loop.submit,
            lambda event, **fields: self.log_event(event, **fields),
            self.store.put_overrides,
            validation.record_rejections,
        )
        validation.set_validated_callback(registry.end_invalid)
        return AdminApi(
            read_token(Path(self.admin_config.token_file)),
            self.settings.traffic_classes,
            registry,
            lambda: table_view.describe_tables(
                trio.current_time(),
                self.settings.traffic_classes,
                self.installer,
                validation.validator,
                overrides,
            ),
            lambda: {
                "epoch": self.epoch,
                "proxies": len(self.installer.proxies),
                "workers": len(self.installer.zones),
                "waiting": round(self.channel.queued_entries),
                "pins": len(overrides.active),
            },
        )

    async def _start_admin_api(self, nursery: trio.Nursery) -> None:
        """Raises OSError if its port is taken."""
        if self.admin_api is None:
            return
        listeners = await trio.open_tcp_listeners(
            self.admin_config.listen[1], host=self.admin_config.listen[0]
        )
        self.admin_address = listeners[0].socket.getsockname()[:2]
        if self.leadership is None:
            self.admin_api.overrides.restore(trio.current_time(), self.store.overrides())
        nursery.start_soon(self.admin_api.overrides.run)
        nursery.start_soon(
            http.serve,
            self.admin_api.handle,
            listeners,
            self.admin_config.quiet_most,
            ADMIN_SHUTDOWN_GRACE_S,
        )
        self.log_event("admin.ready", listen=f"{self.admin_address[0]}:{self.admin_address[1]}")

    def _create_endpoint_watcher(
        self, config: manager_config.DiscoveryConfig, rng: Random
    ) -> EndpointWatcher:
        client = http.Client(*config.address, max_idle_connections=1)
        state = BlockingQuery(config.service, config.wait, rng.uniform)
        return EndpointWatcher(
            client,
            state,
            config.within,
            lambda: module_clock_offset() + self.loop.clock_offset,
            self.loop.submit,
            self.store.put_endpoint_list,
            self.log_event,
        )

    async def run(
        self,
        signals: SignalReceiver | None = None,
        task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM or SIGINT, or until cancelled; raises OSError if the port is taken."""
        server = self.config.section(manager_config.ServerConfig)
        discovery = self.config.section(manager_config.DiscoveryConfig)
        listeners = await trio.open_tcp_listeners(server.listen[1], host=server.listen[0])
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.election_config.member:
                self.leadership = self._create_leadership(self.election_config)
                if self.admin_api is not None:
                    self.admin_api.leadership = self.leadership
            if self.membership_config.me:
                self.membership = self._create_membership(self.membership_config)
                if self.admin_api is not None:
                    self.admin_api.membership = self.membership
                await nursery.start(self.membership.run)
                if self.ownership is not None and self.shared_health_checks is not None:
                    nursery.start_soon(self.ownership.run)
                    nursery.start_soon(self.shared_health_checks.run)
                    if self.shared_overrides is not None:
                        nursery.start_soon(self.shared_overrides.run)
                    nursery.start_soon(
                        run_exercise,
                        self.ownership,
                        self.config.section(manager_config.LeaseConfig).exercise,
                    )
            await self._start_admin_api(nursery)
            if self.leadership is None:
                self._submit_stored_list()
            else:
                host, port = self.leadership.transport.addresses[self.leadership.self_id]
                nursery.start_soon(
                    self.leadership.run,
                    await trio.open_tcp_listeners(port, host=host) if port else [],
                )
            self.loop.order_handlers = {
                CheckHealth: lambda order: self._check_health(order.worker),
                WatchEndpoints: lambda order: nursery.start_soon(
                    self._run_while_leading, self.endpoint_watcher.watch, False
                ),
                ListEndpoints: lambda order: nursery.start_soon(
                    self._run_while_leading, self.endpoint_watcher.list_endpoints
                ),
            }
            nursery.start_soon(self.loop.run)
            nursery.start_soon(self.service.submit_reports)
            if discovery.mode == "pushed" and self.leadership is None:
                nursery.start_soon(self.endpoint_watcher.watch, True)
            nursery.start_soon(
                grpc.serve,
                listeners,
                self.service.handle_call,
                server.hello_within,
                server.quiet_most,
                self._log_connection_error,
                lambda: self.tls_context,
                lambda reason: self.log_event("proxy.authentication_failed", why=reason),
            )
            self.log_event(
                "manager.ready", epoch=self.epoch, listen=f"{server.listen[0]}:{server.listen[1]}"
            )
            task_status.started(listeners[0].socket.getsockname()[:2])
            await self._wait_for_stop(signals or SignalReceiver())
            self.loop.stop()
            if self.membership is not None:
                self.membership.leave()
            nursery.cancel_scope.cancel()
        self.log_event(
            "manager.stopped",
            batches=self.loop.batch_count,
            most_waited=round(self.channel.peak_queued_entries),
        )
        self.store.close()

    def _submit_stored_list(self) -> None:
        """The list as it was held before, also an empty one: the module's first event."""
        workers: list[Endpoint] = []
        body = self.store.endpoint_list()
        if body is not None:
            try:
                workers, _ = entries.decode_workers(
                    body, module_clock_offset() + self.loop.clock_offset
                )
            except entries.DiscoveryResponseError as error:
                self.log_event("store.invalid_list", why=str(error))
        self.loop.submit(EndpointsUpdated(UpdateType.RESTORED, tuple(workers)))
        self.log_event("store.list_loaded", workers=len(workers))

    async def _wait_for_stop(self, signals: SignalReceiver) -> None:
        while await signals.receive() not in STOP_SIGNALS:
            self._reload()

    def _log_connection_error(self, error: Exception) -> None:
        """A mistake of ours met by one peer: its link has ended, the others go on."""
        self.log_event(
            "connection.internal_error", why="".join(traceback.format_exception(error))[-2000:]
        )

    def _sections_needing_restart(self, new_config: ConfigFile) -> list[str]:
        """The sections with a change that only a restart can take up: all but the channel's pace
        and the log.
        """
        current = self.config
        changed = []
        for section, kind in manager_config.SECTIONS.items():
            old_section: Any = current.section(kind)
            new_section: Any = new_config.section(kind)
            reloadable = (
                {"pace"}
                if kind is manager_config.ChannelConfig
                else {"log"}
                if kind is manager_config.ServerConfig
                else set()
            )
            if (
                attrs.evolve(new_section, **{key: getattr(old_section, key) for key in reloadable})
                != old_section
            ):
                changed.append(f"[{section}]")
        return changed + (
            ["[product]"]
            if new_config.sections(manager_config.TrafficClassConfig)
            != current.sections(manager_config.TrafficClassConfig)
            else []
        )

    def _reload(self) -> None:
        """Take up what may change while running; a bad file, or a change that needs a restart,
        changes nothing.
        """
        try:
            new_config = manager_config.load_manager_config(self.path)
        except ConfigError as error:
            self.log_event("reload.rejected", why=str(error))
            return
        restart_sections = self._sections_needing_restart(new_config)
        if restart_sections:
            self.log_event(
                "reload.rejected",
                why=f"a restart is needed for what changed in {', '.join(restart_sections)}",
            )
            return
        try:
            context = (
                self._load_tls_context()
            )  # streams that stand go on under the keys that they began with
            if self.admin_api is not None:
                self.admin_api.token = read_token(Path(self.admin_config.token_file))
        except (TokenFileError, TlsConfigError) as error:
            self.log_event("reload.rejected", why=str(error))
            return
        self.tls_context = context
        channel = new_config.section(manager_config.ChannelConfig)
        self.channel.set_rate(trio.current_time(), channel.pace or channel.lines_per_s)
        self.loop.channel_changed.set()
        structured_logging.configure_logging(new_config.section(manager_config.ServerConfig).log)
        self.config = new_config
        self.log_event("reload.done", pace=self.channel.entries_per_s)


def serve(
    path: Path,
    make_module: Callable[[ManagerSettings], DecisionModule] = Balancer,
    clock_rate: float = 1.0,
) -> int:
    """Run a manager by its file; gives the exit status: 2 for a file or store that cannot be used.
    `clock_rate` is for days on which clocks drift apart.
    """
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        config = manager_config.load_manager_config(path)
        structured_logging.configure_logging(config.section(manager_config.ServerConfig).log)
        manager = Manager(path, config, make_module)
    except (ConfigError, StoreError, TokenFileError, KeyFileError, TlsConfigError) as error:
        print(f"dunlinlug: {error}", file=sys.stderr)
        return 2
    try:
        trio.run(manager.run, signals, clock=SkewedClock(clock_rate) if clock_rate != 1.0 else None)
    except OSError as error:
        print(f"dunlinlug: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0
