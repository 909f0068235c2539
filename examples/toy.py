"""Chunk servers that keep data in memory, and discovery: enough to try a front on one machine."""

from __future__ import annotations

import argparse
import asyncio
import contextlib

from aiohttp import web

DISCOVERY = 8500
FIRST_PORT = 9101


class ChunkServer:
    """Holds one shard. Like the platform's, it starts a request once it has all of it."""

    def __init__(self, shard: int, slow: float, address: str = "", slots: int = 1000, quiet: bool = False) -> None:
        self.shard, self.slow, self.quiet = shard, slow, quiet
        self.address = address or f"127.0.0.1:{FIRST_PORT + shard}"
        self.slots = asyncio.Semaphore(slots)  # requests at work at once; the others wait in turn
        self.phase, self.kept, self.working = "up", dict[str, bytes](), 0

    @property
    def entry(self) -> dict[str, object]:
        """Its entry in the list of chunk servers."""
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
        self.working += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.slow)
        finally:
            self.working -= 1
        load = {"Endpoint-Load-Metrics": f"TEXT depth={self.working}, load_share={min(1.0, self.working / 4):.2f}"}
        if not self.quiet:
            print(f"shard {self.shard}: {request.method} {request.path}", flush=True)
        if request.method == "PUT":
            self.kept[request.path] = body
            return web.Response(headers=load)
        if request.path not in self.kept:
            return web.Response(status=404, headers=load)
        return web.Response(body=self.kept[request.path], headers=load)


class Discovery:
    """Answers with the list of chunk servers, at once or when it changes."""

    def __init__(self, servers: list[ChunkServer]) -> None:
        self.servers, self.revision = servers, 1
        self.news = asyncio.Condition()

    async def change(self, server: ChunkServer, phase: str) -> None:
        """Puts a chunk server into another phase and tells whoever waits."""
        async with self.news:
            server.phase = phase
            self.revision += 1
            self.news.notify_all()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """One call for the list."""
        after = int(request.query.get("after", -1))
        wait = int(request.query.get("wait_ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self.news:
                await self.news.wait_for(lambda: self.revision > after)
        changed = self.revision > after
        members = [server.entry for server in self.servers] if changed else []
        return web.json_response({"revision": self.revision, "complete": changed, "members": members})


async def main(nodes: int, slow: float, drain: float) -> None:
    """Serves until it is ended."""
    servers = [ChunkServer(shard, slow) for shard in range(nodes)]
    discovery = Discovery(servers)
    loop = asyncio.get_running_loop()
    for server in servers:
        await loop.create_server(web.Server(server.handle), "127.0.0.1", FIRST_PORT + server.shard)
    await loop.create_server(web.Server(discovery.handle), "127.0.0.1", DISCOVERY)
    print(f"{nodes} chunk servers from port {FIRST_PORT}, discovery on {DISCOVERY}", flush=True)
    if drain > 0:
        await asyncio.sleep(drain)
        await discovery.change(servers[-1], "draining")
        print(f"shard {servers[-1].shard} drains", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=3, help="SlotsTotal in config.json must say the same")
    parser.add_argument("--slow", type=float, default=0.01, help="seconds for each answer")
    parser.add_argument("--drain", type=float, default=0.0, help="drain the last node after so many seconds")
    told = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(told.nodes, told.slow, told.drain))
