"""Encodes installed tables as xDS resources, in the delta and the state-of-the-world form.

The encoder holds only settings; tables, zones and ejections are arguments.
"""

from collections.abc import Collection, Mapping

from dunlinlug.decision.settings import TrafficClass
from dunlinlug.manager.installed_tables import InstalledTable
from dunlinlug.xds import encoding, names
from dunlinlug.xds import state_of_the_world as sotw

MIN_POLICY_WITH_TIMEOUT = 2  # lowest retry policy that retries a failure of any kind


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
        """Encode the ejections resource, which proxies apply to all of their tables."""
        return encoding.encode_ejections(ejected)

    def table(
        self, table: InstalledTable, zones: Mapping[str, str], ejected: Collection[str]
    ) -> encoding.EncodedResource:
        """Encode a table with its admitted fractions; `ejected` workers are marked as draining."""
        admitted_fractions = {
            self.traffic_classes[traffic_class].name: admitted_fraction
            for traffic_class, (_, admitted_fraction) in sorted(table.admissions.items())
        }
        return encoding.encode_table(table.name, table.weights, zones, admitted_fractions, ejected)

    def routes(
        self, table_by_class: Mapping[int, int], tables: Mapping[int, InstalledTable]
    ) -> encoding.EncodedResource:
        """Encode the route from each traffic class to its table, with the class's retry policy."""
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
    ) -> sotw.ResourcesByType:
        """Encode all resources of the four types for one client, with a cluster for each class.

        `assignments` are the class and table of all assignments so far. Earlier ones are included
        so that a cluster is not removed before the client has switched to the next one; requests
        sent in between would fail.
        """
        resources: sotw.ResourcesByType = {type_url: {} for type_url in sotw.TYPE_ORDER}
        for traffic_class, table_id in sorted(assignments):
            class_name = self.traffic_classes[traffic_class].name
            table = tables[table_id]
            cluster_name = names.cluster_name(table.name, class_name)
            admitted_fraction = table.admissions.get(traffic_class, (self.default_retry, 1.0))[1]
            if table_by_class.get(traffic_class) == table_id:
                listener = sotw.encode_listener(class_name)
                resources[names.LISTENERS_TYPE][class_name] = listener
                routes = sotw.encode_routes(class_name, cluster_name)
                resources[names.ROUTES_TYPE][class_name] = routes
            cluster = sotw.encode_cluster(cluster_name)
            resources[names.CLUSTERS_TYPE][cluster_name] = cluster
            resources[names.ENDPOINTS_TYPE][cluster_name] = sotw.encode_endpoints(
                cluster_name, table.weights, zones, admitted_fraction, ejected
            )
        return resources
