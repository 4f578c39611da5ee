"""The record of one rejected order, and the rules by which an order can be rejected."""

import enum
from dataclasses import dataclass

from dunlinlug.decision.orders import Order


class RejectionRule(enum.StrEnum):
    """The rule that an order breaks; the values are shown to operators and kept in the store."""

    MALFORMED = "form"  # a value out of range, or something unknown
    WITHOUT_ENDPOINT = "bare"  # a proxy could be left without an available endpoint
    OVERLOAD = "pushed"  # a warming endpoint would get more than it can serve
    UNSAFE_RETRY = "twice"  # a retry could repeat an effect
    DRAINING = "drain"  # an endpoint that is not ready could get requests again


@dataclass(frozen=True)
class Rejection:
    """One rejected order.

    Attributes:
        order: The order as the decision module gave it.
        rule: The rule that it breaks.
        reason: The measured value and the limit that it exceeds, or the fault; text for operators.
        remedy: What would be accepted instead; text for operators.
        proxies: Ids of the proxies that the order concerns; empty if it concerns no specific ones.
        allowed_anyway: Whether the order is carried out despite the rejection, as the lesser harm.
    """

    order: Order
    rule: RejectionRule
    reason: str
    remedy: str
    proxies: tuple[int, ...] = ()
    allowed_anyway: bool = False
