"""What the administration endpoint needs of the parts of a manager that runs among others."""

from collections.abc import Mapping
from typing import Protocol


class LeadershipAdmin(Protocol):
    """The election of a leader, as operators see and change it."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /fleet`; `schemas.LeadershipStatus` declares its fields."""

    async def transfer_leadership(self, target: str) -> None:
        """Let another member lead. Raises ValueError if it cannot, with the reason."""

    def change_voter(self, member: str, add: bool) -> None:
        """Add a voter or remove one. Raises ValueError if that is not possible, with the reason."""


class MembershipAdmin(Protocol):
    """The members that know each other, as operators see and change them."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /members`; `schemas.MembershipStatus` declares its fields."""

    def set_banned(self, name: str, banned: bool) -> None:
        """Ban a member or admit it again. Raises ValueError if it is unknown."""


class OwnershipAdmin(Protocol):
    """Who owns which task of the fleet, as operators see and change it."""

    def describe(self) -> Mapping[str, object]:
        """The answer to `GET /work`; `schemas.OwnershipStatus` declares its fields."""

    def move_task(self, task: str, target: str) -> None:
        """Let another member own a task. Raises ValueError if it cannot, with the reason."""


class OverrideCoordinator(Protocol):
    """Operator overrides that hold for the whole fleet."""

    def require_ownership(self, traffic_class: str) -> None:
        """Raises ValueError if another manager decides on overrides of this traffic class."""

    def publish(self, traffic_class: str) -> None:
        """Give all members the override as it is here. Raises ValueError if that fails."""
