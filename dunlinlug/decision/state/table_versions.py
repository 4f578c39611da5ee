"""The current table of each traffic class, and its staged update if one is in progress.

Records only: `dunlinlug/decision/table_update.py` decides how they change.
"""

from dataclasses import dataclass, field
from math import inf

from dunlinlug.decision.state.tables import Table


@dataclass(eq=False)
class StagedUpdate:
    """One class's update: installed, ready once acknowledged, assigned, done once acknowledged.

    In the terms of the CCU paper, a proxy in `awaited_proxies` has not yet sent *Ready to Commit*,
    and `assigned` means that *Commit OK* is being sent.
    """

    version: int
    table: Table
    old_table: Table
    ack_number: int  # of the request by which the proxies acknowledge that they are ready
    requested_at: float  # seconds
    awaited_proxies: set[int]
    assigned: bool = False


@dataclass(eq=False)
class TableVersions:
    """The current tables by class and the updates in progress.

    `current_tables` are those that the last ready update assigns, from the start of its
    assignment. A proxy that was last sent a table before `silent_since` (seconds) is silent: no
    update waits for it.
    """

    current_tables: dict[int, Table] = field(default_factory=dict)
    staged_updates: dict[int, StagedUpdate] = field(default_factory=dict)
    # The subsets among which all endpoints are distributed.
    subset_tables: list[Table] = field(default_factory=list)
    last_version: int = 0
    last_table_id: int = 0
    silent_since: float = -inf
