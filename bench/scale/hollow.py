"""A process of hollow members, which speak the real protocols but make no decisions.

Protocol, codec, sockets, partition checks and the broadcasts of each second are the project's own
classes. Left out are the decision module, tables, proxies, probes, the store and the log. The body
of the endpoint list is read but not parsed: the digest that a member broadcasts comes in a header
of the simulated discovery. Observations of proxies are not broadcast.
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

# Header of the simulated discovery: number of workers, and the fingerprints of the list's buckets.
LIST_DIGEST_HEADER = "x-prints"
# Wait of a blocking query, as for the real managers, and the additional time for the answer.
QUERY_WAIT_SECONDS, ANSWER_MARGIN_SECONDS = (
    10.0,
    3.0,
)
# Received versions of the list that are recorded: a run has some hundred changes.
MAX_RECORDED_VERSIONS = 4096


class PrecomputedListDigests(ListDigests):
    """Broadcasts the list digest as a real manager does, without computing it each second."""

    digest_values: tuple[int, tuple[int, ...]] | None = None

    def due_broadcast(
        self, now: float, listed_workers: Mapping[str, Endpoint] | None
    ) -> Broadcast | None:
        """Return the broadcast of the list digest if it is due."""
        if now < self.next_broadcast_at:
            return None
        self.next_broadcast_at = now + BROADCAST_INTERVAL
        if self.digest_values is None:
            return None
        self.sequence += 1
        digest = ListDigest(self.start_epoch, self.sequence, *self.digest_values)
        self.digests[self.self_id] = (digest, now)
        return Broadcast(f"list/{self.self_id}", msgspec.msgpack.encode(digest))


class HollowMember:
    """One member, which can be stopped and started again."""

    def __init__(
        self,
        name: str,
        settings: Mapping[str, Any],
        meter: Meter,
        watch: part.Stopwatch,
        verdicts: part.Verdicts,
    ) -> None:
        self.name, self.settings, self.meter, self.watch, self.verdicts = (
            name,
            settings,
            meter,
            watch,
            verdicts,
        )
        self.addresses: dict[str, tuple[str, int]] = {
            member: (address[0], address[1]) for member, address in settings["places"].items()
        }
        self.name_by_address = {address: member for member, address in self.addresses.items()}
        self.start_count, self.scope = 0, trio.CancelScope()
        self.membership: Membership | None = None
        # By start number, the received versions of the list and when they arrived.
        self.received_versions: dict[int, list[tuple[int, float]]] = {}
        self.current_list: tuple[int, str] = (0, "")  # version and hash of the body
        self.partitioned_members: frozenset[str] = frozenset()
        self.follows = name in settings["followers"]
        # Created before any member runs: with full knowledge of the others it takes long.
        self.prepared: Membership | None = self._create_membership()

    def _create_membership(self) -> Membership:
        self.start_count += 1
        names, beat = tuple(self.addresses), self.settings["beat"]
        rng = Random(f"{self.settings['seed']} members {self.name} {self.start_count}")
        membership = Membership(
            self.name,
            self.start_count,
            self.addresses,
            [bytes.fromhex(self.settings["key"])],
            beat,
            rng,
            self._count_event,
            lambda: names,
        )
        membership.list_digests = PrecomputedListDigests(self.name, self.start_count)
        membership.current_load = lambda: ManagerLoad(4, 10.0, 0.0, 0.01)
        membership.on_member_change = self._on_member_change
        membership.transport.is_blocked = lambda address: (
            self.name_by_address.get(address) in self.partitioned_members
        )
        self.opener = part.instrument(membership, self.meter, self.watch)
        if self.start_count == 1 and self.settings["joined"]:
            self._set_all_known(membership.protocol)
        return membership

    def _set_all_known(self, protocol: MembershipProtocol) -> None:
        """Set the state after a long time together: all members known, nothing left to gossip."""
        now = trio.current_time()
        for state in msgspec.msgpack.decode(self.settings["acquaintance"], type=list[MemberState]):
            if state.name != self.name:
                protocol.table.members[state.name] = state
                protocol.peers[state.name] = PeerState(now)
        protocol.table.pending_broadcasts.clear()
        protocol.state = Lifecycle.ALIVE

    def _restart_timers(self, protocol: MembershipProtocol) -> None:
        """Start the timers now, at a random offset within a probe interval.

        The member was created some seconds ago; without the reset it would take that time for a
        pause of its process and reduce its local health.
        """
        now = trio.current_time()
        protocol.next_sync_at += now - protocol.now
        protocol.now = protocol.next_due_at = now
        protocol.next_probe_at = now + protocol.rng.uniform(0.0, protocol.probe_interval)
        protocol.next_reconnect_at = protocol.next_probe_at

    def set_partition(self, names: frozenset[str]) -> None:
        """Block all messages to and from these members."""
        self.partitioned_members = names
        if self.membership is not None:
            self.opener.partitioned_members = names

    def _count_event(self, event: str, **fields: Any) -> None:
        self.meter.counts[event] += 1

    def _on_member_change(self, change: MemberStateChanged) -> None:
        self.meter.counts[f"became {change.after}"] += 1
        if change.after == "failed":
            self.verdicts.add(self.name, change.name)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until stopped. Raises OSError if its address is in use."""
        membership, self.prepared = self.prepared or self._create_membership(), None
        self._restart_timers(membership.protocol)
        self.membership = membership
        self.set_partition(self.partitioned_members)
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(membership.run)
                task_status.started()
                if self.follows:
                    nursery.start_soon(self._follow, membership)

    def stop(self, leaves: bool) -> None:
        """Stop the member, after leaving the membership if `leaves`."""
        if self.membership is not None:
            if leaves:
                self.membership.leave()
            self.membership = None
        self.scope.cancel()

    async def _follow(self, membership: Membership) -> None:
        """Follow the endpoint list by blocking queries, as a real manager does."""
        client = http.Client(*self.settings["discovery"], max_idle_connections=1)
        state = BlockingQuery(
            "hollow",
            QUERY_WAIT_SECONDS,
            Random(f"{self.settings['seed']} {self.name} follows").uniform,
        )
        while True:
            try:
                await self._query_list(client, state, membership)
                await trio.sleep(MIN_QUERY_INTERVAL)
            except (http.HttpError, ValueError):
                self.meter.counts["list failed"] += 1
                await trio.sleep(state.next_backoff())

    async def _query_list(
        self, client: http.Client, state: BlockingQuery, membership: Membership
    ) -> None:
        query = state.request_path()
        reply: http.Response | None = None
        with trio.move_on_after(ANSWER_MARGIN_SECONDS + QUERY_WAIT_SECONDS):
            reply = await client.request("GET", query)
        if reply is None or reply.status != 200:
            raise ValueError("no answer in time" if reply is None else f"status {reply.status}")
        self.meter.add("list", "out", len(query))
        self.meter.add("list", "in", len(reply.body))
        if state.record_index(reply.headers.get(INDEX_HEADER)):
            self.current_list = (state.index, xxhash.xxh64_hexdigest(reply.body))
            versions = self.received_versions.setdefault(self.start_count, [])
            if len(versions) < MAX_RECORDED_VERSIONS:
                versions.append((state.index, time.monotonic()))
            found = json.loads(reply.headers[LIST_DIGEST_HEADER])
            list_digests = membership.list_digests
            assert isinstance(list_digests, PrecomputedListDigests)
            list_digests.digest_values = (found[0], tuple(found[1]))


class HollowMembers:
    """The members of this process, and the commands for them."""

    def __init__(self, settings: Mapping[str, Any], nursery: trio.Nursery) -> None:
        self.meter, self.watch, self.verdicts = Meter(), part.Stopwatch(), part.Verdicts()
        self.nursery = nursery
        known = [
            MemberState(
                name,
                (1, 0),
                ALIVE,
                (settings["places"][name][0], settings["places"][name][1]),
                name,
            )
            for name in settings["known"]
        ]
        settings = {**settings, "acquaintance": msgspec.msgpack.encode(known)}
        self.members = {
            name: HollowMember(name, settings, self.meter, self.watch, self.verdicts)
            for name in settings["names"]
        }

    async def handle_command(self, command: part.Command) -> dict[str, Any]:
        """Execute one command of the run and return its answer."""
        selected = [self.members[name] for name in command.get("names", ()) if name in self.members]
        match command["do"]:
            case "up":
                for member in selected:
                    if member.membership is None:
                        await self.nursery.start(member.run)
            case "down" | "leave":
                for member in selected:
                    member.stop(leaves=command["do"] == "leave")
            case "cut" | "heal":
                smaller_side = frozenset(command["names"])
                for name, member in self.members.items():
                    other_side = {
                        peer
                        for peer in member.addresses
                        if (peer in smaller_side) != (name in smaller_side)
                    }
                    member.set_partition(
                        frozenset(other_side) if command["do"] == "cut" else frozenset()
                    )
            case "report":
                return self._report()
            case "final":
                followers = [member for member in self.members.values() if member.follows]
                return {
                    "did": "final",
                    "taken": {member.name: member.received_versions for member in followers},
                    "held": {
                        member.name: member.current_list
                        for member in followers
                        if member.membership is not None
                    },
                }
        return {"did": command["do"]}

    def _report(self) -> dict[str, Any]:
        views, queues = Counter[str](), Counter[str]()
        running_count = 0
        for member in self.members.values():
            if member.membership is None:
                continue
            view, running_count = part.member_view(member.membership), running_count + 1
            views[f"{view['digest']} {view['living']} {view['state']}"] += 1
            queues["gossip"] = max(queues["gossip"], view["waiting"])
            queues["streams"] = max(
                queues["streams"], *member.membership.transport.open_streams().values()
            )
            for reason in part.REJECTION_REASONS:
                queues[f"refused {reason}"] = max(
                    queues[f"refused {reason}"], member.membership.transport.rejections[reason]
                )
        reading = part.process_reading(self.meter, self.watch.spent)
        return {
            "did": "report",
            "at": time.monotonic(),
            "reading": asdict(reading),
            "members": running_count,
            "views": dict(views),
            "queues": dict(queues),
            "verdicts": self.verdicts.take(),
            "dropped": self.verdicts.dropped,
        }


async def main(settings: Mapping[str, Any]) -> None:
    """Run the members of this process until the input closes."""
    async with trio.open_nursery() as nursery:
        hollow_members = HollowMembers(settings, nursery)
        try:
            part.write_line(did="ready")
            await part.serve_commands(hollow_members.handle_command)
        except* OSError as error:
            part.write_line(
                did="failed",
                why=f"an address of a hollow member is in use: {part.first_exception(error)}",
            )
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    startup_settings = json.loads(sys.stdin.readline())
    trio.run(main, startup_settings, clock=part.SlowedClock(startup_settings["clock"]))
