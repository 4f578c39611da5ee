"""A client library: follows whichever manager leads, goes by its tables, carries txns under the
rules, reports.

    holdings, tally = Holdings(), Tally("p1", "north")
    follower = Follower("p1", "north", [("127.0.0.1", 18000)], holdings, tally)
    carrier = Carrier(holdings, tally, Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        ...
        carried = await carrier.carry("press-book", ends=trio.current_time() + 2.0, attempt=attempt)

`attempt(worker, left, n)` makes try number `n` at `worker` within `left` seconds and gives a
`Tried`. With no manager in reach all goes on by the tables held; `follower.silence()` tells for how
long nothing has been heard.
"""

from dunlinlug.client.report_accumulator import ReportAccumulator
from dunlinlug.client.request_dispatcher import AttemptResult, RequestDispatcher, RequestResult
from dunlinlug.client.table_subscriber import TableSubscriber
from dunlinlug.xds.subscriber import AppliedResponse, ProxyState

__all__ = [
    "AppliedResponse",
    "RequestResult",
    "RequestDispatcher",
    "TableSubscriber",
    "ProxyState",
    "ReportAccumulator",
    "AttemptResult",
]
