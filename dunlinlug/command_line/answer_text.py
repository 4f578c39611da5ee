"""Formats a manager's answers as text; each function returns one or more whole lines."""

import time

from dunlinlug.admin.schemas import (
    LeadershipStatus,
    LoadStatus,
    MembershipStatus,
    MemberStatus,
    OwnerChange,
    OwnershipStatus,
    RejectionReport,
    TableStatus,
    TaskStatus,
    TrafficClassStatus,
)
from dunlinlug.storage.records import StoredRejection

MAX_CHANGES_SHOWN = 5
REACHABLE = ("yes", "-")  # a member's report on members that it reaches, and on itself


def rejection(report: RejectionReport) -> str:
    """One line: the rule, the reason, and what would be accepted."""
    return f"{report.rule}: {report.reason}; would pass: {report.remedy}"


def stored_rejection(stored: StoredRejection) -> str:
    """Two lines: the time, source and order of a rejection, and its reason."""
    rejected_at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(stored.rejected_at))
    return (
        f"{rejected_at}  {stored.source}, {stored.outcome}: {stored.order}\n"
        f"    {stored.rule}: {stored.reason}; would pass: {stored.remedy}; "
        f"proxies: {stored.proxies or 'all that use it'}"
    )


def traffic_class(status: TrafficClassStatus) -> str:
    """The tables of a traffic class with their entries."""
    headline = (
        f"{status.product}: {status.proxies} proxies, {status.without_table} without a table, "
        f"{status.in_change} in a change"
    )
    if status.override is not None:
        headline += f"; pinned for {status.override.expires_in:.0f} s"
    return "\n".join([headline, *(_table(table) for table in status.tables)])


def _table(table: TableStatus) -> str:
    lines = [
        f"  {table.name} at {table.proxies} proxies, lets in {table.admitted_fraction:g}, "
        f"way of trying again {table.retry_policy}"
    ]
    for entry in table.entries:
        state = "withdrawn" if entry.is_ejected else entry.state
        lines.append(f"    {entry.worker:<22} {entry.weight:<9g} {entry.zone:<10} {state}")
    return "\n".join(lines)


def leadership(status: LeadershipStatus) -> str:
    """The leader, and each member with its lag."""
    headline = (
        f"{status.member}: term {status.term}, master {status.leader or 'none'} "
        f"for {status.leader_for:.1f} s; "
        f"last change {status.changed_ago:.1f} s ago: {status.change_reason}"
    )
    if not status.is_leader:
        missing = "all" if status.missing_entries is None else status.missing_entries
        headline += f"; behind by {missing}"
    return "\n".join([headline, *(f"  {name}{_lag(status, name)}" for name in status.members)])


def _lag(status: LeadershipStatus, member: str) -> str:
    if status.lag_by_member is None or member == status.member:
        return ""
    lag = status.lag_by_member[member]
    if lag is None:
        return ", lags by all"
    return f", lags by {lag} batches"


def membership(status: MembershipStatus) -> str:
    """The members, their reachability, endpoint lists that differ, and the last changes."""
    headline = (
        f"{status.member}: {status.state}, standing {status.partition_status} "
        f"for {status.partition_status_for:.1f} s "
        f"of {', '.join(status.voters)}; view {status.digest}"
    )
    if status.local_health:
        headline += f"; distrusts itself by {status.local_health}"
    name_width = max((len(member.name) for member in status.members), default=1)
    return "\n".join(
        [
            headline,
            *(
                _member(member, name_width, status.loads.get(member.name))
                for member in status.members
            ),
            *_reachability(status.members, name_width),
            *(
                f"  {name} has another list of workers ({divergence.endpoint_count}) "
                f"for {divergence.seconds:.0f} s"
                for name, divergence in status.divergent_lists.items()
            ),
            *(
                f"  {change.seconds_ago:.1f} s ago: {change.member} "
                f"{change.before} -> {change.after}: {change.reason}"
                for change in status.changes[-MAX_CHANGES_SHOWN:]
            ),
        ]
    )


def _member(member: MemberStatus, name_width: int, load: LoadStatus | None) -> str:
    line = (
        f"  {member.name:<{name_width}}  {member.state:<9} start {member.start_epoch}, "
        f"word {member.incarnation}  {member.address}"
    )
    if load is not None:
        line += (
            f"  {load.proxies} proxies, {load.requests_per_second:g} txns/s, "
            f"channel {load.channel:.0%}, processor {load.processor:.0%}"
        )
    if member.connection not in ("", "in touch"):
        line += f"; {member.connection}"
    return line


def _reachability(members: list[MemberStatus], name_width: int) -> list[str]:
    """For each member, the members that it does not reach; empty if all reach each other."""
    if not any(_not_reached(member) for member in members):
        return []
    lines = ["  reachability:"]
    for member in members:
        missing = "; ".join(_not_reached(member)) or "all"
        lines.append(f"    {member.name:<{name_width}}  {missing}")
    return lines


def _not_reached(member: MemberStatus) -> list[str]:
    return [
        f"{other}: {reachability}"
        for other, reachability in member.reachable_members.items()
        if reachability not in REACHABLE
    ]


def ownership(status: OwnershipStatus) -> str:
    """The owners of shards and tasks, the shards being moved, and the last changes."""
    owners = ", ".join(f"{owner} {count}" for owner, count in status.shards_by_owner.items())
    lines = [
        f"{status.member}: steward {status.coordinator or 'none'} of term {status.term}; "
        f"holds {status.held_shards} of {status.shard_count} slots",
        f"  owners: {owners}",
        *(
            f"  slot {shard} is on its way to {target}"
            for shard, target in status.moving_shards.items()
        ),
        *(_task(task) for task in status.tasks),
        *(_owner_change(change) for change in status.changes[-MAX_CHANGES_SHOWN:]),
    ]
    if status.counters:
        counters = ", ".join(f"{name} {count}" for name, count in sorted(status.counters.items()))
        lines.append(f"  {counters}")
    return "\n".join(lines)


def _task(task: TaskStatus) -> str:
    return (
        f"  {task.task}: {task.owner or 'nobody'}, number {task.token:#x}, slot {task.shard}; "
        f"as far as {task.checkpoint} under {task.checkpoint_token:#x}"
    )


def _owner_change(change: OwnerChange) -> str:
    return (
        f"  {change.seconds_ago:.1f} s ago: slot {change.shard} "
        f"{change.owner or 'nobody'} {change.token:#x}: {change.reason}"
    )
