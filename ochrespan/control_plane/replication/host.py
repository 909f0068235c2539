"""Runs the replicas of all shards in one process: start, proposals and reads of the control plane, and shutdown."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import gevent
from gevent.event import AsyncResult

from ochrespan.common.addresses import Address
from ochrespan.raft.replica import Replica
from ochrespan.transport import rpc
from ochrespan.transport.tcp import Connection

from .applier import Applier
from .errors import NotLeaderError, OutcomeUnknownError
from .leader_eligibility import LeaderEligibility
from .leadership_reporter import LeadershipReporter
from .raft_wire import RaftBatch
from .recovery import recover
from .running_replicas import ReplicaCollaborators, RunningReplicas
from .state_machine import HostSettings, StateMachine

log = logging.getLogger(__name__)


class ReplicaHost:
    """The replicas of one process; implements `groups.ReplicaGroups`.

    After `start()` the disk is read in the background. Until that is done there are no replicas: proposals fail with
    NotLeaderError, and messages of peers are dropped, which Raft sends again. Callbacks run in the greenlet that drives
    the replicas and must not wait.

    Attributes:
        settings: The settings that were passed to the constructor.
        call_server: Receives the messages of peers; the rest of the process registers its RPC handlers there too.
    """

    def __init__(self, settings: HostSettings, machines: Mapping[int, StateMachine]) -> None:
        self.settings = settings
        self.call_server = rpc.RpcServer(settings.address)
        self._applier = Applier(machines)
        self._leader_eligibility = LeaderEligibility()
        self._reporter = LeadershipReporter()
        self._running: RunningReplicas | None = None
        self._recovery: gevent.Greenlet | None = None

    @property
    def on_applied(self) -> Callable[[int, int, bytes, Any], None]:
        """`on_applied(shard, index, command, result)` runs at every replica after a command was applied."""
        return self._applier.on_applied

    @on_applied.setter
    def on_applied(self, callback: Callable[[int, int, bytes, Any], None]) -> None:
        """Sets the callback in place of the one before."""
        self._applier.on_applied = callback

    @property
    def on_restored(self) -> Callable[[int], None]:
        """`on_restored(shard)` runs when a snapshot has replaced a machine's state."""
        return self._applier.on_restored

    @on_restored.setter
    def on_restored(self, callback: Callable[[int], None]) -> None:
        """Sets the callback in place of the one before."""
        self._applier.on_restored = callback

    @property
    def on_leadership_changed(self) -> Callable[[int, bool], None]:
        """`on_leadership_changed(shard, leads)` runs when this process has gained or lost the leadership of a shard."""
        return self._reporter.on_leadership_changed

    @on_leadership_changed.setter
    def on_leadership_changed(self, callback: Callable[[int, bool], None]) -> None:
        """Sets the callback in place of the one before."""
        self._reporter.on_leadership_changed = callback

    # Start and shutdown

    def start(self) -> None:
        """Starts in the background: the replicas run once the stored state has been read, which a slow disk delays."""
        self.call_server.on_push(RaftBatch, self._receive)
        self.call_server.on_closed = self._connection_closed
        self.call_server.start()
        self._recovery = gevent.spawn(self._recover_and_run)
        self._recovery.link_exception(_log_failed_start)

    def stop(self) -> None:
        """Transfers leadership of all shards, which takes about a second at most, and stops the replicas."""
        if self._running is not None:
            self._running.leave()
        if self._recovery is not None:
            self._recovery.kill(block=False)
        if self._running is not None:
            self._running.stop()
        self.call_server.stop()

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Adds the seeds of changed settings to the processes that are queried for the groups."""
        if self._running is not None:
            self._running.multi_raft.add_contacts(seeds)

    def _recover_and_run(self) -> None:
        recovered = recover(self.settings.data_dir)
        for shard, state in recovered.states.items():
            snapshot = state.log.snapshot
            if snapshot.index and shard in self._applier.machines:
                self._applier.restore(shard, snapshot.index, snapshot.data)
        collaborators = ReplicaCollaborators(self._applier, self._leader_eligibility, self._reporter)
        self._running = RunningReplicas(self.settings, collaborators, recovered)
        log.info(
            "replica host started node=%s replica=%d empty=%s bootstrap=%s",
            self.settings.node,
            self._running.multi_raft.id,
            recovered.identity is None,
            self.settings.bootstrap,
        )
        self._running.start()

    def _receive(self, connection: Connection, batch: RaftBatch) -> None:
        if self._running is not None:
            self._running.receive(connection, batch)

    def _connection_closed(self, connection: Connection) -> None:
        if self._running is not None:
            self._running.connection_closed(connection)

    # Commands and reads

    def propose(self, shard: int, command: bytes, timeout: float) -> Any:
        """Proposes a command and waits for its commitment.

        Args:
            shard: Shard whose machine applies the command.
            command: The encoded command, as the machine decodes it.
            timeout: Seconds to wait.

        Returns:
            The machine's result.

        Raises:
            NotLeaderError: This process does not lead the shard, and the command was not appended.
            OutcomeUnknownError: The command was appended, but is not known to be committed in time.
        """
        running = self._running
        if running is None:
            raise NotLeaderError(None)
        position = running.multi_raft.replicas[shard].propose(time.monotonic(), command)
        if position is None:
            raise NotLeaderError(self.leader(shard))
        index, term = position
        with self._applier.pending_result(shard, index, term) as result:
            running.wake()
            try:
                return result.get(timeout=timeout)
            except gevent.Timeout as error:
                raise OutcomeUnknownError("not committed in time") from error

    def read_barrier(self, shard: int, timeout: float) -> None:
        """Returns when the state here contains every command acknowledged before the call (ReadIndex).

        See section 6.4 of the Raft dissertation.

        Raises:
            NotLeaderError: This process does not lead the shard.
            OutcomeUnknownError: No majority has confirmed the leadership within `timeout` seconds.
        """
        running = self._running
        if running is None:
            raise NotLeaderError(None)
        result = AsyncResult()
        if not running.multi_raft.replicas[shard].read(time.monotonic(), result):
            raise NotLeaderError(self.leader(shard))
        running.wake()
        try:
            result.get(timeout=timeout)
        except gevent.Timeout as error:
            raise OutcomeUnknownError("not confirmed in time") from error

    # Leadership

    def leader(self, shard: int) -> Address | None:
        """Address of the shard's leader; None where this process does not know it."""
        replica = self._replica(shard)
        member = replica.leader if replica is not None else None
        return member.address if member else None

    def is_leader(self, shard: int) -> bool:
        """Whether this process leads the shard."""
        replica = self._replica(shard)
        return replica is not None and replica.is_leader

    def decline_leadership(self, duration_s: float) -> None:
        """Transfers leadership of all shards, and leads none for `duration_s` seconds unless no other process can.

        0 ends an earlier request.
        """
        self._leader_eligibility.decline(time.monotonic(), duration_s)

    def declines_leadership_for(self) -> float:
        """Seconds until the last `decline_leadership` request expires; 0 if there is none."""
        return self._leader_eligibility.declines_for(time.monotonic())

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority responded to this process as the shard's leader; infinite if it does not lead."""
        replica = self._replica(shard)
        return replica.lease_age_s(time.monotonic()) if replica is not None else float("inf")

    # State of the groups

    def cluster(self) -> int:
        """Id of the cluster that this process belongs to.

        0 while it belongs to none, or may still leave it for another because no command was acknowledged in it.
        """
        if self._running is None or self._running.multi_raft.may_leave_cluster:
            return 0
        return self._running.multi_raft.bootstrap.identity.cluster_id

    def missing_initial_members(self) -> list[Address]:
        """The initial members that a shard led by this process awaits before it accepts commands."""
        return self._running.multi_raft.opening.missing_members() if self._running is not None else []

    def proceed_without_missing(self) -> None:
        """Lets shards led here accept commands without the missing initial members, until the process ends."""
        if self._running is not None:
            self._running.multi_raft.opening.proceed_without_missing()

    def voters(self, shard: int) -> set[Address]:
        """Addresses of the shard's voters that are known here; of both configurations during a membership change."""
        replica = self._replica(shard)
        if replica is None:
            return set()
        return {member.address for member in replica.state.configuration.members().values()}

    def failures_tolerated(self, shard: int) -> int | None:
        """How many more of the shard's voters may fail while the others can commit; None if it is not led here."""
        replica = self._replica(shard)
        return replica.failures_tolerated if replica is not None else None

    def seconds_since_quorum(self, shard: int) -> float:
        """Seconds since this process last knew that the shard's group has a majority; infinite before recovery."""
        replica = self._replica(shard)
        return replica.seconds_since_quorum(time.monotonic()) if replica is not None else float("inf")

    def applied_index(self, shard: int) -> int:
        """Index of the shard's last log entry that is applied here; 0 before recovery."""
        replica = self._replica(shard)
        return replica.state.applied_index if replica is not None else 0

    def _replica(self, shard: int) -> Replica | None:
        """The shard's current replica, None before recovery; abandoning a bootstrap replaces the replicas."""
        return self._running.multi_raft.replicas[shard] if self._running is not None else None


def _log_failed_start(recovery: gevent.Greenlet) -> None:
    """Logs a failed recovery: the process keeps running without replicas; gevent prints the traceback."""
    log.error("replica host not started error=%r", recovery.exception)
