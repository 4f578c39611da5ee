"""A manager's view as shown to operators and programs: `fleet show` and the admin endpoint.

The JSON keys are an external interface; each is declared at its field.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec
from msgspec import field

from dunlinlug.fleet.membership import partition
from dunlinlug.fleet.membership.list_digests import ListDigests
from dunlinlug.fleet.membership.load import ManagerLoads
from dunlinlug.fleet.membership.local_member import Lifecycle
from dunlinlug.fleet.membership.messages import STATE_NAMES, MemberStateChanged
from dunlinlug.fleet.membership.protocol import MembershipProtocol


class MemberStatus(msgspec.Struct, frozen=True):
    """A member in the local view; `sees` gives the members that it reaches by its own report."""

    name: str = field(name="member")
    start_epoch: int = field(name="start")
    refutations: int = field(name="word")
    state: str
    address: str = field(name="place")
    reachable: bool = field(name="touch")
    sees: dict[str, str]
    connection: str = field(name="between")


class LoadStatus(msgspec.Struct, frozen=True):
    """A manager's load, rounded; `channel` and `processor` are utilisations, 0 to 1."""

    proxies: int
    requests_per_second: float = field(name="txns_per_s")
    channel: float
    processor: float


class ListStatus(msgspec.Struct, frozen=True):
    """A manager whose endpoint list differs from the local one, and for how many seconds."""

    workers: int
    divergent_for: float = field(name="for")


class RecentChange(msgspec.Struct, frozen=True):
    """A change of a member's state, and how many seconds ago it was observed."""

    ago: float
    name: str = field(name="member")
    before: str
    after: str = field(name="now")
    reason: str = field(name="why")


class StatusReport(msgspec.Struct, frozen=True):
    """A manager's view of the membership; `since` is the age of the partition status in seconds."""

    self_id: str = field(name="member")
    state: Lifecycle
    partition_status: partition.PartitionStatus = field(name="standing")
    since: float
    voters: list[str] = field(name="set")
    digest: str
    local_health: int = field(name="distrust")
    members: list[MemberStatus]
    loads: dict[str, LoadStatus] = field(name="burdens")
    divergent_lists: dict[str, ListStatus] = field(name="lists")
    recent_changes: list[RecentChange] = field(name="verdicts")
    counts: dict[str, int]

    def to_json(self) -> dict[str, Any]:
        """Return plain values for a JSON encoder."""
        report: dict[str, Any] = msgspec.to_builtins(self)
        return report


class TimedChange(NamedTuple):
    """A change of a member's state, and the time of its observation in seconds."""

    at: float
    change: MemberStateChanged


def member_statuses(protocol: MembershipProtocol) -> list[MemberStatus]:
    """All known members in order of their names."""
    live_members = protocol.table.live_members()
    names = sorted(protocol.table.members)
    return [_member_status(protocol, name, names, live_members) for name in names]


def _member_status(
    protocol: MembershipProtocol, name: str, names: Sequence[str], live_members: Sequence[str]
) -> MemberStatus:
    table = protocol.table
    member_state = table.members[name]
    reports = table.reachability_reports
    host, port = member_state.address
    connection = ""
    if name != protocol.self_id:
        connection = partition.connection_summary(protocol.self_id, name, reports, live_members)
    return MemberStatus(
        name=name,
        start_epoch=member_state.incarnation[0],
        refutations=member_state.incarnation[1],
        state="barred" if table.is_banned(name) else STATE_NAMES[member_state.state],
        address=f"{host}:{port}",
        reachable=protocol.is_reachable(name),
        sees={
            other: partition.reachability_summary(name, other, reports, live_members)
            for other in names
        },
        connection=connection,
    )


def load_statuses(loads: ManagerLoads, now: float) -> dict[str, LoadStatus]:
    """Current loads by manager."""
    return {
        name: LoadStatus(
            proxies=load.proxies,
            requests_per_second=round(load.requests_per_second, 1),
            channel=round(load.channel, 3),
            processor=round(load.processor, 3),
        )
        for name, load in loads.current_loads(now).items()
    }


def list_statuses(list_digests: ListDigests, now: float) -> dict[str, ListStatus]:
    """Managers whose list differs from the local one."""
    divergent_since = list_digests.divergent_since
    return {
        name: ListStatus(digest.workers, round(now - divergent_since.get(name, now), 3))
        for name, digest in list_digests.divergent(now).items()
    }


def change_statuses(changes: Iterable[TimedChange], now: float) -> list[RecentChange]:
    """The recent changes, the oldest first."""
    return [
        RecentChange(round(now - at, 3), change.name, change.before, change.after, change.reason)
        for at, change in changes
    ]
