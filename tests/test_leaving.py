"""Clients that disconnect while their request waits: 0.3 s later nothing of it is sent to a chunk server."""

import asyncio
import socket
import struct
from contextlib import suppress

import pytest

from .front_harness import MS, StubChunkServer, request_headers, run_scenario, wait_until
from .h2client import Client
from .test_chunk_client import ManualChunkServer
from .test_client_connections import raw_request
from .test_http2 import PATH, Http2Harness

MAX_CANCEL_DELAY_S = 0.3  # from the disconnect until nothing may be sent any more
PART_UPLOAD = "PUT /photos/a?partNumber=1&uploadId={} HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\npart"


class UnacceptingServer(StubChunkServer):
    """A chunk server whose TCP connections are established only when the test says so."""

    async def start(self) -> None:
        self.server = ManualChunkServer(backlog=0)
        self.first = socket.create_connection(self.server.listener.getsockname(), 5)  # fills the backlog
        self.address = f"127.0.0.1:{self.server.listener.getsockname()[1]}"

    async def accept_waiting(self) -> bytes:
        """Accepts the waiting connections; returns the bytes received on them."""
        got = b""
        with suppress(TimeoutError):
            while True:
                sock = await asyncio.wait_for(self.server.accept(), 1.0)
                with suppress(TimeoutError, ConnectionError):
                    got += await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 4096), 0.5)
        return got


class DisconnectingClient:
    """One request, and the ways in which its client can disconnect."""

    async def begin(self, harness: Http2Harness, way: str, upload: str) -> None:
        self.way = way
        if way == "stream":
            self.client = await Client(harness.platform_port).__aenter__()
            self.stream = self.client.begin("GET", PATH, request_headers("t1", 0, left="3000"))
            return
        port = harness.object_port if upload else harness.port
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.sendall(
            PART_UPLOAD.format(upload).encode() if upload else raw_request("GET", **{"X-Expires-In-Ms": "3000"})
        )

    async def disconnect(self) -> None:
        if self.way == "stream":
            self.client.reset(self.stream)
        elif self.way != "stays":
            if self.way == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


async def fill_window(harness: Http2Harness) -> None:
    """Starts three requests that stall at the only chunk server: its window is full, further requests wait."""
    harness.nodes[0].default_response = "stall"
    for number in range(3):
        sock = socket.create_connection(("127.0.0.1", harness.port), 5)
        sock.sendall(raw_request("GET", **{"X-Trace-Id": f"f{number}", "X-Expires-In-Ms": "3000"}))
        harness.open_clients.append(sock)
    await wait_until(lambda: len(harness.nodes[0].received) == 3)


WAYS = ["ended", "reset", "stream", "stays"]


@pytest.mark.parametrize("way", [*WAYS, "part ended", "part reset", "part stays"])
def test_request_is_dropped_if_its_client_disconnects_while_it_is_queued(way):
    async def scenario():
        async with Http2Harness(1) as harness:
            server, harness.open_clients, upload = harness.nodes[0], [], ""
            if way.startswith("part"):
                _, _, body = await harness.object_request("POST", "/photos/a?uploads")
                upload = body.decode().split("<UploadId>")[1].split("<")[0]
                server.received.clear()
            await fill_window(harness)
            requester = DisconnectingClient()
            await requester.begin(harness, way.removeprefix("part "), upload)
            await asyncio.sleep(0.15)
            assert len(server.received) == 3
            await requester.disconnect()
            await asyncio.sleep(MAX_CANCEL_DELAY_S)
            server.default_response = "any"
            server.released.set()
            await asyncio.sleep(0.6)
            others = {"f0", "f1", "f2"}
            sent = [1 for _, _, headers, _ in server.received if headers["x-trace-id"] not in others]
            assert bool(sent) is way.endswith("stays")
            assert server.overlapping_attempts == 0

    run_scenario(scenario())


@pytest.mark.parametrize("way", WAYS)
def test_request_is_dropped_if_its_client_disconnects_between_two_attempts(way):
    async def scenario():
        async with Http2Harness(1, Limits__MaxAttempts=9) as harness:
            server, requester = harness.nodes[0], DisconnectingClient()
            server.default_response = "full"
            await requester.begin(harness, way, "")
            # two consecutive failures count as a queue: 0.5 s backoff
            await wait_until(lambda: len(server.received) == 2)
            await asyncio.sleep(0.02)
            assert len(server.received) == 2
            await requester.disconnect()
            await asyncio.sleep(MAX_CANCEL_DELAY_S)
            server.default_response = "any"
            await asyncio.sleep(1.6)
            assert (len(server.received) > 2) is (way == "stays")

    run_scenario(scenario())


@pytest.mark.parametrize("way", WAYS)
def test_request_is_dropped_if_its_client_disconnects_while_a_connection_is_established(way):
    async def scenario():
        harness = Http2Harness(1, Limits__ConnectTimeoutNs=5000 * MS)
        harness.nodes = [UnacceptingServer(0)]
        async with harness:
            requester = DisconnectingClient()
            await requester.begin(harness, way, "")
            await asyncio.sleep(0.15)
            await requester.disconnect()
            await asyncio.sleep(MAX_CANCEL_DELAY_S)
            assert (b"t1" in await harness.nodes[0].accept_waiting()) is (way == "stays")

    run_scenario(scenario())
