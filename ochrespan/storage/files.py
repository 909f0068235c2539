"""The file operations that the store needs, and their form for a real directory."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class Directory(Protocol):
    """A folder of a few files that are read whole and written at an offset. Every call may raise OSError."""

    def read(self, name: str) -> bytes | None:
        """The whole content; None where there is no such file."""

    def create(self, name: str) -> None:
        """Makes an empty file where there is none, and syncs it."""

    def write_at(self, name: str, offset: int, data: bytes) -> None: ...

    def set_length(self, name: str, length: int) -> None: ...

    def sync(self, name: str) -> None:
        """What was written to the file lasts from here on."""

    def sync_names(self) -> None:
        """The names of the folder last from here on."""


class PosixDirectory:
    """Files of a folder of the operating system; keeps one descriptor a file."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._descriptors: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        try:
            with open(os.path.join(self._path, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        os.fsync(self._descriptor(name))

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        descriptor = self._descriptor(name)
        os.lseek(descriptor, offset, os.SEEK_SET)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def set_length(self, name: str, length: int) -> None:
        os.ftruncate(self._descriptor(name), length)

    def sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def sync_names(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for descriptor in self._descriptors.values():
            with contextlib.suppress(OSError):
                os.close(descriptor)
        self._descriptors.clear()

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(os.path.join(self._path, name), os.O_RDWR | os.O_CREAT, 0o600)
        return self._descriptors[name]
