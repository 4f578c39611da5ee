"""The desired weights, and where tables differ from them.

Bookkeeping only: no decisions are made here. Changes are appended to a log, which is read when a
table is compared. A comparison therefore costs time proportional to the changes since the table's
last one, and a table that is never compared costs nothing.
`tests/decision/state/test_incremental_state.py` compares it with a slow, plain model.
"""

from collections.abc import Iterable
from itertools import pairwise

from dunlinlug.decision.state.coverage import Coverage
from dunlinlug.decision.state.outlier_statistics import ROUNDING_TOLERANCE
from dunlinlug.decision.state.tables import Table

Weights = dict[int, float]


class DesiredWeights:
    """Holds, by ready row, the weight fraction and, if there is one, the default weight.

    Default weights are those without an operator override. The methods also accept other weights;
    for these nothing is cached, and each call iterates over them.
    """

    MIN_CAPACITY = 1e-6  # of a table without an available endpoint; positive, as it is a divisor
    MIN_LOG_LENGTH = 1000  # entries up to which the log is never truncated

    def __init__(self) -> None:
        self.weight_fractions = Weights()
        self.default_weights = Weights()
        # Rows whose weight changed or that were ejected or readmitted, oldest first, and the
        # number of older entries that were removed.
        self.change_log = list[int]()
        self.truncated = 0
        self.ejected = set[int]()
        # Sum of the weights that are not ejected, and the end of the log when it was computed.
        self.available_sum = 0.0
        self.summed_position = -1
        # The highest row that ever had a weight, and whether the weights are out of row order.
        self.highest_row = -1
        self.unordered = False

    @property
    def log_end(self) -> int:
        """The number of entries logged so far, including removed ones."""
        return self.truncated + len(self.change_log)

    def remove(self, rows: Iterable[int]) -> None:
        """Remove rows that are not ready."""
        for row in rows:
            self.set_weight(row, 0.0, None)
            del self.weight_fractions[row]

    def set_weight(self, row: int, weight_fraction: float, weight: float | None) -> None:
        """Set a row's weight fraction and its default weight; None if it has none."""
        self.weight_fractions[row] = weight_fraction
        if self.default_weights.get(row) == weight:
            return
        self.change_log.append(row)
        if weight is None:
            del self.default_weights[row]
        else:
            if row not in self.default_weights and row < self.highest_row:
                self.unordered = True
            self.highest_row = max(self.highest_row, row)
            self.default_weights[row] = weight
        self._truncate_log()

    def set_ejected(self, ejected: set[int]) -> None:
        """Replace the set of ejected rows."""
        self.change_log.extend(ejected ^ self.ejected)
        self.ejected = set(ejected)
        self._truncate_log()

    def _truncate_log(self) -> None:
        """Remove the older half of the log if it is long compared with the number of rows."""
        if len(self.change_log) > self.MIN_LOG_LENGTH + 2 * len(self.default_weights):
            removed = len(self.change_log) // 2
            del self.change_log[:removed]
            self.truncated += removed

    def ordered_weights(self) -> Weights:
        """Return the default weights, in row order."""
        if self.unordered:
            entries = sorted(self.default_weights.items())
            self.default_weights.clear()
            self.default_weights.update(entries)
            self.unordered = False
        return self.default_weights

    def differing_rows(
        self, table: Table, desired: Weights, include_missing: bool = True
    ) -> set[int]:
        """Return the rows whose entry in the table differs from the desired one.

        Rows without an entry in the table are included only if `include_missing`. The result must
        not be modified.
        """
        installed = table.weights
        if desired is not self.default_weights:
            rows: Iterable[int] = {**installed, **desired} if include_missing else installed
            return {row for row in rows if installed.get(row) != desired.get(row)}
        for row in self._rows_to_compare(table, include_missing):
            installed_weight = installed.get(row)
            is_counted = include_missing or installed_weight is not None
            if is_counted and installed_weight != desired.get(row):
                table.differing_rows.add(row)
            else:
                table.differing_rows.discard(row)
        table.changed_rows.clear()
        table.log_position = self.log_end
        return table.differing_rows

    def _rows_to_compare(self, table: Table, include_missing: bool) -> Iterable[int]:
        """Return the rows changed since the table was last compared, or all if that is unknown."""
        if table.log_position >= self.truncated and table.missing_included == include_missing:
            new_entries = self.change_log[table.log_position - self.truncated :]
            return {*new_entries, *table.changed_rows}
        table.missing_included = include_missing
        table.differing_rows = set()
        return {**table.weights, **self.default_weights} if include_missing else table.weights

    def capacity(self, table: Table, desired: Weights) -> float:
        """Return the weight of a table's available endpoints, `MIN_CAPACITY` if there is none."""
        is_default = desired is self.default_weights
        if (
            is_default
            and table.cached_capacity is not None
            and table.capacity_position >= self.truncated
            and table.weights.keys().isdisjoint(
                self.change_log[table.capacity_position - self.truncated :]
            )
        ):
            # No row of the table changed since its capacity was computed.
            table.capacity_position = self.truncated + len(self.change_log)
            return table.cached_capacity
        available = (
            sum(desired.get(row, 0.0) for row in table.weights if row not in self.ejected)
            or self.MIN_CAPACITY
        )
        if is_default:
            table.cached_capacity = available
            table.capacity_position = self.truncated + len(self.change_log)
        return available

    def capacities(self, tables: Iterable[Table], desired: Weights) -> dict[Table, float]:
        """Return the capacity of each of these tables."""
        return {table: self.capacity(table, desired) for table in tables}

    def available_uncovered_rows(self, coverage: Coverage, desired: Weights) -> Iterable[int]:
        """Return the rows that have a weight and are neither ejected nor covered, ascending."""
        if desired is self.default_weights:
            rows = coverage.find_uncovered(self.default_weights, self.change_log, self.truncated)
        else:
            rows = sorted(desired.keys() - coverage.table_counts.keys())
        return (row for row in rows if row not in self.ejected)

    def available_weight(self, desired: Weights) -> float:
        """Return the sum of the weights that are not ejected, added in order.

        For the default weights it is recomputed only after a change.
        """
        if desired is not self.default_weights:
            return sum(weight for row, weight in desired.items() if row not in self.ejected)
        if self.summed_position != self.log_end:
            self.available_sum = sum(
                weight for row, weight in self.ordered_weights().items() if row not in self.ejected
            )
            self.summed_position = self.log_end
        return self.available_sum

    def rows_by_demand(self, desired: Weights, demand_ratios: dict[Table, float]) -> list[int]:
        """Return the rows that are not ejected, by ascending demand of these tables on them."""
        demands = dict.fromkeys((row for row in sorted(desired) if row not in self.ejected), 0.0)
        for table, demand_ratio in demand_ratios.items():
            for row in table.weights:
                if row in demands:
                    demands[row] += demand_ratio
        return sorted(demands, key=demands.__getitem__)

    def distances(self, tables: Iterable[Table], desired_weights: list[Weights]) -> list[float]:
        """Return, for each table, the sum of the differences from its desired weights."""
        pairs = [*zip(tables, map(id, desired_weights), strict=True)]
        differing = {
            pair: (pair[0], desired, self.differing_rows(pair[0], desired))
            for pair, desired in dict(zip(pairs, desired_weights, strict=True)).items()
        }
        distance_by_pair = {
            pair: self._distance(table, desired, sorted(rows))
            for pair, (table, desired, rows) in differing.items()
            if rows
        }
        if not distance_by_pair:
            return [0.0] * len(pairs)
        sums = sorted(distance_by_pair.values())
        if any(after - before < ROUNDING_TOLERANCE * after for before, after in pairwise(sums)):
            # Rounding can make equal distances differ. If the differences are added in the order
            # of entries, tables with equal entries have equal distances.
            self.ordered_weights()
            for pair in distance_by_pair:
                table, desired, _ = differing[pair]
                distance_by_pair[pair] = self._distance(
                    table, desired, [*{**table.weights, **desired}]
                )
        return [distance_by_pair.get(pair, 0.0) for pair in pairs]

    @staticmethod
    def _distance(table: Table, desired: Weights, rows: list[int]) -> float:
        """Return the sum of the absolute differences in these rows, added in the given order."""
        return sum(abs(desired.get(row, 0.0) - table.weights.get(row, 0.0)) for row in rows)
