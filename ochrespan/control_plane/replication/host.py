"""Runs the replicas of all shards in one process: their clock, connections, disk and state machines."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from ochrespan.common.addresses import Address
from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.multi_raft import MultiRaft, RecoveredState
from ochrespan.raft.replica import Replica
from ochrespan.raft.state import Role
from ochrespan.storage.files import PosixDirectory
from ochrespan.storage.snapshot_store import SnapshotStore
from ochrespan.transport import rpc
from ochrespan.transport.peer_connections import PeerConnections
from ochrespan.transport.tcp import Connection

from .applier import Applier, run_callback
from .disk_writer import RETRY_S, DiskWriter
from .errors import NotLeaderError, OutcomeUnknownError
from .leader_eligibility import LeaderEligibility
from .persistent_records import pack_checkpoint, pack_record, replay, unpack_checkpoint
from .raft_wire import RaftBatch, pack_envelope, unpack_envelope
from .state_machine import HostSettings, StateMachine

log = logging.getLogger(__name__)


TICK_INTERVAL_S = 0.06
MAINTENANCE_INTERVAL_S = 0.5
SLOW_DISK_S = 1.5  # a write that takes longer makes this process hand over what it leads
STOP_TIMEOUT_S = 1.0
REPLACEMENT_WAIT_S = 0.3  # after the hand-over, for a spare to take this process's place
BYTES_PER_MB = 1024 * 1024


class ReplicaHost:
    """The replicas of one process. Callbacks run in its greenlet and must not wait."""

    def __init__(self, settings: HostSettings, machines: Mapping[int, StateMachine]) -> None:
        self.settings = settings
        self.call_server = rpc.RpcServer(settings.address)
        self.on_leadership: Callable[[int, bool], None] = lambda shard, leads: None
        self._applier = Applier(machines)
        self._table: MultiRaft | None = None
        self._disk: DiskWriter | None = None
        self._links = PeerConnections()
        self._peers: dict[Connection, Address] = {}
        self._leading: set[int] = set()
        self._bearable_losses: dict[int, int | None] = {}  # as last told, by shard
        self._eligibility = LeaderEligibility()
        self._wake = Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._stopping = False

    # For the control plane

    @property
    def on_applied(self) -> Callable[[int, int, bytes, Any], None]:
        """`on_applied(shard, index, command, result)` runs at every replica after a command was applied."""
        return self._applier.on_applied

    @on_applied.setter
    def on_applied(self, callback: Callable[[int, int, bytes, Any], None]) -> None:
        self._applier.on_applied = callback

    @property
    def on_restored(self) -> Callable[[int], None]:
        """`on_restored(shard)` runs when a snapshot has replaced a machine's state."""
        return self._applier.on_restored

    @on_restored.setter
    def on_restored(self, callback: Callable[[int], None]) -> None:
        self._applier.on_restored = callback

    def start(self) -> None:
        """Begins in the background: the disk is read first, and may take its time."""
        self.call_server.on_push(RaftBatch, self._received)
        self.call_server.on_closed = self._connection_closed
        self.call_server.start()
        self._greenlets.append(gevent.spawn(self._open))

    def stop(self) -> None:
        """Hands over what this process leads, within about a second, and ends."""
        self._stopping = True
        if self._table is not None:
            self._table.leave(time.monotonic())
            self._wake.set()
            deadline = time.monotonic() + STOP_TIMEOUT_S
            while self._leads_anything() and time.monotonic() < deadline:
                gevent.sleep(TICK_INTERVAL_S / 3)
            gevent.sleep(min(REPLACEMENT_WAIT_S, max(0.0, deadline - time.monotonic())))
        gevent.killall(self._greenlets, block=False)
        if self._disk is not None:
            self._disk.stop()
        self._links.close()
        self.call_server.stop()

    def propose(self, shard: int, command: bytes, timeout: float) -> Any:
        """The result of the command after its commitment. Raises NotLeaderError or OutcomeUnknownError."""
        placed = self._table and self._table.replicas[shard].propose(time.monotonic(), command)
        if not placed:
            raise NotLeaderError(self.leader(shard))
        with self._applier.waiting(shard, *placed) as result:
            self._wake.set()
            try:
                return result.get(timeout=timeout)
            except gevent.Timeout as error:
                raise OutcomeUnknownError("not committed in time") from error

    def read_barrier(self, shard: int, timeout: float) -> None:
        """Returns when the state here holds all that was acknowledged before.

        Raises:
            NotLeaderError: This process does not lead the shard.
            OutcomeUnknownError: No majority has confirmed the leadership in time.
        """
        result = AsyncResult()
        if not self._table or not self._table.replicas[shard].read(time.monotonic(), result):
            raise NotLeaderError(self.leader(shard))
        self._wake.set()
        try:
            result.get(timeout=timeout)
        except gevent.Timeout as error:
            raise OutcomeUnknownError("not confirmed in time") from error

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Seeds of changed settings: further processes to ask for the groups."""
        if self._table is not None:
            self._table.add_contacts(seeds)

    def leader(self, shard: int) -> Address | None:
        member = self._table and self._table.replicas[shard].leader
        return member.address if member else None

    def voters(self, shard: int) -> set[Address]:
        """The addresses of the shard's voters as far as known here, those that are being replaced among them."""
        if self._table is None:
            return set()
        members = self._table.replicas[shard].core.configuration.members()
        return {member.address for member in members.values()}

    def is_leader(self, shard: int) -> bool:
        return self._table is not None and self._table.replicas[shard].is_leader

    def decline_leadership(self, span_s: float) -> None:
        """Hands over what this process leads, and leads nothing for so long, as long as others lead; 0 ends that."""
        self._eligibility.decline(time.monotonic(), span_s)

    def declines_leadership_for(self) -> float:
        """Seconds for which `decline_leadership` still holds."""
        return self._eligibility.declines_for(time.monotonic())

    def leader_since(self, shard: int) -> float | None:
        """By the steady clock, since when this process leads the shard."""
        return self._table.replicas[shard].core.leader_since if self._table else None

    def cluster(self) -> int:
        """The number of the founding that this process belongs to; 0 while it belongs to none."""
        return self._table.bootstrap.identity.cluster_id if self._table is not None else 0

    def failures_tolerated(self, shard: int) -> int | None:
        """How many more voters of a shard that is led here may be lost now; None where it is led elsewhere."""
        return self._table.replicas[shard].failures_tolerated if self._table is not None else None

    def seconds_since_quorum(self, shard: int) -> float:
        """Seconds since this process knew that the shard's group had a majority."""
        return self._table.replicas[shard].seconds_since_quorum(time.monotonic()) if self._table else float("inf")

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority answered this process as the shard's leader; infinite where it doesn't lead."""
        return self._table.replicas[shard].lease_age_s(time.monotonic()) if self._table else float("inf")

    def applied_index(self, shard: int) -> int:
        return self._table.replicas[shard].core.applied_index if self._table else 0

    # Start

    def _open(self) -> None:
        directory = PosixDirectory(self.settings.data_dir)
        store = SnapshotStore(directory)
        recovered = None
        while recovered is None:
            try:
                recovered = gevent.get_hub().threadpool.apply(store.open)
            except OSError as error:
                log.error("disk not readable error=%s", error)
                gevent.sleep(RETRY_S)
        image = unpack_checkpoint(recovered.image) if recovered.image is not None else []
        identity, durable = replay([*image, *recovered.records])
        settings = self.settings
        bootstrap = BootstrapSettings(settings.address, settings.seeds, settings.bootstrap, settings.fault_tolerance)
        for shard, state in durable.items():
            if state.log.snapshot.index and shard in self._applier.machines:
                self._applier.restore(shard, state.log.snapshot.index, state.log.snapshot.data)
        own_state = RecoveredState.of_groups(self._applier.machines, identity, durable)
        self._table = MultiRaft(bootstrap, own_state, random.SystemRandom(), time.monotonic())
        log.info(
            "replica host started node=%s replica=%d empty=%s bootstrap=%s",
            settings.node,
            self._table.id,
            identity is None,
            settings.bootstrap,
        )
        disk_bytes = settings.disk_mb * BYTES_PER_MB
        self._disk = DiskWriter(store, disk_bytes, self._take_records, self._durable, self._image)
        self._disk.start()
        self._greenlets += [gevent.spawn(self._for_ever, self._tick), gevent.spawn(self._for_ever, self._run)]

    # Events

    @staticmethod
    def _for_ever(loop: Callable[[], None]) -> None:
        """A failure in one step, of a callback for example, must not stop the replicas of this process."""
        while True:
            try:
                loop()
            except Exception:
                log.exception("replica host failed and goes on")
                gevent.sleep(TICK_INTERVAL_S)

    def _connection_closed(self, connection: Connection) -> None:
        peer = self._peers.pop(connection, None)
        if peer is not None and self._table is not None and not self._stopping:
            self._table.peer_disconnected(time.monotonic(), peer)

    def _received(self, connection: Connection, batch: RaftBatch) -> None:
        if self._table is None:
            return
        try:
            envelope = unpack_envelope(batch)
        except (ValueError, TypeError, IndexError) as error:
            log.warning("bad raft message peer=%s:%s error=%r", batch.host, batch.port, error)
            return
        self._links.heard(envelope.address)
        self._peers[connection] = envelope.address
        self._table.receive(time.monotonic(), envelope)
        self._wake.set()

    def _tick(self) -> None:
        maintain_at = 0.0
        while True:
            now = time.monotonic()
            self._judge_willingness(now)
            self._table.tick(now)
            for shard, replica in self._table.replicas.items():
                self._note_bearable_losses(shard, replica)
            self._wake.set()
            if now >= maintain_at:
                self._links.maintain()
                maintain_at = now + MAINTENANCE_INTERVAL_S
            gevent.sleep(TICK_INTERVAL_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            for shard, replica in self._table.replicas.items():
                self._applier.step(shard, replica)
                self._note_leadership(shard, replica.is_leader)
            for address, envelope in self._table.take_envelopes():
                self._links.send(address, pack_envelope(envelope))
            self._disk.wake()

    def _judge_willingness(self, now: float) -> None:
        disk_in_trouble = self._disk.pending_for > SLOW_DISK_S or self._disk.failed
        has_leaders = all(replica.leader is not None for replica in self._table.replicas.values())
        withholds_votes = self._eligibility.withholds_votes(now, disk_in_trouble, has_leaders)
        replica = next(iter(self._table.replicas.values()))
        if withholds_votes != replica.core.withholding_votes:
            self._table.withhold_votes(now, withholds_votes)

    def _note_bearable_losses(self, shard: int, replica: Replica) -> None:
        """Tells the log when a shard that is led here bears more or fewer losses than before."""
        losses = replica.failures_tolerated
        if losses != self._bearable_losses.get(shard):
            self._bearable_losses[shard] = losses
            if losses is not None:
                log.info(
                    "bearable losses shard=%d losses=%d voters=%d",
                    shard,
                    losses,
                    len(replica.core.configuration.voters),
                )

    def _note_leadership(self, shard: int, leads: bool) -> None:
        if leads != (shard in self._leading):
            (self._leading.add if leads else self._leading.discard)(shard)
            log.info("leadership shard=%d leads=%s term=%d", shard, leads, self._table.replicas[shard].core.term)
            run_callback(self.on_leadership, shard, leads)

    # Disk

    def _take_records(self) -> list[bytes]:
        return [pack_record(change) for change in self._table.take_updates()]

    def _durable(self) -> None:
        self._table.persisted(time.monotonic())
        self._wake.set()

    def _image(self) -> bytes:
        for shard, replica in self._table.replicas.items():
            if replica.core.applied_index > replica.core.log.snapshot.index:
                replica.compact(self._applier.machines[shard].snapshot())
        images = [replica.image() for replica in self._table.replicas.values()]
        return pack_checkpoint(self._table.bootstrap.identity, images)

    # Planned end

    def _leads_anything(self) -> bool:
        return any(replica.core.role is Role.LEADER for replica in self._table.replicas.values())
