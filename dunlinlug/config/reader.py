"""One INI file to attrs classes, a section each; every mistake names file, line, key and what would
be right.
"""

import configparser
import difflib
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal, TypeVar, get_args, get_origin

import attrs

from dunlinlug.config.units import InvalidValueError, make_converter
from dunlinlug.errors import DunlinlugError

T = TypeVar("T")


class ConfigError(DunlinlugError):
    """A file that cannot be used; the text is one line, ready to print."""


class ConfigFile:
    """What one file said: `one(cls)` gives a section's record, `many(cls)` the named ones by their
    names.
    """

    def __init__(self, records: dict[type, dict[str, Any]]) -> None:
        self._sections = records

    def section(self, section_type: type[T]) -> T:
        record: T = self._sections[section_type][""]
        return record

    def sections(self, section_type: type[T]) -> dict[str, T]:
        return dict(self._sections.get(section_type, {}))


class _IniFile:
    """The parsed text, with the line of each section and key for messages."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigError(f"{path}: cannot be read: {error}") from None
        self.parser = configparser.ConfigParser(
            interpolation=None,
            strict=True,
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=("#", ";"),
        )
        self.parser.optionxform = str  # type: ignore[assignment,method-assign]  # keys keep their case
        try:
            self.parser.read_string(text, source=str(path))
        except configparser.Error as error:
            line = getattr(error, "lineno", None) or next(
                (n for n, _ in getattr(error, "errors", ())), 1
            )
            reason = " ".join(str(error).split())
            raise ConfigError(f"{path}:{line}: not an INI file: {reason}") from None
        self.line_numbers = self._find_line_numbers(text)

    @staticmethod
    def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
        line_numbers = {}
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            if section_match := re.match(r"\s*\[([^\]]+)\]", line):
                section = section_match[1]
                line_numbers[section, ""] = number
            elif key_match := re.match(r"([^=:#;\s][^=:]*?)\s*[=:]", line):
                line_numbers.setdefault((section, key_match[1]), number)
        return line_numbers

    def error(self, section: str, key: str, reason: str) -> ConfigError:
        line = self.line_numbers.get((section, key), self.line_numbers.get((section, ""), 1))
        location = f"[{section}] {key}".rstrip()
        return ConfigError(f"{self.path}:{line}: {location}: {reason}")


def _suggest(word: str, known: Mapping[str, Any]) -> str:
    close_matches = difflib.get_close_matches(word, list(known), 1)
    return (
        f"; did you mean {close_matches[0]!r}?"
        if close_matches
        else f"; known are {', '.join(known)}"
    )


def load_config(
    path: Path,
    single_types: Mapping[str, type],
    named_types: Mapping[str, type] | None = None,
    optional_sections: frozenset[str] = frozenset(),
) -> ConfigFile:
    """Read `path`; `single` has a class by section, `named` by the first word of `[word name]`
    sections.

    Raises ConfigFault at the first mistake: an unknown section or key, a missing one, a value of
    the wrong form.
    """
    ini_file = _IniFile(path)
    named_types = named_types or {}
    sections: dict[type, dict[str, Any]] = {
        section_type: {} for section_type in named_types.values()
    }
    for section in ini_file.parser.sections():
        prefix, _, name = section.partition(" ")
        if section in single_types:
            sections[single_types[section]] = {
                "": _read_section(ini_file, section, single_types[section])
            }
        elif prefix in named_types and name:
            sections[named_types[prefix]][name] = _read_section(
                ini_file, section, named_types[prefix]
            )
        else:
            known = {
                **single_types,
                **{f"{prefix} NAME": section_type for prefix, section_type in named_types.items()},
            }
            raise ini_file.error(section, "", f"unknown section{_suggest(section, known)}")
    for section, section_type in single_types.items():
        if section_type not in sections:
            if section not in optional_sections:
                raise ConfigError(f"{path}:1: section [{section}] is missing")
            sections[section_type] = {"": _read_section(ini_file, section, section_type)}
    return ConfigFile(sections)


def _read_section(ini_file: _IniFile, section: str, section_type: type) -> Any:
    fields = attrs.fields_dict(section_type)
    texts = dict(ini_file.parser[section]) if section in ini_file.parser else {}
    values: dict[str, Any] = {}
    value_converter = make_converter()
    for key, text in texts.items():
        if key not in fields:
            raise ini_file.error(section, key, f"unknown key{_suggest(key, fields)}")
        value_type: Any = fields[key].type
        try:
            if get_origin(value_type) is Literal and text not in get_args(value_type):
                raise InvalidValueError(f"{text!r} is not one of {', '.join(get_args(value_type))}")
            values[key] = value_converter.structure(text, value_type)
        except InvalidValueError as error:
            raise ini_file.error(section, key, str(error)) from None
    for key, field in fields.items():
        if key not in values and field.default is attrs.NOTHING:
            raise ini_file.error(section, "", f"key {key!r} is missing")
    try:
        return section_type(**values)
    except ValueError as error:
        raise ini_file.error(section, "", str(error)) from None
