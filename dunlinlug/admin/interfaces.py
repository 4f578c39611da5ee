"""Interfaces of a fleet member's parts that the administration endpoint uses."""

from collections.abc import Mapping
from typing import Protocol


class LeadershipAdmin(Protocol):
    """The state of the leader election, and an operator's changes to it."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /fleet`; `schemas.LeadershipStatus` declares its fields."""

    async def transfer_leadership(self, target: str) -> None:
        """Transfer leadership to another member. Raises ValueError with the reason if it fails."""

    def change_voter(self, member: str, add: bool) -> None:
        """Add or remove a voter. Raises ValueError with the reason if that is not possible."""


class MembershipAdmin(Protocol):
    """The membership of the fleet, and an operator's changes to it."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /members`; `schemas.MembershipStatus` declares its fields."""

    def set_banned(self, name: str, banned: bool) -> None:
        """Ban a member or lift its ban. Raises ValueError if the member is unknown."""


class OwnershipAdmin(Protocol):
    """The owners of the fleet's tasks, and an operator's changes to them."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /work`; `schemas.OwnershipStatus` declares its fields."""

    def move_task(self, task: str, target: str) -> None:
        """Move a task to another member. Raises ValueError with the reason if it fails."""


class OverrideCoordinator(Protocol):
    """Coordinates operator overrides across the fleet."""

    def require_ownership(self, traffic_class: str) -> None:
        """Raise ValueError if another manager owns the overrides of this traffic class."""

    def publish(self, traffic_class: str) -> None:
        """Replicate this manager's override to all members. Raises ValueError if that fails."""
