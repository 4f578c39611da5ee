"""What this manager provides to its membership, and what it does when members change."""

from collections.abc import Mapping

from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.load_meter import LoadMeter
from dunlinlug.decision.events import Endpoint, Event, PartitionLimitsChanged
from dunlinlug.fleet.election.leadership import Leadership
from dunlinlug.fleet.membership.load import ManagerLoad
from dunlinlug.fleet.membership.messages import MemberStateChanged
from dunlinlug.fleet.membership.partition import PartitionLimits, PartitionStatus
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.ownership.service import Ownership
from dunlinlug.manager.decision_loop import DecisionLoop


def submit_partition_limits(loop: DecisionLoop, limits: PartitionLimits) -> None:
    """Notify the decision module of what it may do on this side of a partition."""
    loop.submit(
        PartitionLimitsChanged(
            limits.max_ejected_fraction, limits.may_start_changes, limits.may_ramp_up
        )
    )


class MembershipCallbacks:
    """Implements `fleet.membership.service.MembershipHost` over a manager's components."""

    def __init__(
        self,
        components: ManagerComponents,
        membership: Membership,
        leadership: Leadership | None,
        ownership: Ownership | None,
    ) -> None:
        self.components = components
        self.membership = membership
        self.leadership = leadership
        self.ownership = ownership
        self.load_meter = LoadMeter(components)

    def submit_event(self, event: Event) -> None:
        """Take an event for the decision module."""
        self.components.loop.submit(event)

    def listed_workers(self) -> Mapping[str, Endpoint] | None:
        """The endpoint list as service discovery gave it here; None before the first."""
        return self.components.endpoint_watcher.last_list

    def current_load(self) -> ManagerLoad:
        """The load of this manager, with the processor's fraction since the last call."""
        return self.load_meter.measure()

    def on_partition_change(
        self,
        status: PartitionStatus,  # noqa: ARG002 - the module needs the limits alone
        limits: PartitionLimits,
    ) -> None:
        """Notify the decision module of its new limits."""
        submit_partition_limits(self.components.loop, limits)

    def on_member_change(self, change: MemberStateChanged) -> None:
        """Let the election and the ownership of shards react to a member's new state."""
        has_failed = change.after == "failed"
        reachable = self.membership.reachable_voters()
        if self.leadership is not None and has_failed:
            self.leadership.member_failure_detected(change.name, reachable)
        if self.ownership is not None:
            self.ownership.member_status_changed(change.name, has_failed, reachable)
