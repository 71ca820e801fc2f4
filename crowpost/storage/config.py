"""The state directory of a process as its TOML file says it; errors name file and key in one line."""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from crowpost.storage.model import StoreError
from crowpost.tables import Table, TableError, read_file

ON_DAMAGE = ("start", "refuse")
EVERY_MS, BYTES_PER_S, SNAPSHOT_BYTES = 1_000.0, 65_536.0, 1 << 20


@dataclass(frozen=True, slots=True)
class StateConfig:
    """What the table [state] holds."""

    directory: Path
    owner: str  # whose directory it is: the node's name
    every_ms: float = EVERY_MS  # between two writings of what has been learned
    bytes_per_s: float = BYTES_PER_S  # that it may take in the mean
    snapshot_bytes: int = SNAPSHOT_BYTES  # a log of this size gives way to a snapshot
    on_damage: str = ON_DAMAGE[0]  # without the state, which stays as it is; or refuse to start


def load(path: str, name: str = "") -> StateConfig:
    """The file's [state]; name: the owner where the file has none.  StoreError for what cannot be used."""
    try:
        return _read(read_file(path), name)
    except TableError as error:
        raise StoreError(f"{path}: {error}") from None


def _read(raw: dict[str, Any], name: str) -> StateConfig:
    table = Table("state", raw.get("state"), [f.name for f in fields(StateConfig)])
    return StateConfig(
        directory=Path(table.text("directory", needed=True)),
        owner=table.text("owner", name, needed=True),
        every_ms=table.number("every_ms", EVERY_MS, 50.0, 3_600_000.0),
        bytes_per_s=table.number("bytes_per_s", BYTES_PER_S, 1_000.0, 1e9),
        snapshot_bytes=int(table.number("snapshot_bytes", SNAPSHOT_BYTES, 10_000.0, 1e9)),
        on_damage=table.choice("on_damage", ON_DAMAGE[0], ON_DAMAGE),
    )
