"""The replicas of a process after recovery: the loops that drive them, their peer connections and their disk."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from ochrespan.common.addresses import Address
from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.multi_raft import MultiRaft, RecoveredGroups
from ochrespan.raft.state import Role
from ochrespan.transport.peer_connections import PeerConnections
from ochrespan.transport.tcp import Connection

from .applier import Applier
from .disk_writer import DiskWriter
from .leader_eligibility import LeaderEligibility
from .leadership_reporter import LeadershipReporter
from .persistent_records import pack_checkpoint, pack_record
from .raft_wire import RaftBatch, pack_envelope, unpack_envelope
from .recovery import RecoveredReplicas
from .state_machine import HostSettings

log = logging.getLogger(__name__)


TICK_INTERVAL_S = 0.06
MAINTENANCE_INTERVAL_S = 0.5
SLOW_DISK_S = 1.5  # during a write that takes longer, this process transfers its leadership
STOP_TIMEOUT_S = 1.0
REPLACEMENT_WAIT_S = 0.3  # after the leadership transfer: time for a standby to replace this process as a voter
BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ReplicaCollaborators:
    """The objects that the replicas use, created before the replicas are recovered from the disk."""

    applier: Applier
    leader_eligibility: LeaderEligibility
    reporter: LeadershipReporter


class RunningReplicas:
    """Drives the replicas with clock ticks, messages and completed disk writes.

    Runs two greenlets: one ticks the replicas, the other applies committed entries and sends pending messages after
    each `wake()`. The disk writer has a greenlet of its own. `stop()` ends all three and closes the peer connections.

    Attributes:
        multi_raft: The replicas, which perform no input or output themselves.
        disk: Persists the updates of the replicas.
    """

    def __init__(self, settings: HostSettings, collaborators: ReplicaCollaborators, found: RecoveredReplicas) -> None:
        self._applier = collaborators.applier
        self._leader_eligibility = collaborators.leader_eligibility
        self._reporter = collaborators.reporter
        bootstrap = BootstrapSettings(settings.address, settings.seeds, settings.bootstrap, settings.fault_tolerance)
        recovered = RecoveredGroups.of_groups(self._applier.machines, found.identity, found.states)
        self.multi_raft = MultiRaft(bootstrap, recovered, random.SystemRandom(), time.monotonic())
        disk_bytes = settings.disk_mb * BYTES_PER_MB
        self.disk = DiskWriter(found.store, disk_bytes, self._take_records, self._on_persisted, self._make_checkpoint)
        self._peer_connections = PeerConnections()
        self._peers: dict[Connection, Address] = {}  # by incoming connection, once the peer has sent a message
        self._wake = Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._is_leaving = False

    def start(self) -> None:
        """Starts the disk writer and the two loops."""
        self.disk.start()
        self._greenlets = [gevent.spawn(_run_forever, self._run_ticks), gevent.spawn(_run_forever, self._run_steps)]

    def leave(self) -> None:
        """Transfers leadership of all shards; waits up to STOP_TIMEOUT_S for new leaders and for a standby as voter."""
        self._is_leaving = True
        self.multi_raft.leave(time.monotonic())
        self.wake()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while self._leads_any_shard() and time.monotonic() < deadline:
            gevent.sleep(TICK_INTERVAL_S / 3)
        gevent.sleep(min(REPLACEMENT_WAIT_S, max(0.0, deadline - time.monotonic())))

    def stop(self) -> None:
        """Ends the loops and the disk writer, and closes the connections to the peers."""
        gevent.killall(self._greenlets, block=False)
        self.disk.stop()
        self._peer_connections.close()

    def wake(self) -> None:
        """Notifies the step loop that there may be entries to apply, messages to send or records to write."""
        self._wake.set()

    def receive(self, connection: Connection, batch: RaftBatch) -> None:
        """Passes a peer's messages to the replicas; logs and drops a malformed batch."""
        try:
            envelope = unpack_envelope(batch)
        except (ValueError, TypeError, IndexError) as error:
            log.warning("malformed raft message peer=%s:%s error=%r", batch.host, batch.port, error)
            return
        self._peer_connections.record_contact(envelope.address)
        self._peers[connection] = envelope.address
        self.multi_raft.receive(time.monotonic(), envelope)
        self.wake()

    def connection_closed(self, connection: Connection) -> None:
        """Notifies the replicas that a peer's connection was closed, so that they need not wait for a time-out."""
        peer = self._peers.pop(connection, None)
        if peer is not None and not self._is_leaving:
            self.multi_raft.peer_disconnected(time.monotonic(), peer)

    def _run_ticks(self) -> None:
        maintain_at = 0.0
        while True:
            now = time.monotonic()
            self._update_leader_eligibility(now)
            self.multi_raft.tick(now)
            for shard, replica in self.multi_raft.replicas.items():
                self._reporter.report_failures_tolerated(shard, replica)
            self.wake()
            if now >= maintain_at:
                self._peer_connections.maintain()
                maintain_at = now + MAINTENANCE_INTERVAL_S
            gevent.sleep(TICK_INTERVAL_S)

    def _run_steps(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            for shard, replica in self.multi_raft.replicas.items():
                self._applier.step(shard, replica)
                self._reporter.report_leadership(shard, replica)
            for address, envelope in self.multi_raft.take_envelopes():
                self._peer_connections.send(address, pack_envelope(envelope))
            self.disk.wake()

    def _update_leader_eligibility(self, now: float) -> None:
        is_disk_slow = self.disk.pending_for > SLOW_DISK_S or self.disk.has_failed
        replicas = self.multi_raft.replicas.values()
        has_leaders = all(replica.leader is not None for replica in replicas)
        withholds_votes = self._leader_eligibility.check_votes_withheld(now, is_disk_slow, has_leaders)
        # All replicas of a process withhold their votes, or none does
        if withholds_votes != next(iter(replicas)).state.withholding_votes:
            self.multi_raft.withhold_votes(now, withholds_votes)

    def _leads_any_shard(self) -> bool:
        return any(replica.state.role is Role.LEADER for replica in self.multi_raft.replicas.values())

    # For the disk writer

    def _take_records(self) -> list[bytes]:
        return [pack_record(update) for update in self.multi_raft.take_updates()]

    def _on_persisted(self) -> None:
        self.multi_raft.persisted(time.monotonic())
        self.wake()

    def _make_checkpoint(self) -> bytes:
        """Compacts each log up to its applied index, and encodes the identity and the groups' states."""
        for shard, replica in self.multi_raft.replicas.items():
            if replica.state.applied_index > replica.state.log.snapshot.index:
                replica.compact(self._applier.machines[shard].snapshot())
        states = [replica.full_update() for replica in self.multi_raft.replicas.values()]
        return pack_checkpoint(self.multi_raft.bootstrap.identity, states)


def _run_forever(loop: Callable[[], None]) -> None:
    """Restarts a loop that fails: an exception in one step or callback must not stop the replicas of this process."""
    while True:
        try:
            loop()
        except Exception:  # noqa: BLE001 - see above
            log.exception("replica host step failed, continuing")
            gevent.sleep(TICK_INTERVAL_S)
