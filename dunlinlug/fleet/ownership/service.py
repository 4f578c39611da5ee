"""The ownership service of a manager: runs the protocol over sockets, timers and the store.

Users name their tasks, check `held_token` before they act, and send effects by `send_effect`. On
the receiving member a handler gets each effect that passes the fencing check. Users decide for
themselves how to handle a task that has no owner.
"""

import secrets
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import trio

from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election import messages as log_messages
from dunlinlug.fleet.election.transport import OWNERSHIP_PREFACE, PeerTransport
from dunlinlug.fleet.ownership.executor import EffectExecutor, task_kind
from dunlinlug.fleet.ownership.fencing import NO_TOKEN
from dunlinlug.fleet.ownership.messages import (
    MESSAGE_TYPES,
    SHARDS,
    Effect,
    EffectResult,
    HeldShardsChanged,
    OwnershipChanged,
    SendMessage,
    WorkRequest,
)
from dunlinlug.fleet.ownership.options import LeaseTiming, OwnershipOptions
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol
from dunlinlug.fleet.ownership.status import RecentChange, describe_changes, describe_protocol
from dunlinlug.storage.store import OWNERSHIP_VOTE_KEY, Store

MAX_RECENT_CHANGES = 50  # changes of assignments kept for status output
INCARNATION_BITS = 62


@dataclass(frozen=True)
class OwnershipConfig:
    """The members and their common settings; only `self_id` differs between members.

    Attributes:
        self_id: The name of this member.
        addresses: Host and port by member.
        keys: Shared keys; the first one signs, all are accepted.
        timing: The timing of leases and of the log.
        shards: The number of shards.
    """

    self_id: str
    addresses: dict[str, tuple[str, int]]
    keys: list[bytes]
    timing: LeaseTiming
    shards: int = SHARDS


class Ownership:
    """A member's service: the protocol's state, connections to other members, and the executor.

    Handlers are registered by task kind: the task's name up to the first "/".

    Attributes:
        request_handlers: Handlers of work requests by task kind.
        on_held_shards_changed: Callbacks for changes of the shards that this member holds.
        recent_changes: The last changes of assignments, for status output.
        counters: Counts of sent and rejected effects.
    """

    def __init__(
        self,
        config: OwnershipConfig,
        store: Store,
        rng: Random,
        log_event: Callable[..., None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.self_id = config.self_id
        self.store = store
        self.log_event = log_event
        self.clock = clock
        # Not drawn from the seeded generator: a process that restarts with an empty store would
        # repeat the incarnation of its predecessor.
        incarnation = secrets.randbits(INCARNATION_BITS)
        self.protocol = OwnershipProtocol(
            config.self_id,
            _stored_vote(store, config),
            clock(),
            OwnershipOptions(config.timing, incarnation, config.shards),
            rng.uniform,
        )
        self.transport = PeerTransport(
            config.self_id,
            config.addresses,
            config.keys,
            self._receive,
            log_event,
            {**codec.MESSAGE_TYPES, **MESSAGE_TYPES},
            OWNERSHIP_PREFACE,
        )
        self.executor = EffectExecutor(self.protocol, log_event)
        self.effect_sequences = Counter[int]()  # by shard
        self.wake = trio.Event()
        self.request_handlers: dict[str, Callable[[WorkRequest], None]] = {}
        self.on_held_shards_changed: list[Callable[[], None]] = []
        self.recent_changes: deque[RecentChange] = deque(maxlen=MAX_RECENT_CHANGES)
        self.counters = Counter[str]()

    async def run(self) -> None:
        """Runs the transport, which receives messages of other members, and the timers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run, [])
            while True:
                self.wake = trio.Event()
                with trio.move_on_after(max(self.protocol.next_deadline() - self.clock(), 0.0)):
                    await self.wake.wait()
                self._execute(self.protocol.tick(self.clock()))
                await trio.sleep(0)

    # Registration of handlers.

    def handle_effects(self, kind: str, handler: Callable[[Effect], None]) -> None:
        """Registers the handler of effects for a task kind that pass the fencing check."""
        self.executor.handlers[kind] = handler

    def handle_unfenced_effects(self, kind: str, handler: Callable[[Effect], None]) -> None:
        """Registers the handler of all effects for a task kind, without a fencing check.

        For effects that do no harm if they are late, repeated, or sent by several members.
        """
        self.executor.handlers[kind] = handler
        self.executor.unfenced_kinds.add(kind)

    def handle_requests(self, kind: str, handler: Callable[[WorkRequest], None]) -> None:
        """Registers the handler of work requests for tasks of a kind.

        This member need not own the task when a request arrives.
        """
        self.request_handlers[kind] = handler

    # Calls by users.

    def held_token(self, task: str) -> int | None:
        """Returns the token under which this member may act for a task now; None if it may not.

        Callers must check again after each wait.
        """
        return self.protocol.held_token(self.clock(), self._shard_of(task))

    def is_assigned(self, task: str) -> bool:
        """Returns whether this member owns a task by its log, with or without a valid lease."""
        return self.protocol.assigned_token(self._shard_of(task)) is not None

    def owner_of(self, task: str) -> str:
        """Returns the last known owner of a task; empty if it has none."""
        return self.protocol.owner_of(task)[0]

    def checkpoint(self, task: str) -> bytes:
        """Returns a task's last checkpoint; empty if there is none."""
        return self.protocol.assignments.checkpoint_of(task).body

    def store_checkpoint(self, task: str, body: bytes) -> None:
        """Reports the progress of a held task, from which its next owner continues.

        Raises:
            CheckpointError: This member does not hold the task's shard, or the body is too large.
        """
        self._execute(self.protocol.store_checkpoint(self.clock(), task, body))

    def send_effect(self, recipient: str, task: str, body: bytes) -> bool:
        """Sends an effect to an executor, which may be this member itself.

        Returns False, and sends nothing, if this member does not hold the task.
        """
        # Nothing is awaited between this check and the sending.
        token = self.held_token(task)
        if token is None:
            self.counters["not_ours"] += 1
            return False
        self._send_effect(recipient, task, token, body)
        return True

    def send_unfenced_effect(self, recipient: str, task: str, body: bytes) -> None:
        """Sends an effect that needs no lease, as its recipients make no fencing check.

        It bears the token under which this member owns the task by its log, if there is one:
        members of an earlier version check it.
        """
        token = self.protocol.assigned_token(self._shard_of(task))
        self._send_effect(recipient, task, token or NO_TOKEN.number, body)

    def _send_effect(self, recipient: str, task: str, token: int, body: bytes) -> None:
        shard = self._shard_of(task)
        self.effect_sequences[shard] += 1
        sequence = self.effect_sequences[shard]
        effect = Effect(self.protocol.log.term, self.self_id, task, token, sequence, body)
        self.counters["effects"] += 1
        if recipient == self.self_id:
            self._execute_effect(effect)
        else:
            self.transport.send(recipient, effect)

    def request_work(self, task: str, body: bytes) -> bool:
        """Requests work on a task from its owner; returns False if the task has no known owner."""
        owner = self.owner_of(task)
        request = WorkRequest(self.protocol.log.term, self.self_id, task, body)
        if owner == self.self_id:
            self._handle_request(request)
        elif owner:
            self.transport.send(owner, request)
        return bool(owner)

    def member_count(self) -> int:
        """Returns the number of voting members, including this one."""
        return len(self.protocol.log.voter_set.members)

    def other_members(self) -> list[str]:
        """Returns all voting members except this one."""
        return [member for member in self.protocol.log.voter_set.members if member != self.self_id]

    def move_task(self, task: str, target: str) -> None:
        """Moves a task, together with its shard, to another member on an operator's request.

        Raises:
            ShardMoveError: This member is not the coordinator, or the move is not possible.
        """
        self._execute(self.protocol.move_shard(self.clock(), self._shard_of(task), target))
        self.wake.set()

    def member_status_changed(self, member: str, failed: bool, live_members: set[str]) -> None:
        """Handles a change of a member's status in the membership."""
        self._execute(
            self.protocol.member_status_changed(self.clock(), member, failed, live_members)
        )
        self.wake.set()

    def _shard_of(self, task: str) -> int:
        return self.protocol.assignments.shard_of(task)

    # Incoming messages.

    def _receive(self, message: Any) -> None:
        match message:
            case Effect():
                self._execute_effect(message)
            case EffectResult():
                self._handle_result(message)
            case WorkRequest():
                self._handle_request(message)
            case _:
                self._execute(self.protocol.receive(self.clock(), message))
        self.wake.set()

    def _handle_result(self, result: EffectResult) -> None:
        if result.done:
            return
        self.counters["refused_by_others"] += 1
        shard = self._shard_of(result.task)
        self._execute(self.protocol.token_rejected(self.clock(), shard, result.highest_token))

    def _handle_request(self, request: WorkRequest) -> None:
        handler = self.request_handlers.get(task_kind(request.task))
        if handler is not None:
            handler(request)

    def _execute_effect(self, effect: Effect) -> None:
        rejection = self.executor.execute(effect)
        if rejection is not None and effect.sender != self.self_id:
            self.counters["refused_here"] += 1
            self.transport.send(effect.sender, rejection)

    def _execute(self, orders: Sequence[object]) -> None:
        """Executes the protocol's orders and releases revoked shards at once.

        An immediate release is safe: users of this service complete each action within one call and
        leave none unfinished across a wait.
        """
        for order in orders:
            self._execute_order(order)
        revoked = self.protocol.revoked_shards()
        if revoked:
            self._execute(self.protocol.release(self.clock(), revoked))

    def _execute_order(self, order: object) -> None:
        match order:
            case log_messages.Send(recipient, message) | SendMessage(recipient, message):
                self.transport.send(recipient, message)
            case log_messages.Persist(term, voted_for, voter_set):
                members = list(voter_set.members)
                self.store.put_vote(term, voted_for, voter_set.version, members, OWNERSHIP_VOTE_KEY)
            case log_messages.BecomeLeader(term):
                self.log_event("ownership.became_coordinator", term=term)
            case log_messages.StepDown(reason):
                self.log_event("ownership.stepped_down", why=reason)
            case OwnershipChanged():
                self._record_change(order)
            case HeldShardsChanged(shards):
                self.log_event("ownership.held_shards_changed", slots=len(shards))
                for callback in self.on_held_shards_changed:
                    callback()

    def _record_change(self, change: OwnershipChanged) -> None:
        self.recent_changes.append(RecentChange(self.clock(), change))
        if self.protocol.log.is_leader:
            self.log_event(
                "ownership.shard_assigned",
                slot=change.shard,
                owner=change.owner,
                number=change.token,
                why=change.reason,
            )

    # Status output.

    def describe(self) -> dict[str, Any]:
        """Returns the state as the JSON object of `fleet work`."""
        return {
            **describe_protocol(self.protocol),
            "changes": describe_changes(self.recent_changes, self.clock()),
            "counts": dict(self.counters),
        }


def _stored_vote(store: Store, config: OwnershipConfig) -> log_messages.Persist:
    """Returns the stored vote of the log; by default one in which the configured members vote."""
    stored = store.vote(OWNERSHIP_VOTE_KEY)
    if not stored:
        voter_set = log_messages.VoterSet(1, tuple(sorted(config.addresses)))
        return log_messages.Persist(0, "", voter_set)
    term, voted_for, version, members = stored
    return log_messages.Persist(term, voted_for, log_messages.VoterSet(version, tuple(members)))
