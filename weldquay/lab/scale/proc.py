"""Resource use of a process from /proc: processor time, memory, file descriptors."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """The resource use of one process at one time; cpu_s counts from the start of the process."""

    cpu_s: float
    memory_mb: float
    descriptors: int


def read_usage(pid: int, folder: Path = Path("/proc")) -> Usage:
    """Read the resource use of a process.

    It sums schedstat, which counts the nanoseconds that each thread ran: the ticks of stat (10 ms) are too
    coarse here.

    Raises:
        OSError: the process has ended.
    """
    process_folder = folder / str(pid)
    cpu_times_ns = [
        int((task / "schedstat").read_text().split()[0]) for task in (process_folder / "task").iterdir()
    ]
    resident_bytes = int((process_folder / "statm").read_text().split()[1]) * PAGE_BYTES
    return Usage(
        sum(cpu_times_ns) / 1e9, resident_bytes / 2**20, len(list((process_folder / "fd").iterdir()))
    )


def machine_resources() -> dict[str, float]:
    """Return the number of cores and the memory of this machine, but nothing that identifies it."""
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES
    return {"cores": os.cpu_count() or 1, "memory_gb": round(memory_bytes / 2**30, 1)}


def is_running(pid: int) -> bool:
    """Return True while a process runs, False once it has ended, also while it waits to be reaped."""
    try:
        state = (Path("/proc") / str(pid) / "stat").read_text().rpartition(") ")[2][0]
    except OSError:
        return False
    return state not in "ZX"
