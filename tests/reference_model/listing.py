"""The endpoint list. Bookkeeping only: no decisions are made here."""

from collections.abc import Iterable
from math import inf

from dunlinlug.decision.events import EndpointsUpdated


class Fleet:
    """The listed endpoints, in parallel arrays.

    An endpoint keeps its row while it is listed or in use.
    """

    def __init__(self) -> None:
        self.row_by_id: dict[str, int] = {}
        self.ids: list[str] = []
        self.zones: list[str] = []
        self.ready: list[bool] = []
        self.listed_weights: list[float | None] = []
        self.started_at: list[float] = []

    def apply_update(
        self, update: EndpointsUpdated, rows_in_use: set[int]
    ) -> list[tuple[int, bool]]:
        """Apply an update of the list; return the rows that started later than known.

        The second value of each pair is whether the endpoint is new. Once more than half of all
        rows are not ready, new endpoints reuse such rows, except those in `rows_in_use`, whose
        endpoint may be listed again.
        """
        if update.update_type in ("whole", "kept"):
            self.ready = [False] * len(self.ids)  # endpoints missing from a complete list are gone
        listed_ids, restarted = {endpoint.id for endpoint in update.endpoints}, []
        reusable_rows = [
            row
            for row, ready in enumerate(self.ready)
            if not (ready or row in rows_in_use or self.ids[row] in listed_ids)
        ]
        reusable_rows = reusable_rows if 2 * sum(self.ready) < len(self.ids) else []
        for endpoint in update.endpoints:
            started_at, is_new = (
                -inf if endpoint.started_at is None else endpoint.started_at,
                endpoint.id not in self.row_by_id,
            )
            if is_new:
                row = self.row_by_id[endpoint.id] = (
                    reusable_rows.pop(0) if reusable_rows else len(self.ids)
                )
                self.row_by_id.pop(self.ids[row] if row < len(self.ids) else "", None)
                self.ids[row : row + 1], self.zones[row : row + 1] = [endpoint.id], [endpoint.zone]
                (
                    self.ready[row : row + 1],
                    self.listed_weights[row : row + 1],
                    self.started_at[row : row + 1],
                ) = (
                    [False],
                    [None],
                    [started_at],
                )
            row = self.row_by_id[endpoint.id]
            if is_new or started_at > self.started_at[row]:
                restarted.append((row, is_new))
            self.zones[row], self.listed_weights[row], self.ready[row] = (
                endpoint.zone,
                endpoint.weight,
                endpoint.state == "ready",
            )
            self.started_at[row] = max(started_at, self.started_at[row])
        return restarted

    def by_zone(self, rows: Iterable[int]) -> dict[str, set[int]]:
        """Return these rows by zone."""
        rows_by_zone: dict[str, set[int]] = {}
        for row in rows:
            rows_by_zone.setdefault(self.zones[row], set()).add(row)
        return rows_by_zone
