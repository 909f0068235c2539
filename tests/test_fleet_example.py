"""The example fleet, as a newcomer would start it."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_a_stream_survives_its_router_and_its_engine():
    done = subprocess.run(
        [sys.executable, "-m", "examples.fleet"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stdout + done.stderr
    lines = done.stdout.splitlines()
    assert lines[-1] == "every event came once and in order"
    assert "router-1 is killed" in lines
    assert any(line.endswith("is killed; the answer goes on") for line in lines)
