"""The console for all commands: as wide as the terminal, or wide enough for a table in a file."""

from __future__ import annotations

import sys

from rich.console import Console

FILE_WIDTH = 200  # number of columns if the output is not a terminal


def console(*, stderr: bool = False) -> Console:
    """Return a console that does not wrap lines if its output is not a terminal."""
    stream = sys.stderr if stderr else sys.stdout
    width = None if stream.isatty() else FILE_WIDTH
    return Console(stderr=stderr, highlight=False, soft_wrap=True, width=width)
