"""The example folder, as a newcomer would start it."""

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

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


def test_the_example_serves_an_object():
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
