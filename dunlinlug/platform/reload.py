"""Signals of a serving manager: reloads of its configuration, and the wait for its stop."""

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

# Seconds to a file's next reading after one that failed, doubled each time.
RELOAD_RETRY_S = 0.1
# Readings after the first, 6 s in all.
MAX_RELOAD_RETRIES = 6
# What a reload does not change; a different value is logged.
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
    """Reads the configuration again at each SIGHUP and follows discovery where it says.

    A file that cannot be used changes nothing and is read again for a while. Without this, one
    that is read while it is being written would be rejected, and the address that it names never
    queried.
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
        """Reload as signals ask for it; return at a signal to stop."""
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
        """Read the configuration and return whether it could be used.

        A failure is logged unless it is a retry's, as it was logged then.
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
    """Return the seconds until the file is read again; infinity where the last reading was good."""
    if not failed_attempts:
        return inf
    return RELOAD_RETRY_S * 2.0 ** (failed_attempts - 1)
