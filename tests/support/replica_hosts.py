"""Replica hosts on loopback for tests: a machine that keeps its commands, and events in place of sleeps."""

from __future__ import annotations

import socket
import time

import gevent
import ormsgpack

from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.host import ReplicaHost
from ochrespan.control_plane.replication.state_machine import HostSettings

WAIT_S = 15.0


class Journal:
    """A state machine that keeps its commands in order and answers with their count."""

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


def make_host(folder, number: int, port: int, seeds=(1, 2, 3), bootstrap=True, shards=(0, 1, 2)) -> ReplicaHost:
    path = folder / str(number)
    path.mkdir(exist_ok=True)
    settings = HostSettings(
        (f"127.0.0.{number}", port),
        tuple((f"127.0.0.{seed}", port) for seed in seeds),
        str(path),
        64,
        bootstrap,
        1,
        f"core-{number}",
    )
    host = ReplicaHost(settings, {shard: Journal() for shard in shards})
    host.start()
    return host


def until(condition, what: str):
    """Lets the greenlets run until the condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not (value := condition()):
        assert time.monotonic() < deadline, f"{what} hasn't come"
        gevent.sleep(0.005)
    return value


def leader_of(hosts, shard: int) -> ReplicaHost:
    return until(lambda: next((host for host in hosts if host.is_leader(shard)), None), f"leader of shard {shard}")


def propose(hosts, shard: int, command: bytes):
    """Proposes wherever the leader is until there is a verdict."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        for host in hosts:
            try:
                return host.propose(shard, command, 2.0)
            except (NotLeaderError, OutcomeUnknownError):
                continue
        gevent.sleep(0.01)
    raise AssertionError("no leader took the command: " + "; ".join(describe(host, shard) for host in hosts))


def describe(host: ReplicaHost, shard: int) -> str:
    """What a failed wait needs to be understood."""
    if host._table is None:
        return f"{host.settings.node} hasn't read its disk"
    core = host._table.replicas[shard].state
    return (
        f"{host.settings.node} {core.role.value} term={core.term} vote={core.vote} leader={core.leader_id} "
        f"last={core.log.last_index} stable={core.log.persisted_index} commit={core.commit_index} "
        f"abstaining={core.withholding_votes} heard={core.now - core.last_leader_contact_at:.2f} "
        f"deadline={core.election_deadline - core.now:.2f} writing={host._disk.pending_for:.2f} "
        f"failed={host._disk.failed} voters={[member.id for member in core.configuration.voters]} id={core.id}"
    )


def kill(host: ReplicaHost) -> None:
    """Ends a host without hand-over, as a kill of its process would; a write under way ends first."""
    gevent.killall(host._greenlets, block=True)
    if host._disk is not None:
        until(lambda: host._disk.pending_for == 0.0, "end of the write")
        host._disk.stop()
    host._links.close()
    host.call_server.stop()
