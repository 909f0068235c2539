"""The bytes on record. `python -m tests.golden.wire_bytes` adds those of new samples; bytes on record never change."""

from __future__ import annotations

import json
from pathlib import Path

RECORD = Path(__file__).parent / "data" / "wire_bytes.json"


def recorded_bytes() -> dict[str, bytes]:
    """The bytes on record by the names of their samples."""
    return {name: bytes.fromhex(digits) for name, digits in json.loads(RECORD.read_text()).items()}


def record_new(samples: dict[str, bytes]) -> None:
    """Adds the samples that are not on record yet."""
    known = recorded_bytes() if RECORD.exists() else {}
    digits = {name: data.hex() for name, data in {**samples, **known}.items()}
    RECORD.write_text(json.dumps(digits, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    from .wire_samples import bytes_of_samples

    record_new(bytes_of_samples())
