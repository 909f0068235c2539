"""The example folder, as a newcomer would start it."""

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

from examples.teams import TEAMS, Got, held, table

ROOT = Path(__file__).parent.parent


def wait_for(url: str) -> None:
    for _ in range(200):
        try:
            with urllib.request.urlopen(url, timeout=5):
                return
        except OSError:
            time.sleep(0.05)
    raise AssertionError(f"{url} does not answer")


def call(method: str, url: str, body: bytes | None = None) -> tuple[int, bytes]:
    request = urllib.request.Request(url, data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@pytest.fixture
def alone():
    """The example's addresses are fixed: a second run of the tests on the machine waits for its turn."""
    with Path(tempfile.gettempdir(), "ochrespan-example.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def test_the_example_serves_an_object(alone):
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
        for _ in range(100):  # until discovery has told of the chunk servers
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


def got(asked: int, served: int, over: int = 0, waits: int | None = None, odd: int = 0) -> Got:
    return Got(
        asked, +Counter({200: served, 429: over, 502: odd}), served, 10.0, waits=over if waits is None else waits
    )


@pytest.mark.parametrize(
    ("what", "good"),
    [
        (got(580, 580), True),
        (got(580, 550), False),  # 110 units a second of 120 that were promised, 116 asked
        (got(400, 400), True),
        (got(3000, 1300, 1700), True),  # the budget of 240 and what was saved up
        (got(3000, 1400, 1600), False),
        (got(3000, 1200, 1800, waits=1799), False),
    ],
)
def test_a_team_is_held_or_it_is_said_in_what_not(what, good):
    assert (not held(TEAMS[0], what)) == good
    lines, all_held = table({"inspection": what}, TEAMS[:1])
    assert all_held == good and ("NO:" in lines[1]) != good


def test_odd_answers_are_not_held():
    what = got(580, 580)
    what.statuses[502] = 1
    assert held(TEAMS[0], what) and held(TEAMS[1], what)


def test_the_surge_is_played_and_told():
    done = subprocess.run(
        [sys.executable, "-m", "examples.teams", "--seconds", "2"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    rows = [line.split() for line in done.stdout.splitlines() if line.startswith("export   ")]
    assert len(rows) == 2 and int(rows[0][6]) == 0 < 500 < int(rows[1][6]), done.stdout + done.stderr
    assert done.stdout.count("inspection") == 2
