"""Fixtures for the tests of ownership."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.fleet.ownership.members import OwnershipMembers, running_members


@pytest.fixture
async def three_members(tmp_path: Path) -> AsyncIterator[OwnershipMembers]:
    """Members a, b and c, which together hold all shards."""
    async with running_members(tmp_path, "abc") as members:
        yield members


@pytest.fixture
async def five_members(tmp_path: Path) -> AsyncIterator[OwnershipMembers]:
    """Members a to e, which together hold all shards."""
    async with running_members(tmp_path, "abcde") as members:
        yield members
