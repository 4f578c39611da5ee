"""INI files: every mistake names file, line, key and what would be right."""

from pathlib import Path

import pytest

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError

GOOD = (Path(__file__).parents[2] / "days" / "first.ini").read_text()
OWN = {*manager_config.SECTIONS, *manager_config.NAMED_SECTIONS}


def manager_file(tmp_path: Path, *changes: tuple[str, str]) -> Path:
    blocks = [block for block in GOOD.split("\n\n") if block.strip("# \n").startswith("[")]
    text = "\n\n".join(
        block for block in blocks if block.split("[", 1)[1].split("]")[0].split()[0] in OWN
    )
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "manager.ini"
    path.write_text(text + "\n")
    return path


def test_a_good_file_gives_the_trade(tmp_path: Path) -> None:
    trade = manager_config.manager_settings(
        manager_config.load_manager_config(manager_file(tmp_path))
    )
    assert [product.name for product in trade.traffic_classes] == ["ticket-read", "press-book"]
    assert trade.channel.transit_time == pytest.approx(0.02)
    assert (
        trade.safety_limits.initial_capacity_fraction,
        trade.channel.entries_per_second,
        trade.traffic_classes[1].deduplication_window,
    ) == (
        0.3,
        1200.0,
        1.2,
    )


@pytest.mark.parametrize(
    ("old", "new", "key", "right"),
    [
        ("drain_grace = 3s", "drain_grace = 3", "drain_grace", "a time with its unit"),
        ("lines_per_s = 1200/s", "lines_per_s = 1200ms", "lines_per_s", "a rate, such as"),
        ("cold_share = 30%", "cold_share = 130%", "cold_share", "at most 100%"),
        ("drain_grace = 3s", "drain_grase = 3s", "drain_grase", "did you mean 'drain_grace'?"),
        (
            "repeats = referenced",
            "repeats = keyed",
            "repeats",
            "idempotent, referenced, non-idempotent",
        ),
        ("listen = 127.0.0.1:18000", "listen = 10.0.0.1:18000", "listen", "a loopback address"),
        ("allowed = yes", "allowed = maybe", "allowed", "yes or no"),
        ("[reports]", "[report]", "[report]", "did you mean 'reports'?"),
    ],
)
def test_a_mistake_is_named_with_its_line(
    tmp_path: Path, old: str, new: str, key: str, right: str
) -> None:
    path = manager_file(tmp_path, (old, new))
    line = next(
        n for n, text in enumerate(path.read_text().splitlines(), 1) if text.startswith(new)
    )
    with pytest.raises(ConfigError) as caught:
        manager_config.load_manager_config(path)
    said = str(caught.value)
    assert (
        said.startswith(f"{path}:{line}: ") and key in said and right in said and "\n" not in said
    )


def test_missing_and_double_and_unreadable_are_one_line_each(tmp_path: Path) -> None:
    for change in [
        ("bare = 4s\n", ""),
        ("bare = 4s\n", "bare = 4s\nbare = 5s\n"),
        ("deadline = 2s", "deadline = 2ms"),
    ]:
        with pytest.raises(ConfigError) as caught:
            manager_config.load_manager_config(manager_file(tmp_path, change))
        assert "\n" not in str(caught.value) and "manager.ini:" in str(caught.value)
    with pytest.raises(ConfigError, match="cannot be read"):
        manager_config.load_manager_config(tmp_path / "none.ini")


PLACE = "[member a]\npeers = 127.0.0.1:1\nserves = 127.0.0.1:2\nknows = 127.0.0.1:3\n"


@pytest.mark.parametrize(
    ("members", "section", "said"),
    [
        ("me = x\nkey_file = k", PLACE, "no [member x]"),
        (
            "me = a\nkey_file = k",
            PLACE.replace("knows = 127.0.0.1:3\n", ""),
            "needs an address of its own",
        ),
        ("me = a", PLACE, "has none either"),
        ("me = a\nkey_file = k\nbeat = 1ms", PLACE, "beat is to be from 20ms"),
        (
            "me = a\nkey_file = k",
            f"{PLACE}"
            "[member b]\npeers = 127.0.0.1:4\nserves = 127.0.0.1:5\nknows = 127.0.0.1:6\n"
            "[succession]\nmember = b\nkey_file = k",
            "one manager has one name",
        ),
    ],
)
def test_each_mistake_in_who_knows_whom_has_one_clear_message(
    tmp_path: Path, members: str, section: str, said: str
) -> None:
    path = manager_file(tmp_path, ("[roster]", f"[members]\n{members}\n\n{section}\n\n[roster]"))
    with pytest.raises(ConfigError) as found:
        manager_config.load_manager_config(path)
    assert said in str(found.value) and "\n" not in str(found.value)


def test_work_is_owned_among_members_alone(tmp_path: Path) -> None:
    for section, said in (
        ("on = yes", r"\[owner\] on: .* needs \[members\]"),
        ("beat = 500ms", "at most a third"),
    ):
        with pytest.raises(ConfigError, match=said):
            manager_config.load_manager_config(
                manager_file(tmp_path, ("[roster]", f"[owner]\n{section}\n\n[roster]"))
            )


def test_without_members_succession_needs_an_address_of_each_and_with_them_none(
    tmp_path: Path,
) -> None:
    place, own = (
        PLACE.replace("peers = 127.0.0.1:1\n", ""),
        "[succession]\nmember = a\nkey_file = s\n",
    )
    with pytest.raises(ConfigError, match=r"\[member a\] peers: without \[members\]"):
        manager_config.load_manager_config(
            manager_file(tmp_path, ("[roster]", f"{place}\n{own}\n[roster]"))
        )
    manager_config.load_manager_config(
        manager_file(tmp_path, ("[roster]", f"{place}\n{own}\n[members]\nme = a\n\n[roster]"))
    )


def test_managers_know_each_other_by_successions_key_unless_told_another(tmp_path: Path) -> None:
    for own, key in (("", "s"), ("key_file = m\n", "m")):
        path = manager_file(
            tmp_path,
            (
                "[roster]",
                f"[members]\nme = a\n{own}\n{PLACE}\n[succession]\nmember = a\n"
                "key_file = s\n\n[roster]",
            ),
        )
        assert manager_config.member_key_file(manager_config.load_manager_config(path)) == key
