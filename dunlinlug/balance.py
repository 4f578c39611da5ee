"""All decisions of a manager: which worker each proxy may use, at what share, and when orders go
out.

Call `Balancer(trade)` at the start, then `decide(now, events)` for each batch, with the clock in
seconds; it returns orders in the order in which they take effect. The plain types are in
`dunlinlug/interface.py`. Events change what is known, `_plan` turns that into a wanted state,
`_emit` alone orders the difference to it. `docs/design.md` tells how this follows CCU, the
concurrent two-phase update.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from functools import cache
from itertools import chain, islice
from math import inf
from random import Random
from statistics import median

from dunlinlug.decision.desired_state import DesiredState, StagedUpdate
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    EndpointReported,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    OrderRejected,
    OverrideChanged,
    PartitionLimitsChanged,
    ProxyConnected,
    ProxyDisconnected,
)
from dunlinlug.decision.orders import (
    AssignTable,
    CheckHealth,
    DeleteTable,
    LogMessage,
    Order,
    RequestAcknowledgement,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
    WatchEndpoints,
)
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, TrafficClass
from dunlinlug.decision.state.assignments import Assignments, Table, admission_level
from dunlinlug.decision.state.desired_weights import DesiredWeights, Weights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.outlier_statistics import OutlierStatistics, sorted_median
from dunlinlug.decision.state.pending_acks import PendingAcks, next_free_number


class ChannelBudget(PendingAcks):
    """The channel account: how many lines may still wait, by what was ordered and what answers
    show.
    """

    # seconds of drain for a sample
    MIN_SAMPLE_DRAIN = 0.1
    # its least part
    MIN_RATE_FRACTION = 0.1
    # a message's delay
    MESSAGE_DELAY = 0.3
    # parts: rules, health, levels, rest
    RESERVED_CAPACITY = (0.08, 0.12, 0.2, 0.4)
    RESERVED_MESSAGES = (0.0, 0.4, 0.4, 0.5)

    def __init__(self, channel: ChannelSettings) -> None:
        max_messages = channel.max_messages
        super().__init__(max_messages or 1)
        self.channel = channel
        self.entries_per_second = channel.entries_per_second
        # By rank, the messages within the span from which on a proxy gets no more; 0: no bound.
        self.message_limits = [
            next((n for n in range(1, max_messages + 1) if 1.0 - n / max_messages <= reserved), 0)
            for reserved in self.RESERVED_MESSAGES
        ]

    def exceeds_message_limit(self, proxy_id: int, now: float, priority: int) -> bool:
        sent_times = self.sent_times.get(proxy_id, ())
        message_limit = self.message_limits[priority]
        return (
            0 < message_limit <= len(sent_times)
            and sent_times[-message_limit] >= now - self.channel.message_window - self.MESSAGE_DELAY
        )

    def handle_acknowledgement(self, proxy_id: int, ack_number: int, latency: float) -> list[int]:
        """An answer: tells which marks it settles."""
        queued_before = self.pending_replies[ack_number].queued_before
        nominal_rate = self.channel.entries_per_second
        acknowledged = self.acknowledge(proxy_id, ack_number)
        if (
            ack_number not in self.pending_replies
            and queued_before >= self.MIN_SAMPLE_DRAIN * nominal_rate
        ):
            observed_rate = queued_before / max(latency - self.channel.transit_time, 0.001)
            self.entries_per_second = min(
                max(
                    (self.entries_per_second + observed_rate) / 2,
                    self.MIN_RATE_FRACTION * nominal_rate,
                ),
                nominal_rate,
            )
        return acknowledged


class OrderBatch:
    """One reply in the making: its orders, and the lines that they cost each proxy, as the channel
    allows.
    """

    def __init__(self, budget: ChannelBudget, now: float, ack_number: int) -> None:
        self.budget = budget
        self.now = now
        self.ack_number = ack_number
        self.orders: list[Order] = []
        self.entries_by_proxy: dict[int, float] = {}
        self.reserved_entries = 0.0
        self.message_overhead = budget.channel.message_overhead + 1.0
        # something, for want of messages. Danger: not looked at again before an event
        self.deferred = False

    def exceeds_drain(self, max_drain_time: float, proxy_id: int | None = None) -> bool:
        # Danger: counted against itself, a reply whose heads are paid would leave changes for
        # another.
        reserved = (
            0.0 if proxy_id is None or proxy_id in self.entries_by_proxy else self.reserved_entries
        )
        return (
            self.budget.queued_entries + reserved > max_drain_time * self.budget.entries_per_second
        )

    def fits(self, entries: float, priority: int) -> bool:
        limit = self.budget.channel.max_queued_entries * (
            1.0 - ChannelBudget.RESERVED_CAPACITY[priority]
        )
        return self.budget.queued_entries + self.reserved_entries + entries <= limit

    def cost(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        priority: int,
        max_drain_time: float = inf,
    ) -> float | None:
        """What so many lines for each of these proxies take; None if channel or limits forbid them."""
        if self.exceeds_drain(max_drain_time) or not self.fits(
            entries_each * len(proxy_ids), priority
        ):
            return None
        new_proxy_ids = [p for p in proxy_ids if p not in self.entries_by_proxy]
        entries = entries_each * len(proxy_ids) + self.message_overhead * len(new_proxy_ids)
        if (
            new_proxy_ids
            and self.exceeds_drain(max_drain_time, new_proxy_ids[0])
            or not self.fits(entries, priority)
        ):
            return None
        self.deferred |= (
            limited := any(
                self.budget.exceeds_message_limit(p, self.now, priority) for p in new_proxy_ids
            )
        )
        return None if limited else entries

    def reserve(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        priority: int,
        max_drain_time: float = inf,
    ) -> bool:
        if (entries := self.cost(proxy_ids, entries_each, priority, max_drain_time)) is None:
            return False
        for proxy_id in proxy_ids:
            self.entries_by_proxy[proxy_id] = (
                self.entries_by_proxy.get(proxy_id, self.message_overhead) + entries_each
            )
        self.reserved_entries += entries
        return True


class OutlierDetector(OutlierStatistics):
    """Judges workers by what proxies met, in contrast to the others and to what is usual."""

    # seconds in which evidence halves: a report cycle
    HALF_LIFE = 0.8
    # voided tries to judge by
    MIN_FAILED = 3.0
    FAILURE_RATE_THRESHOLD = 0.35  # voided part of the tries from which a worker is failing ...
    # ... if also this many times the best quarter's part, so that overload condemns none
    MIN_FAILURE_CONTRAST = 3.0
    # times the usual pace beyond which a worker may be overfull
    MAX_LATENCY_RATIO = 1.6
    # a silent one's part
    UNRESPONSIVE_FAILURE_RATE = 0.9
    # voided part up to which one is raised
    MAX_RECOVERED_FAILURE_RATE = 0.15
    # the median's from which shares stay put
    OVERLOAD_FAILURE_RATE = 0.08
    BASELINE_SMOOTHING = 0.03  # of each report goes into what is usual: dozens of reports
    # of the ready weight may be lost to health: more that fail in part have a common cause ...
    MAX_EJECTED_FRACTION = 0.2
    # ... but for silent ones, while a quarter of the fleet does well: zones cut off or lost
    MAX_UNRESPONSIVE_FRACTION = 0.8
    # seconds on trial, a few report cycles, at a share that a cold one bears
    PROBATION_TIME = 3.0
    PROBATION_LIMIT = 0.25
    OVERLOADED_LIMIT = 0.5  # for a jammed or slow worker; a quarter pushed too much onto the rest
    # times the median pace, over so many settled tries: a jam is near
    SLOW_LATENCY_RATIO = 2.5
    MIN_SLOW_SUCCEEDED = 8.0
    # share, and seconds of it, after or ahead of a jam: listed too high
    REDUCED_LIMIT = 0.75
    REDUCED_TIME = 60.0
    # seconds out before a trial, doubled by failures; between probes
    BASE_EJECTION_TIME = 4.0
    MAX_EJECTION_TIME = 16.0
    HEALTH_CHECK_INTERVAL = 1.0

    def __init__(
        self, random_uniform: Callable[[float, float], float], baseline_delay: float
    ) -> None:
        super().__init__(
            self.HALF_LIFE,
            self.BASE_EJECTION_TIME,
            self.OVERLOADED_LIMIT,
            1.0,
            self.MIN_FAILED,
            self.FAILURE_RATE_THRESHOLD,
        )
        # seconds of calm that prove it, and when
        self.random_uniform = random_uniform
        self.baseline_delay = baseline_delay
        self.baseline_valid_at = inf
        # the median worker's pace when few void
        self.baseline_latency = 0.0
        # what may go
        self.max_ejected_fraction = self.MAX_EJECTED_FRACTION

    def update_limits(self, now: float, weights: dict[int, float], total_weight: float) -> None:
        """Step caps down on evidence, the worst worker first, and up again after a while of good
        evidence.
        """
        if len(self.peer_failure_rates) < 2:
            return
        best_failure_rate = self.peer_failure_rates[len(self.peer_failure_rates) // 4]
        overloaded = sorted_median(self.peer_failure_rates) >= self.OVERLOAD_FAILURE_RATE
        ejected_weight = sum(
            weights[row] * (1.0 - self.weight_limits[row]) for row in sorted(self.limited_rows)
        )
        median_latency = self.median_peer_latency()
        if (
            now < self.baseline_valid_at
        ):  # Danger: voids are reported late, so quick first answers are no proof of calm
            self.baseline_valid_at = (
                now + self.baseline_delay
                if overloaded
                else min(self.baseline_valid_at, now + self.baseline_delay)
            )
        if not overloaded:
            self.baseline_latency += (
                self.BASELINE_SMOOTHING * (median_latency - self.baseline_latency)
                if self.baseline_latency
                else median_latency
            )
        elif not self.baseline_latency:
            return  # Danger: a manager that began in a jam would take the jammed for silent
        slow_rows = (
            self.slow_peers(self.SLOW_LATENCY_RATIO * median_latency)
            if median_latency and not overloaded
            else ()
        )
        candidates = sorted(
            {*self.suspect_rows, *slow_rows, *self.due_recoveries(now)},
            key=lambda row: (-self.failed[row], row),
        )
        for row in candidates:  # nobody else can move
            failure_rate = self.failure_rate(row)
            weight_limit = self.weight_limits[row]
            succeeded = self.attempts[row] - self.failed[row]
            is_failing = self.failed[row] >= self.MIN_FAILED and failure_rate >= max(
                self.FAILURE_RATE_THRESHOLD, self.MIN_FAILURE_CONTRAST * best_failure_rate
            )
            is_fast = self.mean_latency(row) <= self.MAX_LATENCY_RATIO * self.baseline_latency
            is_slow = (
                succeeded >= self.MIN_SLOW_SUCCEEDED
                and 0.0 < self.SLOW_LATENCY_RATIO * median_latency <= self.mean_latency(row)
            )
            if is_failing and (is_fast or succeeded < 0.5):
                weight_limit = 0.0
            elif is_failing and not overloaded:
                weight_limit, self.recovery_limits[row] = (
                    min(weight_limit, self.OVERLOADED_LIMIT),
                    self.REDUCED_LIMIT,
                )
            elif weight_limit == 1.0 and not overloaded and is_slow:
                weight_limit = self.recovery_limits[row] = self.REDUCED_LIMIT
            elif (
                now >= self.due_at[row]
                and failure_rate <= self.MAX_RECOVERED_FAILURE_RATE
                and succeeded >= 1.0
                and is_fast
            ):
                weight_limit = (
                    1.0 if weight_limit == self.recovery_limits[row] else self.recovery_limits[row]
                )
            max_fraction = (
                self.MAX_UNRESPONSIVE_FRACTION
                if failure_rate >= self.UNRESPONSIVE_FAILURE_RATE and not weight_limit
                else self.max_ejected_fraction
            )
            weight_loss = weights[row] * (self.weight_limits[row] - weight_limit)
            if (
                not weight_loss
                or weight_loss > 0
                and ejected_weight + weight_loss > max_fraction * total_weight
            ):
                continue
            ejected_weight += weight_loss
            delays = {
                0.0: self.ejection_times[row] * self.random_uniform(1, 1.2),
                self.REDUCED_LIMIT: self.REDUCED_TIME,
            }
            self.weight_limits[row], self.due_at[row] = (
                weight_limit,
                now + delays.get(weight_limit, self.PROBATION_TIME),
            )
            if weight_limit in (0.0, 1.0):
                self.ejection_times[row] = (
                    self.BASE_EJECTION_TIME
                    if weight_limit
                    else min(2 * self.ejection_times[row], self.MAX_EJECTION_TIME)
                )
        for row in candidates:
            self.update_indexes(row)


class AdmissionController:
    """How much of each product is let in: under overload the least revenue per work is refused
    first.
    """

    # seconds between steps: about the time in which a step's effect can be heard
    UPDATE_INTERVAL = 1.0
    # median voided part, and settling time in SLA times, from which on is overload
    OVERLOAD_FAILURE_RATE = 0.08
    OVERLOAD_LATENCY_RATIO = 0.45
    # of the bound on settling time: voids at a usual pace have other causes than overload
    MIN_LATENCY_STRESS = 0.8
    # voided part that is overload at any pace: slow handshakes and lost answers stay below it
    CERTAIN_OVERLOAD_FAILURE_RATE = 0.4
    RECOVERY_STRESS = 0.85  # of either bound: below it more is let in again (hysteresis)
    DECREASE_FACTOR = 0.7  # times what is let in for each beat in overload
    # for each calm beat, up to near the share at which overload began, and beyond it
    FAST_INCREASE_FACTOR = 1.25
    SLOW_INCREASE_FACTOR = 1.04
    # what is near it; of the best settled rate, the least and kept
    FAST_INCREASE_LIMIT = 0.5
    MIN_THROUGHPUT_FRACTION = 0.5
    THROUGHPUT_DECAY = 0.98
    # least let in
    MIN_ADMITTED_FRACTION = 0.05
    # queues that tell a jam's end
    QUEUE_SAMPLES = 16
    # a zone of three spare
    SPARE_CAPACITY = 1.5

    def __init__(self, traffic_classes: tuple[TrafficClass, ...]) -> None:
        # Work is not told; the SLA time stands for it, as longer work is given more time.
        self.latency_objectives = [
            class_settings.latency_objective for class_settings in traffic_classes
        ]
        self.shed_order = sorted(
            range(len(traffic_classes)),
            key=lambda k: traffic_classes[k].priority_weight / traffic_classes[k].latency_objective,
        )
        self.request_rates = [1.0] * len(traffic_classes)  # txns a second of each product, smoothed
        self.arrivals = dict.fromkeys(
            (class_settings.name for class_settings in traffic_classes), 0
        )  # txns since the last beat
        self.succeeded = self.success_rate = self.best_success_rate = (
            0.0  # tries since the last beat; a second; the best of late
        )
        # the last two: of the last beat
        self.admitted_fraction = 1.0
        self.overload_threshold = 1.0
        self.updated_at = inf
        self.was_stable = True
        self.queue_lengths = deque[float](
            maxlen=self.QUEUE_SAMPLES
        )  # where workers tell how many txns wait at them

    def update(self, now: float, failure_rate: float, mean_latency: float) -> None:
        """Go by the median worker's voided part and pace, which a few bad workers don't move."""
        self.updated_at = min(self.updated_at, now)
        if now < self.updated_at + self.UPDATE_INTERVAL:
            return
        elapsed = now - self.updated_at
        self.updated_at = now
        rates_and_arrivals = zip(self.request_rates, self.arrivals.values(), strict=True)
        self.request_rates = [
            request_rate + (max(arrived, 0.1) / elapsed - request_rate) / 2
            for request_rate, arrived in rates_and_arrivals
        ]
        self.success_rate += (self.succeeded / elapsed - self.success_rate) / 2
        self.best_success_rate = max(
            self.success_rate, self.THROUGHPUT_DECAY * self.best_success_rate
        )
        self.arrivals = dict.fromkeys(self.arrivals, 0)
        self.succeeded = 0
        # Few voids are overload only where txns also settle late: else workers or connections fail,
        # not room. Danger: with next to all voided there is no pace to go by.
        latency_stress = (
            mean_latency
            / self.OVERLOAD_LATENCY_RATIO
            * sum(self.request_rates)
            / sum(self.work_rates())
        )
        # And voids told seconds late tell of a jam that is over, where nothing waits any more.
        queues_empty = (
            len(self.queue_lengths) == self.QUEUE_SAMPLES and median(self.queue_lengths) < 1.0
        )
        stress = (
            0.0
            if queues_empty
            else max(
                latency_stress,
                failure_rate
                / self.OVERLOAD_FAILURE_RATE
                * (
                    latency_stress >= self.MIN_LATENCY_STRESS
                    or failure_rate >= self.CERTAIN_OVERLOAD_FAILURE_RATE
                ),
            )
        )
        if stress > 1.0:
            self.overload_threshold = (
                self.admitted_fraction if self.was_stable else self.overload_threshold
            )
            self.admitted_fraction = max(
                self.DECREASE_FACTOR * self.admitted_fraction,
                min(
                    self.MIN_THROUGHPUT_FRACTION * self.best_success_rate / sum(self.request_rates),
                    1.0,
                ),
            )
        elif stress < self.RECOVERY_STRESS:
            increase_factor = (
                self.FAST_INCREASE_FACTOR
                if queues_empty
                or self.admitted_fraction < self.FAST_INCREASE_LIMIT * self.overload_threshold
                else self.SLOW_INCREASE_FACTOR
            )
            self.admitted_fraction = min(self.admitted_fraction * increase_factor, 1.0)
        self.was_stable = stress <= 1.0

    def work_rates(self) -> list[float]:
        return [
            request_rate * latency_objective
            for request_rate, latency_objective in zip(
                self.request_rates, self.latency_objectives, strict=True
            )
        ]

    def admitted_fractions(self, available_fraction: float = 1.0) -> list[float]:
        """Each product's share let in, in steps of a tenth so that small moves cost no orders."""
        work_by_class = self.work_rates()
        remaining_shed = (
            1.0 - min(self.admitted_fraction, self.SPARE_CAPACITY * available_fraction)
        ) * sum(work_by_class)
        fractions = [1.0] * len(work_by_class)
        for traffic_class in self.shed_order if remaining_shed else ():
            shed_work = min(
                remaining_shed, (1.0 - self.MIN_ADMITTED_FRACTION) * work_by_class[traffic_class]
            )
            remaining_shed -= shed_work
            fractions[traffic_class] = max(
                round(10 * (1.0 - shed_work / work_by_class[traffic_class])) / 10,
                self.MIN_ADMITTED_FRACTION,
            )
        return fractions


class Balancer:
    """One manager's decisions."""

    VERSION_WINDOW = 4  # versions: the paper's four status bits
    # seconds for an answer beyond the channel's delay
    ACK_TIMEOUT = 3.0
    # to clearing: the design's
    TABLE_RETENTION = 2.0
    # seconds to a void's report
    MAX_REPORT_DELAY = 2.0
    # median voided part for each share a cold bears
    RETRY_STORM_FAILURE_RATE = 0.1
    # voided part of all tries from which cold workers wait outside: a load on the rise had 0.14
    RISING_FAILURE_RATE = 0.1
    # a fresh worker's first share and each raise, and seconds between: the design's
    SLOW_START_STEP = 0.25
    SLOW_START_INTERVAL = 5.0
    # seconds of drain that may wait at a change; twice or thrice at a bind, else four times
    BASE_DRAIN_TIME = 0.5
    LAST_RESORT_FRACTION = 0.3  # share let in while a table has but workers that should be out
    # seconds between looks while busy
    TICK_INTERVAL = 0.25
    # before the list is asked again, doubled
    MIN_LIST_RETRY_DELAY = 0.5
    # times what is usually asked of a worker, from which on a small table gets one more: a raise
    HOT_SUBSET_RATIO = 1.25

    def __init__(self, settings: ManagerSettings) -> None:
        self.random_uniform = Random(settings.seed).uniform
        self.class_count = len(settings.traffic_classes)
        self.default_retry_policy = settings.default_retry_policy
        # divides
        self.list_poll_interval = settings.safety_limits.list_poll_interval
        self.warm_up_time = settings.safety_limits.warm_up_time or 1e-6
        initial_capacity = settings.safety_limits.initial_capacity_fraction
        capacity_step = (
            (1.0 - settings.safety_limits.initial_capacity_fraction)
            * self.SLOW_START_INTERVAL
            / self.warm_up_time
        )
        self.min_overload_multiple = (
            settings.safety_limits.overload_multiple
            * min(  # times its share, at the weakest moment of its ramp
                min(1.0, initial_capacity + n * capacity_step) / self.SLOW_START_STEP / (n + 1)
                for n in range(round(1 / self.SLOW_START_STEP))
            )
        )
        self.can_check_health = settings.can_check_health
        self.is_sharded = settings.shard_count > 0
        self.subset_size = settings.initial_subset_size
        self.same_zone_classes = [
            k
            for k, class_settings in enumerate(settings.traffic_classes)
            if class_settings.same_zone_only
        ]  # their zone's alone
        self.entries_per_endpoint = (
            2.0 if 0 < len(self.same_zone_classes) < self.class_count else 1.0
        )  # lines for a worker: those apart
        self.fleet = Fleet(
            lambda told: sum(told) / len(told)
        )  # a worker with no weight told has the mean
        self.budget = ChannelBudget(settings.channel)
        self.desired_weights = DesiredWeights()
        self.warming_rows = set[int]()
        self.outlier_detector = OutlierDetector(
            self.random_uniform,
            max(p.deadline for p in settings.traffic_classes) + self.MAX_REPORT_DELAY,
        )
        self.admission_controller = AdmissionController(settings.traffic_classes)
        self.controls_admission = settings.admission_mode == "share"
        self.full_admission = (
            1.0 if self.controls_admission else 1e6
        )  # where levels are rates, a share of 1 would shut a proxy
        self.assignments = Assignments(self.class_count)
        self.current_tables = dict[int, Table]()
        self.staged_updates = dict[int, StagedUpdate]()
        self.armed_timers = set[float]()
        self.last_version = self.last_ack_number = self.last_table_id = self.last_timer_token = 0
        # the latter: over which all are dealt
        self.ejected_rows = set[int]()
        self.subset_tables = list[Table]()
        self.silent_since = -inf  # who was written to before and has not answered is silent
        self.list_retry_at = -inf if settings.must_subscribe else inf
        self.list_retry_delay = self.MIN_LIST_RETRY_DELAY
        self.logged_limits = dict[int, float]()
        self.sharding_logged = False
        self.is_channel_constrained = False
        self.blocked_rows: dict[
            int, float
        ] = {}  # by worker, until when what was refused of it stays so
        self.blocked_classes: dict[
            int, float
        ] = {}  # by product, until when levels stay after one was refused
        self.overrides: dict[int, OverrideChanged] = {}  # by product, an operator's word
        # workers to be planned anew
        self.partition_limits = PartitionLimitsChanged(OutlierDetector.MAX_EJECTED_FRACTION)
        self.rows_to_plan = set[int]()

    # Events: what is known.

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        if self.is_sharded:
            already_logged = self.sharding_logged
            self.sharding_logged = True
            return [] if already_logged else [LogMessage("slices are not decided by this version")]
        for event in events:
            self._handle_event(now, event)
        return self._reconcile(now, self._plan(now))

    def _handle_event(self, now: float, event: Event) -> None:
        match event:
            case EndpointsUpdated(update_type="failed"):
                self.list_retry_at = now + self.list_retry_delay * self.random_uniform(0.5, 1.0)
                self.list_retry_delay = min(
                    2 * self.list_retry_delay,
                    max(self.list_poll_interval / 4, self.MIN_LIST_RETRY_DELAY),
                )
            case EndpointsUpdated():
                self.list_retry_delay = self.MIN_LIST_RETRY_DELAY
                for row, is_new in self.fleet.apply_update(
                    event,
                    lambda: self.assignments.referenced_rows(self.ejected_rows, self.blocked_rows),
                ):
                    if is_new:
                        self.outlier_detector.add_endpoint(row)
                        self.logged_limits.pop(row, None)
                    self.outlier_detector.reset(row, 1.0, now)
                self.outlier_detector.set_ready(self.fleet.readiness_changes, self.fleet.ready)
                self.assignments.set_ready(self.fleet.readiness_changes, self.fleet.ready)
            case ProxyConnected(proxy_id) | ProxyDisconnected(proxy_id):
                self.budget.forget_proxy(proxy_id)
                self.assignments.remove_proxy(proxy_id)
                for update in self.staged_updates.values():
                    update.awaited_proxies.discard(proxy_id)
                if isinstance(event, ProxyConnected):
                    is_zone_reconnected = all(
                        other.zone != event.zone for other in self.assignments.proxies.values()
                    )
                    for row, weight_limit in enumerate(
                        self.outlier_detector.weight_limits if is_zone_reconnected else ()
                    ):
                        if not weight_limit and self.fleet.zones[row] == event.zone:
                            self.outlier_detector.reset(
                                row, 1.0, now
                            )  # first proxy back: the zone is in reach again
                    self.assignments.add_proxy(proxy_id, event.zone, event.requests_per_second)
            case Acknowledged(proxy_id, ack_number, latency) if (
                ack_number in self.budget.awaited_acks.get(proxy_id, ())
            ):
                acknowledged = self.budget.handle_acknowledgement(proxy_id, ack_number, latency)
                self.assignments.acknowledge(proxy_id, acknowledged)
                for update in self.staged_updates.values():
                    update.awaited_proxies -= (
                        {proxy_id} if update.ack_number in acknowledged else set()
                    )
            case EndpointReported(worker=worker) if worker in self.fleet.row_by_id:
                row = self.fleet.row_by_id[worker]
                self.admission_controller.succeeded += (event.attempts - event.failed) * event.local
                self.admission_controller.queue_lengths.extend(
                    [event.load["queue"]]
                    if self.is_channel_constrained and "queue" in event.load
                    else ()
                )
                if self.outlier_detector.weight_limits[row]:
                    self.outlier_detector.record(
                        row, now, event.attempts, event.failed, event.latency
                    )
            case HealthCheckCompleted(worker=worker) if worker in self.fleet.row_by_id:
                if not self.outlier_detector.weight_limits[row := self.fleet.row_by_id[worker]]:
                    probation_limit, delay = (
                        (OutlierDetector.PROBATION_LIMIT, OutlierDetector.PROBATION_TIME)
                        if event.healthy
                        else (0.0, OutlierDetector.HEALTH_CHECK_INTERVAL)
                    )
                    self.outlier_detector.reset(row, probation_limit, now + delay)
            case DemandReported(traffic_class=class_name) if (
                class_name in self.admission_controller.arrivals
            ):
                self.admission_controller.arrivals[class_name] += event.requests
            case OrderRejected(order=order):
                self._handle_rejection(now, order)
            case OverrideChanged(traffic_class):
                self.overrides[traffic_class] = event
            case PartitionLimitsChanged():
                self.rows_to_plan.update(
                    self.desired_weights.weight_fractions if event != self.partition_limits else ()
                )
                self.partition_limits = event
                self.outlier_detector.max_ejected_fraction = event.max_ejected_fraction

    def _handle_rejection(self, now: float, order: Order) -> None:
        """The order was not carried out: go by what is, and leave it for the time of a raise."""
        tables = self.assignments.tables
        proxies = self.assignments.proxies
        match order:
            case SetWeight(table_id, worker) if worker in self.fleet.row_by_id:
                self.blocked_rows[row := self.fleet.row_by_id[worker]] = (
                    now + self.SLOW_START_INTERVAL
                )
                if table_id in tables:
                    self.assignments.set_entry(tables[table_id], row, None)
            case AssignTable(proxy_id, traffic_classes, table_id) if proxy_id in proxies:
                # Danger: a joiner left bare for a raise, having come before the list, at an empty
                # table.
                is_empty = table_id in tables and not tables[table_id].weights
                proxies[proxy_id].assign_after = now + (
                    self.TICK_INTERVAL if is_empty else self.SLOW_START_INTERVAL
                )
                self.assignments.unassign(proxy_id, traffic_classes, table_id)
            case SetEjected(worker, ejected) if worker in self.fleet.row_by_id:
                self.blocked_rows[row := self.fleet.row_by_id[worker]] = (
                    now + self.SLOW_START_INTERVAL
                )
                (self.ejected_rows.discard if ejected else self.ejected_rows.add)(row)
            case SetAdmission(table_id, traffic_class) if traffic_class < self.class_count:
                self.blocked_classes[traffic_class] = now + self.SLOW_START_INTERVAL
                if table_id in tables:
                    tables[table_id].admission_levels[traffic_class] = tables[
                        table_id
                    ].previous_levels.get(
                        traffic_class, (self.full_admission, self.default_retry_policy)
                    )
            case DeleteTable(table_id) if (
                table_id not in tables
            ):  # Danger: a number in use would be given out again
                self.assignments.add_table(Table(table_id, {}, {}, []))

    # The wanted state.

    def _plan(self, now: float) -> DesiredState:
        detector = self.outlier_detector
        base_weights = self.fleet.base_weights
        detector.update_limits(now, base_weights, self.fleet.total_weight())
        for row in detector.due_ejections(now) if not self.can_check_health else ():
            detector.reset(
                row, OutlierDetector.PROBATION_LIMIT, now + OutlierDetector.PROBATION_TIME
            )
        median_failure_rate = (
            sorted_median(detector.failure_rates) if detector.failure_rates else 0.0
        )
        is_retry_storm = (
            now < detector.baseline_valid_at
            or median_failure_rate >= self.RETRY_STORM_FAILURE_RATE * self.min_overload_multiple
        )
        # Word of a storm comes seconds late: no other cold worker is let in while tries fail
        # anywhere.
        attempts, failed = detector.attempt_totals(self.RISING_FAILURE_RATE)
        is_load_rising = (
            not self.admission_controller.was_stable
            or failed >= self.RISING_FAILURE_RATE * attempts > 0.0
        )
        tables = [
            *dict.fromkeys(
                [
                    *self.assignments.list_tables_in_use(),
                    *self.current_tables.values(),
                    *(c.table for c in self.staged_updates.values()),
                ]
            )
        ]
        self._update_weights(now)
        weight_fractions = self.desired_weights.weight_fractions
        ejected = detector.ejected_rows.union(*(table.unready_rows for table in tables))
        # Danger: a cold worker pushed over, a drained one sent to. Out while any table gives it too
        # much. Danger: a storm of repeats brings cold workers many times their share, more so to a
        # new manager.
        weight_limits = {row: detector.weight_limits[row] for row in detector.probation_rows}
        for row in self.warming_rows - detector.ejected_rows:
            must_wait = (
                is_retry_storm
                or is_load_rising
                and (
                    row in self.ejected_rows
                    or not any(row in table.weight_fractions for table in tables)
                )
            )
            weight_limits[row] = min(
                weight_limits.get(row, inf),
                0.0 if must_wait else self._slow_start_fraction(row, now),
            )
        ejected |= {
            row
            for row, bound in weight_limits.items()
            if weight_fractions[row] > bound
            or any(table.weight_fractions.get(row, 0.0) > bound for table in tables)
        }
        self._advance_updates(now)
        admitted_fractions = [self.full_admission] * self.class_count
        if self.controls_admission and detector.failure_rates:
            self.admission_controller.update(
                now, median_failure_rate, sorted_median(detector.mean_latencies)
            )
            admitted_fractions = self.admission_controller.admitted_fractions(
                self.fleet.available_fraction(
                    self.ejected_rows, 1.01 / AdmissionController.SPARE_CAPACITY
                )
            )
        # Danger: an effect twice. Only on proof that none ran; not in overload or before a calm was
        # seen.
        retry_policy = (
            min(self.default_retry_policy, 1)
            if detector.baseline_latency and min(admitted_fractions) >= 1.0
            else 0
        )
        default_weights = (
            self.desired_weights.ordered_weights()
            if self.overrides
            else self.desired_weights.default_weights
        )
        weights_by_class = [
            self._overridden_weights(k, default_weights, ejected)
            if k in self.overrides
            else default_weights
            for k in range(self.class_count)
        ]
        current_tables = set(self.current_tables.values())
        for (
            table
        ) in tables:  # Danger: nobody left. Where all of a table are out, the cold come in, or any
            is_current = table in current_tables
            is_unready = len(table.weight_fractions) == len(table.unready_rows)
            if (
                not self.same_zone_classes
                and not (
                    base_weights if is_current and is_unready else table.weight_fractions
                ).keys()
                <= ejected
            ):
                continue
            ready_rows = table.weight_fractions.keys() & base_weights.keys() or (
                base_weights.keys() if is_current else set()
            )
            if ready_rows and ready_rows <= ejected:
                ejected -= ready_rows & weight_limits.keys() or ready_rows
                admitted_fractions = [
                    min(s, self.LAST_RESORT_FRACTION * self.full_admission) if is_current else s
                    for s in admitted_fractions
                ]
            for zone_rows in (
                self.fleet.by_zone(ready_rows).values() if self.same_zone_classes else ()
            ):
                warm_rows = [
                    row
                    for row in zone_rows
                    if now - self.fleet.started_at[row] >= self.warm_up_time
                ]  # one will do
                ejected -= (
                    {min(warm_rows, key=lambda row: (detector.failure_rate(row), row))}
                    if warm_rows and zone_rows <= ejected
                    else set()
                )
        self.blocked_rows = {row: at for row, at in self.blocked_rows.items() if at > now}
        return DesiredState(
            weights_by_class,
            weight_fractions,
            [admission_level(share, retry_policy) for share in admitted_fractions],
            ejected,
        )

    def _slow_start_fraction(self, row: int, now: float) -> float:
        age = now - self.fleet.started_at[row]
        return (
            min(1.0, self.SLOW_START_STEP * (1 + max(0, age // self.SLOW_START_INTERVAL)))
            if age < self.warm_up_time
            else 1.0
        )

    def _update_weights(self, now: float) -> None:
        """Each worker's part of its weight, and its share, of those for whom something changed."""
        fleet = self.fleet
        detector = self.outlier_detector
        weight_fractions = self.desired_weights.weight_fractions
        self.rows_to_plan |= fleet.take_changed_rows() | detector.take_changed_rows()
        due_rows = {*self.rows_to_plan, *self.warming_rows, *self.blocked_rows}
        self.desired_weights.remove(row for row in due_rows if row not in fleet.base_weights)
        self.warming_rows = {
            row
            for row in due_rows & fleet.base_weights.keys()
            if now - fleet.started_at[row] < self.warm_up_time
        }
        for row in due_rows & fleet.base_weights.keys():
            slow_start_fraction = self._slow_start_fraction(row, now)
            weight_fraction = min(
                slow_start_fraction, detector.weight_limits[row] or OutlierDetector.PROBATION_LIMIT
            )  # ahead of its trial: needs no change then
            if (
                not self.partition_limits.may_change_weights
                or not self.partition_limits.may_raise_weights
                and row in self.warming_rows
            ):  # cut off
                weight_fraction = min(
                    weight_fraction
                    if self.partition_limits.may_change_weights
                    else slow_start_fraction,
                    weight_fractions.get(row, slow_start_fraction),
                )
            self.desired_weights.set_weight(
                row,
                weight_fraction,
                None
                if self.blocked_rows.get(row, 0.0) > now
                else fleet.base_weights[row] * weight_fraction,
            )

    def _overridden_weights(
        self, traffic_class: int, default_weights: Weights, ejected: set[int]
    ) -> Weights:
        """A product's shares as pinned: other weights, the same ramp. Danger: all its workers out."""
        override = self.overrides[traffic_class]
        weight_fractions = self.desired_weights.weight_fractions
        weights = {
            self.fleet.row_by_id[w]: weight
            for w, weight in override.weights
            if w in self.fleet.row_by_id
        }
        if not weights and override.keep_unlisted:
            return default_weights
        override_weights = {
            i: weight * weight_fractions[i]
            for i, weight in weights.items()
            if weight is not None and i in default_weights
        }
        effective_weights = {
            i: n
            for i, n in {**default_weights, **override_weights}.items()
            if n and (override.keep_unlisted or i in weights)
        }
        return default_weights if ejected >= effective_weights.keys() else effective_weights

    def _advance_updates(self, now: float) -> None:
        """Move each change on as far as answers and timers let it."""
        ack_timeout = (
            self.ACK_TIMEOUT
            + self.budget.queued_entries / self.budget.entries_per_second
            + 2 * self.budget.channel.transit_time
        )
        self.silent_since = now - ack_timeout
        lagging_classes = self.assignments.lagging_classes(
            {
                traffic_class: (c.old_table, c.table)
                for traffic_class, c in self.staged_updates.items()
                if c.assigned
            },
            self.silent_since,
        )
        for traffic_class, update in list(self.staged_updates.items()):
            if update.requested_at <= self.silent_since:
                update.awaited_proxies.clear()  # silent proxies leave the awaited set
            if update.assigned and traffic_class not in lagging_classes:
                is_unused = update.old_table not in self.current_tables.values()
                self.assignments.schedule_deletion(
                    update.old_table, now + self.TABLE_RETENTION if is_unused else inf
                )
                del self.staged_updates[traffic_class]

    # The difference, and the only place that orders.

    def _reconcile(self, now: float, desired: DesiredState) -> list[Order]:
        self.last_ack_number = next_free_number(self.last_ack_number, self.budget.pending_replies)
        batch = OrderBatch(self.budget, now, self.last_ack_number)
        weights_by_class = desired.weights
        detector = self.outlier_detector
        for row in sorted(
            {*self.rows_to_plan, *detector.due_ejections(now)} & desired.weight_fractions.keys()
        ):
            if detector.weight_limits[row] != self.logged_limits.get(row, 1.0):
                self.logged_limits[row] = detector.weight_limits[row]
                batch.orders.append(
                    LogMessage(
                        f"{self.fleet.ids[row]} to {detector.weight_limits[row]}: {detector.failure_rate(row):.2f} of {detector.attempts[row]:.0f} "
                        f"tries voided, pace {detector.mean_latency(row):.2f} s"
                    )
                )
            if (
                self.can_check_health
                and not detector.weight_limits[row]
                and detector.due_at[row] <= now
                and row not in self.blocked_rows
            ):
                detector.postpone(row)  # until the probe's result
                batch.orders.append(CheckHealth(self.fleet.ids[row]))
        self.rows_to_plan.clear()
        self.desired_weights.set_ejected(desired.ejected)
        if not self.current_tables:
            created_tables = {
                n: self._create_table(batch, desired, w)
                for n, w in {id(w): w for w in weights_by_class}.items()
            }
            self.current_tables = {
                k: created_tables[id(weights)] for k, weights in enumerate(weights_by_class)
            }
        entries = (max(map(len, weights_by_class)) + 2.0) * len(self.assignments.proxies)
        is_crowded = (
            self.class_count * entries > self.BASE_DRAIN_TIME * self.budget.entries_per_second
        )
        # Departure: where one table to all takes longer than a ramp, small ones stay, and are kept
        # up.
        self.is_channel_constrained = (
            is_crowded
            and not desired.differs_by_class()
            and entries > self.warm_up_time * self.budget.entries_per_second
        )
        if is_crowded:
            self._assign_subsets(batch, desired)
        self._update_ejections(batch, desired)
        self._update_admission(batch, desired)
        distances = self.desired_weights.distances(self.current_tables.values(), weights_by_class)
        class_order = sorted(range(self.class_count), key=lambda k: -distances[k])
        all_proxies = self._begin_updates(
            batch, desired, [k for k in class_order if distances[k]], is_crowded
        )
        if self.is_channel_constrained and not batch.exceeds_drain(self.BASE_DRAIN_TIME):
            self._update_subsets(batch, desired)
        self._switch_tables(batch, class_order, is_crowded)
        batch.orders.extend(
            map(DeleteTable, self.assignments.take_deletable(now))
        )  # no line: nobody is bound there
        if batch.entries_by_proxy:
            batch.orders.append(RequestAcknowledgement(batch.ack_number, all_proxies))
            self.budget.record(batch.ack_number, now, batch.entries_by_proxy)
        if self.list_retry_at <= now:
            self.list_retry_at = inf
            batch.orders.append(WatchEndpoints())
        self._set_timer(batch, desired)
        return batch.orders

    def _assignment_cost(self, table: Table) -> float:  # lines of a bind to it
        return (
            self.class_count
            + self.entries_per_endpoint * (1.0 + len(table.weights))
            + len(self.ejected_rows & table.weights.keys())
        )

    def _assign(
        self,
        batch: OrderBatch,
        proxy_id: int,
        traffic_classes: tuple[int, ...],
        table: Table,
        priority: int,
        max_drain_time: float = inf,
    ) -> bool:
        if reserved := batch.reserve(
            (proxy_id,), self._assignment_cost(table), priority, max_drain_time
        ):
            batch.orders.append(AssignTable(proxy_id, traffic_classes, table.table_id))
            self.assignments.assign(proxy_id, traffic_classes, table, batch.ack_number, batch.now)
        return reserved

    def _assign_subsets(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Danger: nobody left, or drains late, while whole tables or a mass of withdrawals take
        long. Joiners and who loses all workers, or more than the lines it costs, are sent a
        small table first.
        """
        newly_ejected = desired.ejected - self.ejected_rows
        max_ejected = 1 + self.class_count + self.subset_size
        is_mass_ejection = (
            len(newly_ejected) * len(self.assignments.proxies)
            > 3 * self.BASE_DRAIN_TIME * self.budget.entries_per_second
        )
        unavailable = desired.ejected.union(self.blocked_rows)
        has_available = not desired.weight_fractions.keys() <= unavailable
        full_table = (
            self.current_tables[0]
            if len(set(self.current_tables.values())) == 1 and not self.is_channel_constrained
            else None
        )
        proxies_in_need = list[Collection[int]]()
        capacities = dict[Table, float]()
        min_entries = 0.0
        rows_by_zone = (
            self.fleet.by_zone(i for i in desired.weight_fractions if i not in unavailable)
            if self.same_zone_classes
            else {}
        )
        for assigned_tables, members in self.assignments.groups.items():
            table_rows = [table.weights.keys() for table in dict.fromkeys(assigned_tables) if table]
            if (
                not table_rows
                or has_available
                and any(
                    t <= unavailable or is_mass_ejection and len(t & newly_ejected) > max_ejected
                    for t in table_rows
                )
            ):
                proxies_in_need.append(members)
            elif rows_by_zone:
                proxies_in_need.append(
                    [
                        proxy_id
                        for proxy_id in members
                        if self.assignments.lacks_local_endpoint(
                            proxy_id,
                            rows_by_zone,
                            [assigned_tables[k] for k in self.same_zone_classes],
                        )
                    ]
                )
        for proxy_id in self.assignments.by_join_order(proxies_in_need):
            is_new_proxy = not any(self.assignments.proxies[proxy_id].assigned_tables)
            if (
                full_table
                and is_new_proxy
                and not batch.exceeds_drain(self.BASE_DRAIN_TIME, proxy_id)
                and self._assign(
                    batch, proxy_id, tuple(self.current_tables), full_table, 1, self.BASE_DRAIN_TIME
                )
            ):
                continue  # a short queue carries it whole at once
            capacities = capacities or self._subset_capacities(batch, desired)
            min_entries = min_entries or batch.message_overhead + min(
                map(self._assignment_cost, capacities)
            )
            if not batch.fits(min_entries, 0):
                break
            table = min(
                capacities,
                key=lambda table: (
                    self.assignments.lacks_local_endpoint(proxy_id, rows_by_zone, [table]),
                    (table.request_rate + self.assignments.proxies[proxy_id].request_rate)
                    / capacities[table],
                ),
            )
            if (
                not rows_by_zone
                or table is not self.assignments.proxies[proxy_id].assigned_tables[0]
            ):  # kept up in place, see _tend
                self._assign(batch, proxy_id, tuple(range(self.class_count)), table, 0)

    def _subset_capacities(self, batch: OrderBatch, desired: DesiredState) -> dict[Table, float]:
        """By small table what its workers bear. The best workers are dealt anew, each manager
        shuffling for itself, once all small tables bear less than half of it, or one that nobody
        uses holds others.
        """
        self.desired_weights.ordered_weights()
        weights = desired.common_weights()
        used_subsets = [table for table in self.subset_tables if table.use_count]
        best_rows = [
            i
            for i in weights
            if i not in desired.ejected
            and (self.same_zone_classes or desired.weight_fractions[i] == 1.0)
        ]
        best_rows = best_rows or [i for i in weights if i not in desired.ejected] or list(weights)
        zones = (
            self.fleet.by_zone(best_rows).values() if self.same_zone_classes else ()
        )  # somebody of every zone is in each
        best_row_set = set(best_rows)
        capacities = self.desired_weights.capacities(self.subset_tables, desired.weights[0])
        is_stale = any(
            not table.weight_fractions.keys() <= best_row_set
            for table in self.subset_tables
            if not table.use_count
        ) or any(
            all(near.isdisjoint(table.weights) for table in self.subset_tables) for near in zones
        )
        if (
            is_stale
            or 2 * sum(capacities.values()) < sum(weights[i] for i in best_rows)
            or not self.subset_tables
        ):
            self.assignments.retire_unused(self.subset_tables, batch.now)
            best_rows.sort(
                key=lambda i: (
                    self.fleet.zones[i] if self.same_zone_classes else "",
                    self.random_uniform(0.0, 1.0),
                )
            )
            count = min([-(-len(best_rows) // self.subset_size) or 1, *map(len, zones)])
            subset_weights = ({i: weights[i] for i in best_rows[n::count]} for n in range(count))
            self.subset_tables = self.assignments.mark_subsets(
                used_subsets + [self._create_table(batch, desired, part) for part in subset_weights]
            )
        return self.desired_weights.capacities(self.subset_tables, desired.weights[0])

    def _update_subsets(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Small tables follow in place. A worker that is in none joins where most is asked, and one
        of which least is asked where that is HOT times the usual.
        """
        weights = desired.common_weights()
        tables = self.assignments.subsets_in_use()
        updatable = {
            table
            for table in tables
            if not self.assignments.has_lagging_proxy(0, table, table, self.silent_since)
            and (
                batch.cost(
                    self.assignments.assigned_proxies(table),
                    self.entries_per_endpoint,
                    3,
                    self.BASE_DRAIN_TIME,
                )
                is not None
            )
        }
        demand_ratios = {
            table: table.request_rate / bears
            for table, bears in self.desired_weights.capacities(tables, weights).items()
        }
        usual_ratio = cache(
            lambda: (
                sum(table.request_rate for table in tables)
                / (self.desired_weights.available_weight(weights) or 1.0)
            )
        )
        uncovered_rows = iter(
            [
                *islice(
                    self.desired_weights.available_uncovered_rows(
                        self.assignments.subset_coverage, weights
                    ),
                    len(tables),
                )
            ]
        )
        rows_by_demand = cache(lambda: self.desired_weights.rows_by_demand(weights, demand_ratios))
        added_rows = dict[Table, int | None]()  # all are chosen before a table changes
        for table in sorted(tables if updatable else (), key=lambda table: -demand_ratios[table]):
            zones = (
                self.fleet.by_zone(i for i in table.weights if i in weights)
                if self.same_zone_classes
                else ()
            )
            remote_rows = (
                i for i in (rows_by_demand() if zones else ()) if self.fleet.zones[i] not in zones
            )
            added_rows[table] = next(chain(remote_rows, uncovered_rows), None)
            if (
                added_rows[table] is None
                and table in updatable
                and self.HOT_SUBSET_RATIO * usual_ratio() < demand_ratios[table]
            ):
                added_rows[table] = next(
                    (i for i in rows_by_demand() if i not in table.weights), None
                )
        for table, added_row in added_rows.items():
            if (
                table in updatable
                and (
                    added_row is not None
                    or self.desired_weights.differing_rows(table, weights, include_missing=False)
                )
                and (
                    batch.cost(
                        self.assignments.assigned_proxies(table),
                        self.entries_per_endpoint,
                        3,
                        self.BASE_DRAIN_TIME,
                    )
                    is not None
                )
            ):
                self._amend_table(
                    batch,
                    desired,
                    table,
                    {i: weights[i] for i in (*table.weights, added_row) if i in weights},
                )

    def _update_ejections(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Withdrawals first, without stages, the rules' ahead. Danger: all else in a slow channel's
        way.
        """
        changed_rows = desired.ejected ^ self.ejected_rows
        groups_by_row = self.assignments.groups_by_row(changed_rows)
        for row in sorted(changed_rows, key=lambda row: (row in desired.weight_fractions, row)):
            is_mandatory = row in desired.ejected and (
                row not in desired.weight_fractions
                or self.outlier_detector.weight_limits[row] > 0.0
            )
            priority, max_drain_time = (0, inf) if is_mandatory else (1, 4 * self.BASE_DRAIN_TIME)
            if (
                row not in self.blocked_rows
                and batch.fits(sum(map(len, groups_by_row[row])), priority)
                and batch.reserve(
                    [*chain.from_iterable(groups_by_row[row])], 1.0, priority, max_drain_time
                )
            ):
                batch.orders.append(SetEjected(self.fleet.ids[row], row in desired.ejected))
                self.ejected_rows ^= {row}

    def _update_admission(self, batch: OrderBatch, desired: DesiredState) -> None:
        for traffic_class, table, groups in self.assignments.differing_admission(
            desired.admission_levels
        ):
            if batch.now >= self.blocked_classes.get(traffic_class, 0.0) and batch.reserve(
                [*chain.from_iterable(groups)], 1.0, 2, 4 * self.BASE_DRAIN_TIME
            ):
                table.previous_levels[traffic_class], table.admission_levels[traffic_class] = (
                    table.admission_levels[traffic_class],
                    desired.admission_levels[traffic_class],
                )
                batch.orders.append(
                    SetAdmission(
                        table.table_id,
                        traffic_class,
                        table.admission_levels[traffic_class][1],
                        table.admission_levels[traffic_class][0],
                    )
                )

    def _begin_updates(
        self, batch: OrderBatch, desired: DesiredState, class_order: list[int], is_crowded: bool
    ) -> bool:
        """Begin changes, laid where nobody is bound; tells if all are asked. Departure: where all
        tables to all proxies exceed a turn's drain, equal products share one, and only
        differences go (paper, V-G).
        """
        weights_by_class = desired.weights
        all_proxies = False
        groups = dict[int, list[int]]()
        for traffic_class in class_order if not batch.exceeds_drain(self.BASE_DRAIN_TIME) else ():
            if traffic_class not in self.staged_updates:
                groups.setdefault(
                    id(weights_by_class[traffic_class]) if is_crowded else traffic_class, []
                ).append(traffic_class)
        for group in groups.values():
            old_tables = {
                traffic_class: self.current_tables[traffic_class] for traffic_class in group
            }
            table = self.current_tables[group[0]]
            weights = weights_by_class[group[0]]
            is_split = desired.differs_by_class() and any(
                weights_by_class[traffic_class] is not weights
                for traffic_class, t in self.current_tables.items()
                if t is table
            )
            if is_crowded and len(set(old_tables.values())) == 1 and not is_split:
                if not self._amend_table(batch, desired, table, weights):
                    continue
            elif batch.reserve(self.assignments.proxies, 0.0, 3, self.BASE_DRAIN_TIME):
                table = self._create_table(batch, desired, weights)
                all_proxies = True
            else:
                continue
            for traffic_class in group:
                self.last_version = self.last_version + 1
                amended_in_place = table is old_tables[traffic_class]
                awaited_proxies = set() if amended_in_place else set(self.assignments.proxies)
                self.staged_updates[traffic_class] = StagedUpdate(
                    self.last_version,
                    table,
                    old_tables[traffic_class],
                    batch.ack_number,
                    batch.now,
                    awaited_proxies,
                    amended_in_place,
                )
        return all_proxies

    def _amend_table(
        self, batch: OrderBatch, desired: DesiredState, table: Table, weights: dict[int, float]
    ) -> bool:
        """Lines of a table in place, as many as a turn's drain carries to all that are bound to it."""
        proxy_ids = self.assignments.assigned_proxies(table)
        entries_per_proxy = (
            2 * self.BASE_DRAIN_TIME * self.budget.entries_per_second - self.budget.queued_entries
        ) / max(len(proxy_ids), 1)
        max_entries = max(
            1,
            int(
                (entries_per_proxy - self.budget.channel.message_overhead)
                / self.entries_per_endpoint
            ),
        )
        changed_rows = self._changed_rows(table, weights, desired.ejected)[:max_entries]
        # Who is out gets nothing whatever its line says: it waits for a message that goes anyway.
        can_wait = not any(
            row in weights and self.outlier_detector.weight_limits[row] for row in changed_rows
        ) and any(p not in batch.entries_by_proxy for p in proxy_ids)
        if (
            not changed_rows
            or can_wait
            or not batch.reserve(
                proxy_ids, self.entries_per_endpoint * len(changed_rows), 3, self.BASE_DRAIN_TIME
            )
        ):
            return False
        for row in changed_rows:
            batch.orders.append(
                SetWeight(table.table_id, self.fleet.ids[row], weights.get(row, 0.0))
            )
            self.assignments.set_entry(
                table, row, weights.get(row), desired.weight_fractions.get(row, 0.0)
            )
        self.assignments.record_update(table, proxy_ids, batch.ack_number, batch.now)
        return True

    def _switch_tables(self, batch: OrderBatch, class_order: list[int], is_crowded: bool) -> None:
        """Ready changes become current within the window; then whoever is on another table is
        bound.
        """
        for traffic_class, update in self.staged_updates.items():
            if (
                not update.assigned
                and not update.awaited_proxies
                and not any(
                    c.awaited_proxies
                    for c in self.staged_updates.values()
                    if c.version < update.version - self.VERSION_WINDOW
                )
            ):
                update.assigned, self.current_tables[traffic_class] = True, update.table
        for new_proxies in (True, False)[is_crowded:] if not self.is_channel_constrained else ():
            priority, max_drain_time = (
                (1, 2 * self.BASE_DRAIN_TIME)
                if new_proxies
                else (3, (3 if is_crowded else 2) * self.BASE_DRAIN_TIME)
            )
            for table in dict.fromkeys(
                self.current_tables[traffic_class] for traffic_class in class_order
            ):
                cost = self._assignment_cost(table)
                missing_classes = (
                    self.assignments.groups_to_assign(self.current_tables, table, new_proxies)
                    if batch.fits(cost, priority)
                    else {}
                )
                for proxy_id in self.assignments.by_join_order(
                    self.assignments.groups[tops] for tops in missing_classes
                ):
                    proxy = self.assignments.proxies[proxy_id]
                    already_assigned = (
                        is_crowded and proxy.updated_at == batch.now
                    )  # with a small table in this very reply
                    if not (
                        already_assigned
                        or batch.exceeds_drain(max_drain_time, proxy_id)
                        or proxy.assign_after > batch.now
                    ):  # its last was refused
                        self._assign(
                            batch,
                            proxy_id,
                            missing_classes[proxy.assigned_tables],
                            table,
                            priority,
                            max_drain_time,
                        )
                    if not batch.fits(cost, priority):
                        break

    def _create_table(
        self, batch: OrderBatch, desired: DesiredState, weights: dict[int, float]
    ) -> Table:
        self.desired_weights.ordered_weights()
        self.last_table_id = table_id = next_free_number(
            self.last_table_id, self.assignments.tables
        )
        weight_fractions = {i: desired.weight_fractions.get(i, 1.0) for i in weights}
        table = self.assignments.add_table(
            Table(table_id, dict(weights), weight_fractions, list(desired.admission_levels))
        )
        batch.orders.extend(
            SetWeight(table_id, self.fleet.ids[i], admitted_fraction)
            for i, admitted_fraction in table.weights.items()
        )
        for traffic_class, (admitted_fraction, retry_policy) in enumerate(table.admission_levels):
            if (admitted_fraction, retry_policy) != (
                self.full_admission,
                self.default_retry_policy,
            ):
                batch.orders.append(
                    SetAdmission(table_id, traffic_class, retry_policy, admitted_fraction)
                )
        return table

    def _changed_rows(
        self, table: Table, weights: dict[int, float], ejected: set[int]
    ) -> list[int]:
        """Workers whose line differs, the largest first; those taken away, who are withdrawn by
        now, last.
        """
        installed = table.weights
        # Danger: a new line for one that must stay out, as nobody may have been told of its
        # withdrawal.
        changed = self.desired_weights.differing_rows(table, weights) - (ejected - installed.keys())
        return sorted(
            changed,
            key=lambda i: (i not in weights, -abs(weights.get(i, 0.0) - installed.get(i, 0.0)), i),
        )

    def _set_timer(self, batch: OrderBatch, desired: DesiredState) -> None:
        """One timer at the next time at which something is due of itself."""
        now = batch.now
        has_pending_work = (
            self.staged_updates
            or self.budget.pending_replies
            or batch.deferred
            or desired.ejected ^ self.ejected_rows
        )
        due_times = [
            now + self.TICK_INTERVAL
            if has_pending_work or self.assignments.has_retiring_tables()
            else inf,
            self.list_retry_at,
            *self.blocked_rows.values(),
        ]
        due_times += [
            max(at, now + self.TICK_INTERVAL)
            for at, _ in self.outlier_detector.ejection_deadlines[:1]
        ]
        due_times += [
            now
            + self.SLOW_START_INTERVAL
            - (now - self.fleet.started_at[i]) % self.SLOW_START_INTERVAL
            for i in self.warming_rows
        ]
        self.armed_timers = {at for at in self.armed_timers if at > now}
        if min(due_times) < min(self.armed_timers, default=inf):
            self.last_timer_token += 1
            self.armed_timers.add(min(due_times))
            batch.orders.append(SetTimer(min(due_times) - now, self.last_timer_token))
