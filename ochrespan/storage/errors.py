"""Exceptions of the storage package. Faults of the disk itself are the OSError of the call that failed."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all exceptions of this package."""


class FormatError(StorageError):
    """A file of another kind or of a format version that this program can't read.

    Attributes:
        found: The magic bytes and the version of the file.
        allowed: The magic bytes and the version that are expected.
    """

    def __init__(self, found: str, allowed: str) -> None:
        super().__init__(f"found {found}, allowed {allowed}")
        self.found = found
        self.allowed = allowed


class UnflushedRecordsError(StorageError, RuntimeError):
    """A checkpoint was begun while records of the log were not flushed: a fault of the caller."""
