"""Chunk servers that keep data in memory, and discovery: enough to try a front on one machine."""

from __future__ import annotations

import argparse
import asyncio
import contextlib

from aiohttp import web

DISCOVERY_PORT = 8500
FIRST_PORT = 9101


class ChunkServer:
    """A chunk server of one shard. Like the platform's, it processes a request after reading its whole body."""

    def __init__(
        self, shard: int, response_delay_s: float, address: str = "", slots: int = 1000, quiet: bool = False
    ) -> None:
        self.shard, self.response_delay_s, self.quiet = shard, response_delay_s, quiet
        self.address = address or f"127.0.0.1:{FIRST_PORT + shard}"
        self.slots = asyncio.Semaphore(slots)  # requests processed concurrently; further ones wait in FIFO order
        self.phase, self.chunks, self.in_flight = "up", dict[str, bytes](), 0

    @property
    def entry(self) -> dict[str, object]:
        """The entry of this server in discovery's list of chunk servers."""
        return {
            "id": f"toy-{self.shard}",
            "host_port": self.address,
            "locality": "room",
            "flavor": "toy",
            "cell": self.shard,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Stores or returns a chunk."""
        body = await request.read()
        if self.phase != "up":
            return web.Response(status=503, headers={"X-Never-Ran": "1"})
        self.in_flight += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.response_delay_s)
        finally:
            self.in_flight -= 1
        load_headers = {
            "Endpoint-Load-Metrics": f"TEXT depth={self.in_flight}, load_share={min(1.0, self.in_flight / 4):.2f}"
        }
        if not self.quiet:
            print(f"shard {self.shard}: {request.method} {request.path}", flush=True)
        if request.method == "PUT":
            self.chunks[request.path] = body
            return web.Response(headers=load_headers)
        if request.path not in self.chunks:
            return web.Response(status=404, headers=load_headers)
        return web.Response(body=self.chunks[request.path], headers=load_headers)


class Discovery:
    """Serves the list of chunk servers by long polling, at once if it is newer than the client's revision."""

    def __init__(self, servers: list[ChunkServer]) -> None:
        self.servers, self.revision = servers, 1
        self.updated = asyncio.Condition()

    async def change(self, server: ChunkServer, phase: str) -> None:
        """Changes the phase of a chunk server and notifies the waiting requests."""
        async with self.updated:
            server.phase = phase
            self.revision += 1
            self.updated.notify_all()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Responds once the revision exceeds `after`, or after `wait_ms` with an empty, incomplete list."""
        after = int(request.query.get("after", -1))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.updated:
                await self.updated.wait_for(lambda: self.revision > after)
        changed = self.revision > after
        members = [server.entry for server in self.servers] if changed else []
        return web.json_response({"revision": self.revision, "complete": changed, "members": members})


async def main(nodes: int, response_delay_s: float, drain_after_s: float) -> None:
    """Serves until the process is ended; after `drain_after_s`, if it is positive, the last chunk server drains."""
    servers = [ChunkServer(shard, response_delay_s) for shard in range(nodes)]
    discovery = Discovery(servers)
    loop = asyncio.get_running_loop()
    for server in servers:
        await loop.create_server(web.Server(server.handle), "127.0.0.1", FIRST_PORT + server.shard)
    await loop.create_server(web.Server(discovery.handle), "127.0.0.1", DISCOVERY_PORT)
    print(f"{nodes} chunk servers from port {FIRST_PORT}, discovery on {DISCOVERY_PORT}", flush=True)
    if drain_after_s > 0:
        await asyncio.sleep(drain_after_s)
        await discovery.change(servers[-1], "draining")
        print(f"shard {servers[-1].shard} drains", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=3, help="SlotsTotal in config.json must say the same")
    parser.add_argument("--slow", type=float, default=0.01, help="seconds for each answer")
    parser.add_argument("--drain", type=float, default=0.0, help="drain the last node after so many seconds")
    options = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(options.nodes, options.slow, options.drain))
