"""Pages name only what is in the tree: paths, modules, symbols, log events, commands."""

import ast
import re
from collections.abc import Iterator
from functools import cache
from importlib.util import resolve_name
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "dunlinlug"
# Records of what was so on their day, and a list of names as they were before.
RECORDS = {"docs/results.md", "CHANGELOG.md"}
PAGES = sorted(
    page
    for pattern in ("*.md", "docs/*.md")
    for page in ROOT.glob(pattern)
    if str(page.relative_to(ROOT)) not in RECORDS
)
GLOSSARY = ROOT / "docs" / "glossary.md"
SOURCE_FOLDERS = ("dunlinlug", "tests", "bench")
TOP_FOLDERS = (*SOURCE_FOLDERS, "docs", "deploy", "days", "journal")
CODE = re.compile(r"`([^`\n]+)`")
CODE_BLOCK = re.compile(r"^(?:    \S.*|```python\n(?:.*\n)*?```)$", re.MULTILINE)
PYTHON_BLOCK = re.compile(r"^```python\n((?:.*\n)*?)```$", re.MULTILINE)
HEADING = re.compile(r"^#+ (.*)$", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]*))?\)")
PATH = re.compile(rf"(?<![\w./-])(?:{'|'.join(TOP_FOLDERS)})/[\w./*-]*")
FILE = re.compile(r"(?<![\w./*<-])[\w/-]+\.(?:py|md|ini|toml)(?![\w/])")
# Such as FILE or NAME, for the reader to fill in.
PLACEHOLDER = re.compile(r"\b[A-Z]{2,}\b(?!\.md)")
MODULE = re.compile(r"(?<![\w./-])(?:dunlinlug|tests|bench)(?:\.\w+)+")
SYMBOL = re.compile(r"(?<![\w.])[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+(?:\.\w+)?")
IDENTIFIER = re.compile(r"(?<![\w./-])_?[A-Za-z][a-zA-Z0-9]*(?:_[a-zA-Z0-9]+)+(?![\w/-])")
LOG_EVENT = re.compile(
    r"(?:admin|channel|connection|discovery|election|guard|manager|member|membership|members|module|override"
    r"|owner|ownership|peer|pin|proxy|reload|report|roster|settings|store|succession)\.(?:[a-z_]+|\*)"
)
# Names outside the tree that pages have to spell out: other programs' keys, headers and settings.
OUTSIDE_NAMES = frozenset(
    {
        "per_try_timeout",  # a field of Envoy's retry policy, of which protobuf has the class
    }
)


def source_files() -> Iterator[Path]:
    """Every Python file of the tree but this one."""
    for folder in SOURCE_FOLDERS:
        yield from set((ROOT / folder).rglob("*.py")) - {Path(__file__)}


def docstring_nodes(tree: ast.AST) -> set[int]:
    """The ids of the nodes that hold docstrings, or other strings that are evaluated for nothing."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def names_of(tree: ast.AST) -> Iterator[str]:
    """What a module defines or uses by name, and every word of its strings; no comment or
    docstring.
    """
    docstrings = docstring_nodes(tree)
    for node in ast.walk(tree):
        if id(node) in docstrings:
            continue
        match node:
            case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
                yield node.name
            case ast.Name(id=name) | ast.Attribute(attr=name) | ast.arg(arg=name):
                yield name
            case ast.keyword(arg=str(name)):
                yield name
            case ast.alias(name=name, asname=alias):
                yield from name.split(".")
                yield alias or ""
            case ast.Constant(value=str(text)):
                yield from re.findall(r"\w+", text)


@cache
def names_in_code() -> frozenset[str]:
    """Every name that the tree's code has, names of modules among them."""
    names = {file.stem for file in source_files()}
    for file in source_files():
        names.update(names_of(ast.parse(file.read_text())))
    return frozenset(names)


@cache
def strings_in_code() -> frozenset[str]:
    """Every whole string of the package, such as keys on the wire."""
    return frozenset(
        node.value
        for file in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )


@cache
def names_in_settings() -> frozenset[str]:
    """Keys and values of the INI files, and of what starts the program on the platform."""
    files = [
        *ROOT.rglob("days/**/*.ini"),
        *ROOT.glob("deploy/**/*.*"),
        *ROOT.glob("bench/**/*.ini"),
    ]
    files.append(ROOT / "pyproject.toml")
    return frozenset(word for file in files for word in re.findall(r"\w+", file.read_text()))


def is_log_event(event: str) -> bool:
    """Whether the package has this log event; `part.*` stands for all of a part."""
    if event.endswith(".*"):
        return any(each.startswith(event[:-1]) for each in strings_in_code())
    return event in strings_in_code()


def definitions(file: Path) -> set[str]:
    """What a module defines: classes, functions, constants, fields, methods and parameters."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        match node:
            case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
                found.add(node.name)
            case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
                found.add(name)
            case ast.arg(arg=name):
                found.add(name)
    return found


def anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as a forge makes them."""
    return {
        re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-")
        for heading in HEADING.findall(page.read_text())
    }


def missing_links(text: str, page: Path) -> Iterator[str]:
    """Links to a page, a file or a heading that is not there."""
    for target, anchor in LINK.findall(text):
        if "://" in target:
            continue
        linked = page.parent / target if target else page
        if not linked.exists():
            yield f"link {target}"
        elif anchor and linked.suffix == ".md" and anchor not in anchors(linked):
            yield f"anchor {target}#{anchor}"


def missing_paths(code: str, page: Path) -> Iterator[str]:
    """Paths and file names that are not in the tree."""
    for path in PATH.findall(code):
        if not any(ROOT.glob(PLACEHOLDER.sub("*", path.rstrip("/").rstrip(".")))):
            yield f"path {path}"
    for file in FILE.findall(code):
        if PLACEHOLDER.search(file) or PATH.fullmatch(file):
            continue
        if any((folder / file).exists() for folder in (ROOT, PACKAGE, page.parent)):
            continue
        if not any(any((ROOT / folder).rglob(file)) for folder in TOP_FOLDERS):
            yield f"file {file}"


def missing_modules(code: str) -> Iterator[str]:
    """Dotted names that are neither a module of the tree nor something in one."""
    for module in MODULE.findall(code):
        if not is_name_on_wire(module) and not is_module_or_member(module):
            yield f"module {module}"


def missing_symbols(code: str) -> Iterator[str]:
    """Names of classes, functions, constants, keys and log events that no code has."""
    for symbol in SYMBOL.findall(code):
        if any(word not in names_in_code() for word in symbol.split(".")):
            yield f"symbol {symbol}"
    if LOG_EVENT.fullmatch(code) and not FILE.fullmatch(code) and not is_log_event(code):
        yield f"log event {code}"
    known_names = names_in_code() | names_in_settings() | OUTSIDE_NAMES
    for identifier in IDENTIFIER.findall(code):
        if identifier not in known_names:
            yield f"name {identifier}"


def missing(text: str, page: Path) -> Iterator[str]:
    """What a page names and the tree does not have."""
    yield from missing_links(text, page)
    for code in CODE.findall(text):
        yield from missing_paths(code, page)
        yield from missing_modules(code)
        yield from missing_symbols(code)
    for block in CODE_BLOCK.findall(text):
        yield from missing_paths(block, page)
        yield from missing_modules(block)


def is_name_on_wire(dotted: str) -> bool:
    """Whether the package writes this name, such as a load metric's; a placeholder ends it."""
    prefix = PLACEHOLDER.split(dotted)[0]
    if prefix == dotted:
        return dotted in strings_in_code()
    return prefix.count(".") > 1 and any(text.startswith(prefix) for text in strings_in_code())


def module_file(dotted: str) -> Path | None:
    """The file of a module or package of the tree; None if there is none."""
    path = ROOT.joinpath(*dotted.split("."))
    candidates = (path.with_suffix(".py"), path / "__init__.py")
    return next((candidate for candidate in candidates if candidate.is_file()), None)


def is_module_or_member(dotted: str) -> bool:
    """Whether a dotted name is a module of the tree, or something that stands in one."""
    parts = dotted.split(".")
    for count in range(len(parts), 0, -1):
        path = ROOT.joinpath(*parts[:count])
        file = module_file(".".join(parts[:count]))
        if file is not None or path.is_dir():
            members = parts[count:]
            return not members or file is not None and set(members) <= definitions(file)
    return False


def glossary_rows() -> list[tuple[str, str]]:
    """Of each row of the glossary the code's term and the module."""
    rows = []
    for line in GLOSSARY.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| ") and "---" not in line and cells[0] != "Outside":
            assert len(cells) == 4, line
            rows.append((cells[1], cells[3]))
    return rows


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_a_page_names_what_is_in_the_tree(page: Path) -> None:
    assert sorted(set(missing(page.read_text(), page))) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_examples_in_python_import_what_is_there(page: Path) -> None:
    for block in PYTHON_BLOCK.findall(page.read_text()):
        for node in ast.walk(ast.parse(block)):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("dunlinlug"):
                file = module_file(resolve_name(node.module or "", None))
                assert file is not None, node.module
                assert {alias.name for alias in node.names} <= definitions(file)


def test_each_term_of_the_glossary_stands_where_it_says() -> None:
    misplaced = []
    for term, where in glossary_rows():
        files = [ROOT / path for path in CODE.findall(where)]
        files = [file if file.exists() else PACKAGE / file.relative_to(ROOT) for file in files]
        assert files, term
        assert all(file.exists() for file in files), where
        defined: set[str] = set()
        for file in files:
            if file.is_file():
                defined |= definitions(file)
        terms = [
            name
            for code in CODE.findall(term)
            for name in [*SYMBOL.findall(code), *IDENTIFIER.findall(code)]
        ]
        absent = [name for name in terms if not set(name.split(".")) <= defined]
        misplaced += [f"{name} is not in {where}" for name in absent]
    assert misplaced == []


def test_every_page_is_reached_from_the_readme() -> None:
    linked = {target for target, _ in LINK.findall((ROOT / "README.md").read_text())}
    pages = {str(page.relative_to(ROOT)) for page in ROOT.glob("docs/*.md")}
    assert pages - linked == set()


def test_pages_that_code_and_settings_name_are_there() -> None:
    files = {ROOT / "dev", ROOT / ".ci" / "run", *source_files()}
    files.update(
        file
        for folder in ("days", "deploy", "bench")
        for pattern in ("*.ini", "*.toml")
        for file in (ROOT / folder).rglob(pattern)
    )
    named = {
        (str(file.relative_to(ROOT)), page)
        for file in files
        for page in re.findall(r"docs/[\w-]+\.md", file.read_text())
    }
    assert sorted(link for link in named if not (ROOT / link[1]).exists()) == []


def test_what_is_gone_is_seen() -> None:
    gone = (
        "`dunlinlug/nowhere.py` [x](gone.md) [y](README.md#nothing-here) `dunlinlug.balance.Nobody` "
        "`NobodyHere(1)` `nobody.py` `guard/nobody.py` `nobody_here` `proxy.gone`\n"
        "    python -m bench.nothing\n"
    )
    found = list(missing(gone, ROOT / "README.md"))
    assert sorted(set(found)) == [
        "anchor README.md#nothing-here",
        "file guard/nobody.py",
        "file nobody.py",
        "link gone.md",
        "log event proxy.gone",
        "module bench.nothing",
        "module dunlinlug.balance.Nobody",
        "name nobody_here",
        "path dunlinlug/nowhere.py",
        "symbol NobodyHere",
    ]


def test_what_only_a_comment_names_is_not_in_the_code() -> None:
    tree = ast.parse(
        '"""Docs name Ghost."""\nx = 1  # ghost_name\n"only a phantom"\ny = "real word"\n'
    )
    assert set(names_of(tree)) == {"x", "y", "real", "word"}
