"""Generates the tables of docs/CAPACITY.md from `results/*.json` alone.

python -m bench.scale.page [--check]

Writes each table between its markers; `--check` writes nothing and exits with status 1 if the page
differs from the data. A figure is a sum of slopes at the planned size. A slope is a cost model that
is fitted to the points of its series and checked against held-out points; a figure without a slope
reads "not known".
"""

import argparse
import json
import re
import sys
from collections.abc import Iterable, Mapping
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from bench.decision_cost import CHANNEL_LINES_PER_S
from bench.decision_loop_cost import TRANSIT_SECONDS
from bench.scale.fit import Fit, FitError, fit, is_quadratic, relative_error, term_value
from dunlinlug.platform.discovery_state import MIN_QUERY_INTERVAL_S

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
TABLE_PATTERN = re.compile(r"(<!-- table ([a-z0-9-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
# Relative error at a held-out size above which the page marks the slope: as much as a change of the
# machine's load makes.
MAX_HELD_OUT_ERROR = 0.25

# The planned size, and the budget of a manager for control per second.
MANAGERS, WORKERS, SERVICES, CHANGES_PER_DAY = 940, 5000, 270, 810
FAILURES_PER_DAY, RESTARTS_PER_DAY, DAY_SECONDS = 27, 690, 86400.0
CHANGE_IN_FORCE_SECONDS = 6.0  # until a change must be in force everywhere
BUDGET = {"CPU": 0.017, "bytes": 3000.0, "memory": 128e6}
PROXIES_PER_MANAGER = 20  # an assumption: the number in production is not known
REPORT_LINES_PER_S = 80  # as the channels of the shipped days are configured
CONTROL_MACHINES = 4  # reserved for control of the fleet
# Lines that each message counts for besides its own, as in bench/decision_cost.py.
MESSAGE_OVERHEAD_LINES = 4.0
SIZES = {
    "workers": WORKERS,
    "products": 2,
    "proxies": PROXIES_PER_MANAGER,
    "reports": REPORT_LINES_PER_S,
    "members": MANAGERS,
    "entries": WORKERS,
}


class Slope(NamedTuple):
    """A cost that is fitted to one field of a series as a sum of terms.

    `where` selects points of a series that holds several kinds; `min_sizes` the smallest sizes
    of the points that are used.
    """

    series: str
    field: str
    unit: str
    terms: tuple[str, ...]
    where: Mapping[str, float] = {}
    min_sizes: Mapping[str, float] = {}


class Fitted(NamedTuple):
    """A slope with its fitted model, the points of the fit and the held-out points."""

    slope: Slope
    model: Fit
    points: list[dict[str, float]]
    held_out: list[dict[str, float]]

    def worst(self) -> float | None:
        """Return the largest relative error at a held-out point; None without such points."""
        return max(
            (relative_error(self.model, point) for point in self.held_out), key=abs, default=None
        )


TURN_TERMS = ("1", "workers", "workers*products")
PROXY_TERMS = ("1", "workers", "proxies", "workers*proxies")
ORDINARY_LOAD, TWO_PRODUCTS = {"proxies": 20, "reports": 80}, {"products": 2, "reports": 80}


def module_slopes(version: str) -> dict[str, Slope]:
    """Return the slopes of one version of the decision module; their names end with it."""
    series, suffix = f"module-{version}", f" ({version})"
    fields = {
        "second": "second",
        "turn": "turn",
        "longest turn": "longest",
        "dearest": "dearest",
        "change": "change",
        "rendered": "render",
        "rendered dearest": "render_dearest",
    }
    return {
        **{
            f"module {name}{suffix}": Slope(series, field, "s", TURN_TERMS, ORDINARY_LOAD)
            for name, field in fields.items()
        },
        f"module second by proxies{suffix}": Slope(
            series, "second", "s", PROXY_TERMS, TWO_PRODUCTS
        ),
        f"module dearest by proxies{suffix}": Slope(
            series, "dearest", "s", PROXY_TERMS, TWO_PRODUCTS
        ),
        f"module second by reports{suffix}": Slope(
            series, "second", "s", ("1", "reports"), {"workers": 200, "products": 2, "proxies": 20}
        ),
        f"module memory{suffix}": Slope(series, "memory", "bytes", TURN_TERMS, ORDINARY_LOAD),
        f"module memory by proxies{suffix}": Slope(
            series, "memory", "bytes", ("1", "workers", "proxies"), TWO_PRODUCTS
        ),
        f"drain in force{suffix}": Slope(series, "in_force", "s", ("1", "workers"), ORDINARY_LOAD),
    }


# Versions of the decision module: the original one, and the one with cheaper turns.
MODULE_VERSIONS = (
    "before",
    "after",
)
SLOPES = {
    **module_slopes("before"),
    **module_slopes("after"),
    "desk second": Slope("desk", "second", "s", ("1", "workers", "workers*products", "proxies")),
    "desk dearest": Slope("desk", "dearest", "s", ("1", "workers", "workers*products", "proxies")),
    "members CPU": Slope("members", "cpu", "s", ("1", "members")),
    "members probes bytes": Slope(
        "members", "probes_bytes", "bytes", ("1", "members", "members*log2(members)")
    ),
    "members facts bytes": Slope("members", "facts_bytes", "bytes", ("1",), {}, {"members": 32}),
    "members exchange bytes": Slope("members", "exchange_bytes", "bytes", ("1", "members")),
    "members messages": Slope("members", "messages", "messages", ("1",), {}, {"members": 32}),
    "restart a second, bytes": Slope("churn", "bytes", "bytes", ("1", "members"), {"failures": 0}),
    "restart a second, CPU": Slope("churn", "cpu", "s", ("1", "members"), {"failures": 0}),
    "restart known": Slope("churn", "last", "s", ("1", "log2(members)"), {"failures": 0}),
    "failure a second, bytes": Slope("churn", "bytes", "bytes", ("1", "members"), {"failures": 1}),
    "failure a second, CPU": Slope("churn", "cpu", "s", ("1", "members"), {"failures": 1}),
    "failure known": Slope("churn", "last", "s", ("1", "log2(members)"), {"failures": 1}),
    "lost, dearest bytes": Slope(
        "lost", "bytes", "bytes", ("1", "members", "log2(members)", "lost")
    ),
    "lost, CPU": Slope("lost", "cpu", "s", ("1", "members", "lost")),
    "lost, known": Slope("lost", "last", "s", ("1", "log2(members)")),
    "lost, back, dearest bytes": Slope("lost", "back_bytes", "bytes", ("1", "members", "lost")),
    "halves, dearest bytes": Slope("halves", "bytes", "bytes", ("1", "members")),
    "halves, CPU": Slope("halves", "cpu", "s", ("1", "members")),
    "healing, dearest bytes": Slope("halves", "heal_bytes", "bytes", ("1", "members")),
    "healing, CPU": Slope("halves", "heal_cpu", "s", ("1", "members")),
    "healing, until one view": Slope("halves", "heal", "s", ("1", "members")),
    "own looks CPU": Slope("host", "cpu", "s", ("1", "members", "workers")),
    "fleet show CPU": Slope("operators", "cpu", "s", ("1", "members", "members^2")),
    "fleet show bytes": Slope("operators", "bytes", "bytes", ("1", "members", "members^2")),
    "log leader messages": Slope("owner", "leader_messages", "messages", ("others",)),
    "log leader bytes": Slope("owner", "leader_bytes", "bytes", ("others", "others*members")),
    "log leader CPU": Slope("owner", "leader_cpu", "s", ("1", "others")),
    "log other bytes": Slope("owner", "other_bytes", "bytes", ("1",)),
    "log other messages": Slope("owner", "other_messages", "messages", ("1",)),
    "log other CPU": Slope("owner", "other_cpu", "s", ("1",)),
    "discovery whole CPU": Slope("discovery", "whole", "s", ("1", "entries")),
    "discovery whole bytes": Slope("discovery", "bytes", "bytes", ("1", "entries")),
    "discovery one CPU": Slope("discovery", "one", "s", ("1", "entries")),
    "discovery one bytes": Slope("discovery", "one_bytes", "bytes", ("1",)),
    "roster whole CPU": Slope("roster", "cpu", "s", ("1", "entries")),
    "roster whole bytes": Slope("roster", "bytes", "bytes", ("1", "entries")),
    **{
        f"{kind} CPU": Slope("messages", kind, "s", ("1",))
        for kind in ("report", "demand", "join", "answer")
    },
    **{
        f"{kind} bytes": Slope("messages", f"{kind}_bytes", "bytes", ("1",))
        for kind in ("report", "demand", "join", "answer")
    },
    "table CPU": Slope("table", "cpu", "s", ("1", "workers", "workers*products", "proxies")),
    "table bytes": Slope("table", "bytes", "bytes", ("1", "workers", "products")),
    "batches written CPU": Slope("succession", "write", "s", ("1", "workers", "proxies")),
    "standby CPU": Slope(
        "succession", "standby", "s", ("1", "workers", "workers*products", "proxies")
    ),
    "batches bytes": Slope("succession", "bytes", "bytes", ("1", "proxies")),
    "whole for a standby bytes": Slope(
        "succession", "whole", "bytes", ("1", "workers", "products", "proxies")
    ),
    "guard CPU": Slope("guard", "cpu", "s", ("1", "workers", "proxies")),
    "members memory": Slope("memory", "memory", "bytes", ("1", "members")),
    "empty memory": Slope("empty", "memory", "bytes", ("1",), {"front": 1}),
    "empty memory, platform": Slope("empty", "memory", "bytes", ("1",), {"front": 0}),
    "start CPU, platform": Slope("empty", "start", "s", ("1",), {"front": 0}),
    "start CPU": Slope("empty", "start", "s", ("1",), {"front": 1}),
}


# Fields in simulated seconds, which the load of the machine does not change.
SIMULATED_TIME_FIELDS = frozenset({"last", "heal", "in_force"})


class Data:
    """Results of the runs by series; each slope is fitted once."""

    def __init__(self, folder: Path = RESULTS) -> None:
        self.series: dict[str, dict[str, Any]] = {}
        for path in sorted(folder.glob("slope-*.json")):
            self.series[path.stem.removeprefix("slope-")] = json.loads(path.read_text())
        self.runs = {
            path.stem: json.loads(path.read_text())
            for path in sorted(folder.glob("*.json"))
            if not path.stem.startswith("slope-")
        }
        self.fitted = cache(self._fitted)
        paces = [
            row["pace"]
            for series in self.series.values()
            for row in (*series["points"], *series["held"])
            if "pace" in row
        ]
        # CPU times are converted to the best pace of the machine.
        self.best_pace = min(paces, default=1.0)

    def _rows(self, slope: Slope, kind: str) -> list[dict[str, float]]:
        rows = [
            row
            for row in self.series.get(slope.series, {}).get(kind, ())
            if slope.field in row
            and all(row[key] == value for key, value in slope.where.items())
            and all(row[key] >= value for key, value in slope.min_sizes.items())
        ]
        depends_on_pace = slope.unit == "s" and slope.field not in SIMULATED_TIME_FIELDS
        return [
            {
                **row,
                "y": row[slope.field]
                * (self.best_pace / row.get("pace", self.best_pace) if depends_on_pace else 1.0),
                **({"others": row["members"] - 1} if "members" in row else {}),
            }
            for row in rows
        ]

    def _fitted(self, key: str) -> Fitted | None:
        """Fit the slope; None if nothing was measured or the points cannot be fitted."""
        slope = SLOPES[key]
        points = self._rows(slope, "points")
        try:
            return Fitted(slope, fit(points, slope.terms), points, self._rows(slope, "held"))
        except FitError:
            return None


def format_number(value: float) -> str:
    """Format with three digits, and without an exponent from 0.0001 on."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 else f"{value:.1e}"


def format_amount(value: float, unit: str) -> str:
    """Format a value with a unit of suitable magnitude."""
    if unit == "s":
        for least, name, times in ((1.0, "s", 1.0), (1e-3, "ms", 1e3), (0.0, "µs", 1e6)):
            if value >= least:
                return f"{format_number(value * times)} {name}"
    if unit == "bytes":
        for least, name in ((1e6, "MB"), (1e3, "KB"), (0.0, "B")):
            if value >= least:
                return f"{format_number(value / max(least, 1.0))} {name}"
    return f"{format_number(value)} {unit}".strip()


def markdown_table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    names = list(head)
    lines = [names, ["---"] * len(names), *(list(cells) for cells in rows)]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


# Tables of slopes.


def format_term(term: str) -> str:
    """Format a term of a slope."""
    return term.replace("others", "(members - 1)").replace("*", " × ")


# Sizes, by their names in the tables.
SIZE_NAMES = (
    "workers",
    "products",
    "proxies",
    "reports",
    "members",
    "lost",
    "entries",
)


def format_sizes(sizes: Mapping[str, float], slope: Slope) -> str:
    """Format the sizes that the terms of the slope use; all sizes if it is constant."""
    terms = [term.replace("others", "members") for term in slope.terms]
    sized = [name for name in SIZE_NAMES if name in sizes]
    return ", ".join(
        f"{format_number(sizes[name])} {name}"
        for name in sized
        if any(name in term for term in terms) or terms == ["1"]
    )


def slope_cells(key: str, found: Fitted) -> list[str]:
    """Return the table cells of a fitted slope."""
    slope, model = found.slope, found.model
    coefficients = " + ".join(
        f"{format_number(c)} ± {format_number(e)}"
        + (f" × {format_term(term)}" if term != "1" else "")
        for term, c, e in zip(model.terms, model.coefficients, model.errors, strict=True)
    )
    held = "; ".join(
        f"{format_sizes(point, slope)}: {format_amount(model.at(point), slope.unit)} said, "
        f"{format_amount(point['y'], slope.unit)} measured, {relative_error(model, point):+.0%}"
        for point in found.held_out
    )
    return [
        key,
        f"{slope.unit}: {coefficients}",
        f"{len(found.points)}",
        f"{model.spread:.1%}",
        held or "none",
    ]


def slopes(data: Data) -> str:
    """Return the table of all fitted slopes."""
    rows = [slope_cells(key, found) for key in SLOPES if (found := data.fitted(key)) is not None]
    return markdown_table(("slope", "fit", "points", "spread", "held out"), rows)


def growth(data: Data) -> str:
    """Return which costs grow with which term; products of two sizes are called quadratic."""
    grows: dict[str, list[str]] = {}
    for key in SLOPES:
        found = data.fitted(key)
        for term, c in (
            zip(found.model.terms, found.model.coefficients, strict=True) if found else ()
        ):
            if term != "1" and c > 0:
                grows.setdefault(term, []).append(key)
    rows = [
        [
            format_term(term),
            "**quadratic**"
            if is_quadratic(term)
            else "linear"
            if "log2" not in term
            else "with its logarithm"
            if "*" not in term
            else "more than linear",
            "; ".join(keys),
        ]
        for term, keys in sorted(
            grows.items(), key=lambda pair: (not is_quadratic(pair[0]), pair[0])
        )
    ]
    return markdown_table(("term", "growth", "in"), rows)


# Figures at the planned size.


class Contribution(NamedTuple):
    """A multiple of one slope; `sizes` override the planned size."""

    times: float
    key: str
    sizes: Mapping[str, float] = {}


class Row(NamedTuple):
    """One figure of the page: a sum of multiples of slopes.

    `kind` names the budget, if there is one. A figure without contributions is not known, and
    `unknown_because` gives the reason. `on_every_manager` is false for a cost of one manager.
    """

    role: str
    when: str
    what: str
    kind: str
    unit: str
    contributions: tuple[Contribution, ...]
    mechanism: str
    unknown_because: str = ""
    on_every_manager: bool = True


def contribution(key: str, times: float = 1.0, **sizes: float) -> Contribution:
    """Return a multiple of a slope, with sizes that differ from the planned ones."""
    return Contribution(times, key, sizes)


def measured_at(found: Fitted, sizes: Mapping[str, float]) -> float | None:
    """Return the cost measured at exactly these sizes; None if there was no such run."""
    same = [
        point["y"]
        for point in (*found.points, *found.held_out)
        if all(point[name] == sizes[name] for name in SIZE_NAMES if name in point and name in sizes)
    ]
    return same[-1] if same else None


def figure_value(data: Data, row: Row) -> float | None:
    """Return the measured figure, or else the one predicted by the slopes.

    None if a slope is missing or not reliable at this size.
    """
    total = 0.0
    for times, key, sizes in row.contributions:
        found, at = data.fitted(key), {**SIZES, **sizes}
        if found is None:
            return None
        measured = measured_at(found, at)
        if measured is None and is_unreliable(found, at):
            return None
        total += times * (
            found.model.at({**at, "others": at["members"] - 1}) if measured is None else measured
        )
    return total if row.contributions else None


def extrapolation(found: Fitted, sizes: Mapping[str, float]) -> tuple[float, str]:
    """Return how far a term exceeds its largest measured value, and the term; 1 if none does."""
    at = {**sizes, "others": sizes["members"] - 1}
    format_longest = [
        (
            term_value(term, at)
            / max(term_value(term, point) for point in (*found.points, *found.held_out)),
            term,
        )
        for term in found.model.terms
    ]
    return max(
        ((times, format_term(term)) for times, term in format_longest if times > 1.001),
        default=(1.0, ""),
    )


def is_unreliable(found: Fitted, sizes: Mapping[str, float]) -> bool:
    """Return whether the slope must not be used at these sizes.

    A slope that missed a held-out size by more than the limit is a guess beyond the measured sizes;
    one that missed it by twice as much is not reliable at any other size.
    """
    worst = abs(found.worst() or 0.0)
    return (
        worst > 2 * MAX_HELD_OUT_ERROR
        or worst > MAX_HELD_OUT_ERROR
        and extrapolation(found, sizes)[0] > 1.0
    )


def describe_error(data: Data, row: Row) -> str:
    """Describe the largest error at a held-out size, and the extrapolation beyond the runs."""
    errors, farthest = list[float](), (1.0, "")
    for _, key, sizes in row.contributions:
        if (found := data.fitted(key)) is not None:
            errors += [error for error in (found.worst(),) if error is not None]
            farthest = max(farthest, extrapolation(found, {**SIZES, **sizes}))
    worst = max(errors, key=abs, default=None)
    fits = [
        (found, {**SIZES, **sizes})
        for _, key, sizes in row.contributions
        if (found := data.fitted(key)) is not None
    ]
    if fits and all(measured_at(found, at) is not None for found, at in fits):
        return f"played at this size; the slope {'had none' if worst is None else f'said {worst:+.0%}'}"
    version_note = (
        "none held out"
        if worst is None
        else f"{worst:+.0%}" + (" **far off**" if abs(worst) > MAX_HELD_OUT_ERROR else "")
    )
    return version_note + (
        f", {farthest[0]:.2g} times the {farthest[1]} played" if farthest[1] else ""
    )


def unknown_reason(data: Data, row: Row) -> str:
    """Return why a figure is not known."""
    for _, key, sizes in row.contributions:
        found = data.fitted(key)
        if found is None:
            return "nothing was measured"
        if measured_at(found, {**SIZES, **sizes}) is None and is_unreliable(
            found, {**SIZES, **sizes}
        ):
            times, term = extrapolation(found, {**SIZES, **sizes})
            point = max((*found.points, *found.held_out), key=lambda point: point["y"])
            farther = f", and this is {times:.2g} times the {term} played" if term else ""
            return (
                f"its slope missed a held-out size by {found.worst():+.0%}{farther}; at "
                f"{format_sizes(point, found.slope)} {format_amount(point['y'], row.unit)} were measured"
            )
    return row.unknown_because


# Every stop or start of a machine is a change of discovery as well.
CHANGES_PER_SECOND = (CHANGES_PER_DAY + FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_SECONDS
RACK_MANAGERS, ZONE_MANAGERS = 20, MANAGERS // 10
RELEASE_RESTARTS_PER_SECOND = 1.0  # in a release: all managers within a quarter of an hour
ALL_SERVICES = {"products": SERVICES}
CONTROL_GROUP = {"members": CONTROL_MACHINES}

BALANCE, MEMBERS, HOST = (
    "`balance.py`",
    "`fleet/membership/protocol.py`, `codec.py`",
    "`fleet/membership/service.py`",
)
ORDERS, PEERS, LOG = (
    "`platform/orders.py`",
    "`platform/connections.py`",
    "`fleet/election/protocol.py`",
)
DISCOVERY, ROSTER, OWNER = (
    "`platform/discovery_state.py`, `endpoints.py`",
    "`manager/endpoint_watcher.py`",
    "`fleet/ownership/protocol.py`",
)
SUCCESSION, GUARD, CODEC = (
    "`fleet/election/replicated_state.py`",
    "`guard/order_validator.py`",
    "`fleet/election/codec.py`",
)
ORDINARY_SECOND, ORDINARY_DAY, WORST_TEN_SECONDS, CONFIGURATION_CHANGE = (
    "ordinary second",
    "ordinary day's churn",
    "worst ten seconds",
    "change of configuration",
)
STATE = "state"
WHEN_ORDER = (STATE, ORDINARY_SECOND, ORDINARY_DAY, WORST_TEN_SECONDS, CONFIGURATION_CHANGE)
MEMBER_BYTES = (
    contribution("members probes bytes"),
    contribution("members facts bytes"),
    contribution("members exchange bytes"),
)
READ_CPU = (
    contribution("report CPU", REPORT_LINES_PER_S),
    contribution("demand CPU", PROXIES_PER_MANAGER / 2),
    contribution("answer CPU", PROXIES_PER_MANAGER / 2),
)


def figure(
    role: str,
    when: str,
    what: str,
    kind: str,
    parts: tuple[Contribution, ...],
    mechanism: str,
    everywhere: bool = True,
) -> Row:
    """Return a figure with the unit of its kind."""
    units = {
        "CPU": "s",
        "bytes": "bytes",
        "memory": "bytes",
        "messages": "messages",
        "time": "s",
        "bytes out": "bytes",
    }
    return Row(role, when, what, kind, units[kind], parts, mechanism, "", everywhere)


def unknown(role: str, when: str, what: str, why: str) -> Row:
    """Return a figure that is not known, with the reason."""
    return Row(role, when, what, "", "", (), "", why)


MANAGER = "manager"


def module_rows(version: str) -> tuple[Row, ...]:
    """Return the figures of one version of the decision module."""
    suffix, version_note = f" ({version})", f", text {version}"
    return (
        figure(
            MANAGER,
            STATE,
            f"5,000 workers, 2 products, 20 proxies{version_note}",
            "memory",
            (contribution(f"module memory{suffix}"),),
            BALANCE,
        ),
        figure(
            MANAGER,
            STATE,
            f"5,000 workers, 270 products, 20 proxies{version_note}",
            "memory",
            (contribution(f"module memory{suffix}", **ALL_SERVICES),),
            BALANCE,
        ),
        figure(
            MANAGER,
            ORDINARY_SECOND,
            f"the module's turns, 2 products{version_note}",
            "CPU",
            (contribution(f"module second{suffix}"),),
            BALANCE,
        ),
        figure(
            MANAGER,
            ORDINARY_SECOND,
            f"the module's turns, 270 products{version_note}",
            "CPU",
            (contribution(f"module second{suffix}", **ALL_SERVICES),),
            BALANCE,
        ),
        figure(
            MANAGER,
            WORST_TEN_SECONDS,
            f"dearest second of the module, 2 products{version_note}",
            "CPU",
            (contribution(f"module dearest{suffix}"),),
            BALANCE,
        ),
        figure(
            MANAGER,
            WORST_TEN_SECONDS,
            f"dearest second of the module, 270 products{version_note}",
            "CPU",
            (contribution(f"module dearest{suffix}", **ALL_SERVICES),),
            BALANCE,
        ),
        figure(
            MANAGER,
            CONFIGURATION_CHANGE,
            f"a second in which workers are replaced, 2 products{version_note}",
            "CPU",
            (contribution(f"module change{suffix}"),),
            BALANCE,
        ),
        figure(
            MANAGER,
            CONFIGURATION_CHANGE,
            f"a drain, from discovery's word to the last proxy's answer{version_note}",
            "time",
            (contribution(f"drain in force{suffix}"),),
            BALANCE,
        ),
    )


MANAGER_ROWS = (
    *module_rows("before"),
    *module_rows("after"),
    figure(
        MANAGER,
        STATE,
        "a process that does nothing, all features loaded",
        "memory",
        (contribution("empty memory"),),
        "`ads/main.py`",
    ),
    figure(
        MANAGER,
        STATE,
        "the same, as the platform runs it",
        "memory",
        (contribution("empty memory, platform"),),
        "`platform/main.py`",
    ),
    figure(
        MANAGER,
        STATE,
        "940 members' words, burdens, prints of lists",
        "memory",
        (contribution("members memory"),),
        "`fleet/membership/member_table.py`",
    ),
    figure(
        MANAGER,
        STATE,
        "all of it, 2 products",
        "memory",
        (
            contribution("empty memory"),
            contribution("module memory (before)"),
            contribution("members memory"),
        ),
        "the process",
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "orders rendered",
        "CPU",
        (contribution("module rendered (before)"),),
        ORDERS,
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "the xDS desk instead of it",
        "CPU",
        (contribution("desk second"),),
        "`ads/proxy_state.py`, `xds/encoding.py`",
    ),
    figure(
        MANAGER, ORDINARY_SECOND, "the guard's judging", "CPU", (contribution("guard CPU"),), GUARD
    ),
    figure(
        MANAGER, ORDINARY_SECOND, "80 reports, 10 usages, 10 answers read", "CPU", READ_CPU, PEERS
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "members' words sent, sealed, opened, weighed",
        "CPU",
        (contribution("members CPU"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "looks at standing, burdens, lists",
        "CPU",
        (contribution("own looks CPU"),),
        HOST,
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "members' words out, and as many in",
        "messages",
        (contribution("members messages"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "members' bytes out, and as many in",
        "bytes",
        MEMBER_BYTES,
        MEMBERS,
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "of them probes and what rides on them",
        "bytes",
        MEMBER_BYTES[:1],
        MEMBERS,
    ),
    figure(
        MANAGER, ORDINARY_SECOND, "of them facts: burden and list", "bytes", MEMBER_BYTES[1:2], HOST
    ),
    figure(
        MANAGER,
        ORDINARY_SECOND,
        "of them exchanges of all that is known",
        "bytes",
        MEMBER_BYTES[2:],
        MEMBERS,
    ),
    figure(
        MANAGER,
        ORDINARY_DAY,
        "discovery's news in, 1,527 a day",
        "bytes",
        (contribution("discovery one bytes", CHANGES_PER_SECOND),),
        DISCOVERY,
    ),
    figure(
        MANAGER,
        ORDINARY_DAY,
        "a roster that tells it whole, in",
        "bytes",
        (contribution("roster whole bytes", CHANGES_PER_SECOND),),
        ROSTER,
    ),
    figure(
        MANAGER,
        ORDINARY_DAY,
        "the same, read and compared",
        "CPU",
        (contribution("roster whole CPU", CHANGES_PER_SECOND),),
        ROSTER,
    ),
    unknown(
        MANAGER,
        ORDINARY_DAY,
        "members' bytes at 717 restarts and failures a day",
        "one a second was played, 120 times the day's: the rows for a release are an upper bound",
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a machine lost: members' bytes in the dearest second",
        "bytes",
        (contribution("lost, dearest bytes", lost=1),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a rack (20 managers) lost: the same",
        "bytes",
        (contribution("lost, dearest bytes", lost=RACK_MANAGERS),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a zone (94 managers) lost: the same",
        "bytes",
        (contribution("lost, dearest bytes", lost=ZONE_MANAGERS),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a zone lost: members' CPU, mean of ten seconds",
        "CPU",
        (contribution("lost, CPU", lost=ZONE_MANAGERS),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a loss: until the last member says so",
        "time",
        (contribution("lost, known"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a zone back: bytes in the dearest second",
        "bytes",
        (contribution("lost, back, dearest bytes", lost=ZONE_MANAGERS),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "two halves apart: bytes in the dearest second",
        "bytes",
        (contribution("halves, dearest bytes"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "two halves apart: CPU",
        "CPU",
        (contribution("halves, CPU"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "together again: bytes in the dearest second",
        "bytes",
        (contribution("healing, dearest bytes"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "together again: CPU",
        "CPU",
        (contribution("healing, CPU"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "together again: until all have one view",
        "time",
        (contribution("healing, until one view"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a release, one restart a second: bytes",
        "bytes",
        (contribution("restart a second, bytes"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a release: CPU of members' words",
        "CPU",
        (contribution("restart a second, CPU"),),
        MEMBERS,
    ),
    figure(
        MANAGER,
        WORST_TEN_SECONDS,
        "a release: a manager's own start and whole list",
        "CPU",
        (contribution("start CPU"), contribution("discovery whole CPU"), contribution("table CPU")),
        "`platform/main.py`, " + DISCOVERY,
    ),
    figure(
        MANAGER,
        CONFIGURATION_CHANGE,
        "one entry's news taken in",
        "CPU",
        (contribution("discovery one CPU"),),
        DISCOVERY,
    ),
)
LEADER = "who leads or owns"
OTHERS = "other members"
OTHER_ROWS = (
    figure(
        LEADER,
        ORDINARY_SECOND,
        "batches written for 3 standbys, 5,000 workers",
        "CPU",
        (contribution("batches written CPU", CONTROL_MACHINES - 1),),
        SUCCESSION,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "batches to 3 standbys",
        "bytes",
        (contribution("batches bytes", CONTROL_MACHINES - 1),),
        SUCCESSION,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "batches to 939 standbys, were all in the set",
        "bytes",
        (contribution("batches bytes", MANAGERS - 1),),
        SUCCESSION,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "owners' log, 4 in the set: bytes out",
        "bytes",
        (contribution("log leader bytes", **CONTROL_GROUP),),
        LOG,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "owners' log, 940 in the set: messages out",
        "messages",
        (contribution("log leader messages"),),
        LOG,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "owners' log, 940 in the set: bytes out",
        "bytes",
        (contribution("log leader bytes"),),
        LOG,
        False,
    ),
    figure(
        LEADER,
        ORDINARY_SECOND,
        "owners' log, 940 in the set",
        "CPU",
        (contribution("log leader CPU"),),
        LOG,
        False,
    ),
    figure(
        LEADER,
        WORST_TEN_SECONDS,
        "the whole for a new standby, 5,000 workers",
        "bytes",
        (contribution("whole for a standby bytes"),),
        CODEC,
        False,
    ),
    figure(
        OTHERS,
        ORDINARY_SECOND,
        "a standby: batches read, the module run along",
        "CPU",
        (contribution("standby CPU"),),
        SUCCESSION,
        False,
    ),
    figure(
        OTHERS,
        ORDINARY_SECOND,
        "a voter of owners' log: bytes out",
        "bytes",
        (contribution("log other bytes"),),
        OWNER,
    ),
    figure(
        OTHERS,
        ORDINARY_SECOND,
        "a voter of owners' log: messages out",
        "messages",
        (contribution("log other messages"),),
        OWNER,
    ),
    figure(
        OTHERS,
        ORDINARY_SECOND,
        "a voter of owners' log",
        "CPU",
        (contribution("log other CPU"),),
        OWNER,
    ),
    figure(
        "discovery",
        ORDINARY_DAY,
        "news to 940 managers",
        "bytes out",
        (contribution("discovery one bytes", CHANGES_PER_SECOND * MANAGERS),),
        DISCOVERY,
        False,
    ),
    figure(
        "discovery",
        ORDINARY_DAY,
        "a roster that tells it whole, to 940 managers",
        "bytes out",
        (contribution("roster whole bytes", CHANGES_PER_SECOND * MANAGERS),),
        ROSTER,
        False,
    ),
    figure(
        "discovery",
        WORST_TEN_SECONDS,
        "a release, one restart a second: whole lists out",
        "bytes out",
        (contribution("discovery whole bytes", RELEASE_RESTARTS_PER_SECOND),),
        DISCOVERY,
        False,
    ),
    figure(
        "collector and proxy",
        ORDINARY_SECOND,
        "80 reports a second of a manager's, in",
        "bytes",
        (contribution("report bytes", REPORT_LINES_PER_S),),
        PEERS,
    ),
    figure(
        "collector and proxy",
        WORST_TEN_SECONDS,
        "20 proxies join: read",
        "CPU",
        (contribution("join CPU", PROXIES_PER_MANAGER),),
        PEERS,
    ),
    figure(
        "collector and proxy",
        WORST_TEN_SECONDS,
        "20 proxies join: whole tables of 5,000 workers out",
        "bytes",
        (contribution("table bytes", PROXIES_PER_MANAGER),),
        ORDERS,
    ),
    figure(
        "collector and proxy",
        WORST_TEN_SECONDS,
        "the same, rendered",
        "CPU",
        (contribution("table CPU"),),
        ORDERS,
    ),
    unknown(
        "collector and proxy",
        ORDINARY_SECOND,
        "their own CPU and memory",
        "those of the runs are simulated and cost nothing",
    ),
    figure(
        "operators",
        ORDINARY_SECOND,
        "an answer to `fleet show`: CPU in the manager's one thread",
        "CPU",
        (contribution("fleet show CPU"),),
        HOST,
        False,
    ),
    figure(
        "operators",
        ORDINARY_SECOND,
        "an answer to `fleet show`",
        "bytes",
        (contribution("fleet show bytes"),),
        HOST,
        False,
    ),
    unknown(
        "operators",
        ORDINARY_SECOND,
        "pins, drills, the rest of the endpoint",
        "no slope was measured",
    ),
    unknown(
        "control machines",
        ORDINARY_SECOND,
        "their memory and CPU for the whole fleet",
        "no work of the fleet stands on machines of its own today; what 4 in a set cost stands under who leads",
    ),
)


def ratio(data: Data, entry: Row) -> float | None:
    """Return the figure as a multiple of its budget; None if unknown or without a budget."""
    found = figure_value(data, entry)
    return found / BUDGET[entry.kind] if found is not None and entry.kind in BUDGET else None


def figure_cells(data: Data, entry: Row) -> list[str]:
    """Return the table cells of a figure."""
    found, times = figure_value(data, entry), ratio(data, entry)
    if found is None:
        return [
            entry.when,
            entry.what,
            "**not known**",
            "",
            "",
            unknown_reason(data, entry),
            entry.mechanism,
        ]
    budget = format_amount(BUDGET[entry.kind], entry.unit) if entry.kind in BUDGET else "none said"
    shown_ratio = (
        ""
        if times is None
        else f"**{format_number(times)}**"
        if times > 1
        else format_number(times)
    )
    return [
        entry.when,
        entry.what,
        format_amount(found, entry.unit),
        budget,
        shown_ratio,
        describe_error(data, entry),
        entry.mechanism,
    ]


def measured_rows(data: Data, rows: Iterable[Row]) -> list[Row]:
    """Return the rows without those of a version of the module that was not measured."""
    absent = [
        f"({version})" for version in MODULE_VERSIONS[1:] if f"module-{version}" not in data.series
    ]
    return [
        entry
        for entry in rows
        if not any(key.endswith(version) for _, key, _ in entry.contributions for version in absent)
    ]


def role(data: Data, rows: Iterable[Row]) -> str:
    """Return the table of figures of one role."""
    return markdown_table(
        ("when", "what", "at that size", "budget", "ratio", "held-out size was off", "mechanism"),
        [
            figure_cells(data, entry)
            for entry in sorted(
                measured_rows(data, rows), key=lambda entry: WHEN_ORDER.index(entry.when)
            )
        ],
    )


def others(data: Data) -> str:
    """Return the table of figures of the other roles."""
    return markdown_table(
        (
            "role",
            "when",
            "what",
            "at that size",
            "budget",
            "ratio",
            "held-out size was off",
            "mechanism",
        ),
        [[entry.role, *figure_cells(data, entry)] for entry in OTHER_ROWS],
    )


def ranking(data: Data) -> str:
    """Return all ratios above 1, largest first; costs of every manager before those of one."""
    rows = [
        (found, entry)
        for entry in measured_rows(data, (*MANAGER_ROWS, *OTHER_ROWS))
        if (found := ratio(data, entry)) and found > 1
    ]
    rows.sort(key=lambda pair: (not pair[1].on_every_manager, -pair[0]))
    return markdown_table(
        ("at", "ratio", "of", "when", "what", "mechanism"),
        [
            [
                "every manager" if entry.on_every_manager else f"one manager ({entry.role})",
                format_number(found),
                entry.kind,
                entry.when,
                entry.what,
                entry.mechanism,
            ]
            for found, entry in rows
        ],
    )


def measurements(data: Data) -> str:
    """Return when and on which machine each series was measured."""
    rows = []
    for name, series in data.series.items():
        rows_of = (*series["points"], *series["held"])
        loads, paces = (
            [row["load"] for row in rows_of],
            [row.get("pace", data.best_pace) for row in rows_of],
        )
        rows.append(
            [
                name,
                series["about"],
                series["measured"],
                f"{len(series['points'])} + {len(series['held'])}",
                f"{series['seconds']:g} s",
                f"{min(loads):g} to {max(loads):g} of {series['cores']} cores",
                f"{min(paces) / data.best_pace:.2f} to {max(paces) / data.best_pace:.2f}",
                series["python"],
            ]
        )
    return markdown_table(
        (
            "series",
            "what a point is",
            "date",
            "points + held out",
            "took",
            "load",
            "CPU of the fixed work, of its least",
            "Python",
        ),
        rows,
    )


def change_latency(data: Data) -> str:
    """Return the latency of a change from discovery to the last of 20 proxies with 5,000 workers."""
    # A line, the message's overhead and its acknowledgement request, for each proxy.
    one_line_seconds = PROXIES_PER_MANAGER * (1 + MESSAGE_OVERHEAD_LINES + 1) / CHANNEL_LINES_PER_S
    full_table_seconds = (
        PROXIES_PER_MANAGER * (WORKERS + 1 + MESSAGE_OVERHEAD_LINES + 1) / CHANNEL_LINES_PER_S
    )
    hops = [
        (
            "discovery's answer to the query that waits",
            "at once; where the version did not move on, the next query follows after",
            MIN_QUERY_INTERVAL_S,
            "`platform/discovery_state.py` MIN_QUERY_INTERVAL_S",
        ),
        ("one entry's news read and folded in", "", _figure_at(data, "discovery one CPU"), "slope"),
        (
            "the same from a roster that tells it whole",
            "",
            _figure_at(data, "roster whole CPU"),
            "slope",
        ),
        (
            "the turn under way, and the one that decides",
            "2 products, twice the longest turn, text before",
            _figure_at(data, "module longest turn (before)", 2.0),
            "slope",
        ),
        (
            "the same with 270 products",
            "",
            _figure_at(data, "module longest turn (before)", 2.0, **ALL_SERVICES),
            "slope",
        ),
        (
            "the channel: a withdrawal to 20 proxies",
            f"6 lines each at {CHANNEL_LINES_PER_S:g} lines a second",
            one_line_seconds,
            "setting of `bench/decision_cost.py`",
        ),
        (
            "the channel: a whole table of 5,000 lines to 20 proxies",
            f"at {CHANNEL_LINES_PER_S:g} lines a second; so small tables are dealt instead",
            full_table_seconds,
            "setting of `bench/decision_cost.py`",
        ),
        (
            "the way to a proxy and its answer",
            "0.5 to 1.5 times",
            TRANSIT_SECONDS,
            "setting of `bench/decision_loop_cost.py`",
        ),
        ("the proxy takes it", "", None, "simulated proxies take it at once"),
        (
            "**a drain, from end to end, played**",
            "to the last answer of those told; 5,000 workers, 20 proxies",
            _figure_at(data, "drain in force (before)"),
            "slope",
        ),
        (
            "a staged change of weights, from end to end",
            "two answers of every proxy and a raise",
            None,
            "not played",
        ),
    ]
    rows = [
        [
            hop,
            note,
            "**not known**" if took is None else format_amount(took, "s"),
            "" if took is None else format_number(took / CHANGE_IN_FORCE_SECONDS),
            source,
        ]
        for hop, note, took, source in hops
    ]
    return markdown_table(("hop", "what it is", "time", "of the 6 s", "from"), rows)


def _figure_at(data: Data, key: str, times: float = 1.0, **sizes: float) -> float | None:
    return figure_value(
        data, Row("", "", "", "time", "s", (contribution(key, times, **sizes),), "")
    )


COMPARED_FIELDS = ("second", "turn", "longest", "dearest", "change", "memory")


def module_versions(data: Data) -> str:
    """Return the versions of the decision module side by side, as measured at each size."""
    found = {
        version: data.series[f"module-{version}"]
        for version in MODULE_VERSIONS
        if f"module-{version}" in data.series
    }
    units = {field: "bytes" if field == "memory" else "s" for field in COMPARED_FIELDS}
    rows = []
    before = found.get("before")
    for point in (*before["points"], *before["held"]) if before else ():
        sizes = {name: point[name] for name in ("workers", "products", "proxies", "reports")}
        cells = [format_number(size) for size in sizes.values()]
        others = [
            next(
                (
                    row
                    for row in (*series["points"], *series["held"])
                    if all(row[name] == size for name, size in sizes.items())
                ),
                None,
            )
            for series in found.values()
        ]
        for field in COMPARED_FIELDS:
            cells.append(
                ", ".join(
                    "not played"
                    if row is None
                    else format_amount(
                        row[field]
                        * (
                            data.best_pace / row.get("pace", data.best_pace)
                            if units[field] == "s"
                            else 1.0
                        ),
                        units[field],
                    )
                    for row in others
                )
            )
        rows.append(cells)
    head = (f"{field} ({', '.join(found)})" for field in COMPARED_FIELDS)
    return markdown_table(("workers", "products", "proxies", "reports/s", *head), rows)


SETTLED_FIELDS = ("messages", "bytes")


def settled(data: Data) -> str:
    """Compare members that start with full knowledge of each other with ones that joined."""
    rows = []
    settled_rows, joined_rows = (
        {
            row["members"]: row
            for kind in ("points", "held")
            for row in data.series.get(name, {}).get(kind, ())
        }
        for name in ("members", "joined")
    )
    for size, joined in joined_rows.items():
        cells = (
            [
                f"{format_amount(settled_rows[size][field], unit)}, {format_amount(joined[field], unit)}, "
                f"{settled_rows[size][field] / joined[field] - 1:+.0%}"
                for field, unit in zip(SETTLED_FIELDS, ("", "bytes"), strict=True)
            ]
            if size in settled_rows
            else []
        )
        rows.append([format_number(size), *cells])
    return markdown_table(
        ("members", *(f"{field}: settled, joined a minute ago, off" for field in SETTLED_FIELDS)),
        rows,
    )


CHOSEN = (
    ("first", "the module's turns, 2 products, text before"),
    ("first", "dearest second of the module, 2 products, text before"),
    ("next", "members' bytes out, and as many in"),
    ("next", "of them probes and what rides on them"),
    ("next", "of them exchanges of all that is known"),
    ("next", "of them facts: burden and list"),
    ("after it", "a roster that tells it whole, in"),
    ("beside them", "owners' log, 940 in the set: bytes out"),
)


def choice(data: Data) -> str:
    """Return the planned order of the work, with its figures."""
    entries = {entry.what: entry for entry in (*MANAGER_ROWS, *OTHER_ROWS)}
    return markdown_table(
        (
            "turn",
            "when",
            "what",
            "at that size",
            "budget",
            "ratio",
            "held-out size was off",
            "mechanism",
        ),
        [[turn, *figure_cells(data, entries[what])] for turn, what in CHOSEN],
    )


def format_longest(times: Mapping[str, Any] | float | None) -> str:
    """Format the longest of the times of a run, or a single time; empty if there is none."""
    found = times.get("most") if isinstance(times, Mapping) else times
    return format_amount(found, "s") if found else ""


def run_costs(data: Data) -> str:
    """Return the costs of hollow and real managers on loopback, run by run.

    Runs that are not valid are marked, and their figures do not count.
    """
    rows = []
    for run in data.runs.values():
        sizes, times, truth, roles = run["sizes"], run["times"], run["truth"], run["roles"]
        cells = [
            run["scenario"],
            f"{sizes['real']} + {sizes['hollow']}",
            format_number(sizes["workers"]),
            f"{run['clock']:g}",
        ]
        for kind in ("real", "hollow"):
            role = roles.get(kind)
            cells.append(
                ""
                if role is None
                else ", ".join(
                    (
                        format_amount(role["control_cpu_share_per_member"], "s"),
                        format_amount(role["per_member_s"]["bytes_out"], "bytes"),
                        format_amount(role["rss_mb_per_member"] * 1e6, "bytes"),
                    )
                )
            )
        cells += [
            format_longest(times.get(key))
            for key in (
                "list_at_last_s",
                "configured_at_last_s",
                "failed_seen_by_last_s",
                "views_equal_s",
            )
        ]
        why = (
            "strained"
            if run["strained"]
            else "not validated"
            if run["ended"] == "whole"
            else run["ended"]
        )
        rows.append(
            [*cells, str(truth["false_verdicts"]), "yes" if run["valid"] else f"**no**: {why}"]
        )
    return markdown_table(
        (
            "scenario",
            "real + hollow",
            "workers",
            "clock",
            *(
                f"{kind}: CPU for members' words, bytes out a second, resident"
                for kind in ("real", "hollow")
            ),
            "list at the last",
            "configuration at the last",
            "death seen by the last",
            "views equal",
            "false verdicts",
            "counts",
        ),
        rows,
    )


TABLES = {
    "slopes": slopes,
    "settled": settled,
    "growth": growth,
    "manager": lambda data: role(data, MANAGER_ROWS),
    "others": others,
    "ranking": ranking,
    "choice": choice,
    "six": change_latency,
    "rig": run_costs,
    "texts": module_versions,
    "played": measurements,
}


class PageError(ValueError):
    """The markers of the page do not match the generated tables."""


def render(text: str, data: Data) -> str:
    """Return the page with its tables generated from the data. Raises PageError."""
    names = [found.group(2) for found in TABLE_PATTERN.finditer(text)]
    if sorted(names) != sorted(TABLES):
        raise PageError(
            f"the page has the tables {', '.join(sorted(names))}; "
            f"expected {', '.join(sorted(TABLES))}"
        )
    return TABLE_PATTERN.sub(
        lambda found: found.group(1) + TABLES[found.group(2)](data) + found.group(3), text
    )


def main() -> None:
    """Write the page, or check it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    text = PAGE.read_text()
    made = render(text, Data())
    if parser.parse_args().check:
        sys.exit(
            "docs/CAPACITY.md differs from the data; run python -m bench.scale.page"
            if made != text
            else 0
        )
    PAGE.write_text(made)


if __name__ == "__main__":
    main()
