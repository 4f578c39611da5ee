"""Fencing at each proxy: responses of a leader's term below the highest one seen are rejected.

A proxy tells why in its NACK, from which a leader that was superseded learns the newer term.
"""

import re

IDENTIFIER_PATTERN = re.compile(r"term (\d{1,15}) of ([\w.:-]{1,64})")


def format_identifier(term: int, member: str) -> str:
    """The control plane's identifier on the wire, of a member that leads in this term."""
    return f"term {term} of {member}"


def parse_identifier(identifier: str) -> tuple[int, str]:
    """The term and member in an identifier; term 0 for a manager that elects no leader."""
    match = IDENTIFIER_PATTERN.fullmatch(identifier)
    if match is None:
        return 0, ""
    return int(match[1]), match[2]


class FencingTerm:
    """The highest term that a proxy has seen, and the member that leads in it."""

    def __init__(self) -> None:
        self.term = 0
        self.member = ""

    def rejection_reason(self, term: int, member: str) -> str:
        """Why responses of this term are rejected; empty if not, and then lower terms will be."""
        if term < self.term:
            sender = member or "a manager without terms"
            return f"term {term} of {sender} is over; term {self.term} has been seen"
        if term == self.term and self.member and member != self.member:
            return f"term {term} has another master, {self.member}"
        self.term = term
        self.member = member
        return ""


def superseding_term(reason: str) -> int:
    """The higher term in a proxy's reason for rejection; 0 if that is about something else."""
    match = re.fullmatch(r"term \d+ of .+ is over; term (\d{1,15}) has been seen", reason)
    if match is None:
        return 0
    return int(match[1])
