"""The state of one member: its identity, its table, its open probes and suspicions, its timers.

The rules of the protocol are functions on this record, one topic to a module (`failure_detection`,
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

# Up to this size, each member receives messages of every other often enough to report silent ones,
# and broadcasts go directly to all members.
SMALL_CLUSTER_SIZE = 32


class Lifecycle(enum.StrEnum):
    """Lifecycle state of the local member; operators see the values."""

    JOINING = "joining"  # has not received a message of another member yet
    ALIVE = "alive"
    LEFT = "left"  # has announced its departure
    BANNED = "barred"  # banned by an operator
    SUPERSEDED = "yielded"  # a later start of a process uses its name


# A tuple, since the hash of an enum member is computed in Python and `receive` checks the state for
# each message.
INACTIVE_STATES = (Lifecycle.LEFT, Lifecycle.BANNED, Lifecycle.SUPERSEDED)


@dataclass
class PeerState:
    """What this member has itself observed of another one. Times are protocol time, in seconds.

    Attributes:
        since: When the peer entered its current state.
        last_received_at: When its last message was received.
        directly_reachable: Whether it answers this member's own probes, not only those of others.
        unresponsive: Whether it left the last probe unanswered, though its messages may arrive.
        diverged_since: Since when the digest of its table has differed from the local one.
    """

    since: float
    last_received_at: float = -inf
    directly_reachable: bool = True
    unresponsive: bool = False
    diverged_since: float = inf


@dataclass
class Probe:
    """An open probe by this member.

    Attributes:
        name: The member probed.
        start_epoch: The start of its process that has to answer.
        started_at: When the first ping was sent.
        deadline: When the probe times out.
        indirect_at: When other members are asked for indirect probes.
        indirect_count: How many members were asked.
        nacks: How many of them sent a nack.
        unscheduled: Whether it is outside the regular probe order.
        claim: Another member's claim that this one failed, accepted if the probe times out.
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
    """A suspicion of a member: when it started, and which members reported it independently."""

    started_at: float
    confirmed_by: set[str] = field(default_factory=set)


@dataclass
class IndirectProbe:
    """A probe on behalf of another member: the requester, and its sequence number there."""

    sequence: int
    requester: MemberState
    deadline: float


@dataclass(eq=False)
class LocalMember:
    """The state of one member.

    Times are protocol time in seconds, which is monotonic (see `clock`). Each group of fields is
    written by the modules named above it.

    Args:
        self_id: This member's name.
        start_epoch: Number of this start of a process under that name.
        address: Host and port where others reach this member.
        seeds: Addresses of members to join through.
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

    # The view of all members (merging, bans, reachability) and observations of each peer.
    local_state: MemberState = field(init=False)
    state: Lifecycle = field(init=False)
    table: MembershipTable = field(init=False, default_factory=MembershipTable)
    peers: dict[str, PeerState] = field(init=False, default_factory=dict)
    last_received_at: float = field(init=False)  # when the last message of any member came
    report_version: int = field(init=False, default=0)  # of the local reachability report

    # Failure detection: probes by sequence number, suspicions by name, the rest of the round.
    sequence: int = field(init=False, default=0)
    probes: dict[int, Probe] = field(init=False, default_factory=dict)
    indirect_probes: dict[int, IndirectProbe] = field(init=False, default_factory=dict)
    suspicions: dict[str, Suspicion] = field(init=False, default_factory=dict)
    probe_order: list[str] = field(init=False, default_factory=list)
    local_health: int = field(init=False, default=0)  # 0 is healthy; see `local_health`

    # Clock and timers.
    clock_offset: float = field(init=False, default=0.0)  # protocol time minus host time
    next_due_at: float = field(init=False)  # the deadline last returned to the host
    next_probe_at: float = field(init=False)
    next_reconnect_at: float = field(init=False)
    next_gossip_at: float = field(init=False, default=inf)
    next_sync_at: float = field(init=False, default=inf)

    def __post_init__(self, start_epoch: int, address: Address) -> None:
        """Start with no other member known; a probe and a reconnect are due at once."""
        self.seeds = [seed for seed in self.seeds if seed != address]
        self.local_state = MemberState(self.self_id, (start_epoch, 0), ALIVE, address, self.self_id)
        self.table.merge(self.local_state)
        self.state = Lifecycle.JOINING if self.seeds else Lifecycle.ALIVE
        self.last_received_at = self.now
        self.next_due_at = self.now
        self.next_probe_at = self.now
        self.next_reconnect_at = self.now

    def other_live_members(self) -> list[str]:
        """Names of all other members that are alive or suspected and not banned, in table order."""
        return [name for name in self.table.live_members() if name != self.self_id]

    def address_of(self, name: str) -> Address:
        """Host and port of a known member. Raises KeyError for an unknown one."""
        return self.table.members[name].address

    def send(self, name: str, message: Message) -> Send:
        """Return the order to send a message to a known member."""
        return Send(self.address_of(name), message)

    def set_local_state(self, incarnation: Incarnation, state: int) -> None:
        """Change this member's own state, and schedule its gossip at once."""
        self.local_state = MemberState(
            self.self_id, incarnation, state, self.local_state.address, self.self_id
        )
        self.table.merge(self.local_state)
        self.next_gossip_at = self.now
