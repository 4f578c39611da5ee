"""The lines wanted, and where tables differ from them. Bookkeeping alone: nothing here is decided.

What changed is logged; a table catches up on the log when it is asked about, so that it costs what
changed since it was asked last, and a table that nobody asks about costs nothing. A slow plain
model stands in `tests/decision/state/test_incremental_state.py`.
"""

from collections.abc import Iterable

from dunlinlug.decision.state.assignments import Table
from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.outlier_statistics import ROUNDING_TOLERANCE

Weights = dict[int, float]


class DesiredWeights:
    """By row of each ready worker `parts`, its part of its weight, and `plain`, its share, where it
    has one.
    """

    MIN_CAPACITY = 1e-6  # divides
    MIN_LOG_LENGTH = 1000  # entries of the log that are kept in any case

    def __init__(self) -> None:
        self.weight_fractions = Weights()
        self.default_weights = Weights()
        # rows whose share changed, and how many were cut off before them
        self.change_log = list[int]()
        self.truncated = 0
        self.ejected = set[int]()
        # of the shares of who is in, and how long the log was then
        self.available_sum = 0.0
        self.summed_position = -1
        # the greatest row of `plain` so far, and whether its order is another
        self.highest_row = -1
        self.unordered = False

    def remove(self, rows: Iterable[int]) -> None:
        """They are not ready."""
        for row in rows:
            self.set_weight(row, 0.0, None)
            del self.weight_fractions[row]

    def set_weight(self, row: int, weight_fraction: float, weight: float | None) -> None:
        """A worker's part of its weight and its share; None where it has none."""
        self.weight_fractions[row] = weight_fraction
        if self.default_weights.get(row) == weight:
            return
        self.change_log.append(row)
        if weight is None:
            del self.default_weights[row]
        else:
            self.unordered = (
                self.unordered or row not in self.default_weights and row < self.highest_row
            )
            self.highest_row = max(self.highest_row, row)
            self.default_weights[row] = weight
        self._truncate_log()

    def set_ejected(self, ejected: set[int]) -> None:
        """Who is out now."""
        self.change_log.extend(ejected ^ self.ejected)
        self.ejected = set(ejected)
        self._truncate_log()

    def _truncate_log(self) -> None:
        if len(self.change_log) > self.MIN_LOG_LENGTH + 2 * len(self.default_weights):
            removed = len(self.change_log) // 2
            del self.change_log[:removed]
            self.truncated += removed

    def ordered_weights(self) -> Weights:
        """The shares in the order of rows."""
        if self.unordered:
            entries = sorted(self.default_weights.items())
            self.default_weights.clear()
            self.default_weights.update(entries)
            self.unordered = False
        return self.default_weights

    def differing_rows(
        self, table: Table, desired: Weights, include_missing: bool = True
    ) -> set[int]:
        """Rows whose line in the table is not the one wanted; those that it lacks count if
        `lacking`.
        """
        installed = table.weights
        if desired is not self.default_weights:
            rows: Iterable[int] = {**installed, **desired} if include_missing else installed
            return {row for row in rows if installed.get(row) != desired.get(row)}
        if table.log_position < self.truncated or table.missing_included != include_missing:
            rows = {**installed, **desired} if include_missing else installed
            table.missing_included = include_missing
            table.differing_rows = set()
        else:
            rows = {*self.change_log[table.log_position - self.truncated :], *table.changed_rows}
        for row in rows:
            installed_weight = installed.get(row)
            desired_weight = desired.get(row)
            (
                table.differing_rows.add
                if installed_weight != desired_weight
                and (include_missing or installed_weight is not None)
                else table.differing_rows.discard
            )(row)
        table.changed_rows.clear()
        table.log_position = self.truncated + len(self.change_log)
        return table.differing_rows

    def capacity(self, table: Table, desired: Weights) -> float:
        """What a table's workers that are not out take, in weight; a little where there is nobody."""
        if (
            desired is self.default_weights
            and table.cached_capacity is not None
            and table.capacity_position >= self.truncated
            and table.weights.keys().isdisjoint(
                self.change_log[table.capacity_position - self.truncated :]
            )
        ):
            table.capacity_position = self.truncated + len(self.change_log)
            return table.cached_capacity
        available = (
            sum(desired.get(i, 0.0) for i in table.weights if i not in self.ejected)
            or self.MIN_CAPACITY
        )
        if desired is self.default_weights:
            table.cached_capacity = available
            table.capacity_position = self.truncated + len(self.change_log)
        return available

    def capacities(self, tables: Iterable[Table], desired: Weights) -> dict[Table, float]:
        return {table: self.capacity(table, desired) for table in tables}

    def available_uncovered_rows(self, coverage: Coverage, desired: Weights) -> Iterable[int]:
        """Rows that are in, that have a share and no line in the tables covered, in order."""
        rows = (
            coverage.find_uncovered(self.default_weights, self.change_log, self.truncated)
            if desired is self.default_weights
            else sorted(desired.keys() - coverage.table_counts.keys())
        )
        return (i for i in rows if i not in self.ejected)

    def available_weight(self, desired: Weights) -> float:
        """The shares of all that are in, added up in order; a walk where something changed since."""
        if desired is not self.default_weights:
            return sum(weight for i, weight in desired.items() if i not in self.ejected)
        if self.summed_position != self.truncated + len(self.change_log):
            self.available_sum = sum(
                weight for i, weight in self.ordered_weights().items() if i not in self.ejected
            )
            self.summed_position = self.truncated + len(self.change_log)
        return self.available_sum

    def rows_by_demand(self, desired: Weights, demand_ratios: dict[Table, float]) -> list[int]:
        """Rows that are in, by what these tables together ask of each, the least first."""
        demands = dict.fromkeys((row for row in sorted(desired) if row not in self.ejected), 0.0)
        for table, demand_ratio in demand_ratios.items():
            for row in table.weights:
                if row in demands:
                    demands[row] += demand_ratio
        return sorted(demands, key=demands.__getitem__)

    def distances(self, tables: Iterable[Table], desired_weights: list[Weights]) -> list[float]:
        """How far each of these tables is from what is wanted of it: the sum over its lines."""
        pairs = [*zip(tables, map(id, desired_weights), strict=True)]
        differing = {
            pair: (pair[0], want, self.differing_rows(pair[0], want))
            for pair, want in dict(zip(pairs, desired_weights, strict=True)).items()
        }
        distance_by_pair = {
            pair: self._distance(table, want, sorted(rows))
            for pair, (table, want, rows) in differing.items()
            if rows
        }
        sums = sorted(distance_by_pair.values())
        if any(b - a < ROUNDING_TOLERANCE * b for a, b in zip(sums, sums[1:], strict=False)):
            # Danger: equal ones told apart by rounding. Added up in the order of lines, they are
            # alike as tables are.
            self.ordered_weights()
            distance_by_pair = {
                pair: self._distance(
                    *differing[pair][:2], [*{**pair[0].weights, **differing[pair][1]}]
                )
                for pair in distance_by_pair
            }
        return (
            [distance_by_pair.get(pair, 0.0) for pair in pairs]
            if distance_by_pair
            else [0.0] * len(pairs)
        )

    @staticmethod
    def _distance(table: Table, desired: Weights, rows: list[int]) -> float:
        return sum(abs(desired.get(i, 0.0) - table.weights.get(i, 0.0)) for i in rows)
