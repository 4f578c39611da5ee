"""An explicit-state search over the very machine: three members, two pieces of work, two carriers.

    python -m dunlinlug.fleet.owner.search [--states 1000000] [--seconds 600] [--walkers 4]

It begins with a steward, both pieces dealt, and clocks that go as far apart as the drift allows: the first fast, the
second slow. Steps: time passes; a member acts on its time; an owner decides an effect, and lets it leave, after a
second look; a message or an effect arrives, arrives and stays to arrive again, or is lost; a member restarts with what
its disk holds, or with none. A frozen member is one that takes no step while time passes: its decision waits, and
messages to it are late.

Checked in each state: no two members may act for one piece; no carrier does an effect under a lower number, a number of
another owner's, or out of order. From each so-manieth state each piece is owned again once a majority can talk.
"""

import argparse
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from math import inf
from typing import Any

import msgpack
import xxhash

from dunlinlug.fleet.owner.fence import Fence, Mark
from dunlinlug.fleet.owner.machine import Machine
from dunlinlug.fleet.owner.words import Effect, Granted, Outcome
from dunlinlug.fleet.search import Found, Step, breadth, led, swarm
from dunlinlug.fleet.succession import words
from dunlinlug.fleet.succession.search import MEMBERS, changed, machine_form, no_chance, relative

LEASE, BEAT, DRIFT = 15, 5, 0.2  # units of a true clock ...
UNITS = (
    6,
    4,
    5,
)  # ... of which each member's clock counts so many in a tick: as far apart as the drift allows
PAST = -20  # units from which on a time is past for every purpose: more than a lease on any clock
SLOTS, CARRIERS = 2, ("x", "y")
PIECES = {0: "p", 1: "q"}  # pieces are their slots here
SOON = 8  # ticks within which work is to be owned again, for the search to be done with a state


@dataclass(frozen=True)
class Bounds:
    """How much may happen in one run: highest term, messages on their way, effects, and strikes of each trouble."""

    terms: int = 2
    flying: int = 3
    effects: int = 2
    lost: int = 1
    doubled: int = 1
    restarts: int = 1
    wiped: int = 0


@dataclass(frozen=True)
class World:
    """All of a state. Machines are never changed in place: each step works on a clone of one."""

    now: int
    machines: tuple[Machine, ...]
    disks: tuple[words.Keep, ...]
    lives: tuple[int, ...]
    decided: tuple[tuple[int, int] | None, ...]  # by member: slot and number, waiting to leave
    counts: tuple[int, ...]
    flying: tuple[tuple[str, Any], ...]
    fences: tuple[tuple[tuple[int, Mark], ...], ...]
    left: Bounds
    broken: str = ""


def _clock(world: World, n: int) -> int:
    return world.now * UNITS[n]


def _begun(make: Callable[..., Machine], n: int, kept: words.Keep, now: int, life: int) -> Machine:
    return make(MEMBERS[n], kept, now, LEASE, BEAT, DRIFT, 10**6, no_chance, life, SLOTS)


def start(make: Callable[..., Machine], bounds: Bounds) -> World:
    """A steward that both others follow, and all work dealt and held."""
    kept = words.Keep(0, "", words.Roll(1, MEMBERS))
    machines = tuple(_begun(make, n, kept, 0, 1) for n in range(3))
    world = World(0, machines, (kept,) * 3, (1,) * 3, (None,) * 3, (0,) * 3, (), ((),) * 2, bounds)
    world = _settled(replace(world, now=LEASE // BEAT), (0,))
    for _ in range(4 * LEASE):
        world = _settled(replace(world, now=world.now + 1), (0, 1, 2))
        if all(_owners(world, slot) for slot in range(SLOTS)):
            return world
    raise RuntimeError("no steward, or nothing is dealt")


def _settled(world: World, acting: tuple[int, ...]) -> World:
    """These members act on their time, and all messages arrive, in order."""
    for n in acting:
        machine = world.machines[n].clone()
        if machine.next_at() <= _clock(world, n):
            world = obey(world, n, machine, machine.tick(_clock(world, n)))
        for _ in range(80):
            if not world.flying:
                break
            to, message = world.flying[0]
            world = _arrived(replace(world, flying=world.flying[1:]), to, message, True)
    return world


def _owners(world: World, slot: int) -> list[str]:
    return [m.me for n, m in enumerate(world.machines) if m.may(_clock(world, n), slot) is not None]


def obey(world: World, n: int, machine: Machine, orders: list[object]) -> World:
    disk, flying, todo = world.disks[n], list(world.flying), deque(orders)
    while todo:
        match todo.popleft():
            case words.Send(to, message):
                if (to, message) not in flying:
                    flying.append((to, message))
            case words.Keep() as kept:
                disk = kept
    asked = [
        slot
        for slot in machine.book.closing
        if machine.book.owners[slot] == machine.me and slot not in machine.given
    ]
    made = replace(
        world,
        machines=changed(world.machines, n, machine),
        disks=changed(world.disks, n, disk),
        flying=tuple(flying),
    )
    return obey(made, n, machine, machine.give_up(_clock(world, n), asked)) if asked else made


# Steps.


@dataclass(frozen=True)
class Model:
    """Without `fenced` or `looks`: what comes of carriers without a fence, and of owners that do not look again."""

    fenced: bool = True
    looks: bool = True

    def steps(self, world: World) -> Iterator[Step]:
        left = world.left
        yield "time passes", lambda: replace(world, now=world.now + 1)
        for n, me in enumerate(MEMBERS):
            machine, now = world.machines[n], _clock(world, n)
            if machine.next_at() <= now and (machine.log.leading or machine.log.term < left.terms):
                yield f"{me} acts on its time", partial(_acted, world, n)
            if left.restarts:
                yield f"{me} restarts", partial(_restarted, world, n, False)
            if left.wiped:
                yield f"{me} restarts with an empty disk", partial(_restarted, world, n, True)
            decided = world.decided[n]
            for slot in range(SLOTS) if left.effects and decided is None else ():
                if (number := machine.may(now, slot)) is not None:
                    yield (
                        f"{me} decides for {PIECES[slot]}",
                        partial(_decided, world, n, (slot, number)),
                    )
            if decided is not None and (
                not self.looks or machine.may(now, decided[0]) == decided[1]
            ):
                for carrier in CARRIERS:
                    yield (
                        f"{me}'s effect for {PIECES[decided[0]]} leaves for {carrier}",
                        partial(_left, world, n, decided, carrier),
                    )
        yield from self._arrivals(world)

    def _arrivals(self, world: World) -> Iterator[Step]:
        left = world.left
        for n, (to, message) in enumerate(world.flying):
            rest = replace(world, flying=(*world.flying[:n], *world.flying[n + 1 :]))
            name = _name(to, message)
            yield f"{name} arrives", partial(_arrived, rest, to, message, self.fenced)
            if left.doubled:
                again = replace(world, left=replace(left, doubled=left.doubled - 1))
                yield (
                    f"{name} arrives, and will again",
                    partial(_arrived, again, to, message, self.fenced),
                )
            if left.lost:
                yield (
                    f"{name} is lost",
                    partial(replace, rest, left=replace(left, lost=left.lost - 1)),
                )

    def judge(self, world: World) -> str:
        if world.broken:
            return world.broken
        for slot in range(SLOTS):
            owners = _owners(world, slot)
            if len(owners) > 1:
                return f"{' and '.join(owners)} may act for {PIECES[slot]} at one time"
        return ""

    def form(self, world: World) -> int:
        return form(world)

    def fits(self, world: World) -> bool:
        return len(world.flying) <= world.left.flying

    def revives(self, world: World) -> bool:
        world = replace(
            world, left=replace(world.left, terms=99, restarts=0, doubled=0, lost=0, wiped=0)
        )
        for _ in range(SOON * LEASE):
            world = _settled(world, (0, 1, 2))
            if all(_owners(world, slot) for slot in range(SLOTS)):
                return not self.judge(world)
            world = replace(world, now=world.now + 1)
        return False


def _acted(world: World, n: int) -> World:
    machine = world.machines[n].clone()
    return obey(world, n, machine, machine.tick(_clock(world, n)))


def _restarted(world: World, n: int, wiped: bool) -> World:
    kept = words.Keep(0, "", words.Roll(1, MEMBERS)) if wiped else world.disks[n]
    left, life = world.left, world.lives[n] + 1
    left = (
        replace(left, wiped=left.wiped - 1) if wiped else replace(left, restarts=left.restarts - 1)
    )
    again = _begun(type(world.machines[n]), n, kept, _clock(world, n), life)
    return replace(
        world,
        machines=changed(world.machines, n, again),
        disks=changed(world.disks, n, kept),
        lives=changed(world.lives, n, life),
        decided=changed(world.decided, n, None),
        counts=changed(world.counts, n, 0),
        left=left,
    )


def _decided(world: World, n: int, what: tuple[int, int]) -> World:
    return replace(
        world,
        decided=changed(world.decided, n, what),
        left=replace(world.left, effects=world.left.effects - 1),
    )


def _left(world: World, n: int, decided: tuple[int, int], carrier: str) -> World:
    count = world.counts[n] + 1
    effect = Effect(0, MEMBERS[n], PIECES[decided[0]], decided[1], count, b"")
    return replace(
        world,
        decided=changed(world.decided, n, None),
        counts=changed(world.counts, n, count),
        flying=(*world.flying, (carrier, effect)),
    )


def _arrived(world: World, to: str, message: Any, fenced: bool) -> World:
    if to in CARRIERS:
        return _at_carrier(world, CARRIERS.index(to), message, fenced)
    at = MEMBERS.index(to)
    machine, now = world.machines[at].clone(), _clock(world, at)
    if isinstance(message, Outcome):
        slot = next(slot for slot, piece in PIECES.items() if piece == message.piece)
        return obey(world, at, machine, machine.refused(now, slot, message.seen))
    return obey(world, at, machine, machine.hear(now, message))


def _at_carrier(world: World, n: int, effect: Effect, fenced: bool) -> World:
    slot = next(slot for slot, piece in PIECES.items() if piece == effect.piece)
    fence = Fence()
    fence.marks = dict(world.fences[n])
    before = fence.seen(slot)
    why = fence.admits(slot, effect.number, effect.sender, effect.count)
    if why and fenced:
        told = Outcome(
            0,
            CARRIERS[n],
            effect.piece,
            effect.number,
            effect.count,
            False,
            before.number,
            before.owner,
        )
        return (
            world
            if why == "it came before"
            else replace(world, flying=(*world.flying, (effect.sender, told)))
        )
    broken = f"{CARRIERS[n]} does {effect.sender}'s effect, though {why}" if why else ""
    return replace(
        world, fences=changed(world.fences, n, tuple(sorted(fence.marks.items()))), broken=broken
    )


def _name(to: str, message: Any) -> str:
    if isinstance(message, Effect):
        return f"{message.sender}'s effect {message.count} for {message.piece} under {message.number:#x} at {to}"
    # A trace is gone through again by its names, so they tell apart what differs.
    more = {
        key: len(value) if key in ("entries", "body") else value
        for key, value in vars(message).items()
        if key not in ("sender", "term", "roll")
    }
    said = " ".join(f"{key}={value}" for key, value in more.items())
    return f"{message.sender}'s {type(message).__name__} of term {message.term} for {to} ({said})"


# What a state is known by.


def _owner_form(m: Machine, now: int) -> tuple[Any, ...]:
    def rel(value: float) -> int:
        return relative(min(value, now + 100), now, PAST) if value != -inf else PAST

    pending = (
        (
            m.pending.term,
            rel(m.pending.sent),
            m.pending.left,
            m.pending.upto,
            m.pending.committed,
            m.pending.born,
        )
        if m.pending
        else ()
    )
    as_steward = (
        (
            sorted((k, rel(v)) for k, v in m.until.items()),
            sorted((k, rel(s), rel(h)) for k, (s, h) in m.sent.items()),
            sorted(m.lives.items()),
            rel(m.began),
            rel(m.look_at),
            sorted(
                (k, min(now - v, int(m.steady.wait[k] * LEASE)), m.steady.wait[k])
                for k, v in m.steady.since.items()
            ),
        )
        if m.log.leading
        else ()
    )
    return (
        machine_form(m.log, now, PAST),
        m.book.owners,
        m.book.numbers,
        sorted(m.book.closing.items()),
        sorted(m.book.lives.items()),
        rel(m.leased_until),
        m.leased_term,
        m.sure,
        rel(m.renew_at),
        m.steward,
        sorted(m.given.items()),
        sorted(m.behind.items()),
        pending,
        as_steward,
    )


def _flight_form(world: World, to: str, message: Any) -> tuple[Any, ...]:
    values = vars(message).copy()
    if "sent" in values:
        clock = to if isinstance(message, words.Heard | Granted) else message.sender
        values["sent"] = relative(message.sent, _clock(world, MEMBERS.index(clock)), PAST)
    values.pop("roll", None)
    return (to, type(message).__name__, *values.values())


def form(world: World) -> int:
    plain = (
        [_owner_form(m, _clock(world, n)) for n, m in enumerate(world.machines)],
        world.lives,
        world.decided,
        world.counts,
        sorted(repr(_flight_form(world, *flight)) for flight in world.flying),
        [[(slot, *vars(mark).values()) for slot, mark in fence] for fence in world.fences],
        [tuple(vars(d).values())[:2] for d in world.disks],
        tuple(vars(world.left).values()),
    )
    number: int = xxhash.xxh3_128_intdigest(msgpack.packb(plain))
    return number


def search(
    states: int,
    seconds: float = 1e9,
    make: Callable[..., Machine] = Machine,
    bounds: Bounds | None = None,
    model: Model | None = None,
    revive_each: int = 0,
    prefix: Iterable[str] = (),
) -> Found:
    """Breadth first, from where `prefix` leads."""
    model = model or Model()
    return breadth(
        model, led(model, start(make, bounds or Bounds()), prefix), states, seconds, revive_each
    )


def walks(
    seconds: float,
    seed: int,
    make: Callable[..., Machine] = Machine,
    bounds: Bounds | None = None,
    model: Model | None = None,
    length: int = 80,
    number: int = 10**9,
) -> Found:
    return swarm(model or Model(), start(make, bounds or DEEP), seconds, seed, length, number)


DEEP = Bounds(terms=4, flying=8, effects=6, lost=4, doubled=2, restarts=2, wiped=0)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument(
        "--seconds", type=float, default=600, help="for the breadth, and for each of the walks"
    )
    parser.add_argument(
        "--walkers", type=int, default=4, help="processes that walk, with seeds of their own"
    )
    given = parser.parse_args()
    with ProcessPoolExecutor(given.walkers + 1) as pool:
        wide = pool.submit(search, given.states, given.seconds, revive_each=997)
        deep = {seed: pool.submit(walks, given.seconds, seed) for seed in range(given.walkers)}
        for seed, found in deep.items():
            print(found.result().said(f"walks of seed {seed}", ""), flush=True)
        print(wide.result().said("breadth first", "all owned again"), flush=True)


if __name__ == "__main__":
    main()
