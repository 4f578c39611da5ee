"""At a carrier: which number each slot's effects go by. Free of I/O.

An effect with a lower number than was seen is refused, as is one of the same number from another
owner (a number given twice, after disks were lost), and one that came before. A floor comes from
the log: a carrier that has just started and remembers nothing goes by what the members know.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class FencingToken:
    number: int
    owner: str
    sequence: int


DUPLICATE_REASON = "it came before"
NO_TOKEN = FencingToken(0, "", 0)


class FencingGuard:
    """By slot the highest that was done."""

    def __init__(self) -> None:
        self.highest_tokens: dict[int, FencingToken] = {}

    def check(self, shard: int, token: int, owner: str, sequence: int, minimum: int = 0) -> str:
        """Empty if this is to be done, and is then marked; else why not. `floor` is the log's
        number of that slot.
        """
        highest = self.highest_tokens.get(shard, NO_TOKEN)
        if token < max(highest.number, minimum):
            return f"number {token} is below {max(highest.number, minimum)}"
        if token == highest.number and owner != highest.owner:
            return f"number {token} is {highest.owner}'s"
        if token == highest.number and sequence <= highest.sequence:
            return DUPLICATE_REASON
        self.highest_tokens[shard] = FencingToken(token, owner, sequence)
        return ""

    def highest_token(self, shard: int) -> FencingToken:
        return self.highest_tokens.get(shard, NO_TOKEN)
