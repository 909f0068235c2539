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

MOST_BODY = 64 * 1024  # of a chunk server's body
SEAL = 16
PAYLOAD = MOST_BODY - SEAL
MOST_PARTS = 1000  # so that the part list fits into the manifest's one chunk
MOST_RECORD = 8 * MOST_BODY  # a record's text once unpacked

Names = tuple[str, ...]


class Corrupt(ValueError):
    """A body that is not what was stored under this name."""


def _digest(names: Names, size: int) -> bytes:
    return hashlib.blake2b(json.dumps(names).encode(), digest_size=size).digest()


@dataclass(frozen=True, slots=True)
class Place:
    volume: str
    key: str
    shard: int

    @property
    def target(self) -> str:
        return f"/api/{self.volume}/{self.key}"


def place(team: str, names: Names, shards: int) -> Place:
    """Where a chunk of this name lies: the same at every front."""
    spot = _digest(names, 16)
    shard = int.from_bytes(spot[8:]) % max(1, shards)
    return Place(_digest(("team", team), 8).hex(), spot[:8].hex(), shard)


def seal(names: Names, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=SEAL, key=_digest(names, 32)).digest() + payload


def unseal(names: Names, body: bytes) -> bytes:
    payload = body[SEAL:]
    if not hmac.compare_digest(seal(names, payload)[:SEAL], body[:SEAL]):
        raise Corrupt("the seal does not match")
    return payload


def pack(record: Any) -> bytes:
    return zlib.compress(json.dumps(record, separators=(",", ":")).encode())


def unpack(payload: bytes) -> Any:
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(payload, MOST_RECORD)
    if unpacker.unconsumed_tail:
        raise Corrupt("the record is too long")
    return json.loads(text)


@dataclass(frozen=True, slots=True)
class Part:
    """A run of bytes that was stored in one go."""

    number: int
    size: int
    md5: str
    generation: str  # of the chunks that hold it
    modified_ms: int = 0

    @property
    def chunks(self) -> int:
        return -(-self.size // PAYLOAD)


@dataclass(frozen=True, slots=True)
class Piece:
    """What one chunk gives to a read."""

    part: Part
    index: int
    begin: int
    end: int

    @property
    def length(self) -> int:
        """Bytes of the whole chunk."""
        return min(PAYLOAD, self.part.size - self.index * PAYLOAD)


@dataclass(slots=True)
class Manifest:
    etag: str
    modified: datetime
    parts: list[Part]
    content_type: str = "binary/octet-stream"
    meta: dict[str, str] = field(default_factory=dict)
    deleted: bool = False

    @property
    def size(self) -> int:
        return sum(part.size for part in self.parts)

    def pieces(self, begin: int, end: int) -> Iterator[Piece]:
        """The chunks that hold the bytes from begin up to, without, end; in order."""
        at = 0
        for part in self.parts:
            low, high = max(begin - at, 0), min(end - at, part.size)
            for index in range(low // PAYLOAD, -(-high // PAYLOAD) if high > low else 0):
                start = index * PAYLOAD
                yield Piece(part, index, max(low - start, 0), min(high - start, PAYLOAD))
            at += part.size

    def encode(self) -> bytes:
        record = {
            "v": 1, "etag": self.etag, "modified": self.modified.isoformat(), "type": self.content_type,
            "meta": self.meta, "deleted": self.deleted, "parts": [list(asdict(p).values()) for p in self.parts],
        }
        return pack(record)

    @classmethod
    def decode(cls, payload: bytes) -> Manifest:
        got = unpack(payload)
        return cls(got["etag"], datetime.fromisoformat(got["modified"]), [Part(*p) for p in got["parts"]],
                   got["type"], got["meta"], got["deleted"])


def etag_of_parts(parts: list[Part]) -> str:
    """S3's form: the digest of the parts' digests, and their count."""
    digests = b"".join(bytes.fromhex(part.md5) for part in parts)
    return f"{hashlib.md5(digests, usedforsecurity=False).hexdigest()}-{len(parts)}"


def now() -> datetime:
    return datetime.now(UTC)


def manifest_names(bucket: str, key: str) -> Names:
    return ("manifest", bucket, key)


def data_names(bucket: str, key: str, part: Part, index: int) -> Names:
    return ("data", bucket, key, part.generation, str(part.number), str(index))


def upload_names(bucket: str, key: str, upload: str) -> Names:
    return ("upload", bucket, key, upload)


def index_names(bucket: str, key: str, upload: str, front: int) -> Names:
    return ("parts", bucket, key, upload, str(front))
