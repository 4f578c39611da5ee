"""Measures this manager's load, which it broadcasts to the other members."""

import time

import trio

from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.balance import Balancer
from dunlinlug.config import manager_config
from dunlinlug.fleet.membership.load import ManagerLoad


class LoadMeter:
    """Measures load; owns the last CPU time sample, which the next CPU fraction is based on."""

    def __init__(self, components: ManagerComponents) -> None:
        self.components = components
        self.max_queued_entries = components.config.section(
            manager_config.ChannelConfig
        ).waiting_most
        self.last_sample_at = 0.0
        self.last_cpu_time = 0.0

    def measure(self) -> ManagerLoad:
        """Return the current load: proxies, requests per second, queue fraction and CPU fraction.

        The CPU fraction is that of one core since the previous call.
        """
        now = trio.current_time()
        cpu_time = time.process_time()
        elapsed = now - self.last_sample_at
        used = cpu_time - self.last_cpu_time
        self.last_sample_at = now
        self.last_cpu_time = cpu_time
        return ManagerLoad(
            len(self.components.installer.proxies),
            self._request_rate(),
            self._queued_fraction(),
            used / elapsed if elapsed > 0.0 else 0.0,
        )

    def _request_rate(self) -> float:
        module = self.components.loop.module
        if not isinstance(module, Balancer):
            return 0
        return sum(proxy.request_rate for proxy in module.state.assignments.proxies.values())

    def _queued_fraction(self) -> float:
        if not self.max_queued_entries:
            return 0.0
        return self.components.channel.queued_entries / self.max_queued_entries
