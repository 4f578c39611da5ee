"""Reloads a running manager's configuration: channel rate, log settings, TLS files, admin token.

A file that cannot be read, or that changes any other setting, is rejected as a whole and logged.
"""

import ssl
from pathlib import Path
from typing import Any

import attrs
import trio

from dunlinlug.admin.api import AdminApi, TokenFileError, read_token
from dunlinlug.ads.composition import ManagerComponents, channel_rate
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError, ConfigFile
from dunlinlug.manager import structured_logging
from dunlinlug.net import tls
from dunlinlug.net.tls import TlsConfigError

# Keys, by section, that can change without a restart.
RELOADABLE_KEYS: dict[type, frozenset[str]] = {
    manager_config.ChannelConfig: frozenset({"pace"}),
    manager_config.ServerConfig: frozenset({"log"}),
}


def load_tls_context(config: ConfigFile) -> ssl.SSLContext | None:
    """Return the TLS context for new connections; None if ADS and LRS are in plain text.

    Raises:
        TlsConfigError: A certificate or key cannot be used.
    """
    section = config.section(manager_config.TlsConfig)
    if not section.cert:
        return None
    return tls.server_context(Path(section.cert), Path(section.key), Path(section.clients))


def sections_needing_restart(current: ConfigFile, new_config: ConfigFile) -> list[str]:
    """Return the sections, in brackets, with a change that requires a restart."""
    changed = []
    for name, section_type in manager_config.SECTIONS.items():
        old_section: Any = current.section(section_type)
        new_section: Any = new_config.section(section_type)
        reloadable = RELOADABLE_KEYS.get(section_type, frozenset())
        unchanged_values = {key: getattr(old_section, key) for key in reloadable}
        if attrs.evolve(new_section, **unchanged_values) != old_section:
            changed.append(f"[{name}]")
    old_classes = current.sections(manager_config.TrafficClassConfig)
    if new_config.sections(manager_config.TrafficClassConfig) != old_classes:
        changed.append("[product]")
    return changed


class ConfigReloader:
    """Owns the current configuration and the TLS context of new connections."""

    def __init__(
        self, path: Path, components: ManagerComponents, admin_api: AdminApi | None
    ) -> None:
        """Load the TLS context.

        Raises:
            TlsConfigError: A certificate or key cannot be used.
        """
        self.path = path
        self.config = components.config
        self.channel = components.channel
        self.loop = components.loop
        self.log_event = components.log_event
        self.admin_api = admin_api
        self.tls_context = load_tls_context(components.config)

    def get_tls_context(self) -> ssl.SSLContext | None:
        """Return the context for a connection accepted now; None for plain text."""
        return self.tls_context

    def reload(self) -> None:
        """Read the file again and apply all changes, or none if any of them is rejected."""
        try:
            new_config = manager_config.load_manager_config(self.path)
        except ConfigError as error:
            self.log_event("reload.rejected", why=str(error))
            return
        restart_sections = sections_needing_restart(self.config, new_config)
        if restart_sections:
            self.log_event(
                "reload.rejected",
                why=f"a restart is needed to apply the changes in {', '.join(restart_sections)}",
            )
            return
        try:
            self._reload_credentials()
        except (TokenFileError, TlsConfigError) as error:
            self.log_event("reload.rejected", why=str(error))
            return
        self.channel.set_rate(trio.current_time(), channel_rate(new_config))
        self.loop.notify_channel_changed()
        structured_logging.configure_logging(new_config.section(manager_config.ServerConfig).log)
        self.config = new_config
        self.log_event("reload.done", pace=self.channel.entries_per_s)

    def _reload_credentials(self) -> None:
        """Read the certificates and the token again; open streams keep their existing keys."""
        context = load_tls_context(self.config)
        if self.admin_api is not None:
            token_file = self.config.section(manager_config.AdminConfig).token_file
            self.admin_api.replace_token(read_token(Path(token_file)))
        self.tls_context = context
