"""A real manager, `dunlinlug manager FILE.ini` as it is, on the rig's clock, with its members'
words counted.

Added are the counts round its codec, the processor time of its members' part, and answers on
standard output. Told that the fleet has settled, it drops what it has left to tell of its joining:
that takes minutes with hundreds of members, and hollow ones begin without. It is stopped by SIGTERM
or the close of its input, and reloads at SIGHUP, as any.
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

TAKEN = 4096  # versions of the list remembered with their times


class Counted(Manager):
    """The manager, telling of itself."""

    def __init__(self, path: Path) -> None:
        self.meter, self.stopwatch, self.verdicts = Meter(), part.Stopwatch(), part.Verdicts()
        self.taken: list[tuple[int, float]] = []
        note = structured_logging.get_logger("manager").info

        def noted(event: str, **said: Any) -> None:
            self.meter.counts[event] += 1
            note(event, **said)

        super().__init__(path, manager_config.load_manager_config(path), log_event=noted)
        tell = self.components.loop.submit

        def told(event: Event) -> None:
            if (
                isinstance(event, EndpointsUpdated)
                and event.update_type in ("whole", "changes")
                and len(self.taken) < TAKEN
            ):
                self.taken.append((self.components.endpoint_watcher.state.index, time.monotonic()))
            tell(event)

        self.components.endpoint_watcher.submit = told

    def create_fleet(self, start_task: Callable[..., None]) -> FleetComponents:
        fleet = super().create_fleet(start_task)
        membership = fleet.membership
        assert membership is not None
        part.instrument(membership, self.meter, self.stopwatch)
        changed = membership.on_member_change

        def heard(change: MemberStateChanged) -> None:
            self.meter.counts[f"became {change.after}"] += 1
            if change.after == "failed":
                self.verdicts.add(membership.self_id, change.name)
            changed(change)

        membership.on_member_change = heard
        return fleet

    @staticmethod
    def clock_at() -> tuple[float, float]:
        """One moment on the clock of all processes, and on ours, by which its messages say when
        they were ordered.
        """
        return time.monotonic(), trio.current_time()

    async def obey(self, command: part.Command) -> dict[str, Any]:
        known = self.components.endpoint_watcher.last_list
        if command["do"] == "reloads":
            return {"did": "reloads", "reloads": self.meter.counts["reload.done"]}
        if command["do"] == "final":
            me = self.config.section(manager_config.MembershipConfig).me
            return {
                "did": "final",
                "taken": {me: {self.components.epoch: self.taken}},
                "clock_at": self.clock_at(),
                "held": {
                    me: (
                        self.components.endpoint_watcher.state.index,
                        json.dumps(bucket_fingerprints(known)) if known else "",
                    )
                },
            }
        membership = self.membership
        assert membership is not None
        if command["do"] == "settled":
            membership.protocol.table.pending_broadcasts.clear()
            return {"did": "settled"}
        said = part.member_said(membership)
        reading = part.own_reading(self.meter, self.stopwatch.spent)
        return {
            "did": "report",
            "at": time.monotonic(),
            "reading": asdict(reading),
            "members": 1,
            "views": {f"{said['digest']} {said['living']} {said['state']}": 1},
            "queues": {
                "gossip": said["waiting"],
                "streams": max(membership.transport.open_streams().values()),
                "channel": round(self.components.channel.peak_queued_entries),
                "events": len(self.components.loop.pending_events),
                **{
                    f"refused {why}": membership.transport.rejections[why]
                    for why in part.AT_THE_DOOR
                },
            },
            "verdicts": self.verdicts.taken(),
            "dropped": self.verdicts.dropped,
            "listed": len(known) if known else 0,
        }


async def main(manager: Counted, signals: SignalReceiver) -> None:
    async with trio.open_nursery() as nursery:

        async def whole() -> None:
            await manager.run(signals)
            nursery.cancel_scope.cancel()

        async def talk() -> None:
            while manager.membership is None or manager.membership.transport.udp_socket is None:
                await trio.sleep(0.01)
            part.say(did="ready")
            await part.commands(manager.obey)
            nursery.cancel_scope.cancel()  # whoever started us is gone

        nursery.start_soon(whole)
        nursery.start_soon(talk)


def run(told: dict[str, Any]) -> int:
    """Gives the exit status: 2 for a file or store that can't be used, 1 for a place that is taken."""
    signals = SignalReceiver()
    signals.install_handlers()
    try:
        path = Path(told["file"])
        structured_logging.configure_logging(
            manager_config.load_manager_config(path).section(manager_config.ServerConfig).log
        )
        manager = Counted(path)
    except (ConfigError, StoreError, KeyFileError) as fault:
        part.say(did="failed", why=f"a manager cannot use what it was given: {fault}")
        return 2
    status = 0
    try:
        trio.run(main, manager, signals, clock=part.Slowed(told["clock"]))
    except* OSError as faults:
        part.say(did="failed", why=f"a place of a manager is taken: {part.first(faults)}")
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(run(json.loads(sys.stdin.readline())))
