"""Limits of the house that no tool checks."""

import ast
import graphlib
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_policy_files_of_the_deployment_are_there_and_free_of_io() -> None:
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert "dunlinlug/state.py" in files
    for name in files:
        tree = ast.parse((ROOT / name).read_text())
        modules = {
            alias.name
            for node in ast.walk(tree)
            if isinstance(node, ast.Import)
            for alias in node.names
        } | {node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
        roots = {module.split(".")[0] for module in modules}
        assert not roots & {"os", "socket", "time", "trio", "pathlib", "subprocess", "sys", "io"}
        called = {
            node.func.id
            for node in ast.walk(tree)
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
        }
        assert not called & {"open", "print", "input"}


def part(module: str) -> str:
    """The package that a dotted name below dunlinlug belongs to, or the module itself if it stands in none."""
    names = module.split(".")
    while len(names) > 1 and not (ROOT / "dunlinlug" / Path(*names)).is_dir():
        names.pop()
    return ".".join(names)


def test_arrows_between_packages_run_one_way() -> None:
    arrows = dict[str, set[str]]()
    for file in (ROOT / "dunlinlug").rglob("*.py"):
        mine = part(".".join(file.relative_to(ROOT / "dunlinlug").with_suffix("").parts))
        for node in ast.walk(ast.parse(file.read_text())):
            if (
                isinstance(node, ast.ImportFrom)
                and (node.module or "").split(".")[0] == "dunlinlug"
            ):
                wanted = {
                    part(f"{node.module}.{name.name}".removeprefix("dunlinlug."))
                    for name in node.names
                }
                arrows.setdefault(mine, set()).update(wanted - {mine})
    assert len(arrows) > 20
    list(
        graphlib.TopologicalSorter(arrows).static_order()
    )  # raises CycleError, which names the cycle
    assert not arrows["platform"] & {
        "ads",
        "xds",
        "rpc",
        "kept",
        "fleet.succession",
        "fleet.members",
    }
