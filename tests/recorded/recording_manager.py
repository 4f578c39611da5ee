"""A manager that writes down what its decision module hears: `recording_manager OUT FILE`, as a day
starts it.
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
    """The decision module; each turn's clock and events go to a file, one line a turn, after the
    settings.
    """

    def __init__(self, settings: ManagerSettings, out: TextIO) -> None:
        super().__init__(settings)
        self.recorded_to = out
        out.write(text_of(neutral_settings(settings)) + "\n")

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        heard = list(events)
        turn = {"now": now, "happened": [neutral_event(event) for event in heard]}
        self.recorded_to.write(text_of(turn) + "\n")
        self.recorded_to.flush()
        return super().decide(now, heard)


if __name__ == "__main__":
    with Path(sys.argv[1]).open("a", encoding="utf-8") as recorded:
        exit_when_input_closes()
        sys.exit(main.serve(Path(sys.argv[2]), lambda told: RecordingBalancer(told, recorded)))
