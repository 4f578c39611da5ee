"""The membership protocol: messages and time in, messages and changes out.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2018), free of I/O, of
the clock and of sources of chance: the host passes in time, messages and a random generator, and
carries out the orders that come back. `docs/membership.md` weighs the protocol against others,
lists departures from the papers and says what is promised. The model checker
(`dunlinlug/fleet/membership/model.py`) explores the states of this very class.
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
from dunlinlug.fleet.membership.local_member import INACTIVE, Lifecycle, LocalMember
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
    """One member: what it remembers (`LocalMember`), and the entry points for its host.

    Host times are seconds of any clock; they may jump either way.
    """

    def __post_init__(self, start_epoch: int, address: Address) -> None:
        """Start as the only member known, and set the first synchronisation."""
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
        """Do all that is due."""
        clock.advance(self, host_time)
        orders = clock.detect_pause(self)
        if self.state in INACTIVE:
            self._rest()
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
            orders += dissemination.gossip_news(self)
        return orders

    def _rest(self) -> None:
        """Let no timer but one be due while we are no active member."""
        self.next_probe_at = self.now + self.probe_interval
        self.next_sync_at = self.now + self.probe_interval
        self.next_reconnect_at = inf
        self.next_gossip_at = inf

    def receive(self, host_time: float, message: Message) -> list[Order]:
        """Take one message."""
        clock.advance(self, host_time)
        sender = message.sender
        if message.target not in (self.self_id, UNKNOWN_NAME) or self.state == Lifecycle.LEFT:
            return []
        if self.table.is_banned(sender.name):
            return bans.receive_from_banned(self, message)
        if sender.name == self.self_id:
            return self._receive_from_namesake(message)
        known = self.table.members.get(sender.name)
        if known is not None and known.incarnation[0] > sender.incarnation[0]:
            return self._receive_from_earlier_start(message)
        orders = merging.merge_state(self, sender, "it says so itself")
        if sender.name not in self.peers or sender.name not in self.table.members:
            return orders  # there is no room for more members
        self._record_receipt(message)
        if self.state == Lifecycle.JOINING:
            self.state = Lifecycle.ALIVE
            orders.append(state_sync.request(self, sender.name))
        orders += dissemination.merge_gossip(self, message)
        if self.state not in INACTIVE:
            orders += self._handle_request(message)
        return orders

    def _receive_from_namesake(self, message: Message) -> list[Order]:
        """Another process has our name, or our own message came back."""
        if message.sender.incarnation == self.local_state.incarnation:
            return []
        return merging.merge_state(self, message.sender, "")

    def _receive_from_earlier_start(self, message: Message) -> list[Order]:
        """Point an earlier process of this name to the later one, and heed nothing else of it."""
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
        """What the kind of a message asks for, beside the gossip on it."""
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
        """Count an answer; a direct one is compared with our table and passed on if asked for."""
        orders: list[Order] = []
        if ack.subject == ack.sender.name:
            orders += state_sync.compare_digest(self, ack.sender.name, ack.digest)
            orders += indirect_probes.forward_ack(self, ack)
        failure_detection.handle_ack(self, ack)
        return orders

    def leave(self, host_time: float) -> list[Order]:
        """Say goodbye to all members; nothing is sent afterwards."""
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
        """Ban a member or let it in again. Raises ValueError for a name that is no known member."""
        clock.advance(self, host_time)
        return bans.set_banned(self, name, banned)

    def broadcast(self, broadcasts: tuple[Broadcast, ...]) -> list[Order]:
        """Send short-lived facts straight to the other members."""
        return dissemination.broadcast(self, broadcasts)

    def is_reachable(self, name: str) -> bool:
        """Whether this member and another reach each other, by whatever way."""
        return reachability.is_reachable(self, name)
