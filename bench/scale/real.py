"""A real manager, as run by `dunlinlug manager FILE.ini`, on the slowed clock of a run.

Adds counts of the member messages, the processor time spent on them, and answers on standard
output. On the command `settled` it drops its pending broadcasts about joining: sending them takes
minutes with hundreds of members, and hollow members start without them. It stops on SIGTERM or when
its input closes, and reloads on SIGHUP, as any manager.
"""

import json
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import trio

from bench.scale import part
from bench.scale.accounting import Meter
from dunlinlug.ads.fleet_composition import FleetComponents
from dunlinlug.ads.main import Manager
from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError
from dunlinlug.decision.events import EndpointsUpdated, Event
from dunlinlug.fleet.membership.list_digests import bucket_fingerprints
from dunlinlug.fleet.membership.messages import MemberStateChanged
from dunlinlug.fleet.shared_keys import KeyFileError
from dunlinlug.manager import structured_logging
from dunlinlug.manager.signals import SignalReceiver
from dunlinlug.storage.store import StoreError

MAX_RECORDED_VERSIONS = 4096  # received versions of the list that are recorded


class MeasuredManager(Manager):
    """The manager with measurements of itself."""

    def __init__(self, path: Path) -> None:
        self.meter, self.stopwatch, self.verdicts = Meter(), part.Stopwatch(), part.Verdicts()
        self.received_versions: list[tuple[int, float]] = []
        log_info = structured_logging.get_logger("manager").info

        def count_and_log(event: str, **fields: Any) -> None:
            self.meter.counts[event] += 1
            log_info(event, **fields)

        super().__init__(path, manager_config.load_manager_config(path), log_event=count_and_log)
        submit = self.components.loop.submit

        def record_and_submit(event: Event) -> None:
            if (
                isinstance(event, EndpointsUpdated)
                and event.update_type in ("whole", "changes")
                and len(self.received_versions) < MAX_RECORDED_VERSIONS
            ):
                self.received_versions.append(
                    (self.components.endpoint_watcher.state.index, time.monotonic())
                )
            submit(event)

        self.components.endpoint_watcher.submit = record_and_submit

    def create_fleet(self, start_task: Callable[..., None]) -> FleetComponents:
        """Create the fleet components, with the membership instrumented."""
        fleet = super().create_fleet(start_task)
        membership = fleet.membership
        assert membership is not None
        part.instrument(membership, self.meter, self.stopwatch)
        forward_change = membership.on_member_change

        def on_change(change: MemberStateChanged) -> None:
            self.meter.counts[f"became {change.after}"] += 1
            if change.after == "failed":
                self.verdicts.add(membership.self_id, change.name)
            forward_change(change)

        membership.on_member_change = on_change
        return fleet

    @staticmethod
    def clock_at() -> tuple[float, float]:
        """Return the current time of the system clock and of the manager's own clock.

        The manager's messages carry times of its own clock.
        """
        return time.monotonic(), trio.current_time()

    async def handle_command(self, command: part.Command) -> dict[str, Any]:
        """Execute one command of the run and return its answer."""
        listed_workers = self.components.endpoint_watcher.last_list
        if command["do"] == "reloads":
            return {"did": "reloads", "reloads": self.meter.counts["reload.done"]}
        if command["do"] == "final":
            me = self.config.section(manager_config.MembershipConfig).me
            return {
                "did": "final",
                "taken": {me: {self.components.epoch: self.received_versions}},
                "clock_at": self.clock_at(),
                "held": {
                    me: (
                        self.components.endpoint_watcher.state.index,
                        json.dumps(bucket_fingerprints(listed_workers)) if listed_workers else "",
                    )
                },
            }
        membership = self.membership
        assert membership is not None
        if command["do"] == "settled":
            membership.protocol.table.pending_broadcasts.clear()
            return {"did": "settled"}
        view = part.member_view(membership)
        reading = part.process_reading(self.meter, self.stopwatch.spent)
        return {
            "did": "report",
            "at": time.monotonic(),
            "reading": asdict(reading),
            "members": 1,
            "views": {f"{view['digest']} {view['living']} {view['state']}": 1},
            "queues": {
                "gossip": view["waiting"],
                "streams": max(membership.transport.open_streams().values()),
                "channel": round(self.components.channel.peak_queued_entries),
                "events": len(self.components.loop.pending_events),
                **{
                    f"refused {reason}": membership.transport.rejections[reason]
                    for reason in part.REJECTION_REASONS
                },
            },
            "verdicts": self.verdicts.take(),
            "dropped": self.verdicts.dropped,
            "listed": len(listed_workers) if listed_workers else 0,
        }


async def main(manager: MeasuredManager, signals: SignalReceiver) -> None:
    """Run the manager and answer commands until either ends."""
    async with trio.open_nursery() as nursery:

        async def run_manager() -> None:
            await manager.run(signals)
            nursery.cancel_scope.cancel()

        async def answer_commands() -> None:
            while manager.membership is None or manager.membership.transport.udp_socket is None:
                await trio.sleep(0.01)
            part.write_line(did="ready")
            await part.serve_commands(manager.handle_command)
            nursery.cancel_scope.cancel()  # the parent process is gone

        nursery.start_soon(run_manager)
        nursery.start_soon(answer_commands)


def run(settings: dict[str, Any]) -> int:
    """Run the manager, and return its exit status.

    2 if its configuration, store or key file cannot be used, 1 if an address is in use.
    """
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        path = Path(settings["file"])
        structured_logging.configure_logging(
            manager_config.load_manager_config(path).section(manager_config.ServerConfig).log
        )
        manager = MeasuredManager(path)
    except (ConfigError, StoreError, KeyFileError) as error:
        part.write_line(
            did="failed", why=f"cannot use the configuration, store or key file: {error}"
        )
        return 2
    exit_status = 0
    try:
        trio.run(main, manager, signals, clock=part.SlowedClock(settings["clock"]))
    except* OSError as error:
        part.write_line(
            did="failed",
            why=f"an address of the manager is in use: {part.first_exception(error)}",
        )
        exit_status = 1
    return exit_status


if __name__ == "__main__":
    sys.exit(run(json.loads(sys.stdin.readline())))
