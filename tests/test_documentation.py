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
# Records of past measurements and releases: they may name what the tree no longer has.
RECORD_PAGES = {"docs/results.md", "CHANGELOG.md"}
PAGES = sorted(
    page
    for pattern in ("*.md", "docs/*.md")
    for page in ROOT.glob(pattern)
    if str(page.relative_to(ROOT)) not in RECORD_PAGES
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
# A word such as FILE or NAME, which the reader replaces.
PLACEHOLDER = re.compile(r"\b[A-Z]{2,}\b(?!\.md)")
MODULE = re.compile(r"(?<![\w./-])(?:dunlinlug|tests|bench)(?:\.\w+)+")
SYMBOL = re.compile(r"(?<![\w.])[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+(?:\.\w+)?")
IDENTIFIER = re.compile(r"(?<![\w./-])_?[A-Za-z][a-zA-Z0-9]*(?:_[a-zA-Z0-9]+)+(?![\w/-])")
LOG_EVENT = re.compile(
    r"(?:admin|channel|connection|discovery|election|guard|manager|member|membership|members|module|override"
    r"|owner|ownership|peer|pin|proxy|reload|report|roster|settings|store|succession)\.(?:[a-z_]+|\*)"
)
# Names from other programs that pages use: their keys, headers and settings.
OUTSIDE_NAMES = frozenset(
    {
        "per_try_timeout",  # a field of Envoy's retry policy, of which protobuf has the class
    }
)


def source_files() -> Iterator[Path]:
    """Yield each Python file of the tree except this one."""
    for folder in SOURCE_FOLDERS:
        yield from set((ROOT / folder).rglob("*.py")) - {Path(__file__)}


def docstring_nodes(tree: ast.AST) -> set[int]:
    """Return the ids of the nodes of docstrings and of other strings whose value is not used."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def names_of(tree: ast.AST) -> Iterator[str]:
    """Yield the names that a module defines or uses, and each word of its strings.

    Words of comments and docstrings are left out.
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
    """Return every name in the code of the tree, including the names of modules."""
    names = {file.stem for file in source_files()}
    for file in source_files():
        names.update(names_of(ast.parse(file.read_text())))
    return frozenset(names)


@cache
def strings_in_code() -> frozenset[str]:
    """Return every complete string literal of the package, such as keys on the wire."""
    return frozenset(
        node.value
        for file in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )


@cache
def names_in_settings() -> frozenset[str]:
    """Return the keys and values of the INI files, the files under deploy/ and pyproject.toml."""
    files = [
        *ROOT.rglob("days/**/*.ini"),
        *ROOT.glob("deploy/**/*.*"),
        *ROOT.glob("bench/**/*.ini"),
    ]
    files.append(ROOT / "pyproject.toml")
    return frozenset(word for file in files for word in re.findall(r"\w+", file.read_text()))


def is_log_event(event: str) -> bool:
    """Return whether the package logs this event; `prefix.*` matches any event with the prefix."""
    if event.endswith(".*"):
        return any(each.startswith(event[:-1]) for each in strings_in_code())
    return event in strings_in_code()


def definitions(file: Path) -> set[str]:
    """Return what a module defines: classes, functions, variables, attributes and parameters."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        match node:
            case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
                names.add(node.name)
            case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
                names.add(name)
            case ast.arg(arg=name):
                names.add(name)
    return names


def anchors(page: Path) -> set[str]:
    """Return the anchors that code hosting sites make of a page's headings."""
    return {
        re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-")
        for heading in HEADING.findall(page.read_text())
    }


def missing_links(text: str, page: Path) -> Iterator[str]:
    """Yield each link to a page, a file or a heading that does not exist."""
    for target, anchor in LINK.findall(text):
        if "://" in target:
            continue
        linked = page.parent / target if target else page
        if not linked.exists():
            yield f"link {target}"
        elif anchor and linked.suffix == ".md" and anchor not in anchors(linked):
            yield f"anchor {target}#{anchor}"


def missing_paths(code: str, page: Path) -> Iterator[str]:
    """Yield each path and file name that is not in the tree."""
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
    """Yield each dotted name that is neither a module of the tree nor a member of one."""
    for module in MODULE.findall(code):
        if not is_string_in_code(module) and not is_module_or_member(module):
            yield f"module {module}"


def missing_symbols(code: str) -> Iterator[str]:
    """Yield each class, function, constant, key and log event that is not in the code."""
    for symbol in SYMBOL.findall(code):
        if any(word not in names_in_code() for word in symbol.split(".")):
            yield f"symbol {symbol}"
    if LOG_EVENT.fullmatch(code) and not FILE.fullmatch(code) and not is_log_event(code):
        yield f"log event {code}"
    known_names = names_in_code() | names_in_settings() | OUTSIDE_NAMES
    for identifier in IDENTIFIER.findall(code):
        if identifier not in known_names:
            yield f"name {identifier}"


def missing_references(text: str, page: Path) -> Iterator[str]:
    """Yield each reference of a page that does not resolve in the tree."""
    yield from missing_links(text, page)
    for code in CODE.findall(text):
        yield from missing_paths(code, page)
        yield from missing_modules(code)
        yield from missing_symbols(code)
    for block in CODE_BLOCK.findall(text):
        yield from missing_paths(block, page)
        yield from missing_modules(block)


def is_string_in_code(dotted: str) -> bool:
    """Return whether the package has this name as a string, up to the first placeholder.

    An example is the name of a load metric.
    """
    prefix = PLACEHOLDER.split(dotted)[0]
    if prefix == dotted:
        return dotted in strings_in_code()
    return prefix.count(".") > 1 and any(text.startswith(prefix) for text in strings_in_code())


def module_file(dotted: str) -> Path | None:
    """Return the file of a module or package of the tree; None if it does not exist."""
    path = ROOT.joinpath(*dotted.split("."))
    candidates = (path.with_suffix(".py"), path / "__init__.py")
    return next((candidate for candidate in candidates if candidate.is_file()), None)


def is_module_or_member(dotted: str) -> bool:
    """Return whether a dotted name is a module of the tree, or a member of one."""
    parts = dotted.split(".")
    for count in range(len(parts), 0, -1):
        path = ROOT.joinpath(*parts[:count])
        file = module_file(".".join(parts[:count]))
        if file is not None or path.is_dir():
            members = parts[count:]
            return not members or file is not None and set(members) <= definitions(file)
    return False


def glossary_rows() -> list[tuple[str, str]]:
    """Return the term used in code and its module, for each row of the glossary."""
    rows = []
    for line in GLOSSARY.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| ") and "---" not in line and cells[0] != "Outside":
            assert len(cells) == 4, line
            rows.append((cells[1], cells[3]))
    return rows


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_references_of_a_page_resolve_in_the_tree(page: Path) -> None:
    assert sorted(set(missing_references(page.read_text(), page))) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_python_examples_import_only_existing_names(page: Path) -> None:
    for block in PYTHON_BLOCK.findall(page.read_text()):
        for node in ast.walk(ast.parse(block)):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("dunlinlug"):
                file = module_file(resolve_name(node.module or "", None))
                assert file is not None, node.module
                assert {alias.name for alias in node.names} <= definitions(file)


def test_each_term_of_the_glossary_is_defined_in_the_module_it_names() -> None:
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


def test_the_readme_links_to_every_page() -> None:
    linked = {target for target, _ in LINK.findall((ROOT / "README.md").read_text())}
    pages = {str(page.relative_to(ROOT)) for page in ROOT.glob("docs/*.md")}
    assert pages - linked == set()


def test_pages_named_in_code_and_settings_exist() -> None:
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


def test_missing_references_are_found() -> None:
    text = (
        "`dunlinlug/absent.py` [x](absent.md) [y](README.md#absent-heading) `dunlinlug.balance.Absent` "
        "`AbsentClass(1)` `absent.py` `guard/absent.py` `absent_name` `proxy.absent`\n"
        "    python -m bench.absent\n"
    )
    found = list(missing_references(text, ROOT / "README.md"))
    assert sorted(set(found)) == [
        "anchor README.md#absent-heading",
        "file absent.py",
        "file guard/absent.py",
        "link absent.md",
        "log event proxy.absent",
        "module bench.absent",
        "module dunlinlug.balance.Absent",
        "name absent_name",
        "path dunlinlug/absent.py",
        "symbol AbsentClass",
    ]


def test_names_in_comments_and_docstrings_do_not_count_as_code() -> None:
    tree = ast.parse(
        '"""Docstring of Absent."""\nx = 1  # absent_name\n"unused string"\ny = "used string"\n'
    )
    assert set(names_of(tree)) == {"x", "y", "used", "string"}
