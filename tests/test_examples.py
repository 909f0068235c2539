"""The examples, started as their README says."""

import fcntl
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path

import pytest

from examples.teams import TEAMS, TeamResult, contract_violations, result_table

ROOT = Path(__file__).parent.parent


def wait_for(url: str) -> None:
    for _ in range(200):
        try:
            with urllib.request.urlopen(url, timeout=5):
                return
        except OSError:
            time.sleep(0.05)
    raise AssertionError(f"{url} did not respond within 200 attempts")


def call(method: str, url: str, body: bytes | None = None) -> tuple[int, bytes]:
    request = urllib.request.Request(url, data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@pytest.fixture
def example_lock():
    """A lock across processes: the example's addresses are fixed, so concurrent test runs on a machine take turns."""
    with Path(tempfile.gettempdir(), "ochrespan-example.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def test_the_example_serves_an_object(example_lock):
    env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
    toy = subprocess.Popen([sys.executable, "examples/toy.py"], cwd=ROOT, stdout=subprocess.DEVNULL)
    front = None
    try:
        wait_for("http://127.0.0.1:8500/discovery/hosts")
        command = [sys.executable, "-m", "ochrespan", "--operator", "examples/operator.toml"]
        env["BALANCER_CONFIG"] = "examples/config.json"
        front = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.DEVNULL)
        wait_for("http://127.0.0.1:9000/up")
        url = "http://127.0.0.1:9400/photos/readme"
        body = (ROOT / "README.md").read_bytes() * 20
        for _ in range(100):  # until the front has received the list of chunk servers from discovery
            status, _ = call("PUT", url, body)
            if status == 200:
                break
            time.sleep(0.1)
        assert status == 200 and call("GET", url) == (200, body)
        assert call("DELETE", url)[0] == 204 and call("GET", url)[0] == 404
        front.send_signal(signal.SIGTERM)
        assert front.wait(30) == 0
    finally:
        for process in (toy, front):
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()


def team_result(
    sent: int, served: int, over: int = 0, retry_after_count: int | None = None, unexpected: int = 0
) -> TeamResult:
    return TeamResult(
        sent,
        +Counter({200: served, 429: over, 502: unexpected}),
        served,
        10.0,
        retry_after_count=over if retry_after_count is None else retry_after_count,
    )


@pytest.mark.parametrize(
    ("result", "is_fulfilled"),
    [
        (team_result(580, 580), True),
        (team_result(580, 550), False),  # served 110 units/s of a reserve of 120, with a demand of 116
        (team_result(400, 400), True),
        (team_result(3000, 1300, 1700), True),  # the budget of 240 units/s and the burst saved up
        (team_result(3000, 1400, 1600), False),
        (team_result(3000, 1200, 1800, retry_after_count=1799), False),
    ],
)
def test_contract_violations_are_listed_in_the_table(result, is_fulfilled):
    assert (not contract_violations(TEAMS[0], result)) == is_fulfilled
    lines, all_fulfilled = result_table({"inspection": result}, TEAMS[:1])
    assert all_fulfilled == is_fulfilled and ("NO:" in lines[1]) != is_fulfilled


def test_unexpected_statuses_violate_the_contract():
    result = team_result(580, 580)
    result.statuses[502] = 1
    assert contract_violations(TEAMS[0], result) and contract_violations(TEAMS[1], result)


def test_the_surge_is_limited_and_reported():
    completed = subprocess.run(
        [sys.executable, "-m", "examples.teams", "--seconds", "2"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    rows = [line.split() for line in completed.stdout.splitlines() if line.startswith("export   ")]
    assert len(rows) == 2 and int(rows[0][6]) == 0 < 500 < int(rows[1][6]), completed.stdout + completed.stderr
    assert completed.stdout.count("inspection") == 2
