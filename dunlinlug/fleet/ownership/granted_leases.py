"""Leases that this member, as the coordinator, has granted to others in its current term."""

from math import inf
from typing import NamedTuple

from dunlinlug.fleet.election.protocol import ElectionProtocol
from dunlinlug.fleet.ownership.messages import LeaseGranted, RenewLease


class Renewal(NamedTuple):
    """The times of a member's lease renewal; renewals compare by `sent_at` first."""

    sent_at: float  # seconds on the member's clock
    received_at: float  # seconds on this member's clock


class GrantedLeases:
    """Records granted leases.

    Attributes:
        granted_until: By member, the latest time at which a granted lease can end, in seconds on
            this member's clock.
        last_renewals: The last renewal by member.
        incarnations: The current incarnation by member.
    """

    def __init__(self) -> None:
        self.granted_until: dict[str, float] = {}
        self.last_renewals: dict[str, Renewal] = {}
        self.incarnations: dict[str, int] = {}

    def clone(self) -> "GrantedLeases":
        """Returns an independent copy."""
        duplicate = GrantedLeases()
        duplicate.granted_until = dict(self.granted_until)
        duplicate.last_renewals = dict(self.last_renewals)
        duplicate.incarnations = dict(self.incarnations)
        return duplicate

    def may_hold(self, member: str, now: float) -> bool:
        """Returns whether a lease granted to the member may still be valid."""
        return self.granted_until.get(member, -inf) > now

    def record_renewal(self, now: float, renewal: RenewLease) -> None:
        """Records a renewal unless one that was sent later is already recorded."""
        received = Renewal(renewal.sent_at, now)
        previous = self.last_renewals.get(renewal.sender, Renewal(-inf, now))
        self.last_renewals[renewal.sender] = max(previous, received)

    def record_early_renewal(self, now: float, renewal: RenewLease) -> None:
        """Records a renewal from before leases can be granted.

        Until then the first incarnation of a member that renews is the only one accepted.
        """
        incarnation = self.incarnations.setdefault(renewal.sender, renewal.incarnation)
        if incarnation == renewal.incarnation:
            self.record_renewal(now, renewal)

    def record_incarnation(self, member: str, incarnation: int) -> None:
        """Records a member's incarnation.

        The last renewal of an earlier incarnation is discarded, as its clock may have differed.
        """
        if self.incarnations.get(member, incarnation) != incarnation:
            self.last_renewals.pop(member, None)
        self.incarnations[member] = incarnation

    def grant(self, now: float, member: str, log: ElectionProtocol) -> LeaseGranted:
        """Grants a lease that ends no later than this member's own lease as the log's leader.

        A successor relies on that limit. The duration counts from the member's last renewal: leases
        are granted again with each committed entry, and counting from the current time would extend
        the lease of a member that has died, which would keep its shards.
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
