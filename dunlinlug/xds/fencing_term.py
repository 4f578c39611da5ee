"""Fencing by term: a proxy rejects responses with a term below the highest that it has seen.

The NACK contains the newer term, which a superseded leader learns from it.
"""

import re

# Highest term that is believed of a proxy: half of what a term may be, so that later elections have
# terms left.
MAX_REPORTED_TERM = 2**30
IDENTIFIER_PATTERN = re.compile(r"term (\d{1,15}) of ([\w.:-]{1,64})")


def format_identifier(term: int, member: str) -> str:
    """Format the control plane identifier of the member that is leader in this term."""
    return f"term {term} of {member}"


def parse_identifier(identifier: str) -> tuple[int, str]:
    """Return the term and member in an identifier; term 0 if there is no leader election."""
    match = IDENTIFIER_PATTERN.fullmatch(identifier)
    if match is None:
        return 0, ""
    return int(match[1]), match[2]


class FencingTerm:
    """The highest term that a proxy has seen, and the leader of that term."""

    def __init__(self) -> None:
        self.term = 0
        self.member = ""

    def rejection_reason(self, term: int, member: str) -> str:
        """Check the term of a response; returns why it is rejected, empty if it is accepted.

        Once a term is accepted, lower terms are rejected.
        """
        if term < self.term:
            sender = member or "a manager without terms"
            return f"term {term} of {sender} is over; term {self.term} has been seen"
        if term == self.term and self.member and member != self.member:
            return f"term {term} has another master, {self.member}"
        self.term = term
        self.member = member
        return ""


def superseding_term(reason: str) -> int:
    """Return the newer term from a rejection reason; 0 if it was rejected for something else."""
    match = re.fullmatch(r"term \d+ of .+ is over; term (\d{1,15}) has been seen", reason)
    if match is None or int(match[1]) > MAX_REPORTED_TERM:
        return 0
    return int(match[1])
