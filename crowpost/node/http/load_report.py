"""Parsing of the load report that an endpoint sends in a header of its responses."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence

from crowpost.node.http.message import LOAD, Message


def parse_load_report(message: Message | None, columns: Sequence[str]) -> tuple[float, ...]:
    """Return the values of a response's load report in the order of the columns.

    Return an empty tuple if there is no report or a malformed one: a report is only advice, so that a
    malformed one fails neither its response nor the connection.
    """
    raw = message.headers.get(LOAD) if message is not None else None
    if raw is None or not columns:
        return ()
    try:
        report = json.loads(raw)
        values = tuple(float(report[name]) for name in columns)
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return ()
    return values if all(math.isfinite(value) and value >= 0.0 for value in values) else ()
