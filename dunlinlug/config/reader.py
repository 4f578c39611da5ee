"""One INI file to attrs classes, a section each; every mistake names file, line, key and what would be right."""

import configparser
import difflib
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal, TypeVar, get_args, get_origin

import attrs

from dunlinlug.config.units import ValueFault, converter

T = TypeVar("T")


class ConfigFault(Exception):
    """A file that cannot be used; the text is one line, ready to print."""


class Book:
    """What one file said: `one(cls)` gives a section's record, `many(cls)` the named ones by their names."""

    def __init__(self, records: dict[type, dict[str, Any]]) -> None:
        self._records = records

    def one(self, kind: type[T]) -> T:
        record: T = self._records[kind][""]
        return record

    def many(self, kind: type[T]) -> dict[str, T]:
        return dict(self._records.get(kind, {}))


class _File:
    """The parsed text, with the line of each section and key for messages."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigFault(f"{path}: cannot be read: {error}") from None
        self.parsed = configparser.ConfigParser(
            interpolation=None,
            strict=True,
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=("#", ";"),
        )
        self.parsed.optionxform = str  # type: ignore[assignment,method-assign]  # keys keep their case
        try:
            self.parsed.read_string(text, source=str(path))
        except configparser.Error as error:
            line = getattr(error, "lineno", None) or next(
                (n for n, _ in getattr(error, "errors", ())), 1
            )
            said = " ".join(str(error).split())
            raise ConfigFault(f"{path}:{line}: not an INI file: {said}") from None
        self.lines = self._find(text)

    @staticmethod
    def _find(text: str) -> dict[tuple[str, str], int]:
        found, section = {}, ""
        for number, line in enumerate(text.splitlines(), 1):
            if head := re.match(r"\s*\[([^\]]+)\]", line):
                section = head[1]
                found[section, ""] = number
            elif key := re.match(r"([^=:#;\s][^=:]*?)\s*[=:]", line):
                found.setdefault((section, key[1]), number)
        return found

    def fault(self, section: str, key: str, said: str) -> ConfigFault:
        line = self.lines.get((section, key), self.lines.get((section, ""), 1))
        where = f"[{section}] {key}".rstrip()
        return ConfigFault(f"{self.path}:{line}: {where}: {said}")


def _near(word: str, known: Mapping[str, Any]) -> str:
    close = difflib.get_close_matches(word, list(known), 1)
    return f"; did you mean {close[0]!r}?" if close else f"; known are {', '.join(known)}"


def read_book(
    path: Path,
    single: Mapping[str, type],
    named: Mapping[str, type] | None = None,
    optional: frozenset[str] = frozenset(),
) -> Book:
    """Read `path`; `single` has a class by section, `named` by the first word of `[word name]` sections.

    Raises ConfigFault at the first mistake: an unknown section or key, a missing one, a value of the wrong form.
    """
    file, named = _File(path), named or {}
    records: dict[type, dict[str, Any]] = {kind: {} for kind in named.values()}
    for section in file.parsed.sections():
        word, _, name = section.partition(" ")
        if section in single:
            records[single[section]] = {"": _record(file, section, single[section])}
        elif word in named and name:
            records[named[word]][name] = _record(file, section, named[word])
        else:
            known = {**single, **{f"{word} NAME": kind for word, kind in named.items()}}
            raise file.fault(section, "", f"unknown section{_near(section, known)}")
    for section, kind in single.items():
        if kind not in records:
            if section not in optional:
                raise ConfigFault(f"{path}:1: section [{section}] is missing")
            records[kind] = {"": _record(file, section, kind)}
    return Book(records)


def _record(file: _File, section: str, kind: type) -> Any:
    fields = attrs.fields_dict(kind)
    given = dict(file.parsed[section]) if section in file.parsed else {}
    values: dict[str, Any] = {}
    reading = converter()
    for key, text in given.items():
        if key not in fields:
            raise file.fault(section, key, f"unknown key{_near(key, fields)}")
        wanted: Any = fields[key].type
        try:
            if get_origin(wanted) is Literal and text not in get_args(wanted):
                raise ValueFault(f"{text!r} is not one of {', '.join(get_args(wanted))}")
            values[key] = reading.structure(text, wanted)
        except ValueFault as fault:
            raise file.fault(section, key, str(fault)) from None
    for key, field in fields.items():
        if key not in values and field.default is attrs.NOTHING:
            raise file.fault(section, "", f"key {key!r} is missing")
    try:
        return kind(**values)
    except ValueError as fault:
        raise file.fault(section, "", str(fault)) from None
