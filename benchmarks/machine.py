"""A description of the machine, for the output of benchmarks."""

from __future__ import annotations

import os
import platform


def machine() -> str:
    """Cores, memory, architecture and Python version in one line."""
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return (
        f"{os.cpu_count()} cores, {memory_bytes / 2**30:.0f} GiB, {platform.machine()}, "
        f"Python {platform.python_version()}"
    )
