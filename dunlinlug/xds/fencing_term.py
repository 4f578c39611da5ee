"""The fence at each proxy: the highest term seen; orders of a lower one are refused."""

import re

IDENTIFIER_PATTERN = re.compile(r"term (\d{1,15}) of ([\w.:-]{1,64})")


def format_identifier(term: int, member: str) -> str:
    """The control plane's identifier on the wire."""
    return f"term {term} of {member}"


def parse_identifier(identifier: str) -> tuple[int, str]:
    """Term and member; term 0 for a manager that takes no part in succession."""
    match = IDENTIFIER_PATTERN.fullmatch(identifier)
    return (int(match[1]), match[2]) if match else (0, "")


class FencingTerm:
    def __init__(self) -> None:
        self.term = 0
        self.member = ""

    def rejection_reason(self, term: int, member: str) -> str:
        """Why orders of this term are refused; empty if they are not, and then lower ones will be."""
        if term < self.term:
            return f"term {term} of {member or 'a manager without terms'} is over; term {self.term} has been seen"
        if term == self.term and self.member and member != self.member:
            return f"term {term} has another master, {self.member}"
        self.term = term
        self.member = member
        return ""


def superseding_term(reason: str) -> int:
    """The higher term that a refusal tells of; 0 if it is about something else."""
    match = re.fullmatch(r"term \d+ of .+ is over; term (\d{1,15}) has been seen", reason)
    return int(match[1]) if match else 0
