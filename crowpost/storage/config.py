"""The configuration of a state directory: the table [state] of a TOML file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from crowpost.storage.errors import StoreError
from crowpost.tables import Table, TableError, read_file

# Keys of the table [state].  They are part of the file format; error messages list them in this order.
KEYS = ("directory", "owner", "every_ms", "bytes_per_s", "snapshot_bytes", "on_damage")
START_ON_DAMAGE = "start"  # the node starts without its state and does not change the directory
REFUSE_ON_DAMAGE = "refuse"  # the node does not start
ON_DAMAGE_CHOICES = (START_ON_DAMAGE, REFUSE_ON_DAMAGE)
DEFAULT_WRITE_INTERVAL_MS = 1_000.0
DEFAULT_BYTES_PER_S = 65_536.0
DEFAULT_SNAPSHOT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class StateConfig:
    """The content of the table [state]."""

    directory: Path
    owner: str  # name of the node that the directory belongs to
    write_interval_ms: float = DEFAULT_WRITE_INTERVAL_MS  # time between two writes of learned values
    bytes_per_s: float = DEFAULT_BYTES_PER_S  # average write rate
    snapshot_bytes: int = DEFAULT_SNAPSHOT_BYTES  # bytes written to the log between two snapshots
    on_damage: str = START_ON_DAMAGE


def load(path: str, name: str = "") -> StateConfig:
    """Read the table [state] of a TOML file.

    name: the owner if the file names none.  Raise StoreError with file and key for an invalid value.
    """
    try:
        return _read(read_file(path), name)
    except TableError as error:
        raise StoreError(f"{path}: {error}") from error


def _read(raw: dict[str, Any], name: str) -> StateConfig:
    table = Table("state", raw.get("state"), KEYS)
    return StateConfig(
        directory=Path(table.text("directory", required=True)),
        owner=table.text("owner", name, required=True),
        write_interval_ms=table.number("every_ms", DEFAULT_WRITE_INTERVAL_MS, 50.0, 3_600_000.0),
        bytes_per_s=table.number("bytes_per_s", DEFAULT_BYTES_PER_S, 1_000.0, 1e9),
        snapshot_bytes=int(table.number("snapshot_bytes", DEFAULT_SNAPSHOT_BYTES, 10_000.0, 1e9)),
        on_damage=table.choice("on_damage", START_ON_DAMAGE, ON_DAMAGE_CHOICES),
    )
