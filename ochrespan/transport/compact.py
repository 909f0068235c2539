"""Values as msgpack, compressed where that pays: for commands, snapshots and the change feed."""

from __future__ import annotations

import zlib
from typing import Any

import ormsgpack

COMPRESSED_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
_PLAIN, _COMPRESSED = b"\x00", b"\x01"


class PackingError(ValueError):
    """A value that msgpack cannot express: a string that is no Unicode, or a number of more than 64 bits."""


def pack(value: Any) -> bytes:
    """The bytes of a value made of maps, lists, strings, bytes, numbers, booleans and null."""
    return compress(pack_sorted(value))


def pack_sorted(value: Any) -> bytes:
    """The uncompressed bytes of a value, the same for maps with the same fields in another order."""
    try:
        return ormsgpack.packb(value, option=ormsgpack.OPT_SORT_KEYS)
    except (ormsgpack.MsgpackEncodeError, RecursionError) as error:
        raise PackingError(str(error)) from error


def compress(data: bytes) -> bytes:
    """`data`, compressed if it is large."""
    if len(data) < COMPRESSED_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """What was given to `compress`."""
    return data[1:] if data[:1] == _PLAIN else zlib.decompress(data[1:])


def unpack(data: bytes) -> Any:
    """The value that `pack` was given, with lists in place of tuples."""
    return ormsgpack.unpackb(decompress(data))
