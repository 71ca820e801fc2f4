"""One console for all commands: as wide as the terminal, and wide enough for a table in a file."""

from __future__ import annotations

import sys

from rich.console import Console

FILE_WIDTH = 200  # columns, where the output is no terminal


def console(*, stderr: bool = False) -> Console:
    """A console that never breaks a line of a file."""
    stream = sys.stderr if stderr else sys.stdout
    width = None if stream.isatty() else FILE_WIDTH
    return Console(stderr=stderr, highlight=False, soft_wrap=True, width=width)
