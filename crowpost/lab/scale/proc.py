"""Resource use of a process as the kernel reports it: processor time, memory, descriptors."""

from __future__ import annotations

import os
import resource
import time
from pathlib import Path

from crowpost.lab.scale.target import ScaleError

SCHED_CLOCK = 2  # CPUCLOCK_SCHED of the kernel's posix-timers.h: all threads of a process, in ns.
RESERVED_DESCRIPTORS = 200  # Descriptors for everything that is not a node's socket.


def core_ms(pid: int) -> float:
    """Return the processor time of a process so far, user and system, in ms; raise OSError if it has ended.

    Reads the process clock of clock_getcpuclockid(3), which counts the same time as utime and stime of
    /proc/PID/stat but in ns instead of ticks of 10 ms.
    """
    return time.clock_gettime((~pid << 3) | SCHED_CLOCK) * 1000.0


def memory_bytes(pid: int) -> int:
    """Return the resident set size (VmRSS), shared pages included: a node alone on a machine shares none."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def check_descriptors(nodes: int) -> None:
    """Raise ScaleError if a worker with this many simulated nodes could not open its sockets."""
    # Each node has a datagram socket, a listener, and one connection each way.
    needed = 4 * nodes + RESERVED_DESCRIPTORS
    available, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if needed > available:
        raise ScaleError(
            f"{nodes} simulated nodes in one process need {needed} descriptors, `ulimit -n` is {available}: "
            f"raise it, or use more workers or smaller sizes"
        )


def check_machine(processes: int, memory_gb: float) -> None:
    """Raise ScaleError for more than 200 processes or 12 GB."""
    if processes > 200:
        raise ScaleError(f"{processes} processes exceed the limit of 200")
    if memory_gb > 12.0:
        raise ScaleError(f"an estimated {memory_gb:.1f} GB of membership views exceed the limit of 12 GB")
