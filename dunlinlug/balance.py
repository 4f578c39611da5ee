"""All decisions of a manager: the entry to the decision module.

Call `Balancer(settings)` at the start, then `decide(now, events)` for each batch of events, with
the clock in seconds; it returns orders in the order in which they take effect. The records are in
`dunlinlug/decision/events.py`, `orders.py` and `settings.py`. A batch goes through three steps:

1. `decision/event_handling.py`: events change what is known.
2. `decision/planner.py`: what is known becomes the desired state.
3. `decision/reconciler.py`: the difference to what is installed is ordered.

`docs/design.md` tells the reasons, and how this follows CCU, the concurrent two-phase update.
"""

from collections.abc import Iterable

from dunlinlug.decision.decision_state import DecisionState
from dunlinlug.decision.event_handling import handle_event
from dunlinlug.decision.events import Event
from dunlinlug.decision.orders import LogMessage, Order
from dunlinlug.decision.planner import plan
from dunlinlug.decision.reconciler import reconcile
from dunlinlug.decision.settings import ManagerSettings

SHARDING_UNSUPPORTED = "slices are not decided by this version"


class Balancer:
    """One manager's decisions.

    Owns the state that the parts work on. Nothing here reads a clock, a file or a socket, and the
    random numbers come from the seed of the settings: the same events give the same orders.
    """

    def __init__(self, settings: ManagerSettings) -> None:
        self.state = DecisionState(settings)

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Take in a batch of events and return what is to be done about them.

        `now` is seconds on the host's clock and does not go back.
        """
        if self.state.parameters.is_sharded:
            return self._decline_sharding()
        for event in events:
            handle_event(self.state, now, event)
        return reconcile(self.state, now, plan(self.state, now))

    def _decline_sharding(self) -> list[Order]:
        """Log once that shards are not decided; order nothing else."""
        if self.state.sharding_logged:
            return []
        self.state.sharding_logged = True
        return [LogMessage(SHARDING_UNSUPPORTED)]
