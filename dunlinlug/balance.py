"""Entry point of the decision module, which makes all routing decisions of a manager.

Create one `Balancer(settings)` at startup, then call `decide(now, events)` with the clock in
seconds for each batch of events. It returns the orders in the sequence in which they must take
effect. The records are defined in `decision/events.py`, `decision/orders.py` and
`decision/settings.py`. A batch is processed in three steps:

1. `decision/event_handling.py` applies the events to the observed state.
2. `decision/planner.py` computes the desired state from the observed state.
3. `decision/reconciler.py` orders the differences between the desired and the installed state.

`docs/design.md` explains the design and how it follows CCU, the concurrent two-phase update.
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
    """Makes the decisions of one manager and holds their state between batches.

    It is deterministic: it reads no clock, file or socket and seeds its random numbers from the
    settings, so the same events produce the same orders.
    """

    def __init__(self, settings: ManagerSettings) -> None:
        self.state = DecisionState(settings)

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Process a batch of events and return the resulting orders.

        `now` is the host's clock in seconds and never decreases from one call to the next.
        """
        if self.state.parameters.is_sharded:
            return self._decline_sharding()
        for event in events:
            handle_event(self.state, now, event)
        return reconcile(self.state, now, plan(self.state, now))

    def _decline_sharding(self) -> list[Order]:
        """Order nothing but, on the first call, a log message that sharding is not supported."""
        if self.state.sharding_logged:
            return []
        self.state.sharding_logged = True
        return [LogMessage(SHARDING_UNSUPPORTED)]
