"""The tables of docs/CAPACITY.md, made from `results/*.json` and from nothing else.

python -m bench.scale.page [--check]

Puts each table between its markers; `--check` writes nothing and ends with status 1 where page and
data differ. A figure is a sum of slopes at the size to plan with. Each slope is fitted to the
points of its series and held against the points that were kept out of the fit; a figure without a
slope reads "not known".
"""

import argparse
import json
import re
import sys
from collections.abc import Iterable, Mapping
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

from bench.decision_cost import PACE
from bench.decision_loop_cost import TRANSIT
from bench.scale.fit import Fit, FitError, fit, is_quadratic, off
from bench.scale.fit import value as term_value
from dunlinlug.platform.discovery_state import MIN_QUERY_INTERVAL_S

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- table ([a-z0-9-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
# part by which a held-out size may be off until the page says so in words: what a change of load
# does
FAR = 0.25

# The size to plan with, and what a manager may spend on control in a second.
MANAGERS, WORKERS, SERVICES, CHANGES = 940, 5000, 270, 810
FAILURES, RESTARTS, DAY = 27, 690, 86400.0
IN_FORCE = 6.0  # seconds until a change is to be in force everywhere
BUDGET = {"CPU": 0.017, "bytes": 3000.0, "memory": 128e6}
ASSUMED = 20  # proxies at a manager: the letter does not say how many there are
REPORTS = 80  # a second that a manager hears: as the channels of the shipped days have it
CONTROL = 4  # machines set aside
HEAD = 4.0  # lines that a message counts for beside its own, as in bench/decision_cost.py
SIZES = {
    "workers": WORKERS,
    "products": 2,
    "proxies": ASSUMED,
    "reports": REPORTS,
    "members": MANAGERS,
    "entries": WORKERS,
}


class Slope(NamedTuple):
    """`where` narrows the points of a series, for one that plays several things."""

    series: str
    field: str
    unit: str
    terms: tuple[str, ...]
    where: Mapping[str, float] = {}
    besides: Mapping[str, float] = {}  # sizes at which points are left out


class Fitted(NamedTuple):
    slope: Slope
    model: Fit
    points: list[dict[str, float]]
    held: list[dict[str, float]]

    def worst(self) -> float | None:
        """How far off the held-out size was that was furthest off, as a part of it."""
        return max((off(self.model, point) for point in self.held), key=abs, default=None)


TURN = ("1", "workers", "workers*products")
BY_PROXY = ("1", "workers", "proxies", "workers*proxies")
USUAL, TWO = {"proxies": 20, "reports": 80}, {"products": 2, "reports": 80}


def of_module(text: str) -> dict[str, Slope]:
    """The slopes of one text of the decision module, which stands behind the name of each."""
    series, about = f"module-{text}", f" ({text})"
    usual = {
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
            f"module {name}{about}": Slope(series, field, "s", TURN, USUAL)
            for name, field in usual.items()
        },
        f"module second by proxies{about}": Slope(series, "second", "s", BY_PROXY, TWO),
        f"module dearest by proxies{about}": Slope(series, "dearest", "s", BY_PROXY, TWO),
        f"module second by reports{about}": Slope(
            series, "second", "s", ("1", "reports"), {"workers": 200, "products": 2, "proxies": 20}
        ),
        f"module memory{about}": Slope(series, "memory", "bytes", TURN, USUAL),
        f"module memory by proxies{about}": Slope(
            series, "memory", "bytes", ("1", "workers", "proxies"), TWO
        ),
        f"drain in force{about}": Slope(series, "in_force", "s", ("1", "workers"), USUAL),
    }


TEXTS = (
    "before",
    "after",
)  # of the decision module: that of the choice, and the one that a turn's cost led to
SLOPES = {
    **of_module("before"),
    **of_module("after"),
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


SIMULATED = frozenset(
    {"last", "heal", "in_force"}
)  # seconds of a simulated clock, which no load changes


class Data:
    """What the runs wrote, by series; each slope is fitted once."""

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
        self.quickest = min(
            paces, default=1.0
        )  # CPU is told at the pace of the machine's best moment

    def _rows(self, slope: Slope, kind: str) -> list[dict[str, float]]:
        rows = [
            row
            for row in self.series.get(slope.series, {}).get(kind, ())
            if slope.field in row
            and all(row[key] == value for key, value in slope.where.items())
            and all(row[key] >= value for key, value in slope.besides.items())
        ]
        paced = slope.unit == "s" and slope.field not in SIMULATED
        return [
            {
                **row,
                "y": row[slope.field]
                * (self.quickest / row.get("pace", self.quickest) if paced else 1.0),
                **({"others": row["members"] - 1} if "members" in row else {}),
            }
            for row in rows
        ]

    def _fitted(self, key: str) -> Fitted | None:
        """None where nothing was measured, or what was can't be fitted."""
        slope = SLOPES[key]
        points = self._rows(slope, "points")
        try:
            return Fitted(slope, fit(points, slope.terms), points, self._rows(slope, "held"))
        except FitError:
            return None


def number(value: float) -> str:
    """Three figures, without an exponent above a ten-thousandth."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}" if abs(value) >= 1e-4 else f"{value:.1e}"


def amount(value: float, unit: str) -> str:
    if unit == "s":
        for least, name, times in ((1.0, "s", 1.0), (1e-3, "ms", 1e3), (0.0, "µs", 1e6)):
            if value >= least:
                return f"{number(value * times)} {name}"
    if unit == "bytes":
        for least, name in ((1e6, "MB"), (1e3, "KB"), (0.0, "B")):
            if value >= least:
                return f"{number(value / max(least, 1.0))} {name}"
    return f"{number(value)} {unit}".strip()


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = [names, ["---"] * len(names), *(list(cells) for cells in rows)]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


# The slopes themselves.


def named(term: str) -> str:
    return term.replace("others", "(members - 1)").replace("*", " × ")


NAMES = (
    "workers",
    "products",
    "proxies",
    "reports",
    "members",
    "lost",
    "entries",
)  # sizes, as tables name them


def shown(sizes: Mapping[str, float], slope: Slope) -> str:
    """The sizes that the slope goes by; all there are, where it goes by none."""
    terms = [term.replace("others", "members") for term in slope.terms]
    sized = [name for name in NAMES if name in sizes]
    return ", ".join(
        f"{number(sizes[name])} {name}"
        for name in sized
        if any(name in term for term in terms) or terms == ["1"]
    )


def slope_row(key: str, found: Fitted) -> list[str]:
    slope, model = found.slope, found.model
    coefficients = " + ".join(
        f"{number(c)} ± {number(e)}" + (f" × {named(term)}" if term != "1" else "")
        for term, c, e in zip(model.terms, model.coefficients, model.errors, strict=True)
    )
    held = "; ".join(
        f"{shown(point, slope)}: {amount(model.at(point), slope.unit)} said, "
        f"{amount(point['y'], slope.unit)} measured, {off(model, point):+.0%}"
        for point in found.held
    )
    return [
        key,
        f"{slope.unit}: {coefficients}",
        f"{len(found.points)}",
        f"{model.spread:.1%}",
        held or "none",
    ]


def slopes(data: Data) -> str:
    rows = [slope_row(key, found) for key in SLOPES if (found := data.fitted(key)) is not None]
    return table(("slope", "fit", "points", "spread", "held out"), rows)


def growth(data: Data) -> str:
    """What grows with what; products of two sizes are named quadratic."""
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
            named(term),
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
    return table(("term", "growth", "in"), rows)


# Figures at the size to plan with.


class Part(NamedTuple):
    """So many times what a slope says at these sizes, where they are not the size to plan with."""

    times: float
    key: str
    sizes: Mapping[str, float] = {}


class Row(NamedTuple):
    """`kind` names the budget, if there is one. Without parts it is not known, and `why` says why."""

    role: str
    when: str
    what: str
    kind: str
    unit: str
    parts: tuple[Part, ...]
    mechanism: str
    why: str = ""
    everywhere: bool = True  # whether it is spent at every manager


def part(key: str, times: float = 1.0, **sizes: float) -> Part:
    return Part(times, key, sizes)


def exactly(found: Fitted, sizes: Mapping[str, float]) -> float | None:
    """What was measured at these very sizes, if a play had them."""
    same = [
        point["y"]
        for point in (*found.points, *found.held)
        if all(point[name] == sizes[name] for name in NAMES if name in point and name in sizes)
    ]
    return same[-1] if same else None


def value(data: Data, row: Row) -> float | None:
    """What was measured at this size where it was played, else what its slope says; None where a
    slope is not there, or has shown that it does not carry so far.
    """
    total = 0.0
    for times, key, sizes in row.parts:
        found, at = data.fitted(key), {**SIZES, **sizes}
        if found is None:
            return None
        measured = exactly(found, at)
        if measured is None and broken(found, at):
            return None
        total += times * (
            found.model.at({**at, "others": at["members"] - 1}) if measured is None else measured
        )
    return total if row.parts else None


def beyond(found: Fitted, sizes: Mapping[str, float]) -> tuple[float, str]:
    """How many times the largest that was played a term is, and which; 1 where none is larger."""
    at = {**sizes, "others": sizes["members"] - 1}
    most = [
        (
            term_value(term, at)
            / max(term_value(term, point) for point in (*found.points, *found.held)),
            term,
        )
        for term in found.model.terms
    ]
    return max(((times, named(term)) for times, term in most if times > 1.001), default=(1.0, ""))


def broken(found: Fitted, sizes: Mapping[str, float]) -> bool:
    """Danger: a slope that missed a size which was held out, carried on beyond all that was played,
    is a guess; one that missed it by twice as much says nothing of any other size.
    """
    worst = abs(found.worst() or 0.0)
    return worst > 2 * FAR or worst > FAR and beyond(found, sizes)[0] > 1.0


def trust(data: Data, row: Row) -> str:
    """How far off a slope's held-out size was at the most, and how far beyond all that was played
    this is.
    """
    errors, farthest = list[float](), (1.0, "")
    for _, key, sizes in row.parts:
        if (found := data.fitted(key)) is not None:
            errors += [error for error in (found.worst(),) if error is not None]
            farthest = max(farthest, beyond(found, {**SIZES, **sizes}))
    worst = max(errors, key=abs, default=None)
    fits = [
        (found, {**SIZES, **sizes})
        for _, key, sizes in row.parts
        if (found := data.fitted(key)) is not None
    ]
    if fits and all(exactly(found, at) is not None for found, at in fits):
        return f"played at this size; the slope {'had none' if worst is None else f'said {worst:+.0%}'}"
    words = (
        "none held out"
        if worst is None
        else f"{worst:+.0%}" + (" **far off**" if abs(worst) > FAR else "")
    )
    return words + (f", {farthest[0]:.2g} times the {farthest[1]} played" if farthest[1] else "")


def because(data: Data, row: Row) -> str:
    """Why a figure is not known."""
    for _, key, sizes in row.parts:
        found = data.fitted(key)
        if found is None:
            return "nothing was measured"
        if exactly(found, {**SIZES, **sizes}) is None and broken(found, {**SIZES, **sizes}):
            times, term = beyond(found, {**SIZES, **sizes})
            point = max((*found.points, *found.held), key=lambda point: point["y"])
            farther = f", and this is {times:.2g} times the {term} played" if term else ""
            return (
                f"its slope missed a held-out size by {found.worst():+.0%}{farther}; at "
                f"{shown(point, found.slope)} {amount(point['y'], row.unit)} were measured"
            )
    return row.why


EVERY_CHANGE = (
    CHANGES + FAILURES + RESTARTS
) / DAY  # a second: each machine that goes or comes is one of discovery's
RACK, ZONE = 20, MANAGERS // 10
RELEASE = 1.0  # managers restarted a second in a release: all in a quarter of an hour
MANY = {"products": SERVICES}
OF_CONTROL = {"members": CONTROL}

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
NOW, DAILY, TEN, CHANGE = (
    "ordinary second",
    "ordinary day's churn",
    "worst ten seconds",
    "change of configuration",
)
STATE = "state"
ORDER = (STATE, NOW, DAILY, TEN, CHANGE)
MEMBER_BYTES = (
    part("members probes bytes"),
    part("members facts bytes"),
    part("members exchange bytes"),
)
READING = (
    part("report CPU", REPORTS),
    part("demand CPU", ASSUMED / 2),
    part("answer CPU", ASSUMED / 2),
)


def row(
    role: str,
    when: str,
    what: str,
    kind: str,
    parts: tuple[Part, ...],
    mechanism: str,
    everywhere: bool = True,
) -> Row:
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
    return Row(role, when, what, "", "", (), "", why)


MANAGER = "manager"


def module_rows(text: str) -> tuple[Row, ...]:
    about, words = f" ({text})", f", text {text}"
    return (
        row(
            MANAGER,
            STATE,
            f"5,000 workers, 2 products, 20 proxies{words}",
            "memory",
            (part(f"module memory{about}"),),
            BALANCE,
        ),
        row(
            MANAGER,
            STATE,
            f"5,000 workers, 270 products, 20 proxies{words}",
            "memory",
            (part(f"module memory{about}", **MANY),),
            BALANCE,
        ),
        row(
            MANAGER,
            NOW,
            f"the module's turns, 2 products{words}",
            "CPU",
            (part(f"module second{about}"),),
            BALANCE,
        ),
        row(
            MANAGER,
            NOW,
            f"the module's turns, 270 products{words}",
            "CPU",
            (part(f"module second{about}", **MANY),),
            BALANCE,
        ),
        row(
            MANAGER,
            TEN,
            f"dearest second of the module, 2 products{words}",
            "CPU",
            (part(f"module dearest{about}"),),
            BALANCE,
        ),
        row(
            MANAGER,
            TEN,
            f"dearest second of the module, 270 products{words}",
            "CPU",
            (part(f"module dearest{about}", **MANY),),
            BALANCE,
        ),
        row(
            MANAGER,
            CHANGE,
            f"a second in which workers are replaced, 2 products{words}",
            "CPU",
            (part(f"module change{about}"),),
            BALANCE,
        ),
        row(
            MANAGER,
            CHANGE,
            f"a drain, from discovery's word to the last proxy's answer{words}",
            "time",
            (part(f"drain in force{about}"),),
            BALANCE,
        ),
    )


MANAGER_ROWS = (
    *module_rows("before"),
    *module_rows("after"),
    row(
        MANAGER,
        STATE,
        "a process that does nothing, all features loaded",
        "memory",
        (part("empty memory"),),
        "`ads/main.py`",
    ),
    row(
        MANAGER,
        STATE,
        "the same, as the platform runs it",
        "memory",
        (part("empty memory, platform"),),
        "`platform/main.py`",
    ),
    row(
        MANAGER,
        STATE,
        "940 members' words, burdens, prints of lists",
        "memory",
        (part("members memory"),),
        "`fleet/membership/member_table.py`",
    ),
    row(
        MANAGER,
        STATE,
        "all of it, 2 products",
        "memory",
        (part("empty memory"), part("module memory (before)"), part("members memory")),
        "the process",
    ),
    row(MANAGER, NOW, "orders rendered", "CPU", (part("module rendered (before)"),), ORDERS),
    row(
        MANAGER,
        NOW,
        "the xDS desk instead of it",
        "CPU",
        (part("desk second"),),
        "`ads/proxy_state.py`, `xds/encoding.py`",
    ),
    row(MANAGER, NOW, "the guard's judging", "CPU", (part("guard CPU"),), GUARD),
    row(MANAGER, NOW, "80 reports, 10 usages, 10 answers read", "CPU", READING, PEERS),
    row(
        MANAGER,
        NOW,
        "members' words sent, sealed, opened, weighed",
        "CPU",
        (part("members CPU"),),
        MEMBERS,
    ),
    row(MANAGER, NOW, "looks at standing, burdens, lists", "CPU", (part("own looks CPU"),), HOST),
    row(
        MANAGER,
        NOW,
        "members' words out, and as many in",
        "messages",
        (part("members messages"),),
        MEMBERS,
    ),
    row(MANAGER, NOW, "members' bytes out, and as many in", "bytes", MEMBER_BYTES, MEMBERS),
    row(MANAGER, NOW, "of them probes and what rides on them", "bytes", MEMBER_BYTES[:1], MEMBERS),
    row(MANAGER, NOW, "of them facts: burden and list", "bytes", MEMBER_BYTES[1:2], HOST),
    row(MANAGER, NOW, "of them exchanges of all that is known", "bytes", MEMBER_BYTES[2:], MEMBERS),
    row(
        MANAGER,
        DAILY,
        "discovery's news in, 1,527 a day",
        "bytes",
        (part("discovery one bytes", EVERY_CHANGE),),
        DISCOVERY,
    ),
    row(
        MANAGER,
        DAILY,
        "a roster that tells it whole, in",
        "bytes",
        (part("roster whole bytes", EVERY_CHANGE),),
        ROSTER,
    ),
    row(
        MANAGER,
        DAILY,
        "the same, read and compared",
        "CPU",
        (part("roster whole CPU", EVERY_CHANGE),),
        ROSTER,
    ),
    unknown(
        MANAGER,
        DAILY,
        "members' bytes at 717 restarts and failures a day",
        "one a second was played, 120 times the day's: the rows for a release are an upper bound",
    ),
    row(
        MANAGER,
        TEN,
        "a machine lost: members' bytes in the dearest second",
        "bytes",
        (part("lost, dearest bytes", lost=1),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a rack (20 managers) lost: the same",
        "bytes",
        (part("lost, dearest bytes", lost=RACK),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a zone (94 managers) lost: the same",
        "bytes",
        (part("lost, dearest bytes", lost=ZONE),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a zone lost: members' CPU, mean of ten seconds",
        "CPU",
        (part("lost, CPU", lost=ZONE),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a loss: until the last member says so",
        "time",
        (part("lost, known"),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a zone back: bytes in the dearest second",
        "bytes",
        (part("lost, back, dearest bytes", lost=ZONE),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "two halves apart: bytes in the dearest second",
        "bytes",
        (part("halves, dearest bytes"),),
        MEMBERS,
    ),
    row(MANAGER, TEN, "two halves apart: CPU", "CPU", (part("halves, CPU"),), MEMBERS),
    row(
        MANAGER,
        TEN,
        "together again: bytes in the dearest second",
        "bytes",
        (part("healing, dearest bytes"),),
        MEMBERS,
    ),
    row(MANAGER, TEN, "together again: CPU", "CPU", (part("healing, CPU"),), MEMBERS),
    row(
        MANAGER,
        TEN,
        "together again: until all have one view",
        "time",
        (part("healing, until one view"),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a release, one restart a second: bytes",
        "bytes",
        (part("restart a second, bytes"),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a release: CPU of members' words",
        "CPU",
        (part("restart a second, CPU"),),
        MEMBERS,
    ),
    row(
        MANAGER,
        TEN,
        "a release: a manager's own start and whole list",
        "CPU",
        (part("start CPU"), part("discovery whole CPU"), part("table CPU")),
        "`platform/main.py`, " + DISCOVERY,
    ),
    row(
        MANAGER, CHANGE, "one entry's news taken in", "CPU", (part("discovery one CPU"),), DISCOVERY
    ),
)
LEADER = "who leads or owns"
OTHERS = "other members"
SIDES_ROWS = (
    row(
        LEADER,
        NOW,
        "batches written for 3 standbys, 5,000 workers",
        "CPU",
        (part("batches written CPU", CONTROL - 1),),
        SUCCESSION,
        False,
    ),
    row(
        LEADER,
        NOW,
        "batches to 3 standbys",
        "bytes",
        (part("batches bytes", CONTROL - 1),),
        SUCCESSION,
        False,
    ),
    row(
        LEADER,
        NOW,
        "batches to 939 standbys, were all in the set",
        "bytes",
        (part("batches bytes", MANAGERS - 1),),
        SUCCESSION,
        False,
    ),
    row(
        LEADER,
        NOW,
        "owners' log, 4 in the set: bytes out",
        "bytes",
        (part("log leader bytes", **OF_CONTROL),),
        LOG,
        False,
    ),
    row(
        LEADER,
        NOW,
        "owners' log, 940 in the set: messages out",
        "messages",
        (part("log leader messages"),),
        LOG,
        False,
    ),
    row(
        LEADER,
        NOW,
        "owners' log, 940 in the set: bytes out",
        "bytes",
        (part("log leader bytes"),),
        LOG,
        False,
    ),
    row(LEADER, NOW, "owners' log, 940 in the set", "CPU", (part("log leader CPU"),), LOG, False),
    row(
        LEADER,
        TEN,
        "the whole for a new standby, 5,000 workers",
        "bytes",
        (part("whole for a standby bytes"),),
        CODEC,
        False,
    ),
    row(
        OTHERS,
        NOW,
        "a standby: batches read, the module run along",
        "CPU",
        (part("standby CPU"),),
        SUCCESSION,
        False,
    ),
    row(
        OTHERS, NOW, "a voter of owners' log: bytes out", "bytes", (part("log other bytes"),), OWNER
    ),
    row(
        OTHERS,
        NOW,
        "a voter of owners' log: messages out",
        "messages",
        (part("log other messages"),),
        OWNER,
    ),
    row(OTHERS, NOW, "a voter of owners' log", "CPU", (part("log other CPU"),), OWNER),
    row(
        "discovery",
        DAILY,
        "news to 940 managers",
        "bytes out",
        (part("discovery one bytes", EVERY_CHANGE * MANAGERS),),
        DISCOVERY,
        False,
    ),
    row(
        "discovery",
        DAILY,
        "a roster that tells it whole, to 940 managers",
        "bytes out",
        (part("roster whole bytes", EVERY_CHANGE * MANAGERS),),
        ROSTER,
        False,
    ),
    row(
        "discovery",
        TEN,
        "a release, one restart a second: whole lists out",
        "bytes out",
        (part("discovery whole bytes", RELEASE),),
        DISCOVERY,
        False,
    ),
    row(
        "collector and proxy",
        NOW,
        "80 reports a second of a manager's, in",
        "bytes",
        (part("report bytes", REPORTS),),
        PEERS,
    ),
    row(
        "collector and proxy",
        TEN,
        "20 proxies join: read",
        "CPU",
        (part("join CPU", ASSUMED),),
        PEERS,
    ),
    row(
        "collector and proxy",
        TEN,
        "20 proxies join: whole tables of 5,000 workers out",
        "bytes",
        (part("table bytes", ASSUMED),),
        ORDERS,
    ),
    row("collector and proxy", TEN, "the same, rendered", "CPU", (part("table CPU"),), ORDERS),
    unknown(
        "collector and proxy",
        NOW,
        "their own CPU and memory",
        "those of the runs are simulated and cost nothing",
    ),
    row(
        "operators",
        NOW,
        "an answer to `fleet show`: CPU in the manager's one thread",
        "CPU",
        (part("fleet show CPU"),),
        HOST,
        False,
    ),
    row(
        "operators",
        NOW,
        "an answer to `fleet show`",
        "bytes",
        (part("fleet show bytes"),),
        HOST,
        False,
    ),
    unknown("operators", NOW, "pins, drills, the rest of the endpoint", "no slope was measured"),
    unknown(
        "control machines",
        NOW,
        "their memory and CPU for the whole fleet",
        "no work of the fleet stands on machines of its own today; what 4 in a set cost stands under who leads",
    ),
)


def ratio(data: Data, entry: Row) -> float | None:
    found = value(data, entry)
    return found / BUDGET[entry.kind] if found is not None and entry.kind in BUDGET else None


def figure_row(data: Data, entry: Row) -> list[str]:
    found, times = value(data, entry), ratio(data, entry)
    if found is None:
        return [
            entry.when,
            entry.what,
            "**not known**",
            "",
            "",
            because(data, entry),
            entry.mechanism,
        ]
    budget = amount(BUDGET[entry.kind], entry.unit) if entry.kind in BUDGET else "none said"
    shown_ratio = "" if times is None else f"**{number(times)}**" if times > 1 else number(times)
    return [
        entry.when,
        entry.what,
        amount(found, entry.unit),
        budget,
        shown_ratio,
        trust(data, entry),
        entry.mechanism,
    ]


def there(data: Data, rows: Iterable[Row]) -> list[Row]:
    """All but those of a text of the module that was not measured."""
    absent = [f"({text})" for text in TEXTS[1:] if f"module-{text}" not in data.series]
    return [
        entry
        for entry in rows
        if not any(key.endswith(text) for _, key, _ in entry.parts for text in absent)
    ]


def role(data: Data, rows: Iterable[Row]) -> str:
    return table(
        ("when", "what", "at that size", "budget", "ratio", "held-out size was off", "mechanism"),
        [
            figure_row(data, entry)
            for entry in sorted(there(data, rows), key=lambda entry: ORDER.index(entry.when))
        ],
    )


def others(data: Data) -> str:
    return table(
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
        [[entry.role, *figure_row(data, entry)] for entry in SIDES_ROWS],
    )


def ranking(data: Data) -> str:
    """All ratios above 1, the largest first; those spent at every manager apart from those of one."""
    rows = [
        (found, entry)
        for entry in there(data, (*MANAGER_ROWS, *SIDES_ROWS))
        if (found := ratio(data, entry)) and found > 1
    ]
    rows.sort(key=lambda pair: (not pair[1].everywhere, -pair[0]))
    return table(
        ("at", "ratio", "of", "when", "what", "mechanism"),
        [
            [
                "every manager" if entry.everywhere else f"one manager ({entry.role})",
                number(found),
                entry.kind,
                entry.when,
                entry.what,
                entry.mechanism,
            ]
            for found, entry in rows
        ],
    )


def played(data: Data) -> str:
    """When and on what each series was measured."""
    rows = []
    for name, series in data.series.items():
        rows_of = (*series["points"], *series["held"])
        loads, paces = (
            [row["load"] for row in rows_of],
            [row.get("pace", data.quickest) for row in rows_of],
        )
        rows.append(
            [
                name,
                series["about"],
                series["measured"],
                f"{len(series['points'])} + {len(series['held'])}",
                f"{series['seconds']:g} s",
                f"{min(loads):g} to {max(loads):g} of {series['cores']} cores",
                f"{min(paces) / data.quickest:.2f} to {max(paces) / data.quickest:.2f}",
                series["python"],
            ]
        )
    return table(
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


def six(data: Data) -> str:
    """A change on its way from discovery to the last proxy of a manager with 5,000 workers and 20
    proxies.
    """
    line = (
        ASSUMED * (1 + HEAD + 1) / PACE
    )  # a line, the message's head and its mark, for each proxy
    whole = ASSUMED * (WORKERS + 1 + HEAD + 1) / PACE
    hops = [
        (
            "discovery's answer to the query that waits",
            "at once; where the version did not move on, the next query follows after",
            MIN_QUERY_INTERVAL_S,
            "`platform/discovery_state.py` MIN_QUERY_INTERVAL_S",
        ),
        ("one entry's news read and folded in", "", _said(data, "discovery one CPU"), "slope"),
        (
            "the same from a roster that tells it whole",
            "",
            _said(data, "roster whole CPU"),
            "slope",
        ),
        (
            "the turn under way, and the one that decides",
            "2 products, twice the longest turn, text before",
            _said(data, "module longest turn (before)", 2.0),
            "slope",
        ),
        (
            "the same with 270 products",
            "",
            _said(data, "module longest turn (before)", 2.0, **MANY),
            "slope",
        ),
        (
            "the channel: a withdrawal to 20 proxies",
            f"6 lines each at {PACE:g} lines a second",
            line,
            "setting of `bench/decision_cost.py`",
        ),
        (
            "the channel: a whole table of 5,000 lines to 20 proxies",
            f"at {PACE:g} lines a second; so small tables are dealt instead",
            whole,
            "setting of `bench/decision_cost.py`",
        ),
        (
            "the way to a proxy and its answer",
            "0.5 to 1.5 times",
            TRANSIT,
            "setting of `bench/decision_loop_cost.py`",
        ),
        ("the proxy takes it", "", None, "simulated proxies take it at once"),
        (
            "**a drain, from end to end, played**",
            "to the last answer of those told; 5,000 workers, 20 proxies",
            _said(data, "drain in force (before)"),
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
            "**not known**" if took is None else amount(took, "s"),
            "" if took is None else number(took / IN_FORCE),
            source,
        ]
        for hop, note, took, source in hops
    ]
    return table(("hop", "what it is", "time", "of the 6 s", "from"), rows)


def _said(data: Data, key: str, times: float = 1.0, **sizes: float) -> float | None:
    return value(data, Row("", "", "", "time", "s", (part(key, times, **sizes),), ""))


COMPARED = ("second", "turn", "longest", "dearest", "change", "memory")


def texts(data: Data) -> str:
    """The decision module's texts beside each other, as measured at each size; of one alone if
    there is but one.
    """
    found = {
        text: data.series[f"module-{text}"] for text in TEXTS if f"module-{text}" in data.series
    }
    units = {field: "bytes" if field == "memory" else "s" for field in COMPARED}
    rows = []
    before = found.get("before")
    for point in (*before["points"], *before["held"]) if before else ():
        sizes = {name: point[name] for name in ("workers", "products", "proxies", "reports")}
        cells = [number(size) for size in sizes.values()]
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
        for field in COMPARED:
            cells.append(
                ", ".join(
                    "not played"
                    if row is None
                    else amount(
                        row[field]
                        * (
                            data.quickest / row.get("pace", data.quickest)
                            if units[field] == "s"
                            else 1.0
                        ),
                        units[field],
                    )
                    for row in others
                )
            )
        rows.append(cells)
    head = (f"{field} ({', '.join(found)})" for field in COMPARED)
    return table(("workers", "products", "proxies", "reports/s", *head), rows)


SETTLED = ("messages", "bytes")


def settled(data: Data) -> str:
    """Members that have long known each other from the start of a play, beside those that truly
    joined.
    """
    rows = []
    ours, true = (
        {
            row["members"]: row
            for kind in ("points", "held")
            for row in data.series.get(name, {}).get(kind, ())
        }
        for name in ("members", "joined")
    )
    for size, joined in true.items():
        cells = (
            [
                f"{amount(ours[size][field], unit)}, {amount(joined[field], unit)}, "
                f"{ours[size][field] / joined[field] - 1:+.0%}"
                for field, unit in zip(SETTLED, ("", "bytes"), strict=True)
            ]
            if size in ours
            else []
        )
        rows.append([number(size), *cells])
    return table(
        ("members", *(f"{field}: settled, joined a minute ago, off" for field in SETTLED)), rows
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
    """What is built first, and what next, with their figures."""
    entries = {entry.what: entry for entry in (*MANAGER_ROWS, *SIDES_ROWS)}
    return table(
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
        [[turn, *figure_row(data, entries[what])] for turn, what in CHOSEN],
    )


def most(times: Mapping[str, Any] | float | None) -> str:
    """The most of a time that a run recorded, or the time itself; nothing where it was not met."""
    found = times.get("most") if isinstance(times, Mapping) else times
    return amount(found, "s") if found else ""


def rig(data: Data) -> str:
    """What hollow and real managers took on loopback, run by run. What is not valid is told, and
    counts for nothing.
    """
    rows = []
    for run in data.runs.values():
        sizes, times, truth, roles = run["sizes"], run["times"], run["truth"], run["roles"]
        cells = [
            run["scenario"],
            f"{sizes['real']} + {sizes['hollow']}",
            number(sizes["workers"]),
            f"{run['clock']:g}",
        ]
        for kind in ("real", "hollow"):
            role = roles.get(kind)
            cells.append(
                ""
                if role is None
                else ", ".join(
                    (
                        amount(role["control_cpu_share_per_member"], "s"),
                        amount(role["per_member_s"]["bytes_out"], "bytes"),
                        amount(role["rss_mb_per_member"] * 1e6, "bytes"),
                    )
                )
            )
        cells += [
            most(times.get(key))
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
    return table(
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
    "six": six,
    "rig": rig,
    "texts": texts,
    "played": played,
}


class PageError(ValueError):
    """The page lacks a table's markers, or has one that nobody makes."""


def render(text: str, data: Data) -> str:
    """The page with its tables as the data has them. Raises PageFault."""
    names = [found.group(2) for found in MARKED.finditer(text)]
    if sorted(names) != sorted(TABLES):
        raise PageError(
            f"its tables are {', '.join(sorted(names))}; those made are {', '.join(sorted(TABLES))}"
        )
    return MARKED.sub(
        lambda found: found.group(1) + TABLES[found.group(2)](data) + found.group(3), text
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    text = PAGE.read_text()
    made = render(text, Data())
    if parser.parse_args().check:
        sys.exit(
            "docs/CAPACITY.md is not what the data says; run python -m bench.scale.page"
            if made != text
            else 0
        )
    PAGE.write_text(made)


if __name__ == "__main__":
    main()
