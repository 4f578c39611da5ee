"""Builds the fleet components of a manager: leadership, membership, ownership of shards.

Unlike the components in `composition`, these read the event loop's clock when they are created, so
they are built once the event loop runs.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from dunlinlug.admin.api import AdminApi
from dunlinlug.admin.override_registry import OverrideRegistry, OverrideRejectedError
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.leadership_callbacks import LeadershipCallbacks, LeaderTasks
from dunlinlug.ads.membership_callbacks import MembershipCallbacks
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigFile
from dunlinlug.fleet.election.leadership import Leadership
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.fleet.ownership.options import LeaseTiming
from dunlinlug.fleet.ownership.service import Ownership, OwnershipConfig
from dunlinlug.fleet.ownership.shared_health_checks import HealthCheckCoordinator
from dunlinlug.fleet.ownership.shared_overrides import SharedOverrides
from dunlinlug.fleet.shared_keys import read_keys
from dunlinlug.guard import OverrideError


@dataclass(frozen=True)
class FleetKeys:
    """Keys that members seal messages with, newest first; empty for a component that is unused."""

    election: list[bytes]
    membership: list[bytes]


@dataclass(frozen=True)
class FleetComponents:
    """A manager's fleet components; each is None if the configuration has no section for it.

    Attributes:
        shared_health_checks: Present exactly if `ownership` is.
        shared_overrides: None if there is a `leadership`, which replicates overrides itself.
    """

    leadership: Leadership | None = None
    membership: Membership | None = None
    ownership: Ownership | None = None
    shared_health_checks: HealthCheckCoordinator | None = None
    shared_overrides: SharedOverrides | None = None


def read_fleet_keys(config: ConfigFile) -> FleetKeys:
    """Read the key files that the configuration names.

    Raises:
        KeyFileError: A key file cannot be used.
    """
    election = config.section(manager_config.ElectionConfig)
    election_keys = read_keys(Path(election.key_file)) if election.member else []
    membership_keys: list[bytes] = []
    if config.section(manager_config.MembershipConfig).me:
        membership_keys = read_keys(Path(manager_config.member_key_file(config)))
    return FleetKeys(election_keys, membership_keys)


class FleetBuilder:
    """Builds a manager's fleet components and registers them with each other."""

    def __init__(
        self,
        components: ManagerComponents,
        keys: FleetKeys,
        admin_api: AdminApi | None,
        leader_tasks: LeaderTasks,
        start_task: Callable[..., None],
    ) -> None:
        self.components = components
        self.keys = keys
        self.overrides: OverrideRegistry | None = None
        if admin_api is not None:
            self.overrides = admin_api.overrides
        self.start_task = start_task
        self.leadership_callbacks = LeadershipCallbacks(
            components, self.overrides, leader_tasks, start_task
        )
        self.seed = components.config.section(manager_config.ServerConfig).seed

    def build(self) -> FleetComponents:
        """Build the configured components without starting them."""
        leadership = None
        if self.components.config.section(manager_config.ElectionConfig).member:
            leadership = self._create_leadership()
        if not self.components.config.section(manager_config.MembershipConfig).me:
            return FleetComponents(leadership)
        membership = self._create_membership(leadership)
        ownership = self._create_ownership()
        self._share_port(membership, leadership, ownership)
        membership.register_host(
            MembershipCallbacks(self.components, membership, leadership, ownership)
        )
        if ownership is None:
            return FleetComponents(leadership, membership)
        shared_overrides = None
        if leadership is None:
            shared_overrides = self._create_shared_overrides(ownership)
        return FleetComponents(
            leadership,
            membership,
            ownership,
            self._create_shared_health_checks(ownership),
            shared_overrides,
        )

    def _create_leadership(self) -> Leadership:
        """Create the leader election component; its timeouts start now."""
        config = self.components.config
        election = config.section(manager_config.ElectionConfig)
        members = config.sections(manager_config.MemberConfig)
        timing = {
            "lease": election.lease,
            "heartbeat_interval": election.beat,
            "drift": election.drift,
            "recovery_timeout": election.forgets,
        }
        leadership = Leadership(
            election.member,
            {name: member.peers for name, member in members.items()},
            self.keys.election,
            timing,
            election.first,
            self.components.store,
            self.components.settings,
            self.components.loop,
            self.components.installer,
            self.components.service,
            Random(f"{self.seed} {election.member}"),
            self.components.log_event,
        )
        leadership.register_host(self.leadership_callbacks)
        self.components.delivery.require_lease(leadership)
        return leadership

    def _create_membership(self, leadership: Leadership | None) -> Membership:
        """Create the membership component.

        Its voters are those of the election if there is one, else all configured members.
        """
        config = self.components.config.section(manager_config.MembershipConfig)
        addresses = self._membership_addresses()

        def voters() -> tuple[str, ...]:
            if leadership is not None:
                return leadership.protocol.voter_set.members
            return tuple(addresses)

        membership = Membership(
            config.me,
            self.components.epoch,
            addresses,
            self.keys.membership,
            config.beat,
            Random(f"{self.seed} members {config.me}"),
            self.components.log_event,
            voters,
            bind_address=config.binds if config.binds[1] else None,
        )
        self.leadership_callbacks.register_membership(membership)
        self.components.service.register_report_observer(membership.record_reports)
        return membership

    def _membership_addresses(self) -> dict[str, tuple[str, int]]:
        members = self.components.config.sections(manager_config.MemberConfig)
        return {name: member.knows for name, member in members.items()}

    def _create_ownership(self) -> Ownership | None:
        """Create the ownership component for fleet-wide work; returns None if it is disabled."""
        config = self.components.config.section(manager_config.LeaseConfig)
        if not config.on:
            return None
        self_id = self.components.config.section(manager_config.MembershipConfig).me
        timing = LeaseTiming(config.lease, config.beat, config.drift, config.forgets)
        return Ownership(
            OwnershipConfig(self_id, self._membership_addresses(), self.keys.membership, timing),
            self.components.store,
            Random(f"{self.seed} owners {self_id} {self.components.epoch}"),
            self.components.log_event,
        )

    @staticmethod
    def _share_port(
        membership: Membership, leadership: Leadership | None, ownership: Ownership | None
    ) -> None:
        """Make leadership and ownership use the membership's port and its member addresses."""
        for service in (leadership, ownership):
            if service is None:
                continue
            transport = service.transport
            transport.register_membership_addresses(membership.address_of)
            membership.transport.register_connection_handler(
                transport.preface_tag, transport.accept_shared
            )

    def _create_shared_health_checks(self, ownership: Ownership) -> HealthCheckCoordinator:
        health_checker = self.components.health_checker
        coordinator = HealthCheckCoordinator(
            ownership,
            health_checker.timeout,
            health_checker.check,
            self.components.loop.submit,
            self.start_task,
        )
        health_checker.register_result_handler(coordinator.check_completed)
        return coordinator

    def _create_shared_overrides(self, ownership: Ownership) -> SharedOverrides | None:
        """Create the overrides that all members share; returns None without an admin API."""
        if self.overrides is None:
            return None
        return SharedOverrides(
            ownership,
            self.overrides,
            (OverrideError, OverrideRejectedError),
            self.components.log_event,
            time.time,
        )
