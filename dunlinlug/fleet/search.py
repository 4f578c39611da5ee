"""Explicit-state search over models of the fleet's machines: breadth first, drawn walks, shortest traces.

A model is any world with steps to further worlds. States are known by a 128-bit number of their form, so that millions
fit in memory; nothing of it runs in service.
"""

import re
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

LIKES = (0.02, 0.2, 1.0, 5.0)  # how much a walk may like a kind of step
Step = tuple[str, Callable[[], Any]]


class Model(Protocol):
    """What may happen in a world, and what must hold in it."""

    def steps(self, world: Any) -> Iterator[Step]:
        """All that may happen next, by name."""

    def judge(self, world: Any) -> str:
        """The property that this state breaks, in words; empty if none."""

    def form(self, world: Any) -> int:
        """A state's number: equal for states between which nothing that comes can tell."""

    def fits(self, world: Any) -> bool:
        """Whether the state is within the bounds."""

    def revives(self, world: Any) -> bool:
        """Whether, with no more trouble, all is well again after a while."""


@dataclass
class Found:
    """`states` visited; `trace` of steps to the first state that breaks a property, and which; `whole` if all states
    within the bounds were visited; `revived` of those tried for it."""

    states: int
    trace: list[str]
    broken: str
    whole: bool
    revived: tuple[int, int]

    def said(self, how: str, again: str) -> str:
        """For people; `again` is what a revived state has."""
        tried = (
            f"; {again} in {self.revived[0]} of {self.revived[1]} tried" if self.revived[1] else ""
        )
        head = (
            f"{how}: {self.states} states{' (all within the bounds)' if self.whole else ''}; "
            f"broken: {self.broken or 'nothing'}{tried}"
        )
        return "\n".join([head, *(f"{n:3d}  {step}" for n, step in enumerate(self.trace, 1))])


def led(model: Model, world: Any, patterns: Iterable[str]) -> Any:
    """Take, for each pattern, the first step whose name it matches; raises LookupError if there is none."""
    for pattern in patterns:
        names = list(model.steps(world))
        step = next((step for name, step in names if re.match(pattern, name)), None)
        if step is None:
            raise LookupError(f"no step {pattern!r}; there are {[name for name, _ in names]}")
        world = step()
    return world


def breadth(
    model: Model, first: Any, states: int, seconds: float = 1e9, revive_each: int = 0
) -> Found:
    """Breadth first, so that the trace is a shortest one."""
    queue, seen = deque([(first, model.form(first))]), {model.form(first): (0, "")}
    ends, tried, revived = time.monotonic() + seconds, 0, 0
    while queue:
        world, number = queue.popleft()
        if len(seen) >= states or time.monotonic() > ends:
            return Found(len(seen), [], "", False, (revived, tried))
        for name, step in model.steps(world):
            made = step()
            if not model.fits(made):
                continue
            known = model.form(made)
            if known in seen:
                continue
            seen[known] = (number, name)
            if broken := model.judge(made):
                return Found(len(seen), _trace(seen, known), broken, False, (revived, tried))
            queue.append((made, known))
            if revive_each and len(seen) % revive_each == 0:
                tried, revived = tried + 1, revived + model.revives(made)
    return Found(len(seen), [], "", True, (revived, tried))


def _trace(seen: dict[int, tuple[int, str]], number: int) -> list[str]:
    steps_back = []
    while seen[number][1]:
        number, name = seen[number][0], seen[number][1]
        steps_back.append(name)
    return steps_back[::-1]


# Walks: deeper than the breadth can reach.


def walk(
    model: Model, seed: str, length: int, first: Any, seen: set[int] | None = None
) -> tuple[list[str], str]:
    """One run of drawn steps, to its length or to a state that breaks a property: the steps and what is broken.
    Each walk draws what it likes to do (swarm verification): evenly drawn steps come back to the same few states."""
    chance, world, trace = Random(seed), first, list[str]()
    likes = dict[str, float]()
    for _ in range(length):
        choices = list(model.steps(world))
        for kind in (_kind(name) for name, _ in choices):
            likes[kind] = likes.get(kind) or chance.choice(LIKES)
        name, step = chance.choices(choices, [likes[_kind(name)] for name, _ in choices])[0]
        made = step()
        if not model.fits(made):
            continue
        world = made
        trace.append(name)
        if seen is not None:
            seen.add(model.form(world))
        if broken := model.judge(world):
            return trace, broken
    return trace, ""


def _kind(name: str) -> str:
    return re.sub(r"\d+", "", name)


def replay(model: Model, trace: list[str], first: Any) -> str:
    """What these steps break; empty if nothing, or if one of them cannot be taken."""
    world = first
    for wanted in trace:
        step = next((step for name, step in model.steps(world) if name == wanted), None)
        if step is None:
            return ""
        world = step()
        if broken := model.judge(world):
            return broken
    return ""


def shorten(model: Model, trace: list[str], first: Any) -> list[str]:
    """The trace less all steps that it does not need; none of those left can be left out."""
    n = 0
    while n < len(trace):
        shorter = trace[:n] + trace[n + 1 :]
        if replay(model, shorter, first):
            trace, n = shorter, 0
        else:
            n += 1
    return trace


def swarm(
    model: Model, first: Any, seconds: float, seed: int, length: int = 60, walks: int = 10**9
) -> Found:
    """Walks until one breaks a property; its trace is shortened."""
    seen, ends = set[int](), time.monotonic() + seconds
    for n in range(walks):
        if time.monotonic() > ends:
            break
        trace, broken = walk(model, f"{seed} {n}", length, first, seen)
        if broken:
            short = shorten(model, trace, first)
            return Found(len(seen), short, replay(model, short, first), False, (0, 0))
    return Found(len(seen), [], "", False, (0, 0))
