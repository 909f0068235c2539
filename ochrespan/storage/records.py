"""The bytes of the store's files: a slot with one checkpoint, and a log of records whose checksums are chained.

Integers are big endian; checksums are CRC-32. Both files begin with a header: four magic bytes, the format version (16
bits), the generation (64 bits), the length of the checkpoint (64 bits, 0 in a log), and a checksum of these.

- Slot: header, checksum of the checkpoint (started from the generation), checkpoint.
- Log: header, then records of length (32 bits), checksum (32 bits) and payload.

The checksum of a record covers its length and payload and continues that of the record before it, the first one that of
the header. So a record that an earlier generation has left in the file is never mistaken for one of this generation.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import NamedTuple

from .errors import FormatError as FormatError  # the alias exports it

FORMAT_VERSION = 1
SLOT_MAGIC = b"OCHS"
LOG_MAGIC = b"OCHL"

_header = struct.Struct(">4sHQQ")
_checksum = struct.Struct(">I")
_record_header = struct.Struct(">II")
HEADER_BYTES = _header.size + _checksum.size


class SlotContent(NamedTuple):
    """A complete checkpoint and its generation."""

    generation: int
    checkpoint: bytes


@dataclass(frozen=True, slots=True)
class LogContent:
    """The records of a log up to the first that is torn or missing.

    Attributes:
        generation: The generation that the log belongs to.
        records: Their payloads, the oldest first.
        end: The offset after the last good record, in bytes.
        checksum: The checksum of the last good record, or of the header; the next record continues it.
    """

    generation: int
    records: list[bytes]
    end: int
    checksum: int


def encode_slot(generation: int, checkpoint: bytes) -> bytes:
    """The bytes of a slot."""
    header = _encode_header(SLOT_MAGIC, generation, len(checkpoint))
    return header + _checkpoint_checksum(generation, checkpoint) + checkpoint


def decode_slot(data: bytes | None) -> SlotContent | None:
    """The content of a slot; None where it was never written, or not completely.

    Raises:
        FormatError: The file has another format version, or is no slot.
    """
    if data is None or (header := _decode_header(data, SLOT_MAGIC)) is None:
        return None
    generation, length = header
    start = HEADER_BYTES + _checksum.size
    checkpoint = data[start : start + length]
    if len(checkpoint) < length or _checkpoint_checksum(generation, checkpoint) != data[HEADER_BYTES:start]:
        return None
    return SlotContent(generation, checkpoint)


def log_header(generation: int) -> tuple[bytes, int]:
    """The header of a log, and its checksum, which the first record continues."""
    data = _encode_header(LOG_MAGIC, generation, 0)
    return data, zlib.crc32(data)


def encode_record(payload: bytes, previous_checksum: int) -> tuple[bytes, int]:
    """The bytes of a record, and its checksum, which the next record continues."""
    checksum = zlib.crc32(payload, zlib.crc32(_checksum.pack(len(payload)), previous_checksum))
    return _record_header.pack(len(payload), checksum) + payload, checksum


def decode_log(data: bytes | None) -> LogContent | None:
    """The good records of a log; None where its header is missing or torn.

    Raises:
        FormatError: The file has another format version, or is no log.
    """
    if data is None or (header := _decode_header(data, LOG_MAGIC)) is None:
        return None
    generation, _ = header
    _, checksum = log_header(generation)
    records = []
    end = HEADER_BYTES
    while end + _record_header.size <= len(data):
        length, expected = _record_header.unpack_from(data, end)
        start = end + _record_header.size
        payload = data[start : start + length]
        if len(payload) < length or encode_record(payload, checksum)[1] != expected:
            break
        records.append(payload)
        end = start + length
        checksum = expected
    return LogContent(generation, records, end, checksum)


def _checkpoint_checksum(generation: int, checkpoint: bytes) -> bytes:
    return _checksum.pack(zlib.crc32(checkpoint, generation & 0xFFFFFFFF))


def _encode_header(magic: bytes, generation: int, length: int) -> bytes:
    data = _header.pack(magic, FORMAT_VERSION, generation, length)
    return data + _checksum.pack(zlib.crc32(data))


def _decode_header(data: bytes, magic: bytes) -> tuple[int, int] | None:
    """Generation and length; None where the header is incomplete or torn."""
    if len(data) < HEADER_BYTES:
        return None
    if _checksum.unpack_from(data, _header.size)[0] != zlib.crc32(data[: _header.size]):
        return None
    found_magic, version, generation, length = _header.unpack_from(data)
    if found_magic != magic or version != FORMAT_VERSION:
        raise FormatError(f"{found_magic!r} version {version}", f"{magic!r} version {FORMAT_VERSION}")
    return generation, length
