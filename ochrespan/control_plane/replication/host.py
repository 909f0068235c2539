"""Runs the replicas of all shards in one process: their start, the calls of the control plane, and their end."""

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

    The disk is read after `start()` in the background. Until then there are no replicas: proposals fail with
    NotLeaderError, and messages of peers are dropped, which Raft repeats. Callbacks run in the greenlet that drives the
    replicas and must not wait.

    Attributes:
        settings: The settings it was made with.
        call_server: Takes the messages of peers; the rest of the process registers its calls there too.
    """

    def __init__(self, settings: HostSettings, machines: Mapping[int, StateMachine]) -> None:
        self.settings = settings
        self.call_server = rpc.RpcServer(settings.address)
        self._applier = Applier(machines)
        self._eligibility = LeaderEligibility()
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
    def on_leadership(self) -> Callable[[int, bool], None]:
        """`on_leadership(shard, leads)` runs when this process has begun or ceased to lead a shard."""
        return self._reporter.on_leadership

    @on_leadership.setter
    def on_leadership(self, callback: Callable[[int, bool], None]) -> None:
        """Sets the callback in place of the one before."""
        self._reporter.on_leadership = callback

    # Start and end

    def start(self) -> None:
        """Starts in the background: the disk is read first, which may take its time."""
        self.call_server.on_push(RaftBatch, self._receive)
        self.call_server.on_closed = self._connection_closed
        self.call_server.start()
        self._recovery = gevent.spawn(self._recover_and_run)
        self._recovery.link_exception(_log_failed_start)

    def stop(self) -> None:
        """Transfers what this process leads, within about a second, and ends."""
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
        collaborators = ReplicaCollaborators(self._applier, self._eligibility, self._reporter)
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
            command: The command in the form that the machine reads.
            timeout: Seconds to wait.

        Returns:
            The machine's result.

        Raises:
            NotLeaderError: This process does not lead the shard, and the command was not appended.
            OutcomeUnknownError: It was appended, and is not known to be committed in time.
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
        """Returns when the state here holds all that was acknowledged before (ReadIndex, dissertation, section 6.4).

        Raises:
            NotLeaderError: This process does not lead the shard.
            OutcomeUnknownError: No majority has confirmed the leadership in time.
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
        """Address of the shard's leader, if it is known here."""
        replica = self._replica(shard)
        member = replica.leader if replica is not None else None
        return member.address if member else None

    def is_leader(self, shard: int) -> bool:
        """Whether this process leads the shard."""
        replica = self._replica(shard)
        return replica is not None and replica.is_leader

    def decline_leadership(self, duration_s: float) -> None:
        """Transfers what this process leads, and leads nothing for `duration_s` while others can; 0 ends that."""
        self._eligibility.decline(time.monotonic(), duration_s)

    def declines_leadership_for(self) -> float:
        """Seconds for which `decline_leadership` still holds."""
        return self._eligibility.declines_for(time.monotonic())

    def lease_age_s(self, shard: int) -> float:
        """Seconds since a majority responded to this process as the leader; infinite where it does not lead."""
        replica = self._replica(shard)
        return replica.lease_age_s(time.monotonic()) if replica is not None else float("inf")

    # State of the groups

    def cluster(self) -> int:
        """Number of the cluster that this process belongs to.

        0 while it belongs to none, or may still leave it for another, as nothing was acknowledged there.
        """
        if self._running is None or self._running.multi_raft.may_leave_cluster:
            return 0
        return self._running.multi_raft.bootstrap.identity.cluster_id

    def missing_initial_members(self) -> list[Address]:
        """The initial members without which a shard that is led here accepts no commands yet."""
        return self._running.multi_raft.opening.missing_members() if self._running is not None else []

    def proceed_without_missing(self) -> None:
        """An operator says that the missing initial members will not come; this holds until the process ends."""
        if self._running is not None:
            self._running.multi_raft.opening.proceed_without_missing()

    def voters(self, shard: int) -> set[Address]:
        """Addresses of the shard's voters as far as known here; in a change of members, the old and the new ones."""
        replica = self._replica(shard)
        if replica is None:
            return set()
        return {member.address for member in replica.state.configuration.members().values()}

    def failures_tolerated(self, shard: int) -> int | None:
        """How many more voters may fail now, of a shard that is led here; None of another."""
        replica = self._replica(shard)
        return replica.failures_tolerated if replica is not None else None

    def seconds_since_quorum(self, shard: int) -> float:
        """Seconds since this process knew that the shard's group had a majority."""
        replica = self._replica(shard)
        return replica.seconds_since_quorum(time.monotonic()) if replica is not None else float("inf")

    def applied_index(self, shard: int) -> int:
        """Index of the last log entry that is applied here; 0 before recovery."""
        replica = self._replica(shard)
        return replica.state.applied_index if replica is not None else 0

    def _replica(self, shard: int) -> Replica | None:
        """The shard's replica now, None before recovery; an abandoned bootstrap replaces the replicas by others."""
        return self._running.multi_raft.replicas[shard] if self._running is not None else None


def _log_failed_start(recovery: gevent.Greenlet) -> None:
    """Without replicas this process keeps running and serves nothing; gevent prints the traceback."""
    log.error("replica host not started error=%r", recovery.exception)
