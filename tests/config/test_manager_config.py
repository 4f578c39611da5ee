"""Errors in INI files name the file, the line, the key and what is expected."""

from pathlib import Path

import attrs
import pytest

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError, ini_key, load_config
from dunlinlug.config.units import Seconds

SCENARIO_TEXT = (Path(__file__).parents[2] / "days" / "first.ini").read_text()
MANAGER_SECTIONS = {*manager_config.SECTIONS, *manager_config.NAMED_SECTIONS}


def manager_file(tmp_path: Path, *changes: tuple[str, str]) -> Path:
    """Write a manager's file: a scenario's sections for managers, with texts replaced."""
    blocks = [block for block in SCENARIO_TEXT.split("\n\n") if block.strip("# \n").startswith("[")]
    text = "\n\n".join(
        block
        for block in blocks
        if block.split("[", 1)[1].split("]")[0].split()[0] in MANAGER_SECTIONS
    )
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "manager.ini"
    path.write_text(text + "\n")
    return path


def error_of(path: Path) -> str:
    """Return the text of the error that a file causes, which must be one line."""
    with pytest.raises(ConfigError) as caught:
        manager_config.load_manager_config(path)
    text = str(caught.value)
    assert "\n" not in text
    return text


def test_a_valid_file_gives_the_settings(tmp_path: Path) -> None:
    settings = manager_config.manager_settings(
        manager_config.load_manager_config(manager_file(tmp_path))
    )
    names = [traffic_class.name for traffic_class in settings.traffic_classes]
    assert names == ["ticket-read", "press-book"]
    assert settings.channel.transit_time == pytest.approx(0.02)
    assert settings.channel.entries_per_second == 1200.0
    assert settings.safety_limits.initial_capacity_fraction == 0.3
    assert settings.traffic_classes[1].deduplication_window == 1.2


@pytest.mark.parametrize(
    ("old", "new", "key", "message"),
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
def test_an_error_names_the_line_and_key(
    tmp_path: Path, old: str, new: str, key: str, message: str
) -> None:
    path = manager_file(tmp_path, (old, new))
    lines = path.read_text().splitlines()
    line = next(number for number, text in enumerate(lines, 1) if text.startswith(new))
    error = error_of(path)
    assert error.startswith(f"{path}:{line}: ")
    assert key in error
    assert message in error


@pytest.mark.parametrize(
    "change",
    [
        ("bare = 4s\n", ""),
        ("bare = 4s\n", "bare = 4s\nbare = 5s\n"),
        ("deadline = 2s", "deadline = 2ms"),
    ],
)
def test_missing_duplicate_and_contradictory_keys_are_errors(
    tmp_path: Path, change: tuple[str, str]
) -> None:
    assert "manager.ini:" in error_of(manager_file(tmp_path, change))


def test_a_file_that_cannot_be_read_is_an_error(tmp_path: Path) -> None:
    assert "cannot be read" in error_of(tmp_path / "none.ini")


MEMBER_A = "[member a]\npeers = 127.0.0.1:1\nserves = 127.0.0.1:2\nknows = 127.0.0.1:3\n"


@pytest.mark.parametrize(
    ("membership", "other_sections", "message"),
    [
        ("me = x\nkey_file = k", MEMBER_A, "no [member x]"),
        (
            "me = a\nkey_file = k",
            MEMBER_A.replace("knows = 127.0.0.1:3\n", ""),
            "needs an address of its own",
        ),
        ("me = a", MEMBER_A, "has none either"),
        ("me = a\nkey_file = k\nbeat = 1ms", MEMBER_A, "beat is to be from 20ms"),
        (
            "me = a\nkey_file = k",
            f"{MEMBER_A}"
            "[member b]\npeers = 127.0.0.1:4\nserves = 127.0.0.1:5\nknows = 127.0.0.1:6\n"
            "[succession]\nmember = b\nkey_file = k",
            "one manager has one name",
        ),
    ],
)
def test_each_membership_error_has_its_own_message(
    tmp_path: Path, membership: str, other_sections: str, message: str
) -> None:
    sections = f"[members]\n{membership}\n\n{other_sections}\n\n[roster]"
    assert message in error_of(manager_file(tmp_path, ("[roster]", sections)))


@pytest.mark.parametrize(
    ("keys", "message"),
    [("on = yes", r"\[owner\] on: .* needs \[members\]"), ("beat = 500ms", "at most a third")],
)
def test_leases_need_members_and_room_for_a_lost_heartbeat(
    tmp_path: Path, keys: str, message: str
) -> None:
    path = manager_file(tmp_path, ("[roster]", f"[owner]\n{keys}\n\n[roster]"))
    with pytest.raises(ConfigError, match=message):
        manager_config.load_manager_config(path)


def test_an_election_needs_an_address_of_each_member_unless_there_is_membership(
    tmp_path: Path,
) -> None:
    member = MEMBER_A.replace("peers = 127.0.0.1:1\n", "")
    election = "[succession]\nmember = a\nkey_file = s\n"
    path = manager_file(tmp_path, ("[roster]", f"{member}\n{election}\n[roster]"))
    assert "[member a] peers: without [members]" in error_of(path)
    membership = "[members]\nme = a\n"
    path = manager_file(tmp_path, ("[roster]", f"{member}\n{election}\n{membership}\n[roster]"))
    manager_config.load_manager_config(path)


@pytest.mark.parametrize(("own_key", "key_file"), [("", "s"), ("key_file = m\n", "m")])
def test_members_use_the_elections_key_unless_they_have_their_own(
    tmp_path: Path, own_key: str, key_file: str
) -> None:
    path = manager_file(
        tmp_path,
        (
            "[roster]",
            f"[members]\nme = a\n{own_key}\n{MEMBER_A}\n[succession]\nmember = a\n"
            "key_file = s\n\n[roster]",
        ),
    )
    config = manager_config.load_manager_config(path)
    assert manager_config.member_key_file(config) == key_file


@attrs.frozen
class TimerConfig:
    """A section with a field whose name differs from its key."""

    interval: Seconds = attrs.field(metadata=ini_key("every"))


def test_a_field_s_name_may_differ_from_its_key(tmp_path: Path) -> None:
    path = tmp_path / "timer.ini"
    path.write_text("[timer]\nevery = 2s\n")
    config = load_config(path, {"timer": TimerConfig})
    assert config.section(TimerConfig).interval == 2.0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("interval = 2s", r"interval: unknown key; known are every"),
        ("", "key 'every' is missing"),
        ("every = 2", r"every: '2' is not a time"),
    ],
)
def test_an_error_names_the_key_and_not_the_field(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "timer.ini"
    path.write_text(f"[timer]\n{text}\n")
    with pytest.raises(ConfigError, match=message):
        load_config(path, {"timer": TimerConfig})
