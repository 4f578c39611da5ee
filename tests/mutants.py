"""The machine with one safety line taken out; each must be caught by the search, within these bounds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dunlinlug.succession import words
from dunlinlug.succession.machine import Machine
from dunlinlug.succession.search import DRAIN, TRY, Bounds

BARE = Bounds(terms=2, flying=8, lost=5, doubled=0, missed=0, restarts=0, passes=0, entries=())


class VotesTwice(Machine):
    def _free(self, ask: words.Ask) -> bool:
        return ask.term >= self.term


class CountsBlanks(Machine):
    def _sure(self, granted: list[words.Answer]) -> bool:
        return True


class ForgetsVotes(CountsBlanks):
    """A vote that is not on disk is forgotten by a restart. With the rule on blanks alone this is not seen: what a
    member has forgotten counts for nothing; so that one is out as well, here and below."""

    def __init__(self, me: str, kept: words.Keep, *rest: Any) -> None:
        super().__init__(me, words.Keep(kept.term, "", kept.roll), *rest)


class Unbound(Machine):
    def _bound(self, now: float, ask: words.Ask) -> bool:
        return False


class LatePasses(Machine):
    """A passing on that binds nobody, whatever its term."""

    def _bound(self, now: float, ask: words.Ask) -> bool:
        return not ask.handed and super()._bound(now, ask)

    def hear(self, now: float, message: words.Message) -> list[words.Order]:
        if isinstance(message, words.Pass) and not self.leading:
            return self._ask(now, probe=False, handed=True)
        return super().hear(now, message)


class ForgetsPromises(CountsBlanks):
    def __init__(self, me: str, kept: words.Keep, now: float, *rest: Any) -> None:
        super().__init__(me, kept, now, *rest)
        self.promised = self.stand_at = now


class LeasesFromAnswers(Machine):
    """Counts its lease from when an answer came, not from when it asked."""

    def _heard(self, now: float, heard: words.Heard) -> list[words.Order]:
        if self.leading and heard.term == self.term:
            self.acks[heard.sender] = now
        return super()._heard(now, heard)


class TrustsClocks(Machine):
    """Its own lease is as long as the others' promise."""

    def __init__(self, *rest: Any) -> None:
        super().__init__(*rest)
        self.own_lease = self.lease


class VotesForAnybody(Machine):
    def _far_enough(self, ask: words.Ask) -> bool:
        return True


@dataclass(frozen=True)
class Mutant:
    says: str  # what the search must find
    bounds: Bounds
    make: Callable[..., Machine] = Machine
    host: dict[str, bool] = field(default_factory=dict)  # of the search: what the machine's host leaves out


def bounds(**changes: Any) -> Bounds:
    return Bounds(**{**vars(BARE), **changes})


MUTANTS = {
    "votes twice": Mutant("two masters of one term", bounds(), VotesTwice),
    "forgets votes": Mutant("two masters of one term", bounds(restarts=1), ForgetsVotes),
    "unbound": Mutant("may order at one time", bounds(), Unbound),
    "late passes": Mutant("may order at one time", bounds(terms=3, passes=1, doubled=1), LatePasses),
    "forgets promises": Mutant("may order at one time", bounds(restarts=1), ForgetsPromises),
    "leases from answers": Mutant("may order at one time", bounds(), LeasesFromAnswers),
    "trusts clocks": Mutant("may order at one time", bounds(missed=1), TrustsClocks),
    "votes for anybody": Mutant("does not know of the drain", bounds(entries=(DRAIN,)), VotesForAnybody),
    "counts blanks": Mutant("does not know of the drain", bounds(entries=(DRAIN,), restarts=1), CountsBlanks),
    "no fence": Mutant("after", bounds(entries=(DRAIN,)), host={"fenced": False}),
    "no waiting for commits, a drain": Mutant("does not know of the drain", bounds(entries=(DRAIN,)),
                                              host={"commits": False}),
    "no waiting for commits, a try": Mutant("allowed twice", bounds(entries=(TRY,)), host={"commits": False}),
}
