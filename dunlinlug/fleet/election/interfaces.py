"""What the election's service needs of the manager around it."""

from collections.abc import Callable
from typing import Any, Protocol

import trio

from dunlinlug.fleet.election.replicated_state import OverrideRecord
from dunlinlug.manager.installed_tables import InstalledTable


class ReplicableState(Protocol):
    """The installed tables and what goes with them, which followers are given a copy of."""

    epoch: int
    tables: dict[int, InstalledTable]
    ejected: set[str]
    zones: dict[str, str]

    def restore(
        self,
        epoch: int,
        tables: dict[int, InstalledTable],
        ejected: set[str],
        zones: dict[str, str],
    ) -> None:
        """Replaces all of it by a leader's."""


class ProxyService(Protocol):
    """The service that proxies connect to.

    Attributes:
        control_plane_id: Names us and our term to proxies.
        term: The term in which we lead.
        leading: Set while we lead; calls of proxies wait for it.
        proxy_numbers: Numbers of all proxies ever seen, by name.
        new_proxy_numbers: Those of them that no replicated batch has had yet.
        sessions: Sessions of the proxies that are connected, by number.
    """

    control_plane_id: str
    term: int
    leading: trio.Event
    proxy_numbers: dict[str, int]
    new_proxy_numbers: dict[str, int]
    sessions: dict[int, Any]

    def close_streams(self, reason: str) -> None:
        """Ends all streams of proxies and lets later calls wait until we lead."""

    def register_term_observer(self, on_higher_term: Callable[[int], None]) -> None:
        """Calls this with each term that a proxy has seen and that is higher than ours."""


class LeadershipHost(Protocol):
    """What the manager around its leadership does as leader, and the overrides it replicates."""

    def on_become_leader(self, starts_empty: bool) -> None:
        """We lead now; `starts_empty` is true if no state was inherited."""

    def on_step_down(self) -> None:
        """We lead no longer."""

    def current_overrides(self) -> list[OverrideRecord]:
        """Operator overrides in force, as plain records."""

    def replace_overrides(self, overrides: list[OverrideRecord]) -> None:
        """Takes the overrides of the leader in place of all of ours."""
