"""The replicas of several groups in one process: one envelope per peer and step, one write for all groups."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ochrespan.common.addresses import Address

from .bootstrap import Bootstrap, BootstrapSettings, Identity
from .bootstrap_protocol import BootstrapProtocol
from .cluster_messages import BootstrapProposal, JoinRequest, JoinResponse, LeaveNotice
from .envelope import PROCESS_GROUP, Envelope
from .joining import JoinProtocol, build_join_request
from .leader_balancer import LeaderBalancer
from .local_groups import LocalGroups
from .messages import AppendEntries, AppendEntriesResponse, Heartbeat, InstallSnapshot
from .opening import Opening
from .planned_leave import PlannedLeave
from .replica import Replica
from .state import PersistentState, PersistentUpdate, Timing


@dataclass(frozen=True, slots=True)
class RecoveredGroups:
    """The state that a process reads from its disk when it starts."""

    identity: Identity | None  # None: the disk is empty
    replicas: dict[int, PersistentState]  # by group, one for each group that the process has a replica of

    @classmethod
    def of_groups(
        cls, groups: Iterable[int], identity: Identity | None, stored: Mapping[int, PersistentState]
    ) -> RecoveredGroups:
        """The state of just these groups; those that have none on the disk begin without a term and entries."""
        return cls(identity, {group: stored.get(group) or PersistentState() for group in groups})


class MultiRaft:
    """Routes messages to the replicas, and collects their messages and their updates to write.

    Args:
        settings: the bootstrap settings of this process.
        recovered: the state on the disk; its groups are those that the process takes part in.
        random_source: for replica ids and election time-outs.
        now: seconds of the steady clock, as in all methods.
        timing: of elections and replication.
    """

    def __init__(
        self,
        settings: BootstrapSettings,
        recovered: RecoveredGroups,
        random_source: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.settings = settings
        self.bootstrap = Bootstrap.begin(settings, recovered.identity, random_source, now)
        self.addresses: dict[int, Address] = {}  # by replica id, of processes that have sent to this one
        self._local_groups = LocalGroups(self.bootstrap, recovered.replicas, random_source, timing or Timing(), now)
        self.replicas = self._local_groups.replicas
        self._bootstrap_protocol = BootstrapProtocol(self._local_groups, now)
        self._join_protocol = JoinProtocol(self._local_groups, settings.seeds)
        self._planned_leave = PlannedLeave(self._local_groups)
        self._leader_balancer = LeaderBalancer(self._local_groups, now)
        self.opening = Opening(self._local_groups)
        self._last_taken_identity = recovered.identity  # what `take_updates` last returned

    @property
    def id(self) -> int:
        """The replica id of this process, in all groups."""
        return self.bootstrap.identity.replica_id

    @property
    def may_leave_cluster(self) -> bool:
        """Whether this process may still leave its cluster, which cannot have acknowledged a command yet."""
        return self._local_groups.has_acknowledged_nothing and self.opening.awaits_others

    def tick(self, now: float) -> None:
        """Runs the periodic work that is due."""
        for replica in self.replicas.values():
            replica.tick(now)
        self._planned_leave.tick(now)
        if now >= self._bootstrap_protocol.next_query_at:
            self._bootstrap_protocol.schedule_query(now)
            self._query(now)
        self._leader_balancer.tick(now)
        self.opening.advance(now)

    def receive(self, now: float, envelope: Envelope) -> None:
        """Dispatches the messages of an envelope, unless it is from another cluster or for another replica id."""
        own = self.bootstrap.identity
        if envelope.cluster_id and own.cluster_id and envelope.cluster_id != own.cluster_id:
            self._bootstrap_protocol.receive_from_other_cluster(now, envelope)
            return
        if envelope.to not in (0, self.id):
            self._receive_for_other_id(now, envelope)
            return
        self.addresses[envelope.sender] = envelope.address
        for group, message in envelope.frames:
            if group == PROCESS_GROUP:
                self._receive_process_message(now, envelope, message)
            elif replica := self.replicas.get(group):
                if not own.cluster_id and isinstance(message, AppendEntries | Heartbeat | InstallSnapshot):
                    # A leader has added this replica: it belongs to the leader's cluster from here on.
                    own = self.bootstrap.identity = replace(own, cluster_id=envelope.cluster_id)
                replica.receive(now, envelope.sender, message)
                if isinstance(message, AppendEntriesResponse):
                    self.opening.advance(now)

    def peer_disconnected(self, now: float, address: Address) -> None:
        """Called when the connection from a process has ended: a leader there may have failed, as pre-votes show."""
        for replica in self.replicas.values():
            replica.peer_disconnected(now, address)

    def leave(self, now: float) -> None:
        """Begins the planned shutdown of this process; `tick` continues it."""
        self._planned_leave.send_notices(now)

    def take_envelopes(self) -> list[tuple[Address, Envelope]]:
        """The messages to send now, one envelope for each receiver."""
        envelopes: dict[tuple[Address, int], Envelope] = {}
        identity = self.bootstrap.identity

        def envelope(address: Address, to: int) -> Envelope:
            """The envelope for a receiver, made with its first message."""
            key = (address, to)
            if key not in envelopes:
                envelopes[key] = Envelope(identity.cluster_id, identity.replica_id, self.settings.address, to)
            return envelopes[key]

        snapshot_receivers: set[Address] = set()  # one group at a time sends a snapshot to a process
        for group, replica in self.replicas.items():
            for to, message in replica.take_messages(snapshot_receivers):
                if address := self._address_of(replica, to):
                    envelope(address, to).frames.append((group, message))
        outbox = self._local_groups.outbox
        for address, to, message in outbox:
            envelope(address, to).frames.append((PROCESS_GROUP, message))
        outbox.clear()
        return [(address, value) for (address, _), value in envelopes.items()]

    def take_updates(self) -> list[Identity | PersistentUpdate]:
        """The updates to write now, in one write; the caller calls `persisted` when they are durable."""
        updates: list[Identity | PersistentUpdate] = []
        if self._last_taken_identity != self.bootstrap.identity:
            self._last_taken_identity = self.bootstrap.identity
            updates.append(self.bootstrap.identity)
        updates += [update for replica in self.replicas.values() if (update := replica.take_update())]
        return updates

    def persisted(self, now: float) -> None:
        """Called when the write of the last `take_updates` is durable."""
        for replica in self.replicas.values():
            replica.persisted(now)

    def add_contacts(self, addresses: Iterable[Address]) -> None:
        """Adds processes that may know the groups, from changed settings for example."""
        self._join_protocol.contacts.update(addresses)

    def withhold_votes(self, now: float, withholding_votes: bool) -> None:
        """Called when the disk cannot keep up, or can again; until then no replica here leads or campaigns."""
        for replica in self.replicas.values():
            replica.withhold_votes(now, withholding_votes)

    def _receive_for_other_id(self, now: float, envelope: Envelope) -> None:
        """Sends a join request, with the current replica id, to a sender that used another one for this address."""
        if any(isinstance(message, AppendEntries | Heartbeat | InstallSnapshot) for _, message in envelope.frames):
            self.bootstrap.record_existing_group()
        self._local_groups.send(envelope.address, 0, build_join_request(self._local_groups, now, every_group=True))

    def _receive_process_message(self, now: float, envelope: Envelope, message: Any) -> None:
        match message:
            case JoinRequest():
                self._bootstrap_protocol.receive_report(now, envelope, message)
                self._join_protocol.receive_request(now, envelope, message)
                self._bootstrap_protocol.propose(now)
            case JoinResponse():
                self._bootstrap_protocol.receive_report(now, envelope, message)
                self._join_protocol.receive_response(message)
                self._bootstrap_protocol.propose(now)
            case BootstrapProposal():
                self._bootstrap_protocol.receive_proposal(now, message)
            case LeaveNotice():
                for replica in self.replicas.values():
                    replica.leave(now, envelope.sender)

    def _query(self, now: float) -> None:
        self._bootstrap_protocol.tick(now)
        self._join_protocol.send_requests(now)

    def _address_of(self, replica: Replica, member_id: int) -> Address | None:
        if progress := replica.replication.progress.get(member_id):
            return progress.member.address
        member = replica.state.configuration.members().get(member_id)
        return member.address if member else self.addresses.get(member_id)
