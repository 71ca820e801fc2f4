"""What a process costs, read from the kernel: processor time, memory, descriptors."""

from __future__ import annotations

import os
import resource
import time
from pathlib import Path

from crowpost.lab.scale.target import ScaleError

SCHED_CLOCK = 2  # CPUCLOCK_SCHED in the kernel's posix-timers.h: all threads of a process, in ns
SPARE = 200  # descriptors beside sockets


def core_ms(pid: int) -> float:
    """Processor time of a process so far, user and system, in ms; OSError if it has ended.

    The process clock of clock_getcpuclockid(3): what utime and stime of /proc/PID/stat add up to, but in
    ns and not in ticks of 10 ms.
    """
    return time.clock_gettime((~pid << 3) | SCHED_CLOCK) * 1000.0


def memory_bytes(pid: int) -> int:
    """Resident set size (VmRSS): on a machine of its own a node shares its pages with nobody."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def check_descriptors(nodes: int) -> None:
    """ScaleError with one line if a worker of so many hollow nodes could not open its sockets."""
    need = 4 * nodes + SPARE  # a socket, a listener, and an exchange each way
    have, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if need > have:
        raise ScaleError(
            f"{nodes} hollow nodes in one process need {need} descriptors, `ulimit -n` is {have}: "
            f"raise it, or take more workers or smaller sizes"
        )


def check_machine(processes: int, memory_gb: float) -> None:
    """ScaleError with one line beyond 200 processes or 12 GB."""
    if processes > 200:
        raise ScaleError(f"{processes} processes, 200 at the most")
    if memory_gb > 12.0:
        raise ScaleError(f"{memory_gb:.1f} GB of members' views by estimate, 12 at the most")
