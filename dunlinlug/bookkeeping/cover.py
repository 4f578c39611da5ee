"""Which workers have a line in any of some tables, and which have none. Bookkeeping alone: nothing here is decided."""

from bisect import bisect_left, insort


class Cover:
    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # by row, in how many tables it is
        self.turned = set[
            int
        ]()  # rows that came into the first or went out of the last since `free` was asked
        self.bare, self.seen = (
            list[int](),
            0,
        )  # rows wanted and in no table, in order; how far the log was read

    def count(self, i: int, more: int) -> None:
        self.counts[i] = self.counts.get(i, 0) + more
        if not self.counts[i]:
            del self.counts[i]
        self.turned.add(i)

    def free(self, wanted: dict[int, float], log: list[int], cut: int) -> list[int]:
        """Rows that are wanted and in no table, in order; `log` tells which were wanted anew or are so no more, but for
        its first `cut` entries. Not to be changed."""
        if self.seen < cut:
            self.bare = sorted(wanted.keys() - self.counts.keys())
        for i in {*log[max(self.seen - cut, 0) :], *self.turned} if self.seen >= cut else ():
            place = bisect_left(self.bare, i)
            there = place < len(self.bare) and self.bare[place] == i
            if there != (i in wanted and i not in self.counts):
                if there:
                    del self.bare[place]
                else:
                    insort(self.bare, i)
        self.turned.clear()
        self.seen = cut + len(log)
        return self.bare
