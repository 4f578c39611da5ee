"""What must hold at each moment of a run; a violation is kept once for each rule and subject."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from pathlib import Path

import trio

from tests.fixtures.platform_process import SETTINGS
from tests.race_conditions.roaming_proxies import Proxy, Stream
from tests.soak.discovery import Told

RULES = SETTINGS["rules"]
DRAIN_GRACE_S = RULES["drainGraceUs"] / 1e6
WARM_UP_S = RULES["coldUs"] / 1e6
WITHOUT_ENDPOINT_S = SETTINGS["specifics"]["emptyForUs"] / 1e6
MAX_MESSAGES = SETTINGS["specifics"]["messagesMost"]
MESSAGE_WINDOW_S = 10.0  # by the page where the settings name no span
FIRST_UPDATE_S = 2.5
UNSERVED_S = 15.0  # longest time without a manager's update; a manager has 10 s to be ready


def run_queue_delay(pid: int) -> float:
    """Return how long a process has waited for a processor so far, in seconds (proc(5))."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0


@dataclass(frozen=True)
class Violation:
    """A broken rule."""

    rule: str
    subject: str
    details: str


class RuleChecker:
    """Compares what proxies may use with what their managers were told."""

    def __init__(self, proxies: list[Proxy], told_by_port: dict[int, Told]) -> None:
        self.proxies = proxies
        self.told_by_port = told_by_port
        self.violations: dict[tuple[str, str], Violation] = {}
        self.started_at: dict[str, float] = {}  # by worker, on trio's clock
        self.began_at = trio.current_time()
        self.without_endpoint_since: dict[int, float] = {}  # by proxy
        self.unserved_since: dict[int, float] = {}
        self.checked_at = trio.current_time()
        self.longest_oversleep = 0.0
        self.longest_wait = 0.0
        self.manager_pids: Callable[[], list[int]] = list
        self.run_queue_delays: dict[int, float] = {}  # by process id
        self.up_since: dict[int, float] = {}  # by port: when a manager that is up became ready
        # By port of a stopping manager: the worker that its agent listed as draining only then.
        self.listed_after_stop: dict[int, str] = {}
        for proxy in proxies:
            proxy.listeners.append(lambda proxy=proxy: self._check_update(proxy))

    def _note_starvation(self, interval: float) -> None:
        """Note the longest time that this process overslept, or a manager waited for a processor."""
        now = trio.current_time()
        overslept = now - self.checked_at - interval
        self.checked_at = now
        self.longest_oversleep = max(self.longest_oversleep, overslept)
        for pid in self.manager_pids():
            waited = run_queue_delay(pid)
            grown = waited - self.run_queue_delays.get(pid, waited)
            self.run_queue_delays[pid] = waited
            self.longest_wait = max(self.longest_wait, grown)

    def add(self, rule: str, subject: str, details: str) -> None:
        """Keep a violation, the first one of a rule and subject."""
        at = trio.current_time() - self.began_at
        self.violations.setdefault(
            (rule, subject), Violation(rule, subject, f"{details}, at {at:.2f} s")
        )

    async def watch(self, interval: float = 0.05) -> None:
        """Check all rules again and again until cancelled."""
        while True:
            self._note_starvation(interval)
            for proxy in self.proxies:
                self._check(proxy)
            await trio.sleep(interval)

    def _check_update(self, proxy: Proxy) -> None:
        """A manager sends no order that it decided after SIGTERM."""
        stream = proxy.updated_stream
        worker = self.listed_after_stop.get(stream.port) if stream is not None else None
        if worker is not None and worker in proxy.ejected:
            self.add("order after the stop", f"proxy {proxy.number}", f"{worker} ejected")

    def check_stopped(self, port: int, since: float) -> None:
        """Check that a manager that ended by itself broke off no message to a proxy."""
        for proxy in self.proxies:
            for stream in proxy.streams[-2:]:
                ended_by_manager = stream.ended_at is not None and stream.ended_at >= since
                if stream.port == port and ended_by_manager and stream.partial_bytes:
                    self.add("whole messages", f"proxy {proxy.number}", "a part at a stop")

    def _check_first_update(self, proxy: Proxy) -> None:
        """A manager that is up gives a proxy that joins its tables in time."""
        if not proxy.streams:
            return
        stream = proxy.streams[-1]
        up_since = self.up_since.get(stream.port, inf)
        waited = trio.current_time() - max(stream.opened_at, up_since)
        if not stream.update_times and stream.ended_at is None and waited > FIRST_UPDATE_S:
            self.add("tables in time", f"proxy {proxy.number}", f"none in {waited:.2f} s")

    def _check(self, proxy: Proxy) -> None:
        now = trio.current_time()
        subject = f"proxy {proxy.number}"
        self._check_first_update(proxy)
        stream = proxy.updated_stream
        if proxy.errors:
            self.add("protocol", subject, proxy.errors[0])
        if stream is None:
            self.without_endpoint_since.pop(proxy.number, None)
            if now - self.unserved_since.setdefault(proxy.number, now) > UNSERVED_S:
                self.add("available", subject, "no manager served it")
            return
        self.unserved_since.pop(proxy.number, None)
        self._check_messages(subject, stream)
        told = self.told_by_port[stream.port]
        joined_at = stream.update_times[0]
        for traffic_class in proxy.traffic_classes:
            usable = proxy.usable(traffic_class)
            for worker, weight in usable.items():
                self._check_worker(subject, told, worker, weight, joined_at)
        if all(proxy.usable(traffic_class) for traffic_class in proxy.traffic_classes):
            self.without_endpoint_since.pop(proxy.number, None)
        else:
            since = self.without_endpoint_since.setdefault(proxy.number, now)
            if now - max(since, joined_at) > WITHOUT_ENDPOINT_S:
                self.add("without endpoint", subject, f"manager at {stream.port}")

    def _check_worker(
        self, subject: str, told: Told, worker: str, weight: float, joined_at: float
    ) -> None:
        now = trio.current_time()
        unready_since = told.unready_since.get(worker)
        if unready_since is not None and now - max(unready_since, joined_at) > DRAIN_GRACE_S:
            self.add("drain", subject, f"may use {worker}")
        ready_since = told.ready_since.get(worker)
        started_at = self.started_at.get(worker)
        if ready_since is None or started_at is None:
            return
        capacity = RULES["startCapacity"] + (1 - RULES["startCapacity"]) * min(
            1.0, (now - started_at) / WARM_UP_S
        )
        is_told = now - max(ready_since, joined_at) > DRAIN_GRACE_S
        if is_told and weight > capacity * RULES["tipMultiple"] / 2:
            self.add("slow start", subject, f"weight {weight} for {worker}")

    def _check_messages(self, subject: str, stream: Stream) -> None:
        times = stream.update_times
        if len(times) <= MAX_MESSAGES:
            return
        if times[-1] - times[-1 - MAX_MESSAGES] < MESSAGE_WINDOW_S:
            self.add("queue", subject, f"{MAX_MESSAGES + 1} messages in {MESSAGE_WINDOW_S:g} s")
