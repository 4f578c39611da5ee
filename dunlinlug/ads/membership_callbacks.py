"""Callbacks of the membership: load and endpoint list of this manager, and changes of members."""

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
    """Notify the decision module of its limits on this side of a network partition."""
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
        """Submit an event to the decision module."""
        self.components.loop.submit(event)

    def listed_workers(self) -> Mapping[str, Endpoint] | None:
        """Return the last endpoint list from service discovery; None before the first."""
        return self.components.endpoint_watcher.last_list

    def current_load(self) -> ManagerLoad:
        """Return this manager's load, with the CPU fraction since the previous call."""
        return self.load_meter.measure()

    def on_partition_change(
        self,
        status: PartitionStatus,  # noqa: ARG002 - the module needs only the limits
        limits: PartitionLimits,
    ) -> None:
        """Notify the decision module of the new limits."""
        submit_partition_limits(self.components.loop, limits)

    def on_member_change(self, change: MemberStateChanged) -> None:
        """Notify the leader election of a failure, and the shard ownership of any change."""
        has_failed = change.after == "failed"
        reachable = self.membership.reachable_voters()
        if self.leadership is not None and has_failed:
            self.leadership.member_failure_detected(change.name, reachable)
        if self.ownership is not None:
            self.ownership.member_status_changed(change.name, has_failed, reachable)
