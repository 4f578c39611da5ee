"""The manager as a process: entry point, start order, nursery, signals."""

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

    `make_module` and `make_validator` build its decision module and the guard's validator;
    `log_event` takes the place of the structured log.
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
            ConfigError, StoreError, TokenFileError, TlsConfigError, KeyFileError: The file, the
                store, or a file that it names cannot be used.
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
        """Build the components among other managers and show them to operators."""
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
        """The part in electing a leader; None without one, and before the manager runs."""
        return self.fleet.leadership

    @property
    def membership(self) -> Membership | None:
        """The part among managers that know each other; None as for `leadership`."""
        return self.fleet.membership

    @property
    def ownership(self) -> Ownership | None:
        """The part in owning fleet-wide work; None as for `leadership`."""
        return self.fleet.ownership

    async def run(
        self,
        signals: SignalReceiver | None = None,
        task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM or SIGINT, or until cancelled.

        Raises:
            OSError: A port is taken.
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
        """Join the other managers, then own work. Raises OSError if the port is taken."""
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
        """Serve operators, where there is an admin API. Raises OSError if the port is taken."""
        if self.admin_api is not None:
            self.admin_address = await start_admin_api(
                self.admin_api, self.components, self.leadership is None, nursery
            )

    async def _start_leadership(self, leadership: Leadership, nursery: trio.Nursery) -> None:
        """Take part in elections, on a port of its own or (port 0) by that of the membership."""
        host, port = leadership.transport.addresses[leadership.self_id]
        listeners = await trio.open_tcp_listeners(port, host=host) if port else []
        nursery.start_soon(leadership.run, listeners)

    def _start_decisions(self, nursery: trio.Nursery) -> None:
        """Start the decision loop and what feeds it."""
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
        """Serve proxies: ADS and LRS over gRPC."""
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
        """Log an internal error that one connection met; the others go on."""
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
    """Run a manager by its file until it is stopped.

    Args:
        path: The manager's INI file.
        make_module: Builds the decision module from its settings.
        clock_rate: Seconds on this process's clock for each second; scenarios use it to let
            clocks drift apart.
        make_validator: Builds the guard's validator.

    Returns:
        The exit status: 0 after a stop, 1 if a port is taken, 2 for a file or store that cannot
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
