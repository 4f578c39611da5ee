"""Carries out the decision module's orders that are not for proxies."""

from collections.abc import Callable

from dunlinlug.ads.composition import ManagerComponents
from dunlinlug.ads.leadership_callbacks import LeaderTasks
from dunlinlug.decision.orders import CheckHealth, ListEndpoints, WatchEndpoints
from dunlinlug.fleet.ownership.shared_health_checks import HealthCheckCoordinator
from dunlinlug.manager.decision_loop import DecisionLoop


class OrderHandlers:
    """Starts a task for each order: a health check, or a watch or query of service discovery."""

    def __init__(
        self,
        components: ManagerComponents,
        shared_health_checks: HealthCheckCoordinator | None,
        leader_tasks: LeaderTasks,
        start_task: Callable[..., None],
    ) -> None:
        self.components = components
        self.shared_health_checks = shared_health_checks
        self.leader_tasks = leader_tasks
        self.start_task = start_task

    def register(self, loop: DecisionLoop) -> None:
        """Register the handlers with the decision loop."""
        loop.handle_orders(CheckHealth, self._check_health)
        loop.handle_orders(WatchEndpoints, self._watch_endpoints)
        loop.handle_orders(ListEndpoints, self._list_endpoints)

    def _check_health(self, order: CheckHealth) -> None:
        """Request one check for all members if they share health checks, else check here."""
        if self.shared_health_checks is not None:
            self.shared_health_checks.request(order.worker)
        else:
            self.start_task(self.components.health_checker.check, order.worker)

    def _watch_endpoints(self, _order: WatchEndpoints) -> None:
        self.start_task(self.leader_tasks.run, self.components.endpoint_watcher.watch, False)

    def _list_endpoints(self, _order: ListEndpoints) -> None:
        self.start_task(self.leader_tasks.run, self.components.endpoint_watcher.list_endpoints)
