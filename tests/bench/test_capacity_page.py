"""The capacity page: its tables match the measured data, and fits recover known coefficients."""

import json
import shutil
from pathlib import Path
from random import Random

import pytest

from bench.scale import page, slopes
from bench.scale.fit import FitError, fit, is_quadratic, relative_error, term_value
from dunlinlug.decision.events import Acknowledged

TERMS = ("1", "workers", "workers*products", "members*log2(members)")
COEFFICIENTS = {"1": 0.02, "workers": 3e-4, "workers*products": 2e-5, "members*log2(members)": 5e-3}


def generated_costs(seed: int, noise: float) -> list[dict[str, float]]:
    """Return costs by known coefficients with relative noise of this standard deviation."""
    rng = Random(seed)
    points = []
    for workers in (50, 200, 1000):
        for products in (1, 5, 40):
            for members in (4, 64):
                sizes = {
                    "workers": float(workers),
                    "products": float(products),
                    "members": float(members),
                }
                cost = sum(c * term_value(term, sizes) for term, c in COEFFICIENTS.items())
                points.append({**sizes, "y": cost * (1.0 + rng.gauss(0.0, noise))})
    return points


@pytest.fixture
def results(tmp_path: Path) -> Path:
    """A copy of the results, which a test may change."""
    for path in page.RESULTS.glob("*.json"):
        shutil.copy(path, tmp_path)
    return tmp_path


def scale_field(path: Path, kind: str, field: str, times: float, only: int | None = None) -> None:
    """Multiply a field of all rows, or of one row, by a factor."""
    whole = json.loads(path.read_text())
    for n, row in enumerate(whole[kind]):
        if field in row and only in (None, n):
            row[field] *= times
    path.write_text(json.dumps(whole))


def rows_of(data: page.Data, series: str) -> list[str]:
    """Return the rows of the page's tables that depend on a series."""
    rows = [
        " | ".join(page.slope_cells(key, found))
        for key, slope in page.SLOPES.items()
        if slope.series == series and (found := data.fitted(key)) is not None
    ]
    return [*rows, page.module_versions(data), page.settled(data)]


# The fit.


def test_fit_recovers_known_coefficients_without_noise() -> None:
    found = fit(generated_costs(1, 0.0), TERMS)
    assert dict(zip(found.terms, found.coefficients, strict=True)) == pytest.approx(
        COEFFICIENTS, rel=1e-6
    )
    assert found.spread == pytest.approx(0.0, abs=1e-9)


def test_coefficients_lie_within_their_errors_and_the_spread_equals_the_noise() -> None:
    """In a hundred fits each coefficient lies within two standard errors about 95 times."""
    within, spreads = [0] * len(TERMS), []
    for seed in range(100):
        found = fit(generated_costs(seed, 0.05), TERMS)
        assert found.terms == TERMS
        spreads.append(found.spread)
        for n, term in enumerate(TERMS):
            within[n] += abs(found.coefficients[n] - COEFFICIENTS[term]) <= 2 * found.errors[n]
    assert all(85 <= hits < 100 for hits in within)
    assert sum(spreads) / len(spreads) == pytest.approx(0.05, rel=0.15)


def test_a_held_out_size_is_predicted_from_smaller_sizes_and_its_error_has_a_sign() -> None:
    sizes = {"workers": 5000.0, "products": 270.0, "members": 940.0}
    cost = sum(c * term_value(term, sizes) for term, c in COEFFICIENTS.items())
    found = fit(generated_costs(3, 0.02), TERMS)
    assert abs(relative_error(found, {**sizes, "y": cost})) < 0.1
    assert relative_error(found, {**sizes, "y": cost / 2}) > 0.8
    assert relative_error(found, {**sizes, "y": cost * 2}) < -0.4


def test_a_missing_product_term_shows_in_the_spread_and_at_the_held_out_size() -> None:
    found = fit(generated_costs(3, 0.0), ("1", "workers", "members*log2(members)"))
    sizes = {"workers": 5000.0, "products": 270.0, "members": 940.0}
    cost = sum(c * term_value(term, sizes) for term, c in COEFFICIENTS.items())
    assert found.spread > 0.2
    assert relative_error(found, {**sizes, "y": cost}) < -page.MAX_HELD_OUT_ERROR


def test_a_term_with_a_negative_coefficient_is_left_out() -> None:
    points = [{"workers": float(n), "y": 1e-3 * n - 0.01} for n in (50, 100, 200, 400)]
    found = fit(points, ("1", "workers"))
    assert found.terms == ("workers",)
    assert found.spread > 0.0


@pytest.mark.parametrize(
    ("points", "terms", "why"),
    [
        ([{"workers": 1.0, "y": 1.0}], ("1", "workers"), "too few"),
        ([{"workers": 1.0, "y": 1.0}, {"workers": 1.0, "y": 2.0}], ("1", "workers"), "do not vary"),
        ([{"workers": 1.0, "y": 0.0}, {"workers": 2.0, "y": 1.0}], ("1",), "above 0"),
        ([{"workers": 1.0, "y": 1.0}], ("members",), "members, which is not among"),
    ],
)
def test_points_that_cannot_be_fitted_are_rejected_with_the_reason(
    points: list[dict[str, float]], terms: tuple[str, ...], why: str
) -> None:
    with pytest.raises(FitError, match=why):
        fit(points, terms)


def test_only_products_of_sizes_and_squares_are_quadratic() -> None:
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


def test_the_page_matches_the_data() -> None:
    text = page.PAGE.read_text()
    assert page.render(text, page.Data()) == text, "run python -m bench.scale.page"


@pytest.mark.parametrize("name", sorted(path.name for path in page.RESULTS.glob("slope-*.json")))
def test_a_changed_figure_of_any_series_changes_the_page(results: Path, name: str) -> None:
    """The page depends on each fitted or held-out field, and on each row of one of the fields."""
    series = name.removeprefix("slope-").removesuffix(".json")
    fields = {slope.field: None for slope in page.SLOPES.values() if slope.series == series}
    compared_fields = (
        page.COMPARED_FIELDS
        if series.startswith("module-")
        else page.SETTLED_FIELDS
        if series == "joined"
        else ()
    )
    fields |= dict.fromkeys(compared_fields)
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
    before, shown = (
        rows_of(data, series),
        page.slopes(data) + page.module_versions(data) + page.settled(data),
    )
    assert all(row in shown for row in before)
    for kind, field, only in tried:
        scale_field(results / name, kind, field, 1.2, only)
        assert rows_of(page.Data(results), series) != before, f"{kind}, {field}, {only}"
        shutil.copy(page.RESULTS / name, results)
    scale_field(results / name, *tried[0][:2], 1.2)
    text = page.PAGE.read_text()
    assert page.render(text, page.Data(results)) != text


@pytest.mark.parametrize(
    "name",
    sorted(path.name for path in page.RESULTS.glob("*.json") if not path.name.startswith("slope-")),
)
def test_a_changed_figure_of_a_run_changes_the_page(results: Path, name: str) -> None:
    run = json.loads((results / name).read_text())
    run["roles"]["real"]["per_member_s"]["bytes_out"] *= 1.2
    (results / name).write_text(json.dumps(run))
    text = page.PAGE.read_text()
    assert page.render(text, page.Data(results)) != text


def test_a_cost_measured_at_half_the_pace_counts_half_and_bytes_are_not_scaled(
    results: Path,
) -> None:
    for series, field, key in (("guard", "cpu", "guard CPU"), ("table", "bytes", "table bytes")):
        path, quickest = results / f"slope-{series}.json", page.Data(results).best_pace
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


def test_without_a_series_only_its_figures_are_not_known(results: Path) -> None:
    before = page.role(page.Data(), page.MANAGER_ROWS).splitlines()
    for path in results.glob("slope-host.json"):
        path.unlink()
    after = page.role(page.Data(results), page.MANAGER_ROWS).splitlines()
    moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
    assert moved
    assert all("**not known**" in new and "fleet/members" in new for _, new in moved)
    unknown = [sum("**not known**" in line for line in lines) for lines in (before, after)]
    assert unknown[1] == unknown[0] + len(moved)


def test_a_slope_that_missed_a_held_out_size_is_not_extrapolated(
    results: Path,
) -> None:
    entry = page.figure("", "", "", "bytes", (page.contribution("log leader bytes"),), "")
    assert page.figure_value(page.Data(), entry) is not None
    assert page.SIZES["members"] > max(
        point["members"] for point in page.Data().series["owner"]["held"]
    )
    scale_field(results / "slope-owner.json", "held", "leader_bytes", 1.5)
    data = page.Data(results)
    assert page.figure_value(data, entry) is None
    assert "missed a held-out size by" in page.unknown_reason(data, entry)
    near = page.figure("", "", "", "bytes", (page.contribution("log leader bytes", members=4),), "")
    assert page.figure_value(data, near) is not None
    assert "far off" in page.describe_error(data, near)


def test_a_measured_size_uses_the_measurement_instead_of_the_prediction(
    results: Path,
) -> None:
    entry = page.figure("", "", "", "CPU", (page.contribution("own looks CPU"),), "")
    path = results / "slope-host.json"
    scale_field(path, "held", "cpu", 50.0, only=1)
    played = json.loads(path.read_text())["held"][1]
    assert (played["members"], played["workers"]) == (page.MANAGERS, page.WORKERS)
    data = page.Data(results)
    found = data.fitted("own looks CPU")
    assert found is not None and page.figure_value(data, entry) == found.held_out[1]["y"]
    assert page.figure_value(data, entry) > 10 * found.model.at(page.SIZES)
    assert "played at this size" in page.describe_error(data, entry)


def test_a_second_version_of_the_module_is_shown_only_if_it_was_measured(
    results: Path,
) -> None:
    before, after = results / "slope-module-before.json", results / "slope-module-after.json"
    after.unlink(missing_ok=True)
    alone = page.Data(results)
    assert not any(
        "text after" in line for line in page.role(alone, page.MANAGER_ROWS).splitlines()
    )
    assert "(before)" in page.module_versions(alone) and "after" not in page.module_versions(alone)
    shutil.copy(before, after)
    for kind in ("points", "held"):
        scale_field(after, kind, "second", 0.01)
    both = page.Data(results)
    first, second = (
        page.figure_value(both, row)
        for row in (*page.module_rows("before"), *page.module_rows("after"))
        if "the module's turns, 2 products" in row.what
    )
    assert second == pytest.approx(first * 0.01)
    assert any("text after" in line for line in page.role(both, page.MANAGER_ROWS).splitlines())
    assert "second (before, after)" in page.module_versions(both)


def test_a_page_without_a_table_is_rejected() -> None:
    with pytest.raises(page.PageError, match="ranking"):
        page.render(page.PAGE.read_text().replace("<!-- table ranking -->", ""), page.Data())


def test_each_figure_names_its_mechanism_and_each_mechanism_is_an_existing_file() -> None:
    for row in (*page.MANAGER_ROWS, *page.OTHER_ROWS):
        assert row.contributions or row.unknown_because, row.what
        for name in row.mechanism.replace("`", "").split(", ") if row.contributions else ():
            known = list((page.PAGE.parents[1] / "dunlinlug").rglob(name.rpartition("/")[2]))
            assert known or name == "the process", f"{row.what}: {name}"


def test_the_rows_only_use_defined_slopes() -> None:
    used = {
        key for row in (*page.MANAGER_ROWS, *page.OTHER_ROWS) for _, key, _ in row.contributions
    }
    assert used <= page.SLOPES.keys()
    assert (
        page.CHANGES_PER_SECOND * page.DAY_SECONDS
        == page.CHANGES_PER_DAY + page.FAILURES_PER_DAY + page.RESTARTS_PER_DAY
    )


# The simulations, checked by counts: times depend on the machine.


def test_settled_members_stay_settled_and_send_only_probes_and_broadcasts() -> None:
    """Without loss: a ping and an ack per probe interval and member, and broadcasts each second."""
    size, span = 12, 10.0
    net = slopes.SealedNetwork(1, loss=0.0)
    net.start_settled(size)
    found = slopes.measure_steady_state(net, size, span)
    assert net.views_agree() and not net.observed_changes
    assert found["probes_messages"] == pytest.approx(2 / slopes.PROBE_INTERVAL_SECONDS, rel=0.03)
    assert found["facts_messages"] == pytest.approx(size - 1, rel=0.15)
    assert 0 < found["exchange_messages"] < 0.4
    assert found["bytes"] == pytest.approx(
        sum(found[f"{kind}_bytes"] for kind in ("probes", "facts", "exchange"))
    )


def test_a_drain_is_in_force_once_every_proxy_that_got_it_has_acknowledged_it() -> None:
    fleet = slopes.SizedFleet(slopes.sizes(workers=60, proxies=6, reports=20))
    fleet.run(slopes.END_SECONDS)
    assert fleet.drain_seconds and not fleet.pending_drains
    # No acknowledgement arrives before the round trip.
    assert min(fleet.drain_seconds) > slopes.decision_loop_cost.TRANSIT_SECONDS / 2
    late = fleet.drain_seconds[:]
    fleet.pending_drains[65001] = 1.0, {1, 2}
    fleet.record_acknowledgements(3.0, [Acknowledged(1, 65001, 0.2)])
    assert fleet.drain_seconds == late
    fleet.record_acknowledgements(4.0, [Acknowledged(2, 65001, 0.2)])
    assert fleet.drain_seconds == [*late, 3.0]


def test_held_out_sizes_lie_beyond_the_fitted_sizes() -> None:
    for name, series in slopes.SERIES.items():
        for case in series.held_out:
            assert case not in series.points
            assert (
                any(case[size] > max(point[size] for point in series.points) for size in case)
                or name == "module"
            ), (name, case)


def test_a_death_counts_until_the_last_survivor_reports_it() -> None:
    net = slopes.SealedNetwork(2, loss=0.0)
    net.start_settled(9)
    net.run(1.0)
    dead = slopes.member_name(8)
    net.kill(dead)
    net.run(6.0)
    took = slopes.detection_seconds(net, 1.0, {dead: 1.0}, "failed")
    detected = [seen.at - 1.0 for seen in net.observed_changes if seen.after == "failed"]
    assert len({seen.observer for seen in net.observed_changes if seen.after == "failed"}) == 8
    assert took == [max(detected)] and took[0] < 3.0
