"""Requests over HTTP/1.1 and HTTP/2: how many a second, at what processor time, and who waits for whom.

    python -m benchmarks.http2_load [--seconds 4] [--rounds 3]

One front, stand-in chunk servers that answer at once, one connection of HTTP/2 with 1, 10 and 100 streams at a time and
as many connections of HTTP/1.1, in turns. Processor time is the front's own, from the operating system's accounts. Then
the latency of a small read alone, beside a reader that does not take its answer, and beside a read of 32 MiB.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
from pathlib import Path

import aiohttp

from examples.ports import free_port
from examples.teams import Testbed
from tests.h2client import Client

from .admission_cost import cpu_of
from .machine import machine

VOLUME = "00000003b4d60021"


def operator(platform: int, objects: int, plain: int) -> str:
    """The operator's file of the run."""
    return f"""
[objects]
listen = "127.0.0.1:{plain}"
[[team]]
name = "inspection"
plan = "standard"
read = "batch-export"
write = "batch-export"
buckets = ["photos"]
[http2]
platform = "127.0.0.1:{platform}"
objects = "127.0.0.1:{objects}"
streams = 200
"""


def headers(number: int) -> dict[str, str]:
    """The head of a request in the platform's protocol."""
    return {
        "X-Trace-Id": f"b{number}",
        "X-Qos": "photo-read",
        "X-Plan": "standard",
        "X-Expires-In-Ms": "750",
        "X-IO": f"units=1,shard={number % 3},hosts=1",
    }


async def many(ask, at_once: int, seconds: float) -> tuple[int, int]:
    """So many at a time for so long: requests answered, and of them served."""
    loop = asyncio.get_running_loop()
    until, counts = loop.time() + seconds, [0, 0]

    async def one() -> None:
        while loop.time() < until:
            status = await ask()
            counts[0] += 1
            counts[1] += status == 200

    await asyncio.gather(*(one() for _ in range(at_once)))
    return counts[0], counts[1]


async def throughput(testbed: Testbed, port: int, seconds: float, rounds: int) -> None:
    """Requests a second and processor time each, over both protocols in turns."""
    numbers = iter(range(10**9))
    path = f"/api/{VOLUME}/{0:016x}"
    for server in testbed.servers:
        server.chunks[path] = b"photo"
    found: dict[tuple[int, str], list[tuple[float, float]]] = {}
    for _ in range(rounds):
        for at_once in (1, 10, 100):

            async def measure(name: str, ask, at_once=at_once) -> None:
                before = cpu_of(testbed.processes[0].pid)
                asked, _ = await many(ask, at_once, seconds)
                spent = cpu_of(testbed.processes[0].pid) - before
                found.setdefault((at_once, name), []).append((asked / seconds, spent / asked * 1e3))

            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

                async def plain(session=session) -> int:
                    url = f"http://127.0.0.1:{testbed.ports[0]}{path}"
                    async with session.get(url, headers=headers(next(numbers))) as answer:
                        await answer.read()
                        return answer.status

                await measure("HTTP/1.1", plain)
            # opened only now: the front closes a connection that has sent no request for two seconds
            async with Client(port) as client:

                async def stream(client=client) -> int:
                    return (await client.call("GET", path, b"", headers(next(numbers)))).status

                await measure("HTTP/2", stream)
    for (at_once, name), got in found.items():
        print(
            f"{at_once:4} at a time, {name:8}: {statistics.median(r for r, _ in got):6.0f} requests a second, "
            f"{statistics.median(c for _, c in got):5.2f} ms of processor time each",
            flush=True,
        )


async def latency(port: int, seconds: float) -> None:
    """Latency of a small read alone and beside others."""
    body = bytes(32 << 20)
    async with Client(port, window=1 << 20) as client:
        assert (await client.call("PUT", "/photos/large", body)).status == 200
        assert (await client.call("PUT", "/photos/small", b"small")).status == 200

        async def p99() -> float:
            loop = asyncio.get_running_loop()
            until, times = loop.time() + seconds, []
            while loop.time() < until:
                began = loop.time()
                assert (await client.call("GET", "/photos/small")).status == 200
                times.append(loop.time() - began)
            return statistics.quantiles(times, n=100)[-1] * 1e3

        alone = await p99()
        slow = client.begin("GET", "/photos/large")
        client.withhold_credit.add(slow)
        beside_slow = await p99()
        client.reset(slow)
        large = client.begin("GET", "/photos/large")
        beside_large = await p99()
        if not client.streams[large].done.is_set():
            client.reset(large)
        print(
            f"p99 of a small read: {alone:.1f} ms alone, {beside_slow:.1f} beside a slow reader "
            f"({beside_slow / alone:.2f}), {beside_large:.1f} beside a read of 32 MiB ({beside_large / alone:.2f})"
        )


async def run(seconds: float, rounds: int) -> None:
    """Both measurements against one front."""
    platform, objects = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "operator.toml")
        path.write_text(operator(platform, objects, free_port()))
        async with Testbed(1, response_delay_s=0.0, slots=100, operator=path) as testbed:
            await throughput(testbed, platform, seconds, rounds)
            await latency(objects, seconds)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    chosen = parser.parse_args()
    print(f"{machine()}; {chosen.rounds} rounds of {chosen.seconds:g} s")
    asyncio.run(run(chosen.seconds, chosen.rounds))


if __name__ == "__main__":
    main()
