"""The file operations that the store needs, and their implementation for a directory of the operating system."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class Directory(Protocol):
    """A directory of a few files, which are read completely and written at an offset.

    Names are plain file names. Every call blocks and may raise OSError; the content of the file after a failed call is
    unknown, and the call may be repeated. Nothing is durable, that is, certain to survive a loss of power, before the
    matching sync has returned.
    """

    def read(self, name: str) -> bytes | None:
        """The complete content of a file; None where it does not exist."""

    def create(self, name: str) -> None:
        """Creates an empty file where there is none, and syncs the file. Existing content stays."""

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Writes all of `data` from `offset` (bytes) on, and extends the file if needed."""

    def set_length(self, name: str, length: int) -> None:
        """Truncates a file to `length` bytes, or extends it with zeros."""

    def sync(self, name: str) -> None:
        """Makes durable what has been written to a file, and its length."""

    def sync_directory(self) -> None:
        """Makes the directory entries of the files durable."""


class PosixDirectory:
    """A `Directory` of the operating system. Owns one descriptor a file from its first use until `close`."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """See `Directory.read`."""
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        """See `Directory.create`."""
        os.fsync(self._descriptor(name))

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """See `Directory.write_at`."""
        descriptor = self._descriptor(name)
        os.lseek(descriptor, offset, os.SEEK_SET)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def set_length(self, name: str, length: int) -> None:
        """See `Directory.set_length`."""
        os.ftruncate(self._descriptor(name), length)

    def sync(self, name: str) -> None:
        """See `Directory.sync`: fdatasync, which covers a changed length."""
        os.fdatasync(self._descriptor(name))

    def sync_directory(self) -> None:
        """See `Directory.sync_directory`."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes the descriptors; a later call opens them again."""
        for descriptor in self._descriptors.values():
            with contextlib.suppress(OSError):
                os.close(descriptor)
        self._descriptors.clear()

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(os.path.join(self._path, name), os.O_RDWR | os.O_CREAT, 0o600)
        return self._descriptors[name]
