"""A simulated disk: a loss of power keeps, loses or tears each unsynced write by itself; calls can be made to fail."""

from __future__ import annotations

import errno
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

ALL_LOST_CHANCE = 0.3  # that a loss of power loses every unsynced write


@dataclass(slots=True)
class Write:
    """A write of `data` at `offset`, or a change of length where `data` is None."""

    offset: int
    data: bytes | None

    def apply(self, content: bytearray) -> None:
        """Applies this write to the content of a file."""
        if self.data is None:
            del content[self.offset :]
            content.extend(bytes(self.offset - len(content)))
            return
        content.extend(bytes(max(0, self.offset - len(content))))
        content[self.offset : self.offset + len(self.data)] = self.data


@dataclass(slots=True)
class File:
    """A file: its synced content, and the writes since the last sync, in order."""

    durable: bytearray = field(default_factory=bytearray)
    unsynced: list[Write] = field(default_factory=list)

    def visible(self) -> bytearray:
        """The content as a running process reads it."""
        content = bytearray(self.durable)
        for write in self.unsynced:
            write.apply(content)
        return content


class ProcessEnds(Exception):  # noqa: N818 - no error: ends the simulated process
    """The test has the process end before this call."""


class SimDirectory:
    """The file interface of `SnapshotStore`, in memory."""

    def __init__(self) -> None:
        self.files: dict[str, File] = {}
        self.full = False
        self.syncs_fail = False
        self.calls = 0
        self.fail_call: int | None = None  # the number of the call that fails once, with an error of the disk
        self.end_call: int | None = None  # the number of the call before which the process ends

    def read(self, name: str) -> bytes | None:
        """The content of a file; None where there is none."""
        self._called(writes=False)
        return bytes(self.files[name].visible()) if name in self.files else None

    def create(self, name: str) -> None:
        """Creates an empty file unless it exists."""
        self._called(writes=True)
        self.files.setdefault(name, File())

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Writes without a sync."""
        self._called(writes=True)
        self.files[name].unsynced.append(Write(offset, data))

    def set_length(self, name: str, length: int) -> None:
        """Truncates or extends a file, without a sync."""
        self._called(writes=True)
        self.files[name].unsynced.append(Write(length, None))

    def sync(self, name: str) -> None:
        """Makes all writes to a file durable."""
        self._called(writes=True)
        if self.syncs_fail:
            raise OSError(errno.EIO, "sync")
        file = self.files[name]
        file.durable, file.unsynced = file.visible(), []

    def sync_directory(self) -> None:
        """Makes created files durable; here they always are."""
        self._called(writes=False)

    def lose_power(self, source: random.Random) -> None:
        """Keeps, loses or tears each unsynced write at random; with ALL_LOST_CHANCE loses all of them."""
        all_lost = source.random() < ALL_LOST_CHANCE
        for file in self.files.values():
            kept = []
            for write in file.unsynced:
                fate = source.choice(("kept", "missing", "torn"))
                if all_lost or fate == "missing":
                    continue
                if fate == "torn" and write.data:
                    write = Write(write.offset, write.data[: source.randrange(len(write.data))])
                kept.append(write)
            file.unsynced = kept
            file.durable, file.unsynced = file.visible(), []

    def after_power_loss(self) -> Iterator[SimDirectory]:
        """Every state that a loss of power may leave the disk in: each unsynced write kept, missing or torn in half."""
        writes = [(name, write) for name, file in self.files.items() for write in file.unsynced]
        for fates in itertools.product(("kept", "missing", "torn"), repeat=len(writes)):
            left = SimDirectory()
            left.files = {name: File(bytearray(file.durable)) for name, file in self.files.items()}
            for (name, write), fate in zip(writes, fates, strict=True):
                if fate == "torn" and write.data:
                    Write(write.offset, write.data[: len(write.data) // 2]).apply(left.files[name].durable)
                elif fate == "kept":
                    write.apply(left.files[name].durable)
            yield left

    def _called(self, writes: bool) -> None:
        self.calls += 1
        if self.calls == self.end_call:
            raise ProcessEnds
        if self.calls == self.fail_call:
            raise OSError(errno.EIO, "planned")
        if writes and self.full:
            raise OSError(errno.ENOSPC, "full")
