"""Values as msgpack, compressed with zlib from a minimum size on: for commands, snapshots and the change feed.

The first byte says whether the rest is compressed.
"""

from __future__ import annotations

import zlib
from typing import Any

import ormsgpack

from .errors import PackingError as PackingError  # the alias exports it

COMPRESSED_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(value: Any) -> bytes:
    """The bytes of a value made of dicts, lists, strings, bytes, numbers, booleans and None.

    Raises:
        PackingError: msgpack cannot express the value.
    """
    return compress(pack_sorted(value))


def pack_sorted(value: Any) -> bytes:
    """The uncompressed bytes of a value, the same for dicts with the same keys in another order.

    Raises:
        PackingError: msgpack cannot express the value.
    """
    try:
        return ormsgpack.packb(value, option=ormsgpack.OPT_SORT_KEYS)
    except (ormsgpack.MsgpackEncodeError, RecursionError) as error:
        raise PackingError(str(error)) from error


def compress(data: bytes) -> bytes:
    """`data` after the byte that says whether it is compressed, which it is from COMPRESSED_FROM_BYTES on."""
    if len(data) < COMPRESSED_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """The data that was passed to `compress`. Raises zlib.error if the data is corrupt."""
    return data[1:] if data[:1] == _PLAIN else zlib.decompress(data[1:])


def unpack(data: bytes) -> Any:
    """The value that was passed to `pack`, with lists for tuples. Raises ValueError or zlib.error if corrupt."""
    return ormsgpack.unpackb(decompress(data))
