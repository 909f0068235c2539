"""Throughput and processor time of requests over HTTP/1.1 and HTTP/2, and head-of-line blocking between streams.

    python -m benchmarks.http2_load [--seconds 4] [--rounds 3]

One front, simulated chunk servers without delay, and alternately one HTTP/2 connection with 1, 10 and 100 concurrent
streams and as many HTTP/1.1 connections. Processor time is the front's, as the operating system accounts for it. Then
the latency of a small read: alone, beside a client that does not read its response, and beside a read of 32 MiB.
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

from .admission_cost import cpu_seconds_of
from .machine import machine

VOLUME = "00000003b4d60021"


def operator(platform: int, objects: int, plain: int) -> str:
    """The operator file of the run; the arguments are ports."""
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
    """The headers of a request in the platform's protocol."""
    return {
        "X-Trace-Id": f"b{number}",
        "X-Qos": "photo-read",
        "X-Plan": "standard",
        "X-Expires-In-Ms": "750",
        "X-IO": f"units=1,shard={number % 3},hosts=1",
    }


async def run_concurrently(send_request, at_once: int, seconds: float) -> tuple[int, int]:
    """Sends requests from concurrent workers for some seconds; returns the numbers of responses and of successes."""
    loop = asyncio.get_running_loop()
    end_at, counts = loop.time() + seconds, [0, 0]

    async def run_worker() -> None:
        while loop.time() < end_at:
            status = await send_request()
            counts[0] += 1
            counts[1] += status == 200

    await asyncio.gather(*(run_worker() for _ in range(at_once)))
    return counts[0], counts[1]


async def throughput(testbed: Testbed, port: int, seconds: float, rounds: int) -> None:
    """Prints requests per second and processor time per request, for both protocols alternately."""
    numbers = iter(range(10**9))
    path = f"/api/{VOLUME}/{0:016x}"
    for server in testbed.servers:
        server.chunks[path] = b"photo"
    results: dict[tuple[int, str], list[tuple[float, float]]] = {}
    for _ in range(rounds):
        for at_once in (1, 10, 100):

            async def measure(name: str, send_request, at_once=at_once) -> None:
                before = cpu_seconds_of(testbed.processes[0].pid)
                response_count, _ = await run_concurrently(send_request, at_once, seconds)
                used_s = cpu_seconds_of(testbed.processes[0].pid) - before
                results.setdefault((at_once, name), []).append(
                    (response_count / seconds, used_s / response_count * 1e3)
                )

            async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

                async def plain(session=session) -> int:
                    url = f"http://127.0.0.1:{testbed.ports[0]}{path}"
                    async with session.get(url, headers=headers(next(numbers))) as response:
                        await response.read()
                        return response.status

                await measure("HTTP/1.1", plain)
            # opened only here, as the front closes a connection that has sent no request for two seconds
            async with Client(port) as client:

                async def stream(client=client) -> int:
                    return (await client.call("GET", path, b"", headers(next(numbers)))).status

                await measure("HTTP/2", stream)
    for (at_once, name), measurements in results.items():
        print(
            f"{at_once:4} at a time, {name:8}: {statistics.median(r for r, _ in measurements):6.0f} requests a second, "
            f"{statistics.median(c for _, c in measurements):5.2f} ms of processor time each",
            flush=True,
        )


async def latency(port: int, seconds: float) -> None:
    """Prints the latency of a small read, alone and beside other reads."""
    body = bytes(32 << 20)
    async with Client(port, window=1 << 20) as client:
        assert (await client.call("PUT", "/photos/large", body)).status == 200
        assert (await client.call("PUT", "/photos/small", b"small")).status == 200

        async def p99() -> float:
            loop = asyncio.get_running_loop()
            end_at, times = loop.time() + seconds, []
            while loop.time() < end_at:
                started_at = loop.time()
                assert (await client.call("GET", "/photos/small")).status == 200
                times.append(loop.time() - started_at)
            return statistics.quantiles(times, n=100)[-1] * 1e3

        alone_ms = await p99()
        slow_stream = client.begin("GET", "/photos/large")
        client.withhold_credit.add(slow_stream)
        beside_slow_reader_ms = await p99()
        client.reset(slow_stream)
        large_stream = client.begin("GET", "/photos/large")
        beside_large_read_ms = await p99()
        if not client.streams[large_stream].done.is_set():
            client.reset(large_stream)
        print(
            f"p99 of a small read: {alone_ms:.1f} ms alone, {beside_slow_reader_ms:.1f} beside a slow reader "
            f"({beside_slow_reader_ms / alone_ms:.2f}), {beside_large_read_ms:.1f} beside a read of 32 MiB "
            f"({beside_large_read_ms / alone_ms:.2f})"
        )


async def run(seconds: float, rounds: int) -> None:
    """Runs both measurements against one front."""
    platform, objects = free_port(), free_port()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "operator.toml")
        path.write_text(operator(platform, objects, free_port()))
        async with Testbed(1, response_delay_s=0.0, slots=100, operator=path) as testbed:
            await throughput(testbed, platform, seconds, rounds)
            await latency(objects, seconds)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    print(f"{machine()}; {options.rounds} rounds of {options.seconds:g} s")
    asyncio.run(run(options.seconds, options.rounds))


if __name__ == "__main__":
    main()
