"""The leadership service: runs the election protocol and replicates the decision module's input.

As follower, a member replays the leader's batches in its own decision module and lets calls from
proxies wait. As leader, it sends each of its batches to the followers; the messages to proxies that
result from a batch leave once a majority has it, provided that the lease is valid.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Any

import trio

from dunlinlug.bounded_values import OutOfBoundsError
from dunlinlug.decision.events import Event
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.fleet.election import messages as election_messages
from dunlinlug.fleet.election import replicated_state
from dunlinlug.fleet.election.commit_queue import CommitQueue
from dunlinlug.fleet.election.interfaces import LeadershipHost, ProxyService, ReplicableState
from dunlinlug.fleet.election.protocol import ElectionChangeError, ElectionProtocol
from dunlinlug.fleet.election.replica import Replica
from dunlinlug.fleet.election.replicated_state import OverrideRecord
from dunlinlug.fleet.election.serialization import SerializationError
from dunlinlug.fleet.election.status import LeadershipStatus
from dunlinlug.fleet.election.transport import PeerTransport
from dunlinlug.manager.decision_loop import DecisionLoop
from dunlinlug.manager.interfaces import OutgoingMessage
from dunlinlug.storage.store import Store
from dunlinlug.xds import fencing_term


class Leadership:
    """Executes the protocol's orders and feeds it with messages and time.

    It owns the protocol, the transport, the replica and the queue of messages that wait for their
    batch to be committed. `timing` holds the protocol's `lease`, `heartbeat_interval` and
    `recovery_timeout` in seconds and its `drift`.
    """

    # A new leader takes over the state of all these components.
    def __init__(  # noqa: PLR0913, PLR0917
        self,
        self_id: str,
        addresses: dict[str, tuple[str, int]],
        keys: list[bytes],
        timing: Mapping[str, float],
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
        self.decision_loop = decision_loop
        self.proxy_state = proxy_state
        self.proxy_service = proxy_service
        self.log_event = log_event
        self.protocol = ElectionProtocol(
            self_id,
            _stored_state(store, initial_voters or addresses),
            trio.current_time(),
            random_uniform=rng.uniform,
            **timing,
        )
        self.transport = PeerTransport(self_id, addresses, keys, self._receive, log_event)
        self.wake = trio.Event()
        # Set by `register_host`.
        self.on_become_leader: Callable[[bool], None] = lambda _starts_empty: None
        self.on_step_down: Callable[[], None] = lambda: None
        self.current_overrides: Callable[[], list[OverrideRecord]] = list
        self.on_overrides: Callable[[list[OverrideRecord]], None] = lambda _overrides: None
        self.replica = Replica(
            settings,
            store,
            decision_loop,
            proxy_state,
            proxy_service,
            self._replace_overrides,
        )
        self.commit_queue = CommitQueue(self.protocol, decision_loop)
        self.status = LeadershipStatus(self.protocol)
        self.last_error = ""
        self.recovery_timeout = timing["recovery_timeout"]
        decision_loop.set_leadership(self)
        proxy_service.register_term_observer(self.observe_term)
        proxy_service.close_streams("not master yet")

    def register_host(self, host: LeadershipHost) -> None:
        """Notifies the host of role changes and replicates its overrides from now on."""
        self.on_become_leader = host.on_become_leader
        self.on_step_down = host.on_step_down
        self.current_overrides = host.current_overrides
        self.on_overrides = host.replace_overrides

    # Called by the decision loop.

    def holds_lease(self, now: float) -> bool:
        """Whether orders may take effect now."""
        return self.protocol.holds_lease(now)

    def is_leader(self) -> bool:
        """Whether we lead, with or without a lease."""
        return self.protocol.is_leader

    def replicate(self, now: float, events: Sequence[Event], rejected_indexes: list[int]) -> int:
        """Sends a batch of the decision loop to the followers; returns its log index."""
        entry = self.replica.batch_entry(now, events, rejected_indexes, self.current_overrides())
        self._execute(self.protocol.append(now, entry))
        return self.protocol.position[1]

    def hold_until_committed(self, index: int, messages: Mapping[int, OutgoingMessage]) -> None:
        """Holds messages, by proxy, until a majority has the log up to this index."""
        self.commit_queue.hold(index, messages)
        self.commit_queue.release_committed()

    # Input of the protocol.

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Runs the transport and the protocol's timers; `listeners` are the transport's."""
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
            # Our lease may have just begun; the events that waited for it can be decided.
            self.decision_loop.event_arrived.set()

    def member_failure_detected(self, member: str, live_members: set[str]) -> None:
        """Reacts to a failure that the membership's failure detector found."""
        self.protocol.leader_suspected(trio.current_time(), member, live_members)
        self.wake.set()

    def observe_term(self, term: int) -> None:
        """Adopts a term above ours that a proxy reported."""
        self._execute(self.protocol.observe_term(trio.current_time(), term))

    async def transfer_leadership(self, target: str) -> None:
        """Transfers leadership to another member.

        Waits up to one lease until the target has our whole log, as on a busy fleet some batch is
        nearly always in flight.

        Raises:
            ElectionChangeError: The target is not another voter or still lacks entries after the
                wait, or we do not lead.
        """
        if target not in self.protocol.voter_set.members or target == self.self_id:
            members = ", ".join(self.protocol.voter_set.members)
            raise ElectionChangeError(f"{target!r} is not another member; they are {members}")
        with trio.move_on_after(self.protocol.lease):
            while self.holds_lease(trio.current_time()) and not self.protocol.is_caught_up(target):
                await self.wake.wait()
                # Let `run` replace the event that woke us; otherwise this loop would spin.
                await trio.sleep(0)
        self._execute(self.protocol.transfer_leadership(trio.current_time(), target))
        self.wake.set()

    def change_voter(self, member: str, add: bool) -> None:
        """Adds one member to the voter set, or removes it.

        Raises:
            ElectionChangeError: The member has no configured address, or the protocol does not
                allow this change now.
        """
        if member not in self.transport.addresses:
            raise ElectionChangeError(f"no [member {member}] section says where it is")
        members = set(self.protocol.voter_set.members)
        if add:
            members.add(member)
        else:
            members.discard(member)
        entry = self.replica.empty_entry()
        self._execute(
            self.protocol.change_voters(trio.current_time(), tuple(sorted(members)), entry)
        )
        self.log_event("election.voters_changed", members=sorted(members))
        self.wake.set()

    # Orders of the protocol.

    def _execute(self, orders: list[election_messages.Order]) -> None:
        for order in orders:
            match order:
                case election_messages.Send(recipient, message):
                    self.transport.send(recipient, message)
                case election_messages.Persist(term, voted, voter_set):
                    self.store.put_vote(term, voted, voter_set.version, list(voter_set.members))
                case election_messages.ApplyEntry() | election_messages.RestoreSnapshot():
                    if not self._apply_to_replica(order):
                        # Skip the next order, which acknowledges data that we could not decode.
                        return
                case election_messages.SnapshotNeeded(recipient):
                    snapshot = self.snapshot()
                    self._execute(
                        self.protocol.send_snapshot(trio.current_time(), recipient, snapshot)
                    )
                case election_messages.Committed():
                    self.commit_queue.release_committed()
                case election_messages.BecomeLeader(term):
                    self._become_leader(term)
                case election_messages.StepDown(reason):
                    self._step_down(reason)

    def _become_leader(self, term: int) -> None:
        starts_empty = self.protocol.position == election_messages.NO_POSITION
        self.status.record_change("began" if starts_empty else "took over")
        self.status.takeovers += 1
        if starts_empty:
            self.proxy_state.epoch = term
        self.commit_queue.clear()
        self.proxy_service.control_plane_id = fencing_term.format_identifier(term, self.self_id)
        self.proxy_service.term = term
        disconnections = replicated_state.disconnection_events(self.decision_loop.module)
        self.decision_loop.pending_events = list(disconnections)
        self.on_become_leader(starts_empty)
        # The first entry of our term; once committed, all entries before it are too.
        entry = self.replica.empty_entry()
        self._execute(self.protocol.append(trio.current_time(), entry))
        self.proxy_service.leading.set()
        self.decision_loop.event_arrived.set()
        self.log_event(
            "election.became_leader",
            term=term,
            position=self.protocol.position[1],
            fresh=starts_empty,
        )

    def _step_down(self, reason: str) -> None:
        self.status.record_change(reason)
        self.log_event("election.stepped_down", term=self.protocol.term, why=reason)
        self.commit_queue.clear()
        self.decision_loop.pending_events = []
        for proxy in list(self.proxy_service.sessions):
            self.decision_loop.channel.remove_proxy(proxy)
        self.proxy_service.close_streams(f"term of {self.self_id} is over: {reason}")
        self.decision_loop.pending_events = []  # closing streams submitted disconnections
        self.decision_loop.channel.clear()
        self.on_step_down()

    def _replace_overrides(self, overrides: list[OverrideRecord]) -> None:
        self.on_overrides(overrides)

    def _apply_to_replica(
        self, order: election_messages.ApplyEntry | election_messages.RestoreSnapshot
    ) -> bool:
        """Applies what the leader sent; returns false if it could not be decoded."""
        try:
            if isinstance(order, election_messages.ApplyEntry):
                self.replica.apply(order.entry)
            else:
                self.replica.restore(order.body)
                self.log_event(
                    "election.snapshot_restored",
                    bytes=len(order.body),
                    tables=len(self.proxy_state.tables),
                )
        except (SerializationError, OutOfBoundsError) as error:
            self._report_divergence(str(error))
            return False
        self.last_error = ""
        return True

    def _report_divergence(self, reason: str) -> None:
        """Discards our log; logs a reason once, as the leader sends its snapshot repeatedly."""
        self.protocol.discard_log(trio.current_time(), self.recovery_timeout)
        if reason != self.last_error:
            self.last_error = reason
            self.log_event("election.replication_failed", why=reason)

    def snapshot(self) -> bytes:
        """Returns all the state that a follower needs to continue from our position."""
        return self.replica.snapshot(self.current_overrides())

    def describe(self) -> dict[str, Any]:
        """Returns the status for the admin API: leader, term, last change of role, and lag."""
        return self.status.describe()


def _stored_state(store: Store, initial_voters: Iterable[str]) -> election_messages.Persist:
    """Returns the persisted term, vote and voters, or the initial ones if there are none."""
    stored_vote = store.vote()
    if stored_vote is None:
        initial_set = election_messages.VoterSet(1, tuple(sorted(initial_voters)))
        return election_messages.Persist(0, "", initial_set)
    term, voted_for, version, members = stored_vote
    voter_set = election_messages.VoterSet(version, tuple(members))
    return election_messages.Persist(term, voted_for, voter_set)
