"""Logs a periodic summary of a manager's activity."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import trio

from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.platform.channel import UnpacedChannel
from dunlinlug.platform.connections import PeerRegistry
from dunlinlug.platform.orders import PlatformTableInstaller
from dunlinlug.platform.server import ConnectionServer

SUMMARY_INTERVAL_S = 5.0


@dataclass
class SummaryLog:
    """Logs a summary of the manager's components every `SUMMARY_INTERVAL_S`.

    `counts` holds events and orders by kind since the last summary; the manager adds to it.
    """

    loop: DecisionLoop
    peer_registry: PeerRegistry
    server: ConnectionServer
    installer: PlatformTableInstaller
    channel: UnpacedChannel
    counts: Counter[str]
    log_event: Callable[..., None]

    async def run(self) -> None:
        """Log until cancelled."""
        previous_batches = 0
        while True:
            await trio.sleep(SUMMARY_INTERVAL_S)
            self._log_summary(self.loop.batch_count - previous_batches)
            previous_batches = self.loop.batch_count
            self.counts.clear()
            self.peer_registry.clear_statistics()

    def _log_summary(self, batches: int) -> None:
        collector_counts = {
            zone: len(collectors) for zone, collectors in self.peer_registry.collectors.items()
        }
        self.log_event(
            "summary",
            batches=batches,
            joined=len(self.peer_registry.peer_by_proxy),
            collectors=collector_counts,
            unjoined=len(self.server.unjoined),
            accepted=self.server.accepted_count,
            workers=len(self.installer.workers.listed),
            out=len(self.installer.ejected),
            messages=round(self.channel.message_count),
            lines=round(self.channel.entry_count),
            cpu=round(time.process_time(), 2),
            counts=dict(self.counts),
            peers=dict(self.peer_registry.counts),
            samples=self.peer_registry.error_samples,
        )
