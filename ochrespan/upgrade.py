"""The processes of one front: usually one, two while an upgrade goes on.

Each holds a lock on a file of its own in a folder that they share, so that a process that dies, however it does,
is known to be gone.
"""

from __future__ import annotations

import fcntl
import logging
import os
import secrets
import time
from pathlib import Path
from typing import IO

log = logging.getLogger(__name__)

SUFFIX = ".process"
READY = "ready"


def shared_folder(temporary: str | None, name: str) -> Path | None:
    """The folder of the front with this name; None where there is no place for one."""
    if not temporary:
        return None
    folder = Path(temporary, f"ochrespan-{name.replace(os.sep, '_')}")
    try:
        folder.mkdir(mode=0o700, exist_ok=True)
    except OSError as why:
        log.error("nothing is kept for an upgrade", extra={"folder": str(folder), "why": str(why)})
        return None
    return folder


class Roster:
    """Which processes of this front live, in the order of their starts. Without a folder, this one alone."""

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._own: IO[str] | None = None
        self._name = f"{time.monotonic_ns():020d}-{secrets.token_hex(4)}{SUFFIX}"  # one clock for all processes

    def join(self) -> None:
        if self._folder is None:
            return
        try:
            fresh = (self._folder / self._name).with_suffix(".new")
            self._own = fresh.open("w")
            fcntl.flock(self._own, fcntl.LOCK_EX)
            fresh.replace(self._folder / self._name)  # under its name it is never seen without its lock
        except OSError as why:
            log.error("other processes of this front are not seen", extra={"why": str(why)})
            self._folder = None

    def tell_ready(self) -> None:
        """From now on this process serves new connections."""
        if self._own is not None:
            self._own.write(READY)
            self._own.flush()

    def leave(self) -> None:
        if self._own is not None and self._folder is not None:
            (self._folder / self._name).unlink(missing_ok=True)
            self._own.close()
            self._own = None

    def has_predecessor(self) -> bool:
        return any(name < self._name for name in self._others())

    def has_ready_successor(self) -> bool:
        return any(name > self._name and self._is_ready(name) for name in self._others())

    def size(self) -> int:
        """Processes that live, this one among them."""
        return 1 + len(self._others())

    def _others(self) -> list[str]:
        if self._folder is None:
            return []
        try:
            found = [path.name for path in self._folder.glob(f"*{SUFFIX}")]
        except OSError:
            return []
        return [name for name in found if name != self._name and self._lives(name)]

    def _lives(self, name: str) -> bool:
        assert self._folder is not None
        path = self._folder / name
        try:
            with path.open() as file:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                path.unlink(missing_ok=True)  # its process has ended without a word
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _is_ready(self, name: str) -> bool:
        assert self._folder is not None
        try:
            return (self._folder / name).read_text() == READY
        except OSError:
            return False
