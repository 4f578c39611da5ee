"""Delivers batches from the paced channel to the sessions of the proxies they are for.

Owns the open sessions by proxy number: the decision loop delivers batches to them, and the xDS
service adds and removes them.
"""

import trio

from dunlinlug.ads.proxy_state import XdsTableInstaller
from dunlinlug.ads.response_batch import ResponseBatch
from dunlinlug.ads.session import DeltaSession
from dunlinlug.ads.state_of_the_world_session import StateOfTheWorldSession
from dunlinlug.manager.interfaces import ReplicatedLeadership
from dunlinlug.xds import names

Session = DeltaSession | StateOfTheWorldSession


class ResponseDelivery:
    """The open sessions by proxy number, and the lease check right before a batch is sent."""

    def __init__(self, installer: XdsTableInstaller) -> None:
        self.installer = installer
        self.sessions: dict[int, Session] = {}
        self.leadership: ReplicatedLeadership | None = None

    def require_lease(self, leadership: ReplicatedLeadership) -> None:
        """Deliver only while this manager holds the leader's lease according to `leadership`."""
        self.leadership = leadership

    def deliver(self, proxy: int, batch: ResponseBatch) -> None:
        """Enqueue a batch in the proxy's session; drop one ordered for an earlier stream."""
        # The lease is checked right before sending: a process that was suspended between decision
        # and delivery could otherwise send orders after its lease has expired.
        if self.leadership is not None and not self.leadership.holds_lease(trio.current_time()):
            return
        session = self.sessions.get(proxy)
        if session is None or batch.ordered_at < session.joined_at:
            return
        if batch.routes is not None and proxy in self.installer.proxies:
            session.forget_unused_rejections(self._used_tables(proxy))
        session.enqueue(batch)

    def _used_tables(self, proxy: int) -> set[str]:
        table_by_class = self.installer.proxies[proxy].table_by_class
        return {
            names.table_name(self.installer.epoch, table_id) for table_id in table_by_class.values()
        }
