"""Bytes of the store's files: a slot with one image, and a log of records whose checksums are chained.

Integers are big endian. A header names what the file is, the version of its format and its generation. Each record of a
log carries a checksum that continues the one before it, so nothing that an earlier use of the file left behind is ever
taken for a record.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass

FORMAT_VERSION = 1
SLOT_MAGIC, LOG_MAGIC = b"OCHS", b"OCHL"

_header = struct.Struct(">4sHQQ")  # magic, format version, generation, length of the image (0 in a log)
_checksum = struct.Struct(">I")
_record = struct.Struct(">II")  # length, checksum
HEADER_BYTES = _header.size + _checksum.size


class FormatError(Exception):
    """A file of a format that this version can't read: what was found and what is allowed."""


@dataclass(frozen=True, slots=True)
class LogContent:
    """Records of a log up to the first that is torn or missing."""

    generation: int
    records: list[bytes]
    end: int  # offset behind the last good record
    checksum: int  # of the last good record; the next one continues it


def header(magic: bytes, generation: int, length: int = 0) -> bytes:
    data = _header.pack(magic, FORMAT_VERSION, generation, length)
    return data + _checksum.pack(zlib.crc32(data))


def encode_slot(generation: int, image: bytes) -> bytes:
    return header(SLOT_MAGIC, generation, len(image)) + _image_checksum(generation, image) + image


def decode_slot(data: bytes | None) -> tuple[int, bytes] | None:
    """Generation and image; None where the slot was never written, or not to its end."""
    parsed = _parse_header(data, SLOT_MAGIC)
    if parsed is None:
        return None
    generation, length = parsed
    start = HEADER_BYTES + _checksum.size
    image = data[start : start + length]
    if len(image) < length or _image_checksum(generation, image) != data[HEADER_BYTES:start]:
        return None
    return generation, image


def log_header(generation: int) -> tuple[bytes, int]:
    """The first bytes of a log, and the checksum that its first record continues."""
    data = header(LOG_MAGIC, generation)
    return data, zlib.crc32(data)


def encode_record(payload: bytes, previous: int) -> tuple[bytes, int]:
    """The bytes of a record, and its checksum."""
    checksum = zlib.crc32(payload, zlib.crc32(_checksum.pack(len(payload)), previous))
    return _record.pack(len(payload), checksum) + payload, checksum


def decode_log(data: bytes | None) -> LogContent | None:
    """The good records of a log; None where its header is missing or torn."""
    parsed = _parse_header(data, LOG_MAGIC)
    if parsed is None:
        return None
    generation = parsed[0]
    _, checksum = log_header(generation)
    records, end = [], HEADER_BYTES
    while end + _record.size <= len(data):
        length, expected = _record.unpack_from(data, end)
        payload = data[end + _record.size : end + _record.size + length]
        if len(payload) < length or encode_record(payload, checksum)[1] != expected:
            break
        records.append(payload)
        end, checksum = end + _record.size + length, expected
    return LogContent(generation, records, end, checksum)


def _image_checksum(generation: int, image: bytes) -> bytes:
    return _checksum.pack(zlib.crc32(image, generation & 0xFFFFFFFF))


def _parse_header(data: bytes | None, magic: bytes) -> tuple[int, int] | None:
    if data is None or len(data) < HEADER_BYTES:
        return None
    if _checksum.unpack_from(data, _header.size)[0] != zlib.crc32(data[: _header.size]):
        return None
    found_magic, version, generation, length = _header.unpack_from(data)
    if found_magic != magic or version != FORMAT_VERSION:
        raise FormatError(f"found {found_magic!r} version {version}, allowed {magic!r} version {FORMAT_VERSION}")
    return generation, length
