"""The processes of one front: usually one, two while an upgrade goes on.

Each holds a lock on a file of its own in a folder that they share, so that a process that dies, however it does,
is known to be gone.
"""

from __future__ import annotations

import fcntl
import logging
import os
import secrets
import threading
import time
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import IO

log = logging.getLogger(__name__)

SUFFIX = ".process"
START_FIELD = 19  # of /proc/self/stat, behind the name: the start in clock ticks after the machine's
LIST_DEADLINE = timedelta(
    seconds=3
)  # after its start; a new process has 6 s to serve, and the old one serves meanwhile
MIN_LIST_WAIT = timedelta(seconds=0.2)


@dataclass(frozen=True, slots=True)
class ProcessState:
    """What a process tells the others of its front."""

    ready: bool = False  # it serves new connections
    descriptors: int = 0  # that it holds

    def dump(self) -> bytes:
        return b"%d %8d\n" % (self.ready, self.descriptors)

    @classmethod
    def parse(cls, told: bytes) -> ProcessState:
        """Raises ValueError where it is none."""
        ready, descriptors = map(int, told.split())
        return cls(bool(ready), descriptors)


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


def process_age() -> timedelta:
    """Since this process was started, the start of the interpreter and the imports included."""
    try:
        fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
        started = int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
        return timedelta(seconds=max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - started))
    except (OSError, ValueError, IndexError):
        return timedelta()


def list_wait(age: timedelta) -> timedelta:
    """How long the new process of an upgrade, so old by now, waits for its first list."""
    return max(MIN_LIST_WAIT, LIST_DEADLINE - age)


@dataclass(frozen=True, slots=True)
class ProcessRegistryView:
    """What the processes of a front know of each other."""

    processes: int = 1  # that live, this one among them
    descriptors_of_others: int = 0  # that they told of last
    has_ready_successor: bool = False


class ProcessRegistry:
    """Which processes of this front live, in the order of their starts. Without a folder, this one alone.

    `exchange` may run in a thread while the others are called from the event loop.
    """

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._own_file: IO[str] | None = None
        self._lock = threading.Lock()  # of the own file, which `leave` closes
        self._ready = False
        self._name = f"{time.monotonic_ns():020d}-{secrets.token_hex(4)}{SUFFIX}"  # one clock for all processes

    def register(self) -> None:
        if self._folder is None:
            return
        try:
            fresh = (self._folder / self._name).with_suffix(".new")
            self._own_file = fresh.open("w")
            fcntl.flock(self._own_file, fcntl.LOCK_EX)
            fresh.replace(self._folder / self._name)  # under its name it is never seen without its lock
        except OSError as why:
            log.error("other processes of this front are not seen", extra={"why": str(why)})
            self._folder = None

    def mark_ready(self) -> None:
        """From now on this process serves new connections."""
        self._ready = True

    def publish(self, descriptors: int) -> None:
        """Tells the others how many descriptors this process holds, and whether it is ready."""
        state = ProcessState(self._ready, descriptors)
        with self._lock:
            if self._own_file is None:
                return
            try:
                os.pwrite(self._own_file.fileno(), state.dump(), 0)  # always of one length: never seen in part
            except OSError as why:
                log.error("other processes of this front do not see this one", extra={"why": str(why)})

    def publish_and_read(self, descriptors: int) -> ProcessRegistryView:
        """Tells the others how many descriptors this process holds, and gives what they tell.

        It opens, locks and closes files. A disk may hold any of that up, so it has no place in the event loop.
        """
        self.publish(descriptors)
        return self._read_others()

    def unregister(self) -> None:
        with self._lock:
            if self._own_file is not None and self._folder is not None:
                (self._folder / self._name).unlink(missing_ok=True)
                self._own_file.close()
                self._own_file = None

    def has_predecessor(self) -> bool:
        return any(name < self._name for name in self._others())

    def has_ready_successor(self) -> bool:
        return self._read_others().has_ready_successor

    def descriptors_of_others(self) -> int:
        """Descriptors that the other processes told of last."""
        return self._read_others().descriptors_of_others

    def process_count(self) -> int:
        """Processes that live, this one among them."""
        return self._read_others().processes

    def _read_others(self) -> ProcessRegistryView:
        told = {name: self._state(name) for name in self._others()}
        return ProcessRegistryView(
            1 + len(told),
            sum(state.descriptors for state in told.values()),
            any(name > self._name and state.ready for name, state in told.items()),
        )

    def _others(self) -> list[str]:
        if self._folder is None:
            return []
        try:
            found = [path.name for path in self._folder.glob(f"*{SUFFIX}")]
        except OSError:
            return []
        return [name for name in found if name != self._name and self._is_alive(name)]

    def _is_alive(self, name: str) -> bool:
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

    def _state(self, name: str) -> ProcessState:
        assert self._folder is not None
        try:
            return ProcessState.parse((self._folder / name).read_bytes())
        except (OSError, ValueError):
            return ProcessState()
