"""What one member knows of all: merged from what is told, and told on a bounded number of times.
Free of I/O and time.

Merging is commutative, associative and idempotent: each name keeps its highest rank, each bar its
highest count, each row its highest version. What is new here is told on, the least told first,
`TELLS` times for each tenfold size.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from math import ceil, log2

import msgspec

from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    MAX_MEMBERS,
    SUSPECTED,
    GossipItem,
    MemberBan,
    MemberState,
    ReachabilityReport,
)

# times log2 of the size that each item is told: all hear of it but one in a thousand, as SWIM's
# paper shows
RETRANSMIT_MULTIPLIER = 3
# bytes of items in one datagram: with head and seal below the 1,280 that every path carries
MAX_GOSSIP_BYTES = 1000
# of names forgotten, kept by rank: as many as fail in the time in which all forget one
MAX_TOMBSTONES = 256
LOWEST_PRECEDENCE = ((-1, 0), 0)  # a rank below all
MAX_GOSSIP_ITEMS = 48  # in one datagram: what its reader takes at least
BroadcastKey = tuple[str, ...]


class MembershipTable:
    """`told` by name; one in it that is FAILED or LEFT stays until it is forgotten."""

    def __init__(self) -> None:
        self.members: dict[str, MemberState] = {}
        self.bans: dict[str, MemberBan] = {}
        self.reachability_reports: dict[str, ReachabilityReport] = {}
        self.pending_broadcasts: dict[
            BroadcastKey, tuple[int, GossipItem, int]
        ] = {}  # by key how often told, what, and its size
        self.tombstones: dict[str, tuple[tuple[int, int], int]] = {}  # rank of those forgotten last
        self._digest = b""

    # Merging.

    def merge(self, item: MemberState | MemberBan | ReachabilityReport) -> bool:
        """Merge; tells whether it was news."""
        match item:
            case MemberState(name=name):
                previous = self.members.get(name)
                lowest_accepted = (
                    previous.precedence()
                    if previous is not None
                    else self.tombstones.get(name, LOWEST_PRECEDENCE)
                )
                if (
                    lowest_accepted >= item.precedence()
                    or previous is None
                    and len(self.members) >= MAX_MEMBERS
                ):
                    return False
                self.members[name] = item
                self.tombstones.pop(name, None)
            case MemberBan(name=name):
                previous_ban = self.bans.get(name)
                if (
                    len(self.bans) >= MAX_MEMBERS
                    if previous_ban is None
                    else (previous_ban.version, previous_ban.banned) >= (item.version, item.banned)
                ):
                    return False
                self.bans[name] = item
            case ReachabilityReport(name=name):
                previous_report = self.reachability_reports.get(name)
                if (
                    len(self.reachability_reports) >= MAX_MEMBERS or name in self.tombstones
                    if previous_report is None
                    else previous_report.version >= item.version
                ):
                    return False
                self.reachability_reports[name] = item
        self._digest = b""
        self.queue_broadcast(item)
        return True

    def forget(self, name: str) -> None:
        """Danger: who forgets a little later would tell of it again, and so on without end; so the
        rank is kept for a while, by number and not by time.
        """
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[name] = self.members.pop(name).precedence()
        self.reachability_reports.pop(name, None)
        self.pending_broadcasts = {
            key: value for key, value in self.pending_broadcasts.items() if key[1] != name
        }
        self._digest = b""

    def is_banned(self, name: str) -> bool:
        return name in self.bans and self.bans[name].banned

    def live_members(self) -> list[str]:
        """Alive or suspected, and not barred."""
        return [
            name
            for name, member_state in self.members.items()
            if member_state.state <= SUSPECTED and not self.is_banned(name)
        ]

    def digest(self) -> bytes:
        """Eight bytes, the same wherever the same is known. A suspicion is not yet a view."""
        if not self._digest:
            states = [
                (
                    name,
                    member_state.incarnation[0],
                    ALIVE if member_state.state == SUSPECTED else member_state.state,
                )
                for name, member_state in sorted(self.members.items())
            ]
            banned = sorted(name for name in self.bans if self.bans[name].banned)
            self._digest = blake2b(msgspec.msgpack.encode((states, banned)), digest_size=8).digest()
        return self._digest

    def full_state(self) -> tuple[GossipItem, ...]:
        return (*self.members.values(), *self.bans.values(), *self.reachability_reports.values())

    # Telling on.

    def queue_broadcast(self, item: MemberState | MemberBan | ReachabilityReport) -> None:
        """Let it ride on what is sent next. What it outdoes is not told any more."""
        match item:
            case MemberState(name=name, state=state, reporter=by):
                for pending_key in [
                    pending_key
                    for pending_key in self.pending_broadcasts
                    if pending_key[:2] == ("t", name)
                ]:
                    if (
                        state != SUSPECTED
                        or self._pending_state(pending_key).precedence() < item.precedence()
                    ):
                        del self.pending_broadcasts[pending_key]
                key: BroadcastKey = ("t", name, by if state == SUSPECTED else "")
            case MemberBan(name=name):
                key = ("b", name)
            case ReachabilityReport(name=name):
                key = ("r", name)
        self.pending_broadcasts.pop(key, None)
        self.pending_broadcasts[key] = (0, item, len(msgspec.msgpack.encode(item)))

    def _pending_state(self, key: BroadcastKey) -> MemberState:
        item = self.pending_broadcasts[key][1]
        assert isinstance(item, MemberState)
        return item

    def has_unsent(self) -> bool:
        """Whether something has never been told."""
        return any(count == 0 for count, _, _ in self.pending_broadcasts.values())

    def take_gossip(self, priority_items: Iterable[GossipItem] = ()) -> tuple[GossipItem, ...]:
        """What is to ride on a datagram: `first`, then the least told, as much as there is room
        for.
        """
        items = list(priority_items)
        remaining_bytes = MAX_GOSSIP_BYTES
        remaining_bytes -= sum(len(msgspec.msgpack.encode(item)) for item in items)
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log2(len(self.members) + 2))
        for key in sorted(self.pending_broadcasts, key=lambda key: self.pending_broadcasts[key][0]):
            count, item, size = self.pending_broadcasts[key]
            if size > remaining_bytes or len(items) >= MAX_GOSSIP_ITEMS:
                break
            items.append(item)
            remaining_bytes -= size
            if count + 1 >= max_transmissions:
                del self.pending_broadcasts[key]
            else:
                self.pending_broadcasts[key] = (count + 1, item, size)
        return tuple(items)

    def departed_members(self) -> Iterator[str]:
        return (
            name
            for name, member_state in self.members.items()
            if member_state.state in (FAILED, LEFT)
        )
