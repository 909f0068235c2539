"""Test harness: a real front process between a test client and stub chunk servers and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path

import aiohttp
from aiohttp import web
from yarl import URL

from examples.ports import free_port

VOLUME, KEY = "00000003b4d60021", "7f3a9c21e0b4d655"
MS = 1_000_000


def front_settings(nodes: int, **changes) -> dict:
    def cls(name, latency_target_ms, deadline_ms):
        return {
            "Name": name,
            "ObjectiveNs": latency_target_ms * MS,
            "DeadlineNs": deadline_ms * MS,
            "Effect": "free",
            "Group": "all",
            "LateShare": 0.1,
            "Value": 1.0,
            "Sequential": False,
            "WindowNs": 0,
        }

    document = {
        "Classes": [
            cls("read", 1500, 3000),
            cls("write", 1500, 3000),
            cls("brief", 300, 900),
            cls("once", 1500, 3000) | {"Effect": "single_shot"},
        ],
        "Contracts": [
            {
                "Name": "gold",
                "Nominal": 100.0,
                "Weight": 2.0,
                "Price": 1.0,
                "Reserve": 50.0,
                "Limit": 0.0,
                "MostAtOnce": 0.0,
            }
        ],
        "Balancers": 2,
        "Rank": 0,
        "Discovery": "on_request",
        "StepNs": 2 * MS,
        "Novel": {"Thing": [1, 2]},
        "Extra": {"MostUnits": 8, "UsualUnits": 2.0, "SlotsTotal": nodes},
        "Limits": {
            "Cancel": True,
            "ConnectTimeoutNs": 250 * MS,
            "KeepaliveNs": 15000 * MS,
            "MaxAttempts": 3,
            "MaxRetryAfterNs": 500 * MS,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Obligations": {"AskWithinNs": 1000 * MS, "StopSendingWithinNs": 2000 * MS},
    }
    for path, value in changes.items():
        *keys, name = path.split("__")
        table = document
        for step in keys:
            table = table[step]
        table[name] = value
    return document


class StubChunkServer:
    """A chunk server that stores what is written, or follows `scripted_responses` and `default_response`."""

    def __init__(self, shard: int) -> None:
        self.id, self.shard, self.phase, self.address = f"s-{shard}", shard, "up", ""
        self.scripted_responses: deque[str | bytes] = deque()  # names of behaviours; bytes are sent verbatim
        self.default_response = ""
        self.delay, self.up_since_ms = 0.0, 0
        self.stored: dict[str, bytes] = {}
        self.received: list[tuple[str, str, dict[str, str], bytes]] = []
        self.in_flight: dict[str, int] = {}  # attempts without a response, by trace id
        self.open_requests: dict[socket.socket, str] = {}
        self.overlapping_attempts = 0  # attempts that arrived while another of the same request was in flight
        self.connections, self.connection_sockets = 0, list[socket.socket]()
        self.released = asyncio.Event()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.connection_sockets.append(writer.get_extra_info("socket"))
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
        if self.scripted_responses and self.scripted_responses[0] == "cut":
            self.scripted_responses.popleft()
            writer.transport.abort()  # before most of the body is read
            return False
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        trace = headers.get("x-trace-id", "")
        self.received.append((method, path, headers, body))
        sock = writer.get_extra_info("socket")
        self.overlapping_attempts += any(
            is_open(other) for other, other_trace in self.open_requests.items() if other_trace == trace
        )
        self.open_requests[sock] = trace
        self.in_flight[trace] = self.in_flight.get(trace, 0) + 1
        try:
            return await self._respond(method, path, body, reader, writer)
        finally:
            self.in_flight[trace] -= 1
            self.open_requests.pop(sock, None)

    async def _respond(self, method, path, body, reader, writer) -> bool:
        behaviour = self.scripted_responses.popleft() if self.scripted_responses else self.default_response
        if behaviour == "reset":
            writer.transport.abort()
            return False
        if behaviour == "stall":
            client_closed = asyncio.ensure_future(reader.read(1))
            released = asyncio.ensure_future(self.released.wait())
            await asyncio.wait((client_closed, released), return_when=asyncio.FIRST_COMPLETED)
            released.cancel()
            client_closed.cancel()
            return False
        await asyncio.sleep(self.delay)
        if isinstance(behaviour, bytes):
            writer.write(behaviour)
            await writer.drain()
            return True
        status, body_out = 200, b""
        if behaviour == "full" or (behaviour == "" and self.phase == "draining" and method == "PUT"):
            status = 503
        elif behaviour == "error":
            status = 500
        elif method == "PUT":
            self.stored[path] = body
        elif path in self.stored or behaviour == "any":
            body_out = self.stored.get(path, b"body of " + path.encode())
        else:
            status = 404
        if behaviour == "corrupt":
            body_out = body_out[:-1] + bytes([body_out[-1] ^ 1])
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body_out)}"]
        lines += ["X-Never-Ran: 1"] if status == 503 else []
        lines += ["Endpoint-Load-Metrics: TEXT concurrent=1, depth=2, load_share=0.5, odd=nan"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body_out[: len(body_out) // 2])
        await writer.drain()
        if behaviour == "half":
            writer.transport.abort()
            return False
        writer.write(body_out[len(body_out) // 2 :])
        await writer.drain()
        return behaviour != "close"


class FrontHarness:
    def __init__(
        self, nodes: int = 2, operator: str = "", rank: int = 0, shared: FrontHarness | None = None, **changes
    ):
        self.nodes = shared.nodes if shared else [StubChunkServer(i) for i in range(nodes)]
        self.settings = front_settings(len(self.nodes), Rank=rank, **changes)
        self.operator, self.shared = operator, shared
        self.revision, self.failing, self.calls = 0, 0, []
        self.changed: list[tuple[int, dict]] = []
        self.update_published = asyncio.Event()
        self.log, self.sockets = "", 1024
        self.env: dict[str, str] = {}  # additional environment variables for the front

    def entry(self, server: StubChunkServer) -> dict:
        return {
            "id": server.id,
            "host_port": server.address,
            "locality": "a",
            "flavor": "m",
            "cell": server.shard,
            "phase": server.phase,
            "size": 1.0,
            "up_since_ms": server.up_since_ms,
        }

    def publish_state(self, server: StubChunkServer, phase: str) -> None:
        server.phase = phase
        self.revision += 1
        self.changed.append((self.revision, self.entry(server)))
        self.update_published.set()
        self.update_published = asyncio.Event()

    async def open_discovery(self, handler=None) -> str:
        server = await asyncio.get_running_loop().create_server(
            web.Server(handler or self._discovery, access_log=None), "127.0.0.1", 0
        )
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def reload(self, text: str | None = None, **changes) -> None:
        self.config.write_text(json.dumps(self.config_document | changes) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def change_operator(self, text: str) -> None:
        """Replaces the operator's file and sends SIGHUP."""
        self.operator_file.write_text(text.replace("PORT", str(self.object_port)))
        self.process.send_signal(signal.SIGHUP)

    async def _discovery(self, request: web.BaseRequest) -> web.Response:
        after = request.query.get("after")
        self.calls.append((time.monotonic(), after))
        if self.failing:
            self.failing -= 1
            return web.Response(status=503)
        if after is not None and int(after) >= self.revision:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.update_published.wait(), int(request.query["wait_ms"]) / 1000)
        members = [entry for revision, entry in self.changed if after is not None and revision > int(after)]
        if after is None:
            members = [self.entry(server) for server in self.nodes]
        return web.json_response({"revision": self.revision, "complete": after is None, "members": members})

    async def __aenter__(self) -> FrontHarness:
        self.folder = tempfile.TemporaryDirectory()
        if self.shared is None:
            for server in self.nodes:
                await server.start()
        self.port, self.object_port = free_port(), free_port()
        known = {"revision": 0, "complete": True, "members": [self.entry(server) for server in self.nodes]}
        self.config, self.config_document = (
            Path(self.folder.name, "config.json"),
            {
                "name": "n0",
                "listen": f"127.0.0.1:{self.port}",
                "seed": "8c1f30d27a5be964",
                "known": known,
                "discovery": await self.open_discovery(),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                "settings": self.settings,
            },
        )
        self.config.write_text(json.dumps(self.config_document))
        command = [sys.executable, "-m", "ochrespan"]
        if self.operator:
            self.operator_file = Path(self.folder.name, "operator.toml")
            self.operator_file.write_text(self.operator.replace("PORT", str(self.object_port)))
            command += ["--operator", str(self.operator_file)]
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        env |= self.env | {
            "BALANCER_CONFIG": str(self.config),
            "http_proxy": "http://127.0.0.1:9",
            "BALANCER_DISCOVERY": self.config_document["discovery"],
        }
        self.process = await asyncio.create_subprocess_exec(*command, env=env, stderr=asyncio.subprocess.PIPE)
        self.log_reader = asyncio.create_task(self._read_log())
        self.session = aiohttp.ClientSession(auto_decompress=False)
        for _ in range(600):  # times 50 ms: the machine may be busy
            if self.process.returncode is not None:
                break
            try:
                if (await self.call("GET", "/up"))[0] == 200:
                    return self
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("the front did not come up: " + self.log)

    async def _read_log(self) -> None:
        async for line in self.process.stderr:
            self.log += line.decode()

    async def __aexit__(self, *_) -> None:
        await self.session.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.log_reader
        self.folder.cleanup()

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    async def call(self, method: str, path: str, body: bytes = b"", headers: dict | None = None, port: int = 0):
        url = URL(f"http://127.0.0.1:{port or self.port}{path}", encoded=True)
        async with self.session.request(method, url, data=body or None, headers=headers) as response:
            return response.status, response.headers, await response.read()

    async def send_request(self, trace: str = "t1", method: str = "GET", body: bytes = b"", shard: int = 0, **changes):
        """Sends a request of the platform's protocol."""
        return await self.call(method, f"/api/{VOLUME}/{KEY}", body, request_headers(trace, shard, **changes))

    async def object_request(self, method: str, path: str, body: bytes = b"", **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.call(method, path, body, names, self.object_port)


def request_headers(trace: str, shard: int, left: str = "2000", cls: str = "read", **more) -> dict:
    return {
        "X-Trace-Id": trace,
        "X-Qos": cls,
        "X-Plan": "gold",
        "X-Expires-In-Ms": left,
        "X-IO": f"units=2,shard={shard},hosts=2",
    } | more


class StubGraphite:
    """A stub of Graphite that keeps the latest value of each metric."""

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    async def open(self) -> int:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode():
            name, value, _stamp = line.split()
            self.values[name.removeprefix("ochrespan.n0.")] = float(value)

    def get(self, name: str) -> float:
        return self.values.get(name, 0.0)


def is_open(sock: socket.socket) -> bool:
    """Whether the kernel has not yet seen the peer close the connection."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == 1  # established
    except OSError:
        return False


def run_scenario(scenario: Coroutine) -> None:
    asyncio.run(asyncio.wait_for(scenario, 60))


async def wait_until(condition, seconds: float = 10.0) -> None:
    """Waits for a condition that must become true; the timeout is no assertion about the duration."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "it did not come"
        await asyncio.sleep(0.01)


MAX_TIMER_DELAY_S, MAX_RUNS = 0.05, 6  # with a larger timer delay, a failed run says nothing about durations


def run_timed_scenario(scenario: Callable[[], Coroutine]) -> None:
    """Runs a scenario that asserts durations; repeats a failed run if the machine's timers were late in it."""
    for _ in range(MAX_RUNS):
        timer_delay = [0.0]
        try:
            run_scenario(_timed(scenario(), timer_delay))
            return
        except AssertionError:
            if timer_delay[0] <= MAX_TIMER_DELAY_S:
                raise
    raise AssertionError(f"{MAX_RUNS} runs failed, and the machine was up to {timer_delay[0]:.2f} s late in the last")


async def _timed(scenario: Coroutine, timer_delay: list[float]) -> None:
    timer_task = asyncio.create_task(_measure_timer_delay(timer_delay))
    try:
        await scenario
    finally:
        timer_task.cancel()


async def _measure_timer_delay(timer_delay: list[float]) -> None:
    """Records the largest delay of a short sleep."""
    while True:
        due = time.monotonic() + 0.01
        await asyncio.sleep(0.01)
        timer_delay[0] = max(timer_delay[0], time.monotonic() - due)
