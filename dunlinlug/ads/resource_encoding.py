"""Encodes installed tables as xDS resources, in the delta and the state-of-the-world form.

Holds only what is fixed by the settings; tables, zones and ejections are arguments.
"""

from collections.abc import Collection, Mapping

from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.installed_tables import InstalledTable
from dunlinlug.xds import encoding, names
from dunlinlug.xds import state_of_the_world as full

MIN_POLICY_WITH_TIMEOUT = 2  # least retry policy after which a failure of any kind may be retried


class ResourceEncoder:
    """Encodes resources for one set of traffic classes; arguments as in `XdsTableInstaller`."""

    def __init__(
        self,
        traffic_classes: tuple[TrafficClass, ...],
        default_retry: int,
        attempt_timeout_factor: float,
    ) -> None:
        self.traffic_classes = traffic_classes
        self.default_retry = default_retry
        self.attempt_timeout_factor = attempt_timeout_factor

    def ejections(self, ejected: Collection[str]) -> encoding.EncodedResource:
        """The ejections resource, which proxies lay over all of their tables."""
        return encoding.encode_ejections(ejected)

    def table(
        self, table: InstalledTable, zones: Mapping[str, str], ejected: Collection[str]
    ) -> encoding.EncodedResource:
        """A table with its admitted fractions; `ejected` workers are marked as such in it."""
        admitted_fractions = {
            self.traffic_classes[traffic_class].name: admitted_fraction
            for traffic_class, (_, admitted_fraction) in sorted(table.admissions.items())
        }
        return encoding.encode_table(table.name, table.weights, zones, admitted_fractions, ejected)

    def routes(
        self, table_by_class: Mapping[int, int], tables: Mapping[int, InstalledTable]
    ) -> encoding.EncodedResource:
        """Routes from each traffic class to its table, with the class's retry policy."""
        return encoding.encode_routes(
            tuple(
                encoding.Route(
                    self.traffic_classes[traffic_class].name,
                    tables[table_id].name,
                    self._retry_policy(traffic_class, tables[table_id]),
                )
                for traffic_class, table_id in sorted(table_by_class.items())
            )
        )

    def _retry_policy(self, traffic_class: int, table: InstalledTable) -> encoding.RetryPolicy:
        mode = table.admissions.get(traffic_class, (self.default_retry, 1.0))[0]
        attempt_timeout = 0.0
        if mode >= MIN_POLICY_WITH_TIMEOUT:
            objective = self.traffic_classes[traffic_class].latency_objective
            attempt_timeout = objective * self.attempt_timeout_factor
        return encoding.RetryPolicy(mode, attempt_timeout)

    def state_of_the_world(
        self,
        table_by_class: Mapping[int, int],
        assignments: Collection[tuple[int, int]],
        tables: Mapping[int, InstalledTable],
        zones: Mapping[str, str],
        ejected: Collection[str],
    ) -> full.ResourcesByType:
        """All resources of the four types for one client; each class's table has its own name.

        `assignments` are the class and table of all tables assigned so far. Without those before
        the current ones, a cluster would be removed before the client has gone over to the next,
        and all requests sent meanwhile would fail.
        """
        resources: full.ResourcesByType = {kind: {} for kind in full.TYPE_ORDER}
        for traffic_class, table_id in sorted(assignments):
            class_name = self.traffic_classes[traffic_class].name
            table = tables[table_id]
            cluster_name = names.cluster_name(table.name, class_name)
            admitted_fraction = table.admissions.get(traffic_class, (self.default_retry, 1.0))[1]
            if table_by_class.get(traffic_class) == table_id:
                listener = full.encode_listener(class_name)
                resources[names.LISTENERS_TYPE][class_name] = listener
                routes = full.encode_routes(class_name, cluster_name)
                resources[names.ROUTES_TYPE][class_name] = routes
            cluster = full.encode_cluster(cluster_name)
            resources[names.CLUSTERS_TYPE][cluster_name] = cluster
            resources[names.ENDPOINTS_TYPE][cluster_name] = full.encode_endpoints(
                cluster_name, table.weights, zones, admitted_fraction, ejected
            )
        return resources
