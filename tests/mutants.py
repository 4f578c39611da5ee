"""The machine with one safety line taken out; each must be caught by the search, within these bounds."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dunlinlug.fleet.succession import words
from dunlinlug.fleet.succession.machine import Machine
from dunlinlug.fleet.succession.search import DRAIN, TRY, Bounds

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
    """`prefix` leads the search to where it matters; from there the trace is a shortest one."""

    says: str  # what the search must find
    bounds: Bounds
    prefix: list[str]
    make: Callable[..., Machine] = Machine
    host: dict[str, bool] = field(
        default_factory=dict
    )  # of the search: what the machine's host leaves out


def bounds(**changes: Any) -> Bounds:
    return Bounds(**{**vars(BARE), **changes})


TICK = "time passes$"


def voted(who: str, by: str, term: int, probed: bool = True) -> list[str]:
    """Asks for votes, and gets one."""
    probe = [
        f"{who} acts on its time",
        rf"{who}'s Ask \(probe\).* for {by} arrives$",
        rf"{by}'s Answer \(probe\).* for {who} arrives$",
    ]
    return [
        *(probe if probed else []),
        f"{who}'s Ask of term {term} for {by} arrives$",
        f"{by}'s Answer of term {term} for {who} arrives$",
    ]


def followed(who: str, by: str) -> list[str]:
    """Its place is heard of, and its first entry."""
    return [f"{who}'s (Beat|Whole).* for {by} arrives$", f"{by}'s Heard.* for {who} arrives$"] * 2


HELD = [
    TICK,
    "a acts on its time",
    "a's Beat.* for c arrives$",
    "c's Heard.* for a arrives$",
]  # c holds a's lease
TOLD = ["a is told of the drain", "a's Beat.* for b arrives$", "b's Heard.* for a arrives$"]

MUTANTS = {
    "votes twice": Mutant(
        "two masters of one term",
        bounds(),
        [
            *[TICK] * 3,
            "b acts on its time",
            *voted("c", "a", 2)[:2],
            *voted("b", "a", 2)[1:3],
            *voted("c", "a", 2)[2:3],
            *voted("b", "a", 2, False),
        ],
        VotesTwice,
    ),
    "forgets votes": Mutant(
        "two masters of one term",
        bounds(restarts=1),
        [
            *[TICK] * 3,
            "a acts on its time",
            *[TICK] * 2,
            *voted("a", "c", 2)[:3],
            *voted("b", "c", 2),
            "c restarts",
            *[TICK] * 3,
        ],
        ForgetsVotes,
    ),
    "unbound": Mutant(
        "may order at one time", bounds(), [*HELD, *HELD, TICK, *voted("b", "c", 2)], Unbound
    ),
    "late passes": Mutant(
        "may order at one time",
        bounds(terms=3, passes=1, doubled=1),
        [
            "a hands over to b",
            "a's Pass.* arrives, and will again",
            *voted("b", "c", 2, False),
            *followed("b", "c"),
            *[TICK] * 3,
            "b acts on its time",
            *voted("c", "a", 3),
            *followed("c", "a"),
            *followed("c", "b"),
            "a's Pass.* arrives$",
        ],
        LatePasses,
    ),
    "forgets promises": Mutant(
        "may order at one time",
        bounds(restarts=1),
        [*HELD, *HELD, TICK, "c restarts", *voted("b", "c", 2)],
        ForgetsPromises,
    ),
    "leases from answers": Mutant(
        "may order at one time",
        bounds(),
        [*HELD[:3], *[TICK] * 3, *voted("b", "c", 2)],
        LeasesFromAnswers,
    ),
    "trusts clocks": Mutant(
        "may order at one time",
        bounds(missed=1),
        [*HELD, "time passes, and a's clock", *[TICK] * 2, *voted("b", "c", 2)],
        TrustsClocks,
    ),
    "votes for anybody": Mutant(
        "does not know of the drain",
        bounds(entries=(DRAIN,)),
        [
            *TOLD,
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            *[TICK] * 3,
            *voted("c", "b", 2),
        ],
        VotesForAnybody,
    ),
    "counts blanks": Mutant(
        "does not know of the drain",
        bounds(entries=(DRAIN,), restarts=1),
        [
            *TOLD,
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            "b restarts",
            *[TICK] * 3,
            *voted("c", "b", 2),
        ],
        CountsBlanks,
    ),
    "no fence": Mutant(
        "obeys a of term 1 after b of term 2",
        bounds(entries=(DRAIN,)),
        [
            *TOLD,
            "a orders proxy 0: drain",
            *[TICK] * 3,
            *voted("b", "c", 2),
            *followed("b", "c"),
            "b orders proxy 0: drain",
        ],
        host={"fenced": False},
    ),
    "no waiting for commits, a drain": Mutant(
        "does not know of the drain",
        bounds(entries=(DRAIN,)),
        [
            "a is told of the drain",
            "a orders proxy 0: drain",
            "a's order.* arrives$",
            *[TICK] * 3,
            *voted("b", "c", 2),
        ],
        host={"commits": False},
    ),
    "no waiting for commits, a try": Mutant(
        "allowed twice",
        bounds(entries=(TRY,)),
        [
            "a is told of the try",
            "a orders proxy 0: try",
            "a's order.* arrives$",
            *[TICK] * 3,
            *voted("b", "c", 2),
            *followed("b", "c"),
        ],
        host={"commits": False},
    ),
}
