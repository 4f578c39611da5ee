"""Record what every INI file of the tree says, and what is said of broken ones.

python -m tests.recorded.record_ini
"""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from dunlinlug.config import manager_config
from dunlinlug.config.reader import ConfigError
from dunlinlug.scenarios import schema as day
from tests.recorded import sections
from tests.recorded.plain import ROOT, Plain, trade, write_json

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
LEFT_OUT = frozenset({"operators", "succession", "members", "member", "owner", "tls"})

# By kind: the text that is replaced in the base, and what by; each makes one mistake.
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
    """Which reader is for a file of the tree, by its folder."""
    return {"deploy": "manager", "days": "day", "bench": "scenario"}[name.split("/")[0]]


def files() -> list[str]:
    """Every INI file of the tree, by its path from the root."""
    found = (path for top in ("deploy", "days", "bench") for path in (ROOT / top).rglob("*.ini"))
    return sorted(path.relative_to(ROOT).as_posix() for path in found)


def good(name: str) -> Plain:
    """What one file of the tree says, and what a manager is told at its start by it."""
    kind, path = kind_of(name), ROOT / name
    said = {"sections": READERS[kind](path)}
    if kind == "manager":
        said["trade"] = trade(
            manager_config.manager_settings(manager_config.load_manager_config(path))
        )
    elif kind == "day":
        said["trade"] = trade(manager_config.manager_settings(day.read_scenario(path)))
    return said


def first_mistake(kind: str, text: str, folder: Path) -> str:
    """What is said of a file with this text; the file's name is written as FILE."""
    path = folder / "broken.ini"
    path.write_text(text, encoding="utf-8")
    try:
        READERS[kind](path)
    except ConfigError as fault:
        return str(fault).replace(str(path), "FILE")
    return ""


def spoilt(base: str, old: str, new: str) -> str:
    """The base with one mistake."""
    if old not in base:
        raise ValueError(f"the base does not hold {old!r}")
    return base.replace(old, new, 1)


def _base(kind: str) -> str:
    """A file of the tree without comments; a manager's without the sections that mistakes bring in."""
    kept, left_out = [], False
    for line in (ROOT / BASES[kind]).read_text(encoding="utf-8").splitlines():
        text = line.partition("#")[0].strip()
        if text.startswith("["):
            left_out = kind == "manager" and text.strip("[]").split()[0] in LEFT_OUT
        if text and not left_out:
            kept.append(text)
    return "\n".join(kept) + "\n"


def _broken(folder: Path) -> Plain:
    bases = {kind: _base(kind) for kind in BASES}
    cases = []
    for kind, old, new in MISTAKES:
        said = first_mistake(kind, spoilt(bases[kind], old, new), folder)
        if not said:
            raise SystemExit(f"{kind}: {new!r} is no mistake")
        cases.append({"kind": kind, "old": old, "new": new, "said": said})
    return {"bases": bases, "cases": cases}


def main() -> None:
    write_json(GOOD, {name: good(name) for name in files()})
    with TemporaryDirectory() as folder:
        write_json(BROKEN, _broken(Path(folder)))


if __name__ == "__main__":
    main()
