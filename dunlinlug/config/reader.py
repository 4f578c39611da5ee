"""Reads an INI file into attrs classes, one for each section.

Every mistake is an error that names the file, the line, the key, and what would be right. A field's
INI key is its name, or what `ini_key` gives it.
"""

import configparser
import difflib
import re
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Literal, TypeVar, cast, get_args, get_origin

import attrs
import cattrs

from dunlinlug.config.units import InvalidValueError, make_converter
from dunlinlug.errors import DunlinlugError

Section = TypeVar("Section")


INI_KEY = "dunlinlug.ini_key"  # in an attrs field's metadata


def ini_key(key: str) -> dict[str, str]:
    """Metadata of an attrs field whose key in the file is not its name."""
    return {INI_KEY: key}


class ConfigError(DunlinlugError):
    """A file that cannot be used; the text is one line, ready to print."""


class ConfigFile:
    """The records of one file, by their classes."""

    def __init__(self, records: dict[type, dict[str, object]]) -> None:
        """Have records by class, and by the name of a `[prefix NAME]` section or empty."""
        self._records = records

    def section(self, section_type: type[Section]) -> Section:
        """The record of a section that stands once; with its defaults if the file has none."""
        return cast("Section", self._records[section_type][""])

    def sections(self, section_type: type[Section]) -> dict[str, Section]:
        """The records of the `[prefix NAME]` sections of a kind, by name, in the file's order."""
        return cast("dict[str, Section]", dict(self._records.get(section_type, {})))


class _IniFile:
    """The parsed text, with the line of each section and key for messages."""

    def __init__(self, path: Path) -> None:
        """Read and parse a file. Raises ConfigError."""
        self.path = path
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigError(f"{path}: cannot be read: {error}") from None
        self.parser = CaseKeepingParser(
            interpolation=None,
            strict=True,
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=("#", ";"),
        )
        try:
            self.parser.read_string(text, source=str(path))
        except configparser.Error as error:
            reason = " ".join(str(error).split())
            raise ConfigError(f"{path}:{_line_number(error)}: not an INI file: {reason}") from None
        self.line_numbers = self._find_line_numbers(text)

    @staticmethod
    def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
        """By section and key; the section itself has an empty key."""
        line_numbers = {}
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            section_match = re.match(r"\s*\[([^\]]+)\]", line)
            key_match = re.match(r"([^=:#;\s][^=:]*?)\s*[=:]", line)
            if section_match is not None:
                section = section_match[1]
                line_numbers[section, ""] = number
            elif key_match is not None:
                line_numbers.setdefault((section, key_match[1]), number)
        return line_numbers

    def texts(self, section: str) -> dict[str, str]:
        """The values of a section by key; empty if the file has no such section."""
        return dict(self.parser[section]) if section in self.parser else {}

    def error(self, section: str, key: str, reason: str) -> ConfigError:
        """An error that names the line of a key, or of its section where that has no such key."""
        line = self.line_numbers.get((section, key), self.line_numbers.get((section, ""), 1))
        location = f"[{section}] {key}".rstrip()
        return ConfigError(f"{self.path}:{line}: {location}: {reason}")


class CaseKeepingParser(configparser.ConfigParser):
    """An INI parser that leaves keys as they are written."""

    def optionxform(self, optionstr: str) -> str:
        """The key itself; `configparser` would write it in small letters."""
        return optionstr


def _line_number(error: configparser.Error) -> int:
    """The line that an error names; 1 if it names none."""
    line: int | None = getattr(error, "lineno", None)
    if line:
        return line
    errors: Sequence[tuple[int, str]] = getattr(error, "errors", ())
    return errors[0][0] if errors else 1


def _suggest(name: str, known: Iterable[str]) -> str:
    known_names = list(known)
    close_matches = difflib.get_close_matches(name, known_names, 1)
    if close_matches:
        return f"; did you mean {close_matches[0]!r}?"
    return f"; known are {', '.join(known_names)}"


def load_config(
    path: Path,
    single_types: Mapping[str, type],
    named_types: Mapping[str, type] | None = None,
    optional_sections: frozenset[str] = frozenset(),
) -> ConfigFile:
    """Read a file.

    Args:
        path: The file.
        single_types: The class of each section that stands once, by the section's name.
        named_types: The class of each kind of `[prefix NAME]` sections, by their prefix.
        optional_sections: Those of `single_types` that may be missing; all their fields have
            defaults.

    Raises:
        ConfigError: At the first mistake: an unknown section or key, a missing one, a value that
            cannot be read.
    """
    ini_file = _IniFile(path)
    named_types = named_types or {}
    records: dict[type, dict[str, object]] = {
        section_type: {} for section_type in named_types.values()
    }
    for section in ini_file.parser.sections():
        prefix, _, name = section.partition(" ")
        if section in single_types:
            section_type = single_types[section]
            records[section_type] = {"": _read_section(ini_file, section, section_type)}
        elif prefix in named_types and name:
            section_type = named_types[prefix]
            records[section_type][name] = _read_section(ini_file, section, section_type)
        else:
            known = [*single_types, *(f"{prefix} NAME" for prefix in named_types)]
            raise ini_file.error(section, "", f"unknown section{_suggest(section, known)}")
    missing = [section for section in single_types if section not in ini_file.parser]
    for section in missing:
        if section not in optional_sections:
            raise ConfigError(f"{path}:1: section [{section}] is missing")
        section_type = single_types[section]
        records[section_type] = {"": _read_section(ini_file, section, section_type)}
    return ConfigFile(records)


def _read_section(ini_file: _IniFile, section: str, section_type: type) -> object:
    """The record of a section. Raises ConfigError."""
    fields = {
        field.metadata.get(INI_KEY, field.name): field for field in attrs.fields(section_type)
    }
    converter = make_converter()
    values = dict[str, object]()
    for key, text in ini_file.texts(section).items():
        if key not in fields:
            raise ini_file.error(section, key, f"unknown key{_suggest(key, fields)}")
        try:
            values[fields[key].name] = _read_value(converter, text, fields[key].type)
        except InvalidValueError as error:
            raise ini_file.error(section, key, str(error)) from None
    for key, field in fields.items():
        if field.name not in values and field.default is attrs.NOTHING:
            raise ini_file.error(section, "", f"key {key!r} is missing")
    try:
        record: object = section_type(**values)
    except ValueError as error:
        raise ini_file.error(section, "", str(error)) from None
    return record


def _read_value(converter: cattrs.Converter, text: str, value_type: Any) -> object:
    """A value of a field's type; raises InvalidValueError.

    The type is whatever stands in the annotation: a class, a NewType or a Literal.
    """
    if get_origin(value_type) is Literal and text not in get_args(value_type):
        raise InvalidValueError(f"{text!r} is not one of {', '.join(get_args(value_type))}")
    value: object = converter.structure(text, value_type)
    return value
