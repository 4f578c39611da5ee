"""A process of hollow members: each speaks the members' real protocol and discovery's, and decides
nothing.

Machine, codec, sockets, standing and the facts told each second are the project's own classes. Left
out are the decision module, tables, proxies, probes, the store and the log; the list's body is read
to its end and not parsed (the print of it that a member tells comes in a header of the stand-in
discovery's), and no proxies' evidence is told.
"""

import json
import sys
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict
from random import Random
from typing import Any

import msgspec
import trio
import xxhash

from bench.scale import part
from bench.scale.accounting import Meter
from dunlinlug.decision.events import Endpoint
from dunlinlug.discovery.blocking_query import INDEX_HEADER, MIN_QUERY_INTERVAL, BlockingQuery
from dunlinlug.fleet.membership.list_digests import BROADCAST_INTERVAL, ListDigest, ListDigests
from dunlinlug.fleet.membership.load import ManagerLoad
from dunlinlug.fleet.membership.local_member import Lifecycle, PeerState
from dunlinlug.fleet.membership.messages import ALIVE, Broadcast, MemberState, MemberStateChanged
from dunlinlug.fleet.membership.protocol import MembershipProtocol
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.net import http

# the stand-in discovery's header: how many workers, and the list's print by its parts
PRINTS = "x-prints"
WAIT, WITHIN = (
    10.0,
    3.0,
)  # seconds as the real managers of a run wait for news, and beyond that for an answer
TAKEN = (
    4096  # versions of the list remembered with their times: a run changes it some hundred times
)


class PrecomputedListDigests(ListDigests):
    """As a real manager tells its list's print, without going through the workers each second."""

    printed: tuple[int, tuple[int, ...]] | None = None

    def due_broadcast(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> Broadcast | None:
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        if self.printed is None:
            return None
        self.sequence += 1
        digest = ListDigest(self.start_epoch, self.sequence, *self.printed)
        self.digests[self.self_id] = (digest, now)
        return Broadcast(f"list/{self.self_id}", msgspec.msgpack.encode(digest))


class HollowMember:
    """One member that may be stopped and started again; `born` counts its starts."""

    def __init__(
        self,
        name: str,
        told: Mapping[str, Any],
        meter: Meter,
        watch: part.Stopwatch,
        verdicts: part.Verdicts,
    ) -> None:
        self.name, self.told, self.meter, self.watch, self.verdicts = (
            name,
            told,
            meter,
            watch,
            verdicts,
        )
        self.places: dict[str, tuple[str, int]] = {
            n: (p[0], p[1]) for n, p in told["places"].items()
        }
        self.by_place = {place: n for n, place in self.places.items()}
        self.born, self.scope = 0, trio.CancelScope()
        self.membership: Membership | None = None
        self.taken: dict[
            int, list[tuple[int, float]]
        ] = {}  # by start, versions of the list and when they came
        self.held: tuple[int, str] = (0, "")  # the list's version and its body's print
        self.beyond: frozenset[str] = frozenset()
        self.follows = name in told["followers"]
        self.first: Membership | None = (
            self._made()
        )  # before any runs: it takes long where all know each other

    def _made(self) -> Membership:
        self.born += 1
        names, beat = tuple(self.places), self.told["beat"]
        chance = Random(f"{self.told['seed']} members {self.name} {self.born}")
        made = Membership(
            self.name,
            self.born,
            self.places,
            [bytes.fromhex(self.told["key"])],
            beat,
            chance,
            self._note,
            lambda: names,
        )
        made.list_digests = PrecomputedListDigests(self.name, self.born)
        made.current_load = lambda: ManagerLoad(4, 10.0, 0.0, 0.01)
        made.on_member_change = self._changed
        made.transport.is_blocked = lambda place: self.by_place.get(place) in self.beyond
        self.opener = part.instrument(made, self.meter, self.watch)
        if self.born == 1 and self.told["joined"]:
            self._acquainted(made.protocol)
        return made

    def _acquainted(self, machine: MembershipProtocol) -> None:
        """As after a long time together: all members are known, and nothing of them is left to be
        told.
        """
        now = trio.current_time()
        for told in msgspec.msgpack.decode(self.told["acquaintance"], type=list[MemberState]):
            if told.name != self.name:
                machine.table.members[told.name] = told
                machine.peers[told.name] = PeerState(now)
        machine.table.pending_broadcasts.clear()
        machine.state = Lifecycle.ALIVE

    def _begin(self, machine: MembershipProtocol) -> None:
        """From now on, each at its own time within a beat. Danger: made some seconds ago, it would
        count that as time in which it was stopped, and distrust itself.
        """
        now = trio.current_time()
        machine.next_sync_at += now - machine.now
        machine.now = machine.next_due_at = now
        machine.next_probe_at = now + machine.rng.uniform(0.0, machine.probe_interval)
        machine.next_reconnect_at = machine.next_probe_at

    def stand_beyond(self, names: frozenset[str]) -> None:
        self.beyond = names
        if self.membership is not None:
            self.opener.beyond = names

    def _note(self, event: str, **said: Any) -> None:
        self.meter.counts[event] += 1

    def _changed(self, change: MemberStateChanged) -> None:
        self.meter.counts[f"became {change.after}"] += 1
        if change.after == "failed":
            self.verdicts.add(self.name, change.name)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until stopped. Raises OSError if its place is taken."""
        membership, self.first = self.first or self._made(), None
        self._begin(membership.protocol)
        self.membership = membership
        self.stand_beyond(self.beyond)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(membership.run)
                task_status.started()
                if self.follows:
                    nursery.start_soon(self._follow, membership)

    def stop(self, goodbye: bool) -> None:
        if self.membership is not None:
            if goodbye:
                self.membership.leave()
            self.membership = None
        self.scope.cancel()

    async def _follow(self, membership: Membership) -> None:
        """Blocking queries as a real manager makes them."""
        client = http.Client(*self.told["discovery"], max_idle_connections=1)
        state = BlockingQuery(
            "hollow", WAIT, Random(f"{self.told['seed']} {self.name} follows").uniform
        )
        while True:
            try:
                await self._look(client, state, membership)
                await trio.sleep(MIN_QUERY_INTERVAL)
            except (http.HttpError, ValueError):
                self.meter.counts["list failed"] += 1
                await trio.sleep(state.next_backoff())

    async def _look(
        self, client: http.Client, state: BlockingQuery, membership: Membership
    ) -> None:
        query = state.request_path()
        reply: http.Response | None = None
        with trio.move_on_after(WITHIN + WAIT):
            reply = await client.request("GET", query)
        if reply is None or reply.status != 200:
            raise ValueError("no list in time" if reply is None else f"status {reply.status}")
        self.meter.add("list", "out", len(query))
        self.meter.add("list", "in", len(reply.body))
        if state.record_index(reply.headers.get(INDEX_HEADER)):
            self.held = (state.index, xxhash.xxh64_hexdigest(reply.body))
            taken = self.taken.setdefault(self.born, [])
            if len(taken) < TAKEN:
                taken.append((state.index, time.monotonic()))
            found = json.loads(reply.headers[PRINTS])
            lists = membership.list_digests
            assert isinstance(lists, PrecomputedListDigests)
            lists.printed = (found[0], tuple(found[1]))


class Crowd:
    """The members of this process, and what is done to them."""

    def __init__(self, told: Mapping[str, Any], nursery: trio.Nursery) -> None:
        self.meter, self.watch, self.verdicts = Meter(), part.Stopwatch(), part.Verdicts()
        self.nursery = nursery
        known = [
            MemberState(
                name, (1, 0), ALIVE, (told["places"][name][0], told["places"][name][1]), name
            )
            for name in told["known"]
        ]
        told = {**told, "acquaintance": msgspec.msgpack.encode(known)}
        self.members = {
            name: HollowMember(name, told, self.meter, self.watch, self.verdicts)
            for name in told["names"]
        }

    async def obey(self, command: part.Command) -> dict[str, Any]:
        mine = [self.members[name] for name in command.get("names", ()) if name in self.members]
        match command["do"]:
            case "up":
                for member in mine:
                    if member.membership is None:
                        await self.nursery.start(member.run)
            case "down" | "leave":
                for member in mine:
                    member.stop(goodbye=command["do"] == "leave")
            case "cut" | "heal":
                behind = frozenset(command["names"])
                for name, member in self.members.items():
                    other = {n for n in member.places if (n in behind) != (name in behind)}
                    member.stand_beyond(frozenset(other) if command["do"] == "cut" else frozenset())
            case "report":
                return self._report()
            case "final":
                followers = [member for member in self.members.values() if member.follows]
                return {
                    "did": "final",
                    "taken": {m.name: m.taken for m in followers},
                    "held": {m.name: m.held for m in followers if m.membership is not None},
                }
        return {"did": command["do"]}

    def _report(self) -> dict[str, Any]:
        views, queues = Counter[str](), Counter[str]()
        up = 0
        for member in self.members.values():
            if member.membership is None:
                continue
            said, up = part.member_said(member.membership), up + 1
            views[f"{said['digest']} {said['living']} {said['state']}"] += 1
            queues["gossip"] = max(queues["gossip"], said["waiting"])
            queues["streams"] = max(
                queues["streams"], *member.membership.transport.open_streams().values()
            )
            for why in part.AT_THE_DOOR:
                queues[f"refused {why}"] = max(
                    queues[f"refused {why}"], member.membership.transport.rejections[why]
                )
        reading = part.own_reading(self.meter, self.watch.spent)
        return {
            "did": "report",
            "at": time.monotonic(),
            "reading": asdict(reading),
            "members": up,
            "views": dict(views),
            "queues": dict(queues),
            "verdicts": self.verdicts.taken(),
            "dropped": self.verdicts.dropped,
        }


async def main(told: Mapping[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        crowd = Crowd(told, nursery)
        try:
            part.say(did="ready")
            await part.commands(crowd.obey)
        except* OSError as faults:
            part.say(did="failed", why=f"a place of hollow members is taken: {part.first(faults)}")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    given = json.loads(sys.stdin.readline())
    trio.run(main, given, clock=part.Slowed(given["clock"]))
