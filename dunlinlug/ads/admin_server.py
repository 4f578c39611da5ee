"""The admin API of a manager: built from its parts, and served to operators over HTTP."""

from pathlib import Path
from typing import Any

import trio

from dunlinlug.admin.api import AdminApi, read_token
from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads import table_view
from dunlinlug.ads.composition import ManagerParts
from dunlinlug.config import manager_config
from dunlinlug.guard import Overrides
from dunlinlug.manager.order_validation import RecordingOrderValidation
from dunlinlug.net import http

# Seconds that requests under way get when the manager stops; most take a few milliseconds.
SHUTDOWN_GRACE_S = 1.0


class ManagerStatus:
    """What the admin API shows of a manager: the tables in use, and figures for `GET /health`."""

    def __init__(
        self, parts: ManagerParts, validation: RecordingOrderValidation, overrides: Overrides
    ) -> None:
        self.parts = parts
        self.validation = validation
        self.overrides = overrides

    def tables(self) -> list[table_view.ClassDescription]:
        """Tables in use by traffic class, as `table_view.describe_tables` gives them."""
        return table_view.describe_tables(
            trio.current_time(),
            self.parts.settings.traffic_classes,
            self.parts.installer,
            self.validation.validator,
            self.overrides,
        )

    def health(self) -> dict[str, Any]:
        """Counts that anyone may see; `waiting` is in table entries. The keys are the JSON's."""
        return {
            "epoch": self.parts.epoch,
            "proxies": len(self.parts.installer.proxies),
            "workers": len(self.parts.installer.zones),
            "waiting": round(self.parts.channel.queued_entries),
            "pins": len(self.overrides.active),
        }


def create_admin_api(parts: ManagerParts) -> AdminApi | None:
    """Build the API; None without a token file or with the guard off.

    Raises:
        TokenFileError: The token file cannot be used.
    """
    config = parts.config.section(manager_config.AdminConfig)
    validation = parts.validation
    if not config.token_file or validation is None:
        return None
    overrides = Overrides(validation.validator, config.longest)
    registry = OverrideRegistry(
        overrides,
        validation.enforced,
        parts.loop.submit,
        parts.log_event,
        parts.store.put_overrides,
        validation.record_rejections,
    )
    validation.register_observer(registry.end_invalid)
    status = ManagerStatus(parts, validation, overrides)
    return AdminApi(
        read_token(Path(config.token_file)),
        parts.settings.traffic_classes,
        registry,
        status.tables,
        status.health,
    )


async def start_admin_api(
    admin_api: AdminApi, parts: ManagerParts, restore_overrides: bool, nursery: trio.Nursery
) -> tuple[str, int]:
    """Serve the API in the nursery; gives the address that it listens on.

    Args:
        admin_api: The API to serve.
        parts: The parts of its manager.
        restore_overrides: Whether the store's overrides take effect now; a member of a set that
            elects leaders restores them only once it leads.
        nursery: Where the server runs.

    Raises:
        OSError: The port is taken.
    """
    config = parts.config.section(manager_config.AdminConfig)
    host, port = config.listen
    listeners = await trio.open_tcp_listeners(port, host=host)
    address: tuple[str, int] = listeners[0].socket.getsockname()[:2]
    if restore_overrides:
        admin_api.overrides.restore(trio.current_time(), parts.store.overrides())
    nursery.start_soon(admin_api.overrides.run)
    nursery.start_soon(http.serve, admin_api.handle, listeners, config.quiet_most, SHUTDOWN_GRACE_S)
    parts.log_event("admin.ready", listen=f"{address[0]}:{address[1]}")
    return address
