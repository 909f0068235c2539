"""Test harness of a front with a control address, and of further processes of it for upgrades."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile

import aiohttp

from .front_harness import FrontHarness, free_port, wait_until


class ControlledFront(FrontHarness):
    """A `FrontHarness` whose front has a control address and a folder shared by its processes."""

    async def __aenter__(self) -> ControlledFront:
        self.temporary = tempfile.TemporaryDirectory()
        self.control = free_port()
        self.env |= {"BALANCER_CONTROL": f"127.0.0.1:{self.control}", "TMPDIR": self.temporary.name}
        self.successors: list[Successor] = []
        await super().__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        for successor in self.successors:
            await successor.end()
        await super().__aexit__(*details)
        self.temporary.cleanup()

    async def command(self, path: str, method: str = "POST", port: int = 0) -> tuple[int, str]:
        """Calls the control address; returns status and body."""
        status, _, body = await self.call(method, path, port=port or self.control)
        return status, body.decode()

    async def suspend(self, server: str, port: int = 0) -> int:
        return (await self.command(f"/v1/chunk-servers/{server}/suspend", port=port))[0]

    async def resume(self, server: str, port: int = 0) -> int:
        return (await self.command(f"/v1/chunk-servers/{server}/resume", port=port))[0]

    async def metrics(self, port: int = 0) -> dict[str, float]:
        """The metrics by name; asserts that each line is in statsd format."""
        status, text = await self.command("/v1/metrics", "GET", port)
        assert status == 200
        found = {}
        for line in text.splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            assert name.startswith("balancer.") and kind in ("c", "g"), line
            found[name.removeprefix("balancer.")] = float(value)
        return found

    async def upgrade(self) -> Successor:
        """Starts a second process beside the one that serves."""
        successor = Successor(self)
        self.successors.append(successor)
        await successor.start()
        return successor


class Successor:
    """A further process of a front, on the same addresses except for the control address."""

    def __init__(self, harness: ControlledFront) -> None:
        self.harness, self.control, self.log = harness, free_port(), ""

    async def start(self, **env: str) -> None:
        harness = self.harness
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environment |= (
            harness.env
            | {
                "BALANCER_CONFIG": str(harness.config),
                "BALANCER_DISCOVERY": harness.config_document["discovery"],
                "BALANCER_CONTROL": f"127.0.0.1:{self.control}",
            }
            | env
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ochrespan", env=environment, stderr=asyncio.subprocess.PIPE
        )
        self._log_reader = asyncio.create_task(self._read_log())

    async def ready(self) -> None:
        """Waits until the process reports that it can serve."""
        while True:
            assert self.process.returncode is None, self.log
            try:
                if (await self.harness.command("/v1/readyz", "GET", self.control))[0] == 200:
                    return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self._log_reader

    async def _read_log(self) -> None:
        async for line in self.process.stderr:
            self.log += line.decode()


__all__ = ["ControlledFront", "Successor", "wait_until"]
