"""One simulated machine of the core: its disk, and its process while it runs."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import ormsgpack

from ochrespan.common.addresses import Address
from ochrespan.control_plane.replication.persistent_records import (
    pack_checkpoint,
    pack_record,
    replay,
    unpack_checkpoint,
)
from ochrespan.control_plane.replication.running_replicas import SLOW_DISK_S, TICK_INTERVAL_S
from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.messages import EntryKind
from ochrespan.raft.multi_raft import MultiRaft
from ochrespan.storage.snapshot_store import SnapshotStore

from .disk import SimDirectory
from .quota import SimulatedQuotaOwner

if TYPE_CHECKING:
    from .world import World

LOG_LIMIT_BYTES = 6000
RETRY_S = 0.25
WRITTEN_CHANCE = 0.5  # that a write in flight reached the file before the process was killed


def _ignore(_: Any) -> None:
    """The default for a callback."""


class Machine:
    """The state machine of a shard: the commands that it has applied, in order."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: str) -> Any:  # noqa: ARG002 - part of the interface
        """Applies a committed command."""
        self.commands.append(command)

    def snapshot(self) -> bytes:
        """The state as bytes."""
        return ormsgpack.packb(self.commands)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        self.commands = ormsgpack.unpackb(data)


class Node:
    """A machine: a disk, and a process with the replicas, which may end and start again on the same disk.

    `incarnation` counts starts and ends of the process, so that events scheduled for an earlier process are dropped.
    """

    def __init__(self, world: World, address: Address) -> None:
        self.world = world
        self.address = address
        self.disk = SimDirectory()
        self.latency_factor = 1.0  # how many times slower the disk is
        self.hung_until = 0.0
        self.frozen_until = 0.0
        self.incarnation = 0
        self.multi_raft: MultiRaft | None = None
        self.machines: dict[int, Machine] = {}
        self.quota = SimulatedQuotaOwner(self)
        self.waiting: dict[tuple[int, int], tuple[int, str, Callable[[Any], None]]] = {}
        self._store: SnapshotStore | None = None
        self._write_began: float | None = None

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.multi_raft is not None

    # Start and end of the process

    def start(self, seeds: tuple[Address, ...], bootstrap: bool) -> None:
        """Starts the process from its disk; tries again later where the disk can't be read."""
        world = self.world
        self.incarnation += 1
        self._store = SnapshotStore(self.disk)
        try:
            recovered = self._store.open()
        except OSError:
            self._later(RETRY_S, lambda: self.start(seeds, bootstrap))
            return
        image = unpack_checkpoint(recovered.checkpoint) if recovered.checkpoint is not None else []
        identity, durable = replay([*image, *recovered.records])
        self.machines = {shard: world.machine_type() for shard in world.shards}
        for shard, state in durable.items():
            if state.log.snapshot.index:
                self.machines[shard].restore(state.log.snapshot.data)
        settings = BootstrapSettings(self.address, seeds, bootstrap, world.fault_tolerance)
        self.multi_raft = world.make_multi_raft(settings, identity, durable)
        self.quota = SimulatedQuotaOwner(self)
        self._write_began = None
        self.waiting = {}
        world.checks.started(self)
        self._later(world.random.uniform(0, TICK_INTERVAL_S), self._tick)

    def kill(self, resets_connections: bool = True) -> None:
        """The process ends; a write in flight may have reached the file, but has not been synced."""
        if not self.running:
            return
        if self._write_began is not None and self.world.random.random() < WRITTEN_CHANCE:
            self.disk.syncs_fail = True
            with contextlib.suppress(OSError):
                self._store.flush()
            self.disk.syncs_fail = False
        self.multi_raft = None
        self.incarnation += 1
        if resets_connections:
            self.world.process_ended(self.address)

    def lose_power(self) -> None:
        """The machine loses power: peers get no reset, because a machine without power sends nothing more."""
        self.kill(resets_connections=False)
        self.disk.lose_power(self.world.random)

    def wipe(self) -> None:
        """The process ends and its disk is replaced by an empty one."""
        self.kill()
        self.disk = SimDirectory()

    # Events

    def receive(self, envelope) -> None:
        """An envelope of another machine has arrived."""
        self.multi_raft.receive(self.world.now, envelope)
        self.pump()

    def propose(self, shard: int, command: str, respond: Callable[[Any], None] = _ignore) -> bool:
        """Proposes a command; `respond` gets its result once it is applied here. False where it isn't accepted."""
        position = self.multi_raft.replicas[shard].propose(self.world.now, command.encode())
        if position:
            index, term = position
            self.waiting[shard, index] = (term, command, respond)
            self.pump()
        return bool(position)

    def read(self, shard: int, token) -> bool:
        """Begins a confirmed read; False where this machine doesn't lead the shard."""
        accepted = self.multi_raft.replicas[shard].read(self.world.now, token)
        if accepted:
            self.pump()
        return accepted

    def pump(self) -> None:
        """Passes all output of the replicas on to the state machines, the network and the disk."""
        world = self.world
        for shard, replica in self.multi_raft.replicas.items():
            if restored := replica.take_restored():
                self.machines[shard].restore(restored.data)
                self.waiting = {
                    key: value for key, value in self.waiting.items() if key[0] != shard or key[1] > restored.index
                }
            for index, entry in replica.take_committed():
                self._apply(shard, index, entry)
            for token in replica.take_reads():
                token.complete(world.now, list(self.machines[shard].commands))
            replica.failed_reads = []
        world.checks.observe(self)
        self.quota.follow_leadership()
        for address, envelope in self.multi_raft.take_envelopes():
            world.post(self, address, envelope)
        self._write()

    def _apply(self, shard: int, index: int, entry) -> None:
        self.world.checks.committed(self, shard, index, hashlib.sha256(entry.data).digest() + bytes([entry.kind]))
        result = None
        if entry.kind == EntryKind.COMMAND and entry.data:
            result = self.machines[shard].apply(index, entry.data.decode())
        term, command, respond = self.waiting.pop((shard, index), (0, "", _ignore))
        if term and term == entry.term:
            self.world.checks.acknowledged(self, shard, command)
            respond(result)

    def _tick(self) -> None:
        slow = self._write_began is not None and self.world.now - self._write_began > SLOW_DISK_S
        if slow != next(iter(self.multi_raft.replicas.values())).state.withholding_votes:
            self.multi_raft.withhold_votes(self.world.now, slow)
        self.multi_raft.tick(self.world.now)
        self.pump()
        self._later(TICK_INTERVAL_S, self._tick)

    # Disk

    def _write(self) -> None:
        if self._write_began is not None:
            return
        records = [pack_record(change) for change in self.multi_raft.take_updates()]
        if records:
            self._store.append(records)
            self._begin(self._finish_write)

    def _begin(self, finish) -> None:
        self._write_began = self.world.now
        self._later(self._latency(), finish)

    def _finish_write(self) -> None:
        try:
            self._store.flush()
        except OSError:
            self._later(RETRY_S, self._finish_write)
            return
        self._write_began = None
        self.multi_raft.persisted(self.world.now)
        if self._store.log_bytes > LOG_LIMIT_BYTES or self._store.checkpoint_in_progress:
            self._store.begin_checkpoint()
            image = self._image()
            self._begin(lambda: self._finish_checkpoint(image))
        self.pump()

    def _finish_checkpoint(self, image: bytes) -> None:
        with contextlib.suppress(OSError):
            self._store.write_checkpoint(image)
        self._write_began = None
        self.pump()

    def _image(self) -> bytes:
        for shard, replica in self.multi_raft.replicas.items():
            replica.compact(self.machines[shard].snapshot())
        return pack_checkpoint(
            self.multi_raft.bootstrap.identity, [replica.full_update() for replica in self.multi_raft.replicas.values()]
        )

    def _latency(self) -> float:
        normal = self.world.random.uniform(0.0005, 0.002) * self.latency_factor
        return max(normal, self.hung_until - self.world.now)

    def _later(self, delay: float, action) -> None:
        self.world.later(delay, self, action)
