"""The replicated state: applies the leader's batches and snapshots, or creates them as leader."""

from collections.abc import Callable, Sequence

import trio

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.election.interfaces import ProxyService, ReplicableState
from dunlinlug.fleet.election.replicated_state import OverrideRecord
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.proxy_numbers import merge_numbers
from dunlinlug.storage.store import Store


class Replica:
    """Applies what the leader sends, and creates log entries and snapshots while we lead.

    The state itself belongs to the decision loop, the proxy state and the proxy service; this
    class owns only the overrides that it sent last.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - owners of replicated state
        self,
        settings: ManagerSettings,
        store: Store,
        decision_loop: DecisionLoop,
        proxy_state: ReplicableState,
        proxy_service: ProxyService,
        replace_overrides: Callable[[list[OverrideRecord]], None],
    ) -> None:
        self.settings = settings
        self.store = store
        self.decision_loop = decision_loop
        self.proxy_state = proxy_state
        self.proxy_service = proxy_service
        self.replace_overrides = replace_overrides
        self.sent_overrides: list[OverrideRecord] = []

    # As leader.

    def batch_entry(
        self,
        now: float,
        events: Sequence[Event],
        rejected_indexes: list[int],
        overrides: list[OverrideRecord],
    ) -> bytes:
        """Serializes a batch of the decision loop, with the proxies and overrides that are new."""
        new_numbers = self.proxy_service.new_proxy_numbers
        self.proxy_service.new_proxy_numbers = {}
        overrides_changed = overrides != self.sent_overrides
        self.sent_overrides = overrides
        batch = replicated_state.ReplicatedBatch(
            now + self.decision_loop.clock_offset,
            list(events),
            rejected_indexes,
            new_numbers,
            overrides if overrides_changed else None,
        )
        return replicated_state.serialize_batch(batch)

    def empty_entry(self) -> bytes:
        """Serializes a batch without events, for entries that the protocol itself needs."""
        batch = replicated_state.ReplicatedBatch(self._module_time(), [], [], {})
        return replicated_state.serialize_batch(batch)

    def snapshot(self, overrides: list[OverrideRecord]) -> bytes:
        """Serializes all the state that a follower needs to continue from our position."""
        module = self.decision_loop.module
        assert isinstance(module, Balancer)
        snapshot = replicated_state.ReplicaSnapshot(
            self._module_time(),
            self.proxy_state.epoch,
            self.proxy_state.tables,
            self.proxy_state.ejected,
            self.proxy_state.zones,
            self.proxy_service.proxy_numbers,
            self.decision_loop.timers,
            self.store.endpoint_list() or b"",
            overrides,
        )
        return replicated_state.serialize_snapshot(module, snapshot)

    def _module_time(self) -> float:
        """Returns the time on the module's clock, which continues the previous leader's."""
        return trio.current_time() + self.decision_loop.clock_offset

    # As follower.

    def apply(self, entry: bytes) -> None:
        """Replays a batch of the leader in our module. Raises SerializationError."""
        batch = replicated_state.deserialize_batch(entry)
        merge_numbers(self.proxy_service.proxy_numbers, batch.new_proxy_numbers)
        if batch.overrides is not None:
            self.replace_overrides(batch.overrides)
        self.decision_loop.replay_batch(batch.now, batch.events, batch.rejected_indexes)

    def restore(self, body: bytes) -> None:
        """Replaces our state with a snapshot of the leader.

        Raises:
            SerializationError: The snapshot cannot be decoded; our state is unchanged.
        """
        module, snapshot = replicated_state.deserialize_snapshot(body, self.settings)
        self.decision_loop.module = module
        self.decision_loop.timers = snapshot.timers
        self.decision_loop.unreported_rejections = []
        self.decision_loop.clock_offset = snapshot.now - trio.current_time()
        self.proxy_state.restore(snapshot.epoch, snapshot.tables, snapshot.ejected, snapshot.zones)
        self.proxy_service.proxy_numbers = snapshot.proxy_numbers
        self.proxy_service.new_proxy_numbers = {}
        if snapshot.endpoint_list:
            self.store.put_endpoint_list(snapshot.endpoint_list)
        self.replace_overrides(snapshot.overrides)
