"""Stand-in teams, chunk servers, discovery and fronts on loopback: is each team held to its contract?

    ./try teams [--fronts 1] [--seconds 8]

Three teams (contracts.toml) send through the fronts, first each within its contract, then with one of them surging to
twenty times its rate. The table sets what each team got against its contract; exit 0 only if every team was held to it.
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

HERE = Path(__file__).parent
UNITS = 2
SLACK = 0.02  # of what a contract says: what a run of seconds cannot tell


@dataclass
class Team:
    """A stand-in for a team's service: requests at a steady rate, whatever becomes of them."""

    name: str
    cls: str
    plan: str
    aim: float  # s, wanted
    deadline: float
    volume: str
    rate: float  # requests a second
    surge: float  # times that, in the second half
    reserve: float = 0.0  # units a second that its contract promises ...
    budget: float = 0.0  # ... and the most that it allows
    token: str = ""


TEAMS = (
    Team("inspection", "photo-read", "standard", 0.15, 0.75, "00000003b4d60021", 58, 1, 120, 240),
    Team("review", "photo-read", "standard", 0.15, 0.75, "00000003b4d60023", 18, 1, 40, 100, "review-token-2"),
    Team("export", "batch-export", "basic", 1.2, 4.0, "00000003b4d60022", 30, 20, 0, 200),
)


@dataclass
class Got:
    """What one team got in one phase."""

    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    in_time: int = 0
    seconds: float = 0.0
    least_wait: float = 1e9
    waits: int = 0

    @property
    def units_a_second(self) -> float:
        """Units served a second."""
        return self.statuses[200] * UNITS / self.seconds


class Testbed:
    """Chunk servers and discovery in this process, fronts in processes of their own."""

    def __init__(
        self,
        fronts: int = 1,
        servers: int = 3,
        slow: float = 0.01,
        slots: int = 4,
        operator: Path | None = HERE / "contracts.toml",
        environ: Mapping[str, str] | None = None,
    ) -> None:
        self.servers = [ChunkServer(i, slow, f"127.0.0.1:{free_port()}", slots, quiet=True) for i in range(servers)]
        self.operator, self.environ = operator, dict(environ or {})
        self.ports = [free_port() for _ in range(fronts)]
        self.processes: list[asyncio.subprocess.Process] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Testbed:
        loop = asyncio.get_running_loop()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        for server in self.servers:
            await loop.create_server(web.Server(server.handle, access_log=None), *server.address.split(":"))
        asking = free_port()
        await loop.create_server(web.Server(Discovery(self.servers).handle, access_log=None), "127.0.0.1", asking)
        told = json.loads((HERE / "config.json").read_text())
        told["discovery"] = f"127.0.0.1:{asking}"
        told["known"]["members"] = [server.entry for server in self.servers]
        for i, port in enumerate(self.ports):
            told |= {"name": f"n{i}", "listen": f"127.0.0.1:{port}"}
            told["settings"] |= {"Balancers": len(self.ports), "Rank": i}
            path = Path(folder, f"front{i}.json")
            path.write_text(json.dumps(told))
            env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")} | self.environ
            words = ["-m", "ochrespan", "serve", *(["--operator", str(self.operator)] if self.operator else [])]
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    *words,
                    env=env | {"BALANCER_CONFIG": str(path)},
                    cwd=HERE.parent,
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
        async with aiohttp.ClientSession() as session:
            for port in self.ports:
                await self._up(session, port)
        return self

    async def _up(self, session: aiohttp.ClientSession, port: int) -> None:
        for _ in range(600):
            with suppress(aiohttp.ClientError):
                async with session.get(f"http://127.0.0.1:{port}/up") as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise RuntimeError("a front did not come up")

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await self._stack.aclose()


async def play(testbed: Testbed, teams: tuple[Team, ...], seconds: float, seed: int = 1) -> dict[str, Got]:
    """All teams at once for so long; each request goes to a front by lot."""
    loop = asyncio.get_running_loop()
    found = {team.name: Got(seconds=seconds) for team in teams}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session, asyncio.TaskGroup() as tasks:
        for team in teams:
            lot = random.Random(f"{seed} {team.name}")
            tasks.create_task(_send(testbed, team, found[team.name], lot, loop.time() + seconds, session, tasks))
    return found


async def _send(
    testbed: Testbed,
    team: Team,
    got: Got,
    lot: random.Random,
    until: float,
    session: aiohttp.ClientSession,
    tasks: asyncio.TaskGroup,
) -> None:
    loop = asyncio.get_running_loop()
    at = loop.time() + lot.random() / team.rate
    while at < until:
        await asyncio.sleep(max(0.0, at - loop.time()))
        got.asked += 1
        tasks.create_task(_one(testbed, team, got, lot, session))
        at += 1 / team.rate


async def _one(testbed: Testbed, team: Team, got: Got, lot: random.Random, session: aiohttp.ClientSession) -> None:
    loop = asyncio.get_running_loop()
    shard = lot.randrange(len(testbed.servers))
    path = f"/api/{team.volume}/{lot.getrandbits(64):016x}"
    testbed.servers[shard].kept.setdefault(path, b"photo")  # whatever is asked for is there
    headers = {
        "X-Trace-Id": f"{lot.getrandbits(64):016x}",
        "X-Qos": team.cls,
        "X-Plan": team.plan,
        "X-Expires-In-Ms": str(int(team.deadline * 1000)),
        "X-IO": f"units={UNITS},shard={shard},hosts={len(testbed.ports)}",
    }
    if team.token:
        headers["Authorization"] = f"Bearer {team.token}"
    began = loop.time()
    try:
        url = f"http://127.0.0.1:{lot.choice(testbed.ports)}{path}"
        async with session.get(url, headers=headers, timeout=aiohttp.ClientTimeout(team.deadline)) as answer:
            await answer.read()
            got.statuses[answer.status] += 1
            got.in_time += answer.status == 200 and loop.time() - began <= team.aim
            if "Retry-After" in answer.headers:
                got.waits += 1
    except (aiohttp.ClientError, TimeoutError):
        got.statuses[0] += 1


def held(team: Team, got: Got, bursts: float = 1.0) -> list[str]:
    """In what a team was not held to its contract."""
    why = []
    rate = got.units_a_second
    if rate > team.budget * (1 + SLACK) + team.budget * bursts / got.seconds:
        why.append(f"got more than its budget of {team.budget:g}")
    promised = min(team.reserve, got.asked * UNITS / got.seconds)
    if rate < promised * (1 - SLACK):
        why.append(f"got less than the {promised:.0f} that it was promised")
    if got.statuses[429] > got.waits:
        why.append("a refusal did not say when to come back")
    if odd := set(got.statuses) - {200, 429, 503}:
        why.append(f"answers {sorted(odd)}")
    return why


def table(found: dict[str, Got], teams: tuple[Team, ...]) -> tuple[list[str], bool]:
    """A line for each team, and whether all were held."""
    head = ("team", "reserve/s", "budget/s", "asked/s", "got/s", "in time", "over budget", "refused", "held")
    rows, good = [head], True
    for team in teams:
        got = found[team.name]
        why = held(team, got)
        good = good and not why
        share = got.in_time / max(1, got.statuses[200])
        rows.append(
            (
                team.name,
                f"{team.reserve:g}",
                f"{team.budget:g}",
                f"{got.asked * UNITS / got.seconds:.0f}",
                f"{got.units_a_second:.1f}",
                f"{share:.1%}",
                str(got.statuses[429]),
                str(got.statuses[503]),
                "yes" if not why else "NO: " + "; ".join(why),
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ], good


async def main(fronts: int, seconds: float) -> int:
    """Both phases; the exit code."""
    good = True
    async with Testbed(fronts) as testbed:
        await asyncio.sleep(1.5)  # budgets begin empty
        for words, surging in (("each team within its contract", False), ("export at twenty times its rate", True)):
            teams = tuple(replace(team, rate=team.rate * (team.surge if surging else 1)) for team in TEAMS)
            found = await play(testbed, teams, seconds)
            lines, all_held = table(found, teams)
            good = good and all_held
            print(f"\n{words}: {seconds:g} s, {fronts} front(s), {len(testbed.servers)} chunk servers; units a second")
            print("\n".join(lines), flush=True)
    print("\nevery team was held to its contract" if good else "\na team was NOT held to its contract")
    return 0 if good else 1


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--fronts", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0, help="of each of the two phases")
    chosen = parser.parse_args()
    sys.exit(asyncio.run(main(chosen.fronts, chosen.seconds)))
