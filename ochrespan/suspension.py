"""Chunk servers taken out by hand: the one owner of that set, and how it reaches the decisions.

The decision module is told of a suspended server as of one that drains, whatever discovery's list says. The set lasts
over an upgrade: it is kept in a file that the old and the new process share.
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
RESUMED_RETENTION_S = 600.0  # s that a resumed server's suspension is kept: longer than any server warms up


class UnknownServer(LookupError):
    """No chunk server has this id."""


class BadSuspensionFile(ValueError):
    """The file of suspended servers cannot be read."""


@dataclass(frozen=True, slots=True)
class Suspension:
    """When a server was taken out, and when it was taken back; Unix time in seconds."""

    since: float
    resumed: float | None = None

    @property
    def active(self) -> bool:
        return self.resumed is None


Suspensions = dict[str, Suspension]  # by server


def parse(text: str) -> Suspensions:
    """The file's content. Raises BadFile."""
    try:
        told = json.loads(text)
        if told["version"] != VERSION:
            raise BadSuspensionFile(f"version: found {told['version']!r}, allowed: {VERSION}")
        return {_server(entry): _suspension(entry) for entry in told["servers"]}
    except (ValueError, LookupError, TypeError) as why:
        raise BadSuspensionFile(f"{type(why).__name__}: {why}") from why


def _server(entry: Any) -> str:
    if not isinstance(entry["id"], str) or not entry["id"]:
        raise BadSuspensionFile("an id is no name")
    return entry["id"]


def _suspension(entry: Any) -> Suspension:
    resumed = entry["resumed"]
    return Suspension(float(entry["since"]), None if resumed is None else float(resumed))


def dump(suspensions: Suspensions) -> str:
    servers = [{"id": server, "since": one.since, "resumed": one.resumed} for server, one in suspensions.items()]
    return json.dumps({"version": VERSION, "servers": servers})


class SuspensionFile:
    """The set on disk, written whole or not at all."""

    def __init__(self, folder: Path) -> None:
        self._path, self._lock = folder / FILE_NAME, folder / LOCK_NAME
        self._seen: tuple[int, int, int] | None = None  # what the file was when it was last read

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Keeps the other process from writing between our look and our write."""
        with self._lock.open("w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield

    def changed(self) -> bool:
        return self._stamp() != self._seen

    def read(self) -> Suspensions | None:
        """What the file says; None where there is none or it cannot be read, which is told."""
        self._seen = self._stamp()
        try:
            return parse(self._path.read_text())
        except FileNotFoundError:
            return None
        except (OSError, BadSuspensionFile) as why:
            log.error("the file of suspended servers is ignored", extra={"path": str(self._path), "why": str(why)})
            return None

    def write(self, suspensions: Suspensions) -> None:
        fresh = self._path.with_suffix(f".{os.getpid()}")
        with fresh.open("w") as file:
            file.write(dump(suspensions))
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(self._path)
        self._seen = self._stamp()

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size


class SuspendedServers:
    """The servers taken out by hand. Without a file the set ends with the process."""

    def __init__(self, file: SuspensionFile | None = None, clock: Callable[[], float] = time.time) -> None:
        self._file, self._clock = file, clock
        self._known: Suspensions = (file.read() if file else None) or {}

    def __contains__(self, server: str) -> bool:
        return server in self._known and self._known[server].active

    def suspend(self, server: str) -> None:
        """Takes it out; a second time changes nothing."""

        def change() -> None:
            if server not in self:
                self._known[server] = Suspension(self._clock())

        self._change(change)

    def resume(self, server: str) -> None:
        """Takes it back, however often it was taken out."""

        def change() -> None:
            if server in self:
                self._known[server] = dataclasses.replace(self._known[server], resumed=self._clock())

        self._change(change)

    def refresh(self) -> bool:
        """Takes over what the other process of an upgrade wrote; whether there was anything new."""
        if self._file is None or not self._file.changed():
            return False
        found = self._file.read()
        if found is None or found == self._known:
            return False
        self._known = found
        return True

    def effective_entry(self, node: Node) -> Node:
        """An entry of the list as the decisions are to see it."""
        known = self._known.get(node.id)
        if known is None or node.state is NodeState.GONE:
            return node
        if known.resumed is None:
            return dataclasses.replace(node, state=NodeState.DRAINING)
        # a server is restarted while it is out; until the list tells of that start, this is as good as known
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
        except OSError as why:
            log.error("suspended servers are not kept for an upgrade", extra={"why": str(why)})
            change()

    def _drop_expired(self) -> None:
        oldest = self._clock() - RESUMED_RETENTION_S
        self._known = {
            server: one for server, one in self._known.items() if one.resumed is None or one.resumed >= oldest
        }


class ServerList(Protocol):
    """The list of chunk servers as it is known."""

    def knows(self, server: str) -> bool: ...

    def relist(self) -> None:
        """Tells the decisions the whole list anew."""


class SuspensionController:
    """Suspends and resumes chunk servers, and tells the decisions of it."""

    def __init__(self, suspended: SuspendedServers, servers: ServerList) -> None:
        self._suspended, self._servers = suspended, servers

    def suspend(self, server: str) -> None:
        self._check(server)
        self._suspended.suspend(server)
        log.info("chunk server suspended", extra={"node": server})
        self._servers.relist()

    def resume(self, server: str) -> None:
        self._check(server)
        self._suspended.resume(server)
        log.info("chunk server resumed", extra={"node": server})
        self._servers.relist()

    def refresh(self) -> None:
        """Follows what the other process of an upgrade was told."""
        if self._suspended.refresh():
            log.info("suspended servers taken over")
            self._servers.relist()

    def _check(self, server: str) -> None:
        if server not in self._suspended and not self._servers.knows(server):
            raise UnknownServer("there is no such chunk server")
