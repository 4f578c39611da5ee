"""One member's view of the cluster: merging, the digest, and the queue of gossip.

Merging is commutative, associative and idempotent: of each name the state of highest precedence is
kept, and the ban and the reachability report of highest version. Changes are piggybacked on other
messages, those sent least often first, a number of times that grows with the logarithm of the
cluster's size (SWIM: Das, Gupta, Motivala 2002, section 4.1). Free of I/O and time.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b
from math import ceil, log2
from typing import NamedTuple

import msgspec

from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    MAX_MEMBERS,
    SUSPECTED,
    GossipItem,
    Incarnation,
    MemberBan,
    MemberState,
    ReachabilityReport,
)

# SWIM's lambda: each item is sent this many times log2 of the cluster's size, by which all members
# but one in a thousand receive it.
RETRANSMIT_MULTIPLIER = 3
# Bytes of items in one datagram: with header and signature, it stays below the 1,280 bytes that
# every network path carries.
MAX_GOSSIP_BYTES = 1000
MAX_GOSSIP_ITEMS = 48  # items in one datagram, fewer than the receiver accepts
MAX_TOMBSTONES = 256  # forgotten names that are kept: as many as fail in a retention time
LOWEST_PRECEDENCE: tuple[Incarnation, int] = ((-1, 0), 0)  # below that of every state

MergeableItem = MemberState | MemberBan | ReachabilityReport
# Kind of item, member and, for a suspicion, its reporter: newer items of a key replace older ones.
BroadcastKey = tuple[str, ...]
STATE_KEY = "t"
BAN_KEY = "b"
REPORT_KEY = "r"


class PendingBroadcast(NamedTuple):
    """A queued item: how often it was sent, and its size in bytes."""

    transmissions: int
    item: GossipItem
    size: int


class MembershipTable:
    """Members, bans and reachability reports by name, and the queue of items to gossip.

    A failed or departed member stays in the table until it is forgotten; its precedence is then
    kept as a tombstone.
    """

    def __init__(self) -> None:
        self.members: dict[str, MemberState] = {}
        self.bans: dict[str, MemberBan] = {}
        self.reachability_reports: dict[str, ReachabilityReport] = {}
        self.pending_broadcasts: dict[BroadcastKey, PendingBroadcast] = {}
        self.tombstones: dict[str, tuple[Incarnation, int]] = {}
        self._digest = b""  # empty if out of date

    def merge(self, item: MergeableItem) -> bool:
        """Merge one item and queue it for gossip if the table changes; returns whether it did."""
        match item:
            case MemberState():
                changed = self._merge_state(item)
            case MemberBan():
                changed = self._merge_ban(item)
            case ReachabilityReport():
                changed = self._merge_report(item)
        if changed:
            self._digest = b""
            self.queue_broadcast(item)
        return changed

    def _merge_state(self, item: MemberState) -> bool:
        previous = self.members.get(item.name)
        if previous is None:
            if len(self.members) >= MAX_MEMBERS:
                return False
            known_precedence = self.tombstones.get(item.name, LOWEST_PRECEDENCE)
        else:
            known_precedence = previous.precedence()
        if known_precedence >= item.precedence():
            return False
        self.members[item.name] = item
        self.tombstones.pop(item.name, None)
        return True

    def _merge_ban(self, item: MemberBan) -> bool:
        previous = self.bans.get(item.name)
        if previous is None:
            if len(self.bans) >= MAX_MEMBERS:
                return False
        elif (previous.version, previous.banned) >= (item.version, item.banned):
            return False
        self.bans[item.name] = item
        return True

    def _merge_report(self, item: ReachabilityReport) -> bool:
        previous = self.reachability_reports.get(item.name)
        if previous is None:
            if len(self.reachability_reports) >= MAX_MEMBERS or item.name in self.tombstones:
                return False
        elif previous.version >= item.version:
            return False
        self.reachability_reports[item.name] = item
        return True

    def forget(self, name: str) -> None:
        """Remove a member and its reachability report, and keep a tombstone of it.

        A member that forgets the name a little later still gossips it. The tombstone rejects that
        state; otherwise members would add the name again in turns without end. Tombstones are
        bounded in number, not in time.
        """
        while len(self.tombstones) >= MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            del self.tombstones[oldest]
        self.tombstones[name] = self.members.pop(name).precedence()
        self.reachability_reports.pop(name, None)
        self.pending_broadcasts = {
            key: pending for key, pending in self.pending_broadcasts.items() if key[1] != name
        }
        self._digest = b""

    def is_banned(self, name: str) -> bool:
        """Whether an operator has banned this member."""
        return name in self.bans and self.bans[name].banned

    def live_members(self) -> list[str]:
        """Names of members that are alive or suspected and not banned, the local one included."""
        return [
            name
            for name, member_state in self.members.items()
            if member_state.state <= SUSPECTED and not self.is_banned(name)
        ]

    def departed_members(self) -> Iterator[str]:
        """Names of members that failed or left and are not forgotten yet."""
        return (
            name
            for name, member_state in self.members.items()
            if member_state.state in (FAILED, LEFT)
        )

    def digest(self) -> bytes:
        """Return eight bytes that are equal for equal views; a suspected member counts as alive."""
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
        """All items in the table, for a synchronisation."""
        return (*self.members.values(), *self.bans.values(), *self.reachability_reports.values())

    def queue_broadcast(self, item: MergeableItem) -> None:
        """Queue an item for gossip, in place of the items that it overrides."""
        match item:
            case MemberState():
                self._drop_overridden(item)
                reporter = item.reporter if item.state == SUSPECTED else ""
                key: BroadcastKey = (STATE_KEY, item.name, reporter)
            case MemberBan():
                key = (BAN_KEY, item.name)
            case ReachabilityReport():
                key = (REPORT_KEY, item.name)
        self.pending_broadcasts.pop(key, None)
        size = len(msgspec.msgpack.encode(item))
        self.pending_broadcasts[key] = PendingBroadcast(0, item, size)

    def _drop_overridden(self, item: MemberState) -> None:
        """Drop older states of this member; reports of the same suspicion are all kept."""
        prefix = (STATE_KEY, item.name)
        for key in [key for key in self.pending_broadcasts if key[:2] == prefix]:
            pending = self.pending_broadcasts[key].item
            assert isinstance(pending, MemberState)
            if item.state != SUSPECTED or pending.precedence() < item.precedence():
                del self.pending_broadcasts[key]

    def has_unsent(self) -> bool:
        """Whether some queued item was never sent."""
        return any(pending.transmissions == 0 for pending in self.pending_broadcasts.values())

    def take_gossip(self, priority_items: Iterable[GossipItem] = ()) -> tuple[GossipItem, ...]:
        """Return items to piggyback on one datagram, and count them as sent.

        The priority items come first, then those sent least often, as many as there is room for.
        """
        items = list(priority_items)
        remaining_bytes = MAX_GOSSIP_BYTES
        remaining_bytes -= sum(len(msgspec.msgpack.encode(item)) for item in items)
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log2(len(self.members) + 2))
        pending_broadcasts = self.pending_broadcasts
        for key in sorted(pending_broadcasts, key=lambda key: pending_broadcasts[key][0]):
            transmissions, item, size = pending_broadcasts[key]
            if size > remaining_bytes or len(items) >= MAX_GOSSIP_ITEMS:
                break
            items.append(item)
            remaining_bytes -= size
            if transmissions + 1 >= max_transmissions:
                del pending_broadcasts[key]
            else:
                pending_broadcasts[key] = PendingBroadcast(transmissions + 1, item, size)
        return tuple(items)
