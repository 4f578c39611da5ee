"""What this manager does when it becomes leader or steps down, and the overrides it replicates.

Owns the tasks that run only while it leads.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.membership_callbacks import submit_partition_limits
from dunlinlug.ads.stored_endpoint_list import submit_stored_list
from dunlinlug.balance import Balancer
from dunlinlug.config import manager_config
from dunlinlug.decision.events import Endpoint, EndpointsUpdated, UpdateType
from dunlinlug.fleet.election.replicated_state import listed_workers
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.manager.order_validation import RecordingOrderValidation


class LeaderTasks:
    """Tasks that end when this manager steps down."""

    def __init__(self) -> None:
        self._scopes = set[trio.CancelScope]()

    async def run(self, task: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run one task until it ends, or until `cancel_all`."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            await task(*arguments)
        self._scopes.discard(scope)

    def cancel_all(self) -> None:
        """End all tasks that run."""
        for scope in self._scopes:
            scope.cancel()


class LeadershipCallbacks:
    """Implements `fleet.election.leadership.LeadershipHost` over a manager's components."""

    def __init__(
        self,
        components: ManagerComponents,
        overrides: OverrideRegistry | None,
        leader_tasks: LeaderTasks,
        start_task: Callable[..., None],
    ) -> None:
        self.components = components
        self.overrides = overrides
        self.leader_tasks = leader_tasks
        self.start_task = start_task
        self.membership: Membership | None = None
        self.discovery_mode = components.config.section(manager_config.DiscoveryConfig).mode

    def register_membership(self, membership: Membership) -> None:
        """Submit the partition limits of this membership whenever we become leader."""
        self.membership = membership

    def on_become_leader(self, starts_empty: bool) -> None:
        """Validate anew by what is installed, watch discovery, and go on from the replica's state.

        Args:
            starts_empty: Whether no state was inherited; then it is restored from the store.
        """
        if self.components.validation is not None:
            self._restore_validator(self.components.validation)
        if starts_empty:
            submit_stored_list(self.components)
            if self.overrides is not None:
                self.overrides.restore(trio.current_time(), self.components.store.overrides())
        if self.membership is not None:
            # Without this, the module would go by the limits of the previous leader.
            submit_partition_limits(self.components.loop, self.membership.partition_limits)
        self.components.endpoint_watcher.forget_list()
        if self.discovery_mode == "pushed":
            self.start_task(self.leader_tasks.run, self.components.endpoint_watcher.watch, True)
        elif not starts_empty:
            # The answer to what the previous leader's module asked for does not come to us.
            self.components.loop.submit(EndpointsUpdated(UpdateType.FAILED))

    def _restore_validator(self, validation: RecordingOrderValidation) -> None:
        """Replace the validator by one that knows the installed tables and the module's list."""
        components = self.components
        validator = components.make_validator(components.settings, validation.enforced)
        workers: list[Endpoint] = []
        if isinstance(components.loop.module, Balancer):
            workers = listed_workers(components.loop.module.state.fleet)
        validator.restore(
            components.loop.clock_offset + trio.current_time(),
            workers,
            {
                table_id: (table.weights, table.admissions)
                for table_id, table in components.installer.tables.items()
            },
            components.installer.ejected,
        )
        validation.replace_validator(validator)
        if self.overrides is not None:
            self.overrides.replace_validator(validator)

    def on_step_down(self) -> None:
        """End what only the leader does."""
        self.leader_tasks.cancel_all()

    def current_overrides(self) -> list[dict[str, Any]]:
        """Operator overrides in force, as plain records; none without an admin API."""
        if self.overrides is None:
            return []
        return self.overrides.to_plain()

    def replace_overrides(self, overrides: list[dict[str, Any]]) -> None:
        """Take the leader's overrides in place of ours."""
        if self.overrides is not None:
            self.overrides.replace_all(overrides)
