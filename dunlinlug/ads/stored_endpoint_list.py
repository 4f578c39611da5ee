"""Restores the endpoint list of an earlier run from the store."""

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
