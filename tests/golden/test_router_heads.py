"""Request heads, requests to servers and the router's own responses are byte for byte what they were when recorded.

`python -m tests.golden.test_router_heads` records them anew: for a change of what is sent, never for one of how the
code is written.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from tests.golden.router_heads import describe_chunk_sizes, describe_heads, describe_own_responses
from tests.golden.scheduler_schedules import digest_of

RECORD = Path(__file__).parent / "data" / "router_heads.json"
GROUP = 50  # heads under one digest
READABLE = 40  # heads whose lines are on record as they are


def describe() -> dict[str, list[str]]:
    """All that is on record."""
    heads = describe_heads()
    return {
        "heads": [digest_of(heads[first : first + GROUP]) for first in range(0, len(heads), GROUP)],
        "first heads": heads[:READABLE],
        "chunk sizes": describe_chunk_sizes(),
        "own responses": describe_own_responses(),
    }


@pytest.mark.parametrize("part", ["heads", "first heads", "chunk sizes", "own responses"])
def test_the_router_reads_and_writes_the_recorded_bytes(part):
    assert describe()[part] == json.loads(RECORD.read_text())[part]


def test_the_drawn_heads_reach_every_refusal_and_enough_requests():
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
