"""The peak memory of another process."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory (VmHWM) of a process in MB; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
    return 0.0
