"""Least-squares models of a measured cost as a sum of terms in the sizes of a run.

Each coefficient comes with its standard error, and a model can be checked on a held-out size.

A term is 1, or a product of sizes such as `workers*products` or `members^2`, or `log2(members)`.
Residuals are relative to the measured cost, as costs range over three decades and the measurement
error grows with the cost. A term whose coefficient comes out negative is left out and the rest is
fitted again: no size makes a cost smaller.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import log2

import numpy as np

Point = Mapping[str, float]  # the sizes of one run, and its cost as `y`


class FitError(ValueError):
    """No model can be fitted to these points and terms; the message gives the reason."""


@dataclass(frozen=True)
class Fit:
    """A fitted model: terms, their coefficients and standard errors.

    `errors` are standard errors of the coefficients, `spread` the typical residual as a fraction of
    the measured cost; both are 0 where there are as many terms as points. `largest` is the largest
    value of each size among the points.
    """

    terms: tuple[str, ...]
    coefficients: tuple[float, ...]
    errors: tuple[float, ...]
    spread: float
    largest: Mapping[str, float]

    def at(self, sizes: Point) -> float:
        """Return the predicted cost at these sizes. Raises FitError if a needed size is missing."""
        return sum(
            coefficient * term_value(term, sizes)
            for term, coefficient in zip(self.terms, self.coefficients, strict=True)
        )

    def error_at(self, sizes: Point) -> float:
        """Return the relative error of `at` that follows from the coefficients' errors alone.

        It is an upper bound, as the coefficients are correlated.
        """
        total_error = sum(
            error * term_value(term, sizes)
            for term, error in zip(self.terms, self.errors, strict=True)
        )
        return total_error / self.at(sizes)


def term_value(term: str, sizes: Point) -> float:
    """Return the value of a term at these sizes. Raises FitError for a size that is missing."""
    found = 1.0
    for factor in term.split("*"):
        name, _, power = factor.partition("^")
        inner = name.removeprefix("log2(").removesuffix(")")
        if name == "1":
            continue
        if inner not in sizes:
            raise FitError(
                f"term uses the size {inner}, which is not among {', '.join(sorted(sizes))}"
            )
        size = float(sizes[inner])
        found *= (log2(size) if inner != name else size) ** float(power or 1)
    return found


def is_quadratic(term: str) -> bool:
    """Return whether the term holds a product of two sizes, or one size squared."""
    powers = [
        float(factor.partition("^")[2] or 1)
        for factor in term.split("*")
        if factor != "1" and not factor.startswith("log2(")
    ]
    return sum(powers) >= 2


def fit(points: Iterable[Point], terms: Sequence[str]) -> Fit:
    """Fit the cost `y` of the points as a sum of terms with coefficients of 0 or more.

    Raises FitError where there are fewer points than terms, a cost that is not above 0, or sizes
    that do not vary.
    """
    rows = list(points)
    if len(rows) < len(terms):
        raise FitError(f"{len(rows)} points are too few for {len(terms)} terms")
    if any(row["y"] <= 0 for row in rows):
        raise FitError("all costs must be above 0")
    remaining = list(terms)
    while True:
        costs = np.array([row["y"] for row in rows])
        table = (
            np.array([[term_value(term, row) for term in remaining] for row in rows])
            / costs[:, None]
        )
        scale = np.abs(table).max(axis=0)
        if not scale.all() or np.linalg.matrix_rank(table / scale) < len(remaining):
            raise FitError(f"the sizes do not vary enough to separate {', '.join(remaining)}")
        coefficients = np.linalg.lstsq(table / scale, np.ones(len(rows)), rcond=None)[0] / scale
        negative = [index for index, coefficient in enumerate(coefficients) if coefficient < 0]
        if not negative:
            break
        # The largest contribution is removed first: the others may become positive without it.
        worst = min(
            negative, key=lambda index: float((table[:, index] * coefficients[index]).mean())
        )
        del remaining[worst]
        if not remaining:
            raise FitError("no term has a positive coefficient")
    residuals = 1.0 - table @ coefficients
    degrees_of_freedom = len(rows) - len(remaining)
    spread = 0.0
    if degrees_of_freedom:
        spread = float(np.sqrt((residuals**2).sum() / degrees_of_freedom))
    inverse = np.linalg.inv((table / scale).T @ (table / scale))
    errors = spread * np.sqrt(np.diag(inverse)) / scale
    names = {name for row in rows for name in row if name != "y"}
    return Fit(
        tuple(remaining),
        tuple(map(float, coefficients)),
        tuple(map(float, errors)),
        spread,
        {name: max(float(row.get(name, 0.0)) for row in rows) for name in sorted(names)},
    )


def relative_error(model: Fit, held_out: Point) -> float:
    """Return the relative error of the prediction at a held-out point; positive if too high."""
    return model.at(held_out) / held_out["y"] - 1.0
