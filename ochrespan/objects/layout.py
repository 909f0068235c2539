"""How an object lies on the chunk servers. All of it follows from names, so any front finds what another wrote.

An object is a manifest, written last, and its data in sealed chunks. The seal is a digest over the chunk's name
and bytes: a chunk that is cut short, altered or another's does not open.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import zlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from typing import Any

MAX_BODY_BYTES = 64 * 1024  # bytes of a chunk server's body
SEAL_BYTES = 16  # bytes of the digest before a chunk's payload
PAYLOAD_BYTES = MAX_BODY_BYTES - SEAL_BYTES  # bytes of an object in one chunk
MAX_PARTS = 1000  # so that the part list fits into the manifest's one chunk
MAX_RECORD_BYTES = 8 * MAX_BODY_BYTES  # bytes of a record's text once unpacked
DEFAULT_CONTENT_TYPE = "binary/octet-stream"  # S3's own, where a client names none

ChunkName = tuple[str, ...]


class CorruptChunk(ValueError):
    """A body that is not what was stored under this name."""


def _digest(chunk_name: ChunkName, size: int) -> bytes:
    return hashlib.blake2b(json.dumps(chunk_name).encode(), digest_size=size).digest()


@dataclass(frozen=True, slots=True)
class ChunkLocation:
    """The volume, key and shard under which a chunk is stored."""

    volume: str
    key: str
    shard: int

    @property
    def target(self) -> str:
        """The request target at its chunk server."""
        return f"/api/{self.volume}/{self.key}"


def locate(team: str, chunk_name: ChunkName, shards: int) -> ChunkLocation:
    """Where a chunk of this name lies: the same at every front."""
    digest = _digest(chunk_name, 16)
    shard = int.from_bytes(digest[8:]) % max(1, shards)
    return ChunkLocation(_digest(("team", team), 8).hex(), digest[:8].hex(), shard)


def seal(chunk_name: ChunkName, payload: bytes) -> bytes:
    """The chunk's body: a keyed digest of the payload under its name, then the payload."""
    return hashlib.blake2b(payload, digest_size=SEAL_BYTES, key=_digest(chunk_name, 32)).digest() + payload


def unseal(chunk_name: ChunkName, body: bytes) -> bytes:
    """The payload; raises `Corrupt` unless the body is whole and of this name."""
    payload = body[SEAL_BYTES:]
    if not hmac.compare_digest(seal(chunk_name, payload)[:SEAL_BYTES], body[:SEAL_BYTES]):
        raise CorruptChunk("the seal does not match")
    return payload


def pack(record: Any) -> bytes:
    """A record as a chunk's payload."""
    return zlib.compress(json.dumps(record, separators=(",", ":")).encode())


def unpack(payload: bytes) -> Any:
    """The record again; raises `Corrupt` where it would grow beyond its bound."""
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(payload, MAX_RECORD_BYTES)
    if unpacker.unconsumed_tail:
        raise CorruptChunk("the record is too long")
    return json.loads(text)


@dataclass(frozen=True, slots=True)
class Part:
    """A run of bytes that was stored in one go."""

    number: int
    size: int
    md5: str
    generation: str  # of the chunks that hold it
    modified_ms: int = 0

    def row(self) -> list[Any]:
        """The part as it stands in a record; `Part(*row)` is the part again."""
        return list(asdict(self).values())


@dataclass(frozen=True, slots=True)
class ChunkSlice:
    """The bytes that one chunk gives to a read."""

    part: Part
    index: int
    begin: int
    end: int

    @property
    def payload_bytes(self) -> int:
        """Bytes of the whole chunk."""
        return min(PAYLOAD_BYTES, self.part.size - self.index * PAYLOAD_BYTES)


@dataclass(slots=True)
class Manifest:
    """The record that makes stored parts an object: its parts in order, and what a read tells of it."""

    etag: str
    modified: datetime
    parts: list[Part]
    content_type: str = DEFAULT_CONTENT_TYPE
    meta: dict[str, str] = field(default_factory=dict)
    deleted: bool = False

    @property
    def size(self) -> int:
        """Bytes of the whole object."""
        return sum(part.size for part in self.parts)

    def slices(self, begin: int, end: int) -> Iterator[ChunkSlice]:
        """The chunks that hold the bytes from begin up to, without, end; in order."""
        at = 0
        for part in self.parts:
            low, high = max(begin - at, 0), min(end - at, part.size)
            for index in range(low // PAYLOAD_BYTES, -(-high // PAYLOAD_BYTES) if high > low else 0):
                start = index * PAYLOAD_BYTES
                yield ChunkSlice(part, index, max(low - start, 0), min(high - start, PAYLOAD_BYTES))
            at += part.size

    def encode(self) -> bytes:
        """The payload of the manifest's chunk."""
        record = {
            "v": 1,
            "etag": self.etag,
            "modified": self.modified.isoformat(),
            "type": self.content_type,
            "meta": self.meta,
            "deleted": self.deleted,
            "parts": [part.row() for part in self.parts],
        }
        return pack(record)

    @classmethod
    def decode(cls, payload: bytes) -> Manifest:
        """The manifest of such a payload."""
        got = unpack(payload)
        return cls(
            got["etag"],
            datetime.fromisoformat(got["modified"]),
            [Part(*row) for row in got["parts"]],
            got["type"],
            got["meta"],
            got["deleted"],
        )


def etag_of_parts(parts: list[Part]) -> str:
    """S3's form: the digest of the parts' digests, and their count."""
    digests = b"".join(bytes.fromhex(part.md5) for part in parts)
    return f"{hashlib.md5(digests, usedforsecurity=False).hexdigest()}-{len(parts)}"


def now() -> datetime:
    """The time of day in UTC."""
    return datetime.now(UTC)


def manifest_chunk_name(bucket: str, key: str) -> ChunkName:
    """The chunk of an object's manifest."""
    return ("manifest", bucket, key)


def data_chunk_name(bucket: str, key: str, part: Part, index: int) -> ChunkName:
    """A chunk of a part's data."""
    return ("data", bucket, key, part.generation, str(part.number), str(index))


def upload_chunk_name(bucket: str, key: str, upload: str) -> ChunkName:
    """The chunk of an upload's own record."""
    return ("upload", bucket, key, upload)


def part_list_chunk_name(bucket: str, key: str, upload: str, front: int) -> ChunkName:
    """The chunk in which one front lists the parts of an upload that came through it."""
    return ("parts", bucket, key, upload, str(front))
