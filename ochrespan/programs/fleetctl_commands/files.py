"""Files of the command line: reads whose errors are findings, and atomic, durable writes."""

from __future__ import annotations

import os
from pathlib import Path

from ochrespan.common.validation import Finding, ValidationError


def read_file(path: Path) -> bytes:
    """The contents of a file; raises ValidationError where it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise ValidationError([Finding(str(path), str(error.strerror), "a readable file")]) from error


def replace_file(path: Path, text: str) -> None:
    """Writes a file atomically: the new contents are synced before they are renamed into place; raises OSError."""
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_directory(path.parent)


def _sync_directory(directory: Path) -> None:
    """Makes a rename in the directory durable."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
