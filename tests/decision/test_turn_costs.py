"""The cost of a batch must depend on the changes in it, not on the size of the deployment.

Cost is counted in executed bytecode instructions, which depend neither on the machine, as time
would, nor on formatting, as lines would. The same events are passed to a small and to a large
deployment. The test must detect the higher cost of the reference model, and of a module in which an
incremental computation is replaced by a full one.
"""

import sys
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from dunlinlug import balance, decision
from dunlinlug.balance import Balancer
from dunlinlug.decision.events import (
    Acknowledged,
    DemandReported,
    Endpoint,
    EndpointReported,
    EndpointsUpdated,
    Event,
    ProxyConnected,
    TimerFired,
)
from dunlinlug.decision.orders import RequestAcknowledgement, SetTimer
from dunlinlug.decision.settings import ChannelSettings, ManagerSettings, SafetyLimits, TrafficClass
from dunlinlug.decision.state.assignments import Assignments
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.desired_weights import DesiredWeights
from dunlinlug.decision.state.endpoints import Fleet
from dunlinlug.decision.state.outlier_statistics import OutlierStatistics
from dunlinlug.decision.state.tables import Table
from tests import reference_model
from tests.reference_model.balance import Balancer as ReferenceBalancer

EventGenerator = Callable[[], Iterator[list[Event]]]
PROXIES, STEP = 20, 0.1  # number of proxies; seconds between turns
COUNTED_PATHS = (
    Path(balance.__file__),
    Path(decision.__file__).parent,
    Path(reference_model.__file__).parent,
)  # files and packages whose instructions are counted


def worker(n: int, state: str = "ready", since: float | None = None) -> Endpoint:
    return Endpoint(f"10.0.{n // 250}.{n % 250}:80", "abc"[n % 3], "", 0, state, 1.0, since)


def manager_settings(class_count: int) -> ManagerSettings:
    return ManagerSettings(
        seed=1,
        zone="a",
        traffic_classes=tuple(TrafficClass(f"p{k}", 0.8, 2.0, 1.0 + k) for k in range(class_count)),
        admission_mode="share",
        can_check_health=True,
        initial_subset_size=6,
        channel=ChannelSettings(1300.0, 4.0, 2350.0, 0.25, 0.5, 30),
        safety_limits=SafetyLimits(4.7, 3.0, 10.0, 18.0, 0.2, 3.0, 2.0),
    )


class InstructionCounter:
    """Counts the executed bytecode instructions of the files in `COUNTED_PATHS`."""

    def __init__(self) -> None:
        self.instructions = 0

    def count_opcode(self, frame: FrameType, event: str, arg: object) -> Any:
        self.instructions += event == "opcode"
        return self.count_opcode

    def trace_call(self, frame: FrameType, event: str, arg: object) -> Any:
        path = Path(frame.f_code.co_filename)
        if not any(path.is_relative_to(counted) for counted in COUNTED_PATHS):
            return None
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        return self.count_opcode

    def count(self, decide: Callable[[], Any]) -> Any:
        before = sys.gettrace()
        sys.settrace(self.trace_call)
        try:
            return decide()
        finally:
            sys.settrace(before)


class RunningModule:
    """Runs one manager; every proxy acknowledges each request 0.3 seconds later."""

    def __init__(self, workers: int, class_count: int = 2, module: Any = Balancer) -> None:
        self.module, self.now, self.counter = (
            module(manager_settings(class_count)),
            0.0,
            InstructionCounter(),
        )
        self.due: list[tuple[float, Event]] = []
        self.turn([EndpointsUpdated("kept", tuple(worker(n) for n in range(workers)))])
        self.turn([ProxyConnected(p, "abc"[p % 3], 5.0, True) for p in range(PROXIES)])
        for _ in range(120):
            self.turn([])

    def turn(self, events: list[Event], counted: bool = False) -> int:
        """Pass a batch to the module; return the executed instructions, 0 if not `counted`."""
        self.now += STEP
        events = [*events, *(event for at, event in self.due if at <= self.now)]
        self.due = [entry for entry in self.due if entry[0] > self.now]
        before = self.counter.instructions
        decide = lambda: self.module.decide(self.now, events)  # noqa: E731
        for order in self.counter.count(decide) if counted else decide():
            if isinstance(order, RequestAcknowledgement):
                self.due += [
                    (self.now + 0.3, Acknowledged(p, order.ack_number, 0.3)) for p in range(PROXIES)
                ]
            elif isinstance(order, SetTimer):
                self.due.append((self.now + order.delay, TimerFired(order.token)))
        return self.counter.instructions - before


def reports() -> Iterator[list[Event]]:
    """Four seconds of reports on workers that exist at each size; one in eight is failing."""
    for n in range(40):
        rows = [(7 * n + m) % 200 for m in range(6)]
        yield [
            *(
                EndpointReported("a", worker(row).id, 12, 8 if row % 8 == 0 else 0, 0.2, 0.5)
                for row in rows
            ),
            DemandReported(n % PROXIES, "p0", 4, 0, 0.5),
        ]


def release() -> Iterator[list[Event]]:
    """Thirty workers are replaced, each by its own updates of the endpoint list."""
    for n in range(30):
        yield [EndpointsUpdated("changes", (worker(n, "draining"),))]
        yield [EndpointsUpdated("changes", (worker(n, "ready", 1.0 + n / 10),))]


def cost(events: EventGenerator, *size: int, module: Any = Balancer, turns: int = 60) -> float:
    """Return the mean number of instructions per turn, over at most `turns` turns."""
    running = RunningModule(*size, module=module)
    counts = [running.turn(batch, counted=True) for batch in islice(events(), turns)]
    return sum(counts) / len(counts)


def growth(
    events: EventGenerator, few: int, many: int, module: Any = Balancer, turns: int = 60
) -> float:
    return cost(events, many, 2, module=module, turns=turns) / cost(
        events, few, 2, module=module, turns=turns
    )


@pytest.mark.parametrize("events", [reports, release])
def test_the_cost_of_a_batch_does_not_grow_with_the_endpoints(events: EventGenerator) -> None:
    assert growth(events, 1500, 5000) <= 1.05  # both sizes update subsets
    assert (
        growth(events, 200, 1500) <= 3.0
    )  # with 200 workers all proxies have the full table, so there are no subsets to update


@pytest.mark.parametrize(("events", "max_instructions"), [(reports, 510), (release, 770)])
def test_a_class_costs_a_batch_few_instructions(
    events: EventGenerator, max_instructions: int
) -> None:
    """A class must not cost a comparison of all 200 endpoints of its table."""
    assert cost(events, 200, 270) - cost(events, 200, 2) <= 268 * max_instructions


def test_the_reference_models_cost_grows_with_the_endpoints() -> None:
    assert growth(reports, 200, 800, ReferenceBalancer, 10) > 3.0
    assert (
        cost(reports, 200, 20, module=ReferenceBalancer, turns=10)
        - cost(reports, 200, 2, module=ReferenceBalancer, turns=10)
        > 18 * 2700
    )


def compare_all_rows(
    self: DesiredWeights, table: Table, desired: dict[int, float], include_missing: bool = True
) -> set[int]:
    rows = {**table.weights, **desired} if include_missing else table.weights
    return {row for row in rows if table.weights.get(row) != desired.get(row)}


def update_all_tables(self: Assignments, rows: set[int], ready: list[bool]) -> None:
    for row in rows:
        for table in self.tables.values():
            (
                table.unready_rows.add
                if row in table.weight_fractions and not ready[row]
                else table.unready_rows.discard
            )(row)


FAULTS: dict[str, tuple[EventGenerator, type, str, Callable[..., object]]] = {
    "all rows are compared": (reports, DesiredWeights, "differing_rows", compare_all_rows),
    "all rows are recovery candidates": (
        reports,
        OutlierStatistics,
        "due_recoveries",
        lambda self, now: [row for row in self.ready_rows if self.weight_limits[row]],
    ),
    "all rows are checked for due ejections": (
        reports,
        OutlierStatistics,
        "due_ejections",
        lambda self, now: [
            row
            for row in sorted(self.ready_rows)
            if not self.weight_limits[row] and self.due_at[row] <= now
        ],
    ),
    "all weights are recomputed": (
        reports,
        Fleet,
        "take_changed_rows",
        lambda self: set(self.ready_rows),
    ),
    "all rows are checked for coverage": (
        reports,
        Coverage,
        "find_uncovered",
        lambda self, weights, log, truncated: [
            row for row in sorted(weights) if row not in self.table_counts
        ],
    ),
    "readiness is updated in all tables": (release, Assignments, "set_ready", update_all_tables),
}


@pytest.mark.parametrize("name", FAULTS)
def test_the_cost_of_a_full_computation_is_detected(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    events, state_class, method, fault = FAULTS[name]
    monkeypatch.setattr(state_class, method, fault)
    fault_path = Path(__file__)  # the instructions of the fault count too
    monkeypatch.setattr(
        "tests.decision.test_turn_costs.COUNTED_PATHS", (*COUNTED_PATHS, fault_path)
    )
    assert growth(events, 1500, 3000, turns=10) > 1.05
