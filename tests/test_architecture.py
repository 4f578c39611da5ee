"""Architecture rules that no linter checks: policy files without I/O, and no import cycles."""

import ast
import graphlib
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_policy_files_of_the_deployment_exist_and_do_no_io() -> None:
    entries = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    files = list[Path]()
    for entry in entries:
        path = ROOT / entry
        found = sorted(path.rglob("*.py")) if path.is_dir() else [path]
        assert found, entry
        files += found
    assert {ROOT / "dunlinlug/balance.py", ROOT / "dunlinlug/decision/desired_state.py"} <= {*files}
    for file in files:
        tree = ast.parse(file.read_text())
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


def package_of(module: str) -> str:
    """Return the package that a dotted name below dunlinlug belongs to.

    It is the module itself if that is in no package. Subpackages of `decision` count as one
    package, because `decision.state` uses the records of `decision.events`; import cycles inside it
    are found by the test of modules.
    """
    names = module.split(".")
    while len(names) > 1 and not (ROOT / "dunlinlug" / Path(*names)).is_dir():
        names.pop()
    return "decision" if names[0] == "decision" else ".".join(names)


def module_of(dotted: str) -> str:
    """Return the module that a dotted name below dunlinlug names, or whose member it names."""
    names = dotted.split(".")
    while len(names) > 1 and not (
        (ROOT / "dunlinlug" / Path(*names)).is_dir()
        or (ROOT / "dunlinlug" / Path(*names)).with_suffix(".py").is_file()
    ):
        names.pop()
    return ".".join(names)


def imports() -> Iterator[tuple[str, str]]:
    """Yield each import between modules of dunlinlug: the importer and the imported dotted name."""
    for file in (ROOT / "dunlinlug").rglob("*.py"):
        path = file.relative_to(ROOT / "dunlinlug").with_suffix("")
        importer = ".".join(path.parts[:-1] if path.name == "__init__" else path.parts)
        for node in ast.walk(ast.parse(file.read_text())):
            if (
                isinstance(node, ast.ImportFrom)
                and (node.module or "").split(".")[0] == "dunlinlug"
            ):
                for name in node.names:
                    yield importer, f"{node.module}.{name.name}".removeprefix("dunlinlug.")


def test_imports_between_packages_have_no_cycle() -> None:
    dependencies = dict[str, set[str]]()
    for importer, imported in imports():
        package = package_of(importer)
        dependencies.setdefault(package, set()).update({package_of(imported)} - {package})
    assert len(dependencies) > 20
    # Raises CycleError, whose message lists the modules of the cycle.
    list(graphlib.TopologicalSorter(dependencies).static_order())
    assert not dependencies["platform"] & {
        "ads",
        "xds",
        "rpc",
        "storage",
        "fleet.election",
        "fleet.membership",
    }


def test_imports_between_modules_have_no_cycle() -> None:
    dependencies = dict[str, set[str]]()
    for importer, imported in imports():
        dependencies.setdefault(importer, set()).update({module_of(imported)} - {importer})
    assert len(dependencies) > 100
    list(graphlib.TopologicalSorter(dependencies).static_order())
