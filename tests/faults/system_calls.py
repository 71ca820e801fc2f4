"""Failing system calls: compiles `system_call_shim.c`, and switches its rules while a process runs."""

from __future__ import annotations

import errno
import itertools
import mmap
import os
import shutil
import struct
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("system_call_shim.c")
# One rule of the shared file: enabled, value, calls, injected.
CONTROL = struct.Struct("=qqqq")
WORD = struct.Struct("=q")
ENABLED_OFFSET, VALUE_OFFSET, CALLS_OFFSET, INJECTED_OFFSET = range(0, CONTROL.size, WORD.size)
# The error of a rule that makes reads and writes short.
SHORT = 0

_file_numbers = itertools.count()


class ShimError(Exception):
    """The shim cannot be compiled here."""


@dataclass(frozen=True, slots=True)
class CallFault:
    """One kind of failure: in this share of these calls, the call fails with this error.

    call: accept, socket, connect, read, write, read_out, write_out, wait, file_write, fsync, truncate,
    rename, fallocate or wall_clock; `_out` are calls on connections that the process has opened.  error: an
    errno, or SHORT.
    """

    call: str
    error: int = SHORT
    share: float = 1.0

    def __str__(self) -> str:
        return f"{self.call} {errno.errorcode.get(self.error, 'short')} {self.share:g}"


def compile_shim(directory: Path) -> Path:
    """Return the compiled library; raise ShimError if there is no C compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")
    if compiler is None:
        raise ShimError("no C compiler was found: faults of system calls cannot be tested")
    library = directory / "system_call_shim.so"
    if not library.exists():
        command = [compiler, "-shared", "-fPIC", "-O1", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
    return library


class SystemCallFaults:
    """The faults of one process, all off at first.

    directory: where the library and the shared file are kept; seed: decides which calls are struck.
    """

    def __init__(self, directory: Path, faults: Sequence[CallFault], seed: int = 1) -> None:
        self.faults = list(faults)
        self._library = compile_shim(directory)
        self._path = directory / f"system-call-faults-{next(_file_numbers)}"
        size = CONTROL.size * max(1, len(self.faults))
        self._path.write_bytes(bytes(size))
        self._seed = seed
        descriptor = os.open(self._path, os.O_RDWR)
        try:
            self._memory = mmap.mmap(descriptor, size)
        finally:
            os.close(descriptor)

    def environment(self) -> dict[str, str]:
        """Return the variables with which the process has to be started."""
        rules = ",".join(f"{fault.call}:{fault.error}:{round(1000 * fault.share)}" for fault in self.faults)
        return {
            "LD_PRELOAD": str(self._library),
            "FAULT_SHIM_RULES": rules,
            "FAULT_SHIM_CONTROL": str(self._path),
            "FAULT_SHIM_SEED": str(self._seed),
        }

    def switch(self, on: bool, index: int | None = None, *, value: int = 0) -> None:
        """Switch one fault on or off, or all of them; value: the shift of the wall clock in ms."""
        for position in range(len(self.faults)) if index is None else (index,):
            self._write(position, VALUE_OFFSET, value)
            self._write(position, ENABLED_OFFSET, int(on))

    def injected(self, index: int = 0) -> int:
        """Return how often a fault has struck."""
        start = CONTROL.size * index + INJECTED_OFFSET
        count: int = WORD.unpack_from(self._memory, start)[0]
        return count

    def _write(self, index: int, offset: int, value: int) -> None:
        WORD.pack_into(self._memory, CONTROL.size * index + offset, value)
