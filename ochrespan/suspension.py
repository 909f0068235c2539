"""Chunk servers that an operator has suspended: the owner of that set, and its effect on the scheduler.

The scheduler sees a suspended server as draining, whatever the list from discovery says. The set survives an
upgrade: it is stored in a file that the old and the new process share.
"""

from __future__ import annotations

import dataclasses
import fcntl
import json
import logging
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Protocol

from .requests import Node, NodeState

log = logging.getLogger(__name__)

FILE_NAME, LOCK_NAME = "suspended.json", "suspended.lock"
VERSION = 1
RESUMED_RETENTION_S = 600.0  # how long a resumed server's record is kept: longer than any server's warm-up


class UnknownServer(LookupError):
    """No chunk server has this id."""


class BadSuspensionFile(ValueError):
    """The file of suspended servers is not valid."""


@dataclass(frozen=True, slots=True)
class Suspension:
    """When a server was suspended, and when it was resumed; Unix time in seconds."""

    since: float
    resumed: float | None = None

    @property
    def active(self) -> bool:
        return self.resumed is None


Suspensions = dict[str, Suspension]  # by server id


def parse(text: str) -> Suspensions:
    """Parses the content of the file. Raises BadSuspensionFile."""
    try:
        document = json.loads(text)
        if document["version"] != VERSION:
            raise BadSuspensionFile(f"version: found {document['version']!r}, allowed: {VERSION}")
        return {_server(entry): _suspension(entry) for entry in document["servers"]}
    except (ValueError, LookupError, TypeError) as error:
        raise BadSuspensionFile(f"{type(error).__name__}: {error}") from error


def _server(entry: Any) -> str:
    if not isinstance(entry["id"], str) or not entry["id"]:
        raise BadSuspensionFile("id: expected a non-empty string")
    return entry["id"]


def _suspension(entry: Any) -> Suspension:
    resumed = entry["resumed"]
    return Suspension(float(entry["since"]), None if resumed is None else float(resumed))


def dump(suspensions: Suspensions) -> str:
    servers = [
        {"id": server, "since": suspension.since, "resumed": suspension.resumed}
        for server, suspension in suspensions.items()
    ]
    return json.dumps({"version": VERSION, "servers": servers})


class SuspensionFile:
    """The stored set, replaced atomically."""

    def __init__(self, folder: Path) -> None:
        self._path, self._lock = folder / FILE_NAME, folder / LOCK_NAME
        self._seen: tuple[int, int, int] | None = None  # inode, mtime and size at the last read or write

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Prevents the other process from writing between our read and our write."""
        with self._lock.open("w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield

    def changed(self) -> bool:
        return self._file_stamp() != self._seen

    def read(self) -> Suspensions | None:
        """The stored set; None where there is no file, or, with a log line, where it cannot be read."""
        self._seen = self._file_stamp()
        try:
            return parse(self._path.read_text())
        except FileNotFoundError:
            return None
        except (OSError, BadSuspensionFile) as error:
            log.error(
                "the file of suspended servers is ignored",
                extra={"path": str(self._path), "why": str(error)},
            )
            return None

    def write(self, suspensions: Suspensions) -> None:
        temporary = self._path.with_suffix(f".{os.getpid()}")
        with temporary.open("w") as file:
            file.write(dump(suspensions))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        self._seen = self._file_stamp()

    def _file_stamp(self) -> tuple[int, int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size


class SuspendedServers:
    """The suspended servers. Without a file the set is lost at the end of the process."""

    def __init__(self, file: SuspensionFile | None = None, clock: Callable[[], float] = time.time) -> None:
        self._file, self._clock = file, clock
        self._known: Suspensions = (file.read() if file else None) or {}

    def __contains__(self, server: str) -> bool:
        return server in self._known and self._known[server].active

    def suspend(self, server: str) -> None:
        """Suspends a server; idempotent."""

        def change() -> None:
            if server not in self:
                self._known[server] = Suspension(self._clock())

        self._change(change)

    def resume(self, server: str) -> None:
        """Resumes a server, however often it was suspended."""

        def change() -> None:
            if server in self:
                self._known[server] = dataclasses.replace(self._known[server], resumed=self._clock())

        self._change(change)

    def refresh(self) -> bool:
        """Loads what the other process of an upgrade wrote; returns whether the set changed."""
        if self._file is None or not self._file.changed():
            return False
        stored = self._file.read()
        if stored is None or stored == self._known:
            return False
        self._known = stored
        return True

    def effective_entry(self, node: Node) -> Node:
        """The entry of the list as the scheduler is to see it."""
        known = self._known.get(node.id)
        if known is None or node.state is NodeState.GONE:
            return node
        if known.resumed is None:
            return dataclasses.replace(node, state=NodeState.DRAINING)
        # Servers are usually restarted while suspended: until the list has the new start, the resumption stands for it.
        if node.started_at is None or node.started_at.timestamp() < known.since:
            return dataclasses.replace(node, started_at=datetime.fromtimestamp(known.resumed, UTC))
        return node

    def _change(self, change: Callable[[], None]) -> None:
        if self._file is None:
            change()
            return
        try:
            with self._file.locked():
                self.refresh()
                change()
                self._drop_expired()
                self._file.write(self._known)
        except OSError as error:
            log.error("suspended servers are not kept for an upgrade", extra={"why": str(error)})
            change()

    def _drop_expired(self) -> None:
        oldest = self._clock() - RESUMED_RETENTION_S
        self._known = {
            server: suspension
            for server, suspension in self._known.items()
            if suspension.resumed is None or suspension.resumed >= oldest
        }


class ServerList(Protocol):
    """The current list of chunk servers."""

    def is_listed(self, server: str) -> bool: ...

    def resend_list(self) -> None:
        """Passes the complete list to the scheduler again."""


class SuspensionController:
    """Suspends and resumes chunk servers, and updates the scheduler."""

    def __init__(self, suspended: SuspendedServers, servers: ServerList) -> None:
        self._suspended, self._servers = suspended, servers

    def suspend(self, server: str) -> None:
        self._check(server)
        self._suspended.suspend(server)
        log.info("chunk server suspended", extra={"node": server})
        self._servers.resend_list()

    def resume(self, server: str) -> None:
        self._check(server)
        self._suspended.resume(server)
        log.info("chunk server resumed", extra={"node": server})
        self._servers.resend_list()

    def refresh(self) -> None:
        """Applies the changes that were made through the other process of an upgrade."""
        if self._suspended.refresh():
            log.info("suspended chunk servers updated by the other process")
            self._servers.resend_list()

    def _check(self, server: str) -> None:
        if server not in self._suspended and not self._servers.is_listed(server):
            raise UnknownServer("there is no such chunk server")
