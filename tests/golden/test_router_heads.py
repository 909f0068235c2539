"""Parsed request heads, requests to servers and the router's own responses equal the recorded ones byte for byte.

`python -m tests.golden.test_router_heads` updates the record: only for a change of behavior, never for a refactoring.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from tests.golden.router_heads import describe_chunk_sizes, describe_heads, describe_own_responses
from tests.golden.scheduler_schedules import digest_of

RECORD = Path(__file__).parent / "data" / "router_heads.json"
DIGEST_SIZE = 50  # heads per digest
VERBATIM_HEADS = 40  # heads recorded as text instead of a digest


def describe() -> dict[str, list[str]]:
    """Returns the lines and digests that are recorded."""
    heads = describe_heads()
    return {
        "heads": [digest_of(heads[first : first + DIGEST_SIZE]) for first in range(0, len(heads), DIGEST_SIZE)],
        "first heads": heads[:VERBATIM_HEADS],
        "chunk sizes": describe_chunk_sizes(),
        "own responses": describe_own_responses(),
    }


@pytest.mark.parametrize("part", ["heads", "first heads", "chunk sizes", "own responses"])
def test_parsed_heads_and_sent_bytes_match_the_record(part):
    assert describe()[part] == json.loads(RECORD.read_text())[part]


def test_generated_heads_cover_every_refusal_and_enough_accepted_requests():
    lines = describe_heads()
    kinds = Counter(line.split()[0] for line in lines)
    assert min(kinds["accepted"], kinds["refused"]) > 200
    refused = " ".join(line for line in lines if line.startswith("refused"))
    for where in ("request line", "method", "version", "path", "header name", "Host", "Transfer-Encoding"):
        assert f" {where}: found" in refused, where
    for where in ("Content-Length: found", "Expect: found", "of the head: found"):
        assert where in refused, where


if __name__ == "__main__":
    RECORD.write_text(json.dumps(describe(), indent=0) + "\n")
