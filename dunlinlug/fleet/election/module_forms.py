"""Wire forms of the classes in the decision module's state, as the leader replicates it.

The left side has wire names, which managers of earlier versions read; the right side has attributes
of the code. Renaming an attribute changes the right side only. `tests/recorded/` compares both with
the recorded state of a module that has run. The form of the state itself is in `module_state.py`.
"""

from dunlinlug.decision.admission_control import AdmissionController
from dunlinlug.decision.events import OverrideChanged, PartitionLimitsChanged
from dunlinlug.decision.flow_control import ChannelBudget
from dunlinlug.decision.outlier_detection import OutlierDetector
from dunlinlug.decision.settings import ChannelSettings
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.pending_acks import PendingReply
from dunlinlug.decision.state.table_versions import StagedUpdate
from dunlinlug.decision.state.tables import Proxy, Table
from dunlinlug.fleet.election.serialization import WireForm

CHANNEL_SETTINGS = WireForm(
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

PARTITION_LIMITS = WireForm(
    PartitionLimitsChanged,
    "Trusted",
    {
        "share": "max_ejected_fraction",
        "begin": "may_change_weights",
        "raises": "may_raise_weights",
    },
)

OVERRIDE = WireForm(
    OverrideChanged,
    "Pinned",
    {
        "product": "traffic_class",
        "weights": "weights",
        "others": "keep_unlisted",
    },
)

PENDING_REPLY = WireForm(
    PendingReply,
    "Stretch",
    {
        "owed": "entries_by_proxy",
        "ahead": "queued_before",
        "waiting": "queued",
    },
)

CHANNEL_BUDGET = WireForm(
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

OUTLIER_DETECTOR = WireForm(
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

ADMISSION_CONTROLLER = WireForm(
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

DESIRED_WEIGHTS = WireForm(
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

COVERAGE = WireForm(
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

ASSIGNMENTS = WireForm(
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

STAGED_UPDATE = WireForm(
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

FORMS = (
    CHANNEL_SETTINGS,
    PARTITION_LIMITS,
    OVERRIDE,
    PENDING_REPLY,
    CHANNEL_BUDGET,
    OUTLIER_DETECTOR,
    ADMISSION_CONTROLLER,
    FLEET,
    DESIRED_WEIGHTS,
    COVERAGE,
    TABLE,
    PROXY,
    ASSIGNMENTS,
    STAGED_UPDATE,
)
