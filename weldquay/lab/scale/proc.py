"""What a process uses, from /proc: processor time, memory, descriptors."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Usage:
    """One process at a moment; cpu_s: since its start."""

    cpu_s: float
    memory_mb: float
    descriptors: int


def usage(pid: int, folder: Path = Path("/proc")) -> Usage:
    """Read a process; OSError where it has ended.

    schedstat counts nanoseconds on a core for each thread; the ticks of stat (10 ms) are too coarse here.
    """
    here = folder / str(pid)
    spent = [int((task / "schedstat").read_text().split()[0]) for task in (here / "task").iterdir()]
    resident = int((here / "statm").read_text().split()[1]) * PAGE
    return Usage(sum(spent) / 1e9, resident / 2**20, len(list((here / "fd").iterdir())))


def machine() -> dict[str, float]:
    """Cores and memory of this machine; nothing that names it."""
    memory = os.sysconf("SC_PHYS_PAGES") * PAGE
    return {"cores": os.cpu_count() or 1, "memory_gb": round(memory / 2**30, 1)}


def alive(pid: int) -> bool:
    """True while a process runs; one that has ended and waits to be reaped does not."""
    try:
        state = (Path("/proc") / str(pid) / "stat").read_text().rpartition(") ")[2][0]
    except OSError:
        return False
    return state not in "ZX"
