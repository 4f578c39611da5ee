"""The decision module's state as it travels to a successor: each class's wire names, and the way
there and back.

On the left stand names on the wire, which managers of former versions read; on the right attributes
of the code. A renamed attribute is renamed on the right alone. `tests/recorded/` holds both to a
module that has run.
"""

from collections.abc import Sequence
from typing import Any

from dunlinlug.balance import Balancer
from dunlinlug.decision.admission_control import AdmissionController
from dunlinlug.decision.decision_state import BlockedOrders, DecisionState, ListPolling, Timers
from dunlinlug.decision.events import OverrideChanged, PartitionLimitsChanged
from dunlinlug.decision.flow_control import ChannelBudget
from dunlinlug.decision.outlier_detection import OutlierDetector
from dunlinlug.decision.parameters import DecisionParameters
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.pending_acks import PendingReply
from dunlinlug.decision.state.table_versions import StagedUpdate, TableVersions
from dunlinlug.decision.state.tables import Proxy, Table
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
    local=(*OutlierDetector.DERIVED, "rng"),
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

# Parts of the module's state that have no object of their own on the wire: their attributes are
# written among the module's, as they were when the module was one class.
INLINED_PARTS: dict[str, type] = {
    "parameters": DecisionParameters,
    "list_polling": ListPolling,
    "blocked": BlockedOrders,
    "tables": TableVersions,
    "timers": Timers,
}


class ModuleForm(WireForm):
    """The form of the module's state: `part.attribute` names an attribute of an inlined part."""

    def taken_from(self, instance: Any) -> dict[str, Any]:
        """Return the values by wire name, as of one object that has the attributes of all parts.

        Raises FieldFormError for an attribute that is not declared, or is not there.
        """
        return super().taken_from(FlatAttributes(instance))

    def set_attributes(self, state: DecisionState, values: dict[str, Any]) -> None:
        """Set attributes, also those of inlined parts, to values by path."""
        for path, value in values.items():
            part_name, _, attribute = path.rpartition(".")
            part = getattr(state, part_name) if part_name else state
            setattr(part, attribute, value)


class FlatAttributes:
    """The attributes of a module's state, those of inlined parts by their path."""

    def __init__(self, state: Any) -> None:
        for name, value in vars(state).items():
            if name not in INLINED_PARTS:
                setattr(self, name, value)
                continue
            for attribute, inner_value in vars(value).items():
                setattr(self, f"{name}.{attribute}", inner_value)


MODULE = ModuleForm(
    DecisionState,
    "Balancer",
    {
        "products": "parameters.class_count",
        "usual_retry": "parameters.default_retry_policy",
        "ask_every": "parameters.list_poll_interval",
        "warm_after": "parameters.warm_up_time",
        "bears": "parameters.min_overload_multiple",
        "may_probe": "parameters.can_check_health",
        "sliced": "parameters.is_sharded",
        "standing": "parameters.subset_size",
        "home": "parameters.same_zone_classes",
        "each": "parameters.entries_per_endpoint",
        "fleet": "fleet",
        "account": "budget",
        "lines": "desired_weights",
        "cold": "warming_rows",
        "health": "outlier_detector",
        "gate": "admission_controller",
        "admits": "parameters.controls_admission",
        "all_in": "parameters.full_admission",
        "seating": "assignments",
        "current": "tables.current_tables",
        "changes": "tables.staged_updates",
        "armed": "timers.armed",
        "versions": "tables.last_version",
        "last_mark": "last_ack_number",
        "last_number": "tables.last_table_id",
        "last_token": "timers.last_token",
        "out": "ejected_rows",
        "small": "tables.subset_tables",
        "since": "tables.silent_since",
        "ask_at": "list_polling.retry_at",
        "ask_wait": "list_polling.retry_delay",
        "noted": "logged_limits",
        "told": "sharding_logged",
        "scant": "is_channel_constrained",
        "barred": "blocked.rows",
        "kept": "blocked.classes",
        "pins": "overrides",
        "means": "partition_limits",
        "moved": "rows_to_plan",
    },
    local=("rng",),
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


def fields_of(module: Balancer) -> dict[str, Any]:
    """Return all that a module goes on from, by wire name.

    Raises FieldFormError for an attribute that is not declared.
    """
    fields = MODULE.taken_from(module.state)
    fields[RANDOM_STATE] = module.state.rng.getstate()
    return fields


def restored(fields: dict[str, Any], settings: ManagerSettings) -> Balancer:
    """Return a module that goes on from such fields.

    Nothing is taken of fields that are not whole. Raises SerializationError, also if they come of
    a module with other settings.
    """
    values = MODULE.attributes(_declared_pairs(fields))
    if RANDOM_STATE not in fields:
        raise FieldFormError(MODULE, RANDOM_STATE, "missing")
    module = Balancer(settings)
    state = module.state
    own_parts = {name: MODULE.fields[name] for name in OWN_PARTS}
    for name, attribute in own_parts.items():
        if type(values[attribute]) is not type(getattr(state, attribute)):
            raise FieldFormError(MODULE, name, "of another class")
    _check_settings(values, settings)
    for attribute in own_parts.values():
        vars(getattr(state, attribute)).update(vars(values.pop(attribute)))
    MODULE.set_attributes(state, values)
    state.outlier_detector.rebuild_derived()
    state.assignments.rebuild_derived()
    state.rng.setstate(fields[RANDOM_STATE])
    return module


def _declared_pairs(fields: dict[str, Any]) -> Sequence[tuple[str, Any]]:
    """Return what the form declares: all but the state of the random numbers."""
    return [(name, value) for name, value in fields.items() if name != RANDOM_STATE]


def _check_settings(values: dict[str, Any], settings: ManagerSettings) -> None:
    """Raise SerializationError if a module with these values had other settings."""
    channel = values[MODULE.fields["account"]].channel
    table_count = len(values[MODULE.fields["current"]])
    if channel != settings.channel or table_count not in (0, len(settings.traffic_classes)):
        raise SerializationError("it was told another trade; all members need the same settings")
