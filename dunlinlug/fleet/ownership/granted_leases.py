"""What this member, as the coordinator, has granted to others in its term."""

from math import inf
from typing import NamedTuple

from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.ownership.messages import LeaseGranted, RenewLease


class Renewal(NamedTuple):
    """When a member asked for its lease last; compared by the time it was sent first."""

    sent_at: float  # seconds on the member's clock
    received_at: float  # seconds on ours


class GrantedLeases:
    """By member: until when its lease may last, its latest renewal, and its incarnation."""

    def __init__(self) -> None:
        self.granted_until: dict[str, float] = {}  # seconds on our clock
        self.last_renewals: dict[str, Renewal] = {}
        self.incarnations: dict[str, int] = {}

    def clone(self) -> "GrantedLeases":
        """An independent copy."""
        duplicate = GrantedLeases()
        duplicate.granted_until = dict(self.granted_until)
        duplicate.last_renewals = dict(self.last_renewals)
        duplicate.incarnations = dict(self.incarnations)
        return duplicate

    def may_hold(self, member: str, now: float) -> bool:
        """Whether a lease that we granted may last."""
        return self.granted_until.get(member, -inf) > now

    def record_renewal(self, now: float, renewal: RenewLease) -> None:
        """Remember the renewal, unless a later one came before it."""
        renewed = Renewal(renewal.sent_at, now)
        previous = self.last_renewals.get(renewal.sender, Renewal(-inf, now))
        self.last_renewals[renewal.sender] = max(previous, renewed)

    def record_early_renewal(self, now: float, renewal: RenewLease) -> None:
        """The same before we may grant anything; the first incarnation that asks is the one."""
        incarnation = self.incarnations.setdefault(renewal.sender, renewal.incarnation)
        if incarnation == renewal.incarnation:
            self.record_renewal(now, renewal)

    def record_incarnation(self, member: str, incarnation: int) -> None:
        """A member's incarnation; the clock of an earlier one may have been another."""
        if self.incarnations.get(member, incarnation) != incarnation:
            self.last_renewals.pop(member, None)
        self.incarnations[member] = incarnation

    def grant(self, now: float, member: str, log: ElectionProtocol) -> LeaseGranted:
        """A lease that never outlasts our own as the log's leader: our successor counts on that.

        It counts from when the member asked. Counted from now, a lease that is granted again, as
        another entry is committed, would keep the shards of a dead member for it.
        """
        renewal = self.last_renewals[member]
        duration = log.lease_end(now) - now
        until = renewal.received_at + duration
        self.granted_until[member] = max(self.granted_until.get(member, -inf), until)
        return LeaseGranted(
            log.term,
            log.self_id,
            renewal.sent_at,
            duration,
            log.position,
            log.committed,
            self.incarnations[member],
        )
