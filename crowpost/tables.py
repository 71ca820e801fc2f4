"""TOML tables read key by key; an error is one line: the key, what its value may be, and what it is."""

from __future__ import annotations

import tomllib
from collections.abc import Collection, Mapping
from dataclasses import fields
from pathlib import Path
from types import MappingProxyType
from typing import Any


class TableError(ValueError):
    """A file or a key cannot be used; the text is one line."""


def read_file(path: str) -> dict[str, Any]:
    """Return the tables of a file.  Raise TableError if it cannot be read."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise TableError(" ".join(str(error).split())) from error


class Table:
    """A table with its dotted name.

    known: its keys.  Raise TableError if the table is missing or has any other key.
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
        """Return the value as it is in the file; None if there is none."""
        return self._raw.get(key)

    def text(self, key: str, default: str = "", *, needed: bool = False) -> str:
        """Return a text.  needed: there must be one, in the file or as the default, and not an empty one."""
        value = self._raw.get(key, default)
        if needed and not value:
            raise TableError(f"{self.name}.{key}: is missing")
        if not isinstance(value, str):
            raise TableError(f"{self.name}.{key}: a text, not {value!r}")
        return value

    def choice(self, key: str, default: str, known: Collection[str]) -> str:
        """Return one of the known texts."""
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
        """Return a number from low to high."""
        value = self._raw.get(key, default)
        if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
            raise TableError(f"{self.name}.{key}: a number from {low:g} to {high:g}, not {value!r}")
        return float(value)

    def texts(self, key: str, what: str) -> tuple[str, ...]:
        """Return a list of texts, empty by default.  what: names the texts in the error."""
        value = self._raw.get(key, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise TableError(f"{self.name}.{key}: a list of {what}, not {value!r}")
        return tuple(value)

    def mapping(self, key: str) -> Mapping[str, str]:
        """Return a table of texts, empty by default."""
        value = self._raw.get(key, {})
        if not isinstance(value, dict) or not all(isinstance(v, str) for v in value.values()):
            raise TableError(f"{self.name}.{key}: a table of texts")
        return value


def numbers(
    name: str, raw: object, kind: type, keys: Mapping[str, str] = MappingProxyType({})
) -> dict[str, Any]:
    """Return the numbers that a table sets of a dataclass, by field name.

    The fields are all int or float, above 0 and to 1e9.  name: the table's; keys: the key of each field
    that has another name in the file.  Raise TableError for a key that is no field, and for a fraction where
    a field is an integer.
    """
    known = {keys.get(f.name, f.name): f for f in fields(kind)}
    table = Table(name, raw, known)
    values: dict[str, Any] = {}
    for key, found in known.items():
        if key not in table:
            continue
        number = table.number(key, 0.0, 1e-3, 1e9)
        if found.type == "int":
            if number != int(number):
                raise TableError(f"{name}.{key}: a whole number, not {table.get(key)!r}")
            number = int(number)
        values[found.name] = number
    return values
