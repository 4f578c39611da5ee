"""The admin API of a manager: built from its components, and served to operators over HTTP."""

from pathlib import Path
from typing import TypedDict

import trio

from dunlinlug.admin.api import AdminApi, read_token
from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads import table_view
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.config import manager_config
from dunlinlug.guard import Overrides
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.net import http

# Seconds that requests under way get when the manager stops; most take a few milliseconds.
SHUTDOWN_GRACE_S = 1.0


class HealthDescription(TypedDict):
    """Counts that anyone may see; `waiting` is in table entries. The keys are the JSON's."""

    epoch: int
    proxies: int
    workers: int
    waiting: int
    pins: int


class ManagerStatus:
    """What the admin API shows of a manager: the tables in use, and figures for `GET /health`."""

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
        """Tables in use by traffic class, as `table_view.describe_tables` gives them."""
        return table_view.describe_tables(
            trio.current_time(),
            self.components.settings.traffic_classes,
            self.components.installer,
            self.validation.validator,
            self.overrides,
        )

    def health(self) -> HealthDescription:
        """Counts of what this manager serves, without anything that needs a token."""
        return HealthDescription(
            epoch=self.components.epoch,
            proxies=len(self.components.installer.proxies),
            workers=len(self.components.installer.zones),
            waiting=round(self.components.channel.queued_entries),
            pins=len(self.overrides.active),
        )


def create_admin_api(components: ManagerComponents) -> AdminApi | None:
    """Build the API; None without a token file or with the guard off.

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
) -> tuple[str, int]:
    """Serve the API in the nursery; gives the address that it listens on.

    Args:
        admin_api: The API to serve.
        components: The components of its manager.
        restore_overrides: Whether the store's overrides take effect now; a member of a set that
            elects leaders restores them only once it leads.
        nursery: Where the server runs.

    Raises:
        OSError: The port is taken.
    """
    config = components.config.section(manager_config.AdminConfig)
    host, port = config.listen
    listeners = await trio.open_tcp_listeners(port, host=host)
    address: tuple[str, int] = listeners[0].socket.getsockname()[:2]
    if restore_overrides:
        admin_api.overrides.restore(trio.current_time(), components.store.overrides())
    nursery.start_soon(admin_api.overrides.run)
    nursery.start_soon(http.serve, admin_api.handle, listeners, config.quiet_most, SHUTDOWN_GRACE_S)
    components.log_event("admin.ready", listen=f"{address[0]}:{address[1]}")
    return address
