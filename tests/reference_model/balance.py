"""All decisions of a manager: which endpoints each proxy may use, at which weight, and when.

Create `Balancer(settings)` at the start, then call `decide(now, events)` for each batch, with the
clock in seconds; it returns orders in the order in which they take effect. Events change what is
known, `_plan` derives the desired state from it, and only `_reconcile` orders the difference to it.
`docs/design.md` describes how this follows CCU, the concurrent two-phase update.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from itertools import chain
from math import inf
from random import Random
from statistics import median

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
from tests.reference_model.listing import Fleet
from tests.reference_model.outstanding import PendingAcks, next_free_number
from tests.reference_model.seating import AssignedTables, Assignments, Proxy, Table
from tests.reference_model.state import DesiredState, StagedUpdate


class ChannelBudget(PendingAcks):
    """Estimates how many entries wait in the channel, from orders and acknowledgements."""

    # An acknowledgement shows the rate if this much waited before it: seconds at the nominal rate.
    # The observed rate is at least the second fraction of the nominal one. The third is how many
    # seconds after it was sent the proxy may still count a message.
    MIN_SAMPLE_DRAIN, MIN_RATE_FRACTION, MESSAGE_DELAY = (
        0.1,
        0.1,
        0.3,
    )
    # By priority (mandatory, health, admission, bulk), the fraction of the channel's queue and of a
    # proxy's messages that is left to more urgent orders.
    RESERVED_CAPACITY, RESERVED_MESSAGES = (
        (0.08, 0.12, 0.2, 0.4),
        (0.0, 0.4, 0.4, 0.5),
    )

    def __init__(self, channel: ChannelSettings) -> None:
        max_messages = channel.max_messages
        super().__init__(max_messages or 1)
        self.channel, self.entries_per_second = channel, channel.entries_per_second
        # By priority, the messages within the window from which on a proxy is sent no more; 0: no
        # limit.
        self.message_limits = [
            next((n for n in range(1, max_messages + 1) if 1.0 - n / max_messages <= reserved), 0)
            for reserved in self.RESERVED_MESSAGES
        ]

    def exceeds_message_limit(self, proxy_id: int, now: float, priority: int) -> bool:
        """Whether the proxy was sent all messages that this priority may use within the window."""
        sent_times, message_limit = (
            self.sent_times.get(proxy_id, ()),
            self.message_limits[priority],
        )
        return (
            0 < message_limit <= len(sent_times)
            and sent_times[-message_limit] >= now - self.channel.message_window - self.MESSAGE_DELAY
        )

    def handle_acknowledgement(self, proxy_id: int, ack_number: int, latency: float) -> list[int]:
        """Record an acknowledgement; return the numbers that it acknowledges for the proxy.

        The last proxy to acknowledge a reply shows how long the channel took for all that waited
        when the reply was ordered; the observed rate moves halfway to it.
        """
        queued_before, nominal_rate = (
            self.pending_replies[ack_number].queued_before,
            self.channel.entries_per_second,
        )
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
    """One reply in the making: its orders, and the entries that they cost each proxy."""

    def __init__(self, budget: ChannelBudget, now: float, ack_number: int) -> None:
        self.budget, self.now, self.ack_number = budget, now, ack_number
        self.orders: list[Order] = []
        self.entries_by_proxy: dict[int, float] = {}
        self.reserved_entries, self.message_overhead = 0.0, budget.channel.message_overhead + 1.0
        # Set while mandatory ejections wait for room in the channel: only mandatory orders go.
        self.only_mandatory = False
        # Whether an order was put off because of the message limit. It needs a timer, as it would
        # otherwise not be tried again before the next event.
        self.deferred = False

    def exceeds_drain(self, max_drain_time: float, proxy_id: int | None = None) -> bool:
        """Whether the channel needs longer than so many seconds for all that waits in it.

        With a proxy that this reply does not yet write to, what the reply reserved counts too.
        """
        # If it always counted, a reply whose message overheads are paid for would leave changes
        # to another reply that pays them again.
        reserved = (
            0.0 if proxy_id is None or proxy_id in self.entries_by_proxy else self.reserved_entries
        )
        return (
            self.budget.queued_entries + reserved > max_drain_time * self.budget.entries_per_second
        )

    def fits(self, entries: float, priority: int) -> bool:
        """Whether the channel's queue has room for so many entries of this priority."""
        if self.only_mandatory and priority:
            return False
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
        message_priority: int | None = None,
    ) -> float | None:
        """Return what so many entries for each of these proxies cost; None if they may not go."""
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
        exceeds_limit = any(
            self.budget.exceeds_message_limit(
                p, self.now, priority if message_priority is None else message_priority
            )
            for p in new_proxy_ids
        )
        self.deferred = self.deferred or exceeds_limit
        return None if exceeds_limit else entries

    def reserve(
        self,
        proxy_ids: Collection[int],
        entries_each: float,
        priority: int,
        max_drain_time: float = inf,
        message_priority: int | None = None,
    ) -> bool:
        """Charge entries to each of these proxies; False, without a charge, if they may not go."""
        if (
            entries := self.cost(
                proxy_ids, entries_each, priority, max_drain_time, message_priority
            )
        ) is None:
            return False
        for proxy_id in proxy_ids:
            self.entries_by_proxy[proxy_id] = (
                self.entries_by_proxy.get(proxy_id, self.message_overhead) + entries_each
            )
        self.reserved_entries += entries
        return True


class OutlierDetector:
    """Limits the weight of endpoints by what proxies observed, compared with peers and baseline.

    Attempts, failed attempts and latencies are sums that decay by half every `HALF_LIFE` seconds.
    """

    # Seconds, about one report interval; failed attempts from which an endpoint is judged.
    HALF_LIFE, MIN_FAILED = (
        0.8,
        3.0,
    )
    # Failure rate from which an endpoint is failing ...
    FAILURE_RATE_THRESHOLD = 0.35
    # ... if it is also this many times that of the best quarter: an overload ejects none.
    MIN_FAILURE_CONTRAST = 3.0
    # Times the baseline latency up to which an endpoint is not overloaded; failure rate of an
    # endpoint that does not respond.
    MAX_LATENCY_RATIO, UNRESPONSIVE_FAILURE_RATE = (
        1.6,
        0.9,
    )
    # Failure rate up to which an endpoint gets more weight again; median failure rate from which
    # the fleet is overloaded and its limits stay as they are.
    MAX_RECOVERED_FAILURE_RATE, OVERLOAD_FAILURE_RATE = (
        0.15,
        0.08,
    )
    # Fraction of each new median that goes into the baseline: dozens of reports make it.
    BASELINE_SMOOTHING = 0.03
    # Fraction of the ready weight that may be lost: if more fails in part, the cause is common.
    MAX_EJECTED_FRACTION = 0.2
    # The same for unresponsive endpoints, while a quarter of the fleet does well: zones that are
    # partitioned or lost.
    MAX_UNRESPONSIVE_FRACTION = 0.8
    # Seconds on probation, a few report intervals, and the weight limit meanwhile: the capacity of
    # an endpoint that is warming up.
    PROBATION_TIME, PROBATION_LIMIT = (
        3.0,
        0.25,
    )
    # Limit of an overloaded or slow endpoint; 0.25 moved too much load to the others.
    OVERLOADED_LIMIT = 0.5
    # Times the median latency, over so many succeeded attempts, at which overload is near.
    SLOW_LATENCY_RATIO, MIN_SLOW_SUCCEEDED = 2.5, 8.0
    # Limit after an overload or ahead of it, and its seconds: the listed weight is too high.
    REDUCED_LIMIT, REDUCED_TIME = (
        0.75,
        60.0,
    )
    # Seconds of the first ejection, doubled with each further one up to the largest; seconds
    # between health checks of an ejected endpoint.
    BASE_EJECTION_TIME, MAX_EJECTION_TIME, HEALTH_CHECK_INTERVAL = (
        4.0,
        16.0,
        1.0,
    )

    def __init__(self, uniform: Callable[[float, float], float], baseline_delay: float) -> None:
        # Seconds without overload that make the baseline valid, and the time at which it is.
        self.uniform, self.baseline_delay, self.baseline_valid_at = (
            uniform,
            baseline_delay,
            inf,
        )
        # The baseline: the median latency while the fleet is not overloaded (0: none yet).
        self.baseline_latency, self.max_ejected_fraction = (
            0.0,
            self.MAX_EJECTED_FRACTION,
        )
        # Decaying sums by row.
        self.attempts, self.failed, self.latency_sums = (
            list[float](),
            list[float](),
            list[float](),
        )
        # By row: the last report, seconds that the next ejection lasts, when the limit may rise.
        self.reported_at, self.ejection_times, self.due_at = (
            list[float](),
            list[float](),
            list[float](),
        )
        # By row: the highest fraction of its weight (0: ejected), and the one it returns to.
        self.weight_limits, self.recovery_limits = (
            list[float](),
            list[float](),
        )

    def add_endpoint(self, row: int) -> None:
        """Initialize a new or reused row without observations."""
        for column in (
            self.attempts,
            self.failed,
            self.latency_sums,
            self.reported_at,
            self.due_at,
        ):
            column[row : row + 1] = [0.0]
        (
            self.weight_limits[row : row + 1],
            self.recovery_limits[row : row + 1],
            self.ejection_times[row : row + 1],
        ) = [1.0], [1.0], [self.BASE_EJECTION_TIME]

    def reset(self, row: int, weight_limit: float, due_at: float) -> None:
        """Clear a row's observations and set its weight limit."""
        self.attempts[row] = self.failed[row] = self.latency_sums[row] = 0.0
        self.weight_limits[row], self.due_at[row], self.recovery_limits[row] = (
            weight_limit,
            due_at,
            max(self.recovery_limits[row], weight_limit),
        )

    def record(self, row: int, now: float, attempts: int, failed: int, latency: float) -> None:
        """Add a report; `latency` is the mean seconds of its succeeded attempts."""
        decay = 0.5 ** ((now - self.reported_at[row]) / self.HALF_LIFE)
        self.reported_at[row] = now
        self.attempts[row] = self.attempts[row] * decay + attempts
        self.failed[row] = self.failed[row] * decay + failed
        self.latency_sums[row] = self.latency_sums[row] * decay + latency * (attempts - failed)

    def failure_rate(self, row: int) -> float:
        """Return the fraction of a row's attempts that failed."""
        return self.failed[row] / self.attempts[row] if self.attempts[row] else 0.0

    def mean_latency(self, row: int) -> float:
        """Return the mean latency of a row's succeeded attempts, in seconds."""
        return self.latency_sums[row] / max(self.attempts[row] - self.failed[row], 0.5)

    def update_limits(self, now: float, weights: dict[int, float]) -> None:
        """Lower weight limits on evidence, the worst endpoint first, and raise them when due.

        `weights` are the listed weights of the ready rows.
        """
        total_weight, lost_weight = (
            sum(weights.values()),
            sum(weight * (1.0 - self.weight_limits[row]) for row, weight in weights.items()),
        )
        peers = [
            row
            for row in weights
            if self.weight_limits[row] >= self.OVERLOADED_LIMIT and self.attempts[row] >= 1.0
        ]
        if len(peers) < 2:
            return
        failure_rates, median_latency = (
            sorted(map(self.failure_rate, peers)),
            median(map(self.mean_latency, peers)),
        )
        best_failure_rate, is_overloaded = (
            failure_rates[len(failure_rates) // 4],
            median(failure_rates) >= self.OVERLOAD_FAILURE_RATE,
        )
        # Failures are reported late, so that quick first answers do not prove that there is no
        # overload.
        if now < self.baseline_valid_at:
            self.baseline_valid_at = (
                now + self.baseline_delay
                if is_overloaded
                else min(self.baseline_valid_at, now + self.baseline_delay)
            )
        if not is_overloaded:
            self.baseline_latency += (
                self.BASELINE_SMOOTHING * (median_latency - self.baseline_latency)
                if self.baseline_latency
                else median_latency
            )
        elif not self.baseline_latency:
            # A manager that began during an overload cannot distinguish overloaded endpoints from
            # unresponsive ones.
            return
        for row in sorted(
            (row for row in weights if self.weight_limits[row]), key=lambda row: -self.failed[row]
        ):
            failure_rate, weight_limit, succeeded = (
                self.failure_rate(row),
                self.weight_limits[row],
                self.attempts[row] - self.failed[row],
            )
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
            elif is_failing and not is_overloaded:
                weight_limit, self.recovery_limits[row] = (
                    min(weight_limit, self.OVERLOADED_LIMIT),
                    self.REDUCED_LIMIT,
                )
            elif weight_limit == 1.0 and not is_overloaded and is_slow:
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
            max_lost_fraction = (
                self.MAX_UNRESPONSIVE_FRACTION
                if failure_rate >= self.UNRESPONSIVE_FAILURE_RATE and not weight_limit
                else self.max_ejected_fraction
            )
            weight_loss = weights[row] * (self.weight_limits[row] - weight_limit)
            if (
                not weight_loss
                or weight_loss > 0
                and lost_weight + weight_loss > max_lost_fraction * total_weight
            ):
                continue
            lost_weight += weight_loss
            delays = {
                0.0: self.ejection_times[row] * self.uniform(1, 1.2),
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


class AdmissionController:
    """Decides how much of each traffic class is admitted.

    Under overload, classes with the least priority weight per work are shed first.
    """

    # Seconds between steps: about the time in which a step's effect can be observed.
    UPDATE_INTERVAL = 1.0
    # The fleet is overloaded from this median failure rate, or from this latency in latency
    # objectives.
    OVERLOAD_FAILURE_RATE, OVERLOAD_LATENCY_RATIO = (
        0.08,
        0.45,
    )
    # Fraction of the bound on latency below which failures have other causes than overload.
    MIN_LATENCY_STRESS = 0.8
    # Failure rate that is overload at any latency: slow handshakes and lost answers stay below it.
    CERTAIN_OVERLOAD_FAILURE_RATE = 0.4
    # Fraction of either bound below which more is admitted again (hysteresis).
    RECOVERY_STRESS = 0.85
    # Factor of the admitted fraction for each step under overload.
    DECREASE_FACTOR = 0.7
    # Factors for each step without overload: up to a fraction of the overload threshold, and
    # beyond it.
    FAST_INCREASE_FACTOR, SLOW_INCREASE_FACTOR = (
        1.25,
        1.04,
    )
    # That fraction of the overload threshold; no less is admitted than a fraction of the best
    # success rate, which decays with each step.
    FAST_INCREASE_LIMIT, MIN_THROUGHPUT_FRACTION, THROUGHPUT_DECAY = (
        0.5,
        0.5,
        0.98,
    )
    # Least admitted fraction of a class; queue lengths whose median shows that an overload is over;
    # capacity of a fleet in times its load, as one of three zones may be lost.
    MIN_ADMITTED_FRACTION, QUEUE_SAMPLES, SPARE_CAPACITY = (
        0.05,
        16,
        1.5,
    )

    def __init__(self, traffic_classes: tuple[TrafficClass, ...]) -> None:
        # The work of a request is not reported; its latency objective is used instead, as longer
        # work is given more time.
        self.latency_objectives = [
            class_settings.latency_objective for class_settings in traffic_classes
        ]
        self.shed_order = sorted(
            range(len(traffic_classes)),
            key=lambda traffic_class: (
                traffic_classes[traffic_class].priority_weight
                / traffic_classes[traffic_class].latency_objective
            ),
        )
        # Requests a second by class, smoothed, and requests since the last step by class name.
        self.request_rates = [1.0] * len(traffic_classes)
        self.arrivals = dict.fromkeys(
            (class_settings.name for class_settings in traffic_classes), 0
        )
        # Successes since the last step; a second, smoothed; the best recent rate.
        self.succeeded = self.success_rate = self.best_success_rate = 0.0
        # The last two: when the last step was made, and whether there was no overload then.
        self.admitted_fraction, self.overload_threshold, self.updated_at, self.was_stable = (
            1.0,
            1.0,
            inf,
            True,
        )
        # Requests that wait at endpoints, where these report it.
        self.queue_lengths = deque[float](maxlen=self.QUEUE_SAMPLES)

    def update(self, now: float, failure_rate: float, mean_latency: float) -> None:
        """Make a step, if one is due, by the median endpoint's failure rate and latency.

        The median does not move with a few faulty endpoints.
        """
        self.updated_at = min(self.updated_at, now)
        if now < self.updated_at + self.UPDATE_INTERVAL:
            return
        elapsed, self.updated_at = now - self.updated_at, now
        rates_and_arrivals = zip(self.request_rates, self.arrivals.values(), strict=True)
        self.request_rates = [
            request_rate + (max(arrived, 0.1) / elapsed - request_rate) / 2
            for request_rate, arrived in rates_and_arrivals
        ]
        self.success_rate += (self.succeeded / elapsed - self.success_rate) / 2
        self.best_success_rate = max(
            self.success_rate, self.THROUGHPUT_DECAY * self.best_success_rate
        )
        self.arrivals, self.succeeded = dict.fromkeys(self.arrivals, 0), 0
        # A few failures are overload only where requests are slow too: otherwise endpoints or
        # connections fail, not capacity. Where nearly all fail there is no latency to judge by.
        latency_stress = (
            mean_latency
            / self.OVERLOAD_LATENCY_RATIO
            * sum(self.request_rates)
            / sum(self.work_rates())
        )
        # If no requests wait, failures reported seconds late are from an overload that has ended.
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
            factor = (
                self.FAST_INCREASE_FACTOR
                if queues_empty
                or self.admitted_fraction < self.FAST_INCREASE_LIMIT * self.overload_threshold
                else self.SLOW_INCREASE_FACTOR
            )
            self.admitted_fraction = min(self.admitted_fraction * factor, 1.0)
        self.was_stable = stress <= 1.0

    def work_rates(self) -> list[float]:
        """Return the work that arrives by class: requests a second times latency objective."""
        return [
            request_rate * latency_objective
            for request_rate, latency_objective in zip(
                self.request_rates, self.latency_objectives, strict=True
            )
        ]

    def admitted_fractions(self, available_fraction: float = 1.0) -> list[float]:
        """Return the admitted fraction of each class, given the available part of the fleet.

        They go in steps of a tenth, so that small changes cost no orders.
        """
        work_rates = self.work_rates()
        remaining_shed, fractions = (
            (1.0 - min(self.admitted_fraction, self.SPARE_CAPACITY * available_fraction))
            * sum(work_rates),
            [1.0] * len(work_rates),
        )
        for traffic_class in self.shed_order:
            shed_work = min(
                remaining_shed, (1.0 - self.MIN_ADMITTED_FRACTION) * work_rates[traffic_class]
            )
            remaining_shed -= shed_work
            fractions[traffic_class] = max(
                round(10 * (1.0 - shed_work / work_rates[traffic_class])) / 10,
                self.MIN_ADMITTED_FRACTION,
            )
        return fractions


class Balancer:
    """One manager's decisions."""

    # Versions in progress before a ready update waits for the oldest: the paper's four status bits.
    VERSION_WINDOW = 4
    # Seconds beyond the channel's delay after which a proxy that has not acknowledged is silent;
    # seconds from the last acknowledgement to the deletion of the old table.
    ACK_TIMEOUT, TABLE_RETENTION = (
        3.0,
        2.0,
    )
    # Seconds until a failure is reported; median failure rate of a retry storm, for each time of
    # its weight that an endpoint that warms up can take.
    MAX_REPORT_DELAY, RETRY_STORM_FAILURE_RATE = (
        2.0,
        0.1,
    )
    # Failure rate of all attempts from which endpoints that warm up are not yet used: 0.14 occurs
    # while the load rises.
    RISING_FAILURE_RATE = 0.1
    # Fraction of its weight that a fresh endpoint gets first and that each interval adds; seconds
    # of an interval.
    SLOW_START_STEP, SLOW_START_INTERVAL = (
        0.25,
        5.0,
    )
    # Seconds of drain that may wait in the channel when a table change begins; table switches may
    # find two or three times as much, ejections and admission four times.
    BASE_DRAIN_TIME = 0.5
    # Admitted fraction while a current table has only endpoints that should be ejected.
    LAST_RESORT_FRACTION = 0.3
    # Seconds between batches while work is pending; seconds before the endpoint list is requested
    # again, doubled with each failure.
    TICK_INTERVAL, MIN_LIST_RETRY_DELAY = (
        0.25,
        0.5,
    )
    # Times the usual request rate of an endpoint from which a subset gets one more: a slow start
    # step.
    HOT_SUBSET_RATIO = 1.25

    def __init__(self, settings: ManagerSettings) -> None:
        self.uniform = Random(settings.seed).uniform
        self.class_count, self.default_retry_policy = (
            len(settings.traffic_classes),
            settings.default_retry_policy,
        )
        # The second one is used as a divisor, so it is never 0.
        self.list_poll_interval, self.warm_up_time = (
            settings.safety_limits.list_poll_interval,
            settings.safety_limits.warm_up_time or 1e-6,
        )
        self.limits = settings.safety_limits
        steps = [
            n for n in range(1000) if n == 0 or n * self.SLOW_START_INTERVAL < self.warm_up_time
        ]
        # Times its weight that an endpoint can take at the weakest moment of its slow start.
        self.min_overload_multiple = min(
            self.limits.overload_multiple,
            *(
                self._bearable_load(n * self.SLOW_START_INTERVAL)
                / self._slow_start_fraction(n * self.SLOW_START_INTERVAL)
                for n in steps
            ),
        )
        self.can_check_health, self.is_sharded, self.subset_size = (
            settings.can_check_health,
            settings.shard_count > 0,
            settings.initial_subset_size,
        )
        # Classes that go only to endpoints in the proxy's zone.
        self.same_zone_classes = [
            traffic_class
            for traffic_class, class_settings in enumerate(settings.traffic_classes)
            if class_settings.same_zone_only
        ]
        # Table entries that an endpoint costs a proxy: those of same-zone classes are separate.
        self.entries_per_endpoint = (
            2.0 if 0 < len(self.same_zone_classes) < self.class_count else 1.0
        )
        self.fleet, self.budget = Fleet(), ChannelBudget(settings.channel)
        self.outlier_detector = OutlierDetector(
            self.uniform,
            max(class_settings.deadline for class_settings in settings.traffic_classes)
            + self.MAX_REPORT_DELAY,
        )
        self.admission_controller, self.controls_admission = (
            AdmissionController(settings.traffic_classes),
            settings.admission_mode == "share",
        )
        # Where levels are rates, a level of 1 would nearly stop a proxy.
        self.full_admission = 1.0 if self.controls_admission else 1e6
        self.assignments, self.current_tables = Assignments(self.class_count), dict[int, Table]()
        self.staged_updates, self.armed_timers = dict[int, StagedUpdate](), set[float]()
        self.last_version = self.last_ack_number = self.last_table_id = self.last_token = 0
        # The second: the subsets among which all endpoints are distributed.
        self.ejected_rows, self.subset_tables = set[int](), list[Table]()
        # A proxy that was sent a table before this and has not acknowledged it is silent.
        self.silent_since = -inf
        self.list_retry_at, self.list_retry_delay = (
            -inf if settings.must_subscribe else inf,
            self.MIN_LIST_RETRY_DELAY,
        )
        self.logged_limits, self.sharding_logged, self.is_channel_constrained = (
            dict[int, float](),
            False,
            False,
        )
        # By row, until when an order that was rejected is not tried again.
        self.blocked_rows: dict[int, float] = {}
        # By row, until when a mandatory ejection that was rejected is not tried again.
        self.blocked_ejections: dict[int, float] = {}
        # What the last batch's orders replaced: entries by table and row, None for no entry; new
        # tables; rows with a mandatory ejection.
        self.previous_entries: dict[tuple[int, int], tuple[float, float] | None] = {}
        self.created_tables: set[int] = set()
        self.mandatory_rows: set[int] = set()
        # By class, until when admission levels stay as they are after one was rejected.
        self.blocked_classes: dict[int, float] = {}
        self.overrides: dict[int, OverrideChanged] = {}  # operators', by class
        # The second: weight fractions as planned last.
        self.partition_limits, self.weight_fractions = (
            PartitionLimitsChanged(OutlierDetector.MAX_EJECTED_FRACTION),
            dict[int, float](),
        )

    # Events: what is known.

    def _bearable_load(self, age: float) -> float:
        """Return the load that an endpoint of this age can take, as a fraction of a warm one's."""
        initial_capacity = self.limits.initial_capacity_fraction
        warmed_fraction = min(1.0, age / self.warm_up_time)
        return self.limits.overload_multiple * (
            initial_capacity + (1.0 - initial_capacity) * warmed_fraction
        )

    def _slow_start_fraction(self, age: float) -> float:
        """Return the fraction of its weight that an endpoint of this age gets while it warms up."""
        completed_intervals = max(0, age // self.SLOW_START_INTERVAL)
        step_fraction = min(1.0, self.SLOW_START_STEP * (1 + completed_intervals))
        return max(
            0.01,
            min(step_fraction, self._bearable_load(completed_intervals * self.SLOW_START_INTERVAL)),
        )

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Handle a batch of events; return the orders in the order in which they take effect."""
        if self.is_sharded:
            was_logged, self.sharding_logged = self.sharding_logged, True
            return [] if was_logged else [LogMessage("slices are not decided by this version")]
        for event in events:
            self._handle_event(now, event)
        return self._reconcile(now, self._plan(now))

    def _handle_event(self, now: float, event: Event) -> None:
        """Record what an event changes; kinds that no decision depends on are ignored."""
        match event:
            case EndpointsUpdated(update_type="failed"):
                self.list_retry_at = now + self.list_retry_delay * self.uniform(0.5, 1.0)
                self.list_retry_delay = min(
                    2 * self.list_retry_delay,
                    max(self.list_poll_interval / 4, self.MIN_LIST_RETRY_DELAY),
                )
            case EndpointsUpdated():
                self.list_retry_delay = self.MIN_LIST_RETRY_DELAY
                rows_in_use = (
                    self.assignments.referenced_rows()
                    | self.ejected_rows
                    | self.blocked_rows.keys()
                    | {row for _, row in self.previous_entries}
                )
                for row, is_new in self.fleet.apply_update(event, rows_in_use):
                    if is_new:
                        self.outlier_detector.add_endpoint(row)
                        self.logged_limits.pop(row, None)
                    self.outlier_detector.reset(row, 1.0, now)
            case ProxyConnected(proxy_id) | ProxyDisconnected(proxy_id):
                self.budget.forget_proxy(proxy_id)
                self.assignments.remove_proxy(proxy_id)
                for update in self.staged_updates.values():
                    update.awaited_proxies.discard(proxy_id)
                if isinstance(event, ProxyConnected):
                    is_zone_reconnected = all(
                        other.zone != event.zone for other in self.assignments.proxies.values()
                    )
                    # The ejected endpoints of a zone without proxies were unreachable, not faulty.
                    for row, zone in enumerate(self.fleet.zones if is_zone_reconnected else ()):
                        if zone == event.zone and not self.outlier_detector.weight_limits[row]:
                            self.outlier_detector.reset(row, 1.0, now)
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
                    weight_limit, delay = (
                        (OutlierDetector.PROBATION_LIMIT, OutlierDetector.PROBATION_TIME)
                        if event.healthy
                        else (0.0, OutlierDetector.HEALTH_CHECK_INTERVAL)
                    )
                    self.outlier_detector.reset(row, weight_limit, now + delay)
            case DemandReported(traffic_class=name) if name in self.admission_controller.arrivals:
                self.admission_controller.arrivals[name] += event.requests
            case OrderRejected(order=order):
                self._handle_rejection(now, order)
            case OverrideChanged(traffic_class):
                self.overrides[traffic_class] = event
            case PartitionLimitsChanged():
                self.partition_limits, self.outlier_detector.max_ejected_fraction = (
                    event,
                    event.max_ejected_fraction,
                )

    def _handle_rejection(self, now: float, order: Order) -> None:
        """Restore what is really installed; the order is blocked for one slow start step."""
        tables, proxies = self.assignments.tables, self.assignments.proxies
        match order:
            case SetWeight(table_id, worker) if worker in self.fleet.row_by_id:
                self.blocked_rows[row := self.fleet.row_by_id[worker]] = (
                    now + self.SLOW_START_INTERVAL
                )
                if table_id in tables:
                    table = tables[table_id]
                    table.weights.pop(row, None)
                    table.weight_fractions.pop(row, None)
                    # Whether a proxy has an entry of unknown weight is not known either.
                    previous = self.previous_entries.get((table_id, row), (0.0, 1.0))
                    if table_id not in self.created_tables and previous is not None:
                        table.weights[row], table.weight_fractions[row] = previous
            case AssignTable(proxy_id, traffic_classes, table_id) if proxy_id in proxies:
                self.assignments.unassign(proxy_id, traffic_classes, table_id)
                # An empty table is rejected if a proxy connected before the endpoint list arrived.
                # With the longer delay the proxy would have no endpoint for a slow start step.
                is_urgent = (
                    table_id in tables and not tables[table_id].weights
                ) or self._lacks_usable_endpoint(proxies[proxy_id], traffic_classes)
                proxies[proxy_id].assign_after = now + (
                    self.TICK_INTERVAL if is_urgent else self.SLOW_START_INTERVAL
                )
                proxies[proxy_id].updated_at = -inf
            case SetEjected(worker, is_ejected) if worker in self.fleet.row_by_id:
                row = self.fleet.row_by_id[worker]
                if is_ejected and row in self.mandatory_rows:
                    self.blocked_ejections[row] = now + self.TICK_INTERVAL
                else:
                    self.blocked_rows[row] = now + self.SLOW_START_INTERVAL
                (self.ejected_rows.discard if is_ejected else self.ejected_rows.add)(row)
            case SetAdmission(table_id, traffic_class) if traffic_class < self.class_count:
                self.blocked_classes[traffic_class] = now + self.SLOW_START_INTERVAL
                if table_id in tables:
                    tables[table_id].admission_levels[traffic_class] = tables[
                        table_id
                    ].previous_levels.get(
                        traffic_class, (self.full_admission, self.default_retry_policy)
                    )
            # The table still exists: its number must not be given to another table.
            case DeleteTable(table_id):
                tables.setdefault(table_id, Table(table_id, {}, {}, []))

    def _lacks_usable_endpoint(self, proxy: Proxy, traffic_classes: Iterable[int]) -> bool:
        """Whether all endpoints of the proxy's table for one of these classes are ejected."""
        tables = [proxy.assigned_tables[traffic_class] for traffic_class in traffic_classes]
        return any(
            table is not None and set(table.weights) <= self.ejected_rows for table in tables
        )

    def _must_wait(self, now: float, proxy: Proxy, traffic_classes: Iterable[int]) -> bool:
        """Whether a proxy is not assigned again yet, as its last assignment was rejected."""
        remaining = proxy.assign_after - now
        return remaining > 0.0 and (
            remaining <= self.TICK_INTERVAL
            or not self._lacks_usable_endpoint(proxy, traffic_classes)
        )

    # The desired state.

    def _plan(self, now: float) -> DesiredState:
        """Return what proxies should use now."""
        fleet, detector = self.fleet, self.outlier_detector
        listed_weights = [
            weight
            for weight, ready in zip(fleet.listed_weights, fleet.ready, strict=True)
            if ready and weight
        ] or [1.0]
        weights = {
            row: fleet.listed_weights[row] or sum(listed_weights) / len(listed_weights)
            for row, ready in enumerate(fleet.ready)
            if ready
        }
        detector.update_limits(now, weights)
        weight_fractions, transient_limits = {}, {}
        observed_rows = [
            row for row in weights if detector.weight_limits[row] and detector.attempts[row] >= 1.0
        ]
        failure_rate = median(map(detector.failure_rate, observed_rows)) if observed_rows else 0.0
        is_retry_storm = (
            now < detector.baseline_valid_at
            or failure_rate >= self.RETRY_STORM_FAILURE_RATE * self.min_overload_multiple
        )
        # Reports of a storm arrive seconds late, so no further endpoint that warms up is used while
        # a tenth of all attempts fail.
        attempts, failed = (
            sum(column[row] for row in observed_rows)
            for column in (detector.attempts, detector.failed)
        )
        is_load_rising = (
            not self.admission_controller.was_stable
            or failed >= self.RISING_FAILURE_RATE * attempts > 0.0
        )
        tables = [
            *self.assignments.list_tables_in_use(),
            *self.current_tables.values(),
            *(update.table for update in self.staged_updates.values()),
        ]
        admitted_rows = (
            set[int]().union(*(table.weight_fractions for table in tables)) - self.ejected_rows
            if is_load_rising
            else self.ejected_rows
        )
        for row in weights:
            if (
                not detector.weight_limits[row]
                and detector.due_at[row] <= now
                and not self.can_check_health
            ):
                detector.reset(
                    row, OutlierDetector.PROBATION_LIMIT, now + OutlierDetector.PROBATION_TIME
                )
            age, weight_limit = now - fleet.started_at[row], detector.weight_limits[row]
            fraction = self._slow_start_fraction(age) if age < self.warm_up_time else 1.0
            # An ejected endpoint is entered at its limit on probation, so that its entry needs no
            # change when the ejection ends.
            weight_fractions[row] = min(fraction, weight_limit or OutlierDetector.PROBATION_LIMIT)
            # A manager on the smaller side of a partition may not raise it, or not change it.
            if (
                not self.partition_limits.may_change_weights
                or not self.partition_limits.may_raise_weights
                and age < self.warm_up_time
            ):
                weight_fractions[row] = min(
                    weight_fractions[row] if self.partition_limits.may_change_weights else fraction,
                    self.weight_fractions.get(row, fraction),
                )
            # In a retry storm an endpoint that warms up receives many times its weight, even more
            # from a new manager.
            transient_limits[row] = (
                weight_limit if weight_limit < OutlierDetector.OVERLOADED_LIMIT else inf
            )
            must_wait = is_retry_storm or row not in admitted_rows and is_load_rising
            transient_limits[row] = min(
                transient_limits[row],
                inf if age >= self.warm_up_time else 0.0 if must_wait else fraction,
            )
        self._advance_updates(now)
        admitted_fractions = [self.full_admission] * self.class_count
        if self.controls_admission and observed_rows:
            self.admission_controller.update(
                now, failure_rate, median(map(detector.mean_latency, observed_rows))
            )
            admitted_fractions = self.admission_controller.admitted_fractions(
                sum(weights[row] for row in weights.keys() - self.ejected_rows)
                / sum(weights.values())
            )
        # Any other retry could give a request its effect twice: proxies retry on proof that the
        # first attempt did not run. They do not in overload, nor before a time without it was seen.
        retry_policy = (
            min(self.default_retry_policy, 1)
            if detector.baseline_latency and min(admitted_fractions) >= 1.0
            else 0
        )
        # An endpoint stays ejected while any table gives it more than its limit: one that warms up
        # would be overloaded, and one that drains would still be used.
        fractions_by_table = [*(table.weight_fractions for table in tables), weight_fractions]
        unlimited_rows = {row for row, limit in transient_limits.items() if limit == inf}
        ejected = {
            row
            for fractions in fractions_by_table
            for row in fractions.keys() - unlimited_rows
            if fractions[row] > transient_limits.get(row, 0.0)
        }
        default_weights = {
            row: weight * weight_fractions[row]
            for row, weight in weights.items()
            if self.blocked_rows.get(row, 0.0) <= now
        }
        weights_by_class = [
            self._overridden_weights(traffic_class, default_weights, weight_fractions, ejected)
            for traffic_class in range(self.class_count)
        ]
        # No table is left without endpoint: where all of a table are to be ejected, those that warm
        # up or are on probation stay in use, or any if there are none such.
        for table in tables:
            is_current = table in self.current_tables.values()
            ready_rows = table.weight_fractions.keys() & weights.keys() or (
                weights.keys() if is_current else set()
            )
            if ready_rows and ready_rows <= ejected:
                ejected -= {
                    row
                    for row in ready_rows
                    if transient_limits[row] < inf and detector.weight_limits[row]
                } or ready_rows
                admitted_fractions = [
                    min(fraction, self.LAST_RESORT_FRACTION * self.full_admission)
                    if is_current
                    else fraction
                    for fraction in admitted_fractions
                ]
            for zone_rows in (
                self.fleet.by_zone(ready_rows).values() if self.same_zone_classes else ()
            ):
                warm_rows = [
                    row for row in zone_rows if now - fleet.started_at[row] >= self.warm_up_time
                ]
                # One warm endpoint of each zone is enough.
                ejected -= (
                    {min(warm_rows, key=lambda row: (detector.failure_rate(row), row))}
                    if warm_rows and zone_rows <= ejected
                    else set()
                )
        self.blocked_rows, self.weight_fractions = (
            {row: at for row, at in self.blocked_rows.items() if at > now},
            weight_fractions,
        )
        return DesiredState(
            weights_by_class,
            weight_fractions,
            [(fraction, retry_policy) for fraction in admitted_fractions],
            ejected,
        )

    def _overridden_weights(
        self,
        traffic_class: int,
        default_weights: dict[int, float],
        weight_fractions: dict[int, float],
        ejected: set[int],
    ) -> dict[int, float]:
        """Return a class's weights with its override: other weights, the same slow start.

        An override that would leave only ejected endpoints is disregarded.
        """
        override = self.overrides.get(traffic_class, OverrideChanged(traffic_class))
        override_weights = {
            self.fleet.row_by_id[worker]: weight
            for worker, weight in override.weights
            if worker in self.fleet.row_by_id
        }
        if not override_weights and override.keep_unlisted:
            return default_weights
        listed_weights = {
            row: weight * weight_fractions[row]
            for row, weight in override_weights.items()
            if weight is not None and row in default_weights
        }
        effective_weights = {
            row: weight
            for row, weight in {**default_weights, **listed_weights}.items()
            if weight and (override.keep_unlisted or row in override_weights)
        }
        return default_weights if ejected >= effective_weights.keys() else effective_weights

    def _advance_updates(self, now: float) -> None:
        """Move each update on as far as acknowledgements and timeouts let it."""
        ack_timeout = (
            self.ACK_TIMEOUT
            + self.budget.queued_entries / self.budget.entries_per_second
            + 2 * self.budget.channel.transit_time
        )
        self.silent_since = now - ack_timeout
        for traffic_class, update in list(self.staged_updates.items()):
            if update.requested_at <= self.silent_since:
                update.awaited_proxies.clear()  # silent proxies leave the awaited set
            if update.assigned and not self.assignments.has_lagging_proxy(
                traffic_class, update.old_table, update.table, self.silent_since
            ):
                update.old_table.delete_at = (
                    now + self.TABLE_RETENTION
                    if update.old_table not in self.current_tables.values()
                    else inf
                )
                del self.staged_updates[traffic_class]

    # The difference, and the only place that orders.

    def _reconcile(self, now: float, desired: DesiredState) -> list[Order]:
        """Order the difference between the desired state and what is installed."""
        self.last_ack_number = next_free_number(self.last_ack_number, self.budget.pending_replies)
        self.previous_entries, self.created_tables, self.mandatory_rows = {}, set(), set()
        batch, weights_by_class, detector = (
            OrderBatch(self.budget, now, self.last_ack_number),
            desired.weights,
            self.outlier_detector,
        )
        for row in desired.weight_fractions:
            if detector.weight_limits[row] != self.logged_limits.get(row, 1.0):
                self.logged_limits[row] = detector.weight_limits[row]
                batch.orders.append(
                    LogMessage(
                        f"{self.fleet.ids[row]} to {detector.weight_limits[row]}: "
                        f"{detector.failure_rate(row):.2f} of {detector.attempts[row]:.0f} "
                        f"tries voided, pace {detector.mean_latency(row):.2f} s"
                    )
                )
            if (
                self.can_check_health
                and not detector.weight_limits[row]
                and detector.due_at[row] <= now
                and row not in self.blocked_rows
            ):
                detector.due_at[row] = inf  # until the health check's result
                batch.orders.append(CheckHealth(self.fleet.ids[row]))
        if not self.current_tables:
            created_tables = {
                key: self._create_table(batch, desired, weights)
                for key, weights in {id(weights): weights for weights in weights_by_class}.items()
            }
            self.current_tables = {
                traffic_class: created_tables[id(weights)]
                for traffic_class, weights in enumerate(weights_by_class)
            }
        entries = (max(map(len, weights_by_class)) + 2.0) * len(self.assignments.proxies)
        is_crowded = (
            self.class_count * entries > self.BASE_DRAIN_TIME * self.budget.entries_per_second
        )
        # A departure from the paper: where one table to all proxies takes longer than a slow start,
        # proxies keep subsets, which are updated in place.
        self.is_channel_constrained = (
            is_crowded
            and len({*map(id, weights_by_class)}) == 1
            and entries > self.warm_up_time * self.budget.entries_per_second
        )
        if is_crowded:
            self._assign_subsets(batch, desired)
        self._update_ejections(batch, desired)
        self._update_admission(batch, desired)
        distances = [
            installed != weights
            and sum(
                abs(weights.get(row, 0.0) - installed.get(row, 0.0))
                for row in {**installed, **weights}
            )
            for installed, weights in (
                (self.current_tables[traffic_class].weights, weights)
                for traffic_class, weights in enumerate(weights_by_class)
            )
        ]
        class_order = sorted(
            range(self.class_count), key=lambda traffic_class: -distances[traffic_class]
        )
        awaits_all = self._begin_updates(
            batch,
            desired,
            [traffic_class for traffic_class in class_order if distances[traffic_class]],
            is_crowded,
        )
        if self.is_channel_constrained and not batch.exceeds_drain(self.BASE_DRAIN_TIME):
            self._update_subsets(batch, desired)
        self._switch_tables(batch, class_order, is_crowded)
        # Deletions cost no entries: no proxy is assigned to these tables.
        batch.orders.extend(map(DeleteTable, self.assignments.take_deletable(now)))
        if batch.entries_by_proxy:
            batch.orders.append(RequestAcknowledgement(batch.ack_number, awaits_all))
            self.budget.record(batch.ack_number, now, batch.entries_by_proxy)
        if self.list_retry_at <= now:
            self.list_retry_at = inf
            batch.orders.append(WatchEndpoints())
        self._set_timer(batch, desired)
        return batch.orders

    def _assignment_cost(self, table: Table) -> float:
        """Return the entries that a proxy's assignment to this table costs."""
        return (
            self.class_count
            + self.entries_per_endpoint * (1.0 + len(table.weights))
            + len(self.ejected_rows & table.weights.keys())
        )

    def _assign_table(
        self,
        batch: OrderBatch,
        proxy_id: int,
        traffic_classes: tuple[int, ...],
        table: Table,
        priority: int,
        max_drain_time: float = inf,
        message_priority: int | None = None,
    ) -> bool:
        """Send a proxy its table; False if the channel does not allow it now."""
        if was_reserved := batch.reserve(
            (proxy_id,), self._assignment_cost(table), priority, max_drain_time, message_priority
        ):
            batch.orders.append(AssignTable(proxy_id, traffic_classes, table.table_id))
            self.assignments.assign(proxy_id, traffic_classes, table, batch.ack_number, batch.now)
        return was_reserved

    def _assign_subsets(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Assign proxies in need to a subset, or to the full table where the queue is short.

        While whole tables or very many ejections wait in the channel, a proxy could have no
        endpoint left or use draining ones for too long. New proxies and those that lose all
        endpoints, or more than the entries that a subset costs, get one first.
        """
        newly_ejected, max_ejected = (
            desired.ejected - self.ejected_rows,
            1 + self.class_count + self.subset_size,
        )
        is_mass_ejection = (
            len(newly_ejected) * len(self.assignments.proxies)
            > 3 * self.BASE_DRAIN_TIME * self.budget.entries_per_second
        )
        available_rows = (
            desired.weight_fractions.keys() - desired.ejected - self.blocked_rows.keys()
        )
        full_table = (
            self.current_tables[0]
            if len(set(self.current_tables.values())) == 1 and not self.is_channel_constrained
            else None
        )
        groups_in_need, capacities, min_entries = (
            list[Collection[int]](),
            dict[Table, float](),
            0.0,
        )
        rows_by_zone = self.fleet.by_zone(available_rows) if self.same_zone_classes else {}
        for assigned_tables, group in self.assignments.groups.items():
            rows_by_table = [
                table.weights.keys() for table in dict.fromkeys(assigned_tables) if table
            ]
            if (
                not rows_by_table
                or available_rows
                and any(
                    available_rows.isdisjoint(rows)
                    or is_mass_ejection
                    and len(rows & newly_ejected) > max_ejected
                    for rows in rows_by_table
                )
            ):
                groups_in_need.append(group)
            elif rows_by_zone:
                groups_in_need.append(
                    [
                        proxy_id
                        for proxy_id in group
                        if self.assignments.lacks_local_endpoint(
                            proxy_id,
                            rows_by_zone,
                            [
                                assigned_tables[traffic_class]
                                for traffic_class in self.same_zone_classes
                            ],
                        )
                    ]
                )
        for proxy_id in self.assignments.by_join_order(groups_in_need):
            is_new = not any(self.assignments.proxies[proxy_id].assigned_tables)
            if (
                full_table
                and is_new
                and not batch.exceeds_drain(self.BASE_DRAIN_TIME, proxy_id)
                and self._assign_table(
                    batch,
                    proxy_id,
                    tuple(self.current_tables),
                    full_table,
                    1,
                    self.BASE_DRAIN_TIME,
                )
            ):
                continue  # the queue is short enough for the full table
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
            # A subset that the proxy has already is updated in place (`_update_subsets`).
            if (
                not rows_by_zone
                or table is not self.assignments.proxies[proxy_id].assigned_tables[0]
            ):
                self._assign_table(batch, proxy_id, tuple(range(self.class_count)), table, 0)

    def _subset_capacities(self, batch: OrderBatch, desired: DesiredState) -> dict[Table, float]:
        """Return by subset the weight of its available endpoints.

        The endpoints are distributed again, by each manager in a random order of its own, once all
        subsets together have less than half of the available weight, or an unused one has endpoints
        that are not available.
        """
        weights, used_subsets = (
            desired.common_weights(),
            [table for table in self.subset_tables if table.use_count],
        )
        best_rows = [
            row
            for row in weights
            if row not in desired.ejected
            and (self.same_zone_classes or desired.weight_fractions[row] == 1.0)
        ]
        best_rows = (
            best_rows or [row for row in weights if row not in desired.ejected] or list(weights)
        )
        # Each subset gets an endpoint of every zone.
        zones = self.fleet.by_zone(best_rows).values() if self.same_zone_classes else ()
        is_stale = any(
            not table.weight_fractions.keys() <= set(best_rows)
            for table in self.subset_tables
            if not table.use_count
        ) or any(
            all(zone_rows.isdisjoint(table.weights) for table in self.subset_tables)
            for zone_rows in zones
        )
        if (
            is_stale
            or 2 * sum(map(desired.capacity, self.subset_tables))
            < sum(weights[row] for row in best_rows)
            or not self.subset_tables
        ):
            self.assignments.retire_unused(self.subset_tables, batch.now)
            best_rows.sort(
                key=lambda row: (
                    self.fleet.zones[row] if self.same_zone_classes else "",
                    self.uniform(0.0, 1.0),
                )
            )
            count = min([-(-len(best_rows) // self.subset_size) or 1, *map(len, zones)])
            subsets = (
                {row: weights[row] for row in best_rows[first::count]} for first in range(count)
            )
            self.subset_tables = used_subsets + [
                self._create_table(batch, desired, subset_weights) for subset_weights in subsets
            ]
        return {table: desired.capacity(table) for table in self.subset_tables}

    def _update_subsets(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Let the subsets in use follow the desired weights in place.

        An endpoint that is in none joins the one with the highest demand. The endpoint with the
        lowest demand joins where demand is `HOT_SUBSET_RATIO` times the usual.
        """
        weights, tables = (
            desired.common_weights(),
            [table for table in self.subset_tables if table.use_count],
        )
        for table in tables:  # `cost` records whether a change is deferred by the message limit
            if not self.assignments.has_lagging_proxy(0, table, table, self.silent_since):
                batch.cost(
                    self.assignments.assigned_proxies(table),
                    self.entries_per_endpoint,
                    3,
                    self.BASE_DRAIN_TIME,
                )
        available_weights = {
            row: weight for row, weight in weights.items() if row not in desired.ejected
        }
        ratios = {table: table.request_rate / desired.capacity(table) for table in tables}
        usual_ratio, demand = (
            sum(table.request_rate for table in tables) / (sum(available_weights.values()) or 1.0),
            dict.fromkeys(available_weights, 0.0),
        )
        for table in tables:
            demand.update(
                {
                    row: demand[row] + ratios[table]
                    for row in table.weights.keys() & available_weights.keys()
                }
            )
        uncovered_rows, rows_by_demand = (
            [row for row in available_weights if not demand[row]],
            sorted(available_weights, key=lambda row: demand[row]),
        )
        for table in sorted(tables, key=lambda table: -ratios[table]):
            new_weights = {row: weights[row] for row in table.weights if row in weights}
            is_hot = self.HOT_SUBSET_RATIO * usual_ratio < ratios[table]
            zones = self.fleet.by_zone(new_weights) if self.same_zone_classes else {}
            remote_row = next(
                (row for row in rows_by_demand if zones and self.fleet.zones[row] not in zones),
                None,
            )
            added_row = (
                remote_row
                if remote_row is not None
                else uncovered_rows.pop(0)
                if uncovered_rows
                else next(
                    (row for row in rows_by_demand if is_hot and row not in new_weights), None
                )
            )
            if added_row is not None:
                new_weights[added_row], demand[added_row] = (
                    weights[added_row],
                    demand[added_row] + ratios[table],
                )
            if (
                new_weights != table.weights
                and not batch.exceeds_drain(self.BASE_DRAIN_TIME)
                and not self.assignments.has_lagging_proxy(0, table, table, self.silent_since)
            ):
                self._amend_table(batch, desired, table, new_weights)

    def _update_ejections(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Order each ejection and each end of one, without stages, mandatory ones first.

        While mandatory ejections wait for room, nothing less urgent is ordered: in a slow channel
        it would delay them further.
        """
        changed_rows = desired.ejected ^ self.ejected_rows
        groups_by_row = self.assignments.groups_by_row(changed_rows)
        ordered_rows = sorted(changed_rows, key=lambda row: (row in desired.weight_fractions, row))
        mandatory_rows = [
            row
            for row in ordered_rows
            if self.blocked_ejections.get(row, 0.0) <= batch.now
            and row in desired.ejected
            and (
                row not in desired.weight_fractions
                or self.outlier_detector.weight_limits[row] > 0.0
            )
        ]
        rejected_rows = {row for row, at in self.blocked_ejections.items() if at > batch.now} & {
            row
            for row in desired.ejected
            if row not in desired.weight_fractions or self.outlier_detector.weight_limits[row] > 0.0
        }
        limit = self.budget.channel.max_queued_entries * (1.0 - ChannelBudget.RESERVED_CAPACITY[0])
        possible_rows = [
            row
            for row in mandatory_rows
            if sum(map(len, groups_by_row[row])) * (1.0 + batch.message_overhead) <= limit
        ]
        due_count = self._count_due(
            batch, [[*chain.from_iterable(groups_by_row[row])] for row in possible_rows]
        )
        waiting_rows = possible_rows[due_count:]
        batch.only_mandatory = bool(waiting_rows)
        for row in ordered_rows:
            if row in waiting_rows:
                continue
            is_mandatory = row in mandatory_rows
            priority, max_drain_time = (0, inf) if is_mandatory else (1, 4 * self.BASE_DRAIN_TIME)
            if (
                (is_mandatory or (row not in self.blocked_rows and row not in rejected_rows))
                and batch.fits(sum(map(len, groups_by_row[row])), priority)
                and batch.reserve(
                    [*chain.from_iterable(groups_by_row[row])], 1.0, priority, max_drain_time
                )
            ):
                batch.orders.append(SetEjected(self.fleet.ids[row], row in desired.ejected))
                self.ejected_rows ^= {row}
                if is_mandatory:
                    self.mandatory_rows.add(row)

    def _count_due(self, batch: OrderBatch, proxies_by_row: list[list[int]]) -> int:
        """Return how many of these ejections, each with its proxies, are ordered now.

        They are as many as fit once the queue is short, and go together or wait for the room.
        """
        limit = self.budget.channel.max_queued_entries * (1.0 - ChannelBudget.RESERVED_CAPACITY[0])

        def entries(count: int) -> float:
            proxies = {proxy_id for proxy_ids in proxies_by_row[:count] for proxy_id in proxy_ids}
            return sum(map(len, proxies_by_row[:count])) + batch.message_overhead * len(
                proxies - batch.entries_by_proxy.keys()
            )

        count = len(proxies_by_row)
        while (
            count > 1
            and entries(count) > limit - self.BASE_DRAIN_TIME * self.budget.entries_per_second
        ):
            count -= 1
        return (
            count
            if entries(count) <= limit - self.budget.queued_entries - batch.reserved_entries
            else 0
        )

    def _update_admission(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Order the admitted fraction and retry policy of each table and class that differs."""
        for (traffic_class, table), groups in self.assignments.groups_by_table().items():
            if (
                table.admission_levels[traffic_class] != desired.admission_levels[traffic_class]
                and batch.now >= self.blocked_classes.get(traffic_class, 0.0)
                and batch.reserve([*chain.from_iterable(groups)], 1.0, 2, 4 * self.BASE_DRAIN_TIME)
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
        """Begin updates of these classes; return whether all proxies are awaited.

        A new table is created before any proxy is assigned to it. A departure from the paper: where
        the tables of all classes to all proxies take longer than the drain of one batch, classes
        with the same weights share one, and only entries that differ are sent (section V-G).
        """
        weights_by_class, awaits_all, class_groups = (
            desired.weights,
            False,
            dict[int, list[int]](),
        )
        for traffic_class in class_order if not batch.exceeds_drain(self.BASE_DRAIN_TIME) else ():
            if traffic_class not in self.staged_updates:
                class_groups.setdefault(
                    id(weights_by_class[traffic_class]) if is_crowded else traffic_class, []
                ).append(traffic_class)
        for class_group in class_groups.values():
            old_tables, table, weights = (
                {
                    traffic_class: self.current_tables[traffic_class]
                    for traffic_class in class_group
                },
                self.current_tables[class_group[0]],
                weights_by_class[class_group[0]],
            )
            if not weights and self.blocked_rows:
                continue
            needs_split = any(
                current_table is table and weights_by_class[traffic_class] is not weights
                for traffic_class, current_table in self.current_tables.items()
            )
            if is_crowded and len(set(old_tables.values())) == 1 and not needs_split:
                if not self._amend_table(batch, desired, table, weights):
                    continue
            elif batch.reserve(self.assignments.proxies, 0.0, 3, self.BASE_DRAIN_TIME):
                table, awaits_all = self._create_table(batch, desired, weights), True
            else:
                continue
            for traffic_class in class_group:
                self.last_version, is_in_place = (
                    self.last_version + 1,
                    table is old_tables[traffic_class],
                )
                awaited_proxies = set() if is_in_place else set(self.assignments.proxies)
                self.staged_updates[traffic_class] = StagedUpdate(
                    self.last_version,
                    table,
                    old_tables[traffic_class],
                    batch.ack_number,
                    batch.now,
                    awaited_proxies,
                    is_in_place,
                )
        return awaits_all

    def _amend_table(
        self, batch: OrderBatch, desired: DesiredState, table: Table, weights: dict[int, float]
    ) -> bool:
        """Change entries of a table in place towards these weights; False if none could go.

        As many go as a batch's drain carries to all proxies that are assigned to the table.
        """
        proxy_ids = self.assignments.assigned_proxies(table)
        entries_per_proxy = (
            2 * self.BASE_DRAIN_TIME * self.budget.entries_per_second - self.budget.queued_entries
        ) / max(len(proxy_ids), 1)
        max_changes = max(
            1,
            int(
                (entries_per_proxy - self.budget.channel.message_overhead)
                / self.entries_per_endpoint
            ),
        )
        changed_rows = self._changed_rows(table, weights, desired.ejected)[:max_changes]
        # An ejected endpoint receives no requests, whatever its entry: such an entry can wait for a
        # message that is sent anyway.
        can_wait = not any(
            row in weights and self.outlier_detector.weight_limits[row] for row in changed_rows
        ) and any(proxy_id not in batch.entries_by_proxy for proxy_id in proxy_ids)
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
            self.previous_entries[table.table_id, row] = (
                (table.weights[row], table.weight_fractions[row]) if row in table.weights else None
            )
            table.weights[row], table.weight_fractions[row] = (
                weights.get(row, 0.0),
                desired.weight_fractions.get(row, 0.0),
            )
            if row not in weights:
                del table.weights[row], table.weight_fractions[row]
        self.assignments.record_update(table, proxy_ids, batch.ack_number, batch.now)
        return True

    def _switch_tables(self, batch: OrderBatch, class_order: list[int], is_crowded: bool) -> None:
        """Make ready updates current, within the window, then assign proxies that use other tables.

        New proxies come first, unless the channel is crowded: then they have subsets already.
        """
        for traffic_class, update in self.staged_updates.items():
            older_updates = [
                other
                for other in self.staged_updates.values()
                if other.version < update.version - self.VERSION_WINDOW
            ]
            if (
                not update.assigned
                and not update.awaited_proxies
                and not any(other.awaited_proxies for other in older_updates)
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
                if not table.weights and self.blocked_rows and not new_proxies:
                    continue
                # The classes for which proxies with these tables are assigned to this one.
                classes_by_group, cost = (
                    dict[AssignedTables, tuple[int, ...]](),
                    self._assignment_cost(table),
                )
                for assigned_tables in (
                    self.assignments.groups if batch.fits(cost, priority) else ()
                ):
                    classes = tuple(
                        traffic_class
                        for traffic_class, current_table in self.current_tables.items()
                        if current_table is table is not assigned_tables[traffic_class]
                    )
                    if classes and new_proxies != (assigned_tables[classes[0]] is not None):
                        classes_by_group[assigned_tables] = classes
                for proxy_id in self.assignments.by_join_order(
                    self.assignments.groups[assigned_tables] for assigned_tables in classes_by_group
                ):
                    proxy = self.assignments.proxies[proxy_id]
                    # It was assigned to a subset in this batch.
                    has_new_subset = is_crowded and proxy.updated_at == batch.now
                    if not (
                        has_new_subset
                        or batch.exceeds_drain(max_drain_time, proxy_id)
                        or self._must_wait(
                            batch.now, proxy, classes_by_group[proxy.assigned_tables]
                        )
                    ):
                        self._assign_table(
                            batch,
                            proxy_id,
                            classes_by_group[proxy.assigned_tables],
                            table,
                            priority,
                            max_drain_time,
                            0 if new_proxies else None,
                        )
                    if not batch.fits(cost, priority):
                        break

    def _create_table(
        self, batch: OrderBatch, desired: DesiredState, weights: dict[int, float]
    ) -> Table:
        """Install a new table with these weights under a free number."""
        self.last_table_id = table_id = next_free_number(
            self.last_table_id, self.assignments.tables
        )
        weight_fractions = {row: desired.weight_fractions.get(row, 1.0) for row in weights}
        table = Table(table_id, dict(weights), weight_fractions, list(desired.admission_levels))
        self.assignments.tables[table_id] = table
        self.created_tables.add(table_id)
        batch.orders.extend(
            SetWeight(table_id, self.fleet.ids[row], weight)
            for row, weight in table.weights.items()
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
        """Return the rows whose entry differs, the largest difference first.

        Entries to be removed come last: their endpoints are ejected by now.
        """
        installed = table.weights
        # Ejected endpoints get no new entry, as proxies were possibly not sent their ejection.
        changed_rows = {
            row for row in {**installed, **weights} if installed.get(row) != weights.get(row)
        } - (ejected - installed.keys())
        # An entry stays as it is for a while after an order for it was rejected.
        changed_rows -= self.blocked_rows.keys()
        return sorted(
            changed_rows,
            key=lambda row: (
                row not in weights,
                -abs(weights.get(row, 0.0) - installed.get(row, 0.0)),
                row,
            ),
        )

    def _set_timer(self, batch: OrderBatch, desired: DesiredState) -> None:
        """Order a timer for the next time at which something is due without an event."""
        now, has_pending_work = (
            batch.now,
            self.staged_updates
            or self.budget.pending_replies
            or batch.deferred
            or desired.ejected ^ self.ejected_rows,
        )
        due_times = [
            now + self.TICK_INTERVAL
            if has_pending_work or self.assignments.has_retiring_tables()
            else inf,
            self.list_retry_at,
            *self.blocked_rows.values(),
        ]
        due_times += [
            max(self.outlier_detector.due_at[row], now + self.TICK_INTERVAL)
            for row in desired.weight_fractions
            if not self.outlier_detector.weight_limits[row]
        ]
        ages = (now - self.fleet.started_at[row] for row in desired.weight_fractions)
        due_times += [
            now + self.SLOW_START_INTERVAL - age % self.SLOW_START_INTERVAL
            for age in ages
            if age < self.warm_up_time
        ]
        self.armed_timers = {at for at in self.armed_timers if at > now}
        if min(due_times) < min(self.armed_timers, default=inf):
            self.last_token += 1
            self.armed_timers.add(min(due_times))
            batch.orders.append(SetTimer(min(due_times) - now, self.last_token))
