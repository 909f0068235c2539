"""Times of the replicas with real sockets and disks: election after a kill, planned shutdown, a command.

    python -m benchmarks.core_times main --rounds 20
    python -m benchmarks.core_times simulated --rounds 20

`main`: three replica hosts run as processes of their own on loopback addresses; the parent proposes through calls to
them. `simulated`: the same in virtual time, with links and syncs of 0.5 to 2 ms, so that the load of this machine makes
no difference.
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

CALL_TIMEOUT_S = 1.0
RETRY_S = 0.005
SETTLE_S = 1.5
STEP_S = 0.001
WARM_UP_S = 6.0
RESTART_S = 1.0


@codec.message("benchmark.propose")
@dataclass(slots=True)
class Propose:
    """A request to propose a command."""

    command: bytes


@codec.message("benchmark.proposed")
@dataclass(slots=True)
class Proposed:
    """Whether the command is committed."""

    done: bool


class Counter:
    """A state machine that counts its commands."""

    count = 0

    def apply(self, index: int, command: bytes) -> int:  # noqa: ARG002 - part of the interface
        """Counts a command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """The count as bytes."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Replaces the count."""
        self.count = int(data)


def serve(*, number: int, port: int, folder: str) -> int:
    """One replica host, until SIGTERM.

    :param number: last part of its address
    :param port: its port
    :param folder: its disk
    """
    seeds = tuple((f"127.0.0.{seed}", port) for seed in (1, 2, 3))
    host = ReplicaHost(HostSettings(seeds[number - 1], seeds, folder, 64, True, 1, f"core-{number}"), {0: Counter()})

    def propose(request: Propose) -> Proposed:
        try:
            host.propose(0, request.command, CALL_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError):
            return Proposed(False)
        return Proposed(True)

    ended = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    host.call_server.on_request(Propose, propose)
    host.start()
    ended.wait()
    host.stop()
    return 0


class Core:
    """The three processes and a client for each."""

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
        """Starts a process."""
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
        """Sends a process a signal that ends it."""
        self._processes[number].send_signal(sent)

    def restart(self, number: int) -> None:
        """Starts a process again once it has ended, and gives the group time to stabilise."""
        self._processes[number].wait()
        self.start(number)
        gevent.sleep(SETTLE_S)

    def propose(self) -> int:
        """Proposes until a process has committed the command; its number."""
        while True:
            for number, caller in self._callers.items():
                with contextlib.suppress(rpc.RpcError):
                    if caller.call(Propose(b"command"), CALL_TIMEOUT_S).done:
                        return number
            gevent.sleep(RETRY_S)

    def close(self) -> None:
        """Kills the processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()


def measure(name: str, rounds: int, one: Callable[[], float]) -> None:
    """Prints the median and the maximum of several times in seconds."""
    times = [one() * 1000 for _ in range(rounds)]
    print(f"{name}: median {statistics.median(times):.1f} ms, largest of {rounds} {max(times):.1f} ms")


def main(*, rounds: int = 20) -> int:
    """Measures each time.

    :param rounds: how often each is measured
    """
    with tempfile.TemporaryDirectory() as folder:
        core = Core(folder)
        try:
            leader = core.propose()
            gevent.sleep(SETTLE_S)

            def acknowledgement() -> float:
                began = time.monotonic()
                core.propose()
                return time.monotonic() - began

            def after(sent: signal.Signals) -> float:
                nonlocal leader
                leader, ended = core.propose(), time.monotonic()
                core.end(leader, sent)
                core.propose()
                took = time.monotonic() - ended
                core.restart(leader)
                return took

            measure("command acknowledged", rounds, acknowledgement)
            measure("command acknowledged after a kill of the leader", rounds, lambda: after(signal.SIGKILL))
            measure("command acknowledged after SIGTERM of the leader", rounds, lambda: after(signal.SIGTERM))
        finally:
            core.close()
    return 0


def until_led(world: World, began: float) -> float:
    """Seconds until shard 0 has a leader again that may respond."""
    while world.leader(0) is None:
        world.run(STEP_S)
    return world.now - began


def after_loss(seed: int, end: Callable[[Node], None]) -> float:
    """Seconds without a leader after that of shard 0 was ended."""
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
    """Seconds from a proposal at the leader to its acknowledgement."""
    world = World(seed)
    world.run(WARM_UP_S)
    began = world.now
    world.propose(0)
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
        replica.state.is_voter and not replica.state.configuration.is_joint
        for replica in new.multi_raft.replicas.values()
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
    measure("command acknowledged", rounds, lambda: acknowledged(next(seeds)))
    measure("leader after a kill", rounds, lambda: after_loss(next(seeds), Node.kill))
    measure("leader after a loss of power", rounds, lambda: after_loss(next(seeds), Node.lose_power))
    measure("leader after a planned shutdown", rounds, lambda: after_loss(next(seeds), leave))
    measure("leaders after all lost power", rounds, lambda: after_loss_of_all(next(seeds)))
    measure("replacement is a voter", rounds, lambda: after_replacement(next(seeds)))
    return 0


def leave(node: Node) -> None:
    """A planned shutdown: the transfer of leadership, and the end once another leads."""
    node.multi_raft.leave(node.world.now)
    node.pump()
    while node.multi_raft.replicas[0].state.role is Role.LEADER:
        node.world.run(STEP_S)


if __name__ == "__main__":
    sys.exit(defopt.run([main, simulated, serve], version=False))
