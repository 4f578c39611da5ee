"""Records of the administration endpoint's answers; `rename` maps fields to their JSON keys.

The manager encodes its answers from them, and the command line decodes answers into them. An answer
may have more keys than its record has fields; the command line ignores those.
"""

import msgspec

from dunlinlug.decision.settings import TrafficClass
from dunlinlug.guard import Override, Rejection

MAX_PROXIES_SHOWN = 20
MAX_REJECTIONS_SHOWN = 20


class OverrideStatus(msgspec.Struct, frozen=True, rename={"expires_in": "ends_in"}):
    """An active override: `expires_in` in seconds, weights by endpoint (None: the listed weight).

    `others` is true if endpoints that the override does not name keep their listed weights.
    """

    product: str
    expires_in: float
    others: bool
    weights: dict[str, float | None]


class RejectionReport(
    msgspec.Struct, frozen=True, rename={"reason": "why", "remedy": "would_pass"}
):
    """A rejected order: the rule, the reason, what would be accepted, and the affected proxies.

    `worker` is the endpoint that the order names; the key is absent if it names none.
    """

    rule: str
    reason: str
    remedy: str
    proxies: list[int]
    worker: str | msgspec.UnsetType = msgspec.UNSET


class ProposalAnswer(
    msgspec.Struct,
    frozen=True,
    rename={"is_valid": "passes", "warnings": "cautions", "rejections": "refusals"},
):
    """Whether an override could be activated, with the warnings and rejections."""

    is_valid: bool
    warnings: list[str]
    rejections: list[RejectionReport]


class ActivationAnswer(
    msgspec.Struct, frozen=True, rename={"override": "pin", "warnings": "cautions"}
):
    """The override that was activated, and the warnings about it."""

    override: OverrideStatus
    warnings: list[str]


class EndAnswer(msgspec.Struct, frozen=True, rename={"traffic_class": "ended"}):
    """The traffic class whose override was ended."""

    traffic_class: str


class ErrorAnswer(
    msgspec.Struct, frozen=True, rename={"message": "error", "rejections": "refusals"}
):
    """Why a request failed, with the rejections if the guard rejected it."""

    message: str
    rejections: list[RejectionReport] = []


class EntryStatus(msgspec.Struct, frozen=True, rename={"is_ejected": "withdrawn"}):
    """One entry of a table in use, with the listed state of its endpoint."""

    worker: str
    weight: float
    zone: str
    state: str
    is_ejected: bool


class TableStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "table",
        "admitted_fraction": "share_let_in",
        "retry_policy": "retry",
        "entries": "lines",
    },
):
    """A table in use for a traffic class, and the number of proxies that use it."""

    name: str
    proxies: int
    admitted_fraction: float
    retry_policy: int
    entries: list[EntryStatus]


class TrafficClassStatus(msgspec.Struct, frozen=True, rename={"override": "pin"}):
    """The tables of a traffic class (most used first), its override, and counts of proxies."""

    product: str
    proxies: int
    without_table: int
    in_change: int
    override: OverrideStatus | None
    tables: list[TableStatus]


class LeadershipStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "leader": "master",
        "leader_for": "since",
        "is_leader": "leads",
        "change_reason": "changed",
        "missing_entries": "behind",
        "lag_by_member": "lags",
    },
):
    """The leader election as one member sees it; times in seconds.

    `missing_entries` is None on the leader, and on a member that needs a whole snapshot.
    `lag_by_member` has the number of entries that each other member lacks; only on the leader.
    """

    member: str
    members: list[str]
    term: int
    leader: str | None
    is_leader: bool
    leader_for: float
    change_reason: str
    changed_ago: float
    missing_entries: int | None
    lag_by_member: dict[str, int | None] | None


class MemberStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "member",
        "start_epoch": "start",
        "incarnation": "word",
        "address": "place",
        "reachable_members": "sees",
        "connection": "between",
    },
):
    """A member as the answering member sees it.

    `reachable_members` maps each member to whether this one reaches it: "yes", "-" for itself, or
    the reason why not. `connection` describes the connectivity of the answering member and this
    one.
    """

    name: str
    start_epoch: int
    incarnation: int
    state: str
    address: str
    reachable_members: dict[str, str]
    connection: str


class LoadStatus(msgspec.Struct, frozen=True, rename={"requests_per_second": "txns_per_s"}):
    """A member's load; channel and processor as fractions of their capacity."""

    proxies: int
    requests_per_second: float
    channel: float
    processor: float


class ListDivergence(
    msgspec.Struct, frozen=True, rename={"endpoint_count": "workers", "seconds": "for"}
):
    """A member whose endpoint list differs: its number of endpoints, and for how many seconds."""

    endpoint_count: int
    seconds: float


class MemberStateChange(
    msgspec.Struct,
    frozen=True,
    rename={"seconds_ago": "ago", "after": "now", "reason": "why"},
):
    """When and why a member's state changed."""

    seconds_ago: float
    member: str
    before: str
    after: str
    reason: str


class MembershipStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "partition_status": "standing",
        "partition_status_for": "since",
        "voters": "set",
        "local_health": "distrust",
        "loads": "burdens",
        "divergent_lists": "lists",
        "changes": "verdicts",
    },
):
    """The membership as one member sees it; times in seconds, `local_health` as in Lifeguard."""

    member: str
    state: str
    partition_status: str
    partition_status_for: float
    voters: list[str]
    digest: str
    local_health: int
    members: list[MemberStatus]
    loads: dict[str, LoadStatus]
    divergent_lists: dict[str, ListDivergence]
    changes: list[MemberStateChange]


class TaskStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "task": "piece",
        "shard": "slot",
        "token": "number",
        "checkpoint_token": "under",
        "checkpoint": "body",
    },
):
    """A task of the fleet: owner, fencing token, last checkpoint, and the checkpoint's token."""

    task: str
    shard: int
    owner: str
    token: int
    checkpoint_token: int
    checkpoint: str


class OwnerChange(
    msgspec.Struct,
    frozen=True,
    rename={"seconds_ago": "ago", "shard": "slot", "token": "number", "reason": "why"},
):
    """When and why a shard moved to another owner."""

    seconds_ago: float
    shard: int
    owner: str
    token: int
    reason: str


class OwnershipStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "coordinator": "steward",
        "held_shards": "holds",
        "shard_count": "slots",
        "shards_by_owner": "owners",
        "moving_shards": "moving",
        "tasks": "records",
        "counters": "counts",
    },
):
    """The owners of shards and tasks as one member sees them."""

    member: str
    coordinator: str | None
    term: int
    held_shards: int
    shard_count: int
    shards_by_owner: dict[str, int]
    moving_shards: dict[str, str]
    tasks: list[TaskStatus]
    changes: list[OwnerChange]
    counters: dict[str, int]


def override_status(
    override: Override, traffic_classes: tuple[TrafficClass, ...], now: float
) -> OverrideStatus:
    """The record of an active override; `now` in seconds on the override's clock."""
    return OverrideStatus(
        product=traffic_classes[override.traffic_class].name,
        expires_in=round(override.expires_at - now, 3),
        others=override.keep_unlisted,
        weights=dict(override.weights),
    )


def override_to_json(
    override: Override, traffic_classes: tuple[TrafficClass, ...], now: float
) -> dict[str, object]:
    """An active override as values for JSON."""
    plain: dict[str, object] = msgspec.to_builtins(override_status(override, traffic_classes, now))
    return plain


def rejection_reports(rejections: list[Rejection]) -> list[RejectionReport]:
    """The records of the first rejections; replacing a whole table can cause very many."""
    return [_rejection_report(rejection) for rejection in rejections[:MAX_REJECTIONS_SHOWN]]


def _rejection_report(rejection: Rejection) -> RejectionReport:
    worker = getattr(rejection.order, "worker", None)
    return RejectionReport(
        rule=str(rejection.rule),
        reason=rejection.reason,
        remedy=rejection.remedy,
        proxies=list(rejection.proxies[:MAX_PROXIES_SHOWN]),
        worker=worker or msgspec.UNSET,
    )
