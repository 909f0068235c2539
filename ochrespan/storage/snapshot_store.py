"""Durable state: a checkpoint in one of two slots that are written in turn, and a short log of later records.

Generation g has its checkpoint in slot g mod 2 and its records in log g mod 2. A new checkpoint begins log g+1, then
writes slot g+1; until that slot is durable, the state is slot g with both logs. The files of g+1 replace only those
of g-1, so at any moment a complete state is on the disk.

Calls block and may raise OSError; whatever has failed is written again by the next call.
"""

from __future__ import annotations

from dataclasses import dataclass

from . import records
from .errors import UnflushedRecordsError
from .files import Directory

SLOT_NAMES = ("slot-0", "slot-1")
LOG_NAMES = ("log-0", "log-1")


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What was on the disk: the newest checkpoint, and the records after it in their order.

    Both are empty on a new disk. The first records may be contained in the checkpoint already.
    """

    checkpoint: bytes | None
    records: list[bytes]


class SnapshotStore:
    """The slots and logs of one directory, written by one greenlet or thread at a time. `open` comes first."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._slot_generation = 0
        self._log_generation = 0
        self._durable_end = 0  # of the current log, in bytes
        self._pending = bytearray()  # bytes that follow `_durable_end`; perhaps written, but not known to be durable
        self._checksum = 0
        self._is_log_stale = False  # the log file is of an older generation, and is truncated before it is written

    @property
    def log_bytes(self) -> int:
        """The size of the current log with what is pending."""
        return self._durable_end + len(self._pending)

    @property
    def checkpoint_in_progress(self) -> bool:
        """Whether the log of the next generation has begun while its slot is still to be written."""
        return self._log_generation > self._slot_generation

    def open(self) -> RecoveredState:
        """Reads the state from the disk, after syncing all files.

        A process that was killed may have left records that were written but not synced. They are returned, so a later
        loss of power must not remove them.

        Raises:
            OSError: The disk can't be read.
            FormatError: A file has another format version.
        """
        for name in (*SLOT_NAMES, *LOG_NAMES):
            self._directory.create(name)
        self._directory.sync_directory()
        for name in (*SLOT_NAMES, *LOG_NAMES):
            self._directory.sync(name)
        slots = [slot for name in SLOT_NAMES if (slot := records.decode_slot(self._directory.read(name)))]
        newest = max(slots, default=None)
        self._slot_generation = newest.generation if newest else 0
        recovered: list[bytes] = []
        self._begin_log(self._slot_generation)
        for generation in (self._slot_generation, self._slot_generation + 1):
            content = records.decode_log(self._directory.read(LOG_NAMES[generation % 2]))
            if content is not None and content.generation == generation:
                recovered += content.records
                self._continue_log(content)
        return RecoveredState(newest.checkpoint if newest else None, recovered)

    def append(self, payloads: list[bytes]) -> None:
        """Adds records to the log; they are durable when `flush` has returned."""
        for payload in payloads:
            data, self._checksum = records.encode_record(payload, self._checksum)
            self._pending += data

    def flush(self) -> None:
        """Writes and syncs the pending records. After an OSError, the next call writes all of them again."""
        if not self._pending:
            return
        name = LOG_NAMES[self._log_generation % 2]
        if self._is_log_stale:
            self._directory.set_length(name, 0)
            self._is_log_stale = False
        data = bytes(self._pending)
        self._directory.write_at(name, self._durable_end, data)
        self._directory.sync(name)
        self._durable_end += len(data)
        del self._pending[: len(data)]

    def begin_checkpoint(self) -> None:
        """Puts the records that are appended from here on into the log of the next generation.

        After a checkpoint whose slot could not be written, the log that it has begun stays in use.

        Raises:
            UnflushedRecordsError: Records that were appended before are not flushed.
        """
        if self.checkpoint_in_progress:
            return
        if self._pending:
            raise UnflushedRecordsError("records are waiting to be flushed")
        self._begin_log(self._slot_generation + 1)

    def write_checkpoint(self, checkpoint: bytes) -> None:
        """Makes a checkpoint durable.

        Args:
            checkpoint: The state at the start of the new log, or any later one that its records lead to.
        """
        generation = self._log_generation
        name = SLOT_NAMES[generation % 2]
        data = records.encode_slot(generation, checkpoint)
        self.flush()
        self._directory.write_at(name, 0, data)
        self._directory.set_length(name, len(data))
        self._directory.sync(name)
        self._slot_generation = generation

    def _begin_log(self, generation: int) -> None:
        header, checksum = records.log_header(generation)
        self._log_generation = generation
        self._durable_end = 0
        self._pending = bytearray(header)
        self._checksum = checksum
        self._is_log_stale = True

    def _continue_log(self, content: records.LogContent) -> None:
        self._log_generation = content.generation
        self._durable_end = content.end
        self._pending = bytearray()
        self._checksum = content.checksum
        self._is_log_stale = False
