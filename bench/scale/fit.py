"""Least squares on measured sizes: a cost as a sum of terms, each with its error, and how far off a
held-out size was.

A term is 1, or a product of sizes such as `workers*products` or `members^2`, or `log2(members)`.
Residuals are taken as parts of what was measured, as costs range over three decades and a second's
error is a part of the second. A term whose coefficient comes out below nothing is left out and the
rest is fitted anew: no size makes a cost less.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import log2

import numpy as np

Point = Mapping[str, float]  # the sizes of one run, and what it cost under `y`


class FitError(ValueError):
    """Points and terms that no fit can be made of; the text says why."""


@dataclass(frozen=True)
class Fit:
    """`errors` are standard errors of the coefficients, `spread` the typical residual as a part of
    what was measured; both 0 where there are as many terms as points.
    """

    terms: tuple[str, ...]
    coefficients: tuple[float, ...]
    errors: tuple[float, ...]
    spread: float
    largest: Mapping[str, float]

    def at(self, sizes: Point) -> float:
        """What it says of these sizes. Raises FitFault if a size that it needs is missing."""
        return sum(
            c * value(term, sizes) for term, c in zip(self.terms, self.coefficients, strict=True)
        )

    def error_at(self, sizes: Point) -> float:
        """Part of `at` by which it may be off, from the coefficients' errors alone; an upper bound,
        as these hang together.
        """
        said = self.at(sizes)
        return (
            sum(e * value(term, sizes) for term, e in zip(self.terms, self.errors, strict=True))
            / said
        )


def value(term: str, sizes: Point) -> float:
    """Raises FitFault for a size that is not given."""
    found = 1.0
    for factor in term.split("*"):
        name, _, power = factor.partition("^")
        inner = name.removeprefix("log2(").removesuffix(")")
        if name == "1":
            continue
        if inner not in sizes:
            raise FitError(f"{inner} is not among the sizes {', '.join(sorted(sizes))}")
        size = float(sizes[inner])
        found *= (log2(size) if inner != name else size) ** float(power or 1)
    return found


def is_quadratic(term: str) -> bool:
    """Whether it holds a product of two sizes, or one size twice."""
    powers = [
        float(factor.partition("^")[2] or 1)
        for factor in term.split("*")
        if factor != "1" and not factor.startswith("log2(")
    ]
    return sum(powers) >= 2


def fit(points: Iterable[Point], terms: Sequence[str]) -> Fit:
    """Raises FitFault where there are fewer points than terms, a cost that is not above 0, or sizes
    that don't vary.
    """
    rows = list(points)
    if len(rows) < len(terms):
        raise FitError(f"{len(rows)} points do not fit {len(terms)} terms")
    if any(row["y"] <= 0 for row in rows):
        raise FitError("a cost that is not above 0")
    kept = list(terms)
    while True:
        costs = np.array([row["y"] for row in rows])
        table = np.array([[value(term, row) for term in kept] for row in rows]) / costs[:, None]
        scale = np.abs(table).max(axis=0)
        if not scale.all() or np.linalg.matrix_rank(table / scale) < len(kept):
            raise FitError(f"the sizes do not vary enough to tell {', '.join(kept)} apart")
        found = np.linalg.lstsq(table / scale, np.ones(len(rows)), rcond=None)[0] / scale
        below = [n for n, (term, c) in enumerate(zip(kept, found, strict=True)) if c < 0]
        if not below:
            break
        # The one that matters most goes first: the others may come out above nothing without it.
        worst = min(below, key=lambda n: float((table[:, n] * found[n]).mean()))
        del kept[worst]
        if not kept:
            raise FitError("no term is left that makes a cost")
    rest = 1.0 - table @ found
    free = len(rows) - len(kept)
    spread = float(np.sqrt((rest**2).sum() / free)) if free else 0.0
    inverse = np.linalg.inv((table / scale).T @ (table / scale))
    errors = spread * np.sqrt(np.diag(inverse)) / scale
    names = {name for row in rows for name in row if name != "y"}
    return Fit(
        tuple(kept),
        tuple(map(float, found)),
        tuple(map(float, errors)),
        spread,
        {name: max(float(row.get(name, 0.0)) for row in rows) for name in sorted(names)},
    )


def off(model: Fit, held: Point) -> float:
    """How far the prediction is from what was then measured, as a part of it; above 0: predicted
    too much.
    """
    return model.at(held) / held["y"] - 1.0
