"""A manager's part in ownership: the protocol over sockets, timers and the store.

Users name their tasks, ask `held_token` right before each effect leaves, and send it by
`send_effect`; at the other end a handler gets what passes the fence. What is to be done while
nobody owns a task, its users decide for themselves.
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
from dunlinlug.fleet.ownership.messages import (
    MESSAGE_TYPES,
    SHARDS,
    Effect,
    EffectResult,
    LeaseHeld,
    OwnershipChanged,
    SendMessage,
    WorkRequest,
)
from dunlinlug.fleet.ownership.options import LeaseTiming, OwnershipOptions
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol
from dunlinlug.fleet.ownership.status import RecentChange, describe_changes, describe_protocol
from dunlinlug.storage.store import Store

MAX_RECENT_CHANGES = 50  # of assignments, for people
VOTE_STORE_NAME = "owners"  # the name of the log's vote in the store
INCARNATION_BITS = 62


@dataclass(frozen=True)
class OwnershipConfig:
    """Who takes part in ownership; all but `self_id` is the same for all members."""

    self_id: str
    addresses: dict[str, tuple[str, int]]  # host and port of each member by its name
    keys: list[bytes]  # shared keys, the first of which signs
    timing: LeaseTiming
    shards: int = SHARDS


class Ownership:
    """One member of the set that owns work on behalf of the fleet.

    It owns the protocol's state, the connections to other members and the executor of effects.
    Handlers are by the kind of a task: the first word of its name, up to the "/".
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
        # Drawn from the seed, the incarnation of a process whose store was lost would be taken for
        # the one before it.
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
        """Send what is queued and act on timers; other members' messages come by the transport."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run, [])
            while True:
                self.wake = trio.Event()
                with trio.move_on_after(max(self.protocol.next_deadline() - self.clock(), 0.0)):
                    await self.wake.wait()
                self._execute(self.protocol.tick(self.clock()))
                await trio.sleep(0)

    # What users register.

    def handle_effects(self, kind: str, handler: Callable[[Effect], None]) -> None:
        """Let this handler execute all effects for tasks of a kind that pass the fence."""
        self.executor.handlers[kind] = handler

    def handle_requests(self, kind: str, handler: Callable[[WorkRequest], None]) -> None:
        """Tell this handler when a task of a kind, which we may own, is asked for."""
        self.request_handlers[kind] = handler

    # What users ask.

    def held_token(self, task: str) -> int | None:
        """The token under which we may act for a task at this moment; None if we may not.

        To be asked again after each wait.
        """
        return self.protocol.held_token(self.clock(), self._shard_of(task))

    def owner_of(self, task: str) -> str:
        """The owner of a task, as far as we know; empty if nobody owns it."""
        return self.protocol.owner_of(task)[0]

    def checkpoint(self, task: str) -> bytes:
        """How far a task has come, as its owners reported; empty if nothing is known."""
        return self.protocol.assignments.checkpoint_of(task).body

    def store_checkpoint(self, task: str, body: bytes) -> None:
        """Report how far a task of ours has come, for its next owner.

        Raises:
            CheckpointError: The task is not ours, or the body is too large.
        """
        self._execute(self.protocol.store_checkpoint(self.clock(), task, body))

    def send_effect(self, recipient: str, task: str, body: bytes) -> bool:
        """Send an effect to an executor, a member or ourselves; False if the task is not ours."""
        token = self.held_token(task)  # right before it leaves: nothing is awaited from here on
        if token is None:
            self.counters["not_ours"] += 1
            return False
        shard = self._shard_of(task)
        self.effect_sequences[shard] += 1
        sequence = self.effect_sequences[shard]
        effect = Effect(self.protocol.log.term, self.self_id, task, token, sequence, body)
        self.counters["effects"] += 1
        if recipient == self.self_id:
            self._execute_effect(effect)
        else:
            self.transport.send(recipient, effect)
        return True

    def request_work(self, task: str, body: bytes) -> bool:
        """Tell a task's owner that it is asked for; False if nobody is known to own it."""
        owner = self.owner_of(task)
        request = WorkRequest(self.protocol.log.term, self.self_id, task, body)
        if owner == self.self_id:
            self._handle_request(request)
        elif owner:
            self.transport.send(owner, request)
        return bool(owner)

    def member_count(self) -> int:
        """How many members vote, ourselves among them."""
        return len(self.protocol.log.voter_set.members)

    def other_members(self) -> list[str]:
        """All members that vote but ourselves."""
        return [member for member in self.protocol.log.voter_set.members if member != self.self_id]

    def move_task(self, task: str, target: str) -> None:
        """Move a task with its shard to another member, as an operator wishes.

        Raises:
            ShardMoveError: We are not the coordinator, or the move is not possible.
        """
        self._execute(self.protocol.move_shard(self.clock(), self._shard_of(task), target))
        self.wake.set()

    def member_status_changed(self, member: str, failed: bool, live_members: set[str]) -> None:
        """The membership has another view of a member."""
        self._execute(
            self.protocol.member_status_changed(self.clock(), member, failed, live_members)
        )
        self.wake.set()

    def _shard_of(self, task: str) -> int:
        return self.protocol.assignments.shard_of(task)

    # What comes.

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
        """Carry out the protocol's orders, and release at once what is revoked.

        Our users act within one call and keep nothing half done over a wait.
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
                self.store.put_vote(term, voted_for, voter_set.version, members, VOTE_STORE_NAME)
            case log_messages.BecomeLeader(term):
                self.log_event("ownership.became_coordinator", term=term)
            case log_messages.StepDown(reason):
                self.log_event("ownership.stepped_down", why=reason)
            case OwnershipChanged():
                self._record_change(order)
            case LeaseHeld(shards):
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

    # For people and programs.

    def describe(self) -> dict[str, Any]:
        """The state as the JSON of `fleet work`."""
        return {
            **describe_protocol(self.protocol),
            "changes": describe_changes(self.recent_changes, self.clock()),
            "counts": dict(self.counters),
        }


def _stored_vote(store: Store, config: OwnershipConfig) -> log_messages.Persist:
    """What the log's protocol had on disk; the configured members vote where it had nothing."""
    stored = store.vote(VOTE_STORE_NAME)
    if not stored:
        voter_set = log_messages.VoterSet(1, tuple(sorted(config.addresses)))
        return log_messages.Persist(0, "", voter_set)
    term, voted_for, version, members = stored
    return log_messages.Persist(term, voted_for, log_messages.VoterSet(version, tuple(members)))
