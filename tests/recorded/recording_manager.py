"""A manager that records the events of its decision module.

A day starts it with `recording_manager OUT FILE`; FILE is the manager's configuration.
"""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TextIO

from dunlinlug.ads import main
from dunlinlug.balance import Balancer
from dunlinlug.cli import exit_when_input_closes
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import Order
from dunlinlug.decision.settings import ManagerSettings
from tests.recorded.neutral_decisions import neutral_event, neutral_settings, text_of


class RecordingBalancer(Balancer):
    """The decision module; writes the settings, then the clock and events of each batch."""

    def __init__(self, settings: ManagerSettings, output: TextIO) -> None:
        super().__init__(settings)
        self.output = output
        output.write(text_of(neutral_settings(settings)) + "\n")

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        batch = list(events)
        line = {"now": now, "happened": [neutral_event(event) for event in batch]}
        self.output.write(text_of(line) + "\n")
        self.output.flush()
        return super().decide(now, batch)


if __name__ == "__main__":
    with Path(sys.argv[1]).open("a", encoding="utf-8") as events_file:
        exit_when_input_closes()
        sys.exit(
            main.serve(Path(sys.argv[2]), lambda settings: RecordingBalancer(settings, events_file))
        )
