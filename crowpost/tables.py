"""Reads TOML tables key by key.  An error is one line with the key, the valid values and the actual one."""

from __future__ import annotations

import tomllib
from collections.abc import Collection, Mapping
from dataclasses import fields
from pathlib import Path
from types import MappingProxyType
from typing import Any


class TableError(ValueError):
    """A file or the value of a key is invalid; the text is one line."""


def read_file(path: str) -> dict[str, Any]:
    """Return the tables of a file; raise TableError if it cannot be read."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise TableError(" ".join(str(error).split())) from error


class Table:
    """A table with its dotted name.

    known: the valid keys.  Raises TableError if the table is missing or has any other key.
    """

    def __init__(self, name: str, raw: object, known: Collection[str]) -> None:
        if not isinstance(raw, dict):
            raise TableError(f"{name}: the table is missing" if raw is None else f"{name}: a table")
        self.name = name
        self._raw = raw
        for key in raw:
            if key not in known:
                raise TableError(f"{name}.{key}: no such key; known are {', '.join(known)}")

    def __contains__(self, key: str) -> bool:
        return key in self._raw

    def get(self, key: str) -> Any:
        """Return the unchecked value from the file; None if the key is missing."""
        return self._raw.get(key)

    def text(self, key: str, default: str = "", *, required: bool = False) -> str:
        """Return a string.  required: raise TableError if it is empty, or missing without a default."""
        value = self._raw.get(key, default)
        if required and not value:
            raise TableError(f"{self.name}.{key}: is missing")
        if not isinstance(value, str):
            raise TableError(f"{self.name}.{key}: a text, not {value!r}")
        return value

    def choice(self, key: str, default: str, known: Collection[str]) -> str:
        """Return a string that must be one of `known`."""
        value = self.text(key, default)
        if value not in known:
            raise TableError(f"{self.name}.{key}: one of {', '.join(known)}, not {value!r}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._raw.get(key, default)
        if not isinstance(value, bool):
            raise TableError(f"{self.name}.{key}: true or false, not {value!r}")
        return value

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Return a number, which must be in the range from `low` to `high`, both included."""
        value = self._raw.get(key, default)
        if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
            raise TableError(f"{self.name}.{key}: a number from {low:g} to {high:g}, not {value!r}")
        return float(value)

    def texts(self, key: str, item_name: str) -> tuple[str, ...]:
        """Return a list of strings, empty by default.  item_name: plural name of the items in error texts."""
        value = self._raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise TableError(f"{self.name}.{key}: a list of {item_name}, not {value!r}")
        return tuple(value)

    def mapping(self, key: str) -> Mapping[str, str]:
        """Return a table of strings, empty by default."""
        value = self._raw.get(key, {})
        if not isinstance(value, dict) or not all(isinstance(item, str) for item in value.values()):
            raise TableError(f"{self.name}.{key}: a table of texts")
        return value


def read_numbers(
    name: str, raw: object, dataclass_type: type, keys: Mapping[str, str] = MappingProxyType({})
) -> dict[str, Any]:
    """Return the numbers that a table sets for the fields of a dataclass, by field name.

    All fields are int or float; values range from 1e-3 to 1e9.  name: dotted name of the table; keys: maps
    field names to keys, for fields whose key in the file differs.  Raise TableError for an unknown key, and
    for a fraction if the field is an integer.
    """
    known = {keys.get(field.name, field.name): field for field in fields(dataclass_type)}
    table = Table(name, raw, known)
    values: dict[str, Any] = {}
    for key, field in known.items():
        if key not in table:
            continue
        number = table.number(key, 0.0, 1e-3, 1e9)
        if field.type == "int":
            if number != int(number):
                raise TableError(f"{name}.{key}: a whole number, not {table.get(key)!r}")
            number = int(number)
        values[field.name] = number
    return values
