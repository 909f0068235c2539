"""What a measurement says of where it was made."""

from __future__ import annotations

import os
import platform


def machine() -> str:
    """Cores, memory, processor and Python version in one line."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return f"{os.cpu_count()} cores, {pages / 2**30:.0f} GiB, {platform.machine()}, Python {platform.python_version()}"
