"""One simulated machine of the core: its disk, and its process while it runs."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import ormsgpack

from ochrespan.common.addresses import Address
from ochrespan.control_plane.replication.host import SLOW_DISK_S, TICK_INTERVAL_S
from ochrespan.control_plane.replication.persistent_records import (
    pack_checkpoint,
    pack_record,
    replay,
    unpack_checkpoint,
)
from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.messages import EntryKind
from ochrespan.raft.multi_raft import MultiRaft
from ochrespan.storage.snapshot_store import SnapshotStore

from .disk import SimDirectory

if TYPE_CHECKING:
    from .world import World

LOG_LIMIT_BYTES = 6000
RETRY_S = 0.25


class Machine:
    """The state machine of a shard: the commands that it has applied, in order."""

    def __init__(self) -> None:
        self.commands: list[str] = []

    def apply(self, index: int, command: str) -> Any:
        self.commands.append(command)

    def snapshot(self) -> bytes:
        return ormsgpack.packb(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = ormsgpack.unpackb(data)


class Node:
    def __init__(self, world: World, address: Address) -> None:
        self.world, self.address = world, address
        self.disk = SimDirectory()
        self.latency_x = 1.0  # how much slower the disk is
        self.hung_until = 0.0
        self.frozen_until = 0.0
        self.life = 0
        self.table: MultiRaft | None = None
        self.machines: dict[int, Machine] = {}
        self.waiting: dict[tuple[int, int], tuple[int, str, Callable[[Any], None]]] = {}
        self._store: SnapshotStore | None = None
        self._write_began: float | None = None

    @property
    def running(self) -> bool:
        return self.table is not None

    # Life

    def start(self, seeds: tuple[Address, ...], bootstrap: bool) -> None:
        world = self.world
        self.life += 1
        self._store = SnapshotStore(self.disk)
        try:
            recovered = self._store.open()
        except OSError:
            self._later(RETRY_S, lambda: self.start(seeds, bootstrap))
            return
        image = unpack_checkpoint(recovered.image) if recovered.image is not None else []
        identity, durable = replay([*image, *recovered.records])
        self.machines = {shard: world.machine_type() for shard in world.shards}
        for shard, state in durable.items():
            if state.log.snapshot.index:
                self.machines[shard].restore(state.log.snapshot.data)
        settings = BootstrapSettings(self.address, seeds, bootstrap, world.fault_tolerance)
        self.table = world.make_table(settings, identity, durable)
        self._write_began = None
        self.waiting = {}
        world.checks.started(self)
        self._later(world.random.uniform(0, TICK_INTERVAL_S), self._tick)

    def kill(self, silent: bool = False) -> None:
        """The process ends; a write that was under way may have reached the file, but no sync."""
        if not self.running:
            return
        if self._write_began is not None and self.world.random.random() < 0.5:
            self.disk.syncs_fail = True
            with contextlib.suppress(OSError):
                self._store.flush()
            self.disk.syncs_fail = False
        self.table = None
        self.life += 1
        if not silent:
            self.world.process_ended(self.address)

    def lose_power(self) -> None:
        """Nobody is told: the connections of a machine without power just fall silent."""
        self.kill(silent=True)
        self.disk.lose_power(self.world.random)

    def wipe(self) -> None:
        self.kill()
        self.disk = SimDirectory()

    # Events

    def receive(self, envelope) -> None:
        self.table.receive(self.world.now, envelope)
        self.pump()

    def propose(self, shard: int, command: str, answer: Callable[[Any], None] = lambda result: None) -> bool:
        placed = self.table.replicas[shard].propose(self.world.now, command.encode())
        if placed:
            index, term = placed
            self.waiting[shard, index] = (term, command, answer)
            self.pump()
        return bool(placed)

    def read(self, shard: int, token) -> bool:
        asked = self.table.replicas[shard].read(self.world.now, token)
        if asked:
            self.pump()
        return asked

    def pump(self) -> None:
        world = self.world
        for shard, replica in self.table.replicas.items():
            if restored := replica.take_restored():
                self.machines[shard].restore(restored.data)
                self.waiting = {
                    key: value for key, value in self.waiting.items() if key[0] != shard or key[1] > restored.index
                }
            for index, entry in replica.take_committed():
                self._apply(shard, index, entry)
            for token in replica.take_reads():
                token.answered(world.now, list(self.machines[shard].commands))
            replica.failed_reads = []
        world.checks.observe(self)
        for address, envelope in self.table.take_envelopes():
            world.post(self, address, envelope)
        self._write()

    def _apply(self, shard: int, index: int, entry) -> None:
        self.world.checks.committed(self, shard, index, hashlib.sha256(entry.data).digest() + bytes([entry.kind]))
        result = None
        if entry.kind == EntryKind.COMMAND:
            result = self.machines[shard].apply(index, entry.data.decode())
        term, command, answer = self.waiting.pop((shard, index), (0, "", None))
        if term and term == entry.term:
            self.world.checks.acknowledged(self, shard, command)
            answer(result)

    def _tick(self) -> None:
        slow = self._write_began is not None and self.world.now - self._write_began > SLOW_DISK_S
        if slow != next(iter(self.table.replicas.values())).state.withholding_votes:
            self.table.withhold_votes(self.world.now, slow)
        self.table.tick(self.world.now)
        self.pump()
        self._later(TICK_INTERVAL_S, self._tick)

    # Disk

    def _write(self) -> None:
        if self._write_began is not None:
            return
        records = [pack_record(change) for change in self.table.take_updates()]
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
        self.table.persisted(self.world.now)
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
        for shard, replica in self.table.replicas.items():
            replica.compact(self.machines[shard].snapshot())
        return pack_checkpoint(
            self.table.bootstrap.identity, [replica.full_update() for replica in self.table.replicas.values()]
        )

    def _latency(self) -> float:
        normal = self.world.random.uniform(0.0005, 0.002) * self.latency_x
        return max(normal, self.hung_until - self.world.now)

    def _later(self, delay: float, action) -> None:
        self.world.later(delay, self, action)
