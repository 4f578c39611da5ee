"""Replication cost: CPU and bytes per simulated second for one standby, and of a full snapshot.

    python -m bench.replication_cost [--seconds 30]

The same simulated streams of events as `bench.decision_loop_cost`, at 18 proxies x 18 workers and
at 150 x 112 (proxies x workers). Measured for one standby: serializing and sealing a batch at the
leader; reading it and replaying it in the decision module at the standby.
"""

import argparse
import time
from typing import Any

from bench.decision_loop_cost import Fleet
from dunlinlug.balance import Balancer
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import Order
from dunlinlug.fleet.election import codec, messages, replicated_state

SIZES = {
    "18 x 18": (2, 18, 18, 1200.0, 4.0, 30, 80.0),
    "150 x 112": (2, 150, 112, 3000.0, 4.0, 30, 80.0),
}


class ReplicatedFleet(Fleet):
    """A fleet whose manager replicates every batch to one standby."""

    def __init__(self, size: Any) -> None:
        super().__init__(size)
        self.standby_module, self.sealer = (
            Balancer(self.settings),
            codec.FrameSealer(bytes(32), bytes(16)),
        )
        self.opener = codec.FrameOpener([bytes(32)], bytes(16))
        self.replication_cpu_seconds = {"write": 0.0, "read": 0.0, "follow": 0.0}
        self.bytes_sent = self.batches = 0

    def effective_orders(self, now: float, events: list[Event], orders: list[Order]) -> list[Order]:
        """Send the batch to the standby, replay it there, and add the CPU of each step."""
        began = time.process_time()
        entries = messages.AppendEntries(
            1,
            "a",
            now,
            messages.VoterSet(1, ("a", "b", "c")),
            (1, self.batches),
            (
                replicated_state.serialize_batch(
                    replicated_state.ReplicatedBatch(now, list(events), [], {})
                ),
            ),
        )
        frame = self.sealer.frame(entries)
        wrote = time.process_time()
        batch = replicated_state.deserialize_batch(self.opener.feed(frame)[0].entries[0])  # type: ignore[union-attr]
        read = time.process_time()
        assert self.standby_module.decide(batch.now, batch.events) == orders
        for key, spent in (
            ("write", wrote - began),
            ("read", read - wrote),
            ("follow", time.process_time() - read),
        ):
            self.replication_cpu_seconds[key] += spent
        self.bytes_sent, self.batches = self.bytes_sent + len(frame), self.batches + 1
        return orders


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=30)
    seconds = parser.parse_args().seconds
    for name, size in SIZES.items():
        fleet = ReplicatedFleet(size)
        fleet.run(seconds)
        ms_per_s = {
            key: spent / seconds * 1e3 for key, spent in fleet.replication_cpu_seconds.items()
        }
        loop_ms = sum(fleet.cpu_seconds.values()) / seconds * 1e3 - sum(ms_per_s.values())
        began = time.process_time()
        snapshot = replicated_state.serialize_snapshot(
            fleet.module,
            replicated_state.ReplicaSnapshot(
                seconds,
                1,
                fleet.xds_installer.tables,
                fleet.xds_installer.ejected,
                fleet.xds_installer.zones,
                {},
                [],
            ),
        )
        wrote = time.process_time()
        replicated_state.deserialize_snapshot(snapshot, fleet.settings)
        print(
            f"{name:10s} loop {loop_ms:.1f} ms/s; leader {ms_per_s['write']:.1f} ms/s per standby, "
            f"standby {ms_per_s['read']:.1f} + {ms_per_s['follow']:.1f} ms/s; "
            f"{fleet.batches / seconds:.0f} batches and "
            f"{fleet.bytes_sent / seconds / 1e3:.1f} kB per second; "
            f"snapshot {len(snapshot) / 1e3:.0f} kB, "
            f"{(wrote - began) * 1e3:.0f} ms to write, {(time.process_time() - wrote) * 1e3:.0f} "
            "ms to read",
            flush=True,
        )


if __name__ == "__main__":
    main()
