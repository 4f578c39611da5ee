"""A manager's part in owning fleet-wide work: the machine, its sockets and timers; carrying
effects, and refusing them.

Users of it name their pieces, ask `may` right before each effect leaves, and send it by `order`;
carriers get what passes the fence. What nobody owns for the moment each user answers for itself.
"""

import secrets
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

import trio

from dunlinlug.fleet.election import codec
from dunlinlug.fleet.election import messages as log_words
from dunlinlug.fleet.election.transport import OWNERSHIP_PREFACE, PeerTransport
from dunlinlug.fleet.ownership.fencing import FencingGuard
from dunlinlug.fleet.ownership.messages import (
    MESSAGE_TYPES,
    SHARDS,
    Effect,
    EffectResult,
    LeaseHeld,
    OwnershipChanged,
    WorkRequest,
)
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol
from dunlinlug.storage.store import Store

MAX_RECENT_CHANGES = 50  # last changes kept for people
LOGGED_TASK_PREFIX = "exercise/"  # pieces whose effects are logged one by one
VOTE_STORE_NAME = "owners"  # the vote's name in the store


class Ownership:
    """`places` are where the members are by name, `timing` the lease, beat, drift and forgets of
    the log.
    """

    def __init__(
        self,
        self_id: str,
        addresses: dict[str, tuple[str, int]],
        keys: list[bytes],
        timing: dict[str, Any],
        store: Store,
        rng: Random,
        log_event: Callable[..., None],
        shards: int = SHARDS,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.self_id = self_id
        self.store = store
        self.log_event = log_event
        self.clock = clock
        stored_vote = store.vote(VOTE_STORE_NAME)
        persisted = (
            log_words.Persist(
                stored_vote[0],
                stored_vote[1],
                log_words.VoterSet(stored_vote[2], tuple(stored_vote[3])),
            )
            if stored_vote
            else (log_words.Persist(0, "", log_words.VoterSet(1, tuple(sorted(addresses)))))
        )
        # Danger: drawn from the seed, a life whose store was lost would be taken for the one before
        # it.
        self.protocol = OwnershipProtocol(
            self_id,
            persisted,
            clock(),
            random_uniform=rng.uniform,
            incarnation=secrets.randbits(62),
            shards=shards,
            **timing,
        )
        self.transport = PeerTransport(
            self_id,
            addresses,
            keys,
            self._receive,
            log_event,
            {**codec.MESSAGE_TYPES, **MESSAGE_TYPES},
            OWNERSHIP_PREFACE,
        )
        self.fencing = FencingGuard()
        self.effect_sequences = Counter[int]()
        self.wake = trio.Event()
        self.executors: dict[
            str, Callable[[Effect], None]
        ] = {}  # by a piece's first word, who does its effects here
        self.request_handlers: dict[
            str, Callable[[WorkRequest], None]
        ] = {}  # and who is told that one is asked for
        self.on_held_shards_changed: list[
            Callable[[], None]
        ] = []  # told when what we hold has changed
        self.recent_changes: deque[tuple[float, OwnershipChanged]] = deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self.counters = Counter[str]()

    async def run(self) -> None:
        """Calls come by the membership's door, as `peers.call`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run, [])
            while True:
                self.wake = trio.Event()
                with trio.move_on_after(max(self.protocol.next_deadline() - self.clock(), 0.0)):
                    await self.wake.wait()
                self._execute(self.protocol.tick(self.clock()))
                await trio.sleep(0)

    # What users ask.

    def held_token(self, task: str) -> int | None:
        """The number under which we may act for a piece at this very moment; asked again after each
        wait.
        """
        return self.protocol.held_token(self.clock(), self.protocol.assignments.shard_of(task))

    def owner_of(self, task: str) -> str:
        return self.protocol.owner_of(task)[0]

    def checkpoint(self, task: str) -> bytes:
        """How far a piece has come, as its owners told; empty if nothing is known."""
        return self.protocol.assignments.checkpoints.get(task, (0, b""))[1]

    def store_checkpoint(self, task: str, body: bytes) -> None:
        """Raises ValueError if the piece is not ours."""
        self._execute(self.protocol.store_checkpoint(self.clock(), task, body))

    def send_effect(self, recipient: str, task: str, body: bytes) -> bool:
        """An effect at a carrier, ourselves or another member; false if we may not act for the
        piece.
        """
        token = self.held_token(task)  # right before it leaves: nothing is awaited from here on
        if token is None:
            self.counters["not_ours"] += 1
            return False
        shard = self.protocol.assignments.shard_of(task)
        self.effect_sequences[shard] += 1
        effect = Effect(
            self.protocol.log.term, self.self_id, task, token, self.effect_sequences[shard], body
        )
        self.counters["effects"] += 1
        if recipient == self.self_id:
            self._execute_effect(effect)
        else:
            self.transport.send(recipient, effect)
        return True

    def request_work(self, task: str, body: bytes) -> bool:
        """Let the owner of a piece know that it is asked for; false if nobody is known to own it."""
        owner = self.owner_of(task)
        request = WorkRequest(self.protocol.log.term, self.self_id, task, body)
        if owner == self.self_id:
            self._handle_request(request)
        elif owner:
            self.transport.send(owner, request)
        return bool(owner)

    def other_members(self) -> list[str]:
        return [member for member in self.protocol.log.voter_set.members if member != self.self_id]

    def move_task(self, task: str, target: str) -> None:
        """An operator's word, at the steward. Raises ValueError."""
        self._execute(
            self.protocol.move_shard(self.clock(), self.protocol.assignments.shard_of(task), target)
        )
        self.wake.set()

    def member_status_changed(self, member: str, failed: bool, live_members: set[str]) -> None:
        """The membership has another view of a member."""
        self._execute(
            self.protocol.member_status_changed(self.clock(), member, failed, live_members)
        )
        self.wake.set()

    # What comes.

    def _receive(self, message: Any) -> None:
        match message:
            case Effect():
                self._execute_effect(message)
            case EffectResult(task=task, done=False, highest_token=highest_token):
                self.counters["refused_by_others"] += 1
                shard = self.protocol.assignments.shard_of(task)
                self._execute(self.protocol.token_rejected(self.clock(), shard, highest_token))
            case EffectResult():
                pass
            case WorkRequest():
                self._handle_request(message)
            case _:
                self._execute(self.protocol.receive(self.clock(), message))
        self.wake.set()

    def _handle_request(self, request: WorkRequest) -> None:
        handler = self.request_handlers.get(request.task.partition("/")[0])
        if handler is not None:
            handler(request)

    def _execute_effect(self, effect: Effect) -> None:
        """Danger: a carrier that has just started remembers no number, so it goes by the log, and
        by nothing before it has one.
        """
        assignments = self.protocol.assignments
        shard = self.protocol.assignments.shard_of(effect.task)
        reason = (
            "this carrier follows no log yet"
            if not self.protocol.follows_log()
            else self.fencing.check(
                shard, effect.token, effect.sender, effect.sequence, assignments.tokens[shard]
            )
        )
        executor = self.executors.get(effect.task.partition("/")[0])
        if reason or effect.task.startswith(LOGGED_TASK_PREFIX):
            self.log_event(
                "ownership.effect_rejected" if reason else "ownership.effect_executed",
                piece=effect.task,
                number=effect.token,
                count=effect.sequence,
                owner=effect.sender,
                why=reason,
                body=effect.body.decode(errors="replace"),
            )
        if not reason and executor is not None:
            executor(effect)
        if reason and "came before" not in reason and effect.sender != self.self_id:
            self.counters["refused_here"] += 1
            highest = self.fencing.highest_token(shard)
            seen_token, owner = max(
                (highest.number, highest.owner),
                (assignments.tokens[shard], assignments.owners[shard]),
            )
            self.transport.send(
                effect.sender,
                EffectResult(
                    self.protocol.log.term,
                    self.self_id,
                    effect.task,
                    effect.token,
                    effect.sequence,
                    False,
                    seen_token,
                    owner,
                ),
            )

    def _execute(self, orders: list[Any]) -> None:
        for order in orders:
            match order:
                case log_words.Send(recipient, message):
                    self.transport.send(recipient, message)
                case log_words.Persist(term, voted, voter_set):
                    self.store.put_vote(
                        term, voted, voter_set.version, list(voter_set.members), VOTE_STORE_NAME
                    )
                case log_words.BecomeLeader(term):
                    self.log_event("ownership.became_coordinator", term=term)
                case log_words.StepDown(reason):
                    self.log_event("ownership.stepped_down", why=reason)
                case OwnershipChanged():
                    self.recent_changes.append((self.clock(), order))
                    if self.protocol.log.is_leader:
                        self.log_event(
                            "ownership.shard_assigned",
                            slot=order.shard,
                            owner=order.owner,
                            number=order.token,
                            why=order.reason,
                        )
                case LeaseHeld(shards):
                    self.log_event("ownership.held_shards_changed", slots=len(shards))
                    for callback in self.on_held_shards_changed:
                        callback()
        self._release_revoked()

    def _release_revoked(self) -> None:
        """What we are asked to give up: our users act within one call and keep nothing half done
        over a wait, so it is given up at once.
        """
        protocol = self.protocol
        revoked = [
            shard
            for shard in protocol.assignments.revoking
            if protocol.assignments.owners[shard] == self.self_id
            and protocol.released.get(shard) != protocol.assignments.tokens[shard]
        ]
        if revoked:
            self._execute(protocol.release(self.clock(), revoked))

    def describe(self) -> dict[str, Any]:
        """For people and programs."""
        protocol = self.protocol
        now = self.clock()
        owners = Counter(protocol.assignments.owners)
        return {
            "member": self.self_id,
            "steward": protocol.log.leader or None,
            "term": protocol.log.term,
            "leads": protocol.log.is_leader,
            "holds": len(protocol.held_shards),
            "slots": protocol.shards,
            "owners": {owner or "nobody": sequence for owner, sequence in sorted(owners.items())},
            "moving": {
                str(shard): recipient
                for shard, recipient in sorted(protocol.assignments.revoking.items())
            },
            "records": [
                {
                    "piece": task,
                    "slot": protocol.assignments.shard_of(task),
                    "owner": protocol.owner_of(task)[0],
                    "number": protocol.owner_of(task)[1],
                    "under": checkpoint_token,
                    "body": body.decode(errors="replace"),
                }
                for task, (checkpoint_token, body) in sorted(
                    protocol.assignments.checkpoints.items()
                )
            ],
            "changes": [
                {
                    "ago": round(now - at, 3),
                    "slot": said.shard,
                    "owner": said.owner,
                    "number": said.token,
                    "why": said.reason,
                }
                for at, said in self.recent_changes
            ],
            "counts": dict(self.counters),
        }
