"""Checks the fencing tokens of effects at an executor. Free of I/O.

A lease alone does not prevent a paused owner from acting late: the receiver of an effect must check
a token that grows with each grant (M. Kleppmann, "How to do distributed locking", 2016). An effect
is rejected if its token is lower than the highest one executed for its shard, if the same token was
used by another owner (a token can be issued twice after disks were lost), or if it is a duplicate
or out of order. The log's token of the shard is a further minimum, which protects an executor that
has just started and has executed nothing yet.
"""

from dataclasses import dataclass

DUPLICATE_REASON = "it came before"


@dataclass(frozen=True)
class FencingToken:
    """The token of the last effect that an executor has executed for a shard."""

    number: int
    owner: str
    sequence: int  # the effect's position among its shard's effects under this token


NO_TOKEN = FencingToken(0, "", 0)


class FencingGuard:
    """Records the highest executed token of each shard, and checks effects against it."""

    def __init__(self) -> None:
        self.highest_tokens: dict[int, FencingToken] = {}

    def check(self, shard: int, token: int, owner: str, sequence: int, minimum: int = 0) -> str:
        """Returns why an effect is rejected; accepts and records it if the reason is empty.

        `minimum` is the shard's token in the log.
        """
        highest = self.highest_token(shard)
        lowest_accepted = max(highest.number, minimum)
        if token < lowest_accepted:
            return f"number {token} is below {lowest_accepted}"
        if token == highest.number and owner != highest.owner:
            return f"number {token} is {highest.owner}'s"
        if token == highest.number and sequence <= highest.sequence:
            return DUPLICATE_REASON
        self.highest_tokens[shard] = FencingToken(token, owner, sequence)
        return ""

    def highest_token(self, shard: int) -> FencingToken:
        """Returns the highest executed token of a shard; `NO_TOKEN` if there is none."""
        return self.highest_tokens.get(shard, NO_TOKEN)
