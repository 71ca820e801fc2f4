"""Reading the table [state] of a TOML file."""

from __future__ import annotations

from pathlib import Path

import pytest

from crowpost.storage.config import StateConfig, load
from crowpost.storage.errors import StoreError


def test_a_valid_table_is_read_with_defaults_for_missing_keys(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text('[state]\ndirectory = "/var/x"\nevery_ms = 250\non_damage = "refuse"\n')
    assert load(str(file), "n0") == StateConfig(Path("/var/x"), "n0", 250.0, on_damage="refuse")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "state: the table is missing"),
        ("[state]\n", "state.directory: is missing"),
        ('[state]\ndirectory = "x"\nevery = 1\n', "state.every: no such key; known are directory, owner"),
        ('[state]\ndirectory = "x"\nevery_ms = 1\n', "state.every_ms: a number from 50 to 3.6e+06, not 1"),
        ('[state]\ndirectory = "x"\non_damage = "x"\n', "state.on_damage: one of start, refuse, not 'x'"),
    ],
)
def test_an_invalid_value_is_an_error_with_file_and_key(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "s.toml"
    file.write_text(text)
    with pytest.raises(StoreError) as error:
        load(str(file), "n0")
    assert str(error.value).startswith(f"{file}: {message}")
