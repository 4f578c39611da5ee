"""Callbacks of the leader election: becoming leader, stepping down, replicating overrides.

Owns the tasks that run only while this manager is the leader.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from dunlinlug.admin.override_registry import OverrideRegistry
from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.membership_callbacks import submit_partition_limits
from dunlinlug.ads.stored_endpoint_list import submit_stored_list
from dunlinlug.ads.stored_overrides import restore_stored_overrides
from dunlinlug.balance import Balancer
from dunlinlug.config import manager_config
from dunlinlug.decision.events import Endpoint, EndpointsUpdated, UpdateType
from dunlinlug.fleet.election.replicated_state import listed_workers
from dunlinlug.fleet.membership.service import Membership
from dunlinlug.manager.order_validation import RecordingOrderValidation


class LeaderTasks:
    """Tasks that are cancelled when this manager steps down."""

    def __init__(self) -> None:
        self._scopes = set[trio.CancelScope]()

    async def run(self, task: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run one task until it ends or `cancel_all` is called."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            await task(*arguments)
        self._scopes.discard(scope)

    def cancel_all(self) -> None:
        """Cancel all running tasks."""
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
        """Submit the partition limits of this membership whenever this manager becomes leader."""
        self.membership = membership

    def on_become_leader(self, starts_empty: bool) -> None:
        """Reset the validator, watch service discovery, and continue with the replicated state.

        Args:
            starts_empty: Whether no state was replicated; it is then restored from the store.
        """
        if self.components.validation is not None:
            self._restore_validator(self.components.validation)
        self.components.loop.submit_unreported_rejections()
        if starts_empty:
            submit_stored_list(self.components)
            if self.overrides is not None:
                restore_stored_overrides(self.components, self.overrides)
        if self.membership is not None:
            # The module's state may still have the partition limits of the previous leader.
            submit_partition_limits(self.components.loop, self.membership.partition_limits)
        self.components.endpoint_watcher.forget_list()
        if self.discovery_mode == "pushed":
            self.start_task(self.leader_tasks.run, self.components.endpoint_watcher.watch, True)
        elif not starts_empty:
            # The previous leader's discovery query will not be answered here, so report it failed.
            self.components.loop.submit(EndpointsUpdated(UpdateType.FAILED))

    def _restore_validator(self, validation: RecordingOrderValidation) -> None:
        """Replace the validator by one with the installed tables and the module's endpoint list."""
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
        """Cancel the tasks that only the leader runs."""
        self.leader_tasks.cancel_all()

    def current_overrides(self) -> list[dict[str, Any]]:
        """Return the active operator overrides as plain records; empty without an admin API."""
        if self.overrides is None:
            return []
        return self.overrides.to_plain()

    def replace_overrides(self, overrides: list[dict[str, Any]]) -> None:
        """Replace this manager's overrides with those of the leader."""
        if self.overrides is not None:
            self.overrides.replace_all(overrides)
