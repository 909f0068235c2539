"""Latencies of the replicas: a command, an election after a kill, a planned shutdown.

    python -m benchmarks.core_times main --rounds 20
    python -m benchmarks.core_times simulated --rounds 20

`main`: three replica hosts run as processes on loopback addresses, with real sockets and disks; the parent proposes
commands by RPC. `simulated`: the same in virtual time, with link delays and disk syncs of 0.5 to 2 ms, so that the
load of this machine has no influence.
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
RETRY_INTERVAL_S = 0.005
STABILIZATION_S = 1.5
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
    """Runs one replica host until SIGTERM.

    :param number: last octet of its address
    :param port: its port
    :param folder: its data directory
    """
    seeds = tuple((f"127.0.0.{seed}", port) for seed in (1, 2, 3))
    host = ReplicaHost(HostSettings(seeds[number - 1], seeds, folder, 64, True, 1, f"core-{number}"), {0: Counter()})

    def propose(request: Propose) -> Proposed:
        try:
            host.propose(0, request.command, CALL_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError):
            return Proposed(False)
        return Proposed(True)

    terminated = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, terminated.set)
    host.call_server.on_request(Propose, propose)
    host.start()
    terminated.wait()
    host.stop()
    return 0


class ReplicaProcesses:
    """The three replica host processes, and an RPC client for each."""

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

    def stop_process(self, number: int, stop_signal: signal.Signals) -> None:
        """Sends a process a signal that ends it, without waiting."""
        self._processes[number].send_signal(stop_signal)

    def restart(self, number: int) -> None:
        """Starts a process again once it has ended, and gives the group time to stabilise."""
        self._processes[number].wait()
        self.start(number)
        gevent.sleep(STABILIZATION_S)

    def propose(self) -> int:
        """Proposes until a process has committed the command; returns its number."""
        while True:
            for number, caller in self._callers.items():
                with contextlib.suppress(rpc.RpcError):
                    if caller.call(Propose(b"command"), CALL_TIMEOUT_S).done:
                        return number
            gevent.sleep(RETRY_INTERVAL_S)

    def close(self) -> None:
        """Kills the processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()


def measure(name: str, rounds: int, measure_once: Callable[[], float]) -> None:
    """Measures durations in seconds; prints their median and maximum in milliseconds."""
    times = [measure_once() * 1000 for _ in range(rounds)]
    print(f"{name}: median {statistics.median(times):.1f} ms, largest of {rounds} {max(times):.1f} ms")


def main(*, rounds: int = 20) -> int:
    """Measures with processes.

    :param rounds: measurements of each duration
    """
    with tempfile.TemporaryDirectory() as folder:
        replicas = ReplicaProcesses(folder)
        try:
            leader = replicas.propose()
            gevent.sleep(STABILIZATION_S)

            def acknowledgement_s() -> float:
                started_at = time.monotonic()
                replicas.propose()
                return time.monotonic() - started_at

            def takeover_s(stop_signal: signal.Signals) -> float:
                nonlocal leader
                leader, stopped_at = replicas.propose(), time.monotonic()
                replicas.stop_process(leader, stop_signal)
                replicas.propose()
                duration_s = time.monotonic() - stopped_at
                replicas.restart(leader)
                return duration_s

            measure("command acknowledged", rounds, acknowledgement_s)
            measure("command acknowledged after a kill of the leader", rounds, lambda: takeover_s(signal.SIGKILL))
            measure("command acknowledged after SIGTERM of the leader", rounds, lambda: takeover_s(signal.SIGTERM))
        finally:
            replicas.close()
    return 0


def wait_for_leader(world: World, started_at: float) -> float:
    """Runs until shard 0 has a leader; returns the seconds since `started_at`."""
    while world.leader(0) is None:
        world.run(STEP_S)
    return world.now - started_at


def leaderless_s(seed: int, stop_process: Callable[[Node], None]) -> float:
    """Seconds without a leader after the leader of shard 0 was stopped."""
    world = World(seed)
    world.run(WARM_UP_S + seed * STEP_S)
    wait_for_leader(world, world.now)  # a transfer of leadership may be in progress
    stop_process(world.leader(0))
    return wait_for_leader(world, world.now)


def recovery_after_power_loss_s(seed: int) -> float:
    """Seconds from the restart of all machines, after a simultaneous power loss, until every shard has a leader."""
    world = World(seed)
    world.run(WARM_UP_S + seed * STEP_S)
    nodes = list(world.nodes.values())
    for node in nodes:
        node.lose_power()
    world.run(RESTART_S)
    started_at = world.now
    for node in nodes:
        node.start(world.seeds, bootstrap=False)
    while any(world.leader(shard) is None for shard in world.shards):
        world.run(STEP_S)
    return world.now - started_at


def acknowledged_after_s(seed: int) -> float:
    """Seconds from a proposal at the leader to its acknowledgement."""
    world = World(seed)
    world.run(WARM_UP_S)
    started_at = world.now
    world.propose(0)
    while not world.checks.acked[0]:
        world.run(STEP_S)
    return world.now - started_at


def first_start_s(seed: int, absent: int | None = None) -> float:
    """Seconds from the first start of the seeds, within 0.3 s of each other, until every shard has a leader.

    :param absent: a seed that does not start
    """
    world = World(seed)
    if absent is not None:
        next(node for node in world.nodes.values() if node.address == world.seeds[absent]).start = lambda *_: None
    started_at = world.now
    while any(world.leader(shard) is None for shard in world.shards):
        world.run(STEP_S)
    return world.now - started_at


def replacement_s(seed: int) -> float:
    """Seconds from the start of an empty machine at another address until it is a voter of every group."""
    world = World(seed)
    world.run(WARM_UP_S)
    wait_for_leader(world, world.now)
    lost_node = world.leader(0)
    lost_node.lose_power()
    del world.nodes[lost_node.address]
    world.run(RESTART_S)
    started_at = world.now
    new_node = world.add(len(world.seeds) + 1)
    new_node.start(world.seeds, bootstrap=False)
    while not all(
        replica.state.is_voter and not replica.state.configuration.is_joint
        for replica in new_node.multi_raft.replicas.values()
    ):
        world.run(STEP_S)
    return world.now - started_at


def simulated(*, rounds: int = 20) -> int:
    """Measures in virtual time.

    :param rounds: seeds for each duration
    """
    seeds = iter(range(rounds * 8))
    measure("leaders after the first start", rounds, lambda: first_start_s(next(seeds)))
    measure("the same without one seed", rounds, lambda: first_start_s(next(seeds), absent=rounds % 3))
    measure("command acknowledged", rounds, lambda: acknowledged_after_s(next(seeds)))
    measure("leader after a kill", rounds, lambda: leaderless_s(next(seeds), Node.kill))
    measure("leader after a loss of power", rounds, lambda: leaderless_s(next(seeds), Node.lose_power))
    measure("leader after a planned shutdown", rounds, lambda: leaderless_s(next(seeds), leave))
    measure("leaders after all lost power", rounds, lambda: recovery_after_power_loss_s(next(seeds)))
    measure("replacement is a voter", rounds, lambda: replacement_s(next(seeds)))
    return 0


def leave(node: Node) -> None:
    """A planned shutdown: transfers leadership, and runs until the node is no longer leader."""
    node.multi_raft.leave(node.world.now)
    node.pump()
    while node.multi_raft.replicas[0].state.role is Role.LEADER:
        node.world.run(STEP_S)


if __name__ == "__main__":
    sys.exit(defopt.run([main, simulated, serve], version=False))
