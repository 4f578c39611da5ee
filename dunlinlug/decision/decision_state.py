"""The state that a manager's decisions keep from one batch of events to the next.

Each field is changed only by the module that owns it and read by the others. The state is
replicated to other managers field by field: `dunlinlug/fleet/election/module_state.py` declares the
names of the fields and rejects undeclared ones. Times are in seconds on the host's clock, and rows
are indexes into the arrays of `Fleet`.
"""

from dataclasses import dataclass, field
from math import inf
from random import Random

from dunlinlug.decision.admission_control import AdmissionController
from dunlinlug.decision.events import OverrideChanged, PartitionLimitsChanged
from dunlinlug.decision.flow_control import ChannelBudget
from dunlinlug.decision.outlier_detection import OutlierDetector
from dunlinlug.decision.parameters import DecisionParameters
from dunlinlug.decision.settings import ManagerSettings
from dunlinlug.decision.slow_start import SlowStart
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.last_batch import LastBatch
from dunlinlug.decision.state.table_versions import TableVersions

# Longest time in seconds until a failure is reported.
MAX_REPORT_DELAY = 2.0
# Seconds until the endpoint list is requested again after a failure; doubles with each failure.
MIN_LIST_RETRY_DELAY = 0.5


@dataclass(eq=False)
class ListPolling:
    """When to request the endpoint list next: set by events, read by the reconciler."""

    retry_at: float  # inf: no request is due
    retry_delay: float = MIN_LIST_RETRY_DELAY


@dataclass(eq=False)
class BlockedOrders:
    """Times before which rejected orders are not retried: owned by `order_rejection`."""

    rows: dict[int, float] = field(default_factory=dict)  # weights and optional ejections
    mandatory_ejections: dict[int, float] = field(default_factory=dict)  # by row
    classes: dict[int, float] = field(default_factory=dict)  # admission levels


@dataclass(eq=False)
class Timers:
    """The times of the timers that were ordered and have not fired: owned by `timer`."""

    armed: set[float] = field(default_factory=set)
    last_token: int = 0


def _mean(weights: list[float]) -> float:
    """Return the default weight of endpoints that are listed without a weight."""
    return sum(weights) / len(weights)


class DecisionState:
    """The observed, the desired and the ordered state."""

    def __init__(self, settings: ManagerSettings) -> None:
        self.rng = Random(settings.seed)
        self.parameters = DecisionParameters.from_settings(settings)
        self.slow_start = SlowStart.from_limits(settings.safety_limits)
        # Observed state, updated by events: endpoints, channel, observations, requests, proxies.
        self.fleet = Fleet(_mean)
        self.budget = ChannelBudget(settings.channel)
        self.outlier_detector = OutlierDetector(
            self.rng,
            max(each.deadline for each in settings.traffic_classes) + MAX_REPORT_DELAY,
        )
        self.admission_controller = AdmissionController(settings.traffic_classes)
        self.assignments = Assignments(self.parameters.class_count)
        self.list_polling = ListPolling(-inf if settings.must_subscribe else inf)
        self.overrides: dict[int, OverrideChanged] = {}  # operators', by class
        self.partition_limits = PartitionLimitsChanged(OutlierDetector.MAX_EJECTED_FRACTION)
        self.blocked = BlockedOrders()
        # Desired state: owned by the planner.
        self.desired_weights = DesiredWeights()
        self.warming_rows = set[int]()
        self.rows_to_plan = set[int]()
        # Ordered state: `tables` is owned by the two-phase update and the subsets, the rest by the
        # reconciler.
        self.tables = TableVersions()
        self.ejected_rows = set[int]()
        self.is_channel_constrained = False
        self.last_ack_number = 0
        self.last_batch = LastBatch()
        self.timers = Timers()
        # Logged state: the last weight limit by row, and whether sharding was logged as
        # unsupported.
        self.logged_limits = dict[int, float]()
        self.sharding_logged = False
