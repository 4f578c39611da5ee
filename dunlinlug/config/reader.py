"""Reads an INI file into attrs classes, one for each section.

Each error names the file, the line, the key and what is expected. A field's INI key is its name,
unless `ini_key` sets another.
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
    """Return the metadata of an attrs field whose key in the file is not its name."""
    return {INI_KEY: key}


class ConfigError(DunlinlugError):
    """An unusable configuration file; the text is one line that can be printed."""


class ConfigFile:
    """The records of one file, by class."""

    def __init__(self, records: dict[type, dict[str, object]]) -> None:
        """Hold records by class and name: NAME of a `[prefix NAME]` section, else empty."""
        self._records = records

    def section(self, section_type: type[Section]) -> Section:
        """Return the record of a single section; it has the defaults if the file omits it."""
        return cast("Section", self._records[section_type][""])

    def sections(self, section_type: type[Section]) -> dict[str, Section]:
        """Return the records of the `[prefix NAME]` sections of a class by name, in file order."""
        return cast("dict[str, Section]", dict(self._records.get(section_type, {})))


class _IniFile:
    """A parsed file, with the line number of each section and key for error messages."""

    def __init__(self, path: Path) -> None:
        """Parse a file. Raises ConfigError."""
        self.path = path
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigError(f"{path}: cannot be read: {error}") from None
        self.parser = CaseSensitiveParser(
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
        """Return the line numbers by section and key; a section itself has an empty key."""
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

    def raw_values(self, section: str) -> dict[str, str]:
        """Return the unparsed values of a section by key; empty if the file has no such section."""
        return dict(self.parser[section]) if section in self.parser else {}

    def error(self, section: str, key: str, reason: str) -> ConfigError:
        """Return an error at the line of a key, or of its section if the key is not in the file."""
        line = self.line_numbers.get((section, key), self.line_numbers.get((section, ""), 1))
        location = f"[{section}] {key}".rstrip()
        return ConfigError(f"{self.path}:{line}: {location}: {reason}")


class CaseSensitiveParser(configparser.ConfigParser):
    """An INI parser with case-sensitive keys."""

    def optionxform(self, optionstr: str) -> str:
        """Return the key unchanged; `configparser` would convert it to lower case."""
        return optionstr


def _line_number(error: configparser.Error) -> int:
    """Return the line number of an error; 1 if it has none."""
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
        single_types: The class of each single section, by the section's name.
        named_types: The class of each kind of `[prefix NAME]` sections, by prefix.
        optional_sections: The sections in `single_types` that may be missing; all their fields have
            defaults.

    Raises:
        ConfigError: The file contains an unknown section or key, lacks a required one, or has a
            value that cannot be parsed; reports the first error.
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
    """Return the record of a section. Raises ConfigError."""
    fields = {
        field.metadata.get(INI_KEY, field.name): field for field in attrs.fields(section_type)
    }
    converter = make_converter()
    values = dict[str, object]()
    for key, text in ini_file.raw_values(section).items():
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
    """Parse a value of a field's type; raises InvalidValueError.

    The type is the field's annotation: a class, a NewType or a Literal.
    """
    if get_origin(value_type) is Literal and text not in get_args(value_type):
        raise InvalidValueError(f"{text!r} is not one of {', '.join(get_args(value_type))}")
    value: object = converter.structure(text, value_type)
    return value
