"""Durable state: an image in one of two slots that are written in turn, and a short log of what came after it.

Generation g has its image in slot g mod 2 and its records in log g mod 2. A checkpoint begins log g+1, then writes slot
g+1; until that slot is durable, slot g with both logs tells the state. The files of g+1 replace those of g-1 only, so
at any moment a whole state lies on the disk. Calls block and may raise OSError; whatever failed is written again by
the next call.
"""

from __future__ import annotations

from dataclasses import dataclass

from . import records
from .files import Directory

SLOT_NAMES = ("slot-0", "slot-1")
LOG_NAMES = ("log-0", "log-1")


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What was on the disk: the newest image, and the records after it in their order. Both empty at first."""

    image: bytes | None
    records: list[bytes]


class SnapshotStore:
    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._slot_generation = 0
        self._log_generation = 0
        self._durable_end = 0
        self._pending = bytearray()  # written from `_durable_end` on, not known to be durable
        self._checksum = 0
        self._shorten = False  # the log file holds an older generation

    @property
    def log_bytes(self) -> int:
        return self._durable_end + len(self._pending)

    @property
    def checkpoint_in_progress(self) -> bool:
        """The log of the next generation has begun, and its slot is still to be written."""
        return self._log_generation > self._slot_generation

    def open(self) -> RecoveredState:
        """Reads what is there. Everything that is returned is durable."""
        for name in (*SLOT_NAMES, *LOG_NAMES):
            self._directory.create(name)
        self._directory.sync_names()
        for name in (*SLOT_NAMES, *LOG_NAMES):
            self._directory.sync(name)
        slots = [slot for name in SLOT_NAMES if (slot := records.decode_slot(self._directory.read(name)))]
        self._slot_generation, image = max(slots, default=(0, None))
        found = []
        self._begin_log(self._slot_generation)
        for generation in (self._slot_generation, self._slot_generation + 1):
            content = records.decode_log(self._directory.read(LOG_NAMES[generation % 2]))
            if content is not None and content.generation == generation:
                found += content.records
                self._continue_log(content)
        return RecoveredState(image, found)

    def append(self, payloads: list[bytes]) -> None:
        """Adds records to the log; they are durable when `flush` has returned."""
        for payload in payloads:
            data, self._checksum = records.encode_record(payload, self._checksum)
            self._pending += data

    def flush(self) -> None:
        """Writes and syncs what was added. After an error, the next call writes all of it again."""
        if not self._pending:
            return
        name = LOG_NAMES[self._log_generation % 2]
        if self._shorten:
            self._directory.set_length(name, 0)
            self._shorten = False
        data = bytes(self._pending)
        self._directory.write_at(name, self._durable_end, data)
        self._directory.sync(name)
        self._durable_end += len(data)
        del self._pending[: len(data)]

    def begin_checkpoint(self) -> None:
        """Records from here on belong to the next generation. What was added before has to be flushed.

        A checkpoint that failed half-way is begun again without a new log.
        """
        if self.checkpoint_in_progress:
            return
        if self._pending:
            raise RuntimeError("records are waiting to be flushed")
        self._begin_log(self._slot_generation + 1)

    def write_checkpoint(self, image: bytes) -> None:
        """Makes `image` durable: the state at the start of the new log, or any later one that its records lead to."""
        generation = self._log_generation
        name = SLOT_NAMES[generation % 2]
        data = records.encode_slot(generation, image)
        self.flush()
        self._directory.write_at(name, 0, data)
        self._directory.set_length(name, len(data))
        self._directory.sync(name)
        self._slot_generation = generation

    def _begin_log(self, generation: int) -> None:
        data, self._checksum = records.log_header(generation)
        self._log_generation, self._durable_end, self._pending = generation, 0, bytearray(data)
        self._shorten = True

    def _continue_log(self, content: records.LogContent) -> None:
        self._log_generation, self._durable_end = content.generation, content.end
        self._checksum, self._pending, self._shorten = content.checksum, bytearray(), False
