"""Reads and writes records of runs, in the format of docs/capacity/feed.json."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from crowpost.config_feed.errors import FeedError
from crowpost.lab.feed.gossip_cost import cost

GOSSIP_MEMBERS = (50, 200, 790, 1_580)  # sizes for which the cost of gossip is computed


def read_record(path: Path) -> dict[str, Any]:
    """Return a record of runs.  Raise FeedError if the file is not one."""
    try:
        record: dict[str, Any] = json.loads(path.read_text())
        for run in record["runs"]:
            _key(run)
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise FeedError(f"{path}: no record of runs: {error!r}") from None
    return record


def put_into(path: Path, run: dict[str, Any]) -> None:
    """Add a run to a record; replace one of the same case, size, seed and source.

    Raise FeedError if the file exists and is not a record.
    """
    record = read_record(path) if path.exists() else {"schema": 1, "runs": []}
    runs = [other for other in record.pop("runs") if _key(other) != _key(run)]
    lines = ",\n".join(json.dumps(entry, sort_keys=True) for entry in sorted([*runs, run], key=_key))
    record["gossip"] = [cost(members) for members in GOSSIP_MEMBERS]
    start = json.dumps(record, sort_keys=True)[:-1]
    path.write_text(f'{start}, "runs": [\n{lines}\n]}}\n')


def _key(run: dict[str, Any]) -> tuple[str, str, int, int]:
    return str(run["source"]), str(run["case"]), int(run["nodes"]), int(run["seed"])
