"""The lines wanted, and where tables differ from them. Bookkeeping alone: nothing here is decided.

What changed is logged; a table catches up on the log when it is asked about, so that it costs what changed since it was
asked last, and a table that nobody asks about costs nothing. A slow plain model stands in `tests/test_books.py`.
"""

from collections.abc import Iterable

from dunlinlug.bookkeeping.cover import Cover
from dunlinlug.bookkeeping.evidence import TIE
from dunlinlug.bookkeeping.seating import Table

Shares = dict[int, float]


class Lines:
    """By row of each ready worker `parts`, its part of its weight, and `plain`, its share, where it has one."""

    LITTLE = 1e-6  # divides
    SHORT = 1000  # entries of the log that are kept in any case

    def __init__(self) -> None:
        self.parts, self.plain = Shares(), Shares()
        self.log, self.cut = (
            list[int](),
            0,
        )  # rows whose share changed, and how many were cut off before them
        self.out = set[int]()
        self.sum, self.summed = 0.0, -1  # of the shares of who is in, and how long the log was then
        self.last, self.loose = (
            -1,
            False,
        )  # the greatest row of `plain` so far, and whether its order is another

    def drop(self, rows: Iterable[int]) -> None:
        """They are not ready."""
        for i in rows:
            self.put(i, 0.0, None)
            del self.parts[i]

    def put(self, i: int, part: float, share: float | None) -> None:
        """A worker's part of its weight and its share; None where it has none."""
        self.parts[i] = part
        if self.plain.get(i) == share:
            return
        self.log.append(i)
        if share is None:
            del self.plain[i]
        else:
            self.loose = self.loose or i not in self.plain and i < self.last
            self.last = max(self.last, i)
            self.plain[i] = share
        self._shorten()

    def shut(self, out: set[int]) -> None:
        """Who is out now."""
        self.log.extend(out ^ self.out)
        self.out = set(out)
        self._shorten()

    def _shorten(self) -> None:
        if len(self.log) > self.SHORT + 2 * len(self.plain):
            half = len(self.log) // 2
            del self.log[:half]
            self.cut += half

    def in_order(self) -> Shares:
        """The shares in the order of rows."""
        if self.loose:
            rows = sorted(self.plain.items())
            self.plain.clear()
            self.plain.update(rows)
            self.loose = False
        return self.plain

    def differing(self, table: Table, want: Shares, lacking: bool = True) -> set[int]:
        """Rows whose line in the table is not the one wanted; those that it lacks count if `lacking`."""
        have = table.shares
        if want is not self.plain:
            rows: Iterable[int] = {**have, **want} if lacking else have
            return {i for i in rows if have.get(i) != want.get(i)}
        if table.seen < self.cut or table.lacking != lacking:
            rows, table.lacking, table.differs = (
                {**have, **want} if lacking else have,
                lacking,
                set(),
            )
        else:
            rows = {*self.log[table.seen - self.cut :], *table.changed}
        for i in rows:
            mine, wanted = have.get(i), want.get(i)
            (
                table.differs.add
                if mine != wanted and (lacking or mine is not None)
                else table.differs.discard
            )(i)
        table.changed.clear()
        table.seen = self.cut + len(self.log)
        return table.differs

    def bears(self, table: Table, want: Shares) -> float:
        """What a table's workers that are not out take, in weight; a little where there is nobody."""
        if (
            want is self.plain
            and table.borne is not None
            and table.borne_at >= self.cut
            and table.shares.keys().isdisjoint(self.log[table.borne_at - self.cut :])
        ):
            table.borne_at = self.cut + len(self.log)
            return table.borne
        borne = sum(want.get(i, 0.0) for i in table.shares if i not in self.out) or self.LITTLE
        if want is self.plain:
            table.borne, table.borne_at = borne, self.cut + len(self.log)
        return borne

    def bearing(self, tables: Iterable[Table], want: Shares) -> dict[Table, float]:
        return {table: self.bears(table, want) for table in tables}

    def free(self, cover: Cover, want: Shares) -> Iterable[int]:
        """Rows that are in, that have a share and no line in the tables covered, in order."""
        rows = (
            cover.free(self.plain, self.log, self.cut)
            if want is self.plain
            else sorted(want.keys() - cover.counts.keys())
        )
        return (i for i in rows if i not in self.out)

    def live(self, want: Shares) -> float:
        """The shares of all that are in, added up in order; a walk where something changed since."""
        if want is not self.plain:
            return sum(share for i, share in want.items() if i not in self.out)
        if self.summed != self.cut + len(self.log):
            self.sum = sum(share for i, share in self.in_order().items() if i not in self.out)
            self.summed = self.cut + len(self.log)
        return self.sum

    def by_asked(self, want: Shares, asks: dict[Table, float]) -> list[int]:
        """Rows that are in, by what these tables together ask of each, the least first."""
        asked = dict.fromkeys((i for i in sorted(want) if i not in self.out), 0.0)
        for table, more in asks.items():
            for i in table.shares:
                if i in asked:
                    asked[i] += more
        return sorted(asked, key=asked.__getitem__)

    def apart(self, tables: Iterable[Table], wants: list[Shares]) -> list[float]:
        """How far each of these tables is from what is wanted of it: the sum over its lines."""
        pairs = [*zip(tables, map(id, wants), strict=True)]
        unlike = {
            pair: (pair[0], want, self.differing(pair[0], want))
            for pair, want in dict(zip(pairs, wants, strict=True)).items()
        }
        far = {
            pair: self._sum(table, want, sorted(rows))
            for pair, (table, want, rows) in unlike.items()
            if rows
        }
        sums = sorted(far.values())
        if any(b - a < TIE * b for a, b in zip(sums, sums[1:], strict=False)):
            # Danger: equal ones told apart by rounding. Added up in the order of lines, they are alike as tables are.
            self.in_order()
            far = {
                pair: self._sum(*unlike[pair][:2], [*{**pair[0].shares, **unlike[pair][1]}])
                for pair in far
            }
        return [far.get(pair, 0.0) for pair in pairs] if far else [0.0] * len(pairs)

    @staticmethod
    def _sum(table: Table, want: Shares, rows: list[int]) -> float:
        return sum(abs(want.get(i, 0.0) - table.shares.get(i, 0.0)) for i in rows)
