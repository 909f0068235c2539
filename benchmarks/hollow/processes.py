"""The processes of a fleet on one machine: started, listened to, and measured through the system's own counters."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent import subprocess
from gevent.event import Event

NANOSECONDS = 1e9
STOP_TIMEOUT_S = 5.0


class ChildFailed(Exception):
    """A process of the fleet didn't do what it was waited for."""


class Child:
    """One Python module that runs as a process; it tells what it has to tell in lines of JSON on its output."""

    def __init__(self, module: str, *arguments: str, environment: dict[str, str] | None = None) -> None:
        self.told: list[dict[str, Any]] = []
        self._news = Event()
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env={**os.environ, **(environment or {})},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._reader = gevent.spawn(self._read)

    def wait_for(self, condition: Callable[[dict[str, Any]], bool], seconds: float) -> dict[str, Any]:
        """The first line for which the condition holds; raises ChildFailed after a while."""
        with gevent.Timeout(seconds, ChildFailed(f"process {self._process.pid} has not told what was waited for")):
            seen = 0
            while True:
                self._news.clear()
                for line in self.told[seen:]:
                    if condition(line):
                        return line
                seen = len(self.told)
                self._news.wait()

    def processor_s(self) -> float:
        """Processor time of all threads so far, in seconds."""
        tasks = Path(f"/proc/{self._process.pid}/task").glob("*/schedstat")
        return sum(int(task.read_text().split()[0]) for task in tasks) / NANOSECONDS

    def resident_bytes(self) -> int:
        """Memory that the process holds now."""
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def stop(self) -> None:
        """Ends the process."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
            try:
                self._process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._process.kill()
        self._reader.kill(block=False)

    def _read(self) -> None:
        for line in self._process.stdout:
            self.told.append(json.loads(line))
            self._news.set()


def tell(**fields: Any) -> None:
    """Tells the parent process something."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()
