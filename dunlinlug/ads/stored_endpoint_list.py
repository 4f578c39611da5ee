"""Restores the endpoint list of an earlier run from the store.

It is the first endpoint list that the decision module receives: it is submitted before the decision
loop and the queries to service discovery start. With leader election, it is submitted when this
manager becomes leader without replicated state, before the queries start. Events of other kinds,
such as restored overrides, can precede it.
"""

from dunlinlug.ads.composition import ManagerComponents, module_clock_offset
from dunlinlug.decision.events import Endpoint, EndpointsUpdated, UpdateType
from dunlinlug.discovery import entries


def submit_stored_list(components: ManagerComponents) -> None:
    """Submit the stored list to the decision module.

    An empty list is submitted if there is none, or if it is invalid, which is logged.
    """
    workers: list[Endpoint] = []
    body = components.store.endpoint_list()
    if body is not None:
        try:
            workers, _ = entries.decode_workers(
                body, module_clock_offset() + components.loop.clock_offset
            )
        except entries.DiscoveryResponseError as error:
            components.log_event("store.invalid_list", why=str(error))
    components.loop.submit(EndpointsUpdated(UpdateType.RESTORED, tuple(workers)))
    components.log_event("store.list_loaded", workers=len(workers))
