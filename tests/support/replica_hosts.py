"""Replica hosts on loopback for tests: a state machine that records its commands, and functions that wait."""

from __future__ import annotations

import socket
import time

import gevent
import ormsgpack

from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.host import ReplicaHost
from ochrespan.control_plane.replication.state_machine import HostSettings

WAIT_S = 15.0
SHARDS = (0, 1, 2)
SEED_NUMBERS = (1, 2, 3)


class Journal:
    """A state machine that records its commands in order; the result of each is their count."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return ormsgpack.packb(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = ormsgpack.unpackb(data)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def host_settings(folder, number: int, port: int, bootstrap: bool = True) -> HostSettings:
    """Settings of a host with its own folder and address; the seeds are hosts 1 to 3."""
    path = folder / str(number)
    path.mkdir(exist_ok=True)
    return HostSettings(
        address=(f"127.0.0.{number}", port),
        seeds=tuple((f"127.0.0.{seed}", port) for seed in SEED_NUMBERS),
        data_dir=str(path),
        disk_mb=64,
        bootstrap=bootstrap,
        fault_tolerance=1,
        node=f"core-{number}",
    )


def make_host(folder, number: int, port: int, bootstrap: bool = True) -> ReplicaHost:
    """Starts a host that replicates a journal for each of SHARDS."""
    host = ReplicaHost(host_settings(folder, number, port, bootstrap), {shard: Journal() for shard in SHARDS})
    host.start()
    return host


def until(condition, what: str):
    """Lets the greenlets run until the condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not (value := condition()):
        assert time.monotonic() < deadline, f"{what}: the wait timed out"
        gevent.sleep(0.005)
    return value


def leader_of(hosts, shard: int) -> ReplicaHost:
    return until(lambda: next((host for host in hosts if host.is_leader(shard)), None), f"leader of shard {shard}")


def propose(hosts, shard: int, command: bytes):
    """Proposes at every host in turn until the leader returns a result."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        for host in hosts:
            try:
                return host.propose(shard, command, 2.0)
            except (NotLeaderError, OutcomeUnknownError):
                continue
        gevent.sleep(0.01)
    raise AssertionError("no leader accepted the command: " + "; ".join(describe(host, shard) for host in hosts))


def describe(host: ReplicaHost, shard: int) -> str:
    """The state of a host's replica, for the error message of a wait that timed out."""
    running = host._running
    if running is None:
        return f"{host.settings.node} has not read its disk yet"
    state = running.multi_raft.replicas[shard].state
    return (
        f"{host.settings.node} {state.role.value} term={state.term} vote={state.vote} leader={state.leader_id} "
        f"last={state.log.last_index} stable={state.log.persisted_index} commit={state.commit_index} "
        f"withholding_votes={state.withholding_votes} leader_contact={state.now - state.last_leader_contact_at:.2f} "
        f"deadline={state.election_deadline - state.now:.2f} writing={running.disk.pending_for:.2f} "
        f"failed={running.disk.has_failed} voters={[member.id for member in state.configuration.voters]} id={state.id}"
    )


def kill(host: ReplicaHost) -> None:
    """Ends a host without a transfer of leadership, as SIGKILL would; a write in progress completes first."""
    host._recovery.kill()
    running = host._running
    if running is not None:
        gevent.killall(running._greenlets, block=True)
        until(lambda: running.disk.pending_for == 0.0, "end of the write")
        running.stop()
    host.call_server.stop()
