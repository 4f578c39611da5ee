"""Records the values of every INI file in the repository, and the errors for broken files.

python -m tests.recorded.record_ini
"""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError
from dunlinlug.scenarios import schema as scenario_schema
from tests.recorded import sections
from tests.recorded.plain import ROOT, Plain, manager_settings, write_json

GOOD, BROKEN = "ini/good.json", "ini/broken.json"

READERS: dict[str, Callable[[Path], Plain]] = {
    "manager": sections.manager_file,
    "day": sections.day_file,
    "scenario": sections.scenario_file,
}

MEMBERS = """
[members]
me = a
key_file = keys

[member a]
serves = 127.0.0.1:18000
knows = 127.0.0.1:18100
"""

BASES = {
    "manager": "deploy/manager.ini",
    "day": "days/first.ini",
    "scenario": "bench/scale/scenarios/rack.ini",
}
OMITTED_SECTIONS = frozenset({"operators", "succession", "members", "member", "owner", "tls"})

# Kind of file, text that is replaced in its base file, and replacement; each makes one mistake.
MISTAKES: list[tuple[str, str, str]] = [
    ("manager", "drain_grace = 3s", "drain_grace = 3"),
    ("manager", "drain_grace = 3s", "drain_grace = -3s"),
    ("manager", "drain_grace = 3s", "drain_grase = 3s"),
    ("manager", "drain_grace = 3s", "# drain_grace = 3s"),
    ("manager", "drain_grace = 3s", "bare = 3s"),
    ("manager", "lines_per_s = 1200/s", "lines_per_s = 1200ms"),
    ("manager", "cold_share = 20%", "cold_share = 130%"),
    ("manager", "cold_share = 20%", "cold_share = a fifth"),
    ("manager", "message_lines = 4", "message_lines = 4.5"),
    ("manager", "fall_multiple = 3", "fall_multiple = x"),
    ("manager", "allowed = yes", "allowed = maybe"),
    ("manager", "mode = pushed", "mode = pulled"),
    ("manager", "log = auto", "log = loud"),
    ("manager", "admits = share", "admits = rate"),
    ("manager", "listen = 127.0.0.1:18000", "listen = 10.0.0.1:18000"),
    ("manager", "listen = 127.0.0.1:18000", "listen = 127.0.0.1:78000"),
    ("manager", "zone = north", "zzyzx = north"),
    ("manager", "[channel]", "[chanel]"),
    ("manager", "[channel]", "[zzyzx]"),
    ("manager", "[channel]", "[manager]"),
    ("manager", "[probes]", "[product]"),
    ("manager", "[manager]", "manager"),
    ("manager", "[reports]", "[succession]\nmember = a\n[reports]"),
    (
        "manager",
        "[reports]",
        "[succession]\nmember = a\nkey_file = k\n[reports]",
    ),
    (
        "manager",
        "[reports]",
        "[succession]\nmember = a\nkey_file = k\n[member a]\nserves = 127.0.0.1:1\n[reports]",
    ),
    ("manager", "[reports]", "[succession]\nbeat = 800ms\n[reports]"),
    ("manager", "[reports]", "[succession]\ndrift = 30%\n[reports]"),
    ("manager", "[reports]", "[owner]\nlease = 300ms\n[reports]"),
    ("manager", "[reports]", "[owner]\non = yes\n[reports]"),
    ("manager", "[reports]", "[members]\nbeat = 5ms\n[reports]"),
    ("manager", "[reports]", "[tls]\ncert = c\n[reports]"),
    ("manager", "[reports]", "[members]\nme = b\n[reports]"),
    (
        "manager",
        "[reports]",
        MEMBERS.replace("knows = 127.0.0.1:18100\n", "") + "[reports]",
    ),
    (
        "manager",
        "[reports]",
        MEMBERS.replace("key_file = keys\n", "") + "[reports]",
    ),
    (
        "manager",
        "[reports]",
        MEMBERS
        + "[succession]\nmember = b\nkey_file = k\n[member b]\nserves = 127.0.0.1:1\nknows = 127.0.0.1:2\n[reports]",
    ),
    ("day", "length = 12s", "length = 12"),
    ("day", "length = 12s\n", ""),
    ("day", "[fleet]", "[flet]"),
    ("day", "kind = drain", "kind = rest"),
    ("day", "deadline = 2s", "deadline = 2ms"),
    ("day", "work = 60ms", "work = 60"),
    ("day", "[load]", "[faults]\nkinds = none\n[load]"),
    ("day", "[load]", "[faults]\nleast = 9s\n[load]"),
    ("scenario", "[scale]", "[scales]"),
    ("scenario", "kind = rack", "kind = shelf"),
    ("scenario", "lasts = ", "lasts = 9"),
    ("scenario", "sizes = ", "sizes = 1, "),
    ("scenario", "sizes = ", "sizes = x, "),
    ("scenario", "[step", "[bounds]\nprocesses = 900\n[step"),
    ("scenario", "workers = 1000", "workers = 3"),
    ("scenario", "real = 5", "real = 30"),
    ("scenario", "sizes = 30", "sizes = 5"),
    ("manager", "[guard]\nmode = on", "[operators]\ntoken_file = t\n[guard]\nmode = off"),
    ("day", "[roster]\naddress = 127.0.0.1:18500\nservice = order-nodes\nwait = 2s\n", ""),
]


def kind_of(name: str) -> str:
    """The kind of a file in the repository, by its folder."""
    return {"deploy": "manager", "days": "day", "bench": "scenario"}[name.split("/")[0]]


def files() -> list[str]:
    """The paths of all INI files in the repository, relative to its root."""
    found = (path for top in ("deploy", "days", "bench") for path in (ROOT / top).rglob("*.ini"))
    return sorted(path.relative_to(ROOT).as_posix() for path in found)


def recorded_values(name: str) -> Plain:
    """The values in a file, and the settings that a manager derives from them."""
    kind, path = kind_of(name), ROOT / name
    values = {"sections": READERS[kind](path)}
    if kind == "manager":
        values["trade"] = manager_settings(
            manager_config.manager_settings(manager_config.load_manager_config(path))
        )
    elif kind == "day":
        values["trade"] = manager_settings(
            manager_config.manager_settings(scenario_schema.read_scenario(path))
        )
    return values


def first_mistake(kind: str, text: str, folder: Path) -> str:
    """The error for a file with this text, with FILE for the file's path; empty if none."""
    path = folder / "broken.ini"
    path.write_text(text, encoding="utf-8")
    try:
        READERS[kind](path)
    except ConfigError as error:
        return str(error).replace(str(path), "FILE")
    return ""


def with_mistake(base: str, old: str, new: str) -> str:
    """The text of a base file with one mistake."""
    if old not in base:
        raise ValueError(f"the base file does not contain {old!r}")
    return base.replace(old, new, 1)


def _base(kind: str) -> str:
    """A base file without comments; a manager's also without the sections that mistakes add."""
    lines, is_omitted = [], False
    for line in (ROOT / BASES[kind]).read_text(encoding="utf-8").splitlines():
        text = line.partition("#")[0].strip()
        if text.startswith("["):
            is_omitted = kind == "manager" and text.strip("[]").split()[0] in OMITTED_SECTIONS
        if text and not is_omitted:
            lines.append(text)
    return "\n".join(lines) + "\n"


def _broken(folder: Path) -> Plain:
    bases = {kind: _base(kind) for kind in BASES}
    cases = []
    for kind, old, new in MISTAKES:
        message = first_mistake(kind, with_mistake(bases[kind], old, new), folder)
        if not message:
            raise SystemExit(f"{kind}: {new!r} is no mistake")
        cases.append({"kind": kind, "old": old, "new": new, "said": message})
    return {"bases": bases, "cases": cases}


def main() -> None:
    write_json(GOOD, {name: recorded_values(name) for name in files()})
    with TemporaryDirectory() as folder:
        write_json(BROKEN, _broken(Path(folder)))


if __name__ == "__main__":
    main()
