"""Builds the admin API from a manager's components and serves it over HTTP."""

from collections.abc import Callable
from pathlib import Path
from typing import TypedDict

import trio

from dunlinlug.admin.api import AdminApi, read_token
from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads import table_view
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.stored_overrides import restore_stored_overrides
from dunlinlug.config import manager_config
from dunlinlug.guard import Overrides
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.net import http

# Seconds allowed for requests in progress when the manager stops; most take a few milliseconds.
SHUTDOWN_GRACE_S = 1.0
# Operators and their tools use a few connections; an override of 10,000 workers has 0.5 MiB.
LIMITS = http.ServerLimits(
    max_connections=64, max_new_connections=32, max_body_size=2**20, max_received_bytes=2**22
)


class HealthDescription(TypedDict):
    """Body of `GET /health`, which needs no token; `waiting` is the queue size in table entries.

    The field names are the keys of the JSON object.
    """

    epoch: int
    proxies: int
    workers: int
    waiting: int
    pins: int


class ManagerStatus:
    """Reports the tables in use and the figures of `GET /health` to the admin API."""

    def __init__(
        self,
        components: ManagerComponents,
        validation: RecordingOrderValidation,
        overrides: Overrides,
    ) -> None:
        self.components = components
        self.validation = validation
        self.overrides = overrides

    def tables(self) -> list[table_view.ClassDescription]:
        """Describe the tables in use by traffic class; see `table_view.describe_tables`."""
        return table_view.describe_tables(
            trio.current_time(),
            self.components.settings.traffic_classes,
            self.components.installer,
            self.validation.validator,
            self.overrides,
        )

    def health(self) -> HealthDescription:
        """Return the counts that are public, as `GET /health` needs no token."""
        return HealthDescription(
            epoch=self.components.epoch,
            proxies=len(self.components.installer.proxies),
            workers=len(self.components.installer.zones),
            waiting=round(self.components.channel.queued_entries),
            pins=len(self.overrides.active),
        )


def create_admin_api(components: ManagerComponents) -> AdminApi | None:
    """Build the admin API; returns None if no token file is configured or the guard is off.

    Raises:
        TokenFileError: The token file cannot be used.
    """
    config = components.config.section(manager_config.AdminConfig)
    validation = components.validation
    if not config.token_file or validation is None:
        return None
    overrides = Overrides(validation.validator, config.longest)
    registry = OverrideRegistry(
        overrides,
        validation.enforced,
        components.loop.submit,
        components.log_event,
        components.store.put_overrides,
        validation.record_rejections,
    )
    validation.set_validated_callback(registry.end_invalid)
    status = ManagerStatus(components, validation, overrides)
    return AdminApi(
        read_token(Path(config.token_file)),
        components.settings.traffic_classes,
        registry,
        status.tables,
        status.health,
    )


async def start_admin_api(
    admin_api: AdminApi,
    components: ManagerComponents,
    restore_overrides: bool,
    nursery: trio.Nursery,
    on_error: Callable[[Exception], None],
) -> tuple[str, int]:
    """Serve the API in the nursery and return the address that it listens on.

    Args:
        admin_api: The API to serve.
        components: The components of its manager.
        restore_overrides: Whether to apply the stored overrides now; with leader election, a
            member restores them only when it becomes leader.
        nursery: Runs the server's tasks.
        on_error: Called with an internal error of one connection, which ends only that connection.

    Raises:
        OSError: The port is in use.
    """
    config = components.config.section(manager_config.AdminConfig)
    host, port = config.listen
    listeners = await trio.open_tcp_listeners(port, host=host)
    address: tuple[str, int] = listeners[0].socket.getsockname()[:2]
    if restore_overrides:
        restore_stored_overrides(components, admin_api.overrides)
    nursery.start_soon(admin_api.overrides.run)
    nursery.start_soon(
        http.serve,
        admin_api.handle,
        listeners,
        config.quiet_most,
        SHUTDOWN_GRACE_S,
        http.ServerOptions(LIMITS, admin_api.check_token, admin_api.is_authorized, on_error),
    )
    components.log_event("admin.ready", listen=f"{address[0]}:{address[1]}")
    return address
