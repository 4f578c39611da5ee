"""What was so, beside what members said: who was down when, who was cut from whom, and which
verdicts were false.

Free of I/O. Times are the rig's seconds from the begin of the measured span. A member counts as
down from when it was told to stop until it has said that it runs again, and a verdict may still
come in for a while after the fault's end.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, log2, log10
from typing import Any

from dunlinlug.fleet.membership.suspicions import MAX_SUSPICION_INTERVALS

SHOWN = 10  # false verdicts that a result shows in full


def grace(beat: float, size: int) -> float:
    """Seconds after a fault's end in which a verdict may still be told of it: a suspicion without
    witnesses and with some distrust of oneself, then the rounds in which all hear of a verdict.
    """
    return beat * (
        1.5 * MAX_SUSPICION_INTERVALS * max(1.0, log10(max(size, 1))) + 2 * log2(size + 1)
    )


@dataclass(frozen=True)
class Verdict:
    """At `at`, `by` had `of` as failed."""

    at: float
    by: str
    of: str


@dataclass
class Spell:
    begin: float
    end: float = inf


@dataclass
class Timeline:
    """What was done to whom."""

    downs: dict[str, list[Spell]] = field(default_factory=dict)
    planned: set[tuple[str, float]] = field(
        default_factory=set
    )  # of the spells, those with a goodbye, by their begin
    cuts: list[tuple[Spell, frozenset[str]]] = field(
        default_factory=list
    )  # who stood behind each cut

    def down(self, at: float, names: Iterable[str], planned: bool = False) -> None:
        for name in names:
            spells = self.downs.setdefault(name, [])
            if spells and spells[-1].end == inf:
                continue  # an overlap: it is down already
            spells.append(Spell(at))
            if planned:
                self.planned.add((name, at))

    def up(self, at: float, names: Iterable[str]) -> None:
        for name in names:
            spells = self.downs.get(name)
            if spells and spells[-1].end == inf:
                spells[-1].end = at

    def cut(self, at: float, names: Iterable[str]) -> None:
        self.cuts.append((Spell(at), frozenset(names)))

    def heal(self, at: float, names: Iterable[str]) -> None:
        behind = frozenset(names)
        for spell, held in self.cuts:
            if held == behind and spell.end == inf:
                spell.end = at

    def ended(self) -> float:
        """When the last fault ended; infinite while one stands."""
        ends = [spell.end for spells in self.downs.values() for spell in spells]
        return max([0.0, *ends, *(spell.end for spell, _ in self.cuts)])

    def is_down(self, name: str, at: float) -> bool:
        return any(spell.begin <= at < spell.end for spell in self.downs.get(name, ()))

    def excuses(self, verdict: Verdict, late: float) -> bool:
        """Whether `of` was down, or a cut stood between the two. For a while after a cut's end
        anyone may pass on what was said behind it.
        """
        downs = any(
            spell.begin <= verdict.at <= spell.end + late
            for spell in self.downs.get(verdict.of, ())
        )
        return downs or any(
            spell.end <= verdict.at <= spell.end + late
            or spell.begin <= verdict.at < spell.end
            and (verdict.by in behind) != (verdict.of in behind)
            for spell, behind in self.cuts
        )


def false(verdicts: Iterable[Verdict], timeline: Timeline, late: float) -> list[Verdict]:
    """Verdicts on members that were up and reachable."""
    return [
        verdict
        for verdict in verdicts
        if verdict.by != verdict.of and not timeline.excuses(verdict, late)
    ]


def seen(
    verdicts: Sequence[Verdict], timeline: Timeline, everyone: Iterable[str]
) -> dict[str, Any]:
    """For each member that went down without a goodbye and stayed so: seconds until each other says
    that it has failed, until the last does, and how many never did before it was back.
    """
    first = dict[tuple[str, str, float], float]()
    spells = {
        name: [s for s in found if (name, s.begin) not in timeline.planned]
        for name, found in timeline.downs.items()
    }
    for verdict in sorted(verdicts, key=lambda verdict: verdict.at):
        for spell in spells.get(verdict.of, ()):
            if spell.begin <= verdict.at < spell.end:
                first.setdefault((verdict.of, verdict.by, spell.begin), verdict.at - spell.begin)
    each, last, missing = list[float](), list[float](), 0
    watchers = sorted(everyone)
    for name, found in sorted(spells.items()):
        for spell in found:
            able = [by for by in watchers if by != name and not _struck(timeline, by, spell)]
            took = [first[name, by, spell.begin] for by in able if (name, by, spell.begin) in first]
            each += took
            missing += len(able) - len(took)
            last += [max(took)] if took and len(took) == len(able) else []
    return {"each": each, "last": last, "missing": missing}


def _struck(timeline: Timeline, name: str, spell: Spell) -> bool:
    """Whether something else was done to it meanwhile, so that it owes no verdict."""
    own = any(s.begin < spell.end and s.end > spell.begin for s in timeline.downs.get(name, ()))
    return own or any(s.begin < spell.end and s.end > spell.begin for s, _ in timeline.cuts)


def disordered(indexes: Mapping[str, Sequence[int]]) -> list[str]:
    """Followers of the list that took an older version after a newer one."""
    return sorted(
        name
        for name, taken in indexes.items()
        if any(b <= a for a, b in zip(taken, taken[1:], strict=False))
    )


def lost(last: Mapping[str, tuple[int, str]], index: int, digest: str) -> list[str]:
    """Followers whose list at the end is not discovery's."""
    return sorted(name for name, held in last.items() if held != (index, digest))


def reached(
    changes: Mapping[int, float], taken: Mapping[str, Sequence[tuple[int, float]]]
) -> list[float]:
    """Of each change of the list, seconds until the last follower held it, or one after it; changes
    that some never got are left out here, as `lost` tells of them.
    """
    found = []
    for index, at in sorted(changes.items()):
        times = [
            next((when for held, when in versions if held >= index), inf)
            for versions in taken.values()
        ]
        if times and max(times) < inf:
            found.append(max(times) - at)
    return found


def shown(verdicts: Sequence[Verdict]) -> list[dict[str, Any]]:
    return [{"at": round(v.at, 2), "by": v.by, "of": v.of} for v in verdicts[:SHOWN]]
