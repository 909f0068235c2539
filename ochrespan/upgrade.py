"""The processes of one front: usually one, two during an upgrade.

Each holds a lock on its own file in a shared folder. The kernel releases the lock however the process ends, so the
others detect its end reliably.
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
START_FIELD = 19  # index in /proc/self/stat after the command name: start in clock ticks since boot
# The new process of an upgrade must serve within 6 s of its start; the old one serves meanwhile.
LIST_DEADLINE = timedelta(seconds=3)  # the wait for discovery's first server list ends this long after process start
MIN_LIST_WAIT = timedelta(seconds=0.2)


@dataclass(frozen=True, slots=True)
class ProcessState:
    """What a process publishes to the others of its front."""

    ready: bool = False  # it accepts new connections
    descriptors: int = 0  # open descriptors

    def dump(self) -> bytes:
        return b"%d %8d\n" % (self.ready, self.descriptors)

    @classmethod
    def parse(cls, content: bytes) -> ProcessState:
        """Raises ValueError if the content is not a state."""
        ready, descriptors = map(int, content.split())
        return cls(bool(ready), descriptors)


def shared_folder(temporary: str | None, name: str) -> Path | None:
    """Creates the shared folder of the front with this name; None if that is not possible."""
    if not temporary:
        return None
    folder = Path(temporary, f"ochrespan-{name.replace(os.sep, '_')}")
    try:
        folder.mkdir(mode=0o700, exist_ok=True)
    except OSError as error:
        log.error("no shared folder: upgrades cannot hand over state", extra={"folder": str(folder), "why": str(error)})
        return None
    return folder


def process_age() -> timedelta:
    """Time since the process was started, including the start of the interpreter and the imports."""
    try:
        fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
        started = int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
        return timedelta(seconds=max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - started))
    except (OSError, ValueError, IndexError):
        return timedelta()


def list_wait(age: timedelta) -> timedelta:
    """How long the new process of an upgrade waits for discovery's first server list; `age`: time since its start."""
    return max(MIN_LIST_WAIT, LIST_DEADLINE - age)


@dataclass(frozen=True, slots=True)
class ProcessRegistryView:
    """What a process knows of the processes of its front."""

    processes: int = 1  # running, including this one
    descriptors_of_others: int = 0  # as last published by the other processes
    has_ready_successor: bool = False


class ProcessRegistry:
    """The running processes of this front, in the order of their starts. Without a folder, this one alone.

    `publish_and_read` may run in a thread while the other methods are called from the event loop.
    """

    def __init__(self, folder: Path | None) -> None:
        self._folder = folder
        self._own_file: IO[str] | None = None
        self._lock = threading.Lock()  # guards the own file, which `unregister` closes
        self._ready = False
        # the monotonic clock is the same in all processes: names sort by start
        self._name = f"{time.monotonic_ns():020d}-{secrets.token_hex(4)}{SUFFIX}"

    def register(self) -> None:
        if self._folder is None:
            return
        try:
            temporary = (self._folder / self._name).with_suffix(".new")
            self._own_file = temporary.open("w")
            fcntl.flock(self._own_file, fcntl.LOCK_EX)
            temporary.replace(
                self._folder / self._name
            )  # others never see the file under its final name without the lock
        except OSError as error:
            log.error(
                "cannot register for upgrades; other processes of this front are ignored", extra={"why": str(error)}
            )
            self._folder = None

    def mark_ready(self) -> None:
        """From now on this process publishes that it accepts new connections."""
        self._ready = True

    def publish(self, descriptors: int) -> None:
        """Publishes the number of open descriptors of this process, and whether it is ready."""
        state = ProcessState(self._ready, descriptors)
        with self._lock:
            if self._own_file is None:
                return
            try:
                os.pwrite(self._own_file.fileno(), state.dump(), 0)  # fixed length: never read in part
            except OSError as error:
                log.error("cannot publish this process to the other processes of this front", extra={"why": str(error)})

    def publish_and_read(self, descriptors: int) -> ProcessRegistryView:
        """Publishes the number of open descriptors of this process, and reads what the others have published.

        Opens, locks and closes files. A slow disk may block any of that: do not call it in the event loop.
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
        """Open descriptors of the other processes, as last published."""
        return self._read_others().descriptors_of_others

    def process_count(self) -> int:
        """Running processes, including this one."""
        return self._read_others().processes

    def _read_others(self) -> ProcessRegistryView:
        states = {name: self._state(name) for name in self._others()}
        return ProcessRegistryView(
            1 + len(states),
            sum(state.descriptors for state in states.values()),
            any(name > self._name and state.ready for name, state in states.items()),
        )

    def _others(self) -> list[str]:
        if self._folder is None:
            return []
        try:
            names = [path.name for path in self._folder.glob(f"*{SUFFIX}")]
        except OSError:
            return []
        return [name for name in names if name != self._name and self._is_alive(name)]

    def _is_alive(self, name: str) -> bool:
        assert self._folder is not None
        path = self._folder / name
        try:
            with path.open() as file:
                fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
                path.unlink(missing_ok=True)  # its process ended without unregistering
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
