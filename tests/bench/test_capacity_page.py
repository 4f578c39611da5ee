"""The capacity page says what the runs measured: its tables come from their data, its fits from a
code that is tried on costs whose coefficients are known.
"""

import json
import shutil
from pathlib import Path
from random import Random

import pytest

from bench.scale import page, slopes
from bench.scale.fit import FitError, fit, is_quadratic, off, value
from dunlinlug.decision.events import Acknowledged

TERMS = ("1", "workers", "workers*products", "members*log2(members)")
KNOWN = {"1": 0.02, "workers": 3e-4, "workers*products": 2e-5, "members*log2(members)": 5e-3}


def generated(seed: int, noise: float) -> list[dict[str, float]]:
    """Costs by known coefficients, each off by a part drawn from `noise`."""
    chance = Random(seed)
    points = []
    for workers in (50, 200, 1000):
        for products in (1, 5, 40):
            for members in (4, 64):
                sizes = {
                    "workers": float(workers),
                    "products": float(products),
                    "members": float(members),
                }
                cost = sum(c * value(term, sizes) for term, c in KNOWN.items())
                points.append({**sizes, "y": cost * (1.0 + chance.gauss(0.0, noise))})
    return points


@pytest.fixture
def results(tmp_path: Path) -> Path:
    """A copy of the runs' data, which a test may change."""
    for path in page.RESULTS.glob("*.json"):
        shutil.copy(path, tmp_path)
    return tmp_path


def changed(path: Path, kind: str, field: str, times: float, only: int | None = None) -> None:
    """One figure of all rows, or of one."""
    whole = json.loads(path.read_text())
    for n, row in enumerate(whole[kind]):
        if field in row and only in (None, n):
            row[field] *= times
    path.write_text(json.dumps(whole))


def rows_of(data: page.Data, series: str) -> list[str]:
    """What the page's tables of measurements say of a series; they hold each of these rows as it
    is.
    """
    rows = [
        " | ".join(page.slope_row(key, found))
        for key, slope in page.SLOPES.items()
        if slope.series == series and (found := data.fitted(key)) is not None
    ]
    return [*rows, page.texts(data), page.settled(data)]


# The fit.


def test_known_coefficients_are_found_again_without_noise() -> None:
    found = fit(generated(1, 0.0), TERMS)
    assert dict(zip(found.terms, found.coefficients, strict=True)) == pytest.approx(KNOWN, rel=1e-6)
    assert found.spread == pytest.approx(0.0, abs=1e-9)


def test_with_noise_they_lie_within_the_error_that_is_told_and_the_spread_is_the_noise() -> None:
    """Of a hundred fits each coefficient lies within two standard errors as often as that promises,
    and not always.
    """
    within, spreads = [0] * len(TERMS), []
    for seed in range(100):
        found = fit(generated(seed, 0.05), TERMS)
        assert found.terms == TERMS
        spreads.append(found.spread)
        for n, term in enumerate(TERMS):
            within[n] += abs(found.coefficients[n] - KNOWN[term]) <= 2 * found.errors[n]
    assert all(85 <= hits < 100 for hits in within)
    assert sum(spreads) / len(spreads) == pytest.approx(0.05, rel=0.15)


def test_a_held_out_size_is_predicted_by_what_lies_below_it_and_its_distance_has_a_sign() -> None:
    sizes = {"workers": 5000.0, "products": 270.0, "members": 940.0}
    cost = sum(c * value(term, sizes) for term, c in KNOWN.items())
    found = fit(generated(3, 0.02), TERMS)
    assert abs(off(found, {**sizes, "y": cost})) < 0.1
    assert off(found, {**sizes, "y": cost / 2}) > 0.8
    assert off(found, {**sizes, "y": cost * 2}) < -0.4


def test_a_product_that_is_there_and_left_out_of_the_terms_shows_in_spread_and_held_out_size() -> (
    None
):
    found = fit(generated(3, 0.0), ("1", "workers", "members*log2(members)"))
    sizes = {"workers": 5000.0, "products": 270.0, "members": 940.0}
    cost = sum(c * value(term, sizes) for term, c in KNOWN.items())
    assert found.spread > 0.2
    assert off(found, {**sizes, "y": cost}) < -page.FAR


def test_a_term_that_would_cost_less_than_nothing_is_left_out() -> None:
    points = [{"workers": float(n), "y": 1e-3 * n - 0.01} for n in (50, 100, 200, 400)]
    found = fit(points, ("1", "workers"))
    assert found.terms == ("workers",)
    assert found.spread > 0.0


@pytest.mark.parametrize(
    ("points", "terms", "why"),
    [
        ([{"workers": 1.0, "y": 1.0}], ("1", "workers"), "do not fit"),
        ([{"workers": 1.0, "y": 1.0}, {"workers": 1.0, "y": 2.0}], ("1", "workers"), "do not vary"),
        ([{"workers": 1.0, "y": 0.0}, {"workers": 2.0, "y": 1.0}], ("1",), "above 0"),
        ([{"workers": 1.0, "y": 1.0}], ("members",), "members is not among"),
    ],
)
def test_what_no_fit_can_be_made_of_is_refused_with_the_cause(
    points: list[dict[str, float]], terms: tuple[str, ...], why: str
) -> None:
    with pytest.raises(FitError, match=why):
        fit(points, terms)


def test_products_of_sizes_and_squares_are_quadratic_and_nothing_else_is() -> None:
    assert [
        term
        for term in (
            "1",
            "workers",
            "workers*products",
            "members^2",
            "log2(members)",
            "members*log2(members)",
        )
        if is_quadratic(term)
    ] == ["workers*products", "members^2"]


# The page.


def test_the_page_is_what_the_data_says() -> None:
    text = page.PAGE.read_text()
    assert page.render(text, page.Data()) == text, "run python -m bench.scale.page"


@pytest.mark.parametrize("name", sorted(path.name for path in page.RESULTS.glob("slope-*.json")))
def test_a_changed_figure_of_any_series_is_seen(results: Path, name: str) -> None:
    """Each figure that a slope is fitted to or held against is on the page, and each row of one of
    them.
    """
    series = name.removeprefix("slope-").removesuffix(".json")
    fields = {slope.field: None for slope in page.SLOPES.values() if slope.series == series}
    beside = (
        page.COMPARED
        if series.startswith("module-")
        else page.SETTLED
        if series == "joined"
        else ()
    )
    fields |= dict.fromkeys(beside)
    whole = json.loads((results / name).read_text())
    kinds = [kind for kind in ("points", "held") if whole[kind]]
    tried: list[tuple[str, str, int | None]] = [
        (kind, field, None)
        for kind in kinds
        for field in fields
        if any(field in row for row in whole[kind])
    ]
    tried += [(kind, next(iter(fields)), n) for kind in kinds for n in range(len(whole[kind]))]
    assert len(tried) > 1
    data = page.Data(results)
    before, shown = rows_of(data, series), page.slopes(data) + page.texts(data) + page.settled(data)
    assert all(row in shown for row in before)
    for kind, field, only in tried:
        changed(results / name, kind, field, 1.2, only)
        assert rows_of(page.Data(results), series) != before, f"{kind}, {field}, {only}"
        shutil.copy(page.RESULTS / name, results)
    changed(results / name, *tried[0][:2], 1.2)
    text = page.PAGE.read_text()
    assert page.render(text, page.Data(results)) != text


@pytest.mark.parametrize(
    "name",
    sorted(path.name for path in page.RESULTS.glob("*.json") if not path.name.startswith("slope-")),
)
def test_a_changed_figure_of_a_run_is_seen(results: Path, name: str) -> None:
    run = json.loads((results / name).read_text())
    run["roles"]["real"]["per_member_s"]["bytes_out"] *= 1.2
    (results / name).write_text(json.dumps(run))
    text = page.PAGE.read_text()
    assert page.render(text, page.Data(results)) != text


def test_a_cost_met_at_half_the_pace_counts_half_and_bytes_count_whole(results: Path) -> None:
    for series, field, key in (("guard", "cpu", "guard CPU"), ("table", "bytes", "table bytes")):
        path, quickest = results / f"slope-{series}.json", page.Data(results).quickest
        whole = json.loads(path.read_text())
        rows = [*whole["points"], *whole["held"]]
        for row in rows:
            row["pace"] = quickest
        path.write_text(json.dumps(whole))
        before = page.Data(results).fitted(key)
        for row in rows[::2]:
            row["pace"], row[field] = 2 * quickest, row[field] * (2 if field == "cpu" else 1)
        path.write_text(json.dumps(whole))
        after = page.Data(results).fitted(key)
        assert before is not None and after is not None
        assert after.model.coefficients == pytest.approx(before.model.coefficients)


def test_without_a_series_its_figures_are_not_known_and_the_others_stand(results: Path) -> None:
    before = page.role(page.Data(), page.MANAGER_ROWS).splitlines()
    for path in results.glob("slope-host.json"):
        path.unlink()
    after = page.role(page.Data(results), page.MANAGER_ROWS).splitlines()
    moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
    assert moved
    assert all("**not known**" in new and "fleet/members" in new for _, new in moved)
    unknown = [sum("**not known**" in line for line in lines) for lines in (before, after)]
    assert unknown[1] == unknown[0] + len(moved)


def test_a_slope_that_missed_a_held_out_size_carries_no_figure_beyond_what_was_played(
    results: Path,
) -> None:
    entry = page.row("", "", "", "bytes", (page.part("log leader bytes"),), "")
    assert page.value(page.Data(), entry) is not None
    assert page.SIZES["members"] > max(
        point["members"] for point in page.Data().series["owner"]["held"]
    )
    changed(results / "slope-owner.json", "held", "leader_bytes", 1.5)
    data = page.Data(results)
    assert page.value(data, entry) is None
    assert "missed a held-out size by" in page.because(data, entry)
    near = page.row("", "", "", "bytes", (page.part("log leader bytes", members=4),), "")
    assert page.value(data, near) is not None
    assert "far off" in page.trust(data, near)


def test_a_size_that_was_played_itself_counts_as_measured_and_not_as_predicted(
    results: Path,
) -> None:
    entry = page.row("", "", "", "CPU", (page.part("own looks CPU"),), "")
    path = results / "slope-host.json"
    changed(path, "held", "cpu", 50.0, only=1)
    played = json.loads(path.read_text())["held"][1]
    assert (played["members"], played["workers"]) == (page.MANAGERS, page.WORKERS)
    data = page.Data(results)
    found = data.fitted("own looks CPU")
    assert found is not None and page.value(data, entry) == found.held[1]["y"]
    assert page.value(data, entry) > 10 * found.model.at(page.SIZES)
    assert "played at this size" in page.trust(data, entry)


def test_a_second_text_of_the_module_stands_beside_the_first_where_it_was_measured(
    results: Path,
) -> None:
    before, after = results / "slope-module-before.json", results / "slope-module-after.json"
    after.unlink(missing_ok=True)
    alone = page.Data(results)
    assert not any(
        "text after" in line for line in page.role(alone, page.MANAGER_ROWS).splitlines()
    )
    assert "(before)" in page.texts(alone) and "after" not in page.texts(alone)
    shutil.copy(before, after)
    for kind in ("points", "held"):
        changed(after, kind, "second", 0.01)
    both = page.Data(results)
    first, second = (
        page.value(both, row)
        for row in (*page.module_rows("before"), *page.module_rows("after"))
        if "the module's turns, 2 products" in row.what
    )
    assert second == pytest.approx(first * 0.01)
    assert any("text after" in line for line in page.role(both, page.MANAGER_ROWS).splitlines())
    assert "second (before, after)" in page.texts(both)


def test_a_page_that_lacks_a_table_is_refused() -> None:
    with pytest.raises(page.PageError, match="ranking"):
        page.render(page.PAGE.read_text().replace("<!-- table ranking -->", ""), page.Data())


def test_each_figure_names_its_mechanism_and_each_mechanism_is_a_file() -> None:
    for row in (*page.MANAGER_ROWS, *page.SIDES_ROWS):
        assert row.parts or row.why, row.what
        for name in row.mechanism.replace("`", "").split(", ") if row.parts else ():
            known = list((page.PAGE.parents[1] / "dunlinlug").rglob(name.rpartition("/")[2]))
            assert known or name == "the process", f"{row.what}: {name}"


def test_the_rows_reach_no_slope_that_is_not_defined() -> None:
    used = {key for row in (*page.MANAGER_ROWS, *page.SIDES_ROWS) for _, key, _ in row.parts}
    assert used <= page.SLOPES.keys()
    assert page.EVERY_CHANGE * page.DAY == page.CHANGES + page.FAILURES + page.RESTARTS


# What is played. Costs are counts here: times are the machine's.


def test_members_settled_from_the_start_stay_so_and_speak_no_more_than_the_beat_asks() -> None:
    """Without loss nothing is news: a ping and an answer a beat and member, facts to each other one
    each second.
    """
    size, span = 12, 10.0
    net = slopes.SealedNetwork(1, loss=0.0)
    net.settled(size)
    found = slopes.steady(net, size, span)
    assert net.views_agree() and not net.observed_changes
    assert found["probes_messages"] == pytest.approx(2 / slopes.BEAT, rel=0.03)
    assert found["facts_messages"] == pytest.approx(size - 1, rel=0.15)
    assert 0 < found["exchange_messages"] < 0.4
    assert found["bytes"] == pytest.approx(
        sum(found[f"{kind}_bytes"] for kind in ("probes", "facts", "exchange"))
    )


def test_a_drain_counts_as_in_force_once_each_proxy_that_was_told_has_answered() -> None:
    fleet = slopes.Sized(slopes.sizes(workers=60, proxies=6, reports=20))
    fleet.run(slopes.END)
    assert fleet.in_force and not fleet.withdrawn
    assert (
        min(fleet.in_force) > slopes.bench_loop.TRANSIT / 2
    )  # no answer comes before the way there and back
    late = fleet.in_force[:]
    fleet.withdrawn[65001] = 1.0, {1, 2}
    fleet.answers(3.0, [Acknowledged(1, 65001, 0.2)])
    assert fleet.in_force == late
    fleet.answers(4.0, [Acknowledged(2, 65001, 0.2)])
    assert fleet.in_force == [*late, 3.0]


def test_what_is_played_has_held_out_sizes_beyond_those_that_are_fitted() -> None:
    for name, series in slopes.SERIES.items():
        for case in series.held:
            assert case not in series.points
            assert (
                any(case[size] > max(point[size] for point in series.points) for size in case)
                or name == "module"
            ), (name, case)


def test_a_death_counts_until_the_last_that_was_there_all_the_while_says_so() -> None:
    net = slopes.SealedNetwork(2, loss=0.0)
    net.settled(9)
    net.run(1.0)
    dead = slopes.name_of(8)
    net.kill(dead)
    net.run(6.0)
    took = slopes.last_knows(net, 1.0, {dead: 1.0}, "failed")
    says = [seen.at - 1.0 for seen in net.observed_changes if seen.after == "failed"]
    assert len({seen.observer for seen in net.observed_changes if seen.after == "failed"}) == 8
    assert took == [max(says)] and took[0] < 3.0
