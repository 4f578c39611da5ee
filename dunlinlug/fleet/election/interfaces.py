"""Interfaces that the leadership service requires of the rest of the manager."""

from collections.abc import Callable
from typing import Any, Protocol

import trio

from dunlinlug.fleet.election.replicated_state import OverrideRecord
from dunlinlug.manager.installed_tables import InstalledTable


class ReplicableState(Protocol):
    """The installed tables and related state, which are replicated to followers."""

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
        """Replaces all of this state with the leader's."""


class ProxyService(Protocol):
    """The service that proxies connect to.

    Attributes:
        control_plane_id: Identifies this member and its term to proxies.
        term: The term in which we lead.
        leading: Set while we lead; calls from proxies wait for it.
        proxy_numbers: Numbers of the proxies that connected last, by name.
        new_proxy_numbers: Those of them that are not in a replicated batch yet.
        sessions: Sessions of the connected proxies, by number.
    """

    control_plane_id: str
    term: int
    leading: trio.Event
    proxy_numbers: dict[str, int]
    new_proxy_numbers: dict[str, int]
    sessions: dict[int, Any]

    def close_streams(self, reason: str) -> None:
        """Ends all streams to proxies; later calls wait until we lead."""

    def register_term_observer(self, on_higher_term: Callable[[int], None]) -> None:
        """Calls `on_higher_term` with each term above ours that a proxy reports."""


class LeadershipHost(Protocol):
    """Callbacks into the manager on role changes, and access to the overrides to replicate."""

    def on_become_leader(self, starts_empty: bool) -> None:
        """Called when we become leader; `starts_empty` is true if we had no replicated state."""

    def on_step_down(self) -> None:
        """Called when we stop being leader."""

    def current_overrides(self) -> list[OverrideRecord]:
        """Returns the operator overrides in force, as plain records."""

    def replace_overrides(self, overrides: list[OverrideRecord]) -> None:
        """Replaces all our overrides with the leader's."""
