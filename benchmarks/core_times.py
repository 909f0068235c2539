"""Times of the core with real sockets and disks on this machine: election after a kill, hand-over, an order.

    python -m benchmarks.core_times main --rounds 20
    python -m benchmarks.core_times simulated --rounds 20

`main`: three replica hosts run as processes of their own on loopback addresses; the parent proposes through calls to
them. `simulated`: the same in virtual time, with links and syncs of 0.5 to 2 ms, so that a busy machine doesn't count.
"""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass

import defopt
import gevent

from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.host import ReplicaHost
from ochrespan.control_plane.replication.state_machine import HostSettings
from ochrespan.raft.state import Role
from ochrespan.transport import codec, rpc
from tests.support.raft_simulation.node import Node
from tests.support.raft_simulation.world import World

CALL_S = 1.0
PAUSE_S = 0.005
SETTLE_S = 1.5
STEP_S = 0.001
WARM_UP_S = 6.0
RESTART_S = 1.0


@codec.message("benchmark.propose")
@dataclass(slots=True)
class Propose:
    command: bytes


@codec.message("benchmark.taken")
@dataclass(slots=True)
class Taken:
    done: bool


class Counter:
    """A state machine that counts its commands."""

    count = 0

    def apply(self, index: int, command: bytes) -> int:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        self.count = int(data)


def serve(*, number: int, port: int, folder: str) -> int:
    """One replica host, until SIGTERM.

    :param number: last part of its address
    :param port: its port
    :param folder: its disk
    """
    seeds = tuple((f"127.0.0.{seed}", port) for seed in (1, 2, 3))
    host = ReplicaHost(HostSettings(seeds[number - 1], seeds, folder, 64, True, 1, f"core-{number}"), {0: Counter()})

    def propose(request: Propose) -> Taken:
        try:
            host.propose(0, request.command, CALL_S)
        except (NotLeaderError, OutcomeUnknownError):
            return Taken(False)
        return Taken(True)

    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    host.call_server.on_request(Propose, propose)
    host.start()
    ended.wait()
    host.stop()
    return 0


class Core:
    """The three processes, and who took the last order."""

    def __init__(self, folder: str) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self._port = sock.getsockname()[1]
        self._folder = folder
        self._processes: dict[int, subprocess.Popen] = {}
        self._callers = {number: rpc.RpcClient((f"127.0.0.{number}", self._port)) for number in (1, 2, 3)}
        for number in (1, 2, 3):
            os.mkdir(f"{folder}/{number}")
            self.start(number)

    def start(self, number: int) -> None:
        command = [
            sys.executable,
            "-m",
            "benchmarks.core_times",
            "serve",
            "--number",
            str(number),
            "--port",
            str(self._port),
            "--folder",
            f"{self._folder}/{number}",
        ]
        self._processes[number] = subprocess.Popen(command)

    def end(self, number: int, sent: signal.Signals) -> None:
        self._processes[number].send_signal(sent)

    def restart(self, number: int) -> None:
        self._processes[number].wait()
        self.start(number)
        gevent.sleep(SETTLE_S)

    def order(self) -> int:
        """Proposes until a machine has taken the order; its number."""
        while True:
            for number, caller in self._callers.items():
                with contextlib.suppress(rpc.RpcError):
                    if caller.call(Propose(b"order"), CALL_S).done:
                        return number
            gevent.sleep(PAUSE_S)

    def close(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()


def measure(name: str, rounds: int, one: Callable[[], float]) -> None:
    times = [one() * 1000 for _ in range(rounds)]
    print(f"{name}: median {statistics.median(times):.1f} ms, largest of {rounds} {max(times):.1f} ms")


def main(*, rounds: int = 20) -> int:
    """Measures each time.

    :param rounds: how often each is measured
    """
    with tempfile.TemporaryDirectory() as folder:
        core = Core(folder)
        try:
            leader = core.order()
            gevent.sleep(SETTLE_S)

            def acknowledgement() -> float:
                began = time.monotonic()
                core.order()
                return time.monotonic() - began

            def after(sent: signal.Signals) -> float:
                nonlocal leader
                leader, ended = core.order(), time.monotonic()
                core.end(leader, sent)
                core.order()
                took = time.monotonic() - ended
                core.restart(leader)
                return took

            measure("order acknowledged", rounds, acknowledgement)
            measure("order taken after a kill of the leader", rounds, lambda: after(signal.SIGKILL))
            measure("order taken after SIGTERM of the leader", rounds, lambda: after(signal.SIGTERM))
        finally:
            core.close()
    return 0


def until_led(world: World, began: float) -> float:
    """Seconds until shard 0 has a leader again that may answer."""
    while world.leader(0) is None:
        world.run(STEP_S)
    return world.now - began


def after_loss(seed: int, end: Callable[[Node], None]) -> float:
    """Seconds without a leader after the one of shard 0 has met its end."""
    world = World(seed)
    world.run(WARM_UP_S + seed * STEP_S)
    until_led(world, world.now)  # leadership may be on its way to another at this moment
    end(world.leader(0))
    return until_led(world, world.now)


def after_loss_of_all(seed: int) -> float:
    """Seconds from the return of all machines, which lost power at once, until every shard has a leader."""
    world = World(seed)
    world.run(WARM_UP_S + seed * STEP_S)
    nodes = list(world.nodes.values())
    for node in nodes:
        node.lose_power()
    world.run(RESTART_S)
    began = world.now
    for node in nodes:
        node.start(world.seeds, bootstrap=False)
    while any(world.leader(shard) is None for shard in world.shards):
        world.run(STEP_S)
    return world.now - began


def acknowledged(seed: int) -> float:
    """Seconds from an order at its leader to its acknowledgement."""
    world = World(seed)
    world.run(WARM_UP_S)
    began = world.now
    world.order(0)
    while not world.checks.acked[0]:
        world.run(STEP_S)
    return world.now - began


def after_first_start(seed: int, absent: int | None = None) -> float:
    """Seconds from the first start of the seeds, within 0.3 s of each other, until every shard has a leader.

    :param absent: a seed that does not start
    """
    world = World(seed)
    if absent is not None:
        next(node for node in world.nodes.values() if node.address == world.seeds[absent]).start = lambda *_: None
    began = world.now
    while any(world.leader(shard) is None for shard in world.shards):
        world.run(STEP_S)
    return world.now - began


def after_replacement(seed: int) -> float:
    """Seconds from the start of an empty machine at another address until it is a voter of every group."""
    world = World(seed)
    world.run(WARM_UP_S)
    until_led(world, world.now)
    gone = world.leader(0)
    gone.lose_power()
    del world.nodes[gone.address]
    world.run(RESTART_S)
    began = world.now
    new = world.add(len(world.seeds) + 1)
    new.start(world.seeds, bootstrap=False)
    while not all(
        replica.core.is_voter and not replica.core.configuration.is_joint for replica in new.table.replicas.values()
    ):
        world.run(STEP_S)
    return world.now - began


def simulated(*, rounds: int = 20) -> int:
    """Measures under virtual time.

    :param rounds: seeds for each time
    """
    seeds = iter(range(rounds * 8))
    measure("leaders after the first start", rounds, lambda: after_first_start(next(seeds)))
    measure("the same without one seed", rounds, lambda: after_first_start(next(seeds), absent=rounds % 3))
    measure("order acknowledged", rounds, lambda: acknowledged(next(seeds)))
    measure("leader after a kill", rounds, lambda: after_loss(next(seeds), Node.kill))
    measure("leader after a loss of power", rounds, lambda: after_loss(next(seeds), Node.lose_power))
    measure("leader after a planned end", rounds, lambda: after_loss(next(seeds), leave))
    measure("leaders after all lost power", rounds, lambda: after_loss_of_all(next(seeds)))
    measure("replacement is a voter", rounds, lambda: after_replacement(next(seeds)))
    return 0


def leave(node: Node) -> None:
    """A planned end: the hand-over, and the end once another leads."""
    node.table.leave(node.world.now)
    node.pump()
    while node.table.replicas[0].core.role is Role.LEADER:
        node.world.run(STEP_S)


if __name__ == "__main__":
    sys.exit(defopt.run([main, simulated, serve], version=False))
