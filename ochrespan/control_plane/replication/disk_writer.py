"""Writes the updates of all replicas of a process to its disk: group commit, one write and one sync at a time.

Disk operations run in gevent's thread pool, so a slow or hanging disk does not block the process's other greenlets.
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
MIN_LOG_BYTES = 1024 * 1024  # a checkpoint of a shorter log costs more than it saves
LOG_DISK_DIVISOR = 16  # a checkpoint is due once the log exceeds the disk's size divided by this


class DiskWriter:
    """Appends records to the store after each `wake()`, and replaces the log by a checkpoint once it is too long.

    Owns the greenlet that writes; `stop()` ends it, but does not interrupt a write in the thread pool.
    """

    def __init__(
        self,
        store: SnapshotStore,
        disk_bytes: int,
        take_records: Callable[[], list[bytes]],
        on_persisted: Callable[[], None],
        make_checkpoint: Callable[[], bytes],
    ) -> None:
        """Sets the store and the callbacks to the replicas.

        Args:
            store: An opened store.
            disk_bytes: Size of the disk in bytes, which bounds the log.
            take_records: Returns the records that have not been written yet.
            on_persisted: Called when the records of the last `take_records` call are synced to the disk.
            make_checkpoint: Returns the complete state, which replaces all records taken so far.
        """
        self._store = store
        self._take_records = take_records
        self._on_persisted = on_persisted
        self._make_checkpoint = make_checkpoint
        self._max_log_bytes = max(MIN_LOG_BYTES // 4, min(4 * MIN_LOG_BYTES, disk_bytes // LOG_DISK_DIVISOR))
        self._checkpoint_bytes = 0
        self._wake = Event()
        self._write_started_at: float | None = None
        self._has_failed = False
        self._retry_checkpoint_at = 0.0
        self._greenlet: gevent.Greenlet | None = None

    @property
    def pending_for(self) -> float:
        """Seconds since the current write started; 0 while no write is in progress."""
        return 0.0 if self._write_started_at is None else time.monotonic() - self._write_started_at

    @property
    def has_failed(self) -> bool:
        """Whether the last write failed, for example because the disk is full or broken."""
        return self._has_failed

    def start(self) -> None:
        """Starts the greenlet that writes."""
        self._greenlet = gevent.spawn(self._run_forever)

    def stop(self) -> None:
        """Ends the greenlet that writes."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def wake(self) -> None:
        """Notifies the writer that there may be records to write."""
        self._wake.set()

    def _run_forever(self) -> None:
        """Restarts the loop after any error other than a disk error: replicas cannot commit without a writer."""
        while True:
            try:
                self._run()
            except Exception:  # noqa: BLE001 - a failing callback must not end the only writer of this process
                log.exception("disk writer step failed, continuing")
                gevent.sleep(RETRY_S)
                self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            records = self._take_records()
            if records:
                self._store.append(records)
                self._retry_until_done(self._store.flush)
                self._on_persisted()
            if self._is_checkpoint_due():
                self._write_checkpoint()

    def _retry_until_done(self, operation: Callable[[], None]) -> None:
        while not self._try(operation):
            gevent.sleep(RETRY_S)

    def _try(self, operation: Callable[[], None]) -> bool:
        """Runs a disk operation in a thread and returns whether it succeeded; logs the first failure only."""
        self._write_started_at = time.monotonic()
        try:
            gevent.get_hub().threadpool.apply(operation)
        except OSError as error:
            if not self._has_failed:
                is_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
                log.error("disk full error=%s" if is_full else "disk write failed error=%s", error)
            self._has_failed = True
            return False
        finally:
            self._write_started_at = None
        if self._has_failed:
            log.info("disk recovered")
        self._has_failed = False
        return True

    def _is_checkpoint_due(self) -> bool:
        if self._store.checkpoint_in_progress:
            return time.monotonic() >= self._retry_checkpoint_at
        return self._store.log_bytes > max(self._max_log_bytes, 2 * self._checkpoint_bytes)

    def _write_checkpoint(self) -> None:
        """Attempts to write a checkpoint. If that fails, the log keeps growing; the next one follows after RETRY_S."""
        self._retry_checkpoint_at = time.monotonic() + RETRY_S
        self._store.begin_checkpoint()
        checkpoint = self._make_checkpoint()
        if self._try(lambda: self._store.write_checkpoint(checkpoint)):
            self._checkpoint_bytes = len(checkpoint)
            log.info("checkpoint written bytes=%d", len(checkpoint))
