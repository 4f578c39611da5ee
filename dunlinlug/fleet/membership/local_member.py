"""What one member remembers: its identity, its table, its open probes and suspicions, its timers.

The rules of the protocol are functions over this record, one job to a module (`failure_detection`,
`suspicions`, `merging`, `dissemination`, `state_sync`, ...). `MembershipProtocol` adds the entry
points. Keeping the state apart from the rules lets the model checker copy and compare members.
"""

import enum
from dataclasses import InitVar, dataclass, field
from math import inf
from random import Random

from dunlinlug.fleet.membership.member_table import MembershipTable
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    Address,
    Incarnation,
    MemberState,
    Message,
    Send,
)

# Up to so many members, each hears each other one often enough to say whom it does not hear, and
# facts go straight to everyone.
SMALL_CLUSTER = 32


class Lifecycle(enum.StrEnum):
    """Where this member is in its own life; operators see the values."""

    JOINING = "joining"  # no other member was heard yet
    ALIVE = "alive"
    LEFT = "left"  # it said goodbye
    BANNED = "barred"  # an operator took it out
    SUPERSEDED = "yielded"  # a later start of a process has its name


# A tuple, since the hash of an enum member is computed in Python and `receive` asks each time.
INACTIVE = (Lifecycle.LEFT, Lifecycle.BANNED, Lifecycle.SUPERSEDED)


@dataclass
class PeerState:
    """What this member observed of another one itself. Times are protocol time, in seconds.

    Attributes:
        since: When the peer entered its present state.
        last_received_at: When its last message came.
        directly_reachable: Whether it answers our own probes, not only those of others.
        unresponsive: Whether it has left our last probe unanswered, though we may hear it.
        diverged_since: Since when the digest of its table differs from ours.
    """

    since: float
    last_received_at: float = -inf
    directly_reachable: bool = True
    unresponsive: bool = False
    diverged_since: float = inf


@dataclass
class Probe:
    """A probe of ours that was not answered yet.

    Attributes:
        name: The member probed.
        start_epoch: The start of its process that has to answer.
        started_at: When the first ping went out.
        deadline: When the probe has failed.
        indirect_at: When others are asked to probe for us.
        indirect_count: How many others were asked.
        nacks: How many of them said that they have no answer either.
        unscheduled: Whether it is outside the regular probe order.
        claim: Another's claim that the member failed, which is believed if this probe fails.
    """

    name: str
    start_epoch: int
    started_at: float
    deadline: float
    indirect_at: float = inf
    indirect_count: int = 0
    nacks: int = 0
    unscheduled: bool = False
    claim: MemberState | None = None


@dataclass
class Suspicion:
    """A member that is suspected: since when, and by which members independently."""

    started_at: float
    confirmed_by: set[str] = field(default_factory=set)


@dataclass
class IndirectProbe:
    """A probe that we make for another: for whom, and its sequence number there."""

    sequence: int
    requester: MemberState
    deadline: float


@dataclass(eq=False)
class LocalMember:
    """All that one member remembers.

    Times are protocol time in seconds, which never goes back (see `clock`). Each group of fields
    is written by the module named beside it.

    Args:
        self_id: This member's name.
        start_epoch: Number of this start of a process under that name.
        address: Host and port where others reach this member.
        seeds: Addresses at which other members may be found.
        now: Host time in seconds.
        probe_interval: Seconds from probe to probe, the unit of all other intervals.
        rng: Source of every random choice.
    """

    self_id: str
    start_epoch: InitVar[int]
    address: InitVar[Address]
    seeds: list[Address]
    now: float
    probe_interval: float
    rng: Random

    # What is known of members (merging, bans, reachability) and what was observed of each peer.
    local_state: MemberState = field(init=False)
    state: Lifecycle = field(init=False)
    table: MembershipTable = field(init=False, default_factory=MembershipTable)
    peers: dict[str, PeerState] = field(init=False, default_factory=dict)
    last_received_at: float = field(init=False)  # when any member was heard last
    report_version: int = field(init=False, default=0)  # of our own reachability report

    # Failure detection: probes by sequence number, suspicions by name, the rest of the round.
    sequence: int = field(init=False, default=0)
    probes: dict[int, Probe] = field(init=False, default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(init=False, default_factory=dict)
    suspicions: dict[str, Suspicion] = field(init=False, default_factory=dict)
    probe_order: list[str] = field(init=False, default_factory=list)
    local_health: int = field(init=False, default=0)  # 0 is healthy; see `local_health`

    # Clock and timers.
    clock_offset: float = field(init=False, default=0.0)  # protocol time less host time
    next_due_at: float = field(init=False)  # the deadline that the host was last given
    next_probe_at: float = field(init=False)
    next_reconnect_at: float = field(init=False)
    next_gossip_at: float = field(init=False, default=inf)
    next_sync_at: float = field(init=False, default=inf)

    def __post_init__(self, start_epoch: int, address: Address) -> None:
        """Start as the only member known, with a probe and a reconnect due at once."""
        self.seeds = [seed for seed in self.seeds if seed != address]
        self.local_state = MemberState(self.self_id, (start_epoch, 0), ALIVE, address, self.self_id)
        self.table.merge(self.local_state)
        self.state = Lifecycle.JOINING if self.seeds else Lifecycle.ALIVE
        self.last_received_at = self.now
        self.next_due_at = self.now
        self.next_probe_at = self.now
        self.next_reconnect_at = self.now

    def other_live_members(self) -> list[str]:
        """Names of members alive or suspected and not banned, but our own, in table order."""
        return [name for name in self.table.live_members() if name != self.self_id]

    def address_of(self, name: str) -> Address:
        """Host and port of a known member. Raises KeyError for an unknown one."""
        return self.table.members[name].address

    def send(self, name: str, message: Message) -> Send:
        """The order to send a message to a known member."""
        return Send(self.address_of(name), message)

    def set_local_state(self, incarnation: Incarnation, state: int) -> None:
        """Say something new of ourselves, to be spread by gossip at once."""
        self.local_state = MemberState(
            self.self_id, incarnation, state, self.local_state.address, self.self_id
        )
        self.table.merge(self.local_state)
        self.next_gossip_at = self.now
