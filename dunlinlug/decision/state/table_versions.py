"""Which table each traffic class uses, and its update that is under way.

Records alone: `dunlinlug/decision/table_update.py` decides what becomes of them.
"""

from dataclasses import dataclass, field
from math import inf

from dunlinlug.decision.state.tables import Table


@dataclass(eq=False)
class StagedUpdate:
    """One class's update: installed and awaited, ready, assigned and awaited, done.

    In the terms of the paper (CCU) a proxy in `awaited_proxies` has not yet said *Ready to
    Commit*, and `assigned` means that *Commit OK* is being sent.
    """

    version: int
    table: Table
    old_table: Table
    ack_number: int  # of the request that asks whether the proxies are ready
    requested_at: float  # seconds
    awaited_proxies: set[int]
    assigned: bool = False


@dataclass(eq=False)
class TableVersions:
    """The tables in force by class and the updates that are under way.

    `current_tables` are those that the last ready update assigns, from the moment its assignment
    begins. A proxy that was last written to before `silent_since` (seconds) is silent: no update
    waits for it.
    """

    current_tables: dict[int, Table] = field(default_factory=dict)
    staged_updates: dict[int, StagedUpdate] = field(default_factory=dict)
    # The small tables over which all endpoints are dealt.
    subset_tables: list[Table] = field(default_factory=list)
    last_version: int = 0
    last_table_id: int = 0
    silent_since: float = -inf
