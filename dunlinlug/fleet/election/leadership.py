"""This manager's part in a set that takes over from each other: carries the machine's orders out,
and feeds it.

While another leads, its batches run through our module, and calls of proxies wait. When we lead,
each of our batches goes to the others, and parcels leave once a majority has it and our lease
holds.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

import trio

from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.election.serialization import SerializationError
from dunlinlug.fleet.election.transport import PeerTransport
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.installed_tables import InstalledTable
from dunlinlug.manager.interfaces import OutgoingMessage
from dunlinlug.storage.store import Store
from dunlinlug.xds import fencing_term


class ReplicableState(Protocol):
    """What of the front's present state a successor is given."""

    epoch: int
    tables: dict[int, InstalledTable]
    ejected: set[str]
    zones: dict[str, str]

    def restore(
        self,
        epoch: int,
        tables: dict[int, InstalledTable],
        ejected: set[str],
        zones: dict[str, str],
    ) -> None: ...


class ProxyService(Protocol):
    """Where proxies come to. Calls wait while it is not `open`; `control` and `term` are what it
    shows of us.
    """

    control_plane_id: str
    term: int
    leading: trio.Event
    proxy_numbers: dict[str, int]  # of proxies by name, those ever given
    new_proxy_numbers: dict[str, int]  # of them, those that no batch has told yet
    sessions: dict[int, Any]

    def close_streams(self, reason: str) -> None: ...

    def register_term_observer(self, on_higher_term: Callable[[int], None]) -> None:
        """Call this with a term that a proxy knows and that is higher than ours."""


class LeadershipHost(Protocol):
    """What the manager around its leadership does as leader, and the overrides it replicates."""

    def on_become_leader(self, starts_empty: bool) -> None:
        """We lead now; `starts_empty` is true if no state was inherited."""

    def on_step_down(self) -> None:
        """We lead no longer."""

    def current_overrides(self) -> list[dict[str, Any]]:
        """Operator overrides in force, as plain records."""

    def replace_overrides(self, overrides: list[dict[str, Any]]) -> None:
        """Take the overrides of the leader in place of all of ours."""


class Leadership:
    """`begin` is called when we become master (true if nothing was inherited), `end` when we no
    longer are. `pins` are those that stand, as plain records, and `pinned` takes those of
    another.
    """

    def __init__(
        self,
        self_id: str,
        addresses: dict[str, tuple[str, int]],
        keys: list[bytes],
        timing: dict[str, float],
        initial_voters: tuple[str, ...],
        store: Store,
        settings: ManagerSettings,
        decision_loop: DecisionLoop,
        proxy_state: ReplicableState,
        proxy_service: ProxyService,
        rng: Random,
        log_event: Callable[..., None],
    ) -> None:
        self.self_id = self_id
        self.store = store
        self.settings = settings
        self.decision_loop = decision_loop
        self.proxy_state = proxy_state
        self.proxy_service = proxy_service
        self.log_event = log_event
        stored_vote = store.vote()
        persisted = (
            election_messages.Persist(
                stored_vote[0],
                stored_vote[1],
                election_messages.VoterSet(stored_vote[2], tuple(stored_vote[3])),
            )
            if stored_vote
            else election_messages.Persist(
                0, "", election_messages.VoterSet(1, tuple(sorted(initial_voters or addresses)))
            )
        )
        self.protocol = ElectionProtocol(
            self_id, persisted, trio.current_time(), random_uniform=rng.uniform, **timing
        )
        self.transport = PeerTransport(self_id, addresses, keys, self._receive, log_event)
        self.wake = trio.Event()
        self.on_become_leader: Callable[[bool], None] = lambda fresh: None
        self.on_step_down: Callable[[], None] = lambda: None
        self.current_overrides: Callable[[], list[dict[str, Any]]] = list
        self.on_overrides: Callable[[list[dict[str, Any]]], None] = lambda overrides: None
        self.replicated_overrides: list[dict[str, Any]] = []
        self.uncommitted: deque[tuple[int, Mapping[int, OutgoingMessage]]] = deque()
        self.change_reason = "started"
        self.changed_at = trio.current_time()
        self.takeovers = 0
        self.replicated_bytes = 0
        self.last_error = ""
        self.recovery_timeout = timing["recovery_timeout"]
        decision_loop.set_leadership(self)
        proxy_service.register_term_observer(self.observe_term)
        proxy_service.close_streams("not master yet")

    def register_host(self, host: LeadershipHost) -> None:
        """Notify `host` of leadership, and replicate its overrides, from now on."""
        self.on_become_leader = host.on_become_leader
        self.on_step_down = host.on_step_down
        self.current_overrides = host.current_overrides
        self.on_overrides = host.replace_overrides

    # What the loop asks.

    def holds_lease(self, now: float) -> bool:
        return self.protocol.holds_lease(now)

    def is_leader(self) -> bool:
        return self.protocol.is_leader

    def replicate(self, now: float, events: Sequence[Event], rejected_indexes: list[int]) -> int:
        new_numbers = self.proxy_service.new_proxy_numbers
        self.proxy_service.new_proxy_numbers = {}
        overrides = self.current_overrides()
        batch = replicated_state.ReplicatedBatch(
            now + self.decision_loop.clock_offset,
            list(events),
            rejected_indexes,
            new_numbers,
            overrides if overrides != self.replicated_overrides else None,
        )
        self.replicated_overrides = overrides
        entry = replicated_state.serialize_batch(batch)
        self.replicated_bytes += len(entry)
        self._execute(self.protocol.append(now, entry))
        return self.protocol.position[1]

    def hold_until_committed(self, number: int, messages: Mapping[int, OutgoingMessage]) -> None:
        if messages:
            self.uncommitted.append((number, messages))
        self._release_committed()

    def _release_committed(self) -> None:
        now = trio.current_time()
        while self.uncommitted and self.protocol.committed >= (
            self.protocol.term,
            self.uncommitted[0][0],
        ):
            parcels = self.uncommitted.popleft()[1]
            if self.holds_lease(now):
                self.decision_loop.release(now, parcels)

    # What the machine hears and orders.

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run, listeners)
            while True:
                self.wake = trio.Event()
                with trio.move_on_at(self.protocol.next_deadline()):
                    await self.wake.wait()
                self._execute(self.protocol.tick(trio.current_time()))

    def _receive(self, message: election_messages.Message) -> None:
        self._execute(self.protocol.receive(trio.current_time(), message))
        self.wake.set()
        if self.decision_loop.pending_events and self.holds_lease(trio.current_time()):
            self.decision_loop.event_arrived.set()  # what was held back until our lease began

    def member_failure_detected(self, member: str, live_members: set[str]) -> None:
        """The membership says that this one has failed."""
        self.protocol.leader_suspected(trio.current_time(), member, live_members)
        self.wake.set()

    def observe_term(self, term: int) -> None:
        """A proxy told of a higher term."""
        self._execute(self.protocol.observe_term(trio.current_time(), term))

    async def transfer_leadership(self, target: str) -> None:
        """Waits up to a lease for what is under way to that member: on a busy fleet a batch nearly
        always is. Raises ValueError if it is not ready to take over then.
        """
        if target not in self.protocol.voter_set.members or target == self.self_id:
            raise ValueError(
                f"{target!r} is not another member; they are {', '.join(self.protocol.voter_set.members)}"
            )
        with trio.move_on_after(self.protocol.lease):
            while self.holds_lease(trio.current_time()) and not self.protocol.is_caught_up(target):
                await self.wake.wait()
                await trio.sleep(0)  # the machine is fed by another task, which sets the next event
        self._execute(self.protocol.transfer_leadership(trio.current_time(), target))
        self.wake.set()

    def change_voter(self, member: str, add: bool) -> None:
        """One more member, or one fewer. Raises ValueError if that can't be now, or we know no
        place for it.
        """
        if member not in self.transport.addresses:
            raise ValueError(f"no [member {member}] section says where it is")
        members = set(self.protocol.voter_set.members)
        (members.add if add else members.discard)(member)
        entry = replicated_state.serialize_batch(
            replicated_state.ReplicatedBatch(
                trio.current_time() + self.decision_loop.clock_offset, [], [], {}
            )
        )
        self._execute(
            self.protocol.change_voters(trio.current_time(), tuple(sorted(members)), entry)
        )
        self.log_event("election.voters_changed", members=sorted(members))
        self.wake.set()

    def _execute(self, orders: list[election_messages.Order]) -> None:
        for order in orders:
            match order:
                case election_messages.Send(recipient, message):
                    self.transport.send(recipient, message)
                case election_messages.Persist(term, voted, voter_set):
                    self.store.put_vote(term, voted, voter_set.version, list(voter_set.members))
                case election_messages.ApplyEntry() | election_messages.RestoreSnapshot():
                    try:
                        self._replicate(order)
                    except SerializationError as error:
                        self._report_divergence(str(error))
                        return  # Danger: the answer that comes next would say that we have it
                case election_messages.SnapshotNeeded(recipient):
                    self._execute(
                        self.protocol.send_snapshot(trio.current_time(), recipient, self.snapshot())
                    )
                case election_messages.Committed():
                    self._release_committed()
                case election_messages.BecomeLeader(term):
                    self._become_leader(term)
                case election_messages.StepDown(reason):
                    self._step_down(reason)

    def _become_leader(self, term: int) -> None:
        fresh = self.protocol.position == election_messages.NO_POSITION
        self._record_change("took over" if not fresh else "began")
        self.takeovers += 1
        if fresh:
            self.proxy_state.epoch = term
        self.uncommitted.clear()
        self.proxy_service.control_plane_id = fencing_term.format_identifier(term, self.self_id)
        self.proxy_service.term = term
        self.decision_loop.pending_events = [
            *replicated_state.disconnect_all(self.decision_loop.module)
        ]
        self.on_become_leader(fresh)
        # The first entry of our term, with which all before it are sealed.
        self._execute(
            self.protocol.append(
                trio.current_time(),
                replicated_state.serialize_batch(
                    replicated_state.ReplicatedBatch(
                        trio.current_time() + self.decision_loop.clock_offset, [], [], {}
                    )
                ),
            )
        )
        self.proxy_service.leading.set()
        self.decision_loop.event_arrived.set()
        self.log_event(
            "election.became_leader", term=term, position=self.protocol.position[1], fresh=fresh
        )

    def _step_down(self, reason: str) -> None:
        self._record_change(reason)
        self.log_event("election.stepped_down", term=self.protocol.term, why=reason)
        self.uncommitted.clear()
        self.decision_loop.pending_events = []
        for proxy in list(self.proxy_service.sessions):
            self.decision_loop.channel.remove_proxy(proxy)
        self.proxy_service.close_streams(f"term of {self.self_id} is over: {reason}")
        self.decision_loop.pending_events = []
        self.decision_loop.channel.clear()
        self.on_step_down()

    def _record_change(self, reason: str) -> None:
        self.change_reason = reason
        self.changed_at = trio.current_time()

    # What a standby takes in, and what it is given.

    def _replicate(
        self, order: election_messages.ApplyEntry | election_messages.RestoreSnapshot
    ) -> None:
        """Raises PlainFault."""
        if isinstance(order, election_messages.ApplyEntry):
            self._apply(order.entry)
        else:
            self._restore(order.body)
        self.last_error = ""

    def _report_divergence(self, reason: str) -> None:
        """Say it once, not with each beat; the whole will come again."""
        self.protocol.discard_log(trio.current_time(), self.recovery_timeout)
        if reason != self.last_error:
            self.last_error = reason
            self.log_event("election.replication_failed", why=reason)

    def _apply(self, entry: bytes) -> None:
        batch = replicated_state.deserialize_batch(entry)
        self.proxy_service.proxy_numbers.update(batch.new_proxy_numbers)
        if batch.overrides is not None:
            self.on_overrides(batch.overrides)
        self.decision_loop.replay_batch(batch.now, batch.events, batch.rejected_indexes)

    def snapshot(self) -> bytes:
        module = self.decision_loop.module
        assert isinstance(module, Balancer)
        return replicated_state.serialize_snapshot(
            module,
            replicated_state.ReplicaSnapshot(
                trio.current_time() + self.decision_loop.clock_offset,
                self.proxy_state.epoch,
                self.proxy_state.tables,
                self.proxy_state.ejected,
                self.proxy_state.zones,
                self.proxy_service.proxy_numbers,
                self.decision_loop.timers,
                self.store.endpoint_list() or b"",
                self.current_overrides(),
            ),
        )

    def _restore(self, body: bytes) -> None:
        module, snapshot = replicated_state.deserialize_snapshot(body, self.settings)
        self.decision_loop.module = module
        self.decision_loop.timers = snapshot.timers
        self.decision_loop.clock_offset = snapshot.now - trio.current_time()
        self.proxy_state.restore(snapshot.epoch, snapshot.tables, snapshot.ejected, snapshot.zones)
        self.proxy_service.proxy_numbers = snapshot.proxy_numbers
        self.proxy_service.new_proxy_numbers = {}
        if snapshot.endpoint_list:
            self.store.put_endpoint_list(snapshot.endpoint_list)
        self.on_overrides(snapshot.overrides)
        self.log_event("election.snapshot_restored", bytes=len(body), tables=len(snapshot.tables))

    def describe(self) -> dict[str, Any]:
        """For people: who leads, since when and why, terms and lag."""
        protocol = self.protocol
        now = trio.current_time()
        return {
            "member": self.self_id,
            "members": list(protocol.voter_set.members),
            "term": protocol.term,
            "master": protocol.leader or None,
            "leads": self.holds_lease(now),
            "since": round(now - protocol.leader_since, 3),
            "changed": self.change_reason,
            "changed_ago": round(now - self.changed_at, 3),
            "position": protocol.position[1],
            "behind": None if protocol.is_leader else protocol.missing_entries,
            "lags": protocol.replication_lag() if protocol.is_leader else None,
            "takeovers": self.takeovers,
        }
