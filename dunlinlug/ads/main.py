"""The manager process: entry point, startup order, nursery and signals."""

import sys
import traceback
from collections.abc import Callable
from pathlib import Path

import trio

from dunlinlug.admin.api import TokenFileError
from dunlinlug.ads import shutdown
from dunlinlug.ads.admin_server import create_admin_api, start_admin_api
from dunlinlug.ads.composition import ModuleFactory, ValidatorFactory, build_components
from dunlinlug.ads.fleet_composition import FleetBuilder, FleetComponents, read_fleet_keys
from dunlinlug.ads.leadership_callbacks import LeaderTasks
from dunlinlug.ads.order_handlers import OrderHandlers
from dunlinlug.ads.reload import ConfigReloader
from dunlinlug.ads.stored_endpoint_list import submit_stored_list
from dunlinlug.balance import Balancer
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError, ConfigFile
from dunlinlug.fleet.election.leadership import Leadership
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.ownership.lease_exercise import run_exercise
from dunlinlug.fleet.ownership.service import Ownership
from dunlinlug.fleet.shared_keys import KeyFileError
from dunlinlug.guard import OrderValidator
from dunlinlug.manager import structured_logging
from dunlinlug.manager.signals import SignalReceiver
from dunlinlug.manager.skewed_clock import SkewedClock
from dunlinlug.net import grpc_server
from dunlinlug.net.tls import TlsConfigError
from dunlinlug.storage.store import StoreError

MAX_TRACEBACK_LENGTH = 2000  # characters of a traceback that go into a log line


class Manager:
    """One manager: builds its components, starts them in order, and serves until it is stopped.

    `make_module` and `make_validator` build the decision module and the guard's validator;
    `log_event` replaces the structured log.
    """

    def __init__(
        self,
        path: Path,
        config: ConfigFile,
        make_module: ModuleFactory = Balancer,
        make_validator: ValidatorFactory = OrderValidator,
        log_event: Callable[..., None] | None = None,
    ) -> None:
        """Build the components that every manager has.

        Raises:
            ConfigError, StoreError, TokenFileError, TlsConfigError, KeyFileError: The configuration
                file, the store, or a file named in the configuration cannot be used.
        """
        self.config = config
        self.log_event = log_event or structured_logging.get_logger("manager").info
        self.components = build_components(config, make_module, make_validator, self.log_event)
        self.admin_api = create_admin_api(self.components)
        self.reloader = ConfigReloader(path, self.components, self.admin_api)
        self.fleet_keys = read_fleet_keys(config)
        self.fleet = FleetComponents()
        self.leader_tasks = LeaderTasks()
        self.admin_address: tuple[str, int] | None = None

    def create_fleet(self, start_task: Callable[..., None]) -> FleetComponents:
        """Build the fleet components and register them with the admin API."""
        self.fleet = FleetBuilder(
            self.components, self.fleet_keys, self.admin_api, self.leader_tasks, start_task
        ).build()
        if self.admin_api is not None:
            self.admin_api.register_fleet(
                self.leadership,
                self.fleet.membership,
                self.fleet.ownership,
                self.fleet.shared_overrides,
            )
        return self.fleet

    @property
    def leadership(self) -> Leadership | None:
        """The leader election component; None if not configured, and until the manager runs."""
        return self.fleet.leadership

    @property
    def membership(self) -> Membership | None:
        """The membership component; None as for `leadership`."""
        return self.fleet.membership

    @property
    def ownership(self) -> Ownership | None:
        """The ownership component for fleet-wide work; None as for `leadership`."""
        return self.fleet.ownership

    async def run(
        self,
        signals: SignalReceiver | None = None,
        task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM or SIGINT, or until cancelled.

        Raises:
            OSError: A port is in use.
        """
        host, port = self.config.section(manager_config.ServerConfig).listen
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            self.create_fleet(nursery.start_soon)
            await self._start_membership(nursery)
            await self._start_admin_api(nursery)
            if self.leadership is None:
                submit_stored_list(self.components)
            else:
                await self._start_leadership(self.leadership, nursery)
            self._start_decisions(nursery)
            self._start_xds_server(listeners, nursery)
            self.log_event("manager.ready", epoch=self.components.epoch, listen=f"{host}:{port}")
            task_status.started(listeners[0].socket.getsockname()[:2])
            await shutdown.wait_for_stop(signals or SignalReceiver(), self.reloader.reload)
            shutdown.begin_shutdown(self.components, self.membership)
            nursery.cancel_scope.cancel()
        shutdown.finish_shutdown(self.components)

    async def _start_membership(self, nursery: trio.Nursery) -> None:
        """Join the other managers, then start ownership. Raises OSError if the port is in use."""
        fleet = self.fleet
        if fleet.membership is None:
            return
        await nursery.start(fleet.membership.run)
        if fleet.ownership is None or fleet.shared_health_checks is None:
            return
        nursery.start_soon(fleet.ownership.run)
        nursery.start_soon(fleet.shared_health_checks.run)
        if fleet.shared_overrides is not None:
            nursery.start_soon(fleet.shared_overrides.run)
        lease_config = self.config.section(manager_config.LeaseConfig)
        nursery.start_soon(run_exercise, fleet.ownership, lease_config.exercise)

    async def _start_admin_api(self, nursery: trio.Nursery) -> None:
        """Serve the admin API if there is one. Raises OSError if the port is in use."""
        if self.admin_api is not None:
            self.admin_address = await start_admin_api(
                self.admin_api,
                self.components,
                self.leadership is None,
                nursery,
                self._log_connection_error,
            )

    async def _start_leadership(self, leadership: Leadership, nursery: trio.Nursery) -> None:
        """Take part in elections, on a separate port or, with port 0, on that of the membership."""
        host, port = leadership.transport.addresses[leadership.self_id]
        listeners = await trio.open_tcp_listeners(port, host=host) if port else []
        nursery.start_soon(leadership.run, listeners)

    def _start_decisions(self, nursery: trio.Nursery) -> None:
        """Start the decision loop and the sources of its events."""
        components = self.components
        handlers = OrderHandlers(
            components, self.fleet.shared_health_checks, self.leader_tasks, nursery.start_soon
        )
        handlers.register(components.loop)
        nursery.start_soon(components.loop.run)
        nursery.start_soon(components.service.submit_reports)
        discovery = self.config.section(manager_config.DiscoveryConfig)
        if discovery.mode == "pushed" and self.leadership is None:
            nursery.start_soon(components.endpoint_watcher.watch, True)

    def _start_xds_server(
        self, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Serve ADS and LRS to proxies over gRPC."""
        server = self.config.section(manager_config.ServerConfig)
        options = grpc_server.ServerOptions(
            first_call_timeout=server.hello_within,
            idle_timeout=server.quiet_most,
            on_error=self._log_connection_error,
            get_tls_context=self.reloader.get_tls_context,
            on_unauthenticated=self._log_authentication_failure,
        )
        nursery.start_soon(
            grpc_server.serve,
            listeners,
            self.components.service.handle_call,
            options,
        )

    def _log_connection_error(self, error: Exception) -> None:
        """Log an internal error of one connection; the others are not affected."""
        text = "".join(traceback.format_exception(error))
        self.log_event("connection.internal_error", why=text[-MAX_TRACEBACK_LENGTH:])

    def _log_authentication_failure(self, reason: str) -> None:
        self.log_event("proxy.authentication_failed", why=reason)


def serve(
    path: Path,
    make_module: ModuleFactory = Balancer,
    clock_rate: float = 1.0,
    make_validator: ValidatorFactory = OrderValidator,
) -> int:
    """Run a manager from its configuration file until it is stopped.

    Args:
        path: The manager's INI file.
        make_module: Builds the decision module from its settings.
        clock_rate: Rate of this process's clock relative to real time; scenarios use it to
            simulate clock drift.
        make_validator: Builds the guard's validator.

    Returns:
        The exit status: 0 after a stop, 1 if a port is in use, 2 for a file or store that cannot
        be used.
    """
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        config = manager_config.load_manager_config(path)
        structured_logging.configure_logging(config.section(manager_config.ServerConfig).log)
        manager = Manager(path, config, make_module, make_validator)
    except (ConfigError, StoreError, TokenFileError, KeyFileError, TlsConfigError) as error:
        print(f"dunlinlug: {error}", file=sys.stderr)
        return 2
    clock = SkewedClock(clock_rate) if clock_rate != 1.0 else None
    try:
        trio.run(manager.run, signals, clock=clock)
    except OSError as error:
        print(f"dunlinlug: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0
