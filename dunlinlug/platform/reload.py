"""Handles signals of a running manager: reloads its configuration and waits for a stop signal."""

from collections.abc import Callable, Mapping
from math import inf

import trio

from dunlinlug.manager.signals import STOP_SIGNALS, SignalReceiver
from dunlinlug.platform.discovery_state import Address
from dunlinlug.platform.environment import (
    EnvironmentConfigError,
    PlatformConfig,
    reload_config,
    with_discovery,
)

# Seconds until a file is read again after a failure, doubled each time.
RELOAD_RETRY_S = 0.1
# Retries after the first failure; they take about 6 s in total.
MAX_RELOAD_RETRIES = 6
# Settings that a reload does not apply; changed values are logged.
RESTART_FIELDS = (
    "name",
    "listen",
    "limits",
    "settings",
    "zones",
    "proxy_count",
    "min_batch_interval",
)


class ConfigReloader:
    """Reads the configuration again at each SIGHUP and applies a changed address of discovery.

    An unusable file changes nothing and is read again several times: it may have been read while it
    was being written, and the address in it would otherwise never be queried.
    """

    def __init__(
        self,
        config: PlatformConfig,
        environment: Mapping[str, str],
        set_discovery_address: Callable[[Address], None],
        log_event: Callable[..., None],
    ) -> None:
        self.config = config
        self.environment = environment
        self.set_discovery_address = set_discovery_address
        self.log_event = log_event

    async def reload_until_stopped(self, signals: SignalReceiver) -> None:
        """Reload at each reload signal; return at a stop signal."""
        failed_attempts = 0  # since the last signal
        while True:
            number = None
            with trio.move_on_after(_retry_delay(failed_attempts)):
                number = await signals.receive()
            if number in STOP_SIGNALS:
                return
            is_retry = number is None
            attempts = failed_attempts + 1 if is_retry else 1
            succeeded = self.reload(is_retry)
            failed_attempts = 0 if succeeded or attempts > MAX_RELOAD_RETRIES else attempts

    def reload(self, is_retry: bool = False) -> bool:
        """Read and apply the configuration; return whether it was usable.

        A failed retry is not logged, as the first failure was.
        """
        try:
            new_config = reload_config(self.environment)
        except EnvironmentConfigError as error:
            if not is_retry:
                self.log_event("reload.rejected", why=str(error))
            return False
        if new_config.discovery != self.config.discovery:
            self.set_discovery_address(new_config.discovery)
        restart_fields = [
            name
            for name in RESTART_FIELDS
            if getattr(new_config, name) != getattr(self.config, name)
        ]
        self.config = with_discovery(self.config, new_config.discovery)
        self.log_event("reload.done", discovery=new_config.discovery, needs_restart=restart_fields)
        return True


def _retry_delay(failed_attempts: int) -> float:
    """Return the seconds until the next retry; infinity if the last reload succeeded."""
    if not failed_attempts:
        return inf
    return RELOAD_RETRY_S * 2.0 ** (failed_attempts - 1)
