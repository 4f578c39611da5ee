"""The decision module's state as it travels to a successor: each class's wire names, and the way
there and back.

On the left stand names on the wire, which managers of former versions read; on the right attributes
of the code. A renamed attribute is renamed on the right alone. `tests/recorded/` holds both to a
module that has run.
"""

from random import Random
from typing import Any

from dunlinlug.balance import AdmissionController, Balancer, ChannelBudget, OutlierDetector
from dunlinlug.decision.desired_state import StagedUpdate
from dunlinlug.decision.events import OverrideChanged, PartitionLimitsChanged
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings
from dunlinlug.decision.state.assignments import Assignments, Proxy, Table
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.pending_acks import PendingReply
from dunlinlug.fleet.election.serialization import FieldFormError, SerializationError, WireForm

CHANNEL = WireForm(
    ChannelSettings,
    "Channel",
    {
        "lines_per_s": "entries_per_second",
        "message_lines": "message_overhead",
        "waiting_most": "max_queued_entries",
        "transit": "transit_time",
        "transit_most": "max_transit_time",
        "messages_most": "max_messages",
        "messages_span": "message_window",
    },
)

TRUSTED = WireForm(
    PartitionLimitsChanged,
    "Trusted",
    {
        "share": "max_ejected_fraction",
        "begin": "may_change_weights",
        "raises": "may_raise_weights",
    },
)

PINNED = WireForm(
    OverrideChanged,
    "Pinned",
    {
        "product": "traffic_class",
        "weights": "weights",
        "others": "keep_unlisted",
    },
)

STRETCH = WireForm(
    PendingReply,
    "Stretch",
    {
        "owed": "entries_by_proxy",
        "ahead": "queued_before",
        "waiting": "queued",
    },
)

ACCOUNT = WireForm(
    ChannelBudget,
    "Account",
    {
        "kept": "message_history_length",
        "waits": "queued_entries",
        "sent": "pending_replies",
        "queue": "queued_acks",
        "asked": "awaited_acks",
        "written": "sent_times",
        "channel": "channel",
        "rate": "entries_per_second",
        "few": "message_limits",
    },
)

HEALTH = WireForm(
    OutlierDetector,
    "Health",
    {
        "half": "half_life",
        "first": "initial_ejection_time",
        "bounds": "thresholds",
        "tries": "attempts",
        "voided": "failed",
        "took": "latency_sums",
        "heard_at": "reported_at",
        "rest": "ejection_times",
        "due": "due_at",
        "cap": "weight_limits",
        "full": "recovery_limits",
        "listed": "ready_rows",
        "moved": "changed_rows",
        "proof": "baseline_delay",
        "proven": "baseline_valid_at",
        "calm": "baseline_latency",
        "ceiling": "max_ejected_fraction",
    },
    local=(*OutlierDetector.DERIVED, "random_uniform"),
)

GATE = WireForm(
    AdmissionController,
    "Gate",
    {
        "sla": "latency_objectives",
        "order": "shed_order",
        "asked": "request_rates",
        "came": "arrivals",
        "settled": "succeeded",
        "rate": "success_rate",
        "best": "best_success_rate",
        "share": "admitted_fraction",
        "knee": "overload_threshold",
        "last": "updated_at",
        "calm": "was_stable",
        "queues": "queue_lengths",
    },
)

FLEET = WireForm(
    Fleet,
    "Fleet",
    {
        "index": "row_by_id",
        "ids": "ids",
        "zones": "zones",
        "ready": "ready",
        "weight": "listed_weights",
        "since": "started_at",
        "moved": "changed_rows",
        "turned": "readiness_changes",
        "weights": "base_weights",
        "untold": "unweighted_rows",
        "rows": "ready_rows",
        "sum": "weight_sum",
    },
    local=("default_weight",),
)

LINES = WireForm(
    DesiredWeights,
    "Lines",
    {
        "parts": "weight_fractions",
        "plain": "default_weights",
        "log": "change_log",
        "cut": "truncated",
        "out": "ejected",
        "sum": "available_sum",
        "summed": "summed_position",
        "last": "highest_row",
        "loose": "unordered",
    },
)

COVER = WireForm(
    Coverage,
    "Cover",
    {
        "counts": "table_counts",
        "turned": "changed_rows",
        "bare": "uncovered_rows",
        "seen": "log_position",
    },
)

TABLE = WireForm(
    Table,
    "Table",
    {
        "number": "table_id",
        "shares": "weights",
        "parts": "weight_fractions",
        "levels": "admission_levels",
        "clear_at": "delete_at",
        "were": "previous_levels",
        "users": "use_count",
        "load": "request_rate",
        "place": "sequence",
        "small": "is_subset",
        "counted": "is_covered",
        "absent": "unready_rows",
        "differs": "differing_rows",
        "lacking": "missing_included",
        "changed": "changed_rows",
        "seen": "log_position",
        "borne": "cached_capacity",
        "borne_at": "capacity_position",
    },
)

PROXY = WireForm(
    Proxy,
    "Proxy",
    {
        "zone": "zone",
        "rate": "request_rate",
        "joined": "join_order",
        "tops": "assigned_tables",
        "holds": "tables_in_use",
        "bound_at": "updated_at",
        "wait": "assign_after",
    },
)

SEATING = WireForm(
    Assignments,
    "Seating",
    {
        "products": "class_count",
        "joins": "join_count",
        "proxies": "proxies",
        "groups": "groups",
        "at": "groups_by_table",
        "tables": "tables",
        "used": "tables_in_use",
        "kept": "retained_tables",
        "gone": "unready_rows",
        "ends": "retiring_tables",
        "laid": "table_count",
        "cover": "subset_coverage",
    },
)

CHANGE = WireForm(
    StagedUpdate,
    "Change",
    {
        "version": "version",
        "table": "table",
        "old": "old_table",
        "mark": "ack_number",
        "asked_at": "requested_at",
        "awaited": "awaited_proxies",
        "bound": "assigned",
    },
)

MODULE = WireForm(
    Balancer,
    "Balancer",
    {
        "products": "class_count",
        "usual_retry": "default_retry_policy",
        "ask_every": "list_poll_interval",
        "warm_after": "warm_up_time",
        "bears": "min_overload_multiple",
        "may_probe": "can_check_health",
        "sliced": "is_sharded",
        "standing": "subset_size",
        "home": "same_zone_classes",
        "each": "entries_per_endpoint",
        "fleet": "fleet",
        "account": "budget",
        "lines": "desired_weights",
        "cold": "warming_rows",
        "health": "outlier_detector",
        "gate": "admission_controller",
        "admits": "controls_admission",
        "all_in": "full_admission",
        "seating": "assignments",
        "current": "current_tables",
        "changes": "staged_updates",
        "armed": "armed_timers",
        "versions": "last_version",
        "last_mark": "last_ack_number",
        "last_number": "last_table_id",
        "last_token": "last_timer_token",
        "out": "ejected_rows",
        "small": "subset_tables",
        "since": "silent_since",
        "ask_at": "list_retry_at",
        "ask_wait": "list_retry_delay",
        "noted": "logged_limits",
        "told": "sharding_logged",
        "scant": "is_channel_constrained",
        "barred": "blocked_rows",
        "kept": "blocked_classes",
        "pins": "overrides",
        "means": "partition_limits",
        "moved": "rows_to_plan",
    },
    local=("random_uniform",),
)

FORMS = (
    CHANNEL,
    TRUSTED,
    PINNED,
    STRETCH,
    ACCOUNT,
    HEALTH,
    GATE,
    FLEET,
    LINES,
    COVER,
    TABLE,
    PROXY,
    SEATING,
    CHANGE,
)

# Parts that a fresh module has already, as it holds what does not travel; by wire name. What is
# read goes into them.
OWN_PARTS = ("fleet", "account", "health", "gate", "seating", "lines")
RANDOM_STATE = "chance"  # the wire name of the state of the module's random numbers


def _random(module: Balancer) -> Random:
    found = module.random_uniform.__self__  # type: ignore[attr-defined]
    assert isinstance(found, Random)
    return found


def fields_of(module: Balancer) -> dict[str, Any]:
    """All that a module goes on from, by wire name. Raises FieldFault for an attribute that is not
    declared.
    """
    return {**MODULE.taken_from(module), RANDOM_STATE: _random(module).getstate()}


def restored(fields: dict[str, Any], trade: ManagerSettings) -> Balancer:
    """A module that goes on from such fields. Raises PlainFault, also if they come of another
    trade.
    """
    pairs = [(name, value) for name, value in fields.items() if name != RANDOM_STATE]
    values = MODULE.attributes(pairs)
    if RANDOM_STATE not in fields:
        raise FieldFormError(MODULE, RANDOM_STATE, "missing")
    module = Balancer(trade)
    own = {name: MODULE.fields[name] for name in OWN_PARTS}
    for name, attribute in own.items():
        if type(values[attribute]) is not type(getattr(module, attribute)):
            raise FieldFormError(MODULE, name, "of another class")
    if values[own["account"]].channel != trade.channel or len(
        values[MODULE.fields["current"]]
    ) not in (0, len(trade.traffic_classes)):
        raise SerializationError("it was told another trade; all members need the same settings")
    for attribute, value in values.items():
        if attribute in own.values():
            vars(getattr(module, attribute)).update(vars(value))
        else:
            setattr(module, attribute, value)
    for part in (module.outlier_detector, module.assignments):
        part.rebuild_derived()
    _random(module).setstate(fields[RANDOM_STATE])
    return module
