"""Executes effects on a member: checks fencing tokens and calls the handler of the task's kind."""

from collections.abc import Callable

from dunlinlug.fleet.ownership.fencing import DUPLICATE_REASON, FencingGuard, FencingToken
from dunlinlug.fleet.ownership.messages import Effect, EffectResult
from dunlinlug.fleet.ownership.protocol import OwnershipProtocol

LOGGED_TASK_PREFIX = "exercise/"  # each effect of these tasks is logged


def task_kind(task: str) -> str:
    """Returns the kind of a task: its name up to the first "/"."""
    return task.partition("/")[0]


class EffectExecutor:
    """Passes effects with valid fencing tokens to their handlers.

    Attributes:
        handlers: Handlers of effects by task kind.
        unfenced_kinds: Task kinds whose effects are passed on whatever token they bear.
    """

    def __init__(self, protocol: OwnershipProtocol, log_event: Callable[..., None]) -> None:
        self.protocol = protocol
        self.log_event = log_event
        self.fencing = FencingGuard()
        self.handlers: dict[str, Callable[[Effect], None]] = {}
        self.unfenced_kinds = set[str]()

    def execute(self, effect: Effect) -> EffectResult | None:
        """Executes an effect, or returns the rejection to send to its sender.

        A duplicate effect is ignored.
        """
        kind = task_kind(effect.task)
        reason = "" if kind in self.unfenced_kinds else self._rejection_reason(effect)
        if reason or effect.task.startswith(LOGGED_TASK_PREFIX):
            self._log_effect(effect, reason)
        if not reason:
            handler = self.handlers.get(kind)
            if handler is not None:
                handler(effect)
            return None
        if reason == DUPLICATE_REASON:
            return None
        highest = self._highest_token(self.protocol.assignments.shard_of(effect.task))
        term = self.protocol.log.term
        return EffectResult.rejection(self.protocol.self_id, effect, highest, term)

    def _rejection_reason(self, effect: Effect) -> str:
        """Returns why an effect is rejected; empty if it is accepted.

        An executor that has just started has no recorded tokens, so it uses those of the log and
        rejects everything until it has a log.
        """
        if not self.protocol.follows_log():
            return "this carrier follows no log yet"
        shard = self.protocol.assignments.shard_of(effect.task)
        minimum = self.protocol.assignments.tokens[shard]
        return self.fencing.check(shard, effect.token, effect.sender, effect.sequence, minimum)

    def _highest_token(self, shard: int) -> FencingToken:
        """Returns the token that an owner must exceed: the last executed one or the log's."""
        assignments = self.protocol.assignments
        logged = FencingToken(assignments.tokens[shard], assignments.owners[shard], 0)
        executed = self.fencing.highest_token(shard)
        return max(executed, logged, key=lambda token: (token.number, token.owner))

    def _log_effect(self, effect: Effect, reason: str) -> None:
        self.log_event(
            "ownership.effect_rejected" if reason else "ownership.effect_executed",
            piece=effect.task,
            number=effect.token,
            count=effect.sequence,
            owner=effect.sender,
            why=reason,
            body=effect.body.decode(errors="replace"),
        )
