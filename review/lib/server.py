"""A stand-in server of a service, as PROTOCOL.md describes it: answers requests, and sends heartbeats in turn to the controllers.

    python3 server.py ID SERVICE IP:PORT ZONE HEARTBEAT_MS CONTROL,CONTROL,... LOG

Each heartbeat goes to the next controller of the list; without a 2xx within a second the one after it is called.
With START_AT in the environment it begins at that time of the steady clock. SIGTERM makes it leave: it reports `draining`, serves on
for LINGER_S (by the environment, 6 s without) after the acknowledgement, sends DELETE and ends. LOG gets a line for each heartbeat and each run. Standard library only.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ID, SERVICE, ADDRESS, ZONE, HEARTBEAT_MS, CONTROLS, LOG = sys.argv[1:8]
HOST, PORT = ADDRESS.rsplit(":", 1)
leaving = threading.Event()
log_file = open(LOG, "a", buffering=1)  # noqa: SIM115 - open until the process ends


def log(text: str) -> None:
    log_file.write(f"{time.monotonic():.3f} {text}\n")


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def answer(self, status: int, body: bytes, **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        if self.path == "/healthz":
            self.answer(200, b"", X_Instance_Id=ID)
        else:
            self.do_POST()

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Expect-Instance")
        if expected not in (None, ID):
            log(f"421 {request} expects {expected}")
            self.answer(421, b"", X_Request_Id=request, X_Not_Executed="1")
            return
        log(f"run {request} {self.path}")
        self.answer(200, b"answer to " + request.encode(), X_Request_Id=request, X_Server_Stamp=f"{ID}.{request}")

    def log_message(self, *_: object) -> None:
        pass


def delete(control: str) -> None:
    host, port = control.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        connection.request("DELETE", f"/api/instances/{ID}")
        log(f"delete to {control} answered {connection.getresponse().status}")
    except (OSError, http.client.HTTPException) as error:
        log(f"delete to {control} answered {type(error).__name__}")
    finally:
        connection.close()


def beat(control: str, sequence: int) -> int | str:
    host, port = control.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    body = {"backend": SERVICE, "address": ADDRESS, "zone": ZONE, "generation": "v1", "capacity": 6, "state": "draining" if leaving.is_set() else "ready",
            "cold_remaining_ms": 0, "sequence": sequence}  # fmt: skip
    try:
        connection.connect()
        log(f"beat {sequence} to {control} sent")
        connection.request("PUT", f"/api/instances/{ID}", json.dumps(body), {"Content-Type": "application/json"})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


def heartbeats() -> None:
    controls, sequence, turn = CONTROLS.split(","), 0, 0
    due = time.monotonic()
    ends_at = float("inf")
    while time.monotonic() < ends_at:
        for _ in controls:
            control, sequence, turn = controls[turn % len(controls)], sequence + 1, turn + 1
            is_leaving = leaving.is_set()
            status = beat(control, sequence)
            log(f"beat {sequence} to {control} answered {status}{' draining' if is_leaving else ''}")
            if isinstance(status, int) and 200 <= status < 300:
                if is_leaving and ends_at == float("inf"):
                    ends_at = time.monotonic() + float(os.environ.get("LINGER_S", "6"))
                break
        due += int(HEARTBEAT_MS) / 1000
        pause_s = max(0.0, min(due, ends_at) - time.monotonic())
        if leaving.is_set():
            time.sleep(pause_s)
        elif leaving.wait(pause_s):
            due = time.monotonic()
    delete(controls[turn % len(controls)])
    os._exit(0)


time.sleep(max(0.0, float(os.environ.get("START_AT", "0")) - time.monotonic()))
signal.signal(signal.SIGTERM, lambda *_: leaving.set())
server = ThreadingHTTPServer((HOST, int(PORT)), Handler)
threading.Thread(target=heartbeats, daemon=True).start()
server.serve_forever()
