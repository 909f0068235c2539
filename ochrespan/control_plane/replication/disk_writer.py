"""Writes what the replicas of a process want to be durable: one write and one sync at a time, for all groups.

The disk is used in a thread, so a slow or hung disk holds up neither heartbeats nor anything else.
"""

from __future__ import annotations

import errno
import logging
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from ochrespan.storage.snapshot_store import SnapshotStore

log = logging.getLogger(__name__)


RETRY_S = 0.25
MIN_LOG_BYTES = 1024 * 1024  # a checkpoint isn't worth its cost below
LOG_DISK_DIVISOR = 16  # a log may fill one part in this many of the disk


class DiskWriter:
    """Calls `take()` for records whenever it is woken, and `durable()` when they are on the disk."""

    def __init__(
        self,
        store: SnapshotStore,
        disk_bytes: int,
        take: Callable[[], list[bytes]],
        durable: Callable[[], None],
        image: Callable[[], bytes],
    ) -> None:
        self._store, self._take, self._durable, self._image = store, take, durable, image
        self._log_limit = max(MIN_LOG_BYTES // 4, min(4 * MIN_LOG_BYTES, disk_bytes // LOG_DISK_DIVISOR))
        self._image_bytes = 0
        self._wake = Event()
        self._began: float | None = None
        self._failed = False
        self._checkpoint_at = 0.0
        self._greenlet: gevent.Greenlet | None = None

    @property
    def pending_for(self) -> float:
        """Seconds since the write that is under way began; 0 where there is none."""
        return 0.0 if self._began is None else time.monotonic() - self._began

    @property
    def failed(self) -> bool:
        """The disk refuses writes, for lack of room or else."""
        return self._failed

    def start(self) -> None:
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def wake(self) -> None:
        self._wake.set()

    def _run(self) -> None:
        """Only the disk's own errors are expected; another one must not leave the process without its writer."""
        while True:
            try:
                self._serve()
            except Exception:
                log.exception("disk writer failed and goes on")
                gevent.sleep(RETRY_S)
                self._wake.set()

    def _serve(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            payloads = self._take()
            if payloads:
                self._store.append(payloads)
                self._until_done(self._store.flush)
                self._durable()
            if self._checkpoint_wanted():
                self._checkpoint()

    def _until_done(self, operation: Callable[[], None]) -> None:
        while not self._done(operation):
            gevent.sleep(RETRY_S)

    def _done(self, operation: Callable[[], None]) -> bool:
        self._began = time.monotonic()
        try:
            gevent.get_hub().threadpool.apply(operation)
        except OSError as error:
            if not self._failed:
                reason = "full" if error.errno in (errno.ENOSPC, errno.EDQUOT) else "failed"
                log.error("disk %s error=%s", reason, error)
            self._failed = True
            return False
        finally:
            self._began = None
        if self._failed:
            log.info("disk works again")
        self._failed = False
        return True

    def _checkpoint_wanted(self) -> bool:
        if self._store.checkpoint_in_progress:
            return time.monotonic() >= self._checkpoint_at
        return self._store.log_bytes > max(self._log_limit, 2 * self._image_bytes)

    def _checkpoint(self) -> None:
        """One attempt. If it fails, the log goes on growing and the next attempt comes after a pause."""
        self._checkpoint_at = time.monotonic() + RETRY_S
        self._store.begin_checkpoint()
        image = self._image()
        if self._done(lambda: self._store.write_checkpoint(image)):
            self._image_bytes = len(image)
            log.info("checkpoint written bytes=%d", len(image))
