"""Fencing at an executor: which token each shard's effects go by. Free of I/O.

A lease alone does not keep a paused owner from acting late: the receiver of an effect has to check
a token that grows with each grant (M. Kleppmann, "How to do distributed locking", 2016). An effect
with a lower token than was seen is rejected, as is one of the same token from another owner (a
token given twice, after disks were lost), and one that came before. A minimum comes from the log:
an executor that has just started and remembers nothing goes by what the members know.
"""

from dataclasses import dataclass

DUPLICATE_REASON = "it came before"


@dataclass(frozen=True)
class FencingToken:
    """The last effect of a shard that an executor has executed."""

    number: int
    owner: str
    sequence: int  # the effect's place among those of its shard under this number


NO_TOKEN = FencingToken(0, "", 0)


class FencingGuard:
    """What an executor has executed: the highest token by shard."""

    def __init__(self) -> None:
        self.highest_tokens: dict[int, FencingToken] = {}

    def check(self, shard: int, token: int, owner: str, sequence: int, minimum: int = 0) -> str:
        """Why an effect is rejected; empty if it is to be executed, which is then remembered.

        `minimum` is the token that the log has for the shard.
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
        """The highest token of a shard that was executed; `NO_TOKEN` if there is none."""
        return self.highest_tokens.get(shard, NO_TOKEN)
