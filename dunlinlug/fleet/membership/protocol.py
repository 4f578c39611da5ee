"""The membership protocol: takes messages and time, returns messages and changes.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018), free of I/O, clocks
and sources of randomness: the host passes in time, messages and a random number generator, and
executes the returned orders. `docs/membership.md` compares the protocol with others, lists its
departures from the papers and states its guarantees. The model checker
(`dunlinlug/fleet/membership/model.py`) explores the states of this class itself.
"""

from math import inf

from dunlinlug.fleet.membership import (
    bans,
    clock,
    dissemination,
    failure_detection,
    indirect_probes,
    merging,
    reachability,
    reconnects,
    state_sync,
    suspicions,
)
from dunlinlug.fleet.membership.local_member import INACTIVE_STATES, Lifecycle, LocalMember
from dunlinlug.fleet.membership.messages import (
    LEFT,
    UNKNOWN_NAME,
    Ack,
    Address,
    Broadcast,
    Gossip,
    Message,
    Nack,
    Order,
    Ping,
    PingRequest,
    Send,
    StateSync,
)


class MembershipProtocol(LocalMember):
    """One member: its state (`LocalMember`), and the entry points for its host.

    Host times are seconds of any clock, which may jump in either direction.
    """

    def __post_init__(self, start_epoch: int, address: Address) -> None:
        """Start with no other member known, and schedule the first synchronisation."""
        super().__post_init__(start_epoch, address)
        state_sync.schedule_first(self)

    def next_deadline(self) -> float:
        """Host time at which `tick` is due."""
        deadlines = [self.next_probe_at, self.next_reconnect_at]
        deadlines += [self.next_gossip_at, self.next_sync_at]
        for probe in self.probes.values():
            deadlines += [probe.deadline, probe.indirect_at]
        deadlines += [each.deadline for each in self.indirect_probes.values()]
        deadlines += [suspicions.deadline(self, name) for name in self.suspicions]
        self.next_due_at = min(deadlines)
        return self.next_due_at - self.clock_offset

    def tick(self, host_time: float) -> list[Order]:
        """Run all timers that are due."""
        clock.advance(self, host_time)
        orders = clock.detect_pause(self)
        if self.state in INACTIVE_STATES:
            self._suspend_timers()
            return orders
        orders += failure_detection.handle_timeouts(self)
        orders += indirect_probes.expire(self)
        orders += failure_detection.expire_suspicions(self)
        if self.next_probe_at <= self.now:
            orders += failure_detection.run_probe_interval(self)
        if self.next_reconnect_at <= self.now:
            orders += reconnects.run_periodic(self)
        if self.next_sync_at <= self.now:
            orders += state_sync.run_periodic(self)
        if self.next_gossip_at <= self.now:
            orders += dissemination.send_new_gossip(self)
        return orders

    def _suspend_timers(self) -> None:
        """Reduce the timers to one per probe interval while this member is inactive."""
        self.next_probe_at = self.now + self.probe_interval
        self.next_sync_at = self.now + self.probe_interval
        self.next_reconnect_at = inf
        self.next_gossip_at = inf

    def receive(self, host_time: float, message: Message) -> list[Order]:
        """Handle one message."""
        clock.advance(self, host_time)
        sender = message.sender
        if message.target not in (self.self_id, UNKNOWN_NAME) or self.state == Lifecycle.LEFT:
            return []
        if self.table.is_banned(sender.name):
            return bans.receive_from_banned(self, message)
        if sender.name == self.self_id:
            return self._receive_with_own_name(message)
        known = self.table.members.get(sender.name)
        if known is not None and known.incarnation[0] > sender.incarnation[0]:
            return self._receive_from_earlier_start(message)
        orders = merging.merge_state(self, sender, "reported by itself")
        if sender.name not in self.peers or sender.name not in self.table.members:
            return orders  # the table is full
        self._record_receipt(message)
        if self.state == Lifecycle.JOINING:
            self.state = Lifecycle.ALIVE
            orders.append(state_sync.request(self, sender.name))
        orders += dissemination.merge_gossip(self, message)
        if self.state not in INACTIVE_STATES:
            orders += self._handle_request(message)
        return orders

    def _receive_with_own_name(self, message: Message) -> list[Order]:
        """Handle a message from another process with this member's name, or one of its own."""
        if message.sender.incarnation == self.local_state.incarnation:
            return []
        return merging.merge_state(self, message.sender, "")

    def _receive_from_earlier_start(self, message: Message) -> list[Order]:
        """Inform an earlier process of this name of the later one, and ignore its message."""
        sender = message.sender
        if not isinstance(message, Ping):
            return []
        known = self.table.members[sender.name]
        return [Send(sender.address, Gossip(self.local_state, sender.name, (known,)))]

    def _record_receipt(self, message: Message) -> None:
        sender = message.sender
        self.last_received_at = self.now
        if sender.precedence() >= self.table.members[sender.name].precedence():
            self.peers[sender.name].last_received_at = self.now

    def _handle_request(self, message: Message) -> list[Order]:
        """Handle what a message requests or answers, apart from its gossip."""
        sender_name = message.sender.name
        match message:
            case Ping():
                ack = indirect_probes.answer_ping(self, message)
                return [ack, *state_sync.compare_digest(self, sender_name, message.digest)]
            case Ack():
                return self._handle_ack(message)
            case PingRequest():
                return indirect_probes.handle_request(self, message)
            case Nack():
                failure_detection.handle_nack(self, message)
                return []
            case StateSync():
                return state_sync.answer(self, message)
            case Gossip():
                return []

    def _handle_ack(self, ack: Ack) -> list[Order]:
        """Handle an ack; compare the digest of a direct one, and forward it if it was requested."""
        orders: list[Order] = []
        if ack.subject == ack.sender.name:
            orders += state_sync.compare_digest(self, ack.sender.name, ack.digest)
            orders += indirect_probes.forward_ack(self, ack)
        failure_detection.handle_ack(self, ack)
        return orders

    def leave(self, host_time: float) -> list[Order]:
        """Announce this member's departure to all others; nothing is sent afterwards."""
        clock.advance(self, host_time)
        if self.state in (Lifecycle.LEFT, Lifecycle.SUPERSEDED):
            return []
        self.set_local_state(self.local_state.incarnation, LEFT)
        self.state = Lifecycle.LEFT
        self.probes.clear()
        self.suspicions.clear()
        self.indirect_probes.clear()
        return [
            self.send(name, Gossip(self.local_state, name, (self.local_state,)))
            for name in self.other_live_members()
        ]

    def set_banned(self, host_time: float, name: str, banned: bool) -> list[Order]:
        """Ban a member or end its ban. Raises ValueError if the name is not a known member."""
        clock.advance(self, host_time)
        return bans.set_banned(self, name, banned)

    def broadcast(self, broadcasts: tuple[Broadcast, ...]) -> list[Order]:
        """Send short-lived data directly to the other members."""
        return dissemination.broadcast(self, broadcasts)

    def is_reachable(self, name: str) -> bool:
        """Whether this member and another reach each other, directly or through others."""
        return reachability.is_reachable(self, name)
