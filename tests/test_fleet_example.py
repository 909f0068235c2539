"""The example fleet as a subprocess: a stream is resumed after its router, then its engine is killed."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_a_stream_resumes_after_its_router_and_its_engine_are_killed():
    completed = subprocess.run(
        [sys.executable, "-m", "examples.fleet"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    lines = completed.stdout.splitlines()
    assert lines[-1] == "every event came once and in order"
    assert "router-1 is killed" in lines
    assert any(line.endswith("is killed; the answer goes on") for line in lines)
