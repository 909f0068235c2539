"""A client that leaves while its request waits, wherever that is: nothing of it is sent on 0.3 s later."""

import asyncio
import socket
import struct
from contextlib import suppress

import pytest

from .front_harness import MS, StubChunkServer, request_headers, run_scenario, wait_until
from .h2client import Client
from .test_chunks import Raw
from .test_guard import raw
from .test_http2 import PATH, H2World

LATE = 0.3  # s after its client left: from then on the term holds
PART = "PUT /photos/a?partNumber=1&uploadId={} HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\npart"


class Deaf(StubChunkServer):
    """Its connections come up when the test says so."""

    async def start(self) -> None:
        self.raw = Raw(backlog=0)
        self.first = socket.create_connection(self.raw.listener.getsockname(), 5)  # whoever comes now waits
        self.address = f"127.0.0.1:{self.raw.listener.getsockname()[1]}"

    async def come_up(self) -> bytes:
        """What a chunk server gets on the connections that were kept waiting."""
        got = b""
        with suppress(TimeoutError):
            while True:
                sock = await asyncio.wait_for(self.raw.accept(), 1.0)
                with suppress(TimeoutError, ConnectionError):
                    got += await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 4096), 0.5)
        return got


class Asker:
    """One request, and its client's ways of leaving."""

    async def begin(self, world: H2World, way: str, upload: str) -> None:
        self.way = way
        if way == "stream":
            self.client = await Client(world.platform_port).__aenter__()
            self.stream = self.client.begin("GET", PATH, request_headers("t1", 0, left="3000"))
            return
        port = world.object_port if upload else world.port
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.sendall(PART.format(upload).encode() if upload else raw("GET", **{"X-Expires-In-Ms": "3000"}))

    async def leave(self) -> None:
        if self.way == "stream":
            self.client.reset(self.stream)
        elif self.way != "stays":
            if self.way == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


async def fill(world: H2World) -> None:
    """Three requests that stand at the only chunk server: its window is full, and what comes now waits."""
    world.nodes[0].default_response = "stall"
    for number in range(3):
        sock = socket.create_connection(("127.0.0.1", world.port), 5)
        sock.sendall(raw("GET", **{"X-Trace-Id": f"f{number}", "X-Expires-In-Ms": "3000"}))
        world.held.append(sock)
    await wait_until(lambda: len(world.nodes[0].received) == 3)


WAYS = ["ended", "reset", "stream", "stays"]


@pytest.mark.parametrize("way", [*WAYS, "part ended", "part reset", "part stays"])
def test_who_leaves_while_it_waits_for_room_is_not_sent_on(way):
    async def story():
        async with H2World(1) as world:
            node, world.held, upload = world.nodes[0], [], ""
            if way.startswith("part"):
                _, _, body = await world.object_request("POST", "/photos/a?uploads")
                upload = body.decode().split("<UploadId>")[1].split("<")[0]
                node.received.clear()
            await fill(world)
            asker = Asker()
            await asker.begin(world, way.removeprefix("part "), upload)
            await asyncio.sleep(0.15)
            assert len(node.received) == 3
            await asker.leave()
            await asyncio.sleep(LATE)
            node.default_response = "any"
            node.released.set()
            await asyncio.sleep(0.6)
            others = {"f0", "f1", "f2"}
            sent = [1 for _, _, headers, _ in node.received if headers["x-trace-id"] not in others]
            assert bool(sent) is way.endswith("stays")
            assert node.overlapping_attempts == 0

    run_scenario(story())


@pytest.mark.parametrize("way", WAYS)
def test_who_leaves_between_two_attempts_is_not_sent_on(way):
    async def story():
        async with H2World(1, Limits__MaxAttempts=9) as world:
            node, asker = world.nodes[0], Asker()
            node.default_response = "full"
            await asker.begin(world, way, "")
            await wait_until(lambda: len(node.received) == 2)  # two failures in a row count as a queue: half a second
            await asyncio.sleep(0.02)
            assert len(node.received) == 2
            await asker.leave()
            await asyncio.sleep(LATE)
            node.default_response = "any"
            await asyncio.sleep(1.6)
            assert (len(node.received) > 2) is (way == "stays")

    run_scenario(story())


@pytest.mark.parametrize("way", WAYS)
def test_who_leaves_while_a_connection_comes_up_is_not_sent_on(way):
    async def story():
        world = H2World(1, Limits__ConnectTimeoutNs=5000 * MS)
        world.nodes = [Deaf(0)]
        async with world:
            asker = Asker()
            await asker.begin(world, way, "")
            await asyncio.sleep(0.15)
            await asker.leave()
            await asyncio.sleep(LATE)
            assert (b"t1" in await world.nodes[0].come_up()) is (way == "stays")

    run_scenario(story())
