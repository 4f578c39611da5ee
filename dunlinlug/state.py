"""The plain types of a manager's present and wanted state; `balance.py` decides what becomes of them."""

from dataclasses import dataclass, field
from math import inf


@dataclass(eq=False)
class Table:
    """A table under its number: each worker's share, and that share's part of the listed weight."""

    number: int
    shares: dict[int, float]
    parts: dict[int, float]
    levels: list[tuple[float, int]]  # by product the share let in, and the way of trying again
    clear_at: float = inf


@dataclass(eq=False)
class Change:
    """One product's staged change: laid and asked, ready once none is awaited, bound and asked, cleared."""

    version: int
    table: Table
    old: Table
    mark: int  # of the first asking
    asked_at: float
    awaited: set[int]
    bound: bool = False


@dataclass(eq=False)
class Proxy:
    """A joined proxy: by product the tables it may be using, newest last, with the mark awaited or 0."""

    zone: str
    holds: dict[int, list[tuple[Table, int]]] = field(default_factory=dict)
    bound_at: float = inf


@dataclass
class Wanted:
    """What should be: each ready worker's share and part of its weight, levels by product, who is out."""

    shares: dict[int, float]
    parts: dict[int, float]
    levels: list[tuple[float, int]]
    out: set[int]
