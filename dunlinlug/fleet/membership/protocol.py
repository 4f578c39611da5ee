"""Who is there, as a machine free of I/O: messages and time in, messages and changes out.

Members are probed in random rounds, through others where they do not answer; who answers nobody is
suspected, and failed once the suspicion is old enough, the sooner the more members bear witness. A
member speaks against rumours by raising its word. `docs/members.md` weighs this against other ways
and says what is promised; the search in `dunlinlug/fleet/membership/model.py` visits the states of
this very class.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf, log, log10
from random import Random

from dunlinlug.fleet.membership.member_table import MembershipTable
from dunlinlug.fleet.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    STATE_NAMES,
    SUSPECTED,
    Ack,
    Broadcast,
    BroadcastReceived,
    Gossip,
    GossipItem,
    MemberBan,
    MemberState,
    MemberStateChanged,
    Message,
    Nack,
    Order,
    Ping,
    PingRequest,
    ProcessPaused,
    ReachabilityReport,
    Send,
    StateSync,
    Superseded,
    TableDigest,
)

# part of a beat in which a direct answer is waited for: some hundred times a way within a site
DIRECT_PROBE_FRACTION = 0.4
INDIRECT_PROBES = 3  # members asked to probe for us, as in SWIM's paper
# others that bear witness until a suspicion is as short as it gets, as in Lifeguard's paper
MAX_CONFIRMATIONS = 3
# beats of a suspicion, with all witnesses and with none, for each tenfold size
MIN_SUSPICION_INTERVALS = 2.0
MAX_SUSPICION_INTERVALS = 12.0
# most that a member distrusts itself, as in Lifeguard's paper: its beats are that much longer
MAX_LOCAL_HEALTH = 8
# beats, each longer than the one before, in which who hears nobody condemns nobody: two seconds or
# so
ISOLATED_LOCAL_HEALTH = 3
GOSSIP_FANOUT = 3  # members that are told at once of what is new
# expected members that probe at once whom they hear suspected: all of a small fleet, no storm in a
# large one
EXPECTED_CONFIRMING_PROBES = 8
# beats between knocks at a failed member or a seed, so that cuts heal by themselves
RECONNECT_INTERVALS = 4.0
SYNC_INTERVALS = 50.0  # beats between exchanges of all that is known
DIVERGENCE_INTERVALS = 10.0  # beats that a peer's digest may differ before all is exchanged with it
# beats until who has failed or left is forgotten: far beyond what any message travels
RETENTION_INTERVALS = 600.0
# members up to which each hears each other one often enough to say whom it does not hear
SMALL_CLUSTER = 32


@dataclass
class PeerState:
    """What we met of a member ourselves; times are ours. `mute`: it has not answered, though we
    hear it.
    """

    since: float
    last_heard_at: float = -inf
    directly_reachable: bool = True  # whether it answers us directly
    unresponsive: bool = False
    diverged_since: float = inf  # since when its digest differs from ours


@dataclass
class Probe:
    """`verify`: we were told that it has failed, and ask once before we believe it."""

    name: str
    start_epoch: int
    started_at: float
    deadline: float
    indirect_at: float = inf  # when helpers are asked
    indirect_count: int = 0
    nacks: int = 0
    unscheduled: bool = False
    claim: MemberState | None = None


@dataclass
class Suspicion:
    started_at: float
    confirmed_by: set[str] = field(default_factory=set)


@dataclass
class IndirectProbe:
    """A probe that another asked for: whom to tell, under which number."""

    sequence: int
    requester: MemberState
    deadline: float


class MembershipProtocol:
    """One member. `beat` is seconds from probe to probe; `born` numbers the starts of a process
    under this name, and `seeds` are places where others may be found. Times are the host's, and
    may jump.
    """

    def __init__(
        self,
        self_id: str,
        start_epoch: int,
        address: tuple[str, int],
        seeds: Iterable[tuple[str, int]],
        now: float,
        probe_interval: float,
        rng: Random,
    ) -> None:
        self.self_id = self_id
        self.probe_interval = probe_interval
        self.rng = rng
        self.local_state = MemberState(self_id, (start_epoch, 0), ALIVE, address, self_id)
        self.seeds = [seed for seed in seeds if seed != address]
        self.table = MembershipTable()
        self.table.merge(self.local_state)
        self.peers: dict[str, PeerState] = {}
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.probe_order: list[str] = []
        self.local_health = 0
        self.sequence = 0
        self.report_version = 0
        self.now = now
        self.clock_offset = 0.0
        self.next_probe_at = now
        self.next_reconnect_at = now
        self.next_gossip_at = inf
        self.next_sync_at = now + rng.uniform(0.5, 1.0) * SYNC_INTERVALS * probe_interval
        self.next_due_at = now
        self.state = "joining" if self.seeds else "alive"  # or left, barred, yielded
        self.last_heard_at = now  # when anybody was heard last

    # Time.

    def next_deadline(self) -> float:
        """When `tick` is due, on the host's clock."""
        deadlines = [p.deadline for p in self.probes.values()] + [
            p.indirect_at for p in self.probes.values()
        ]
        deadlines += [indirect_probe.deadline for indirect_probe in self.indirect_probes.values()]
        deadlines += [self._suspicion_deadline(name) for name in self.suspicions]
        self.next_due_at = min(
            [
                self.next_probe_at,
                self.next_reconnect_at,
                self.next_gossip_at,
                self.next_sync_at,
                *deadlines,
            ]
        )
        return self.next_due_at - self.clock_offset

    def _protocol_time(self, now: float) -> float:
        """Our time: the host's, which never goes back here. Danger: set back, nothing would be due
        for an hour.
        """
        if now + self.clock_offset < self.now:
            self.clock_offset = self.now - now
        self.now = now + self.clock_offset
        return self.now

    def tick(self, host_time: float) -> list[Order]:
        now = self._protocol_time(host_time)
        orders = self._detect_pause(now)
        if self.state in ("left", "barred", "yielded"):
            self.next_probe_at = self.next_sync_at = now + self.probe_interval
            self.next_reconnect_at = inf
            self.next_gossip_at = inf
            return orders
        for sequence in [
            sequence for sequence, probe in self.probes.items() if probe.indirect_at <= now
        ]:
            orders += self._request_indirect_probes(sequence)
        for sequence in [
            sequence for sequence, probe in self.probes.items() if probe.deadline <= now
        ]:
            orders += self._handle_probe_timeout(now, self.probes.pop(sequence))
        for sequence in [
            sequence
            for sequence, indirect_probe in self.indirect_probes.items()
            if indirect_probe.deadline <= now
        ]:
            indirect_probe = self.indirect_probes.pop(sequence)
            orders.append(
                Send(
                    indirect_probe.requester.address,
                    Nack(self.local_state, indirect_probe.requester.name, indirect_probe.sequence),
                )
            )
        for name in [name for name in self.suspicions if self._suspicion_deadline(name) <= now]:
            started_at = self.suspicions[name].started_at
            confirmations = ", ".join(sorted(self.suspicions[name].confirmed_by))
            failed = self._with_state(name, FAILED)
            orders += self._merge_state(
                now, failed, f"suspected for {now - started_at:.2f} s, witnesses: {confirmations}"
            )
        if self.next_probe_at <= now:
            self.next_probe_at = now + self.probe_interval * (1 + self.local_health)
            orders += self._run_probe_interval(now)
        if self.next_reconnect_at <= now:
            self.next_reconnect_at = (
                now + RECONNECT_INTERVALS * self.probe_interval * self.rng.uniform(0.75, 1.25)
            )
            orders += self._reconnect(now)
        if self.next_sync_at <= now:
            self.next_sync_at = (
                now + self.rng.uniform(0.75, 1.25) * SYNC_INTERVALS * self.probe_interval
            )
            others = self._other_live_members()
            orders += self._sync_with(self.rng.choice(others)) if others else []
        if self.next_gossip_at <= now:
            orders += self._gossip_news(now)
        return orders

    def _detect_pause(self, now: float) -> list[Order]:
        """Danger: stopped for a while, we would take all answers that wait unread for never given."""
        delay = now - self.next_due_at
        if delay <= self.probe_interval:
            return []
        self.probes.clear()
        self.indirect_probes.clear()
        for suspicion in self.suspicions.values():
            suspicion.started_at += delay
        for peer in self.peers.values():
            peer.diverged_since = inf
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        return [ProcessPaused(delay)]

    # Probes.

    def _other_live_members(self) -> list[str]:
        return [name for name in self.table.live_members() if name != self.self_id]

    def _run_probe_interval(self, now: float) -> list[Order]:
        """The next of the round; each is met once before any is met twice."""
        orders: list[Order] = []
        for name in list(self.table.departed_members()):
            if (
                name != self.self_id
                and now >= self.peers[name].since + RETENTION_INTERVALS * self.probe_interval
            ):
                orders.append(
                    MemberStateChanged(
                        name,
                        STATE_NAMES[self.table.members[name].state],
                        "gone",
                        "failed or left long ago",
                    )
                )
                self.table.forget(name)
                del self.peers[name]
        known = set(self._other_live_members())
        while self.probe_order and self.probe_order[-1] not in known:
            self.probe_order.pop()
        if not self.probe_order:
            self.probe_order = sorted(known)
            self.rng.shuffle(self.probe_order)
        orders += self._start_probe(now, self.probe_order.pop()) if self.probe_order else []
        return orders + self._update_reachability(now)

    def _start_probe(
        self, now: float, name: str, unscheduled: bool = False, claim: MemberState | None = None
    ) -> list[Order]:
        self.sequence += 1
        member_state = self.table.members[name]
        health_multiplier = 1 + self.local_health
        deadline = (
            now
            + (DIRECT_PROBE_FRACTION if claim else 1.0) * self.probe_interval * health_multiplier
        )
        self.probes[self.sequence] = Probe(
            name,
            member_state.incarnation[0],
            now,
            deadline,
            inf if claim else now + DIRECT_PROBE_FRACTION * self.probe_interval * health_multiplier,
            unscheduled=unscheduled,
            claim=claim,
        )
        return [self._make_ping(name, self.sequence, claim)]

    def _make_ping(self, name: str, sequence: int, claim: MemberState | None = None) -> Send:
        member_state = self.table.members[name]
        # Who is spoken of badly hears it from us first, so that it can speak against it.
        priority_items: tuple[GossipItem, ...] = (
            (claim,) if claim else (member_state,) if member_state.state != ALIVE else ()
        )
        return Send(
            member_state.address,
            Ping(
                self.local_state,
                name,
                sequence,
                self.table.digest(),
                self.table.take_gossip(priority_items),
            ),
        )

    def _request_indirect_probes(self, sequence: int) -> list[Order]:
        probe = self.probes[sequence]
        probe.indirect_at = inf
        others = [name for name in self._other_live_members() if name != probe.name]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        probe.indirect_count = len(helpers)
        subject = self.table.members[probe.name]
        return [
            Send(
                self.table.members[name].address,
                PingRequest(self.local_state, name, sequence, subject, self.table.take_gossip()),
            )
            for name in helpers
        ]

    def _handle_probe_timeout(self, now: float, probe: Probe) -> list[Order]:
        member_state = self.table.members.get(probe.name)
        peer = self.peers.get(probe.name)
        if (
            member_state is None
            or peer is None
            or member_state.incarnation[0] != probe.start_epoch
            or member_state.state > SUSPECTED
        ):
            return []
        if probe.claim is not None:
            return self._merge_state(
                now, probe.claim, f"{probe.claim.reporter} says so, and it does not answer us"
            )
        peer.directly_reachable = False
        peer.unresponsive = True
        if (
            peer.last_heard_at >= probe.started_at
        ):  # whom we hear is alive, answered or not: then it is our words that are lost
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            return self._update_reachability(now)
        isolated = self.last_heard_at < probe.started_at
        if (
            probe.nacks < probe.indirect_count or isolated
        ):  # Danger: helpers that are silent too; it may be we who hear nothing
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        if isolated and self.local_health <= ISOLATED_LOCAL_HEALTH:
            return []
        suspected = MemberState(
            member_state.name,
            member_state.incarnation,
            SUSPECTED,
            member_state.address,
            self.self_id,
        )
        return self._merge_state(
            now,
            suspected,
            f"no answer in {now - probe.started_at:.2f} s, nor to {probe.indirect_count} others "
            f"({probe.nacks} said so)",
        )

    def _with_state(self, name: str, state: int) -> MemberState:
        member_state = self.table.members[name]
        return MemberState(
            name, member_state.incarnation, state, member_state.address, self.self_id
        )

    # Suspicions.

    def _suspicion_deadline(self, name: str) -> float:
        """The more witnesses, the sooner; of few members few can bear witness."""
        suspicion = self.suspicions[name]
        size = len(self.table.live_members())
        scale = self.probe_interval * max(1.0, log10(max(size, 1)))
        max_confirmations = min(MAX_CONFIRMATIONS, size - 2)
        confirmed_fraction = (
            log(min(len(suspicion.confirmed_by), max_confirmations + 1))
            / log(max_confirmations + 1)
            if max_confirmations > 0 and suspicion.confirmed_by
            else 0.0
        )
        return suspicion.started_at + scale * (
            MAX_SUSPICION_INTERVALS
            - (MAX_SUSPICION_INTERVALS - MIN_SUSPICION_INTERVALS) * confirmed_fraction
        ) * (1 + self.local_health / 2)

    # What is told.

    def _merge_state(self, now: float, item: MemberState, reason: str) -> list[Order]:
        """Merge one word on a member; gives what changes by it."""
        name = item.name
        previous = self.table.members.get(item.name)
        if name == self.self_id:
            return self._handle_local_claim(now, item)
        if (
            item.state == SUSPECTED
            and previous is not None
            and previous.precedence() == item.precedence()
            and name in self.suspicions
        ):
            suspicion = self.suspicions[name]
            if (
                item.reporter not in suspicion.confirmed_by
                and len(suspicion.confirmed_by) <= MAX_CONFIRMATIONS
            ):
                suspicion.confirmed_by.add(item.reporter)
                self.table.queue_broadcast(item)
            return []
        if not self.table.merge(item):
            return []
        self.next_gossip_at = min(self.next_gossip_at, now + self.probe_interval / 8)
        before = STATE_NAMES[previous.state] if previous is not None else "unknown"
        restarted = previous is not None and previous.incarnation[0] != item.incarnation[0]
        peer = self.peers.setdefault(name, PeerState(now))
        if previous is None or previous.state != item.state or restarted:
            peer.since = now
        orders: list[Order] = []
        if item.state == SUSPECTED:
            self.suspicions[name] = Suspicion(now, {item.reporter})
            probe_now = (
                self.rng.random() * max(len(self._other_live_members()), 1)
                < EXPECTED_CONFIRMING_PROBES
            )
            if (
                item.reporter != self.self_id
                and probe_now
                and not any(probe.name == name for probe in self.probes.values())
            ):
                orders += self._start_probe(now, name, unscheduled=True)
        else:
            self.suspicions.pop(name, None)
        if before != STATE_NAMES[item.state] or restarted:
            orders.append(
                MemberStateChanged(
                    name,
                    before,
                    STATE_NAMES[item.state],
                    f"started again: {reason}" if restarted else reason,
                )
            )
        return orders

    def _handle_local_claim(self, now: float, item: MemberState) -> list[Order]:
        start_epoch, refutations = self.local_state.incarnation
        if item.incarnation[0] > start_epoch and item.state > SUSPECTED and self.state != "left":
            self._announce(
                now, (item.incarnation[0] + 1, 0), ALIVE
            )  # our store or clock was lost; the later start is over
            return [
                MemberStateChanged(
                    self.self_id,
                    STATE_NAMES[item.state],
                    "alive",
                    f"start {start_epoch} goes on as {item.incarnation[0] + 1}",
                )
            ]
        if item.incarnation[0] > start_epoch and self.state not in ("left", "yielded"):
            # Another process under our name: the later start stays, which needs no talk.
            self.state = "yielded"
            self.probes.clear()
            return [
                Superseded(item.incarnation[0]),
                MemberStateChanged(self.self_id, "alive", "yielded", "a later start has our name"),
            ]
        if (
            item.incarnation[0] == start_epoch
            and item.state != ALIVE
            and item.incarnation[1] >= refutations
            and self.state != "left"
        ):
            self._announce(now, (start_epoch, item.incarnation[1] + 1), ALIVE)
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            return [
                MemberStateChanged(
                    self.self_id,
                    STATE_NAMES[item.state],
                    "alive",
                    f"we speak against {item.reporter}",
                )
            ]
        return []

    def _announce(self, now: float, life: tuple[int, int], state: int) -> None:
        self.local_state = MemberState(
            self.self_id, life, state, self.local_state.address, self.self_id
        )
        self.table.merge(self.local_state)
        self.next_gossip_at = now

    def _gossip_news(self, now: float) -> list[Order]:
        """What is new goes to a few at once; the rest hear it with the pings."""
        self.next_gossip_at = inf
        if not self.table.has_unsent():
            return []
        others = self._other_live_members()
        orders: list[Order] = []
        for name in self.rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            if items := self.table.take_gossip():
                orders.append(
                    Send(self.table.members[name].address, Gossip(self.local_state, name, items))
                )
        return orders

    def _update_reachability(self, now: float) -> list[Order]:
        """Whom we do not reach ourselves, told on when it changes."""
        others = self._other_live_members()
        heard_since = now - (3 * len(others) + MAX_SUSPICION_INTERVALS) * self.probe_interval * (
            1 + self.local_health
        )
        not_answering = tuple(
            sorted(name for name in others if not self.peers[name].directly_reachable)[:16]
        )
        not_heard = tuple(
            sorted(
                name
                for name in others
                if len(others) < SMALL_CLUSTER
                and max(self.peers[name].last_heard_at, self.peers[name].since) < heard_since
            )[:16]
        )
        previous = self.table.reachability_reports.get(self.self_id)
        if (not_answering, not_heard) != (
            (previous.not_answering, previous.not_heard) if previous else ((), ())
        ):
            self.report_version += 1
            self.table.merge(
                ReachabilityReport(
                    self.self_id,
                    (self.local_state.incarnation[0], self.report_version),
                    not_answering,
                    not_heard,
                )
            )
        return []

    # Joining, and healing of cuts.

    def _reconnect(self, now: float) -> list[Order]:
        """At a failed member or a seed that nobody living stands at: it may be well, behind a cut
        that has healed.
        """
        failed_addresses = {
            self.table.members[name].address: name
            for name in self.table.departed_members()
            if self.table.members[name].state == FAILED and not self.table.is_banned(name)
        }
        live_addresses = {self.table.members[name].address for name in self.table.live_members()}
        candidates = sorted(
            {*failed_addresses, *(seed for seed in self.seeds if seed not in live_addresses)}
        )
        if not candidates:
            return []
        address = self.rng.choice(candidates)
        name = failed_addresses.get(address, "")
        priority_items: tuple[GossipItem, ...] = (self.table.members[name],) if name else ()
        ping = Ping(
            self.local_state,
            name or "?",
            0,
            self.table.digest(),
            self.table.take_gossip(priority_items),
        )
        orders: list[Order] = [Send(address, ping)]
        if self.state == "joining" or len(self._other_live_members()) == 0:
            orders.append(
                Send(
                    address, StateSync(self.local_state, name or "?", True, self.table.full_state())
                )
            )
        return orders

    def _sync_with(self, name: str) -> list[Order]:
        return [
            Send(
                self.table.members[name].address,
                StateSync(self.local_state, name, True, self.table.full_state()),
            )
        ]

    # Messages.

    def receive(self, host_time: float, message: Message) -> list[Order]:
        now = self._protocol_time(host_time)
        sender = message.sender
        if message.target not in (self.self_id, "?") or self.state == "left":
            return []
        if self.table.is_banned(sender.name):
            return self._receive_from_banned(now, message)
        if sender.name == self.self_id:
            return (
                self._merge_state(now, sender, "")
                if sender.incarnation != self.local_state.incarnation
                else []
            )
        known = self.table.members.get(sender.name)
        if known is not None and known.incarnation[0] > sender.incarnation[0]:
            # A former process of that name, or the lesser of two: it hears of the other, and is no
            # witness.
            return (
                [Send(sender.address, Gossip(self.local_state, sender.name, (known,)))]
                if isinstance(message, Ping)
                else []
            )
        orders = self._merge_state(now, sender, "it says so itself")
        peer = self.peers.get(sender.name)
        if peer is None or sender.name not in self.table.members:
            return orders  # no room for more members
        self.last_heard_at = now
        if sender.precedence() >= self.table.members[sender.name].precedence():
            peer.last_heard_at = now
        if self.state == "joining":
            self.state = "alive"
            orders += self._sync_with(sender.name)
        items = message.items if isinstance(message, StateSync) else getattr(message, "gossip", ())
        for item in items:
            orders += self._merge_item(now, item, sender.name)
        if self.state in ("yielded", "barred"):
            return orders
        match message:
            case Ping(sequence=sequence):
                subject = self.table.members[sender.name]
                priority_items = (subject,) if subject.state != ALIVE else ()
                orders.append(
                    Send(
                        sender.address,
                        Ack(
                            self.local_state,
                            sender.name,
                            sequence,
                            self.self_id,
                            self.local_state.incarnation[0],
                            self.table.digest(),
                            self.table.take_gossip(priority_items),
                        ),
                    )
                )
                orders += self._compare_digest(now, sender.name, message.digest)
            case Ack():
                orders += self._handle_ack(now, message)
            case PingRequest(subject=subject):
                orders += self._start_indirect_probe(now, message, subject)
            case Nack(sequence=sequence) if sequence in self.probes:
                self.probes[sequence].nacks += 1
            case StateSync(reply_requested=True):
                orders.append(
                    Send(
                        sender.address,
                        StateSync(self.local_state, sender.name, False, self.table.full_state()),
                    )
                )
        return orders

    def _receive_from_banned(self, now: float, message: Message) -> list[Order]:
        """It hears that it is barred, and hears nothing else; but the word that ends it may come
        from anyone.
        """
        items = message.items if isinstance(message, StateSync) else getattr(message, "gossip", ())
        orders: list[Order] = []
        for item in items:
            if isinstance(item, MemberBan) and item.name == message.sender.name:
                orders += self._merge_item(now, item, message.sender.name)
        if self.table.is_banned(message.sender.name) and isinstance(message, Ping):
            ban = self.table.bans[message.sender.name]
            orders.append(
                Send(message.sender.address, Gossip(self.local_state, message.sender.name, (ban,)))
            )
        return orders

    def _merge_item(self, now: float, item: GossipItem, sender_name: str) -> list[Order]:
        match item:
            case MemberState():
                return self._merge_claim(now, item)
            case MemberBan(name=name):
                before = self.table.is_banned(name)
                if not self.table.merge(item) or before == item.banned:
                    return []
                if name == self.self_id:
                    self._handle_local_ban(now, item.banned)
                self.suspicions.pop(name, None)
                state_names = ("barred", "unbarred")
                return [
                    MemberStateChanged(
                        name,
                        state_names[not before],
                        state_names[not item.banned],
                        f"an operator's word, heard of {sender_name}",
                    )
                ]
            case ReachabilityReport():
                self.table.merge(item)
            case Broadcast():
                return [BroadcastReceived(item)]
        return []

    def _merge_claim(self, now: float, item: MemberState) -> list[Order]:
        """Danger: one that hears nobody would tell that all have failed. Who is well in our view is
        asked first.
        """
        previous = self.table.members.get(item.name)
        if (
            item.state != FAILED
            or item.name == self.self_id
            or previous is None
            or previous.state > SUSPECTED
            or previous.precedence() >= item.precedence()
            or previous.incarnation != item.incarnation
            or len(self.table.members) > SMALL_CLUSTER
        ):
            return self._merge_state(now, item, f"{item.reporter} says so")
        if any(probe.name == item.name and probe.claim for probe in self.probes.values()):
            return []
        return self._start_probe(now, item.name, claim=item)

    def _handle_ack(self, now: float, ack: Ack) -> list[Order]:
        orders: list[Order] = []
        if ack.subject == ack.sender.name:
            orders += self._compare_digest(now, ack.sender.name, ack.digest)
        indirect_probe = (
            self.indirect_probes.pop(ack.sequence, None) if ack.subject == ack.sender.name else None
        )
        if indirect_probe is not None:
            orders.append(
                Send(
                    indirect_probe.requester.address,
                    Ack(
                        self.local_state,
                        indirect_probe.requester.name,
                        indirect_probe.sequence,
                        ack.subject,
                        ack.subject_start_epoch,
                        self.table.digest(),
                        (self.table.members[ack.subject],),
                    ),
                )
            )
        probe = self.probes.get(ack.sequence)
        if (
            probe is None
            or probe.name != ack.subject
            or probe.start_epoch != ack.subject_start_epoch
        ):
            return orders
        del self.probes[ack.sequence]
        peer = self.peers[probe.name]
        direct = ack.subject == ack.sender.name
        peer.unresponsive = False
        peer.directly_reachable = direct
        if direct and not probe.unscheduled:
            self.local_health = max(0, self.local_health - 1)
        return orders + (
            self._update_reachability(now)
            if not direct or probe.name in self._not_answering_us()
            else []
        )

    def _not_answering_us(self) -> tuple[str, ...]:
        report = self.table.reachability_reports.get(self.self_id)
        return report.not_answering if report else ()

    def _start_indirect_probe(
        self, now: float, request: PingRequest, subject: MemberState
    ) -> list[Order]:
        if subject.name == self.self_id:
            return [
                Send(
                    request.sender.address,
                    Ack(
                        self.local_state,
                        request.sender.name,
                        request.sequence,
                        self.self_id,
                        self.local_state.incarnation[0],
                        self.table.digest(),
                        self.table.take_gossip(),
                    ),
                )
            ]
        orders = self._merge_claim(now, subject)
        if subject.name not in self.table.members or len(self.indirect_probes) >= 64:
            return orders
        self.sequence += 1
        self.indirect_probes[self.sequence] = IndirectProbe(
            request.sequence, request.sender, now + DIRECT_PROBE_FRACTION * self.probe_interval
        )
        return [*orders, self._make_ping(subject.name, self.sequence)]

    def _compare_digest(self, now: float, name: str, digest: TableDigest) -> list[Order]:
        """Views that stay apart are exchanged whole: something was lost more often than it was
        told.
        """
        peer = self.peers[name]
        if digest == self.table.digest():
            peer.diverged_since = inf
            return []
        peer.diverged_since = min(peer.diverged_since, now)
        if now < peer.diverged_since + DIVERGENCE_INTERVALS * self.probe_interval:
            return []
        peer.diverged_since = inf
        return self._sync_with(name)

    # The host's and operators' words.

    def leave(self, host_time: float) -> list[Order]:
        """Goodbye: all are told at once, and we say nothing more."""
        now = self._protocol_time(host_time)
        if self.state in ("left", "yielded"):
            return []
        self._announce(now, self.local_state.incarnation, LEFT)
        self.state = "left"
        for pending in (self.probes, self.suspicions, self.indirect_probes):
            pending.clear()
        return [
            Send(
                self.table.members[name].address,
                Gossip(self.local_state, name, (self.local_state,)),
            )
            for name in self._other_live_members()
        ]

    def set_banned(self, host_time: float, name: str, banned: bool) -> list[Order]:
        """Raises ValueError for whom nobody knows."""
        now = self._protocol_time(host_time)
        if name not in self.table.members:
            raise ValueError(
                f"{name!r} is no member known here; known are {', '.join(sorted(self.table.members))}"
            )
        version = self.table.bans[name].version + 1 if name in self.table.bans else 1
        orders = self._merge_item(now, MemberBan(name, version, banned), self.self_id)
        self.next_gossip_at = now
        if name != self.self_id:  # who is barred hears nothing else any more
            orders.append(
                Send(
                    self.table.members[name].address,
                    Gossip(self.local_state, name, (self.table.bans[name],)),
                )
            )
        return orders

    def _handle_local_ban(self, now: float, banned: bool) -> None:
        if self.state != "yielded":
            self.state = "barred" if banned else "joining"
            self.next_probe_at = self.next_reconnect_at = now
            self.probes.clear()

    def broadcast(self, broadcasts: tuple[Broadcast, ...]) -> list[Order]:
        """Facts that are soon worth nothing: straight to each other member of a small fleet, to
        some of a large.
        """
        others = self._other_live_members()
        recipients = (
            others if len(others) < SMALL_CLUSTER else self.rng.sample(others, SMALL_CLUSTER)
        )
        return (
            [
                Send(self.table.members[name].address, Gossip(self.local_state, name, broadcasts))
                for name in recipients
            ]
            if broadcasts
            else []
        )

    def is_reachable(self, name: str) -> bool:
        """Whether we and this member reach each other, by whatever way, as far as we know."""
        member_state = self.table.members.get(name)
        if name == self.self_id:
            return self.state in ("alive", "joining")
        live_members = (
            member_state is not None
            and member_state.state <= SUSPECTED
            and not self.table.is_banned(name)
        )
        return live_members and not self.peers[name].unresponsive
