"""An explicit-state search over the very machine: three managers, two proxies, messages late, doubled, lost, any order.

    python -m dunlinlug.fleet.succession.search [--states 1000000] [--seconds 600] [--walkers 4]

A state is all machines, what is on its way, clocks and proxies; it is known by a 128-bit xxhash of its canonical form,
in which times count from the present. It begins with a master that both others follow. Steps: time passes; a clock
misses a tick; a member acts on its time; a message arrives, arrives and stays to arrive again, or is lost; a member
restarts with what it had on disk; the roster tells the master of a drain; the master lets a try in, or hands over; an
order to a proxy leaves once it may. A member that is frozen is one that takes no step while time passes; what it had
decided and not written is a message that is late.

Checked in each state: one master a term; no two members that may order at one time; no proxy that goes back to a lower
term or obeys two in one; a drain that a proxy was told is known to each later master that may order; one allowance of
the try at most takes effect. Bounds: terms, messages on their way, and how often each trouble strikes.
"""

import argparse
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from math import ceil
from typing import Any

import msgpack
import xxhash

from dunlinlug.fleet.search import Found, Step, breadth, led
from dunlinlug.fleet.search import swarm as swarmed
from dunlinlug.fleet.succession import words
from dunlinlug.fleet.succession.machine import Machine
from dunlinlug.xds.fence import Fence

LEASE, BEAT, DRIFT = (
    3,
    1,
    0.2,
)  # ticks; the drift lets a clock miss one tick in a lease: own leases are two ticks
MEMBERS = ("a", "b", "c")
PAST = -5  # ticks from which on a time is past for every purpose: more than a lease
DRAIN, TRY, BEGIN = b"drain", b"try", b"begin"


@dataclass(frozen=True)
class Bounds:
    """How much may happen in one run: highest term, messages on their way, and strikes of each trouble."""

    terms: int = 3
    flying: int = 3
    lost: int = 1
    doubled: int = 1
    missed: int = 1
    restarts: int = 1
    passes: int = 1
    entries: tuple[bytes, ...] = (DRAIN, TRY)


@dataclass(frozen=True)
class Toward:
    """An order on its way to a proxy."""

    proxy: int
    term: int
    sender: str
    what: bytes


@dataclass(frozen=True)
class World:
    """All of a state. Machines are never changed in place: each step works on a clone of one."""

    now: int
    clocks: tuple[int, ...]  # ticks missed by each member
    machines: tuple[Machine, ...]
    disks: tuple[words.Keep, ...]
    logs: tuple[tuple[bytes, ...], ...]
    due: tuple[
        frozenset[tuple[bytes, int]], ...
    ]  # by member: what it may tell once its entry is committed
    flying: tuple[Any, ...]  # (receiver, message) and Toward, in order of their canonical form
    fences: tuple[tuple[int, str], ...]
    drained: tuple[bool, ...]
    tried: int
    masters: tuple[tuple[int, str], ...]  # who has led which term
    left: Bounds
    broken: str = ""


def no_chance(low: float, high: float) -> float:
    """Whether a member acts at once or later is the search's to choose."""
    return int(low)


def start(make: Callable[..., Machine], bounds: Bounds) -> World:
    kept = words.Keep(0, "", words.Roll(1, MEMBERS))
    machines = tuple(make(m, kept, 0, LEASE, BEAT, DRIFT, 10**6, no_chance) for m in MEMBERS)
    world = World(
        0,
        (0, 0, 0),
        machines,
        (kept,) * 3,
        ((),) * 3,
        (frozenset(),) * 3,
        (),
        ((0, ""),) * 2,
        (False,) * 2,
        0,
        (),
        bounds,
    )
    world = _settled(replace(world, now=LEASE), (0,))
    while (
        len({m.position for m in world.machines}) > 1
        or world.machines[0].committed == words.NOWHERE
    ):
        world = _settled(replace(world, now=world.now + 1), (0,))
    return world


def _settled(world: World, acting: tuple[int, ...]) -> World:
    """These members act on their time, and all messages arrive, in order."""
    for n in acting:
        machine = fork(world.machines[n])
        if machine.next_at() <= _clock(world, n):
            world = obey(world, n, machine, machine.tick(_clock(world, n)))
        for _ in range(40):
            if not world.flying:
                break
            world = next(_arrivals(world, True))[1]()
    return world


def fork(machine: Machine) -> Machine:
    made = machine.clone()
    made.__dict__.pop("form", None)
    return made


def relative(value: float, now: int, past: int = PAST) -> int:
    return max(ceil(value) - now, past)  # what is due between two ticks is due at the later


def machine_form(m: Machine, now: int, past: int = PAST) -> tuple[Any, ...]:
    kept: tuple[int, tuple[Any, ...]] | None = m.__dict__.get("form")
    if kept is not None and kept[0] == now:
        return kept[1]
    rel = partial(relative, now=now, past=past)
    made = (
        m.term,
        m.voted,
        m.roll.version,
        m.position,
        m.committed,
        rel(m.promised),
        rel(m.stand_at),
        m.master,
        m.leading,
        m.asking,
        sorted((k, a.granted, a.blank) for k, a in m.answers.items()),
        sorted((k, rel(v)) for k, v in m.acks.items()),
        sorted(m.places.items()),
        sorted((k, rel(v)) for k, v in m.wholes.items()),
        rel(m.beat_at) if m.leading else 0,
        list(m.recent),
        rel(m.master_since) if m.leading else 0,
    )
    m.__dict__["form"] = (now, made)
    return made


def _flight_form(world: World, flight: Any) -> tuple[Any, ...]:
    if isinstance(flight, Toward):
        return ("~", flight.proxy, flight.term, flight.sender, flight.what)
    to, message = flight
    values = vars(message).copy()
    if "sent" in values:
        values["sent"] = relative(
            message.sent, _clock(world, MEMBERS.index(_clock_of(to, message)))
        )
    values.pop("roll", None)
    return (to, type(message).__name__, *values.values())


def _clock_of(to: str, message: words.Message) -> str:
    return to if isinstance(message, words.Heard) else message.sender


def _clock(world: World, n: int) -> int:
    return world.now - world.clocks[n]


def form(world: World) -> int:
    """A state's number: equal for states between which nothing that comes can tell."""
    flying = sorted(map(repr, (_flight_form(world, f) for f in world.flying)))
    plain = (
        [machine_form(m, _clock(world, n)) for n, m in enumerate(world.machines)],
        world.logs,
        [sorted(d) for d in world.due],
        flying,
        world.fences,
        world.drained,
        world.tried,
        world.masters,
        [tuple(vars(d).values())[:2] for d in world.disks],
        tuple(vars(world.left).values()),
    )
    number: int = xxhash.xxh3_128_intdigest(msgpack.packb(plain))
    return number


# Steps.


def changed(parts: tuple[Any, ...], n: int, value: Any) -> tuple[Any, ...]:
    return (*parts[:n], value, *parts[n + 1 :])


def obey(world: World, n: int, machine: Machine, orders: list[words.Order]) -> World:
    """A member's orders carried out."""
    now, log, due, disk = _clock(world, n), world.logs[n], world.due[n], world.disks[n]
    flying, masters = list(world.flying), world.masters
    todo = deque(orders)
    while todo:
        order = todo.popleft()
        match order:
            case words.Send(to, message):
                if (to, message) not in flying:
                    flying.append((to, message))
            case words.Keep():
                disk = order
            case words.Lead(term):
                masters = (*masters, (term, machine.me))
                todo.extend(machine.append(now, BEGIN))
                # What it knows it tells again, once its own beginning is with a majority.
                due = frozenset({(DRAIN, machine.position[1])} if DRAIN in log else ())
                log = (*log, BEGIN)
            case words.Yield():
                due = frozenset()
            case words.Apply(entry, _):
                log = (*log, entry)
            case words.Restore(body, _):
                log = tuple(msgpack.unpackb(body))
            case words.WholeFor(to):
                todo.extend(machine.whole(now, to, msgpack.packb(log)))
    return replace(
        world,
        machines=changed(world.machines, n, machine),
        logs=changed(world.logs, n, log),
        due=changed(world.due, n, due),
        disks=changed(world.disks, n, disk),
        flying=tuple(flying),
        masters=masters,
    )


def steps(world: World, commits: bool, fenced: bool) -> Iterator[Step]:
    """All that may happen next, by name. `commits` and `fenced` are false to see what comes of a host that does not
    wait for commits, and of proxies without a fence."""
    left = world.left
    yield "time passes", lambda: replace(world, now=world.now + 1)
    for n, me in enumerate(MEMBERS):
        machine, now = world.machines[n], _clock(world, n)
        if left.missed:
            yield f"time passes, and {me}'s clock misses it", partial(_missed, world, n)
        if machine.next_at() <= now and (machine.leading or machine.term < left.terms):
            yield f"{me} acts on its time", partial(_acted, world, n)
        if left.restarts:
            yield f"{me} restarts", partial(_restarted, world, n)
        if machine.may_order(now):
            yield from _as_master(world, n, commits)
    yield from _arrivals(world, fenced)


def _missed(world: World, n: int) -> World:
    return replace(
        world,
        now=world.now + 1,
        clocks=changed(world.clocks, n, world.clocks[n] + 1),
        left=replace(world.left, missed=world.left.missed - 1),
    )


def _acted(world: World, n: int) -> World:
    machine = fork(world.machines[n])
    return obey(world, n, machine, machine.tick(_clock(world, n)))


def _restarted(world: World, n: int) -> World:
    again = type(world.machines[n])(
        MEMBERS[n], world.disks[n], _clock(world, n), LEASE, BEAT, DRIFT, 10**6, no_chance
    )
    return replace(
        world,
        machines=changed(world.machines, n, again),
        logs=changed(world.logs, n, ()),
        due=changed(world.due, n, frozenset()),
        left=replace(world.left, restarts=world.left.restarts - 1),
    )


def _as_master(world: World, n: int, commits: bool) -> Iterator[Step]:
    machine, me = world.machines[n], MEMBERS[n]
    for entry in world.left.entries:
        if entry not in world.logs[n]:
            yield f"{me} is told of the {entry.decode()}", partial(_told, world, n, entry)
    for due in sorted(world.due[n]):
        if not commits or machine.committed[1] >= due[1]:
            for proxy in (0, 1) if due[0] == DRAIN else (0,):
                yield (
                    f"{me} orders proxy {proxy}: {due[0].decode()}",
                    partial(_ordered, world, n, proxy, due),
                )
    if world.left.passes and machine.term < world.left.terms:
        for to in MEMBERS:
            if machine.places.get(to) == machine.position:
                yield f"{me} hands over to {to}", partial(_passed, world, n, to)


def _told(world: World, n: int, entry: bytes) -> World:
    machine = fork(world.machines[n])
    made = obey(world, n, machine, machine.append(_clock(world, n), entry))
    return replace(
        made,
        logs=changed(made.logs, n, (*made.logs[n], entry)),
        due=changed(made.due, n, made.due[n] | {(entry, machine.position[1])}),
    )


def _ordered(world: World, n: int, proxy: int, due: tuple[bytes, int]) -> World:
    order = Toward(proxy, world.machines[n].term, MEMBERS[n], due[0])
    return replace(
        world, flying=(*world.flying, order), due=changed(world.due, n, world.due[n] - {due})
    )


def _passed(world: World, n: int, to: str) -> World:
    machine = fork(world.machines[n])
    made = obey(world, n, machine, machine.pass_on(_clock(world, n), to))
    return replace(made, left=replace(made.left, passes=made.left.passes - 1))


def _arrivals(world: World, fenced: bool) -> Iterator[Step]:
    left = world.left
    for n, flight in enumerate(world.flying):
        rest = replace(world, flying=(*world.flying[:n], *world.flying[n + 1 :]))
        name = _name(flight)
        yield f"{name} arrives", partial(_arrived, rest, flight, fenced)
        if left.doubled and not (
            isinstance(flight, Toward) and flight.what == TRY
        ):  # a stream does not double
            yield (
                f"{name} arrives, and will again",
                partial(
                    _arrived,
                    replace(world, left=replace(left, doubled=left.doubled - 1)),
                    flight,
                    fenced,
                ),
            )
        if left.lost:
            yield f"{name} is lost", partial(replace, rest, left=replace(left, lost=left.lost - 1))


def _arrived(world: World, flight: Any, fenced: bool) -> World:
    if isinstance(flight, Toward):
        return _at_proxy(world, flight, fenced)
    at = MEMBERS.index(flight[0])
    machine = fork(world.machines[at])
    return obey(world, at, machine, machine.hear(_clock(world, at), flight[1]))


def _name(flight: Any) -> str:
    if isinstance(flight, Toward):
        return f"{flight.sender}'s order of term {flight.term} ({flight.what.decode()}) for proxy {flight.proxy}"
    to, message = flight
    sent = f", sent at {message.sent:g}," if hasattr(message, "sent") else ""
    probe = " (probe)" if getattr(message, "probe", False) else ""
    return (
        f"{message.sender}'s {type(message).__name__}{probe} of term {message.term}{sent} for {to}"
    )


def _at_proxy(world: World, order: Toward, fenced: bool) -> World:
    fence = Fence()
    fence.term, fence.member = before = world.fences[order.proxy]
    if fence.admits(order.term, order.sender) and fenced:
        return world
    broken = ""
    if order.term < before[0] or order.term == before[0] and before[1] != order.sender:
        broken = f"proxy {order.proxy} obeys {order.sender} of term {order.term} after {before[1]} of term {before[0]}"
    return replace(
        world,
        fences=changed(world.fences, order.proxy, (order.term, order.sender)),
        drained=changed(
            world.drained, order.proxy, world.drained[order.proxy] or order.what == DRAIN
        ),
        tried=world.tried + (order.what == TRY),
        broken=broken,
    )


# What must hold.


def judge(world: World) -> str:
    """The property that this state breaks, in words; empty if none."""
    if world.broken:
        return world.broken
    terms = [term for term, _ in world.masters]
    if len(set(terms)) < len(terms):
        return f"two masters of one term: {world.masters}"
    ordering = [n for n, m in enumerate(world.machines) if m.may_order(_clock(world, n))]
    if len(ordering) > 1:
        return f"{' and '.join(MEMBERS[n] for n in ordering)} may order at one time"
    if any(world.drained) and any(DRAIN not in world.logs[n] for n in ordering):
        return (
            f"{MEMBERS[ordering[0]]} may order and does not know of the drain that a proxy was told"
        )
    if world.tried > 1:
        return "the try was allowed twice"
    return ""


def revives(world: World) -> bool:
    """Whether, with no more trouble, somebody becomes master: all messages arrive and everybody acts on its time."""
    world = replace(
        world, left=replace(world.left, terms=99, missed=0, restarts=0, doubled=0, lost=0, passes=0)
    )
    for _ in range(12 * LEASE):
        world = _settled(world, (0, 1, 2))
        if any(m.may_order(_clock(world, n)) for n, m in enumerate(world.machines)):
            return True
        world = replace(world, now=world.now + 1)
    return False


class Model:
    """This model for the search; `commits` and `fenced` are false to see what comes of a host that does not wait for
    commits, and of proxies without a fence."""

    def __init__(self, commits: bool = True, fenced: bool = True) -> None:
        self.commits, self.fenced = commits, fenced

    def steps(self, world: World) -> Iterator[Step]:
        return steps(world, self.commits, self.fenced)

    def judge(self, world: World) -> str:
        return judge(world)

    def form(self, world: World) -> int:
        return form(world)

    def fits(self, world: World) -> bool:
        return len(world.flying) <= world.left.flying

    def revives(self, world: World) -> bool:
        return revives(world)


def search(
    states: int,
    seconds: float = 1e9,
    make: Callable[..., Machine] = Machine,
    bounds: Bounds | None = None,
    commits: bool = True,
    fenced: bool = True,
    revive_each: int = 0,
    prefix: Iterable[str] = (),
) -> Found:
    """Breadth first, so that the trace is a shortest one (from where `prefix` leads, if it does)."""
    model = Model(commits, fenced)
    return breadth(
        model, led(model, start(make, bounds or Bounds()), prefix), states, seconds, revive_each
    )


def swarm(
    seconds: float,
    seed: int,
    make: Callable[..., Machine] = Machine,
    bounds: Bounds | None = None,
    length: int = 60,
    walks: int = 10**9,
) -> Found:
    """Walks until one breaks a property; its trace is shortened."""
    return swarmed(Model(), start(make, bounds or Bounds(flying=6)), seconds, seed, length, walks)


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
        walks = {
            seed: pool.submit(swarm, given.seconds, seed, bounds=Bounds(flying=8, lost=3, terms=4))
            for seed in range(given.walkers)
        }
        for seed, found in walks.items():
            print(found.result().said(f"walks of seed {seed}", ""), flush=True)
        print(wide.result().said("breadth first", "a master again"), flush=True)


if __name__ == "__main__":
    main()
