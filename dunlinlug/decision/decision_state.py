"""All that one manager's decisions go on from, from one batch of events to the next.

Each field has one owner, the module that changes it; the others read it. The state travels to
other managers field by field: `dunlinlug/fleet/election/module_state.py` declares the names, and
refuses a field that it does not know. Times are seconds on the host's clock, rows are indexes into
the arrays of `Fleet`.
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
from dunlinlug.decision.state.table_versions import TableVersions

# Seconds until a failure is reported.
MAX_REPORT_DELAY = 2.0
# Seconds before the endpoint list is requested again, doubled with each failure.
MIN_LIST_RETRY_DELAY = 0.5


@dataclass(eq=False)
class ListPolling:
    """When the endpoint list is requested (again): changed by events, read by the reconciler."""

    retry_at: float  # inf: not at all
    retry_delay: float = MIN_LIST_RETRY_DELAY


@dataclass(eq=False)
class BlockedOrders:
    """Until when an order that was rejected is not tried again: owned by `order_rejection`."""

    rows: dict[int, float] = field(default_factory=dict)
    classes: dict[int, float] = field(default_factory=dict)  # admission levels of a class


@dataclass(eq=False)
class Timers:
    """The timers that were ordered and have not come due: owned by the reconciler."""

    armed: set[float] = field(default_factory=set)
    last_token: int = 0


def _mean(weights: list[float]) -> float:
    """Return the weight of an endpoint for which the list has none."""
    return sum(weights) / len(weights)


class DecisionState:
    """What is known, what was decided and what was ordered."""

    def __init__(self, settings: ManagerSettings) -> None:
        self.rng = Random(settings.seed)
        self.parameters = DecisionParameters.from_settings(settings)
        self.slow_start = SlowStart.from_limits(settings.safety_limits)
        # What is known, kept up by events: endpoints, the channel, observations, requests, proxies.
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
        # What is desired: owned by the planner.
        self.desired_weights = DesiredWeights()
        self.warming_rows = set[int]()
        self.rows_to_plan = set[int]()
        # What was ordered: owned by the two-phase update and the subsets, the rest by the
        # reconciler.
        self.tables = TableVersions()
        self.ejected_rows = set[int]()
        self.is_channel_constrained = False
        self.last_ack_number = 0
        self.timers = Timers()
        # What was logged: the last weight limit by row, and that sharding is not supported.
        self.logged_limits = dict[int, float]()
        self.sharding_logged = False
