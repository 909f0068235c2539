"""Simulated teams, chunk servers, discovery and fronts on loopback: does each team get what its contract says?

    ./try teams [--fronts 1] [--seconds 8]

Three teams (contracts.toml) send through the fronts, first each within its contract, then with one of them at twenty
times its rate. The table compares what each team got with its contract; the exit status is 0 if all contracts were met.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Mapping
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
from aiohttp import web

from .ports import free_port
from .toy import ChunkServer, Discovery

EXAMPLES = Path(__file__).parent
UNITS_PER_REQUEST = 2
TOLERANCE = 0.02  # relative to a contract's rates: the error of a measurement over a few seconds


@dataclass
class Team:
    """A simulated team: sends requests at a constant rate, whatever their responses (open loop)."""

    name: str
    request_class: str
    plan: str
    latency_target_s: float
    deadline_s: float
    volume: str
    requests_per_s: float
    surge_factor: float  # multiplies requests_per_s in the second phase
    reserve: float = 0.0  # units/s that its contract guarantees
    budget: float = 0.0  # units/s that its contract allows at most
    token: str = ""


TEAMS = (
    Team("inspection", "photo-read", "standard", 0.15, 0.75, "00000003b4d60021", 58, 1, 120, 240),
    Team("review", "photo-read", "standard", 0.15, 0.75, "00000003b4d60023", 18, 1, 40, 100, "review-token-2"),
    Team("export", "batch-export", "basic", 1.2, 4.0, "00000003b4d60022", 30, 20, 0, 200),
)


@dataclass
class TeamResult:
    """The results of one team in one phase."""

    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    in_time: int = 0  # responses with status 200 within the latency target
    seconds: float = 0.0
    min_wait_s: float = 1e9
    retry_after_count: int = 0  # responses with Retry-After

    @property
    def served_units_per_s(self) -> float:
        """Rate of the units of requests with status 200."""
        return self.statuses[200] * UNITS_PER_REQUEST / self.seconds


class Testbed:
    """Chunk servers and discovery in this process, and fronts in child processes."""

    def __init__(
        self,
        fronts: int = 1,
        servers: int = 3,
        response_delay_s: float = 0.01,
        slots: int = 4,
        operator: Path | None = EXAMPLES / "contracts.toml",
        environ: Mapping[str, str] | None = None,
    ) -> None:
        self.servers = [
            ChunkServer(i, response_delay_s, f"127.0.0.1:{free_port()}", slots, quiet=True) for i in range(servers)
        ]
        self.operator, self.environ = operator, dict(environ or {})
        self.ports = [free_port() for _ in range(fronts)]
        self.processes: list[asyncio.subprocess.Process] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Testbed:
        loop = asyncio.get_running_loop()
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        for server in self.servers:
            await loop.create_server(web.Server(server.handle, access_log=None), *server.address.split(":"))
        discovery_port = free_port()
        await loop.create_server(
            web.Server(Discovery(self.servers).handle, access_log=None), "127.0.0.1", discovery_port
        )
        configuration = json.loads((EXAMPLES / "config.json").read_text())
        configuration["discovery"] = f"127.0.0.1:{discovery_port}"
        configuration["known"]["members"] = [server.entry for server in self.servers]
        for i, port in enumerate(self.ports):
            configuration |= {"name": f"n{i}", "listen": f"127.0.0.1:{port}"}
            configuration["settings"] |= {"Balancers": len(self.ports), "Rank": i}
            path = Path(directory, f"front{i}.json")
            path.write_text(json.dumps(configuration))
            env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | self.environ
            arguments = ["-m", "ochrespan", "serve", *(["--operator", str(self.operator)] if self.operator else [])]
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    *arguments,
                    env=env | {"BALANCER_CONFIG": str(path)},
                    cwd=EXAMPLES.parent,
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
        async with aiohttp.ClientSession() as session:
            for port in self.ports:
                await self._wait_until_up(session, port)
        return self

    async def _wait_until_up(self, session: aiohttp.ClientSession, port: int) -> None:
        for _ in range(600):
            with suppress(aiohttp.ClientError):
                async with session.get(f"http://127.0.0.1:{port}/up") as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise RuntimeError("a front did not become ready: no status 200 at /up")

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await self._stack.aclose()


async def run_load(testbed: Testbed, teams: tuple[Team, ...], seconds: float, seed: int = 1) -> dict[str, TeamResult]:
    """Runs all teams concurrently for some seconds; each request goes to a randomly chosen front."""
    loop = asyncio.get_running_loop()
    results = {team.name: TeamResult(seconds=seconds) for team in teams}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session, asyncio.TaskGroup() as tasks:
        for team in teams:
            random_source = random.Random(f"{seed} {team.name}")
            tasks.create_task(
                _send(testbed, team, results[team.name], random_source, loop.time() + seconds, session, tasks)
            )
    return results


async def _send(
    testbed: Testbed,
    team: Team,
    result: TeamResult,
    random_source: random.Random,
    end_at: float,
    session: aiohttp.ClientSession,
    tasks: asyncio.TaskGroup,
) -> None:
    loop = asyncio.get_running_loop()
    send_at = loop.time() + random_source.random() / team.requests_per_s
    while send_at < end_at:
        await asyncio.sleep(max(0.0, send_at - loop.time()))
        result.sent += 1
        tasks.create_task(_send_request(testbed, team, result, random_source, session))
        send_at += 1 / team.requests_per_s


async def _send_request(
    testbed: Testbed, team: Team, result: TeamResult, random_source: random.Random, session: aiohttp.ClientSession
) -> None:
    loop = asyncio.get_running_loop()
    shard = random_source.randrange(len(testbed.servers))
    path = f"/api/{team.volume}/{random_source.getrandbits(64):016x}"
    testbed.servers[shard].chunks.setdefault(path, b"photo")  # every requested chunk exists
    headers = {
        "X-Trace-Id": f"{random_source.getrandbits(64):016x}",
        "X-Qos": team.request_class,
        "X-Plan": team.plan,
        "X-Expires-In-Ms": str(int(team.deadline_s * 1000)),
        "X-IO": f"units={UNITS_PER_REQUEST},shard={shard},hosts={len(testbed.ports)}",
    }
    if team.token:
        headers["Authorization"] = f"Bearer {team.token}"
    started_at = loop.time()
    try:
        url = f"http://127.0.0.1:{random_source.choice(testbed.ports)}{path}"
        async with session.get(url, headers=headers, timeout=aiohttp.ClientTimeout(team.deadline_s)) as response:
            await response.read()
            result.statuses[response.status] += 1
            result.in_time += response.status == 200 and loop.time() - started_at <= team.latency_target_s
            if "Retry-After" in response.headers:
                result.retry_after_count += 1
    except (aiohttp.ClientError, TimeoutError):
        result.statuses[0] += 1


def contract_violations(team: Team, result: TeamResult, bursts: float = 1.0) -> list[str]:
    """How a team's results violate its contract; `bursts` is the allowed burst in seconds of its budget."""
    violations = []
    units_per_s = result.served_units_per_s
    if units_per_s > team.budget * (1 + TOLERANCE) + team.budget * bursts / result.seconds:
        violations.append(f"got more than its budget of {team.budget:g}")
    expected = min(team.reserve, result.sent * UNITS_PER_REQUEST / result.seconds)
    if units_per_s < expected * (1 - TOLERANCE):
        violations.append(f"got less than the {expected:.0f} that it was promised")
    if result.statuses[429] > result.retry_after_count:
        violations.append("a refusal did not say when to come back")
    if unexpected := set(result.statuses) - {200, 429, 503}:
        violations.append(f"answers {sorted(unexpected)}")
    return violations


def result_table(results: dict[str, TeamResult], teams: tuple[Team, ...]) -> tuple[list[str], bool]:
    """The table's lines, a header and one line per team, and whether every contract was met."""
    header = ("team", "reserve/s", "budget/s", "asked/s", "got/s", "in time", "over budget", "refused", "held")
    rows, is_fulfilled = [header], True
    for team in teams:
        result = results[team.name]
        violations = contract_violations(team, result)
        is_fulfilled = is_fulfilled and not violations
        in_time_fraction = result.in_time / max(1, result.statuses[200])
        rows.append(
            (
                team.name,
                f"{team.reserve:g}",
                f"{team.budget:g}",
                f"{result.sent * UNITS_PER_REQUEST / result.seconds:.0f}",
                f"{result.served_units_per_s:.1f}",
                f"{in_time_fraction:.1%}",
                str(result.statuses[429]),
                str(result.statuses[503]),
                "yes" if not violations else "NO: " + "; ".join(violations),
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ], is_fulfilled


async def main(fronts: int, seconds: float) -> int:
    """Runs both phases and prints their tables; returns the exit status."""
    is_fulfilled = True
    async with Testbed(fronts) as testbed:
        await asyncio.sleep(1.5)  # budgets start empty
        for phase, is_surging in (
            ("each team within its contract", False),
            ("export at twenty times its rate", True),
        ):
            teams = tuple(
                replace(team, requests_per_s=team.requests_per_s * (team.surge_factor if is_surging else 1))
                for team in TEAMS
            )
            results = await run_load(testbed, teams, seconds)
            table_lines, all_fulfilled = result_table(results, teams)
            is_fulfilled = is_fulfilled and all_fulfilled
            print(f"\n{phase}: {seconds:g} s, {fronts} front(s), {len(testbed.servers)} chunk servers; units a second")
            print("\n".join(table_lines), flush=True)
    print("\nevery team was held to its contract" if is_fulfilled else "\na team was NOT held to its contract")
    return 0 if is_fulfilled else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--fronts", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0, help="of each of the two phases")
    options = parser.parse_args()
    sys.exit(asyncio.run(main(options.fronts, options.seconds)))
