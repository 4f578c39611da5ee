"""A client library: follows the leading manager, routes requests by its tables, reports results.

    state, accumulator = ProxyState(), ReportAccumulator("p1", "north")
    subscriber = TableSubscriber("p1", "north", [("127.0.0.1", 18000)], state, accumulator)
    dispatcher = RequestDispatcher(state, accumulator, Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(subscriber.run)
        ...
        result = await dispatcher.dispatch("press-book", trio.current_time() + 2.0, attempt)

`attempt(worker, remaining, attempt_number)` sends the request to `worker` once, within `remaining`
seconds, and returns an `AttemptResult`. While no manager is reachable, requests are routed by the
tables last received; `subscriber.silence_duration()` returns for how long nothing was received.
"""

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.client.request_dispatcher import AttemptResult, RequestDispatcher, RequestResult
from dunlinlug.client.table_subscriber import TableSubscriber
from dunlinlug.xds.subscriber import AppliedResponse, ProxyState

__all__ = [
    "AppliedResponse",
    "AttemptResult",
    "ProxyState",
    "ReportAccumulator",
    "RequestDispatcher",
    "RequestResult",
    "TableSubscriber",
]
